package member

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/catlg"
	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/core/kernl"
	"banyanspring/core/life"
	"banyanspring/core/place"
	"banyanspring/io/delay"
	"banyanspring/io/engine"
	"banyanspring/io/metric"
	"banyanspring/io/pool"
)

// Settings is what one member reads at its start.
type Settings struct {
	// Name is unique in the fleet.
	Name string
	Site place.Site
	// RegionOf maps failure domains to regions.
	RegionOf map[string]string
	// CallerAddress serves callers, "ip:port".
	CallerAddress string
	// PeerAddress serves the other members, "ip:port".
	PeerAddress string
	// Seeds are addresses of other members to start from while the store is
	// away; they may be out of date.
	Seeds []string
	// RelayAddress serves the batches that the other members relay, "ip:port".
	RelayAddress string
	// Weight is the instance's size; any unit will do.
	Weight float64
	// Grace is the time from the order to leave to the forced end.
	Grace time.Duration
	// ApplyBound is the time within which a configuration must be in force.
	ApplyBound time.Duration
	// DrainBound is the time within which a leaving upstream must get no more
	// work.
	DrainBound time.Duration
}

// Seams are what a member needs from outside.
type Seams struct {
	Now     func() time.Time
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Dialect engine.Dialect
	Codec   pool.Codec
	Store   Store
	// Appoint asks the platform to make an upstream the leader of its group.
	Appoint func(ctx context.Context, ap Appointment) error
}

// Appointment asks that an upstream lead its group.
type Appointment struct {
	Group, Upstream string
	// Holder names the member that asks, and Token orders the holders.
	Holder string
	Token  uint64
}

// Member is one running instance.
type Member struct {
	settings Settings
	seams    Seams
	log      *slog.Logger
	life     *life.Machine
	catalog  *catlg.Keeper
	engine   *engine.Engine
	roster   *roster
	peers    *peers
	opinions *opinions
	relays   *pool.Server
	metrics  *metric.Metrics
	guards   *guards
	pacer    *pacer
	shares   shares

	kernel   *kernl.Kernel[*Member]
	listener net.Listener
	// catalogAt and listingAt are when the store last confirmed what is known.
	catalogAt, listingAt instant
	// started is when the member was made.
	started time.Time
	// equippedAt is when the configuration and the listing were first known.
	equippedAt instant
	// isListed is true once the upstreams were listed.
	isListed atomic.Bool

	mu   sync.Mutex
	view group.View
}

// New returns a member that does not run yet.
func New(se Settings, sm Seams, lg *slog.Logger) *Member {
	me := &Member{settings: se, seams: sm, log: lg, catalog: catlg.NewKeeper(), started: sm.Now()}
	me.life = life.New(nil)
	me.relays = pool.NewServer(sm.Now, me.poolFor)
	me.roster = newRoster(me)
	me.peers = newPeers(me)
	me.opinions = newOpinions()
	me.guards = newGuards(me)
	me.pacer = newPacer(me)
	me.metrics = metric.New()
	me.engine = engine.New(
		engine.Settings{Site: se.Site, RegionOf: se.RegionOf, Pool: poolSettings},
		engine.Seams{
			Now:   sm.Now,
			Share: me.share, Observed: me.observe,
			Equipped: func() bool { return me.life.State() != life.Starting },
			Pool: pool.Seams{
				Now: sm.Now, Dial: sm.Dial, Codec: sm.Codec, Relays: pool.NewRelays(sm.Now, sm.Dial),
			},
		},
		sm.Dialect, me.catalog, lg)
	return me
}

// poolSettings bounds the pools.
var poolSettings = pool.Settings{
	Waiting:        maxWaiting,
	ConnectTimeout: connectTimeout,
	IdleTimeout:    poolIdle,
	CheckAfter:     checkAfter,
}

