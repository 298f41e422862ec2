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
	"banyanspring/core/posn"
	"banyanspring/io/delay"
)

var (
	errNoToken       = errors.New("this member has no fencing token")
	errLeaderAnswers = errors.New("the leader answers")
	errListingOld    = errors.New("the listing may be old: a member has a newer one, or neither the store nor most members confirm it")
	errJoined        = errors.New("an upstream joined the group during the change")
	errRestarted     = errors.New("an upstream has restarted during the change")
	errOtherChange   = errors.New("the candidate of an unanswered appointment lacks writes that may have been acknowledged")
	errNotMarked     = errors.New("the candidate has changed since it was chosen")
	errNotLeading    = errors.New("the appointed candidate did not start to lead in time")
	errTooLate       = errors.New("the change took so long that another member may have taken it over")
	errNotStaying    = errors.New("no replica that stays has received what the leader has")
)

// obstacleError is why no upstream could be appointed.
type obstacleError struct{ obstacle elect.Obstacle }

func (oe obstacleError) Error() string { return string(oe.obstacle) }

const (
	// maxRetryDoublings limits the shift by the number of failures, which would overflow.
	maxRetryDoublings = 8
	// catchUpTries is how often it is checked whether a replica has received the log of a
	// leader that still leads, and stoppedCatchUp how long of one that has stopped: entries
	// in flight still arrive.
	catchUpTries   = 4
	stoppedCatchUp = 200 * time.Millisecond
	// catchUpPause is the time between two such checks, and catchUpTimeout bounds one.
	catchUpPause   = 25 * time.Millisecond
	catchUpTimeout = 150 * time.Millisecond
	// surveyTimeout bounds the requests for reports, and silentSurveyTimeout the one to a
	// leader that is silent to this member.
	surveyTimeout       = 350 * time.Millisecond
	silentSurveyTimeout = 80 * time.Millisecond
	// silentStopTimeout bounds the order to such a leader to step down, and orders to silent
	// replicas if the change is urgent.
	silentStopTimeout = 150 * time.Millisecond
)

// changeLeader replaces the group's leader and, after a failure, sets when to
// retry. Package elect describes why a change is safe.
func (mo *monitor) changeLeader(ctx context.Context, reason elect.Reason) {
	began := mo.me.deps.Now()
	candidate, err := mo.runChange(ctx, reason)
	now := mo.me.deps.Now()
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.isChanging = false
	if err != nil {
		mo.retryAt = now.Add(min(changeRetryMin<<min(mo.failures, maxRetryDoublings), maxChangeRetry(reason)))
		if IsErrAppointRefused(err) {
			// The platform may be carrying out the call of a newer coordinator.
			mo.retryAt = now.Add(refusedRetry)
		}
		mo.failures++
		event.Log(mo.me.log, event.PromotionFailed, "group", mo.name, "candidate", candidate, "reason", string(reason),
			"error", err.Error(), "took", now.Sub(began).String())
		return
	}
	mo.leader, mo.watchedSince, mo.heardAt, mo.refused = candidate, now, now, false
	mo.changedAt, mo.failures, mo.appointments.pendingCandidate = now, 0, ""
	// A promotion unfreezes all replicas.
	clear(mo.frozenAt)
	event.Log(mo.me.log, event.HandoverDone, "group", mo.name, "upstream", candidate, "reason", string(reason),
		"took", now.Sub(began).String())
}

// maxChangeRetry bounds the pause after a failed change. Writes are not served while a
// change is unfinished, and a leader that is leaving has a deadline.
func maxChangeRetry(reason elect.Reason) time.Duration {
	if reason == elect.Leaving || reason == elect.Unfinished {
		return urgentRetryMax
	}
	return changeRetryMax
}

