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
	// baseline. Share then divides the connections of the upstream.
	PoolEverywhere bool
	// PoolDivisor is the number of daemons that divide the connections of each
	// upstream between them; at least 1.
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

// Daemon is one daemon; its plug-ins reach each other through it.
type Daemon struct {
	Settings conf.Settings
	Log      *slog.Logger
	deps     Dependencies

	kernel *kernl.Kernel[*Daemon]
	life   *life.Machine

	// The fields below are set by the plug-ins in the order of their stages.
	metrics  *metric.Metrics
	store    *store.Client
	keeper   *adopt.Keeper
	groups   *groupCache
	mirror   *mirror
	follower *platformFollower
	members  *membership
	client   *peer.Client
	homes    *home.Manager
	floors   *floorConfirmer
	front    *front.Front
	guards   *guards
	server   *peer.Server

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
	ho := &Daemon{
		Settings:   settings,
		Log:        log.With("daemon", settings.Daemon.ID),
		deps:       deps,
		keeper:     adopt.New(),
		background: background,
		stop:       stop,
	}
	ho.life = life.New(nil)
	ho.kernel = kernl.New(ho, registry)
	return ho
}

// Start starts the plug-ins and returns once the daemon serves.
func (ho *Daemon) Start(ctx context.Context) error {
	event.Log(ho.Log, event.DaemonStarting, "domain", ho.Settings.Daemon.Domain, "region", ho.Settings.Daemon.Region)
	if err := ho.kernel.Start(ctx); err != nil {
		event.Log(ho.Log, event.PluginFailed, "error", err)
		return err
	}
	if err := ho.life.Ready(); err != nil {
		return errors.Wrap(err, "daemon")
	}
	event.Log(ho.Log, event.DaemonServing, "callers", ho.CallerAddress(), "peers", ho.PeerAddress())
	return nil
}

// Shutdown stops the daemon gracefully: it takes no new sessions and lets
// requests and transactions end until the shutdown deadline of the settings.
func (ho *Daemon) Shutdown(ctx context.Context) error {
	if err := ho.life.Leave(); err != nil {
		return errors.Wrap(err, "daemon")
	}
	event.Log(ho.Log, event.DaemonLeaving)
	ctx, cancel := context.WithTimeout(ctx, ho.Settings.Shutdown.Deadline)
	defer cancel()
	ho.kernel.Drain(ctx)
	ho.Kill()
	return nil
}

// Kill stops the daemon without draining it.
func (ho *Daemon) Kill() {
	ho.stop()
	ho.kernel.Stop()
	_ = ho.life.Stop()
	event.Log(ho.Log, event.DaemonStopped)
}

// State returns the daemon's lifecycle state.
func (ho *Daemon) State() life.State { return ho.life.State() }

// CallerAddress returns the address that the daemon serves callers on,
// "ip:port".
func (ho *Daemon) CallerAddress() string { return ho.callerListener.Addr().String() }

// PeerAddress returns the address that the daemon serves peers on, "ip:port".
func (ho *Daemon) PeerAddress() string { return ho.peerListener.Addr().String() }

// AdminAddress returns the address that the daemon serves status and metrics
// on, "ip:port".
func (ho *Daemon) AdminAddress() string { return ho.adminListener.Addr().String() }

// DocumentVersion returns the version of the configuration document in force; 0
// before the first.
func (ho *Daemon) DocumentVersion() uint64 { return ho.keeper.Current().Version }

// StoreCalls returns how many calls the daemon made to the platform.
func (ho *Daemon) StoreCalls() int64 { return ho.store.Calls() }

// Reads returns how many reads of this daemon's callers replicas and primaries
// have served.
func (ho *Daemon) Reads() (replica, primary int64) { return ho.front.ReadCounts() }

// Members returns the number of daemons in the membership view, itself included.
func (ho *Daemon) Members() int { return len(ho.members.View(ho.deps.Now()).Members()) }

// IsHomeOf reports whether the daemon is the home of an upstream.
func (ho *Daemon) IsHomeOf(upstream string) bool {
	for _, gr := range ho.groups.List() {
		if mem, ok := gr.GetMemberByName(upstream); ok {
			return ho.isSelf(ho.homeOf(mem))
		}
	}
	return false
}

