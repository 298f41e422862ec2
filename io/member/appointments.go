package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/elect"
	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/core/revn"
)

// appointments holds the state of a monitor's appointment calls and of its orders to
// unfreeze replicas. The platform may carry out an unanswered call, and an upstream an
// unanswered order, seconds later. The rules are modelled in spec/handover.pml.
//
// Each call carries this member's fencing token. A token is spent once a call with it
// was refused or not answered: the next change of leader needs a newer one.
//
// The platform's fencing token is never raised by appointing the present leader,
// although that is said to change nothing: if the leader has changed by then, the
// call appoints the old one again.
type appointments struct {
	// spentToken is the newest spent token. It is used for another change only if a newer
	// one cannot be had and the leader is dead.
	spentToken uint64
	// lateCandidate is the upstream of the last unanswered call, and lateCallUntil the time
	// until which that call may be carried out. Until then its token, which is spentToken,
	// must not be used for another change, since the platform would still accept that call.
	lateCandidate string
	lateCallUntil time.Time
	// pendingCandidate is the upstream of an unanswered appointment, pendingBorn its
	// incarnation and pendingToken the token of the call. The replicas frozen for it stay frozen, and the change is continued with
	// the same token, until the upstream leads or has ended, or the call can no longer be
	// carried out.
	pendingCandidate string
	pendingBorn      int64
	pendingToken     uint64
	// lateUnfreezeUntil is the time until which an unanswered order may still unfreeze
	// a replica. Until then no change relies on frozen replicas alone.
	lateUnfreezeUntil time.Time
}

// maxOrderDelay is the longest time after sending at which a call or an order may
// be carried out: 12 s according to the platform's documentation and the bench,
// plus 1 s.
const maxOrderDelay = 13 * time.Second

var (
	errTokenSpent          = errors.New("the token was already used in a call that was refused or not answered")
	errUnconfirmedUnfreeze = errors.New("an unanswered order may still unfreeze a replica")
	errLateAppointment     = errors.New("an unanswered call may still appoint the leader")
	errForeignFreeze       = errors.New("a replica is frozen for another coordinator's change")
)

// checkToken returns why a change of leader must not begin with the token, or nil if it
// may.
func (ap appointments) checkToken(token uint64, reason elect.Reason, now time.Time) error {
	if ap.pendingCandidate != "" || token > ap.spentToken {
		return nil
	}
	if reason == elect.Dead && !now.Before(ap.lateCallUntil) {
		return nil
	}
	return errTokenSpent
}

// isRepeat reports whether a call for the upstream with the token repeats an unanswered one.
func (ap appointments) isRepeat(id string, token uint64) bool {
	return ap.pendingCandidate == id && ap.pendingToken == token
}

// changeToken returns the token with which a change begins or continues; false if there is none.
// An unanswered call of an earlier era of the store is repeated with its own token: the
// repeated call may be carried out late, and the token of a coordinator that began a change
// meanwhile must fence it off (RESTORE in spec/handover.pml). Where the platform does not
// check tokens, the newest one is used, since lower ones may be used no more.
func (mo *monitor) changeToken() (uint64, bool) {
	ap := mo.currentAppointments()
	isOld := ap.pendingCandidate != "" && revn.EraOf(ap.pendingToken) < mo.me.era.load()
	if isOld && !mo.me.settings.LeasesRequired {
		return ap.pendingToken, true
	}
	return mo.me.roster.Token()
}

// mayBeAppointedLate reports whether an unanswered call may still appoint the upstream. While
// the upstream leads, the call changes nothing; if it was stopped, it would lead again.
func (ap appointments) mayBeAppointedLate(id string, now time.Time) bool {
	return ap.lateCandidate == id && now.Before(ap.lateCallUntil)
}

// checkFreeze returns why a change must not rely on frozen replicas alone, or nil if it
// may. hasForeign is true if a replica is frozen that this member has not ordered to
// freeze: its coordinator may unfreeze it at any time. A dead leader is replaced
// nevertheless, since callers are waiting and that coordinator unfreezes only for a leader
// that leads.
func (ap appointments) checkFreeze(reason elect.Reason, hasForeign bool, now time.Time) error {
	switch {
	case now.Before(ap.lateUnfreezeUntil):
		return errUnconfirmedUnfreeze
	case hasForeign && reason != elect.Dead && ap.pendingCandidate == "":
		return errForeignFreeze
	}
	return nil
}

// checkFreeze returns why the change must not rely on frozen replicas alone.
func (mo *monitor) checkFreeze(ch *leaderChange) error {
	if ch.isStopped || mo.me.settings.LeasesRequired {
		return nil
	}
	hasForeign := ch.adopted == "" && mo.hasForeignFreeze(ch.results, time.Time{})
	reason := ch.reason
	if ch.isSilent && ch.leaderResult.err != nil {
		// It was first found to be out of reach of some members, or leaving.
		reason = elect.Dead
	}
	return mo.currentAppointments().checkFreeze(reason, hasForeign, mo.me.deps.Now())
}

// currentAppointments returns a copy of the monitor's appointments.
func (mo *monitor) currentAppointments() appointments {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	return mo.appointments
}