// leaderChange is the state of one attempt to replace a leader.
type leaderChange struct {
	reason elect.Reason
	token  uint64
	// callBy is when the appointment must have been sent.
	callBy time.Time
	view   group.View
	leader group.Upstream
	// isLeaderListed is false if the platform no longer lists the leader, and isSilent is
	// true if this member has not heard from it for a while.
	isLeaderListed, isSilent bool
	// replicas holds all other upstreams that may be running, listed or not, and ended
	// those that have ended.
	replicas []group.Upstream
	ended    []former
	// forgotten holds what other members have answered as bounds of the upstreams that have left and that
	// they do not know.
	forgotten []posn.Position
	// leaderResult and results are the latest answers.
	leaderResult orderResult
	results      map[string]orderResult
	// suspension is that of the writes to a leader that may not have stopped; nil if none
	// was begun.
	suspension *suspension
	// term is that of the leader.
	term uint64
	// isStopped is true once the leader, which led term, has confirmed that it leads no
	// more.
	isStopped bool
	// freezeTerm is the term for which replicas are ordered to freeze: that of the next leader, or
	// a higher one if they ignored that.
	freezeTerm uint64
	// frozen holds the replicas that were ordered to freeze, and confirmed the IDs of those
	// that reported that they are.
	frozen    []group.Upstream
	confirmed map[string]bool
	// hasForeignFreeze is true if a replica was frozen before, not by this member.
	hasForeignFreeze bool
	// adopted is the candidate of another coordinator's change that is not finished; empty
	// if there is none. The call of that change may still be carried out.
	adopted string
	leases  leasedChange
}

// runChange replaces the leader. It asks the leader and all replicas for their reports,
// orders the leader to stop, and appoints an upstream that is proven to hold all writes
// that were acknowledged. A leader that does not confirm that it has stopped may still
// acknowledge writes; then all replicas are frozen first. It returns the ID of the
// candidate, which is empty if none was chosen.
func (mo *monitor) runChange(ctx context.Context, reason elect.Reason) (string, error) {
	token, ok := mo.changeToken()
	if !ok {
		return "", errNoToken
	}
	defer mo.renewSpentToken(token)
	if err := mo.currentAppointments().checkToken(token, reason, mo.me.deps.Now()); err != nil {
		return "", err
	}
	ch := mo.newChange(reason, token)
	if err := mo.survey(ch); err != nil {
		mo.endSuspension(ch)
		return "", err
	}
	candidate, err := mo.prepareChange(ctx, ch)
	if err != nil {
		mo.release(ch, err)
		return candidate.ID, err
	}
	required, proof, _ := mo.state(ch).Required()
	event.Log(mo.me.log, event.PromotionBegun, "group", mo.name, "candidate", candidate.ID, "reason", string(reason),
		"term", ch.term+1, "token", token, "old", ch.leader.ID, "old_stopped", ch.isStopped, "received", formatPosition(candidate.Received),
		"required", formatPosition(required), "proof", string(proof),
		"writes_in_ms", max(0, ch.leases.writesFrom.Sub(mo.me.deps.Now()).Milliseconds()))
	if err := mo.appoint(ctx, ch, candidate.ID); err != nil {
		mo.release(ch, err)
		return candidate.ID, err
	}
	mo.forgetStopped()
	if ch.isStopped || !mo.me.settings.LeasesRequired {
		// The old leader leads no more.
		mo.endSuspension(ch)
	} else {
		mo.narrowSuspension(ch)
	}
	if mo.me.settings.LeasesRequired {
		mo.publishLeader(ch, candidate.ID)
	}
	return candidate.ID, nil
}

// newChange returns a change with the upstreams through which the leader may have
// acknowledged writes.
func (mo *monitor) newChange(reason elect.Reason, token uint64) *leaderChange {
	vi, id := mo.me.listing(), mo.currentLeader()
	now := mo.me.deps.Now()
	ch := &leaderChange{reason: reason, token: token, view: vi, callBy: now.Add(takeoverTimeout)}
	ch.isSilent = reason == elect.Dead || mo.isSilent(now)
	ch.leader, ch.isLeaderListed = vi.GetUpstreamByID(id)
	ch.replicas = upstreamsExcept(vi.Members(mo.name), id)
	ch.leader.ID = id
	mo.addFormers(ch)
	ch.leader.Group = mo.name
	return ch
}

// addFormers adds the upstreams that are no longer listed, and were not known to this member when
// the change began.
func (mo *monitor) addFormers(ch *leaderChange) {
	for _, fr := range mo.me.formers.ofGroup(mo.name) {
		isEnded := slices.ContainsFunc(ch.ended, func(known former) bool { return known.upstream.IsSameIncarnation(fr.upstream) })
		switch {
		case isEnded || slices.ContainsFunc(ch.replicas, fr.upstream.IsSameIncarnation):
		case fr.upstream.ID == ch.leader.ID:
			if !ch.isLeaderListed {
				ch.leader = fr.upstream
			}
		case fr.endedAt.IsZero():
			ch.replicas = append(slices.Clone(ch.replicas), fr.upstream)
		default:
			ch.ended = append(ch.ended, fr)
		}
	}
}

