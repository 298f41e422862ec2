// Package daemon assembles a daemon from plug-ins that register themselves with
// the kernel.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/adopt"
	"banyanspring/core/codes"
	"banyanspring/core/conf"
	"banyanspring/core/event"
	"banyanspring/core/kernl"
	"banyanspring/core/life"
	"banyanspring/core/place"
	"banyanspring/core/posn"
	"banyanspring/core/promo"
	"banyanspring/core/route"
	"banyanspring/io/front"
	"banyanspring/io/home"
	"banyanspring/io/metric"
	"banyanspring/io/peer"
	"banyanspring/io/store"
)

// Dependencies are the dependencies of a daemon that tests, simulated fleets and
// baselines replace.
type Dependencies struct {
	// Now returns the current time.
	Now func() time.Time
	// DialUpstream opens a connection to an upstream.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)
	// DialPeer opens a connection to another daemon.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// PlatformTransport carries calls to the platform.
	PlatformTransport http.RoundTripper
	// RouteReads returns the upstreams for a read in order of preference; it is
	// route.Reads except in baselines.
	RouteReads func(ups []route.Upstream, rq route.Request, now time.Time) []route.Upstream
	// PoolEverywhere makes every daemon the home of every upstream, as a
	// baseline. PoolDivisor then divides the upstream's connections among the
	// daemons.
	PoolEverywhere bool
	// PoolDivisor divides the connections of each upstream: a daemon's pool gets
	// 1/PoolDivisor of them. At least 1.
	PoolDivisor int
	// GuardTiming replaces the timing of the guards; nil in production.
	GuardTiming *promo.Timing
	// ProbeInterval replaces the time between two rounds of probes; zero in
	// production.
	ProbeInterval time.Duration
	// WrapCaller wraps each connection that a caller opens; nil wraps none.
	WrapCaller func(nc net.Conn) net.Conn
}

// ProductionDependencies returns the dependencies of a daemon in production.
func ProductionDependencies() Dependencies {
	return Dependencies{
		Now:               time.Now,
		DialUpstream:      home.DialTCP,
		DialPeer:          home.DialTCP,
		PlatformTransport: http.DefaultTransport,
		RouteReads:        route.ReadCandidates,
		PoolDivisor:       1,
	}
}

// Daemon is one daemon, of which a process may run several. Its plug-ins use each
// other's parts through its fields.
type Daemon struct {
	Settings conf.Settings
	Log      *slog.Logger
	deps     Dependencies

	kernel *kernl.Kernel[*Daemon]
	life   *life.Machine

	// The fields below are set by the plug-ins in the order of their stages.
	metrics *metric.Metrics
	store   *store.Client
	keeper  *adopt.Keeper
	groups  *groupCache
	mirror  *mirror
	watcher *platformWatcher
	members *membership
	client  *peer.Client
	homes   *home.Manager
	floors  *floorConfirmer
	front   *front.Front
	guards  *guards
	server  *peer.Server

	peerListener   net.Listener
	callerListener net.Listener
	adminListener  net.Listener
	admin          *http.Server
	// background is cancelled by stop to end the goroutines of the plug-ins.
	background context.Context
	stop       context.CancelFunc
}

// Stages of the plug-ins, in the order of their start.
const (
	stageBase = iota
	stageListen
	stagePlatform
	stageHome
	stageCaller
	stageAdmin
	stageAnnounce
)

// registry holds the plug-ins, which register themselves in init functions.
var registry = &kernl.Registry[*Daemon]{}

// New returns a daemon that is not started yet.
func New(settings conf.Settings, log *slog.Logger, deps Dependencies) *Daemon {
	background, stop := context.WithCancel(context.Background())
	da := &Daemon{
		Settings:   settings,
		Log:        log.With("daemon", settings.Daemon.ID),
		deps:       deps,
		keeper:     adopt.New(),
		background: background,
		stop:       stop,
	}
	da.life = life.New(nil)
	da.kernel = kernl.New(da, registry)
	return da
}

// Start starts the plug-ins and returns once the daemon serves callers and peers.
func (da *Daemon) Start(ctx context.Context) error {
	event.Log(da.Log, event.DaemonStarting, "domain", da.Settings.Daemon.Domain, "region", da.Settings.Daemon.Region)
	if err := da.kernel.Start(ctx); err != nil {
		event.Log(da.Log, event.PluginFailed, "error", err)
		return err
	}
	if err := da.life.Ready(); err != nil {
		return errors.Wrap(err, "daemon")
	}
	event.Log(da.Log, event.DaemonServing, "callers", da.CallerAddress(), "peers", da.PeerAddress())
	return nil
}

// Shutdown stops the daemon gracefully: it takes no new sessions and lets
// requests and transactions end until the shutdown deadline of the settings.
func (da *Daemon) Shutdown(ctx context.Context) error {
	if err := da.life.Leave(); err != nil {
		return errors.Wrap(err, "daemon")
	}
	event.Log(da.Log, event.DaemonLeaving)
	ctx, cancel := context.WithTimeout(ctx, da.Settings.Shutdown.Deadline)
	defer cancel()
	da.kernel.Drain(ctx)
	da.Kill()
	return nil
}

// Kill stops the daemon without draining it.
func (da *Daemon) Kill() {
	da.stop()
	da.kernel.Stop()
	_ = da.life.Stop()
	event.Log(da.Log, event.DaemonStopped)
}

// State returns the daemon's lifecycle state.
func (da *Daemon) State() life.State { return da.life.State() }

