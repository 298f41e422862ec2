// Package home holds the few connections to the upstreams that this daemon is
// home of, shares them out fairly, and confirms writes by majority.
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

// Peers asks the homes of other upstreams; its functions are seams.
type Peers struct {
	// AwaitPosition asks the home of a member for its position.
	AwaitPosition func(ctx context.Context, gr store.Group, mem store.Member, want posn.Position, wait time.Duration) (posn.Position, error)
	// AskPosition asks the home of a member for its position as of now.
	AskPosition func(ctx context.Context, gr store.Group, mem store.Member) (posn.Position, error)
	// ConfirmFloor asks the home of the primary for a confirmed position.
	ConfirmFloor func(ctx context.Context, gr store.Group, wait time.Duration) (posn.Position, error)
}

// Stream is the home's end of a Run stream.
type Stream struct {
	Recv func() (*wire.RunRequest, error)
	Send func(*wire.RunReply) error
}

// Manager holds the homes of one daemon. It is safe for concurrent use.
type Manager struct {
	settings conf.Home
	log      *slog.Logger
	now      func() time.Time
	dial     func(ctx context.Context, address string) (net.Conn, error)
	peers    Peers
	// groups returns a group as the platform last described it.
	groups  func(name string) (store.Group, bool)
	leaving atomic.Bool
	// share divides the connections of each upstream; at least 1.
	share int
	// work counts the requests and transactions in hand.
	work sync.WaitGroup

	mu        sync.Mutex
	upstreams map[string]*Upstream
}

// New returns a manager without homes; they are opened by the first request.
func New(
	settings conf.Home,
	log *slog.Logger,
	now func() time.Time,
	dial func(ctx context.Context, address string) (net.Conn, error),
	groups func(name string) (store.Group, bool),
	peers Peers,
	share int,
) *Manager {
	return &Manager{
		settings:  settings,
		log:       log,
		now:       now,
		dial:      dial,
		peers:     peers,
		groups:    groups,
		share:     share,
		upstreams: make(map[string]*Upstream),
	}
}

// upstream returns the home of an upstream and opens it if need be.
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

// AwaitPosition returns an upstream's position, at the latest after the wait.
func (ma *Manager) AwaitPosition(ctx context.Context, group, name string, want posn.Position, wait time.Duration) (posn.Position, error) {
	up, err := ma.upstream(group, name)
	if err != nil {
		return posn.Position{}, err
	}
	return up.awaitPosition(ctx, want, ma.now().Add(wait))
}

// AskPosition returns an upstream's position, asked for after the call.
func (ma *Manager) AskPosition(ctx context.Context, group, name string) (posn.Position, error) {
	up, err := ma.upstream(group, name)
	if err != nil {
		return posn.Position{}, err
	}
	got, _, err := up.reports.Ask(ctx)
	return got.position, err
}

// ConfirmFloor returns a position of the primary that a majority confirmed
// after the call.
func (ma *Manager) ConfirmFloor(ctx context.Context, group, name string) (posn.Position, error) {
	up, err := ma.upstream(group, name)
	if err != nil {
		return posn.Position{}, err
	}
	at, _, err := up.floors.Ask(ctx)
	return at, err
}

// Leave refuses new work and gives idle connections back, so that the next
// home can open its own; what was begun goes on.
func (ma *Manager) Leave() {
	ma.leaving.Store(true)
	for _, up := range ma.list() {
		up.shed()
	}
}

// Wait returns once the work in hand has ended or the context is done.
func (ma *Manager) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		ma.work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Trim closes connections that have been idle for too long, and gives those
// of upstreams that have another home back to it.
func (ma *Manager) Trim(isHome func(mem store.Member) bool) {
	for _, up := range ma.list() {
		if ma.leaving.Load() || !isHome(up.member) {
			up.shed()
			continue
		}
		up.resume()
		up.trim(ma.now())
	}
}

func (ma *Manager) list() []*Upstream {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	out := make([]*Upstream, 0, len(ma.upstreams))
	for _, up := range ma.upstreams {
		out = append(out, up)
	}
	return out
}

// Close gives all homes up.
func (ma *Manager) Close() {
	for _, up := range ma.list() {
		up.close()
	}
}

// Status describes one home for operators.
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
	// Violations counts failed invariants; anything but 0 is a fault to report.
	Violations int64 `json:"violations"`
}

// Status describes all homes held here.
func (ma *Manager) Status() []Status {
	out := []Status{}
	for _, up := range ma.list() {
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
	if got := up.known.Load(); got != nil {
		st.Position = got.position.String()
		st.Primary = got.primary
	}
	return st
}