// prepareChange stops the leader or freezes its replicas, and returns the upstream that is
// proven to hold all acknowledged writes.
func (mo *monitor) prepareChange(ctx context.Context, ch *leaderChange) (elect.Replica, error) {
	isLeading := ch.leaderResult.err == nil && ch.leaderResult.report.ClaimsLead
	if isLeading {
		err := mo.awaitCatchUp(ctx, ch)
		isHeldUp := errors.Is(err, errNotStaying) && mo.isHeldUpByFreezes(ch)
		if err != nil && !isHeldUp {
			return elect.Replica{}, err
		}
	}
	if mo.me.settings.LeasesRequired {
		if err := mo.claimLeasedChange(ctx, ch); err != nil {
			return elect.Replica{}, err
		}
	}
	if isLeading && !mo.currentAppointments().mayBeAppointedLate(ch.leader.ID, mo.me.deps.Now()) {
		mo.stopLeader(ch)
	}
	candidate, err := mo.chooseCandidate(ctx, ch)
	if err != nil {
		return elect.Replica{}, err
	}
	return candidate, mo.beforeCall(ch, candidate)
}

// chooseCandidate returns the upstream to appoint. The replicas are frozen only if the leader's log
// proves nothing.
func (mo *monitor) chooseCandidate(ctx context.Context, ch *leaderChange) (elect.Replica, error) {
	if ch.isStopped {
		if candidate, isProven, err := mo.chooseByStoppedLog(ctx, ch); isProven {
			return candidate, err
		}
	}
	return mo.chooseFrozen(ctx, ch)
}

// chooseByStoppedLog returns the best upstream that holds the log of the leader, which has stopped,
// and false if that log proves nothing.
func (mo *monitor) chooseByStoppedLog(ctx context.Context, ch *leaderChange) (elect.Replica, bool, error) {
	if candidate, ok := mo.awaitStoppedLog(ctx, ch); ok {
		return candidate, true, nil
	}
	st := withoutFreezes(mo.state(ch))
	if _, obstacle := st.Candidates(); obstacle != elect.NoObstacle {
		return elect.Replica{}, false, nil
	}
	candidate, err := mo.choose(ch, st)
	return candidate, true, err
}

// chooseFrozen freezes all replicas and returns the best upstream that may be appointed.
func (mo *monitor) chooseFrozen(ctx context.Context, ch *leaderChange) (elect.Replica, error) {
	if err := mo.freezeAll(ctx, ch); err != nil {
		return elect.Replica{}, err
	}
	return mo.choose(ch, mo.state(ch))
}

// choose returns the best upstream that may be appointed.
func (mo *monitor) choose(ch *leaderChange, st elect.Change) (elect.Replica, error) {
	candidates, obstacle := st.Candidates()
	if obstacle == elect.BelowKnown {
		mo.logKnown(event.KnownAwaited, st, st.MostAdvanced())
	}
	if obstacle != elect.NoObstacle {
		return elect.Replica{}, obstacleError{obstacle}
	}
	candidate, ok := mo.preferred(ch, candidates)
	if !ok {
		return elect.Replica{}, errOtherChange
	}
	isLastResort := !ch.isStopped && st.IsLastResort()
	if _, _, isBelow := st.KnownAbove(candidate.Received); isBelow || isLastResort {
		mo.logKnown(event.LastResort, st, candidate)
	}
	if isLastResort {
		mo.logStep("last_resort", candidate.ID+" alone holds writes and may end before the silent ones answer", ch.allResults())
	}
	return candidate, nil
}

// preferred returns the candidate to appoint: that of another coordinator's unfinished
// change if it is among them, else the best. While an appointment of this member is
// unanswered, only its candidate may be appointed, since the platform may carry out the
// call at any time.
func (mo *monitor) preferred(ch *leaderChange, candidates []elect.Replica) (elect.Replica, bool) {
	pending := mo.currentAppointments().pendingCandidate
	for _, id := range []string{pending, ch.adopted} {
		pos := slices.IndexFunc(candidates, func(re elect.Replica) bool { return re.ID == id })
		if pos >= 0 {
			return candidates[pos], true
		}
	}
	return candidates[0], pending == ""
}

