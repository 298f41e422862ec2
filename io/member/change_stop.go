package member

import (
	"context"
	"slices"

	"banyanspring/core/elect"
	"banyanspring/core/group"
	"banyanspring/io/delay"
)

// recordStopped records that the leader has stopped, so that the change is continued.
func (mo *monitor) recordStopped(ch *leaderChange) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.stopped = stoppedLeader{id: ch.leader.ID, term: ch.term, until: ch.callBy}
}

func (mo *monitor) forgetStopped() {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.stopped = stoppedLeader{}
}

// shareStop tells all members that the leader has stopped, unless they were told lately: this
// coordinator may be replaced before the change is finished, and nothing but this shows the next
// one that no other upstream led after the leader's term.
func (mo *monitor) shareStop(ch *leaderChange) {
	known, until := mo.me.permits.stopped(mo.name)
	if known.id == ch.leader.ID && known.term == ch.term && until.Sub(mo.me.deps.Now()) > suspensionLimit/2 {
		return
	}
	su := mo.me.permits.begin(mo.name, "", ch.token).WithStop(ch.leader.ID, ch.term)
	if ch.suspension == nil {
		su = su.WithEnd()
	} else {
		ch.suspension.Suspension = su
	}
	mo.me.permits.suspend(su)
	mo.sendToMembers(su)
}

// awaitCatchUp waits until a replica that stays could replace a leader that still leads.
// Until then the leader goes on.
func (mo *monitor) awaitCatchUp(ctx context.Context, ch *leaderChange) error {
	for range catchUpTries {
		st := mo.stateIfStopped(ch)
		candidates, obstacle := st.Candidates()
		if obstacle == elect.NoObstacle && st.IsStaying(candidates[0]) {
			return nil
		}
		if !slices.ContainsFunc(st.Replicas, func(re elect.Replica) bool { return re.Answered && st.IsStaying(re) }) {
			break
		}
		if !delay.Pause(ctx, catchUpPause) {
			return ctx.Err()
		}
		mo.askListed(ch, catchUpTimeout)
	}
	mo.logStep("catch_up", "the leader goes on until a replica has received its log", ch.allResults())
	return errNotStaying
}

// isHeldUpByFreezes reports whether the leader is leaving and all replicas that stay and answer are
// frozen, so that none receives its log. A call that relies on the freezes may be in flight, and
// nobody may unfreeze them before it cannot be carried out any more. But an appointment ends them,
// that of the leader itself included, and fences off such a call.
func (mo *monitor) isHeldUpByFreezes(ch *leaderChange) bool {
	st := mo.state(ch)
	isFrozen := false
	for _, re := range st.Replicas {
		if !re.Answered || !st.IsStaying(re) {
			continue
		}
		if !re.IsFrozen {
			return false
		}
		isFrozen = true
	}
	return isFrozen && st.Leader.IsLeaving && !mo.me.settings.LeasesRequired
}

// stopLeader orders the leader, which leads, to step down.
func (mo *monitor) stopLeader(ch *leaderChange) {
	res := mo.askLeader(ch, orderTimeout, order{Kind: orderStepDown, Term: ch.term + 1})
	mo.logStep("step_down", "a leader that has stopped acknowledges nothing more", map[string]orderResult{ch.leader.ID: res})
	if res.err != nil {
		return
	}
	mo.applyStop(ch, res)
}

// applyStop applies the leader's answer to the order to step down.
func (mo *monitor) applyStop(ch *leaderChange, res orderResult) {
	ch.leaderResult = res
	re := res.report
	if !re.ClaimsLead && re.Term == ch.term && re.LedTerm == ch.term {
		ch.isStopped = true
		mo.recordStopped(ch)
	}
}

// awaitStoppedLog waits until a replica that stays has received the log of the leader that
// has stopped, and returns it.
func (mo *monitor) awaitStoppedLog(ctx context.Context, ch *leaderChange) (elect.Replica, bool) {
	until := mo.me.deps.Now().Add(stoppedCatchUp)
	for {
		mo.askListed(ch, catchUpTimeout)
		st := withoutFreezes(mo.state(ch))
		candidates, obstacle := st.Candidates()
		if obstacle != elect.NoObstacle {
			break
		}
		if candidate, ok := mo.preferred(ch, candidates); ok && st.IsStaying(candidate) {
			mo.logStep("prove", "the candidate has received the stopped leader's log: "+candidate.ID, ch.allResults())
			return candidate, true
		}
		if !mo.me.deps.Now().Before(until) || !delay.Pause(ctx, catchUpPause) {
			break
		}
	}
	mo.logStep("catch_up", "no replica that stays has received the stopped leader's log", ch.allResults())
	return elect.Replica{}, false
}

// withoutFreezes returns the change as if no replica were frozen: only the log of a leader
// that has stopped is a proof then. Replicas that another coordinator has frozen are not all
// through which the leader has acknowledged writes.
func withoutFreezes(st elect.Change) elect.Change {
	for pos := range st.Replicas {
		st.Replicas[pos].IsFrozen = false
	}
	return st
}

// markCandidate freezes the candidate of a leader that has stopped, from which it needs
// nothing more. Another coordinator that finds it frozen chooses the same one.
func (mo *monitor) markCandidate(ch *leaderChange, candidate elect.Replica) error {
	up, ok := ch.upstreamByID(candidate.ID)
	isMarked := ok && mo.isOwnFreeze(up.ID) && ch.results[up.ID].report.FrozenTerm > ch.term
	if !ok || isMarked || up.ID == ch.leader.ID {
		return nil
	}
	ch.frozen = []group.Upstream{up}
	mo.recordFreeze(ch.frozen)
	res := mo.me.orders.runAnyhow(up, orderTimeout, relayAfter, order{Kind: orderFreeze, Term: ch.term + 1})
	mo.logStep("mark", "another coordinator must choose the same candidate", map[string]orderResult{up.ID: res})
	re := res.report
	if res.err == nil && (re.FrozenTerm == 0 || re.ClaimsLead || re.Term != ch.term || re.Received.Compare(candidate.Received) < 0) {
		return errNotMarked
	}
	return res.err
}
