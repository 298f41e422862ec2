// Package promo detects the failure of a database group's primary and chooses
// its successor by a majority of the group's members. Package elect does so for
// groups that acknowledge a write once a replica has received it. Package promo maps
// member reports and the time to orders and does no I/O, so that daemons and
// randomised tests run the same code.
//
// Several guards may decide for one group concurrently. Safety depends on the
// upstreams only: a promotion is conditional on the candidate's term, a member
// joins a term only if that discards none of its log, and a write is
// acknowledged only once a majority holds it in one term.
package promo

import (
	"context"
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"banyanspring/core/posn"
)

// Report is the state that a member returned to a probe.
type Report struct {
	// Term is the term that the member belongs to.
	Term posn.Term
	// Entry is the term and offset of its newest log entry.
	Entry posn.Position
	// Primary is true if the member acts as primary of Term.
	Primary bool
	// Received is when the member, as a replica, was last in contact with its
	// primary, on the guard's clock.
	Received time.Time
}

// Member is a member of the group with its newest report.
type Member struct {
	// Name is unique in the group.
	Name string
	// Report is the newest report.
	Report Report
	// ProbedAt is when the probe that Report answers was sent; zero if no probe was
	// answered.
	ProbedAt time.Time
	// NextFollowAt is the earliest time of the next follow order to the member.
	NextFollowAt time.Time
}

// Timing holds the timeouts of a guard.
type Timing struct {
	// SuspectAfter is the failure detection timeout: a primary is suspected once
	// neither the guard nor any replica has received from it for this long.
	SuspectAfter time.Duration
	// Stagger times the guard's rank is added to SuspectAfter and MajorityTimeout
	// before a promotion is ordered, so that the guards of one group do not order
	// promotions at the same time.
	Stagger time.Duration
	// MaxReportAge is the maximum age of a report, counted from the sending of the
	// probe; a member with an older one counts as unreachable.
	MaxReportAge time.Duration
	// MajorityTimeout is how long the highest term may lack a majority before another
	// promotion is ordered. It is also the minimum time between two promotion orders
	// unless PromotionFailed is called.
	MajorityTimeout time.Duration
	// RetryInterval is the pause between two follow orders to one member, and after a
	// promotion that failed.
	RetryInterval time.Duration
}

// WithRoundTrip returns the timing with SuspectAfter and MaxReportAge extended by
// four round trips of a probe.
func (ti Timing) WithRoundTrip(roundTrip time.Duration) Timing {
	const roundTripFactor = 4
	ti.SuspectAfter += roundTripFactor * roundTrip
	ti.MaxReportAge += roundTripFactor * roundTrip
	return ti
}

// State is a guard's view of its group.
type State string

// States of a group.
const (
	// Healthy means that the primary was alive within Timing.SuspectAfter.
	Healthy State = "healthy"
	// Suspected means that the primary has been silent for longer than
	// Timing.SuspectAfter, or that a promotion failed.
	Suspected State = "suspected"
	// Promoting means that a candidate was ordered to become primary.
	Promoting State = "promoting"
)

type trigger string

const (
	leaderAlive      trigger = "heard"
	leaderSilent     trigger = "unheard"
	promotionOrdered trigger = "ordered"
	promotionFailed  trigger = "failed"
)

// Order is the result of Decide. Nothing is ordered if Promote and Follow are both
// empty.
type Order struct {
	// Promote names the candidate; empty if no promotion is ordered.
	Promote string
	// Expected is the term that the candidate must still be in for the promotion
	// to succeed.
	Expected posn.Term
	// Claim is the new term, which the candidate leads once promoted.
	Claim posn.Term
	// Follow names the members that must follow Primary.
	Follow []string
	// Primary is the primary of the highest term.
	Primary string
	// PrimaryTerm is the term that Primary leads.
	PrimaryTerm posn.Term
}

