// Package promo decides when a database group gets a new primary, and which. It
// takes reports of the members and the time, and returns orders; it does no
// I/O, so that the same code runs in a daemon and in randomised runs.
//
// Any number of guards may decide for one group at once. Safety rests on the
// upstreams: a promotion is conditional on the candidate's term, a member joins
// a term only if it discards nothing, and nothing is acknowledged without a
// majority in one term.
package promo

import (
	"context"
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"banyanspring/core/posn"
)

// Report is what a member says of itself.
type Report struct {
	// Term is the term that the member belongs to.
	Term posn.Term
	// Entry is the term and offset of its newest log entry.
	Entry posn.Position
	// Primary is true if the member believes that it leads.
	Primary bool
	// Received is when the member last heard of its primary, on the clock of
	// the guard.
	Received time.Time
}

// Member is what a guard knows of a member.
type Member struct {
	// Name is unique in the group.
	Name string
	// Report is the newest report.
	Report Report
	// Reached is when the newest report was asked for; zero if never.
	Reached time.Time
	// FollowAgain is when the member may be ordered to follow again.
	FollowAgain time.Time
}

// Timing holds the times that a guard works with.
type Timing struct {
	// Suspect is how long a primary may be unheard of by all.
	Suspect time.Duration
	// Stagger is added for each guard of a lower rank, so that one comes first.
	Stagger time.Duration
	// Fresh is how old the report of a member in reach may be.
	Fresh time.Duration
	// Stuck is how long a term may lead without a majority in it.
	Stuck time.Duration
	// Retry is the pause between two orders to one member.
	Retry time.Duration
}

// WithRoundTrip returns timing for members whose probes take the time given.
func (ti Timing) WithRoundTrip(took time.Duration) Timing {
	const tripsAllowed = 4
	ti.Suspect += tripsAllowed * took
	ti.Fresh += tripsAllowed * took
	return ti
}

// State is what a guard thinks of its group.
type State string

// States of a group.
const (
	// Healthy means that the primary was heard of lately.
	Healthy State = "healthy"
	// Suspected means that nobody has heard of the primary for a while.
	Suspected State = "suspected"
	// Promoting means that a candidate was ordered to lead.
	Promoting State = "promoting"
)

type trigger string

const (
	heard   trigger = "heard"
	unheard trigger = "unheard"
	ordered trigger = "ordered"
	failed  trigger = "failed"
)

// Order is what a guard wants done; the zero value is nothing.
type Order struct {
	// Promote names the candidate; empty if nobody is to be promoted.
	Promote string
	// Expected is the candidate's term, on which the promotion depends.
	Expected posn.Term
	// Claim is the term that the candidate is to lead.
	Claim posn.Term
	// Follow names the members that are to follow Leader.
	Follow []string
	// Leader is the member that leads the highest term.
	Leader string
	// LeaderTerm is the leader's term.
	LeaderTerm posn.Term
}

// Guard watches over one group.
type Guard struct {
	timing Timing
	// rank is the place of this guard among the group's guards, from 0.
	rank    int
	members []Member
	machine *stateless.StateMachine
	// lastGood is when the leader of the highest term was last known to be
	// there, by itself or by the word of a member.
	lastGood time.Time
	// lastService is when a majority was last seen in the highest term.
	lastService time.Time
	// lastDecide is when Decide was last called.
	lastDecide time.Time
	// retryAt is when another promotion may be ordered.
	retryAt time.Time
}

// New returns a guard for the members named. It trusts the primary at first.
func New(names []string, rank int, timing Timing, now time.Time) *Guard {
	gu := &Guard{timing: timing, rank: rank, lastGood: now, lastService: now}
	for _, name := range names {
		gu.members = append(gu.members, Member{Name: name})
	}
	gu.machine = stateless.NewStateMachine(Healthy)
	gu.machine.Configure(Healthy).Permit(unheard, Suspected).Permit(ordered, Promoting).Ignore(heard).Ignore(failed)
	gu.machine.Configure(Suspected).Permit(heard, Healthy).Permit(ordered, Promoting).Ignore(unheard).Ignore(failed)
	gu.machine.Configure(Promoting).Permit(heard, Healthy).Permit(failed, Suspected).Ignore(unheard).Ignore(ordered)
	return gu
}

// State returns what the guard thinks of the group.
func (gu *Guard) State() State {
	state, err := gu.machine.State(context.Background())
	if err != nil {
		return Suspected
	}
	return state.(State)
}

func (gu *Guard) fire(tr trigger) { _ = gu.machine.Fire(tr) }

// SetTiming changes the times and the rank of the guard.
func (gu *Guard) SetTiming(timing Timing, rank int) {
	gu.timing = timing
	gu.rank = rank
}

// IsQuiet reports whether the leader was heard of within the time given, so
// that nothing has to be looked at closely.
func (gu *Guard) IsQuiet(now time.Time, within time.Duration) bool {
	return gu.State() == Healthy && now.Sub(gu.lastGood) <= within
}

// Members returns what the guard knows of the members.
func (gu *Guard) Members() []Member { return slices.Clone(gu.members) }

