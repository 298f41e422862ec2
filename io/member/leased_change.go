package member

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/elect"
	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/core/lease"
	"banyanspring/io/pool"
)

var (
	errTokenUnvetted = errors.New("the token was drawn before the group's present term was known")
	errOtherLeads    = errors.New("another upstream than the one to be replaced leads")
	errUnfrozen      = errors.New("a replica was restarted or unfrozen during the change")
	errTooLate       = errors.New("the change took so long that another member may have taken it over")
	errOtherChange   = errors.New("the candidate of an unanswered appointment is behind a frozen replica")
)

// stepDownTimeout bounds the order to the old leader to step down. It is short for a
// leader that is silent already.
const (
	stepDownTimeout     = 500 * time.Millisecond
	deadStepDownTimeout = 150 * time.Millisecond
)

// runLeasedChange is runChange for platforms on which a replaced leader goes on serving
// and fencing tokens are not checked. The old leader is ordered to step down before the
// appointment. If it does not confirm that, all replicas are frozen, so that no lease on
// it can be renewed, and the new leader is not written to before the last one has ended.
func (mo *monitor) runLeasedChange(ctx context.Context, reason elect.Reason) (string, error) {
	began := mo.me.deps.Now()
	token, ok := mo.me.roster.Token()
	if !ok {
		return "", errors.New("this member has no fencing token")
	}
	defer mo.renewSpentToken(token)
	if err := mo.currentAppointments().checkChange(token, reason, mo.me.deps.Now()); err != nil {
		return "", err
	}
	vi, leader := mo.me.listing(), mo.currentLeader()
	replicas := upstreamsExcept(vi.Members(mo.name), leader)
	statuses := mo.runOnAll(replicas, func(co *pool.Conn, deadline time.Time) (pool.Report, error) { return co.Status(deadline) })
	term := highestTerm(statuses)
	if err := mo.checkOtherChanges(statuses, token, term); err != nil {
		return "", err
	}
	candidate, isAdopted, ok := mo.chooseLeasedCandidate(mo.replicaStates(replicas, statuses), statuses)
	if !ok {
		return "", errNoCandidate
	}
	ch := &leasedChange{vi: vi, leader: leader, replicas: replicas, candidate: candidate, held: mo.heldLease(), term: term, callBy: began.Add(takeoverTimeout)}
	ch.isAdopted = isAdopted
	if err := mo.prepare(ctx, ch, reason); err != nil {
		if !errors.Is(err, errForeignFreeze) && !errors.Is(err, errTooLate) {
			mo.unfreezeUnlessPending(ch.frozen)
		}
		return ch.candidate.ID, err
	}
	event.Log(mo.me.log, event.PromotionBegun, "group", mo.name, "candidate", ch.candidate.ID, "reason", string(reason),
		"term", term+1, "token", token, "old", leader, "old_stopped", ch.isStopped, "writes_in_ms", max(0, ch.writesFrom.Sub(mo.me.deps.Now()).Milliseconds()))
	if err := mo.appoint(ctx, vi, ch.candidate.ID, token); err != nil {
		mo.unfreezeUnlessPending(ch.frozen)
		return ch.candidate.ID, err
	}
	mo.publishLeader(ch, token)
	return ch.candidate.ID, nil
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

// leasedChange is the state of one change of leader.
type leasedChange struct {
	vi     group.View
	leader string
	// replicas holds all listed members except the leader, and frozen those that were
	// ordered to freeze.
	replicas, frozen []group.Upstream
	// states holds the reports of the frozen replicas.
	states    []elect.Replica
	candidate elect.Replica
	// held is the evidence on the old leader, and term its term.
	held lease.Evidence
	term uint64
	// isAdopted is true if candidate is that of another member's abandoned change.
	isAdopted bool
	// callBy is when the appointment must have been sent. Later another member may
	// consider this change abandoned, for example if this one was suspended.
	callBy time.Time
	// isStopped is true once the old leader has confirmed that it does not lead.
	isStopped bool
	// writesFrom is when the last lease on the old leader has ended.
	writesFrom time.Time
}

// checkOtherChanges returns why the change must not begin because of another member's
// change or token, or nil if it may. While this member's own appointment is unanswered,
// the frozen replicas are its own.
func (mo *monitor) checkOtherChanges(statuses map[string]orderResult, token, term uint64) error {
	if mo.currentAppointments().pendingCandidate != "" {
		return nil
	}
	if mo.hasForeignFreeze(statuses) && !mo.isChangeAbandoned() {
		mo.me.vetting.recordForeign(mo.name)
		return errForeignFreeze
	}
	for _, res := range statuses {
		if res.err == nil && res.report.ClaimsLead && res.report.Term == term {
			return errOtherLeads
		}
	}
	if !mo.me.vetting.allows(mo.name, term, token) {
		mo.me.vetting.learn(mo.name, term)
		return errTokenUnvetted
	}
	return nil
}

// hasForeignFreeze reports whether a replica is frozen that this member has not ordered
// to freeze within the time of one attempt. A replica may stay frozen after an attempt
// that failed.
func (mo *monitor) hasForeignFreeze(statuses map[string]orderResult) bool {
	oldest := mo.me.deps.Now().Add(-takeoverTimeout)
	mo.mu.Lock()
	defer mo.mu.Unlock()
	for id, res := range statuses {
		if res.err == nil && res.report.FrozenTerm > 0 && mo.frozenAt[id].Before(oldest) {
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

// chooseLeasedCandidate is like chooseCandidate. If another member's change was
// abandoned, its appointment may still be carried out, so that the same candidate must
// be chosen: the only replica that is not frozen, or if all are, the one that
// elect.ChooseCandidate returns.
func (mo *monitor) chooseLeasedCandidate(states []elect.Replica, statuses map[string]orderResult) (chosen elect.Replica, isAdopted, ok bool) {
	var receiving []elect.Replica
	for _, re := range states {
		if re.Answered && statuses[re.ID].report.FrozenTerm == 0 {
			receiving = append(receiving, re)
		}
	}
	if len(receiving) == 1 && len(states) > 1 && mo.currentAppointments().pendingCandidate == "" {
		chosen, ok = elect.ChooseCandidate(receiving)
		return chosen, true, ok
	}
	chosen, ok = mo.chooseCandidate(states)
	return chosen, false, ok
}

// prepare freezes replicas, stops the old leader if it answers, and sets from when the
// new leader may be written to. A leader that answers serves until it is stopped: the
// candidate receives its log until then.
func (mo *monitor) prepare(ctx context.Context, ch *leasedChange, reason elect.Reason) error {
	if reason == elect.Dead {
		stopped := make(chan bool, 1)
		go func() { stopped <- mo.stepDown(ch, deadStepDownTimeout) }()
		mo.freezeReplicas(ch, ch.replicas)
		ch.isStopped = <-stopped
		return mo.finishPreparing(ch)
	}
	mo.freezeReplicas(ch, upstreamsExcept(ch.replicas, ch.candidate.ID))
	err := mo.awaitCatchUp(ctx, ch.vi, ch.candidate, ch.states, ch.term)
	if err != nil && !errors.Is(err, errBehind) {
		return err
	}
	ch.isStopped = mo.stepDown(ch, stepDownTimeout)
	if err == nil && ch.isStopped {
		ch.writesFrom = ch.held.WritesAfter(mo.me.deps.Now())
		return mo.checkOwnFreeze(ch)
	}
	mo.freezeReplicas(ch, ch.replicas)
	return mo.finishPreparing(ch)
}

// finishPreparing chooses the candidate once all replicas are frozen.
func (mo *monitor) finishPreparing(ch *leasedChange) error {
	if err := mo.chooseFrozen(ch); err != nil {
		return err
	}
	return mo.checkOwnFreeze(ch)
}

// checkOwnFreeze returns an error if the replicas are not frozen as this change has
// ordered, so that another member is changing the leader too, or if the time for the
// appointment is over.
func (mo *monitor) checkOwnFreeze(ch *leasedChange) error {
	statuses := mo.runOnAll(ch.replicas, func(co *pool.Conn, deadline time.Time) (pool.Report, error) { return co.Status(deadline) })
	for id, res := range statuses {
		isOrdered := slices.ContainsFunc(ch.frozen, func(up group.Upstream) bool { return up.ID == id })
		switch {
		case res.err != nil:
		case res.report.FrozenTerm > 0 && !isOrdered:
			mo.me.vetting.recordForeign(mo.name)
			return errForeignFreeze
		case res.report.FrozenTerm == 0 && ch.hasFrozen(id):
			return errUnfrozen
		}
	}
	if !mo.me.deps.Now().Before(ch.callBy) {
		return errTooLate
	}
	return nil
}

// hasFrozen reports whether the replica confirmed that it is frozen.
func (ch *leasedChange) hasFrozen(id string) bool {
	return slices.ContainsFunc(ch.states, func(re elect.Replica) bool { return re.ID == id && re.Answered })
}

// freezeReplicas orders the upstreams to freeze.
func (mo *monitor) freezeReplicas(ch *leasedChange, ups []group.Upstream) {
	mo.recordFreeze(ups)
	reports := mo.runOnAll(ups, func(co *pool.Conn, deadline time.Time) (pool.Report, error) {
		return co.Freeze(ch.term+1, deadline)
	})
	ch.frozen, ch.states = ups, mo.replicaStates(ups, reports)
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

// stepDown orders the old leader to step down and reports whether it confirmed that.
func (mo *monitor) stepDown(ch *leasedChange, timeout time.Duration) bool {
	up, ok := ch.vi.GetUpstreamByID(ch.leader)
	if !ok {
		return false
	}
	res := mo.runOn(up, timeout, func(co *pool.Conn, deadline time.Time) (pool.Report, error) {
		return co.StepDown(ch.term+1, deadline)
	})
	return res.err == nil && !res.report.ClaimsLead
}

// chooseFrozen makes the frozen replica with the highest received position the
// candidate, once all replicas are frozen. From then on the old leader acknowledges
// nothing and no lease on it is renewed.
func (mo *monitor) chooseFrozen(ch *leasedChange) error {
	now := mo.me.deps.Now()
	ch.writesFrom = now.Add(lease.Duration)
	if ch.isStopped {
		ch.writesFrom = ch.held.WritesAfter(now)
	}
	mo.refreshListed(ch.states)
	best, ok := elect.ChooseCandidate(ch.states)
	if !ok {
		return errNoCandidate
	}
	if pending := mo.currentAppointments().pendingCandidate; pending != "" {
		for _, re := range ch.states {
			if re.ID == pending && re.Answered && re.Received.Compare(best.Received) < 0 {
				return errOtherChange
			}
			if re.ID == pending && re.Answered {
				best = re
			}
		}
	}
	if ch.isAdopted {
		for _, re := range ch.states {
			if re.ID == ch.candidate.ID && re.Answered && re.Received.Compare(best.Received) == 0 {
				best = re
			}
		}
	}
	ch.candidate = best
	if obstacle := elect.CheckCandidate(best, ch.states, ch.term); obstacle != elect.NoObstacle {
		return errors.Newf("%s", string(obstacle))
	}
	return mo.checkNoNewUpstream(best.ID, ch.states)
}

// publishLeader records the lease on the new leader, which reaches the other members by
// the exchanges, and stops the old leader as soon as it answers.
func (mo *monitor) publishLeader(ch *leasedChange, token uint64) {
	up, _ := ch.vi.GetUpstreamByID(ch.candidate.ID)
	askedAt := mo.me.deps.Now()
	res := mo.runOn(up, orderTimeout, func(co *pool.Conn, deadline time.Time) (pool.Report, error) { return co.Status(deadline) })
	if res.err != nil || !res.report.ClaimsLead {
		// The requests that confirm the leader find the new term later.
		return
	}
	mo.me.vetting.recordOwn(mo.name, res.report.Term, token)
	mo.me.engine.AdoptLease(mo.name, lease.Evidence{
		Leader: up.ID, Term: res.report.Term, ConfirmedAt: askedAt, WritesFrom: ch.writesFrom,
	})
	if !ch.isStopped {
		go mo.stopOldLeader(ch, res.report.Term)
	}
}

// stopOldLeader orders the old leader to step down until it confirms that, is no longer
// listed, or leads again. Callers outside this fleet may still reach it.
func (mo *monitor) stopOldLeader(ch *leasedChange, term uint64) {
	for range stopTries {
		time.Sleep(stopInterval)
		if _, isListed := mo.me.listing().GetUpstreamByID(ch.leader); !isListed || mo.currentLeader() != ch.candidate.ID {
			return
		}
		old := *ch
		old.term = term - 1
		if mo.stepDown(&old, stepDownTimeout) {
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
