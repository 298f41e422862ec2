// Package daemon puts the parts of a daemon together. Each part is a plug-in
// that registers itself with the kernel.
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

// Seams are what a daemon takes from its surroundings.
type Seams struct {
	// Now returns the current time.
	Now func() time.Time
	// DialUpstream opens a connection to an upstream.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)
	// DialPeer opens a connection to another daemon.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// PlatformTransport carries calls to the platform.
	PlatformTransport http.RoundTripper
	// RouteReads orders the upstreams for a read; it is route.Reads but in
	// baselines.
	RouteReads func(ups []route.Upstream, rq route.Request, now time.Time) []route.Upstream
	// PoolEverywhere makes every daemon home of every upstream; it is a
	// baseline. Share then divides the upstream's connections.
	PoolEverywhere bool
	// Share divides the connections of each upstream between daemons; at
	// least 1.
	Share int
	// Timing replaces the times of the guards; nil in production.
	Timing *promo.Timing
	// GuardEvery replaces the time between probes; zero in production.
	GuardEvery time.Duration
	// WrapCaller wraps a connection that a caller opened; nil leaves it.
	WrapCaller func(nc net.Conn) net.Conn
}

// RealSeams returns the seams of a daemon in production.
func RealSeams() Seams {
	return Seams{
		Now:               time.Now,
		DialUpstream:      home.DialTCP,
		DialPeer:          home.DialTCP,
		PlatformTransport: http.DefaultTransport,
		RouteReads:        route.Reads,
		Share:             1,
	}
}

// Host is one daemon, through which its plug-ins reach each other.
type Host struct {
	Settings conf.Settings
	Log      *slog.Logger
	seams    Seams

	kernel *kernl.Kernel[*Host]
	life   *life.Machine

	// Set by the plug-ins in the order of their stages.
	metrics *metric.Metrics
	store   *store.Client
	keeper  *adopt.Keeper
	groups  *groupCache
	mirror  *mirror
	// follower keeps the copy of the platform's objects up to date.
	follower *follower
	members  *membership
	client   *peer.Client
	homes    *home.Manager
	floors   *floorAskers
	front    *front.Front
	guards   *guards
	server   *peer.Server

	peerListener   net.Listener
	callerListener net.Listener
	adminListener  net.Listener
	admin          *http.Server
	// background ends the goroutines of the plug-ins.
	background context.Context
	stop       context.CancelFunc
}

// Stages of the plug-ins.
const (
	stageBase = iota
	stageListen
	stagePlatform
	stageHome
	stageCaller
	stageAdmin
	stageAnnounce
)

// registry holds the plug-ins that registered themselves.
var registry = &kernl.Registry[*Host]{}

// New returns a daemon that does not run yet.
func New(settings conf.Settings, log *slog.Logger, seams Seams) *Host {
	background, stop := context.WithCancel(context.Background())
	ho := &Host{
		Settings:   settings,
		Log:        log.With("daemon", settings.Daemon.ID),
		seams:      seams,
		keeper:     adopt.New(),
		background: background,
		stop:       stop,
	}
	ho.life = life.New(nil)
	ho.kernel = kernl.New(ho, registry)
	return ho
}

