package member

import (
	"context"
	"time"

	"banyanspring/core/event"
)

// Sessions returns how many callers' sessions are open.
func (me *Member) Sessions() int { return me.engine.Sessions() }

// Shutdown lets callers end their work and returns when the member may exit.
func (me *Member) Shutdown(ctx context.Context) {
	if err := me.life.Leave(); err != nil {
		return
	}
	began := me.seams.Now()
	event.Log(me.log, event.DaemonLeaving, "sessions", me.engine.Sessions())
	go me.roster.leave(ctx)
	// Open transactions have the first half of the grace.
	me.engine.Leave(began.Add(me.settings.Grace / 2))
	// Sessions on their way are still taken for a while: a balancer looks once a
	// second and needs two misses, and uses members that are not ready if it
	// has too few others. Then what was taken is answered.
	time.Sleep(min(stillTaking, me.settings.Grace*takingShare/100))
	me.kernel.Stop()
	last := began.Add(me.settings.Grace * endShare / 100)
	for me.engine.Sessions()+me.relays.Held() > 0 && me.seams.Now().Before(last) {
		time.Sleep(leavePoll)
	}
	me.engine.Close()
	me.metrics.Close()
	_ = me.life.Stop()
	event.Log(me.log, event.DaemonStopped, "sessions", me.engine.Sessions(), "took", me.seams.Now().Sub(began).String())
}

const (
	// stillTaking is how long a leaving member takes sessions.
	stillTaking = 2500 * time.Millisecond
	// takingShare bounds that to a part of the grace, in hundredths.
	takingShare = 42
	// endShare is the part of the grace, in hundredths, after which the member
	// exits whatever is open.
	endShare = 93
	// leavePoll is the pause between two looks for open sessions.
	leavePoll = 50 * time.Millisecond
)
