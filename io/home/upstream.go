package home

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/admit"
	"banyanspring/core/codes"
	"banyanspring/core/conf"
	"banyanspring/core/confm"
	"banyanspring/core/event"
	"banyanspring/core/posn"
	"banyanspring/io/batch"
	"banyanspring/io/delay"
	"banyanspring/io/gate"
	"banyanspring/io/store"
)

// Upstream is the home's state of one upstream: its connections, its slots and
// its last known position.
type Upstream struct {
	group    string
	member   store.Member
	settings conf.Home
	log      *slog.Logger
	now      func() time.Time
	dialer   *dialer
	peers    Peers
	// currentGroup returns the group as last received from the platform.
	currentGroup func() (store.Group, bool)

	// connections limits the connections in use, and slots the units that run
	// at once.
	connections *gate.Gate
	slots       *gate.Gate

	mu sync.Mutex
	// idle holds the connections that are not in use, the most recently used
	// last.
	idle []*conn
	// draining is set while another daemon is the upstream's home or this one is
	// leaving; connections are closed then instead of returned to the pool.
	draining bool

	// control is the connection for the home's own queries.
	control *controlConn
	// highestReport is the report with the highest position since the control
	// connection was opened. A report with another role replaces it too.
	highestReport atomic.Pointer[positionReport]
	// reportQuery runs positionQuery on the control connection, and floorQuery runs
	// confirmFloor. Concurrent calls share one run that begins after them.
	reportQuery *batch.Coalescer[positionReport]
	floorQuery  *batch.Coalescer[posn.Position]
	freshness   *freshness
	confirm     *confirmer
	// down is true from a failed dial until the next successful one.
	down atomic.Bool
	// termInService is the last term that was found in service.
	termInService atomic.Pointer[posn.Term]
	// handingOver is true during a planned change of primary; new work for the
	// primary is refused then.
	handingOver atomic.Bool
	// primaryInFlight counts the requests and transactions in flight at the
	// primary.
	primaryInFlight atomic.Int64
	// violations counts violated invariants.
	violations atomic.Int64
	// memberNames holds the names of the group's members when the Upstream was
	// created.
	memberNames []string
}

// reservedConnections is the number of an upstream's connections that callers
// cannot use: one for the control connection, and one for orders, which open a
// connection of their own, and for the queries of a previous home.
const reservedConnections = 2

// queryTimeout bounds the home's own queries to an upstream.
const queryTimeout = time.Second

// confirmFloorTimeout bounds the wait in confirmFloor for a majority.
const confirmFloorTimeout = time.Second

func newUpstream(ma *Manager, group store.Group, member store.Member) *Upstream {
	up := &Upstream{
		group:        group.Name,
		member:       member,
		settings:     ma.settings,
		log:          ma.log,
		now:          ma.now,
		peers:        ma.peers,
		currentGroup: func() (store.Group, bool) { return ma.groups(group.Name) },
		dialer: &dialer{
			address:            member.Address,
			user:               ma.settings.User,
			password:           ma.settings.Password,
			statementCacheSize: ma.settings.StatementsPerConnection,
			dial:               ma.dial,
		},
		connections: gate.New(max(1, member.Connections/ma.connectionDivisor-reservedConnections), ma.settings.QueueTotal, ma.now),
		slots:       gate.New(max(1, member.Slots), ma.settings.QueueTotal, ma.now),
	}
	for _, mem := range group.Members {
		up.memberNames = append(up.memberNames, mem.Name)
	}
	up.control = &controlConn{up: up}
	up.reportQuery = batch.New(queryTimeout, codes.UpstreamUnreached, up.control.queryPosition)
	up.floorQuery = batch.New(confirmFloorTimeout, codes.NoMajority, up.confirmFloor)
	up.freshness = newFreshness(up)
	up.confirm = newConfirmer(up, confm.New(len(group.Members)))
	return up
}

