// Package home implements the home of an upstream: the daemon that holds the
// few connections to it, divides them fairly among callers, and confirms writes
// by majority.
package home

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/conf"
	"banyanspring/core/posn"
	"banyanspring/io/store"
	"banyanspring/io/wire"
)

// Peers holds the requests to the homes of other upstreams, as functions so
// that tests can replace them.
type Peers struct {
	// AwaitPosition requests a member's position from its home, which answers
	// once the position covers want, and at the latest after wait.
	AwaitPosition func(ctx context.Context, gr store.Group, mem store.Member, want posn.Position, wait time.Duration) (posn.Position, error)
	// AskPosition requests a member's current position from its home.
	AskPosition func(ctx context.Context, gr store.Group, mem store.Member) (posn.Position, error)
	// ConfirmFloor requests a position that a majority has confirmed from the
	// home of the primary.
	ConfirmFloor func(ctx context.Context, gr store.Group, wait time.Duration) (posn.Position, error)
}

// Stream is the server side of a Run stream.
type Stream struct {
	Recv func() (*wire.RunRequest, error)
	Send func(*wire.RunReply) error
}

// Manager manages all upstreams that this daemon is home of. It is safe for
// concurrent use.
type Manager struct {
	settings conf.Home
	log      *slog.Logger
	now      func() time.Time
	dial     func(ctx context.Context, address string) (net.Conn, error)
	peers    Peers
	// groups returns a group as last received from the platform.
	groups  func(name string) (store.Group, bool)
	leaving atomic.Bool
	// connectionDivisor divides the connection limit of each upstream; at least
	// 1.
	connectionDivisor int
	// inFlight counts the requests and transactions in flight.
	inFlight sync.WaitGroup

	mu        sync.Mutex
	upstreams map[string]*Upstream
}

// New returns a manager without upstreams; they are added by the first request.
func New(
	settings conf.Home,
	log *slog.Logger,
	now func() time.Time,
	dial func(ctx context.Context, address string) (net.Conn, error),
	groups func(name string) (store.Group, bool),
	peers Peers,
	connectionDivisor int,
) *Manager {
	return &Manager{
		settings:          settings,
		log:               log,
		now:               now,
		dial:              dial,
		peers:             peers,
		groups:            groups,
		connectionDivisor: connectionDivisor,
		upstreams:         make(map[string]*Upstream),
	}
}

// upstream returns the Upstream of that name, and creates it if it does not
// exist or if the address has changed.
func (ma *Manager) upstream(group, name string) (*Upstream, error) {
	gr, ok := ma.groups(group)
	if !ok {
		return nil, codes.Refuse(codes.NotHome, "group %q is not known here", group)
	}
	mem, ok := gr.GetMemberByName(name)
	if !ok {
		return nil, codes.Refuse(codes.NotHome, "upstream %q is not known here", name)
	}
	ma.mu.Lock()
	defer ma.mu.Unlock()
	up := ma.upstreams[name]
	if up == nil || up.member.Address != mem.Address {
		if up != nil {
			up.close()
		}
		up = newUpstream(ma, gr, mem)
		ma.upstreams[name] = up
	}
	return up, nil
}

// AwaitPosition returns an upstream's position once it covers want, and at the
// latest after wait.
func (ma *Manager) AwaitPosition(ctx context.Context, group, name string, want posn.Position, wait time.Duration) (posn.Position, error) {
	up, err := ma.upstream(group, name)
	if err != nil {
		return posn.Position{}, err
	}
	return up.awaitPosition(ctx, want, ma.now().Add(wait))
}

// AskPosition returns an upstream's position as read after the call.
func (ma *Manager) AskPosition(ctx context.Context, group, name string) (posn.Position, error) {
	up, err := ma.upstream(group, name)
	if err != nil {
		return posn.Position{}, err
	}
	got, _, err := up.reportQuery.Do(ctx)
	return got.position, err
}

// ConfirmFloor returns a position of the primary that a majority has confirmed
// after the call.
func (ma *Manager) ConfirmFloor(ctx context.Context, group, name string) (posn.Position, error) {
	up, err := ma.upstream(group, name)
	if err != nil {
		return posn.Position{}, err
	}
	at, _, err := up.floorQuery.Do(ctx)
	return at, err
}

// Leave refuses new work and closes idle connections, so that the next home can
// open its own. Requests and transactions in flight continue.
func (ma *Manager) Leave() {
	ma.leaving.Store(true)
	for _, up := range ma.listUpstreams() {
		up.drain()
	}
}

// Wait returns once no request or transaction is in flight, or the context is done.
func (ma *Manager) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		ma.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Trim closes connections that have been idle for too long. It closes all idle
// connections to upstreams that have another home, so that the other home can
// open its own.
func (ma *Manager) Trim(isHome func(mem store.Member) bool) {
	for _, up := range ma.listUpstreams() {
		if ma.leaving.Load() || !isHome(up.member) {
			up.drain()
			continue
		}
		up.stopDraining()
		up.trim(ma.now())
	}
}

func (ma *Manager) listUpstreams() []*Upstream {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	out := make([]*Upstream, 0, len(ma.upstreams))
	for _, up := range ma.upstreams {
		out = append(out, up)
	}
	return out
}

// Close closes all upstreams.
func (ma *Manager) Close() {
	for _, up := range ma.listUpstreams() {
		up.close()
	}
}

// Status describes one upstream for operators.
type Status struct {
	Group       string `json:"group"`
	Upstream    string `json:"upstream"`
	Position    string `json:"position"`
	Primary     bool   `json:"primary"`
	Down        bool   `json:"down"`
	Connections int    `json:"connections_in_use"`
	Idle        int    `json:"connections_idle"`
	Running     int    `json:"slots_in_use"`
	Waiting     int    `json:"waiting"`
	// Violations counts violated invariants; any value other than 0 is a bug to
	// report.
	Violations int64 `json:"violations"`
}

// Status describes all upstreams of this manager.
func (ma *Manager) Status() []Status {
	out := []Status{}
	for _, up := range ma.listUpstreams() {
		out = append(out, up.status())
	}
	return out
}

func (up *Upstream) status() Status {
	conns, _ := up.connections.Load()
	running, waiting := up.slots.Load()
	up.mu.Lock()
	idle := len(up.idle)
	up.mu.Unlock()
	st := Status{
		Group:       up.group,
		Upstream:    up.member.Name,
		Down:        up.down.Load(),
		Connections: conns,
		Idle:        idle,
		Running:     running,
		Waiting:     waiting,
		Violations:  up.violations.Load(),
	}
	if got := up.highestReport.Load(); got != nil {
		st.Position = got.position.String()
		st.Primary = got.primary
	}
	return st
}
