package member

import (
	"context"
	"time"

	"banyanspring/core/event"
)

// Sessions returns the number of open caller sessions.
func (me *Member) Sessions() int { return me.engine.Sessions() }

// Shutdown lets callers finish their work, at most until exitPercent of the grace period
// has passed, and returns when the process may exit.
func (me *Member) Shutdown(ctx context.Context) {
	if err := me.life.Leave(); err != nil {
		return
	}
	began := me.deps.Now()
	event.Log(me.log, event.DaemonLeaving, "sessions", me.engine.Sessions())
	me.limits.leave(ctx)
	go me.roster.leave(ctx)
	// Open transactions may use the first half of the grace period.
	me.engine.Leave(began.Add(me.settings.Grace/2), began.Add(me.settings.Grace*answerPercent/100))
	// New sessions are still accepted for a while: a load balancer checks readiness
	// once a second, needs two failed checks, and also uses members that are not ready
	// if it has too few others. Then the member waits until no session is open and no
	// connection is held for other members, at most until exitBy.
	time.Sleep(min(acceptAfterLeave, me.settings.Grace*acceptPercent/100))
	me.kernel.Stop()
	exitBy := began.Add(me.settings.Grace * exitPercent / 100)
	for me.engine.Sessions()+me.relays.Held() > 0 && me.deps.Now().Before(exitBy) {
		time.Sleep(drainPoll)
	}
	me.engine.Close()
	me.metrics.Close()
	_ = me.life.Stop()
	event.Log(me.log, event.DaemonStopped, "sessions", me.engine.Sessions(), "took", me.deps.Now().Sub(began).String())
}

const (
	// acceptAfterLeave is how long a leaving member accepts sessions.
	acceptAfterLeave = 2500 * time.Millisecond
	// acceptPercent limits acceptAfterLeave to a percentage of the grace period, which
	// matters if that period is shorter than about 6 s.
	acceptPercent = 42
	// answerPercent is the percentage of the grace period after which a statement that
	// arrived during the shutdown is refused, so that it is answered before the exit.
	answerPercent = 90
	// exitPercent is the percentage of the grace period after which the member exits
	// even if sessions are open or connections are held for other members. The rest of
	// the period remains for closing before the forced exit.
	exitPercent = 93
	// drainPoll is the time between two checks for open sessions and held connections.
	drainPoll = 50 * time.Millisecond
)
