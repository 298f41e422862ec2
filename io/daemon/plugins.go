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
		Start: func(_ context.Context, ho *Daemon) error {
			ho.metrics = metric.New()
			return nil
		},
		Stop: func(ho *Daemon) { ho.metrics.Close() },
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
func startAnnounce(ctx context.Context, ho *Daemon) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if ho.announce(ctx) == nil {
		return nil
	}
	go func() {
		for delay.Pause(ho.background, announceRetryInterval) && ho.announce(ho.background) != nil {
			continue
		}
	}()
	return nil
}

// startListen opens the ports in an early stage, so that the later plug-ins know
// the addresses.
func startListen(_ context.Context, ho *Daemon) error {
	var err error
	if ho.peerListener, err = net.Listen("tcp", ho.Settings.Peer.Listen); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if ho.callerListener, err = net.Listen("tcp", ho.Settings.Caller.Listen); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if ho.adminListener, err = net.Listen("tcp", ho.Settings.Admin.Listen); err != nil {
		return errors.Wrap(err, "listen for admin requests")
	}
	return nil
}

func stopListen(ho *Daemon) {
	_ = ho.peerListener.Close()
	_ = ho.callerListener.Close()
	_ = ho.adminListener.Close()
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

// floorConfirmer batches the requests for arrival floors, with one asker per
// group. An arrival floor is a position of the primary that a majority
// confirmed after a read arrived, and the lowest position that the read may
// see.
type floorConfirmer struct {
	ho     *Daemon
	mu     sync.Mutex
	askers map[string]*batch.Coalescer[posn.Position]
}

// confirmFloorTimeout limits one request for an arrival floor. It also limits
// the leave messages to the peers at shutdown.
const confirmFloorTimeout = time.Second

func (fc *floorConfirmer) confirm(ctx context.Context, gr store.Group) (posn.Position, time.Time, error) {
	fc.mu.Lock()
	as := fc.askers[gr.Name]
	if as == nil {
		as = batch.New(confirmFloorTimeout, codes.NoMajority, func(ctx context.Context) (posn.Position, error) {
			now, ok := fc.ho.groups.Get(gr.Name)
			if !ok {
				now = gr
			}
			return fc.ho.confirmFloor(ctx, now, confirmFloorTimeout)
		})
		fc.askers[gr.Name] = as
	}
	fc.mu.Unlock()
	return as.Do(ctx)
}

// startPeers creates the homes and serves them to other daemons.
func startPeers(_ context.Context, ho *Daemon) error {
	creds, err := peerCredentials(ho.Settings.Peer)
	if err != nil {
		return err
	}
	ho.homes = home.New(ho.Settings.Home, ho.Log, ho.deps.Now, ho.deps.DialUpstream, ho.groups.Get, home.Peers{
		AwaitPosition: ho.awaitPosition,
		AskPosition:   ho.askPosition,
		ConfirmFloor:  ho.confirmFloor,
	}, ho.deps.PoolDivisor)
	ho.floors = &floorConfirmer{ho: ho, askers: make(map[string]*batch.Coalescer[posn.Position])}
	ho.server = peer.NewServer(creds, peer.Handlers{
		Homes:    ho.homes,
		Cancel:   func(pid, secret uint32) bool { return ho.front != nil && ho.front.Cancel(pid, secret) },
		Order:    ho.carryOutOrder,
		Watch:    ho.mirror.Watch,
		Snapshot: ho.mirror.Snapshot,
		Handover: ho.runHandover,
		Leave: func(member string) {
			event.Log(ho.Log, event.PeerLeaving, "member", member)
			ho.members.SetLeaving(member, ho.deps.Now())
		},
	})
	go func() { _ = ho.server.Serve(ho.peerListener) }()
	go ho.maintainConnections()
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

func (ho *Daemon) maintainConnections() {
	for delay.Pause(ho.background, connCheckInterval) {
		ho.client.CloseIdleStreams(ho.deps.Now())
		ho.client.CheckConnections(ho.background)
		ho.homes.Trim(func(mem store.Member) bool { return ho.isSelf(ho.homeOf(mem)) })
	}
}

// drainPeers refuses new work at the homes and waits for the work in flight.
func drainPeers(ctx context.Context, ho *Daemon) {
	ho.homes.Leave()
	ho.homes.Wait(ctx)
}

func stopPeers(ho *Daemon) {
	ho.server.Stop()
	ho.homes.Close()
	ho.client.Close()
}

func startCallers(_ context.Context, ho *Daemon) error {
	tlsConfig, err := callerTLS(ho.Settings.Caller.TLSCert, ho.Settings.Caller.TLSKey)
	if err != nil {
		return err
	}
	ho.front, err = front.New(ho.Settings, ho.Log, ho.deps.Now, front.Cluster{
		Document:          ho.keeper.Current,
		Group:             ho.groups.Get,
		OpenStream:        ho.openStream,
		ConfirmedPosition: ho.floors.confirm,
		ForwardCancel:     ho.forwardCancel,
		SuspectHome:       ho.suspectHome,
		LearnTerm:         ho.learnTerm,
		RefreshTerms:      ho.refreshGroup,
		RankForRead:       ho.deps.RouteReads,
	}, ho.metrics, tlsConfig)
	if err != nil {
		return err
	}
	ln := ho.callerListener
	if ho.deps.WrapCaller != nil {
		ln = &wrappedListener{Listener: ln, wrap: ho.deps.WrapCaller}
	}
	go ho.front.Serve(ln)
	return nil
}

// wrappedListener wraps each connection that it accepts.
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
func (ho *Daemon) forwardCancel(ctx context.Context, pid, secret uint32) {
	for _, mem := range ho.members.View(ho.deps.Now()).Members() {
		if ho.isSelf(mem) || front.PIDPrefix(mem.ID) != front.PrefixOfPID(pid) {
			continue
		}
		if found, err := ho.client.Cancel(ctx, mem, pid, secret); err == nil && found {
			return
		}
	}
}

func drainCallers(ctx context.Context, ho *Daemon) { ho.front.Leave(ctx) }

func stopCallers(ho *Daemon) { ho.front.Close() }

// drainAnnounce tells the platform and the peers that the daemon is leaving, so
// that other daemons take over its roles while it drains.
func drainAnnounce(ctx context.Context, ho *Daemon) {
	now := ho.deps.Now()
	ho.members.SetSelf(ho.self())
	ctx, cancel := context.WithTimeout(ctx, confirmFloorTimeout)
	defer cancel()
	go func() { _ = ho.announce(ho.background) }()
	var wg sync.WaitGroup
	for _, mem := range ho.members.View(now).Members() {
		if ho.isSelf(mem) || mem.Leaving {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = ho.client.Leave(ctx, mem, ho.Settings.Daemon.ID)
		}()
	}
	wg.Wait()
	if ho.hasSuccessor() {
		ho.homes.Leave()
	}
}

// hasSuccessor reports whether another daemon can take over the homes.
func (ho *Daemon) hasSuccessor() bool {
	for _, mem := range ho.members.View(ho.deps.Now()).Members() {
		if !ho.isSelf(mem) && !mem.Leaving {
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
func (ho *Daemon) Status() Status {
	st := Status{
		Daemon:          ho.Settings.Daemon.ID,
		Domain:          ho.Settings.Daemon.Domain,
		Region:          ho.Settings.Daemon.Region,
		State:           ho.life.State(),
		DocumentVersion: ho.DocumentVersion(),
		Sessions:        ho.front.Sessions(),
		PlatformCalls:   ho.store.Calls(),
		Homes:           ho.homes.Status(),
	}
	for _, mem := range ho.members.View(ho.deps.Now()).Members() {
		st.Members = append(st.Members, Member{ID: mem.ID, Domain: mem.Domain, Leaving: mem.Leaving})
	}
	st.Groups = ho.guards.status()
	return st
}

// startAdmin serves health, status and metrics over HTTP.
func startAdmin(_ context.Context, ho *Daemon) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = wr.Write([]byte("live\n"))
	})
	mux.HandleFunc("GET /ready", ho.serveReady)
	mux.HandleFunc("GET /status", func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(wr).Encode(ho.Status())
	})
	mux.HandleFunc("POST /groups/{group}/handover", ho.serveHandover)
	mux.HandleFunc("POST /groups/{group}/force", ho.serveForce)
	mux.Handle("GET /metrics", ho.metrics.Handler())
	ho.admin = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = ho.admin.Serve(ho.adminListener) }()
	return nil
}

// serveReady tells the load balancer whether to send new sessions here.
func (ho *Daemon) serveReady(wr http.ResponseWriter, _ *http.Request) {
	state := ho.life.State()
	if state != life.Serving || ho.DocumentVersion() == 0 {
		http.Error(wr, string(state), http.StatusServiceUnavailable)
		return
	}
	_, _ = wr.Write([]byte("ready\n"))
}

func stopAdmin(ho *Daemon) { _ = ho.admin.Close() }
