// Package confm decides when a write may be acknowledged: once a majority of
// the group's members report its term and at least its offset.
package confm

import (
	"banyanspring/core/posn"
)

// Outcome is what became of a write that waited for confirmation.
type Outcome int

const (
	// Waiting means that no majority has reported the write yet.
	Waiting Outcome = iota
	// Confirmed means that a majority holds the write in its own term.
	Confirmed
	// Superseded means that a member moved to a higher term, so the outcome of
	// the write is unknown.
	Superseded
)

// Decision tells the outcome of one waiting write.
type Decision struct {
	// ID names the write.
	ID uint64
	// Outcome is Confirmed or Superseded.
	Outcome Outcome
}

// Tracker follows the positions of a group's members on behalf of one primary.
// It holds no clock and no lock.
type Tracker struct {
	// members is the size of the group, the primary included.
	members int
	// reported holds the highest position that each member reported; it never
	// falls.
	reported map[string]posn.Position
	// waiting holds the writes that are neither confirmed nor superseded.
	waiting map[uint64]posn.Position
}

// New returns a tracker for a group of the given number of members.
func New(members int) *Tracker {
	return &Tracker{
		members:  members,
		reported: make(map[string]posn.Position, members),
		waiting:  make(map[uint64]posn.Position),
	}
}

// Majority returns how many members must report a write.
func (tr *Tracker) Majority() int { return tr.members/2 + 1 }

// Await adds a write at the position and returns its outcome so far.
func (tr *Tracker) Await(id uint64, at posn.Position) Outcome {
	out := tr.judge(at)
	if out == Waiting {
		tr.waiting[id] = at
	}
	return out
}

// Forget drops a write whose caller no longer waits.
func (tr *Tracker) Forget(id uint64) { delete(tr.waiting, id) }

// Report notes a member's position and returns the writes that it settles. A
// position below one reported before is ignored.
func (tr *Tracker) Report(member string, at posn.Position) []Decision {
	if tr.reported[member].Compare(at) >= 0 {
		return nil
	}
	tr.reported[member] = at
	var out []Decision
	for id, want := range tr.waiting {
		outcome := tr.judge(want)
		if outcome == Waiting {
			continue
		}
		delete(tr.waiting, id)
		out = append(out, Decision{ID: id, Outcome: outcome})
	}
	return out
}

// Lacking returns the lowest waiting position that the member has not
// reported, and false if it lacks none.
func (tr *Tracker) Lacking(member string) (posn.Position, bool) {
	var low posn.Position
	found := false
	for _, want := range tr.waiting {
		if tr.reported[member].Compare(want) >= 0 {
			continue
		}
		if !found || want.Compare(low) < 0 {
			low = want
			found = true
		}
	}
	return low, found
}

// Highest returns the highest term that any member reported.
func (tr *Tracker) Highest() posn.Term {
	var top posn.Term
	for _, at := range tr.reported {
		if at.Term.Compare(top) > 0 {
			top = at.Term
		}
	}
	return top
}

// Reported returns the highest position that the member reported.
func (tr *Tracker) Reported(member string) posn.Position { return tr.reported[member] }

// judge counts the members that hold the write in its own term.
func (tr *Tracker) judge(want posn.Position) Outcome {
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