// sendAppointment calls the platform once to appoint an upstream. A refused or
// unanswered call spends the token; an unanswered one leaves the candidate pending.
func (mo *monitor) sendAppointment(ctx context.Context, up group.Upstream, token uint64) error {
	id := up.ID
	if ap := mo.currentAppointments(); revn.EraOf(token) < mo.me.era.load() && !ap.isRepeat(id, token) {
		return errTokenEra
	}
	ctx, cancel := context.WithTimeout(ctx, appointTimeout)
	defer cancel()
	err := mo.me.deps.Appoint(ctx, Appointment{
		Group: mo.name, Upstream: id, Holder: mo.me.settings.Name, Token: token,
	})
	event.Log(mo.me.log, event.AppointAnswered, "group", mo.name, "candidate", id, "token", token, "error", errText(err))
	if IsErrAppointDeferred(err) {
		return err
	}
	mo.mu.Lock()
	defer mo.mu.Unlock()
	if err == nil {
		if token > mo.appointments.spentToken {
			// The platform refuses an unanswered call with a lower token from now on.
			mo.appointments.lateCallUntil = time.Time{}
		}
		return nil
	}
	mo.appointments.spentToken = max(mo.appointments.spentToken, token)
	if IsErrAppointRefused(err) {
		// Another candidate may be appointed. An earlier call may still be carried out: a
		// refusal may mean that the candidate is not running at the moment.
		mo.appointments.pendingCandidate = ""
		return err
	}
	mo.appointments.pendingCandidate, mo.appointments.pendingBorn, mo.appointments.pendingToken = id, up.Incarnation, token
	mo.appointments.lateCandidate, mo.appointments.lateCallUntil = id, mo.me.deps.Now().Add(maxOrderDelay)
	return err
}

// unfinishedReason returns elect.Unfinished if a change must be continued, because its
// appointment was not answered or the leader was stopped for it, and elect.None otherwise.
// It clears the pending candidate once it leads or has ended, or its call can no longer be
// carried out; mu is held.
func (mo *monitor) unfinishedReason(vi group.View, leader string, now time.Time) elect.Reason {
	pending := mo.appointments.pendingCandidate
	listed, isListed := vi.GetUpstreamByID(pending)
	hasEnded := !isListed && !mo.me.formers.mayRunByID(mo.name, pending)
	hasRestarted := isListed && listed.Incarnation != mo.appointments.pendingBorn
	switch {
	case pending == "":
	case pending == leader && mo.stopped.id != leader:
		mo.appointments.pendingCandidate = ""
	case hasEnded, hasRestarted, !now.Before(mo.appointments.lateCallUntil):
		// The replicas frozen for this change must be unfrozen.
		mo.appointments.pendingCandidate = ""
		mo.frozenCheckAt = now
	default:
		return elect.Unfinished
	}
	if mo.stopped.id != "" && mo.stopped.id == mo.leader {
		return elect.Unfinished
	}
	return elect.None
}

// renewSpentToken requests a newer token ahead of the next change if this one is
// spent. While an appointment is pending, it keeps the token: the call is repeated
// with the same token, so that a newer coordinator's token invalidates both.
func (mo *monitor) renewSpentToken(token uint64) {
	if ap := mo.currentAppointments(); ap.pendingCandidate == "" && token <= ap.spentToken {
		mo.me.roster.requestNewToken(token)
	}
}

// unfreezeUnlessPending unfreezes replicas after an abandoned change, unless a call
// that relies on the freeze may be in flight.
func (mo *monitor) unfreezeUnlessPending(frozen []group.Upstream) {
	if mo.currentAppointments().pendingCandidate == "" {
		mo.unfreeze(frozen, "the change was abandoned and no call relies on the freeze")
	}
}

// unfreeze unfreezes replicas after an abandoned change. If an order fails, the replica
// may still be frozen, or be unfrozen late: unfreeze schedules a check for frozen
// replicas and sets lateUnfreezeUntil, which defers some new changes.
func (mo *monitor) unfreeze(frozen []group.Upstream, why string) {
	results := mo.me.orders.runAll(frozen, orderTimeout, order{Kind: orderUnfreeze})
	mo.logStep("unfreeze", why, results)
	now := mo.me.deps.Now()
	mo.mu.Lock()
	defer mo.mu.Unlock()
	for id, res := range results {
		delete(mo.frozenAt, id)
		if res.err != nil {
			mo.frozenCheckAt, mo.appointments.lateUnfreezeUntil = now.Add(frozenCheckRetry), now.Add(maxOrderDelay)
		}
	}
}

// unfreezeAbandoned unfreezes replicas that a previous coordinator, an abandoned change or
// an unanswered order left frozen. If an appointment call of the previous coordinator were
// carried out after this, acknowledged writes could be lost, since the call relies on the
// freeze. Therefore the first check is only due frozenCheckDelay after the monitor has
// started.
func (mo *monitor) unfreezeAbandoned(ups []group.Upstream, leader string) {
	results := mo.me.orders.runAll(upstreamsExcept(ups, leader), orderTimeout, order{Kind: orderStatus})
	var frozen []group.Upstream
	for _, up := range ups {
		if res, ok := results[up.ID]; ok && res.err == nil && res.report.FrozenTerm > 0 {
			frozen = append(frozen, up)
		}
	}
	if su, ok := mo.me.permits.inForce(mo.name); ok {
		mo.liftSuspension(su)
	}
	if len(frozen) > 0 {
		event.Log(mo.me.log, event.ReplicasThawed, "group", mo.name, "replicas", len(frozen), "leader", leader)
		mo.unfreeze(frozen, "the leader leads, and no call that relies on the freeze can be carried out any more")
	}
	mo.mu.Lock()
	defer mo.mu.Unlock()
	// beginFrozenCheck has set isChanging, so that no change of leader runs during the
	// check.
	mo.isChanging, mo.foreignUntil = false, time.Time{}
}