// beforeCall marks the candidate for other coordinators, and returns why the appointment
// must not be sent any more.
func (mo *monitor) beforeCall(ch *leaderChange, candidate elect.Replica) error {
	if !mo.me.settings.LeasesRequired && ch.isStopped {
		return mo.markCandidate(ch, candidate)
	}
	if !mo.me.settings.LeasesRequired {
		return mo.checkNoNewUpstream(ch)
	}
	ch.leases.writesFrom = ch.leases.held.WritesAfter(mo.me.deps.Now())
	if !ch.isStopped {
		ch.leases.writesFrom = mo.me.deps.Now().Add(lease.Duration)
	}
	return mo.checkOwnFreeze(ch)
}

// release ends a failed attempt. Frozen replicas stay frozen while a call that relies on
// the freeze may be in flight or the leader is not known to lead; unfreezeAbandoned
// unfreezes them later, and ends the suspension of writes.
func (mo *monitor) release(ch *leaderChange, err error) {
	if ch.isStopped && !isOtherLeading(err) && !mo.me.settings.LeasesRequired {
		mo.shareStop(ch)
	}
	if len(ch.frozen) == 0 {
		mo.endSuspension(ch)
		return
	}
	if mo.me.settings.LeasesRequired {
		if !errors.Is(err, errForeignFreeze) && !errors.Is(err, errTooLate) {
			mo.unfreezeUnlessPending(ch.frozen)
		}
		return
	}
	if isOtherLeading(err) && !ch.hasForeignFreeze {
		// This member may be no coordinator any more when the check is due.
		mo.unfreezeUnlessPending(ch.frozen)
		mo.endSuspension(ch)
		return
	}
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.frozenCheckAt = mo.me.deps.Now().Add(frozenCheckRetry)
}

// isOtherLeading reports whether a change failed since another upstream leads already.
func isOtherLeading(err error) bool {
	var oe obstacleError
	return errors.As(err, &oe) && (oe.obstacle == elect.OtherLeads || oe.obstacle == elect.TermChanged)
}

// appoint has the platform make the candidate the leader, and waits until it leads. A
// deferred call is sent again. An unanswered one ends the attempt: it may still be carried
// out, and is repeated by the next attempt with the same token, after a new proof.
func (mo *monitor) appoint(ctx context.Context, ch *leaderChange, id string) error {
	up, ok := ch.upstreamByID(id)
	if !ok {
		return errors.Newf("upstream %s is not part of the change", id)
	}
	if err := mo.sendInTime(ctx, ch, up); err != nil {
		return err
	}
	for until := mo.me.deps.Now().Add(takeoverTimeout); mo.me.deps.Now().Before(until); {
		now := mo.me.deps.Now()
		if _, leads, err := mo.me.orders.queryLead(up, now.Add(probeTimeout)); err == nil && leads {
			mo.me.engine.RecordLeaderProof(mo.name, id, now)
			return nil
		}
		if !ch.isStopped {
			mo.freezeJoined(ch)
		}
		if !delay.Pause(ctx, takeoverPoll) {
			return ctx.Err()
		}
	}
	return errNotLeading
}

// sendInTime sends the appointment until the platform answers, but not after callBy: a proof
// is no longer good once another coordinator may consider the change abandoned, for example
// if this instance was suspended.
func (mo *monitor) sendInTime(ctx context.Context, ch *leaderChange, up group.Upstream) error {
	for mo.me.deps.Now().Before(ch.callBy) {
		err := mo.sendAppointment(ctx, up, ch.token)
		if IsErrAppointRefused(err) {
			event.Log(mo.me.log, event.DutyRefused, "group", mo.name, "candidate", up.ID, "token", ch.token, "error", err.Error())
			mo.me.roster.requestNewToken(ch.token)
		}
		if !IsErrAppointDeferred(err) {
			return err
		}
		if !delay.Pause(ctx, takeoverPoll) {
			return ctx.Err()
		}
	}
	return errTooLate
}