// Guard detects failures of one group's primary and decides on promotions. It
// is not safe for concurrent use.
type Guard struct {
	timing Timing
	// rank is the position of this guard among the group's guards, from 0; a guard
	// with a higher rank number waits longer before it orders a promotion.
	rank    int
	members []Member
	machine *stateless.StateMachine
	// leaderAliveAt is when the primary of the highest term was last known to be
	// alive, from its own report or from a replica that received from it.
	leaderAliveAt time.Time
	// majorityAt is when a majority was last seen in the highest term.
	majorityAt time.Time
	// decidedAt is when Decide was last called.
	decidedAt time.Time
	// retryAt is the earliest time of the next promotion order.
	retryAt time.Time
}

// New returns a guard for the named members. Until reports come in, it counts
// the primary as alive and the majority as present at the time now.
func New(names []string, rank int, timing Timing, now time.Time) *Guard {
	gu := &Guard{timing: timing, rank: rank, leaderAliveAt: now, majorityAt: now}
	for _, name := range names {
		gu.members = append(gu.members, Member{Name: name})
	}
	gu.machine = stateless.NewStateMachine(Healthy)
	gu.machine.Configure(Healthy).Permit(leaderSilent, Suspected).Permit(promotionOrdered, Promoting).Ignore(leaderAlive).Ignore(promotionFailed)
	gu.machine.Configure(Suspected).Permit(leaderAlive, Healthy).Permit(promotionOrdered, Promoting).Ignore(leaderSilent).Ignore(promotionFailed)
	gu.machine.Configure(Promoting).Permit(leaderAlive, Healthy).Permit(promotionFailed, Suspected).Ignore(leaderSilent).Ignore(promotionOrdered)
	return gu
}

// State returns the state of the group. The machine keeps its state in memory, so
// that reading it does not fail.
func (gu *Guard) State() State {
	state, err := gu.machine.State(context.Background())
	if err != nil {
		return Suspected
	}
	return state.(State)
}

func (gu *Guard) fire(tr trigger) { _ = gu.machine.Fire(tr) }

// SetTiming replaces the timeouts and the rank of the guard.
func (gu *Guard) SetTiming(timing Timing, rank int) {
	gu.timing = timing
	gu.rank = rank
}

// IsPrimaryAlive reports whether the group is healthy and its primary was alive within
// the given time, so that the caller may probe less often.
func (gu *Guard) IsPrimaryAlive(now time.Time, within time.Duration) bool {
	return gu.State() == Healthy && now.Sub(gu.leaderAliveAt) <= within
}

// Members returns a copy of the members with their newest reports.
func (gu *Guard) Members() []Member { return slices.Clone(gu.members) }