// take returns an idle connection that is alive, or a new one. It retries until
// the deadline while the upstream is at its connection limit, as it may be until
// a previous home has closed its connections. The error is a refusal, and nothing
// was sent.
func (up *Upstream) take(ctx context.Context, deadline time.Time) (*conn, error) {
	for {
		if co := up.popIdleAlive(); co != nil {
			return co, nil
		}
		co, err := up.open(ctx, deadline)
		if !codes.Is(err, codes.ConnectionsInUse) || !up.now().Add(inUseRetryPause).Before(deadline) {
			return co, err
		}
		if !delay.Pause(ctx, inUseRetryPause) {
			return nil, err
		}
	}
}

// popIdleAlive removes and returns an idle connection that is alive, or returns
// nil.
func (up *Upstream) popIdleAlive() *conn {
	for co := up.popIdle(); co != nil; co = up.popIdle() {
		if co.isAlive() {
			return co
		}
		co.inDoubt = true
		co.close()
	}
	return nil
}

func (up *Upstream) popIdle() *conn {
	up.mu.Lock()
	defer up.mu.Unlock()
	last := len(up.idle) - 1
	if last < 0 {
		return nil
	}
	co := up.idle[last]
	up.idle = up.idle[:last]
	return co
}

// inUseRetryPause is the pause before another attempt at an upstream that has
// no connection left, as happens while another home closes its connections.
const inUseRetryPause = 10 * time.Millisecond

// open dials a new connection.
func (up *Upstream) open(ctx context.Context, deadline time.Time) (*conn, error) {
	limit := up.now().Add(up.settings.DialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	co, err := up.dialer.open(ctx)
	up.recordReachability(err)
	if err == nil {
		event.Log(up.log, event.ConnectionOpened, "upstream", up.member.Name, "pid", co.pid)
	}
	return co, err
}

func (up *Upstream) recordReachability(err error) {
	isDown := codes.Is(err, codes.UpstreamUnreached)
	if up.down.Swap(isDown) == isDown {
		return
	}
	if isDown {
		event.Log(up.log, event.UpstreamDown, "upstream", up.member.Name, "error", err)
		return
	}
	event.Log(up.log, event.UpstreamUp, "upstream", up.member.Name)
}

// put returns a connection to the pool. It closes one that is in doubt, was
// cancelled, is in a transaction or has too many evicted statements to close.
func (up *Upstream) put(co *conn) {
	if co.inDoubt || co.cancelled.Load() || co.status != 'I' || len(co.evicted) > up.settings.StatementsPerConnection {
		co.inDoubt = true
		co.close()
		event.Log(up.log, event.ConnectionClosed, "upstream", up.member.Name, "pid", co.pid)
		return
	}
	co.idleSince = up.now()
	up.mu.Lock()
	if up.draining {
		up.mu.Unlock()
		co.close()
		return
	}
	up.idle = append(up.idle, co)
	up.mu.Unlock()
}

// trim closes connections that have been idle for too long.
func (up *Upstream) trim(now time.Time) {
	up.mu.Lock()
	var old []*conn
	for len(up.idle) > 0 && now.Sub(up.idle[0].idleSince) > up.settings.IdleConnection {
		old = append(old, up.idle[0])
		up.idle = up.idle[1:]
	}
	up.mu.Unlock()
	for _, co := range old {
		co.close()
	}
}

// dropIdle closes the idle connections.
func (up *Upstream) dropIdle() {
	for co := up.popIdle(); co != nil; co = up.popIdle() {
		co.inDoubt = true
		co.close()
	}
}

// isSuperseded reports whether a term newer than the upstream's is known.
func (up *Upstream) isSuperseded() bool {
	got := up.highestReport.Load()
	return got != nil && up.newestTerm().Compare(got.position.Term) > 0
}

// drain closes idle connections, and those in use when they are returned. The
// control connection is opened again by the next query.
func (up *Upstream) drain() {
	up.mu.Lock()
	idle := up.idle
	up.idle = nil
	up.draining = true
	up.mu.Unlock()
	for _, co := range idle {
		co.close()
	}
	up.control.close()
}

// stopDraining pools returned connections again.
func (up *Upstream) stopDraining() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.draining = false
}

// close closes the idle connections and the control connection and stops the
// confirmer.
func (up *Upstream) close() {
	up.drain()
	up.confirm.close()
}

