package member

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/elect"
	"banyanspring/core/group"
	"banyanspring/core/lease"
	"banyanspring/io/pool"
)

var (
	errTokenUnvetted = errors.New("the token was drawn before the group's present term was known")
	errUnfrozen      = errors.New("a replica was restarted or unfrozen during the change")
	errTooLate       = errors.New("the change took so long that another member may have taken it over")
)

// leasedChange is the part of a change that matters only on platforms on which a replaced
// leader goes on serving and fencing tokens are not checked. There the freeze of the
// replicas orders the coordinators, and the new leader is not written to before the last
// lease on an old one that has not stopped has ended.
type leasedChange struct {
	// held is the evidence on the old leader.
	held lease.Evidence
	// writesFrom is when the last lease on the old leader has ended.
	writesFrom time.Time
}

// checkLeasedChange returns why the change must not begin because of another member's
// change or token, or nil if it may. While this member's own appointment is unanswered,
// the frozen replicas are its own.
func (mo *monitor) checkLeasedChange(ch *leaderChange) error {
	ch.leases.held = mo.heldLease()
	if mo.currentAppointments().pendingCandidate != "" {
		return nil
	}
	if mo.hasForeignFreeze(ch.results, mo.me.deps.Now().Add(-takeoverTimeout)) && !mo.isChangeAbandoned() {
		mo.me.vetting.recordForeign(mo.name)
		return errForeignFreeze
	}
	if !mo.me.vetting.allows(mo.name, ch.term, ch.token) {
		mo.me.vetting.learn(mo.name, ch.term)
		return errTokenUnvetted
	}
	ch.adopted = ch.onlyReplica(func(re pool.Report) bool { return re.FrozenTerm == 0 })
	return nil
}

// claimLeasedChange freezes all replicas except the candidate, while the leader still
// leads: another member that finds them frozen does not begin a change.
func (mo *monitor) claimLeasedChange(ctx context.Context, ch *leaderChange) error {
	if ch.leaderResult.err != nil || !ch.leaderResult.report.ClaimsLead {
		return nil
	}
	candidate, err := mo.chooseClaimed(ch)
	if err != nil {
		return err
	}
	ch.frozen = upstreamsExcept(ch.replicas, candidate)
	mo.recordFreeze(ch.frozen)
	results := mo.me.orders.runAll(ch.frozen, orderTimeout, order{Kind: orderFreeze, Term: ch.term + 1})
	ch.confirmFreeze(results)
	mo.logStep("claim", "all replicas but "+candidate+" are frozen to order the coordinators", results)
	return ctx.Err()
}

// chooseClaimed returns the replica that is not frozen while the leader still leads.
func (mo *monitor) chooseClaimed(ch *leaderChange) (string, error) {
	if id := mo.currentAppointments().pendingCandidate; id != "" {
		return id, nil
	}
	if ch.adopted != "" {
		return ch.adopted, nil
	}
	candidates, obstacle := mo.stateIfStopped(ch).Candidates()
	if obstacle != elect.NoObstacle {
		return "", obstacleError{obstacle}
	}
	return candidates[0].ID, nil
}

// heldLease returns this member's evidence on the group's leader.
func (mo *monitor) heldLease() lease.Evidence {
	for _, op := range mo.me.engine.Opinions() {
		if op.Group == mo.name {
			return op.Lease
		}
	}
	return lease.Evidence{}
}

// hasForeignFreeze reports whether a replica is frozen that this member has not ordered to
// freeze since the time given. A replica may stay frozen after an attempt that failed.
func (mo *monitor) hasForeignFreeze(statuses map[string]orderResult, since time.Time) bool {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	for id, res := range statuses {
		orderedAt := mo.frozenAt[id]
		if res.err == nil && res.report.FrozenTerm > 0 && (orderedAt.IsZero() || orderedAt.Before(since)) {
			return true
		}
	}
	return false
}

// isChangeAbandoned reports whether the member that froze the replicas has given up.
func (mo *monitor) isChangeAbandoned() bool {
	now := mo.me.deps.Now()
	mo.mu.Lock()
	defer mo.mu.Unlock()
	if mo.confirmation.frozenSince.IsZero() {
		mo.confirmation.frozenSince = now
	}
	return mo.isAbandoned(now)
}

// checkOwnFreeze returns an error if the replicas are not frozen as this change has
// ordered, so that another member is changing the leader too, or if the time for the
// appointment is over.
func (mo *monitor) checkOwnFreeze(ch *leaderChange) error {
	statuses := mo.me.orders.runAll(ch.replicas, orderTimeout, order{Kind: orderStatus})
	for id, res := range statuses {
		isOrdered := slices.ContainsFunc(ch.frozen, func(up group.Upstream) bool { return up.ID == id })
		switch {
		case res.err != nil:
		case res.report.FrozenTerm > 0 && !isOrdered:
			mo.me.vetting.recordForeign(mo.name)
			return errForeignFreeze
		case res.report.FrozenTerm == 0 && ch.confirmed[id]:
			return errUnfrozen
		}
	}
	if !mo.me.deps.Now().Before(ch.callBy) {
		return errTooLate
	}
	return nil
}

// isOwnFreeze reports whether this member has ordered the replica to freeze.
func (mo *monitor) isOwnFreeze(id string) bool {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	return !mo.frozenAt[id].IsZero()
}

// recordFreeze records when the upstreams are ordered to freeze.
func (mo *monitor) recordFreeze(ups []group.Upstream) {
	now := mo.me.deps.Now()
	mo.mu.Lock()
	defer mo.mu.Unlock()
	for _, up := range ups {
		mo.frozenAt[up.ID] = now
	}
}

// publishLeader records the lease on the new leader, which reaches the other members by
// the exchanges, and stops the old leader as soon as it answers.
func (mo *monitor) publishLeader(ch *leaderChange, id string) {
	up, _ := ch.upstreamByID(id)
	askedAt := mo.me.deps.Now()
	res := mo.me.orders.run(up, orderTimeout, order{Kind: orderStatus})
	if res.err != nil || !res.report.ClaimsLead {
		// The requests that confirm the leader find the new term later.
		return
	}
	mo.me.vetting.recordOwn(mo.name, res.report.Term, ch.token)
	mo.me.engine.AdoptLease(mo.name, lease.Evidence{
		Leader: up.ID, Term: res.report.Term, ConfirmedAt: askedAt, WritesFrom: ch.leases.writesFrom,
	})
	if !ch.isStopped {
		go mo.stopOldLeader(ch, id, res.report.Term)
	}
}

// stopOldLeader orders the old leader to step down until it confirms that, is no longer
// listed, or leads again. Callers outside this fleet may still reach it.
func (mo *monitor) stopOldLeader(ch *leaderChange, id string, term uint64) {
	for range stopTries {
		time.Sleep(stopInterval)
		old, isListed := mo.me.listing().GetUpstreamByID(ch.leader.ID)
		if !isListed || mo.currentLeader() != id {
			return
		}
		res := mo.me.orders.run(old, orderTimeout, order{Kind: orderStepDown, Term: term})
		if res.err == nil && !res.report.ClaimsLead {
			return
		}
	}
}

const (
	// stopInterval is the time between two orders to an old leader that did not step
	// down before it was replaced, and stopTries their number.
	stopInterval = time.Second
	stopTries    = 30
)
