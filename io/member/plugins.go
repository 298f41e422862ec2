package member

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/event"
	"banyanspring/core/kernl"
)

type plugin = kernl.Plugin[*Member]

// registry holds the parts of a member.
var registry kernl.Registry[*Member]

// Stages of a member's start. No part waits for another process.
const (
	stageListen = iota
	stageFollow
	stageServe
)

func init() {
	for _, pl := range []plugin{
		{Name: "peers", Stage: stageListen, Start: func(_ context.Context, me *Member) error { return me.peers.serve() }},
		{Name: "relays", Stage: stageListen, Start: func(_ context.Context, me *Member) error { return me.serveRelays() }},
		background("catalog", (*Member).followCatalog),
		background("listing", (*Member).followListing),
		background("members", func(me *Member, ctx context.Context) { me.roster.follow(ctx) }),
		background("shares", (*Member).followShares),
		background("exchange", func(me *Member, ctx context.Context) { me.peers.follow(ctx) }),
		background("guards", func(me *Member, ctx context.Context) { me.guards.run(ctx) }),
		background("upkeep", (*Member).tick),
		{
			Name: "callers", Stage: stageServe,
			Start: func(_ context.Context, me *Member) error { return me.listen() },
			Stop:  func(me *Member) { _ = me.listener.Close() },
		},
	} {
		registry.Register(pl)
	}
}

// background returns a part that runs until the member's context ends.
func background(name string, run func(me *Member, ctx context.Context)) plugin {
	return plugin{Name: name, Stage: stageFollow, Start: func(ctx context.Context, me *Member) error {
		go run(me, ctx)
		return nil
	}}
}

// Start begins to serve; it waits for nothing but its own addresses.
func (me *Member) Start(ctx context.Context) error {
	event.Log(me.log, event.DaemonStarting, "name", me.settings.Name, "domain", me.settings.Site.Domain,
		"region", me.settings.Site.Region, "address", me.settings.CallerAddress)
	me.kernel = kernl.New(me, &registry)
	return me.kernel.Start(ctx)
}

// listen takes callers.
func (me *Member) listen() error {
	var err error
	if me.listener, err = net.Listen("tcp", me.settings.CallerAddress); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	go me.accept()
	return nil
}

func (me *Member) accept() {
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
		go me.engine.Serve(raw)
	}
}
