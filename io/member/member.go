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
	"banyanspring/core/elect"
	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/core/kernl"
	"banyanspring/core/life"
	"banyanspring/core/place"
	"banyanspring/core/quota"
	"banyanspring/io/delay"
	"banyanspring/io/engine"
	"banyanspring/io/guard"
	"banyanspring/io/metric"
	"banyanspring/io/pool"
)

// Settings holds the settings that a member reads at startup.
type Settings struct {
	// Name is unique in the fleet.
	Name string
	Site place.Site
	// RegionOf maps failure domains to regions.
	RegionOf map[string]string
	// CallerAddress is where callers connect, "ip:port".
	CallerAddress string
	// PeerAddress is where the other members connect, "ip:port".
	PeerAddress string
	// Seeds are addresses of other members to contact while the store is
	// unavailable; they may be outdated.
	Seeds []string
	// RelayAddress is where the other members connect to relay batches, "ip:port".
	RelayAddress string
	// Weight is the instance's size, in any unit.
	Weight float64
	// LeasesRequired is true if a replaced leader may go on serving and the platform does
	// not check fencing tokens (see packages lease and elect).
	LeasesRequired bool
	// Grace is the time from the start of a shutdown to the forced exit.
	Grace time.Duration
	// ApplyBound is the time within which a new configuration must be active.
	ApplyBound time.Duration
	// DrainBound is the time within which a leaving upstream must stop getting new
	// work.
	DrainBound time.Duration
	// RevokeBound is how long ago the store may have confirmed the configuration last if it
	// is to decide on callers' keys; zero if there is no bound.
	RevokeBound time.Duration
	// Quota holds how the limits of workspaces apply; its zero value if they do not.
	Quota quota.Settings
	// Guard holds the bounds of memory and sockets; its zero value if there are none.
	Guard guard.Settings
	// BelowKnownAllowed is true if a group gets a new leader although a member has seen a higher
	// position at an upstream that may come back, or reported it as a success. By default the group
	// waits, and its writes are refused meanwhile.
	BelowKnownAllowed bool
}

// confirmBound returns the time within which the store must confirm the configuration
// again: a RevokeBound below ApplyBound would refuse callers between two confirmations.
func (se Settings) confirmBound() time.Duration {
	if se.RevokeBound > 0 {
		return min(se.ApplyBound, se.RevokeBound)
	}
	return se.ApplyBound
}

// Dependencies holds a member's external dependencies.
type Dependencies struct {
	Now     func() time.Time
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Dialect engine.Dialect
	Codec   pool.Codec
	Store   Store
	// Appoint asks the platform to make an upstream the leader of its group.
	Appoint func(ctx context.Context, ap Appointment) error
}

// Appointment is a request to make an upstream the leader of its group.
type Appointment struct {
	Group, Upstream string
	// Holder is the name of the requesting coordinator, and Token is the fencing
	// token that orders the coordinators.
	Holder string
	Token  uint64
}

// Member is one running instance.
type Member struct {
	settings Settings
	deps     Dependencies
	log      *slog.Logger
	life     *life.Machine
	catalog  *catlg.Keeper
	engine   *engine.Engine
	roster   *roster
	peers    *peers
	opinions *opinions
	relays   *pool.Server
	guard    *guard.Guard
	// callerSockets and relaySockets bound the connections that the member accepts.
	callerSockets, relaySockets *guard.Sockets
	// idleCloseFrom is when closeIdle next searches.
	idleCloseFrom time.Time
	// connCounts counts the connections to all upstreams.
	connCounts pool.Counts
	metrics    *metric.Metrics
	monitors   *monitors
	vetting    *vetting
	permits    *permits
	limits     *limits
	rates      workspaceRates
	orders     *orders
	formers    *formers
	known      *known
	tally      *readTally
	// sightings is of the listed upstreams.
	sightings *sightings
	pacer     *storePacer
	shares    shares
	feed      catalogFeed

	kernel   *kernl.Kernel[*Member]
	listener net.Listener
	// catalogAt and listingAt are when the store last confirmed the local copies.
	catalogAt, listingAt instant
	// newerListingAt is when another member last reported a newer listing than this one's.
	newerListingAt instant
	// catalogSince is a revision of the store at which no newer configuration than the
	// active one existed; none if it is not known.
	catalogSince revision
	// startedAt is when the member was created.
	startedAt time.Time
	// followedSince is when the member first had a listing, from which on it knows the upstreams that leave.
	followedSince instant
	// loadedAt is when the configuration and the listing were first available.
	loadedAt instant
	// hasListing is true once the listing of upstreams is available.
	hasListing atomic.Bool

	// era is the store's.
	era storeEra

	mu sync.Mutex
	// confirmed is since when the store has confirmed the listing.
	confirmed elect.Listing
	// base is the last listing, and view the upstreams in use: those of base, and for some
	// time after a restore of the store those that it may have lost.
	base, view  group.View
	restoration group.Restoration
}

