package daemon

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/durationpb"

	"banyanspring/core/codes"
	"banyanspring/core/conf"
	"banyanspring/core/event"
	"banyanspring/core/kernl"
	"banyanspring/core/life"
	"banyanspring/core/posn"
	"banyanspring/io/batch"
	"banyanspring/io/delay"
	"banyanspring/io/front"
	"banyanspring/io/home"
	"banyanspring/io/metric"
	"banyanspring/io/peer"
	"banyanspring/io/store"
	"banyanspring/io/wire"
)

type plugin = kernl.Plugin[*Daemon]

func init() {
	registry.Register(plugin{
		Name:  "metrics",
		Stage: stageBase,
		Start: func(_ context.Context, da *Daemon) error {
			da.metrics = metric.New()
			return nil
		},
		Stop: func(da *Daemon) { da.metrics.Close() },
	})
	registry.Register(plugin{Name: "listen", Stage: stageListen, Start: startListen, Stop: stopListen})
	registry.Register(plugin{Name: "peers", Stage: stageHome, Start: startPeers, Drain: drainPeers, Stop: stopPeers})
	registry.Register(plugin{Name: "callers", Stage: stageCaller, Start: startCallers, Drain: drainCallers, Stop: stopCallers})
	registry.Register(plugin{Name: "admin", Stage: stageAdmin, Start: startAdmin, Stop: stopAdmin})
	registry.Register(plugin{
		Name:  "announce",
		Stage: stageAnnounce,
		Start: startAnnounce,
		Drain: drainAnnounce,
	})
}

// announceRetryInterval is the pause between attempts to announce the daemon.
const announceRetryInterval = time.Second

// startAnnounce announces the daemon in the platform's store. If the store is
// down, the daemon starts anyway and retries in the background.
func startAnnounce(ctx context.Context, da *Daemon) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if da.announce(ctx) == nil {
		return nil
	}
	go func() {
		for delay.Pause(da.background, announceRetryInterval) && da.announce(da.background) != nil {
			continue
		}
	}()
	return nil
}

// startListen opens the ports in an early stage, so that the later plug-ins know
// the addresses.
func startListen(_ context.Context, da *Daemon) error {
	var err error
	if da.peerListener, err = net.Listen("tcp", da.Settings.Peer.Listen); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if da.callerListener, err = net.Listen("tcp", da.Settings.Caller.Listen); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if da.adminListener, err = net.Listen("tcp", da.Settings.Admin.Listen); err != nil {
		return errors.Wrap(err, "listen for admin requests")
	}
	return nil
}

func stopListen(da *Daemon) {
	_ = da.peerListener.Close()
	_ = da.callerListener.Close()
	_ = da.adminListener.Close()
}

// peerGrace is the time that a call to a peer may take in addition to the wait
// that it requests. It also limits a single read of the store in place of the
// delegate.
const peerGrace = time.Second

func confirmFloorRequest(gr store.Group, mem store.Member, wait time.Duration) *wire.ConfirmFloorRequest {
	return &wire.ConfirmFloorRequest{Group: gr.Name, Upstream: mem.Name, Wait: durationpb.New(wait)}
}

func awaitPositionRequest(gr store.Group, mem store.Member, want posn.Position, wait time.Duration) *wire.AwaitPositionRequest {
	return &wire.AwaitPositionRequest{
		Group:    gr.Name,
		Upstream: mem.Name,
		Position: wire.FromPosition(want),
		Wait:     durationpb.New(wait),
	}
}

// floorConfirmer batches the requests for arrival floors, with one coalescer per
// group. An arrival floor is a position of the primary that a majority
// confirmed after a read arrived, and the lowest position that the read may
// see.
type floorConfirmer struct {
	da         *Daemon
	mu         sync.Mutex
	coalescers map[string]*batch.Coalescer[posn.Position]
}

// confirmFloorTimeout limits one request for an arrival floor. It also limits
// the leave messages to the peers at shutdown.
const confirmFloorTimeout = time.Second

