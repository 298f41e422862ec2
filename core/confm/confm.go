// Package confm decides when a write may be acknowledged: once a majority of
// the group's members report its term and at least its offset.
package confm

import (
	"banyanspring/core/posn"
)

// Outcome is the confirmation state of a write.
type Outcome int

const (
	// Waiting means that no majority has reported the write yet.
	Waiting Outcome = iota
	// Confirmed means that a majority holds the write in the write's term.
	Confirmed
	// Superseded means that a member has joined a higher term before a majority
	// reported the write, so that it is unknown whether the write survives.
	Superseded
)

// Decision is the final outcome of one waiting write.
type Decision struct {
	// ID names the write.
	ID uint64
	// Outcome is Confirmed or Superseded.
	Outcome Outcome
}

// Tracker tracks the log positions of a group's members for one primary. It reads
// no clock, and is not safe for concurrent use.
type Tracker struct {
	// memberCount is the size of the group, the primary included.
	memberCount int
	// reported holds the highest position that each member has reported.
	reported map[string]posn.Position
	// waiting holds the writes that are neither confirmed nor superseded.
	waiting map[uint64]posn.Position
}

// New returns a tracker for a group of the given number of members, the primary
// included.
func New(memberCount int) *Tracker {
	return &Tracker{
		memberCount: memberCount,
		reported:    make(map[string]posn.Position, memberCount),
		waiting:     make(map[uint64]posn.Position),
	}
}

// Majority returns how many members must hold a write for it to be confirmed.
func (tr *Tracker) Majority() int { return tr.memberCount/2 + 1 }

// Register registers a write at the position and returns its present outcome, without
// blocking. If that is Waiting, Report returns the final outcome once it is known;
// otherwise it is final and the write is not kept.
func (tr *Tracker) Register(id uint64, at posn.Position) Outcome {
	out := tr.outcomeOf(at)
	if out == Waiting {
		tr.waiting[id] = at
	}
	return out
}

// Forget removes a write that nobody waits for any more.
func (tr *Tracker) Forget(id uint64) { delete(tr.waiting, id) }

// Report records a member's position and returns the writes whose outcome is now
// final. A position that is not above the last recorded one is ignored.
func (tr *Tracker) Report(member string, at posn.Position) []Decision {
	if tr.reported[member].Compare(at) >= 0 {
		return nil
	}
	tr.reported[member] = at
	var out []Decision
	for id, want := range tr.waiting {
		outcome := tr.outcomeOf(want)
		if outcome == Waiting {
			continue
		}
		delete(tr.waiting, id)
		out = append(out, Decision{ID: id, Outcome: outcome})
	}
	return out
}

// LowestMissing returns the lowest position of a waiting write that the member has
// not reported, and false if there is none. It is the next position to request from
// the member.
func (tr *Tracker) LowestMissing(member string) (posn.Position, bool) {
	var lowest posn.Position
	found := false
	for _, want := range tr.waiting {
		if tr.reported[member].Compare(want) >= 0 {
			continue
		}
		if !found || want.Compare(lowest) < 0 {
			lowest = want
			found = true
		}
	}
	return lowest, found
}

// HighestTerm returns the highest term that any member reported.
func (tr *Tracker) HighestTerm() posn.Term {
	var top posn.Term
	for _, at := range tr.reported {
		if at.Term.Compare(top) > 0 {
			top = at.Term
		}
	}
	return top
}

// Reported returns the highest position that the member reported; zero if none.
func (tr *Tracker) Reported(member string) posn.Position { return tr.reported[member] }

// outcomeOf returns the outcome of a write at the position. Only members in the
// write's term count as holding it, since offsets of different terms are not
// comparable.
func (tr *Tracker) outcomeOf(want posn.Position) Outcome {
	count := 0
	higher := false
	for _, at := range tr.reported {
		switch ord := at.Term.Compare(want.Term); {
		case ord == 0 && at.Offset >= want.Offset:
			count++
		case ord > 0:
			higher = true
		}
	}
	if count >= tr.Majority() {
		return Confirmed
	}
	if higher {
		return Superseded
	}
	return Waiting
}
