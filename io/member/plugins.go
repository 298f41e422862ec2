package member

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/kernl"
)

type plugin = kernl.Plugin[*Member]

// registry holds the components of a member. Their names appear in errors: "members" is
// the roster, "exchange" the querying side of peers, "guards" the monitors, and
// "upkeep" Member.maintain.
var registry kernl.Registry[*Member]

// Stages of a member's startup. The start of a component does not wait for the store,
// an upstream or another member.
const (
	stageListen = iota
	stageBackground
	stageServe
)

func init() {
	for _, pl := range []plugin{
		{Name: "peers", Stage: stageListen, Start: func(_ context.Context, me *Member) error { return me.peers.serve() }},
		{Name: "relays", Stage: stageListen, Start: func(_ context.Context, me *Member) error { return me.serveRelays() }},
		background("catalog", (*Member).watchCatalog),
		background("listing", (*Member).watchListing),
		background("members", func(me *Member, ctx context.Context) { me.roster.run(ctx) }),
		background("shares", (*Member).applyShareChanges),
		background("exchange", func(me *Member, ctx context.Context) { me.peers.run(ctx) }),
		background("permits", func(me *Member, ctx context.Context) { me.permits.run(ctx) }),
		background("limits", func(me *Member, ctx context.Context) { me.limits.maintain(ctx) }),
		background("guards", func(me *Member, ctx context.Context) { me.monitors.run(ctx) }),
		background("upkeep", (*Member).maintain),
		{
			Name: "callers", Stage: stageServe,
			Start: func(_ context.Context, me *Member) error { return me.listenForCallers() },
			Stop:  func(me *Member) { _ = me.listener.Close() },
		},
	} {
		registry.Register(pl)
	}
}

// background returns a component that runs until the member's context ends.
func background(name string, run func(me *Member, ctx context.Context)) plugin {
	return plugin{Name: name, Stage: stageBackground, Start: func(ctx context.Context, me *Member) error {
		go run(me, ctx)
		return nil
	}}
}

// Start starts all components. It returns once the member listens on its addresses,
// before it is ready to serve.
func (me *Member) Start(ctx context.Context) error {
	event.Log(me.log, event.DaemonStarting, "name", me.settings.Name, "domain", me.settings.Site.Domain,
		"region", me.settings.Site.Region, "address", me.settings.CallerAddress)
	me.kernel = kernl.New(me, &registry)
	return me.kernel.Start(ctx)
}

// listenForCallers accepts the connections of callers.
func (me *Member) listenForCallers() error {
	var err error
	if me.listener, err = net.Listen("tcp", me.settings.CallerAddress); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	go me.acceptCallers()
	return nil
}

func (me *Member) acceptCallers() {
	for {
		raw, err := me.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			event.Log(me.log, event.PluginFailed, "error", err)
			time.Sleep(retryPause)
			continue
		}
		if !me.callerSockets.Enter() && !me.makeRoom() {
			me.callerSockets.RecordRefusal(raw.RemoteAddr().String())
			me.engine.Refuse(raw, codes.Refuse(codes.TooManySessions, "%d sessions are open", me.callerSockets.Open()))
			continue
		}
		go func() {
			defer me.callerSockets.Leave()
			me.engine.Serve(raw)
		}()
	}
}

// makeRoom closes a connection of a caller that has sent nothing, or an idle session of a
// workspace that has more than half of the places, and reports whether there
// is one. The new one takes its place, which is still counted until its session has ended.
func (me *Member) makeRoom() bool {
	if !me.engine.CloseSilent() && !me.closeIdle() {
		return false
	}
	me.callerSockets.Force()
	return true
}

// idleCloseInterval is the time between two searches for an idle session to close, each of
// which looks at all sessions.
const idleCloseInterval = 20 * time.Millisecond

// closeIdle closes an idle session of a workspace with too many. It is called by the goroutine
// that accepts callers only.
func (me *Member) closeIdle() bool {
	now := me.deps.Now()
	if now.Before(me.idleCloseFrom) {
		return false
	}
	me.idleCloseFrom = now.Add(idleCloseInterval)
	return me.engine.CloseIdle(me.settings.Guard.Sockets.Callers)
}
