package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/elect"
	"banyanspring/core/event"
	"banyanspring/core/group"
)

// fence is what a guard knows of its calls that appoint leaders. A call that was
// not answered may be carried out seconds later, after newer ones, unless its
// token is lower than one the platform has seen by then. It is modelled in
// spec/handover.pml.
type fence struct {
	// raised is the newest token that the platform has answered, and raisedAt
	// when.
	raised   uint64
	raisedAt time.Time
	// spent is the newest token of a call that was refused or not answered. It
	// must not be used again, since that call would pass with it.
	spent uint64
	// tryAt is when to try again to raise the fence.
	tryAt time.Time
	// unsureUntil is until when a replica may yet be let go by an order that was
	// not answered.
	unsureUntil time.Time
}

const (
	// fenceSettle is kept between raising the fence and the first freeze. An
	// earlier holder lets replicas go right after it has raised the fence itself,
	// some milliseconds away.
	fenceSettle = 300 * time.Millisecond
	// fenceRetry is kept after a fence that could not be raised.
	fenceRetry = time.Second
	// lateOrder is how long after it was sent an order may be carried out at the
	// most, as the platform's pages and the bench have it: 12 s, and one more.
	lateOrder = 13 * time.Second
)

var (
	errTokenSpent  = errors.New("the token was spent on a call without an answer")
	errFenceLow    = errors.New("the fence has not been raised yet")
	errUnsureOrder = errors.New("an order without an answer may still let a replica go")
)

// isFresh reports whether the token may be used for calls.
func (fe fence) isFresh(token uint64) bool { return token > fe.spent }

// isRaised reports whether no older call can be carried out, and earlier holders
// have had time for what they do right after raising the fence.
func (fe fence) isRaised(token uint64, now time.Time) bool {
	return fe.raised == token && fe.isFresh(token) && now.Sub(fe.raisedAt) >= fenceSettle
}

// mayChange returns why a change of leader must not begin; nil if it may. A dead
// leader acknowledges nothing, so that a late call or order cannot lose anything
// that it has acknowledged, and callers wait.
func (fe fence) mayChange(token uint64, reason elect.Reason, now time.Time) error {
	switch {
	case reason == elect.Dead:
		return nil
	case !fe.isFresh(token):
		return errTokenSpent
	case !fe.isRaised(token, now):
		return errFenceLow
	case reason != elect.Leaving && now.Before(fe.unsureUntil):
		return errUnsureOrder
	}
	return nil
}

// fenceNow returns what the guard knows of its calls.
func (gu *guard) fenceNow() fence {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.fence
}

// needsFence reports whether the fence is to be raised with this holder's token
// while all is well; mu is held. A leader that was not heard lately may not run,
// and a call for it would be refused for that.
func (gu *guard) needsFence(now time.Time) bool {
	token, ok := gu.me.roster.Token()
	return ok && gu.fence.raised != token && !now.Before(gu.fence.tryAt) && now.Sub(gu.heardAt) < askAfter+guardAsk
}

// beginFence raises the fence if that is due; mu is held.
func (gu *guard) beginFence(ctx context.Context, leader group.Upstream, now time.Time) {
	if !gu.needsFence(now) {
		return
	}
	gu.fence.tryAt = now.Add(fenceRetry)
	gu.isChanging = true
	go func() {
		err := gu.raise(ctx, leader.ID)
		gu.mu.Lock()
		defer gu.mu.Unlock()
		gu.isChanging = false
		if err != nil {
			event.Log(gu.me.log, event.FenceLow, "group", gu.name, "upstream", leader.ID, "error", err.Error())
		}
	}()
}

// raise calls for the present leader, which changes nothing, so that no older call
// is carried out any more.
func (gu *guard) raise(ctx context.Context, leader string) error {
	token, ok := gu.me.roster.Token()
	if !ok {
		return errors.New("no token")
	}
	if !gu.fenceNow().isFresh(token) {
		gu.me.roster.draw(token)
		return errTokenSpent
	}
	return gu.call(ctx, leader, token)
}

// call appoints an upstream and notes what that says of the token.
func (gu *guard) call(ctx context.Context, id string, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, appointWait)
	defer cancel()
	err := gu.me.seams.Appoint(ctx, Appointment{
		Group: gu.name, Upstream: id, Holder: gu.me.settings.Name, Token: token,
	})
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if err != nil {
		if !IsErrAppointDeferred(err) {
			gu.fence.spent = max(gu.fence.spent, token)
		}
		return err
	}
	if gu.fence.raised != token {
		gu.fence.raised, gu.fence.raisedAt = token, gu.me.seams.Now()
	}
	return nil
}

// renew draws a newer token if this one is spent, while there is time for it.
func (gu *guard) renew(token uint64) {
	if !gu.fenceNow().isFresh(token) {
		gu.me.roster.draw(token)
	}
}

// letGo lets frozen replicas receive again after a change that did not go on. If a
// call may be under way that relies on the freeze, or an earlier holder's, that is
// left to the survey, which raises the fence first.
func (gu *guard) letGo(token uint64, frozen []group.Upstream) {
	if gu.fenceNow().isRaised(token, gu.me.seams.Now()) {
		gu.thaw(frozen)
		return
	}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.surveyAt = gu.me.seams.Now()
}