// CallerAddress returns the address that the daemon serves callers on,
// "ip:port".
func (da *Daemon) CallerAddress() string { return da.callerListener.Addr().String() }

// PeerAddress returns the address that the daemon serves peers on, "ip:port".
func (da *Daemon) PeerAddress() string { return da.peerListener.Addr().String() }

// AdminAddress returns the address that the daemon serves status and metrics
// on, "ip:port".
func (da *Daemon) AdminAddress() string { return da.adminListener.Addr().String() }

// DocumentVersion returns the version of the configuration document in force; 0
// before the first.
func (da *Daemon) DocumentVersion() uint64 { return da.keeper.Current().Version }

// StoreCalls returns how many calls the daemon made to the platform.
func (da *Daemon) StoreCalls() int64 { return da.store.Calls() }

// Reads returns how many reads of this daemon's callers replicas and primaries
// have served.
func (da *Daemon) Reads() (replica, primary int64) { return da.front.ReadCounts() }

// Members returns the number of daemons in the membership view, itself included.
func (da *Daemon) Members() int { return len(da.members.View(da.deps.Now()).Members()) }

// IsHomeOf reports whether the daemon is the home of an upstream.
func (da *Daemon) IsHomeOf(upstream string) bool {
	for _, gr := range da.groups.List() {
		if mem, ok := gr.GetMemberByName(upstream); ok {
			return da.isSelf(da.homeOf(mem))
		}
	}
	return false
}

// Sessions returns the number of open caller sessions.
func (da *Daemon) Sessions() int { return da.front.Sessions() }

// self returns the daemon's own entry in the membership view.
func (da *Daemon) self() place.Member {
	return place.Member{
		ID:      da.Settings.Daemon.ID,
		Address: da.PeerAddress(),
		Domain:  da.Settings.Daemon.Domain,
		Region:  da.Settings.Daemon.Region,
		Leaving: da.life.State() == life.Leaving,
	}
}

// homeOf returns the daemon that is the home of an upstream.
func (da *Daemon) homeOf(mem store.Member) place.Member {
	if da.deps.PoolEverywhere {
		return da.self()
	}
	at := place.Site{Domain: mem.Domain, Region: mem.Region}
	got, ok := da.members.View(da.deps.Now()).Home(mem.Name, at)
	if !ok {
		// No member can take the role, as all are leaving: the last daemon serves
		// its own sessions until it stops.
		return da.self()
	}
	return got
}

func (da *Daemon) isSelf(mem place.Member) bool { return mem.ID == da.Settings.Daemon.ID }

// openStream opens a Run stream to the home of an upstream. An idempotent request
// may get an idle stream, whose connection may have failed since it was last used.
func (da *Daemon) openStream(mem store.Member, idempotent bool) (peer.Stream, error) {
	got := da.homeOf(mem)
	if da.isSelf(got) {
		return peer.NewLocalStream(da.homes), nil
	}
	if idempotent {
		return da.client.ReuseOrOpenRun(got)
	}
	return da.client.OpenRun(got)
}

// primaryOf returns the primary of the newest known term of the group.
func primaryOf(gr store.Group) (store.Member, error) {
	mem, ok := gr.GetMemberByName(gr.Primary)
	if !ok {
		return store.Member{}, codes.Refuse(codes.NoPrimary, "group %q", gr.Name)
	}
	return mem, nil
}

// suspectHome marks the home of an upstream as failed or leaving, so that it
// takes no role for suspectDuration.
func (da *Daemon) suspectHome(mem store.Member) {
	got := da.homeOf(mem)
	if da.isSelf(got) {
		return
	}
	da.members.Suspect(got.ID, da.deps.Now())
}

// confirmFloor asks the home of a group's primary for a position that a
// majority confirms.
func (da *Daemon) confirmFloor(ctx context.Context, gr store.Group, wait time.Duration) (posn.Position, error) {
	mem, err := primaryOf(gr)
	if err != nil {
		return posn.Position{}, err
	}
	got := da.homeOf(mem)
	if da.isSelf(got) {
		return da.homes.ConfirmFloor(ctx, gr.Name, mem.Name)
	}
	at, err := da.client.ConfirmFloor(ctx, got, confirmFloorRequest(gr, mem, wait))
	if codes.Is(err, codes.PeerUnreached) {
		da.members.Suspect(got.ID, da.deps.Now())
	}
	return at, err
}

// askPosition asks the home of a member for a position that is read after this
// call.
func (da *Daemon) askPosition(ctx context.Context, gr store.Group, mem store.Member) (posn.Position, error) {
	got := da.homeOf(mem)
	if da.isSelf(got) {
		return da.homes.AskPosition(ctx, gr.Name, mem.Name)
	}
	return da.client.AskPosition(ctx, got, gr.Name, mem.Name)
}

// awaitPosition asks the home of a member for its position, which is returned
// once it covers want, or after the wait.
func (da *Daemon) awaitPosition(ctx context.Context, gr store.Group, mem store.Member, want posn.Position, wait time.Duration) (posn.Position, error) {
	got := da.homeOf(mem)
	if da.isSelf(got) {
		return da.homes.AwaitPosition(ctx, gr.Name, mem.Name, want, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerGrace)
	defer cancel()
	at, err := da.client.AwaitPosition(ctx, got, awaitPositionRequest(gr, mem, want, wait))
	if codes.Is(err, codes.PeerUnreached) {
		da.members.Suspect(got.ID, da.deps.Now())
	}
	return at, err
}