// New returns a member that is not started.
func New(se Settings, de Dependencies, lg *slog.Logger) *Member {
	me := &Member{settings: se, deps: de, log: lg, catalog: catlg.NewKeeper(), startedAt: de.Now()}
	me.life = life.New(nil)
	me.guard = guard.New(se.Guard, de.Now, lg)
	me.callerSockets = me.guard.NewSockets("callers", se.Guard.Sockets.Callers)
	me.relaySockets = me.guard.NewSockets("peers", se.Guard.Sockets.Peers)
	me.relays = pool.NewServer(de.Now, me.guard, me.relayPool)
	me.roster = newRoster(me)
	me.peers = newPeers(me)
	me.opinions = newOpinions()
	me.monitors = newMonitors(me)
	me.vetting = newVetting(me)
	me.orders, me.formers, me.sightings, me.known = newOrders(me), newFormers(), newSightings(), newKnown(se.Name)
	me.tally = newReadTally()
	me.permits = newPermits(me)
	me.pacer = newStorePacer(me)
	me.metrics = metric.New()
	me.limits = newLimits(me)
	me.engine = engine.New(
		engine.Settings{Site: se.Site, RegionOf: se.RegionOf, Pool: poolSettings, DrainBound: se.DrainBound, LeasesRequired: se.LeasesRequired,
			RevokeBound: se.RevokeBound},
		engine.Dependencies{
			Now:   de.Now,
			Share: me.share, OnStatement: me.observe, WriteObstacle: me.permits.obstacle,
			IsReady:            func() bool { return me.life.State() != life.Starting },
			CatalogConfirmedAt: me.catalogAt.load, RequestCatalog: me.requestCatalog,
			Admit: me.limits.admission(), Weight: me.rates.weight, Guard: me.guard,
			Pool: me.poolDependencies(),
		},
		de.Dialect, me.catalog, lg)
	me.relays.LimitRest(me.engine.RestLimit)
	if de.Store.Subscribe != nil {
		de.Store.Subscribe(func(number uint64) { me.learnEra(number, fromStore) })
	}
	return me
}

func (me *Member) poolDependencies() pool.Dependencies {
	return pool.Dependencies{
		Now: me.deps.Now, Dial: me.deps.Dial, Codec: me.deps.Codec, Relays: pool.NewRelays(me.deps.Now, me.deps.Dial),
		Counts: &me.connCounts, UsesAllHomes: me.rates.isLarge,
	}
}

// poolSettings applies to the pools of all upstreams, except for the monitors' own.
var poolSettings = pool.Settings{
	Waiting:        maxWaiting,
	ConnectTimeout: connectTimeout,
	IdleTimeout:    poolIdle,
	CheckAfter:     idleCheckAfter,
}

const (
	// maxWaiting bounds the requests that wait for one upstream; requests are
	// refused long before because of the expected wait.
	maxWaiting = 500
	// connectTimeout bounds the setup of a connection: about ten times the slowest
	// setup seen.
	connectTimeout = 600 * time.Millisecond
	// poolIdle is how long an unused connection is kept; upstreams close idle
	// connections after a minute.
	poolIdle = 45 * time.Second
	// idleCheckAfter is how long a connection may be unused before it is tested.
	idleCheckAfter = time.Second
	// sampleInterval is the time between two checks of the age of the evidence on
	// each group's leader.
	sampleInterval = 100 * time.Millisecond
	// weighInterval is the time between two decisions on the upstreams' weights for reads.
	weighInterval = 250 * time.Millisecond
	// maintainInterval is the time between two maintenance runs over the pools.
	maintainInterval = 500 * time.Millisecond
	// freshPercent is the percentage of a bound for which a confirmation by the
	// store counts as fresh. The coordinator keeps it fresh for all members. If its
	// state stops arriving, the others read the store themselves, and have the rest
	// of the bound for that.
	freshPercent = 70
	// firstFreshPercent is the same for the first member of each failure domain, which
	// reads the store before the others.
	firstFreshPercent = 62
	// watchPercent is the percentage of ApplyBound for which one watch of the
	// coordinator waits, so that a watch that receives nothing more is noticed
	// soon. A watch confirms the state as of its start, and the next confirmation
	// comes when the next watch ends: two waits and two exchanges, one of them
	// possibly between regions, must fit into the time that counts as fresh.
	watchPercent = 22
	// checkWait is the wait of a watch that returns the changes made so far.
	checkWait = time.Millisecond
	// freshPoll is the time between two checks of freshness.
	freshPoll = 200 * time.Millisecond
	// startupListWait is how long a starting member waits for the list of members, from
	// which its source follows.
	startupListWait = 250 * time.Millisecond
	// startupSourceWait is how long a starting member that has a source waits for the
	// source's state before it reads the store itself.
	startupSourceWait = 700 * time.Millisecond
	// startupPoll is the time between two checks of that.
	startupPoll = 20 * time.Millisecond
	// startupMembersWait is how long a member that has everything else waits for
	// the list of members, about a hundred times the store's response time.
	startupMembersWait = 500 * time.Millisecond
	// listingPause follows each answer to the listing's watch: each upstream writes
	// its entry every second, and a call costs more than the events in it.
	listingPause = 600 * time.Millisecond
	// callTimeout bounds a call to the store that is not a watch; a call that reads data
	// may take longer while data arrives, up to transferLimit.
	callTimeout = 2 * time.Second
	// transferLimit bounds a transfer of the configuration, the listing or the list of
	// members.
	transferLimit = 20 * time.Second
	// retryPause follows a failed call to the store.
	retryPause = 200 * time.Millisecond
)