// Observe stores a member's report; probedAt is when the probe was sent. Reports of
// unknown members, and those whose probe was sent before that of the stored report,
// are ignored.
func (gu *Guard) Observe(name string, re Report, probedAt time.Time) {
	mem := gu.member(name)
	if mem == nil || probedAt.Before(mem.ProbedAt) {
		return
	}
	mem.Report = re
	mem.ProbedAt = probedAt
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

// highestTerm returns the highest term that any member reported.
func (gu *Guard) highestTerm() posn.Term {
	var top posn.Term
	for _, mem := range gu.members {
		if mem.Report.Term.Compare(top) > 0 {
			top = mem.Report.Term
		}
	}
	return top
}

// Decide returns the promotion or follow orders that are due.
func (gu *Guard) Decide(now time.Time) Order {
	// After a pause of the process all reports are old and would make the primary
	// look dead, so that both timeouts start again.
	if !gu.decidedAt.IsZero() && now.Sub(gu.decidedAt) > gu.timing.MaxReportAge {
		gu.leaderAliveAt, gu.majorityAt = now, now
	}
	gu.decidedAt = now
	top := gu.highestTerm()
	if top == (posn.Term{}) {
		return Order{}
	}
	gu.updateLiveness(top, now)
	if or, ok := gu.promotionOrder(top, now); ok {
		return or
	}
	return gu.followOrder(top, now)
}

// updateLiveness records when the primary was last alive and when its term last
// had a majority, and updates the state.
func (gu *Guard) updateLiveness(top posn.Term, now time.Time) {
	inTerm := 0
	for _, mem := range gu.members {
		if mem.Report.Term != top {
			continue
		}
		if now.Sub(mem.ProbedAt) <= gu.timing.MaxReportAge {
			inTerm++
		}
		if mem.Report.Primary {
			gu.recordLeaderAlive(mem.ProbedAt)
			continue
		}
		// A replica that still receives shows that its primary is alive.
		gu.recordLeaderAlive(mem.Report.Received)
	}
	if inTerm >= gu.majority() {
		gu.majorityAt = now
	}
	if now.Sub(gu.leaderAliveAt) <= gu.timing.SuspectAfter {
		gu.fire(leaderAlive)
		return
	}
	gu.fire(leaderSilent)
}

func (gu *Guard) recordLeaderAlive(at time.Time) {
	if at.After(gu.leaderAliveAt) {
		gu.leaderAliveAt = at
	}
}

// promotionOrder returns a promotion order if the primary has been silent for too
// long, or if its term has no majority although a majority of the members is
// reachable.
func (gu *Guard) promotionOrder(top posn.Term, now time.Time) (Order, bool) {
	leaderTimeout := gu.timing.SuspectAfter + time.Duration(gu.rank)*gu.timing.Stagger
	majorityTimeout := gu.timing.MajorityTimeout + time.Duration(gu.rank)*gu.timing.Stagger
	isLeaderLost := now.Sub(gu.leaderAliveAt) > leaderTimeout
	lacksMajority := now.Sub(gu.majorityAt) > majorityTimeout
	if (!isLeaderLost && !lacksMajority) || now.Before(gu.retryAt) {
		return Order{}, false
	}
	candidate, ok := gu.candidate(now)
	if !ok {
		// Leaves Promoting; the other states do not change.
		gu.fire(promotionFailed)
		return Order{}, false
	}
	if !isLeaderLost && candidate.Report.Primary && candidate.Report.Term == top {
		// The best candidate already is the primary of the highest term, so that the
		// other members only have to follow it.
		return Order{}, false
	}
	gu.retryAt = now.Add(gu.timing.MajorityTimeout)
	gu.fire(promotionOrdered)
	return Order{
		Promote:  candidate.Name,
		Expected: candidate.Report.Term,
		Claim:    posn.Term{Number: top.Number + 1, Primary: candidate.Name},
	}, true
}

// candidate returns the reachable member with the most advanced log, and whether
// a majority is reachable. Logs are compared by the term of their newest entry,
// not by the member's term: a member that was promoted and wrote nothing is not
// more advanced.
func (gu *Guard) candidate(now time.Time) (Member, bool) {
	var best Member
	fresh := 0
	for _, mem := range gu.members {
		if mem.ProbedAt.IsZero() || now.Sub(mem.ProbedAt) > gu.timing.MaxReportAge {
			continue
		}
		fresh++
		if best.Name == "" || mem.Report.Entry.Compare(best.Report.Entry) > 0 {
			best = mem
		}
	}
	return best, fresh >= gu.majority()
}

// followOrder orders the reachable members of lower terms to follow the primary
// of the highest term.
func (gu *Guard) followOrder(top posn.Term, now time.Time) Order {
	or := Order{PrimaryTerm: top}
	for _, mem := range gu.members {
		if mem.Report.Term == top && mem.Report.Primary {
			or.Primary = mem.Name
		}
	}
	if or.Primary == "" {
		return Order{}
	}
	for pos := range gu.members {
		mem := &gu.members[pos]
		isLower := mem.Report.Term.Compare(top) < 0
		isFresh := !mem.ProbedAt.IsZero() && now.Sub(mem.ProbedAt) <= gu.timing.MaxReportAge
		if !isLower || !isFresh || now.Before(mem.NextFollowAt) {
			continue
		}
		mem.NextFollowAt = now.Add(gu.timing.RetryInterval)
		or.Follow = append(or.Follow, mem.Name)
	}
	return or
}

// PromotionFailed records that a promotion failed; another may be ordered after
// Timing.RetryInterval instead of Timing.MajorityTimeout.
func (gu *Guard) PromotionFailed(now time.Time) {
	gu.retryAt = now.Add(gu.timing.RetryInterval)
	gu.fire(promotionFailed)
}