// Start brings the daemon up and returns once it serves.
func (ho *Host) Start(ctx context.Context) error {
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

// Shutdown leaves gracefully: no new sessions, and requests and transactions
// end by the deadline of the settings.
func (ho *Host) Shutdown(ctx context.Context) error {
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

// Kill stops the daemon at once.
func (ho *Host) Kill() {
	ho.stop()
	ho.kernel.Stop()
	_ = ho.life.Stop()
	event.Log(ho.Log, event.DaemonStopped)
}

// State returns the stage of the daemon's life.
func (ho *Host) State() life.State { return ho.life.State() }

// CallerAddress returns where callers reach the daemon.
func (ho *Host) CallerAddress() string { return ho.callerListener.Addr().String() }

// PeerAddress returns where peers reach the daemon.
func (ho *Host) PeerAddress() string { return ho.peerListener.Addr().String() }

// AdminAddress returns where the daemon serves status and metrics.
func (ho *Host) AdminAddress() string { return ho.adminListener.Addr().String() }

// DocumentVersion returns the version of the document in force here.
func (ho *Host) DocumentVersion() uint64 { return ho.keeper.Current().Version }

// StoreCalls returns how many calls the daemon made to the platform.
func (ho *Host) StoreCalls() int64 { return ho.store.Calls() }

// Reads returns how many reads replicas and primaries have served through this
// daemon's entry.
func (ho *Host) Reads() (replica, primary int64) { return ho.front.Reads() }

// Members returns how many daemons this one knows, itself included.
func (ho *Host) Members() int { return len(ho.members.View(ho.seams.Now()).Members()) }

// IsHomeOf reports whether the daemon is home of an upstream.
func (ho *Host) IsHomeOf(upstream string) bool {
	for _, gr := range ho.groups.List() {
		if mem, ok := gr.GetMemberByName(upstream); ok {
			return ho.isSelf(ho.homeOf(mem))
		}
	}
	return false
}

// Sessions returns how many caller sessions are open.
func (ho *Host) Sessions() int { return ho.front.Sessions() }

// self describes the daemon as a member.
func (ho *Host) self() place.Member {
	return place.Member{
		ID:      ho.Settings.Daemon.ID,
		Address: ho.PeerAddress(),
		Domain:  ho.Settings.Daemon.Domain,
		Region:  ho.Settings.Daemon.Region,
		Leaving: ho.life.State() == life.Leaving,
	}
}

// homeOf returns the daemon that is home of an upstream.
func (ho *Host) homeOf(mem store.Member) place.Member {
	if ho.seams.PoolEverywhere {
		return ho.self()
	}
	at := place.Site{Domain: mem.Domain, Region: mem.Region}
	got, ok := ho.members.View(ho.seams.Now()).Home(mem.Name, at)
	if !ok {
		// The last daemon serves its own sessions while it leaves.
		return ho.self()
	}
	return got
}

func (ho *Host) isSelf(mem place.Member) bool { return mem.ID == ho.Settings.Daemon.ID }

// run opens a stream to the home of an upstream; a request that may be repeated
// can reuse one.
func (ho *Host) run(mem store.Member, repeatable bool) (peer.Stream, error) {
	got := ho.homeOf(mem)
	if ho.isSelf(got) {
		return peer.Local(ho.homes), nil
	}
	if repeatable {
		return ho.client.Reuse(got)
	}
	return ho.client.Run(got)
}

// primaryOf returns the member that leads the group as far as is known.
func primaryOf(gr store.Group) (store.Member, error) {
	mem, ok := gr.GetMemberByName(gr.Primary)
	if !ok {
		return store.Member{}, codes.Refuse(codes.NoPrimary, "group %q", gr.Name)
	}
	return mem, nil
}

// avoid notes that the home of an upstream failed or is leaving.
func (ho *Host) avoid(mem store.Member) {
	got := ho.homeOf(mem)
	if ho.isSelf(got) {
		return
	}
	ho.members.Suspect(got.ID, ho.seams.Now())
}

// confirmFloor asks the home of a group's primary.
func (ho *Host) confirmFloor(ctx context.Context, gr store.Group, wait time.Duration) (posn.Position, error) {
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
		ho.members.Suspect(got.ID, ho.seams.Now())
	}
	return at, err
}

// askPosition asks the home of a member for its position as of now.
func (ho *Host) askPosition(ctx context.Context, gr store.Group, mem store.Member) (posn.Position, error) {
	got := ho.homeOf(mem)
	if ho.isSelf(got) {
		return ho.homes.AskPosition(ctx, gr.Name, mem.Name)
	}
	return ho.client.AskPosition(ctx, got, gr.Name, mem.Name)
}

// awaitPosition asks the home of a member.
func (ho *Host) awaitPosition(ctx context.Context, gr store.Group, mem store.Member, want posn.Position, wait time.Duration) (posn.Position, error) {
	got := ho.homeOf(mem)
	if ho.isSelf(got) {
		return ho.homes.AwaitPosition(ctx, gr.Name, mem.Name, want, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerGrace)
	defer cancel()
	at, err := ho.client.AwaitPosition(ctx, got, awaitPositionRequest(gr, mem, want, wait))
	if codes.Is(err, codes.PeerUnreached) {
		ho.members.Suspect(got.ID, ho.seams.Now())
	}
	return at, err
}