// Observe takes a member's report, asked for at the time given.
func (gu *Guard) Observe(name string, re Report, asked time.Time) {
	mem := gu.member(name)
	if mem == nil || asked.Before(mem.Reached) {
		return
	}
	mem.Report = re
	mem.Reached = asked
}

func (gu *Guard) member(name string) *Member {
	for pos := range gu.members {
		if gu.members[pos].Name == name {
			return &gu.members[pos]
		}
	}
	return nil
}

func (gu *Guard) majority() int { return len(gu.members)/2 + 1 }

// top returns the highest term that any member reported.
func (gu *Guard) top() posn.Term {
	var top posn.Term
	for _, mem := range gu.members {
		if mem.Report.Term.Compare(top) > 0 {
			top = mem.Report.Term
		}
	}
	return top
}

// Decide returns what is to be done now.
func (gu *Guard) Decide(now time.Time) Order {
	// A guard that was paused has old reports and must not judge by them.
	if !gu.lastDecide.IsZero() && now.Sub(gu.lastDecide) > gu.timing.Fresh {
		gu.lastGood, gu.lastService = now, now
	}
	gu.lastDecide = now
	top := gu.top()
	if top == (posn.Term{}) {
		return Order{}
	}
	gu.judge(top, now)
	if or, ok := gu.promote(top, now); ok {
		return or
	}
	return gu.follow(top, now)
}

// judge notes whether the leader and a majority are there.
func (gu *Guard) judge(top posn.Term, now time.Time) {
	inTerm := 0
	for _, mem := range gu.members {
		if mem.Report.Term != top {
			continue
		}
		if now.Sub(mem.Reached) <= gu.timing.Fresh {
			inTerm++
		}
		if mem.Report.Primary {
			gu.noteGood(mem.Reached)
			continue
		}
		// A replica that still receives vouches for its primary.
		gu.noteGood(mem.Report.Received)
	}
	if inTerm >= gu.majority() {
		gu.lastService = now
	}
	if now.Sub(gu.lastGood) <= gu.timing.Suspect {
		gu.fire(heard)
		return
	}
	gu.fire(unheard)
}

func (gu *Guard) noteGood(at time.Time) {
	if at.After(gu.lastGood) {
		gu.lastGood = at
	}
}

// promote orders a promotion if the leader is gone, or if its term cannot get
// a majority although one is in reach.
func (gu *Guard) promote(top posn.Term, now time.Time) (Order, bool) {
	patience := gu.timing.Suspect + time.Duration(gu.rank)*gu.timing.Stagger
	stuckFor := gu.timing.Stuck + time.Duration(gu.rank)*gu.timing.Stagger
	isGone := now.Sub(gu.lastGood) > patience
	isStuck := now.Sub(gu.lastService) > stuckFor
	if (!isGone && !isStuck) || now.Before(gu.retryAt) {
		return Order{}, false
	}
	candidate, ok := gu.candidate(now)
	if !ok {
		gu.fire(failed)
		return Order{}, false
	}
	if !isGone && candidate.Report.Primary && candidate.Report.Term == top {
		// The leader is the best there is; the others only have to join.
		return Order{}, false
	}
	gu.retryAt = now.Add(gu.timing.Stuck)
	gu.fire(ordered)
	return Order{
		Promote:  candidate.Name,
		Expected: candidate.Report.Term,
		Claim:    posn.Term{Number: top.Number + 1, Primary: candidate.Name},
	}, true
}

// candidate returns the member with the most advanced log among a majority in
// reach. Logs are compared by the term of their newest entry first: a member
// that was promoted and wrote nothing is no more advanced for its term.
func (gu *Guard) candidate(now time.Time) (Member, bool) {
	var best Member
	inReach := 0
	for _, mem := range gu.members {
		if mem.Reached.IsZero() || now.Sub(mem.Reached) > gu.timing.Fresh {
			continue
		}
		inReach++
		if best.Name == "" || mem.Report.Entry.Compare(best.Report.Entry) > 0 {
			best = mem
		}
	}
	return best, inReach >= gu.majority()
}

// follow orders members of lower terms to follow the leader.
func (gu *Guard) follow(top posn.Term, now time.Time) Order {
	or := Order{LeaderTerm: top}
	for _, mem := range gu.members {
		if mem.Report.Term == top && mem.Report.Primary {
			or.Leader = mem.Name
		}
	}
	if or.Leader == "" {
		return Order{}
	}
	for pos := range gu.members {
		mem := &gu.members[pos]
		isLower := mem.Report.Term.Compare(top) < 0
		isFresh := !mem.Reached.IsZero() && now.Sub(mem.Reached) <= gu.timing.Fresh
		if !isLower || !isFresh || now.Before(mem.FollowAgain) {
			continue
		}
		mem.FollowAgain = now.Add(gu.timing.Retry)
		or.Follow = append(or.Follow, mem.Name)
	}
	return or
}

// Failed notes that a promotion was not carried out, so that the guard tries
// again soon.
func (gu *Guard) Failed(now time.Time) {
	gu.retryAt = now.Add(gu.timing.Retry)
	gu.fire(failed)
}
