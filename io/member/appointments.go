package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/elect"
	"banyanspring/core/event"
	"banyanspring/core/group"
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
	// spentToken is the newest spent token. It must not be used for another change,
	// since the platform would then still accept the unanswered call, which carries
	// the same token.
	spentToken uint64
	// pendingCandidate is the upstream of an unanswered appointment. The replicas
	// frozen for it stay frozen, and the change is continued with the same token,
	// until the upstream leads or is no longer listed.
	pendingCandidate string
	// lateUnfreezeUntil is the time until which an unanswered order may still unfreeze
	// a replica. The order could undo the freeze of a new change, so until then
	// checkChange refuses changes of a leader that is unreached, stalled or crowded.
	lateUnfreezeUntil time.Time
}

// maxOrderDelay is the longest time after sending at which a call or an order may
// be carried out: 12 s according to the platform's documentation and the bench,
// plus 1 s.
const maxOrderDelay = 13 * time.Second

var (
	errTokenSpent          = errors.New("the token was already used in a call that was refused or not answered")
	errUnconfirmedUnfreeze = errors.New("an unanswered order may still unfreeze a replica")
	errForeignFreeze       = errors.New("a replica is frozen for another coordinator's change")
)

// checkChange returns why a change of leader must not begin, or nil if it may. A
// dead leader acknowledges nothing, so a late call or order cannot lose a write
// that it has acknowledged, and callers are waiting.
func (ap appointments) checkChange(token uint64, reason elect.Reason, now time.Time) error {
	switch {
	case reason == elect.Dead, ap.pendingCandidate != "":
		return nil
	case token <= ap.spentToken:
		return errTokenSpent
	case now.Before(ap.lateUnfreezeUntil) && (reason == elect.Unreached || reason == elect.Stalled || reason == elect.Crowded):
		return errUnconfirmedUnfreeze
	}
	return nil
}

// checkReplicas returns why the replicas must not be relied on, or nil if they may.
// A replica that is frozen for another coordinator's change may be unfrozen by that
// coordinator at any time.
func (ap appointments) checkReplicas(statuses map[string]orderResult, reason elect.Reason) error {
	if reason == elect.Dead || ap.pendingCandidate != "" {
		return nil
	}
	for _, res := range statuses {
		if res.err == nil && res.report.FrozenTerm > 0 {
			return errForeignFreeze
		}
	}
	return nil
}

// currentAppointments returns a copy of the monitor's appointments.
func (mo *monitor) currentAppointments() appointments {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	return mo.appointments
}

// sendAppointment calls the platform once to appoint an upstream. A refused or
// unanswered call spends the token; an unanswered one leaves the candidate pending.
func (mo *monitor) sendAppointment(ctx context.Context, id string, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, appointTimeout)
	defer cancel()
	err := mo.me.deps.Appoint(ctx, Appointment{
		Group: mo.name, Upstream: id, Holder: mo.me.settings.Name, Token: token,
	})
	event.Log(mo.me.log, event.AppointAnswered, "group", mo.name, "candidate", id, "token", token, "error", errorText(err))
	if err == nil || IsErrAppointDeferred(err) {
		return err
	}
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.appointments.spentToken = max(mo.appointments.spentToken, token)
	mo.appointments.pendingCandidate = id
	if IsErrAppointRefused(err) {
		// The platform will refuse any other call with this token that is in
		// flight.
		mo.appointments.pendingCandidate = ""
	}
	return err
}

// unfinishedReason returns elect.Unfinished if a change must be continued because its
// appointment was not answered, and elect.None otherwise. It clears the pending
// candidate once it leads or is no longer listed; mu is held.
func (mo *monitor) unfinishedReason(vi group.View, leader string, now time.Time) elect.Reason {
	switch _, isListed := vi.GetUpstreamByID(mo.appointments.pendingCandidate); {
	case mo.appointments.pendingCandidate == "":
	case mo.appointments.pendingCandidate == leader:
		mo.appointments.pendingCandidate = ""
	case !isListed:
		// The upstream's log is gone, and the platform refuses the call when it
		// processes it. The replicas frozen for this change must be unfrozen.
		mo.appointments.pendingCandidate = ""
		mo.frozenCheckAt = now
	default:
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
