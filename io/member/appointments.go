package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/elect"
	"banyanspring/core/group"
)

// appointments holds what a monitor knows about its appointment calls, and about
// freezes that others may rely on. The platform may carry out an unanswered call
// seconds later. The rules are modelled in spec/handover.pml.
//
// The platform's fencing token is never raised by appointing the present leader,
// although that is said to change nothing: if the leader has changed by then, the
// call appoints the old one again.
type appointments struct {
	// spentToken is the newest token of a call that was refused or not answered. It
	// must not be used for another change: the late call would be accepted with it.
	spentToken uint64
	// pendingCandidate is the upstream of an unanswered appointment. The replicas
	// frozen for it stay frozen, and the change is continued with the same token,
	// until the upstream leads or is no longer listed.
	pendingCandidate string
	// lateThawUntil is the time until which an unanswered order may still unfreeze a
	// replica.
	lateThawUntil time.Time
}

// maxOrderDelay is the longest time after sending at which a call or an order may
// be carried out: 12 s according to the platform's documentation and the bench,
// plus 1 s.
const maxOrderDelay = 13 * time.Second

var (
	errTokenSpent      = errors.New("the token was already used in a call that was refused or not answered")
	errUnconfirmedThaw = errors.New("an unanswered order may still unfreeze a replica")
	errForeignFreeze   = errors.New("a replica is frozen for another coordinator's change")
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
	case now.Before(ap.lateThawUntil) && (reason == elect.Unreached || reason == elect.Stalled || reason == elect.Crowded):
		return errUnconfirmedThaw
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

// sendAppointment appoints an upstream and records what the outcome means for the
// token.
func (mo *monitor) sendAppointment(ctx context.Context, id string, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, appointTimeout)
	defer cancel()
	err := mo.me.seams.Appoint(ctx, Appointment{
		Group: mo.name, Upstream: id, Holder: mo.me.settings.Name, Token: token,
	})
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

// unfinishedReason returns the reason to continue a change whose appointment was
// not answered; mu is held.
func (mo *monitor) unfinishedReason(vi group.View, leader string, now time.Time) elect.Reason {
	switch _, isListed := vi.GetUpstreamByID(mo.appointments.pendingCandidate); {
	case mo.appointments.pendingCandidate == "":
	case mo.appointments.pendingCandidate == leader:
		mo.appointments.pendingCandidate = ""
	case !isListed:
		// Its log is gone, and the platform refuses the call when it arrives.
		mo.appointments.pendingCandidate = ""
		mo.frozenCheckAt = now
	default:
		return elect.Unfinished
	}
	return elect.None
}

// renewSpentToken requests a newer token ahead of the next change if this one is
// spent. An unanswered call is repeated with its own token, so that a newer
// coordinator's token invalidates both.
func (mo *monitor) renewSpentToken(token uint64) {
	if ap := mo.currentAppointments(); ap.pendingCandidate == "" && token <= ap.spentToken {
		mo.me.roster.requestNewToken(token)
	}
}

// thawUnlessPending unfreezes replicas after an abandoned change, unless a call
// that relies on the freeze may be in flight.
func (mo *monitor) thawUnlessPending(frozen []group.Upstream) {
	if mo.currentAppointments().pendingCandidate == "" {
		mo.thaw(frozen)
	}
}