func (fc *floorConfirmer) confirm(ctx context.Context, gr store.Group) (posn.Position, time.Time, error) {
	fc.mu.Lock()
	co := fc.coalescers[gr.Name]
	if co == nil {
		co = batch.New(confirmFloorTimeout, codes.NoMajority, func(ctx context.Context) (posn.Position, error) {
			now, ok := fc.da.groups.Get(gr.Name)
			if !ok {
				now = gr
			}
			return fc.da.confirmFloor(ctx, now, confirmFloorTimeout)
		})
		fc.coalescers[gr.Name] = co
	}
	fc.mu.Unlock()
	return co.Do(ctx)
}

// startPeers creates the homes and serves them to other daemons.
func startPeers(_ context.Context, da *Daemon) error {
	creds, err := peerCredentials(da.Settings.Peer)
	if err != nil {
		return err
	}
	da.homes = home.New(da.Settings.Home, da.Log, da.deps.Now, da.deps.DialUpstream, da.groups.Get, home.Peers{
		AwaitPosition: da.awaitPosition,
		AskPosition:   da.askPosition,
		ConfirmFloor:  da.confirmFloor,
	}, da.deps.PoolDivisor)
	da.floors = &floorConfirmer{da: da, coalescers: make(map[string]*batch.Coalescer[posn.Position])}
	da.server = peer.NewServer(creds, peer.Handlers{
		Homes:    da.homes,
		Cancel:   func(pid, secret uint32) bool { return da.front != nil && da.front.Cancel(pid, secret) },
		Order:    da.carryOutOrder,
		Watch:    da.mirror.Watch,
		Snapshot: da.mirror.Snapshot,
		Handover: da.runHandover,
		Leave: func(member string) {
			event.Log(da.Log, event.PeerLeaving, "member", member)
			da.members.SetLeaving(member, da.deps.Now())
		},
	})
	go func() { _ = da.server.Serve(da.peerListener) }()
	go da.maintainConnections()
	return nil
}

// peerCredentials returns mutual TLS credentials if the settings name a
// certificate, and insecure ones otherwise.
func peerCredentials(se conf.Peer) (credentials.TransportCredentials, error) {
	if se.TLSCert == "" {
		return insecure.NewCredentials(), nil
	}
	id, err := peer.NewIdentity(se.TLSCert, se.TLSKey, se.TLSAuthority)
	if err != nil {
		return nil, err
	}
	return id.Credentials(), nil
}

// connCheckInterval is the time between two checks of the connections to peers
// and upstreams.
const connCheckInterval = 250 * time.Millisecond

func (da *Daemon) maintainConnections() {
	for delay.Pause(da.background, connCheckInterval) {
		da.client.CloseIdleStreams(da.deps.Now())
		da.client.CheckConnections(da.background)
		da.homes.Trim(func(mem store.Member) bool { return da.isSelf(da.homeOf(mem)) })
	}
}

// drainPeers makes the homes refuse new work and waits for the work in flight.
func drainPeers(ctx context.Context, da *Daemon) {
	da.homes.Leave()
	da.homes.Wait(ctx)
}

func stopPeers(da *Daemon) {
	da.server.Stop()
	da.homes.Close()
	da.client.Close()
}

func startCallers(_ context.Context, da *Daemon) error {
	tlsConfig, err := callerTLS(da.Settings.Caller.TLSCert, da.Settings.Caller.TLSKey)
	if err != nil {
		return err
	}
	da.front, err = front.New(da.Settings, da.Log, da.deps.Now, front.Cluster{
		Document:          da.keeper.Current,
		Group:             da.groups.Get,
		OpenStream:        da.openStream,
		ConfirmedPosition: da.floors.confirm,
		ForwardCancel:     da.forwardCancel,
		SuspectHome:       da.suspectHome,
		LearnTerm:         da.learnTerm,
		RefreshTerms:      da.refreshGroup,
		RankForRead:       da.deps.RouteReads,
	}, da.metrics, tlsConfig)
	if err != nil {
		return err
	}
	ln := da.callerListener
	if da.deps.WrapCaller != nil {
		ln = &wrappedListener{Listener: ln, wrap: da.deps.WrapCaller}
	}
	go da.front.Serve(ln)
	return nil
}

// wrappedListener applies wrap to each connection that it accepts.
type wrappedListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (wl *wrappedListener) Accept() (net.Conn, error) {
	nc, err := wl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wl.wrap(nc), nil
}