// Sessions returns the number of open caller sessions.
func (ho *Daemon) Sessions() int { return ho.front.Sessions() }

// self returns the daemon's own entry in the membership view.
func (ho *Daemon) self() place.Member {
	return place.Member{
		ID:      ho.Settings.Daemon.ID,
		Address: ho.PeerAddress(),
		Domain:  ho.Settings.Daemon.Domain,
		Region:  ho.Settings.Daemon.Region,
		Leaving: ho.life.State() == life.Leaving,
	}
}

// homeOf returns the daemon that is the home of an upstream.
func (ho *Daemon) homeOf(mem store.Member) place.Member {
	if ho.deps.PoolEverywhere {
		return ho.self()
	}
	at := place.Site{Domain: mem.Domain, Region: mem.Region}
	got, ok := ho.members.View(ho.deps.Now()).Home(mem.Name, at)
	if !ok {
		// No member can take the role, as all are leaving: the last daemon serves
		// its own sessions until it stops.
		return ho.self()
	}
	return got
}

func (ho *Daemon) isSelf(mem place.Member) bool { return mem.ID == ho.Settings.Daemon.ID }

// openStream opens a Run stream to the home of an upstream. A repeatable
// request may get an idle stream, whose peer may be gone.
func (ho *Daemon) openStream(mem store.Member, repeatable bool) (peer.Stream, error) {
	got := ho.homeOf(mem)
	if ho.isSelf(got) {
		return peer.NewLocalStream(ho.homes), nil
	}
	if repeatable {
		return ho.client.ReuseOrOpenRun(got)
	}
	return ho.client.OpenRun(got)
}

// primaryOf returns the member that leads the newest known term of the group.
func primaryOf(gr store.Group) (store.Member, error) {
	mem, ok := gr.GetMemberByName(gr.Primary)
	if !ok {
		return store.Member{}, codes.Refuse(codes.NoPrimary, "group %q", gr.Name)
	}
	return mem, nil
}

// suspectHome marks the home of an upstream as failed or leaving, so that it
// takes no role for suspectDuration.
func (ho *Daemon) suspectHome(mem store.Member) {
	got := ho.homeOf(mem)
	if ho.isSelf(got) {
		return
	}
	ho.members.Suspect(got.ID, ho.deps.Now())
}

// confirmFloor asks the home of a group's primary for a position that a
// majority confirms.
func (ho *Daemon) confirmFloor(ctx context.Context, gr store.Group, wait time.Duration) (posn.Position, error) {
	mem, err := primaryOf(gr)
	if err != nil {
		return posn.Position{}, err
	}
	got := ho.homeOf(mem)
	if ho.isSelf(got) {
		return ho.homes.ConfirmFloor(ctx, gr.Name, mem.Name)
	}
	at, err := ho.client.ConfirmFloor(ctx, got, confirmFloorRequest(gr, mem, wait))
	if codes.Is(err, codes.PeerUnreached) {
		ho.members.Suspect(got.ID, ho.deps.Now())
	}
	return at, err
}

// askPosition asks the home of a member for a position that is read after this
// call.
func (ho *Daemon) askPosition(ctx context.Context, gr store.Group, mem store.Member) (posn.Position, error) {
	got := ho.homeOf(mem)
	if ho.isSelf(got) {
		return ho.homes.AskPosition(ctx, gr.Name, mem.Name)
	}
	return ho.client.AskPosition(ctx, got, gr.Name, mem.Name)
}

// awaitPosition asks the home of a member for its position, which is returned
// once it covers want, or after the wait.
func (ho *Daemon) awaitPosition(ctx context.Context, gr store.Group, mem store.Member, want posn.Position, wait time.Duration) (posn.Position, error) {
	got := ho.homeOf(mem)
	if ho.isSelf(got) {
		return ho.homes.AwaitPosition(ctx, gr.Name, mem.Name, want, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerGrace)
	defer cancel()
	at, err := ho.client.AwaitPosition(ctx, got, awaitPositionRequest(gr, mem, want, wait))
	if codes.Is(err, codes.PeerUnreached) {
		ho.members.Suspect(got.ID, ho.deps.Now())
	}
	return at, err
}