// serveRelays accepts the connections on which other members relay batches, and runs
// the batches on this member's connections to the upstreams.
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
			if !me.relaySockets.Enter() {
				me.relaySockets.RecordRefusal(raw.RemoteAddr().String())
				_ = raw.Close()
				continue
			}
			go func() {
				defer me.relaySockets.Leave()
				me.relays.Serve(raw)
			}()
		}
	}()
	return nil
}

// ReadySockets returns the bound of the connections of readiness probes.
func (me *Member) ReadySockets() *guard.Sockets {
	return me.guard.NewSockets("ready", me.settings.Guard.Sockets.Ready)
}

// relayPool returns the pool for a batch that another member relays through this one,
// or nil to refuse it. A leaving member refuses new batches, so that they go to another
// home.
func (me *Member) relayPool(upstream string) *pool.Pool {
	if me.life.State() == life.Leaving {
		return nil
	}
	return me.engine.GetPoolByUpstream(upstream)
}

// applyShareChanges applies the connection shares whenever the members have
// changed.
func (me *Member) applyShareChanges(ctx context.Context) {
	for {
		select {
		case <-me.roster.reshare:
			me.engine.ApplyShares()
		case <-ctx.Done():
			return
		}
	}
}

// maintain runs the periodic tasks.
func (me *Member) maintain(ctx context.Context) {
	maintainAt := me.deps.Now()
	weighAt := maintainAt
	for delay.Pause(ctx, sampleInterval) {
		me.checkReady()
		me.engine.Sample(memberSampleAge)
		now := me.deps.Now()
		me.observeFormers(now)
		me.permits.maintain(now)
		me.endGrace(now)
		if !now.Before(weighAt) {
			weighAt = now.Add(weighInterval)
			me.weighReads(now)
		}
		if now.Before(maintainAt) {
			continue
		}
		maintainAt = now.Add(maintainInterval)
		me.engine.Maintain()
		me.known.forget(now)
		me.maintainOrders()
		me.updateGauges()
		go me.roster.prune(ctx)
	}
}

// observeFormers passes the newest samples of the leaders' positions to the former
// upstreams, and records up to which positions successes were reported.
func (me *Member) observeFormers(now time.Time) {
	ops := me.engine.Opinions()
	for _, op := range ops {
		if !op.Sample.Asked.IsZero() {
			me.formers.observe(op.Group, op.Sample, me.followedSince.load(), now)
		}
	}
	me.known.recordSuccesses(ops)
}

// maintainOrders closes the connections for orders that are idle or lead to upstreams that
// have ended.
func (me *Member) maintainOrders() {
	vi := me.listing()
	me.orders.retain(func(up group.Upstream) bool {
		listed, ok := vi.GetUpstreamByID(up.ID)
		return (ok && listed.IsSameIncarnation(up)) || me.formers.mayRun(up)
	})
	me.orders.sweep()
}

const (
	// coordinatorSampleAge is the age of a sample of a leader's position at which the
	// coordinator probes the leader for a new one.
	coordinatorSampleAge = 250 * time.Millisecond
	// memberSampleAge is the age at which any member takes a new sample itself; it
	// usually receives the coordinator's earlier.
	memberSampleAge = 900 * time.Millisecond
)

// IsReady reports whether callers should be routed to this member.
func (me *Member) IsReady() bool {
	return me.life.State() == life.Serving
}

// checkReady starts to serve once the configuration, the listing and the list of
// members are available. Without the list of members, each instance of a fleet that
// starts all at once would open as many connections as if it were the only one. After
// startupMembersWait it serves without that list.
func (me *Member) checkReady() {
	if me.life.State() != life.Starting || !me.hasListing.Load() || me.catalog.Current().Version == 0 {
		return
	}
	now := me.deps.Now()
	me.loadedAt.setOnce(now)
	if !me.roster.hasList() && now.Sub(me.loadedAt.load()) < startupMembersWait {
		return
	}
	// A home refuses the batches that other members relay through it until its share
	// is applied.
	me.engine.ApplyShares()
	if err := me.life.Ready(); err == nil {
		event.Log(me.log, event.DaemonServing, "catalog_version", me.catalog.Current().Version,
			"members", len(me.roster.shareMembers()))
	}
}