func callerTLS(cert, key string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Wrap(err, "load caller certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// forwardCancel sends a cancel request to the daemons whose prefix its process
// ID carries, until one of them finds the session.
func (da *Daemon) forwardCancel(ctx context.Context, pid, secret uint32) {
	for _, mem := range da.members.View(da.deps.Now()).Members() {
		if da.isSelf(mem) || front.PIDPrefix(mem.ID) != front.PrefixOfPID(pid) {
			continue
		}
		if found, err := da.client.Cancel(ctx, mem, pid, secret); err == nil && found {
			return
		}
	}
}

func drainCallers(ctx context.Context, da *Daemon) { da.front.Leave(ctx) }

func stopCallers(da *Daemon) { da.front.Close() }

// drainAnnounce tells the platform and the peers that the daemon is leaving, so
// that other daemons take over its roles while it drains.
func drainAnnounce(ctx context.Context, da *Daemon) {
	now := da.deps.Now()
	da.members.SetSelf(da.self())
	ctx, cancel := context.WithTimeout(ctx, confirmFloorTimeout)
	defer cancel()
	go func() { _ = da.announce(da.background) }()
	var wg sync.WaitGroup
	for _, mem := range da.members.View(now).Members() {
		if da.isSelf(mem) || mem.Leaving {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = da.client.Leave(ctx, mem, da.Settings.Daemon.ID)
		}()
	}
	wg.Wait()
	if da.hasSuccessor() {
		da.homes.Leave()
	}
}

// hasSuccessor reports whether another daemon can take over the homes.
func (da *Daemon) hasSuccessor() bool {
	for _, mem := range da.members.View(da.deps.Now()).Members() {
		if !da.isSelf(mem) && !mem.Leaving {
			return true
		}
	}
	return false
}

// Status is the answer of GET /status.
type Status struct {
	Daemon          string        `json:"daemon"`
	Domain          string        `json:"domain"`
	Region          string        `json:"region"`
	State           life.State    `json:"state"`
	DocumentVersion uint64        `json:"document_version"`
	Sessions        int           `json:"sessions"`
	PlatformCalls   int64         `json:"platform_calls"`
	Members         []Member      `json:"members"`
	Homes           []home.Status `json:"homes"`
	Groups          []GroupStatus `json:"groups"`
}

// Member is one daemon in another one's membership view.
type Member struct {
	ID      string `json:"id"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

// Status returns the current status of the daemon.
func (da *Daemon) Status() Status {
	st := Status{
		Daemon:          da.Settings.Daemon.ID,
		Domain:          da.Settings.Daemon.Domain,
		Region:          da.Settings.Daemon.Region,
		State:           da.life.State(),
		DocumentVersion: da.DocumentVersion(),
		Sessions:        da.front.Sessions(),
		PlatformCalls:   da.store.Calls(),
		Homes:           da.homes.Status(),
	}
	for _, mem := range da.members.View(da.deps.Now()).Members() {
		st.Members = append(st.Members, Member{ID: mem.ID, Domain: mem.Domain, Leaving: mem.Leaving})
	}
	st.Groups = da.guards.status()
	return st
}

// startAdmin serves health, status and metrics over HTTP.
func startAdmin(_ context.Context, da *Daemon) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = wr.Write([]byte("live\n"))
	})
	mux.HandleFunc("GET /ready", da.serveReady)
	mux.HandleFunc("GET /status", func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(wr).Encode(da.Status())
	})
	mux.HandleFunc("POST /groups/{group}/handover", da.serveHandover)
	mux.HandleFunc("POST /groups/{group}/force", da.serveForce)
	mux.Handle("GET /metrics", da.metrics.Handler())
	da.admin = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = da.admin.Serve(da.adminListener) }()
	return nil
}

// serveReady tells the load balancer whether to send new sessions here.
func (da *Daemon) serveReady(wr http.ResponseWriter, _ *http.Request) {
	state := da.life.State()
	if state != life.Serving || da.DocumentVersion() == 0 {
		http.Error(wr, string(state), http.StatusServiceUnavailable)
		return
	}
	_, _ = wr.Write([]byte("ready\n"))
}

func stopAdmin(da *Daemon) { _ = da.admin.Close() }
