package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/elect"
	"banyanspring/core/group"
)

// fence is what a guard knows of its calls that appoint leaders, and of freezes
// that others may rely on. A call that was not answered may be carried out seconds
// later. It is modelled in spec/handover.pml.
//
// The fence is never raised by a call for the present leader, which is said to
// change nothing: if the leader has changed by then, it appoints the old one again.
type fence struct {
	// spent is the newest token of a call that was refused or not answered. It
	// must not be used for another change: the late call would pass with it.
	spent uint64
	// pending is the upstream of a call that was not answered. What was frozen for
	// it stays frozen, and the change is carried on with the same token, until it
	// leads or is gone.
	pending string
	// unsureUntil is until when a replica may yet be let go by an order that was
	// not answered.
	unsureUntil time.Time
}

// lateOrder is how long after it was sent a call or an order may be carried out at
// the most, as the platform's pages and the bench have it: 12 s, and one more.
const lateOrder = 13 * time.Second

var (
	errTokenSpent    = errors.New("the token was spent on a call without an answer")
	errUnsureOrder   = errors.New("an order without an answer may still let a replica go")
	errForeignFreeze = errors.New("a replica is frozen for another change")
)

// mayChange returns why a change of leader must not begin; nil if it may. A dead
// leader acknowledges nothing, so that a late call or order cannot lose anything
// that it has acknowledged, and callers wait.
func (fe fence) mayChange(token uint64, reason elect.Reason, now time.Time) error {
	switch {
	case reason == elect.Dead, fe.pending != "":
		return nil
	case token <= fe.spent:
		return errTokenSpent
	case now.Before(fe.unsureUntil) && (reason == elect.Unreached || reason == elect.Stalled || reason == elect.Crowded):
		return errUnsureOrder
	}
	return nil
}

// mayUse returns why the replicas must not be relied on; nil if they may. One that
// is frozen for another holder's change may be let go by that one at any time.
func (fe fence) mayUse(surveyed map[string]answer, reason elect.Reason) error {
	if reason == elect.Dead || fe.pending != "" {
		return nil
	}
	for _, an := range surveyed {
		if an.err == nil && an.report.Frozen > 0 {
			return errForeignFreeze
		}
	}
	return nil
}

// fenceNow returns what the guard knows of its calls.
func (gu *guard) fenceNow() fence {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.fence
}

// call appoints an upstream and notes what that says of the token.
func (gu *guard) call(ctx context.Context, id string, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, appointWait)
	defer cancel()
	err := gu.me.seams.Appoint(ctx, Appointment{
		Group: gu.name, Upstream: id, Holder: gu.me.settings.Name, Token: token,
	})
	if err == nil || IsErrAppointDeferred(err) {
		return err
	}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.fence.spent = max(gu.fence.spent, token)
	gu.fence.pending = id
	if IsErrAppointRefused(err) {
		// Whatever was under way with the token will be refused too.
		gu.fence.pending = ""
	}
	return err
}

// unfinished returns the reason to carry on a change whose call was not answered;
// mu is held.
func (gu *guard) unfinished(vi group.View, leader string, now time.Time) elect.Reason {
	switch _, isListed := vi.GetUpstreamByID(gu.fence.pending); {
	case gu.fence.pending == "":
	case gu.fence.pending == leader:
		gu.fence.pending = ""
	case !isListed:
		// Its log is gone, and the call is refused when it comes.
		gu.fence.pending = ""
		gu.surveyAt = now
	default:
		return elect.Unfinished
	}
	return elect.None
}

// renew draws a newer token if this one is spent, while there is time for it. A call
// that was not answered is made again with the token that it had, so that a newer
// holder's token keeps both out.
func (gu *guard) renew(token uint64) {
	if fe := gu.fenceNow(); fe.pending == "" && token <= fe.spent {
		gu.me.roster.draw(token)
	}
}

// letGo lets frozen replicas receive again after a change that did not go on,
// unless a call may be under way that relies on the freeze.
func (gu *guard) letGo(frozen []group.Upstream) {
	if gu.fenceNow().pending == "" {
		gu.thaw(frozen)
	}
}