// acquire waits for its turn in the connection queue and takes a connection.
// The returned function gives it back.
func (up *Upstream) acquire(ctx context.Context, it admit.Item) (*conn, func(), error) {
	release, err := up.connections.Acquire(ctx, it)
	if err != nil {
		return nil, nil, err
	}
	co, err := up.take(ctx, it.Deadline)
	if err != nil {
		release()
		return nil, nil, err
	}
	return co, func() { up.put(co); release() }, nil
}

// cancelAsync asks the upstream in the background to cancel the statement that
// runs on the connection.
func (up *Upstream) cancelAsync(co *conn) {
	co.cancelled.Store(true)
	pid, secret := co.pid, co.secret
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), up.settings.DialTimeout)
		defer cancel()
		up.dialer.cancel(ctx, pid, secret)
	}()
}

// isActive asks the upstream whether the backend of a connection is running a
// statement. It uses the control connection, because the upstream may have no
// connection left for a new one.
func (up *Upstream) isActive(ctx context.Context, pid uint32) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var active bool
	err := up.control.withConn(ctx, func(co *conn, deadline time.Time) error {
		var err error
		active, err = co.isActive(pid, deadline)
		return err
	})
	return active, err
}

// recordReport stores a report if its position is higher or its role differs,
// and passes its position to the confirmer.
func (up *Upstream) recordReport(got positionReport) {
	for {
		old := up.highestReport.Load()
		if old != nil && old.position.Compare(got.position) >= 0 && old.primary == got.primary {
			return
		}
		if old != nil && old.position.Term != got.position.Term {
			event.Log(up.log, event.TermObserved, "upstream", up.member.Name,
				"term", got.position.Term.Number, "primary", got.position.Term.Primary)
		}
		if up.highestReport.CompareAndSwap(old, &got) {
			up.confirm.recordPosition(up.member.Name, got.position)
			return
		}
	}
}

// controlConn is the connection to an upstream for the home's own queries: its
// position and the activity of other connections. It is opened by the first query
// and runs one query at a time.
type controlConn struct {
	up *Upstream
	mu sync.Mutex
	co *conn
}

// queryPosition queries and records the upstream's position and role.
func (cn *controlConn) queryPosition(ctx context.Context) (positionReport, error) {
	var got positionReport
	err := cn.withConn(ctx, func(co *conn, deadline time.Time) error {
		var err error
		got, err = co.queryPosition(deadline)
		return err
	})
	if err != nil {
		return positionReport{}, err
	}
	if err := cn.up.checkTermMonotonic(cn.up.highestReport.Load(), got.position.Term); err != nil {
		return positionReport{}, err
	}
	cn.up.recordReport(got)
	return got, nil
}

// controlReuseTimeout bounds a query on a control connection that was already
// open.
const controlReuseTimeout = 300 * time.Millisecond

// withConn runs a query on the control connection, which is opened if
// necessary.
func (cn *controlConn) withConn(ctx context.Context, query func(co *conn, deadline time.Time) error) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.co != nil {
		deadline := cn.up.now().Add(controlReuseTimeout)
		if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
			deadline = limit
		}
		if query(cn.co, deadline) == nil {
			return nil
		}
		// Only this connection may have failed: query again on a new one.
		cn.drop()
	}
	if cn.co == nil {
		co, err := cn.up.dialer.open(ctx)
		cn.up.recordReachability(err)
		if err != nil {
			return err
		}
		cn.co = co
	}
	deadline, _ := ctx.Deadline()
	if err := query(cn.co, deadline); err != nil {
		cn.drop()
		return codes.Refuse(codes.UpstreamUnreached, "%v", err)
	}
	return nil
}

// drop closes the connection and clears the highest report, because an upstream
// that becomes reachable again may have lost data.
func (cn *controlConn) drop() {
	cn.co.inDoubt = true
	cn.co.close()
	cn.co = nil
	cn.up.highestReport.Store(nil)
}

func (cn *controlConn) close() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.co != nil {
		cn.co.close()
		cn.co = nil
	}
}

// DialTCP opens a plain TCP connection; it is the default dial function.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var di net.Dialer
	return di.DialContext(ctx, "tcp", address)
}