const (
	// maxWaiting bounds the requests that wait for one upstream; the expected
	// wait turns requests away long before.
	maxWaiting = 500
	// connectTimeout bounds the set-up of a connection: some ten times the
	// slowest set-up seen.
	connectTimeout = 600 * time.Millisecond
	// poolIdle is how long a connection is kept unused; upstreams close idle
	// ones after a minute.
	poolIdle = 45 * time.Second
	// checkAfter is how long a connection may be unused before it is tried out.
	checkAfter = time.Second
	// sampleTick is the time between two looks at the evidence.
	sampleTick = 100 * time.Millisecond
	// maintainTick is the time between two rounds over the pools.
	maintainTick = 500 * time.Millisecond
	// freshShare is the part of a bound, in hundredths, for which what the store
	// confirmed counts as fresh. The first member keeps it fresh for all; the
	// others ask the store themselves if word of it does not come, and have the
	// rest of the bound for that.
	freshShare = 70
	// confirmShare is the part of the bound on configuration, in hundredths, for
	// which the first member's watches wait, so that a deaf one is noticed soon.
	// What a watch confirms is as old as its question, and stands until the next
	// one ends: two waits and two exchanges, of which one may be between regions,
	// must fit into what counts as fresh.
	confirmShare = 22
	// freshTick is the time between two looks at that.
	freshTick = 200 * time.Millisecond
	// startWait is how long a member that knows another waits at its start for
	// that one's word before it asks the store itself.
	startWait = 700 * time.Millisecond
	// membersPatience is how long a member that has all else waits for the list
	// of members, some hundred times what the store takes to answer.
	membersPatience = 500 * time.Millisecond
	// listingPause is kept between two answers of the listing's watch: each
	// upstream writes every second, and a call costs more than its events.
	listingPause = 600 * time.Millisecond
	// callTimeout bounds a call to the store that does not wait.
	callTimeout = 2 * time.Second
	// retryPause is kept after a failed call to the store.
	retryPause = 200 * time.Millisecond
)

// serveRelays runs the batches of other members on the connections here.
func (me *Member) serveRelays() error {
	ln, err := net.Listen("tcp", me.settings.RelayAddress)
	if err != nil {
		return errors.Wrap(err, "listen for relays")
	}
	go func() {
		for {
			raw, err := ln.Accept()
			if err != nil {
				event.Log(me.log, event.PluginFailed, "error", err)
				return
			}
			go me.relays.Serve(raw)
		}
	}()
	return nil
}

// poolFor returns the pool for another member's batch. A leaving member takes no
// new ones, so that they go to another home.
func (me *Member) poolFor(upstream string) *pool.Pool {
	if me.life.State() == life.Leaving {
		return nil
	}
	return me.engine.GetPoolByUpstream(upstream)
}

// followShares applies the shares of connections when the members have changed.
func (me *Member) followShares(ctx context.Context) {
	for {
		select {
		case <-me.roster.reshare:
			me.engine.ApplyShares()
		case <-ctx.Done():
			return
		}
	}
}

// tick does what is due again and again.
func (me *Member) tick(ctx context.Context) {
	maintainAt := me.seams.Now()
	for delay.Pause(ctx, sampleTick) {
		me.noteReady()
		me.engine.Sample(otherSample)
		now := me.seams.Now()
		if now.Before(maintainAt) {
			continue
		}
		maintainAt = now.Add(maintainTick)
		me.engine.Maintain()
		me.gauge()
		go me.roster.prune(ctx)
	}
}

const (
	// holderSample is the age at which the holder of the duty renews evidence.
	holderSample = 250 * time.Millisecond
	// otherSample is the same for all members, who usually hear of the holder's
	// evidence before.
	otherSample = 900 * time.Millisecond
)

// IsReady reports whether callers should be sent here.
func (me *Member) IsReady() bool {
	return me.life.State() == life.Serving
}

// noteReady begins to serve once there is a configuration, a listing and the list
// of members: without that one each instance of a fleet that starts at once would
// take the share of a fleet of one.
func (me *Member) noteReady() {
	if me.life.State() != life.Starting || !me.isListed.Load() || me.catalog.Current().Version == 0 {
		return
	}
	now := me.seams.Now()
	me.equippedAt.raiseOnce(now)
	if !me.roster.isKnown() && now.Sub(me.equippedAt.load()) < membersPatience {
		return
	}
	// A home that does not know that it is one turns the batches of others away.
	me.engine.ApplyShares()
	if err := me.life.Ready(); err == nil {
		event.Log(me.log, event.DaemonServing, "catalog_version", me.catalog.Current().Version,
			"members", len(me.roster.sharers()))
	}
}
