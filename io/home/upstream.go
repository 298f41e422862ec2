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

// Upstream is the home's side of one upstream: its connections, its slots and
// what is known of its position.
type Upstream struct {
	group    string
	member   store.Member
	settings conf.Home
	log      *slog.Logger
	now      func() time.Time
	dialer   *dialer
	peers    Peers
	// view returns the group as the platform last described it.
	view func() (store.Group, bool)

	// connections and slots share out the upstream's limits.
	connections *gate.Gate
	slots       *gate.Gate

	mu sync.Mutex
	// idle holds connections that nobody uses, the last used at the end.
	idle []*conn
	// closing is set while another daemon is home; no connection is kept then.
	closing bool

	control *control
	// known is the highest position that the upstream reported since its
	// control connection was opened.
	known   atomic.Pointer[report]
	reports *batch.Asker[report]
	floors  *batch.Asker[posn.Position]
	fresh   *freshness
	confirm *confirmer
	// down is true from a failed dial to the next that works.
	down atomic.Bool
	// served is the term that was last seen in service.
	served atomic.Pointer[posn.Term]
	// handing is true during a planned change of primary; no new work is taken
	// for the primary then.
	handing atomic.Bool
	// leading counts the requests and transactions in hand at the primary.
	leading atomic.Int64
	// violations counts failed invariants.
	violations atomic.Int64
	// members names the group's members when the home was opened.
	members []string
}

// controlConnections is how many of an upstream's connections are not for
// callers: one for the home's own questions, and one for tests of silent
// connections and for the questions of an earlier home.
const controlConnections = 2

// questionTimeout bounds the home's own questions to an upstream.
const questionTimeout = time.Second

// floorTimeout bounds one wait for a majority to confirm a floor.
const floorTimeout = time.Second

func newUpstream(ma *Manager, group store.Group, member store.Member) *Upstream {
	up := &Upstream{
		group:    group.Name,
		member:   member,
		settings: ma.settings,
		log:      ma.log,
		now:      ma.now,
		peers:    ma.peers,
		view:     func() (store.Group, bool) { return ma.groups(group.Name) },
		dialer: &dialer{
			address:    member.Address,
			user:       ma.settings.User,
			password:   ma.settings.Password,
			statements: ma.settings.StatementsPerConnection,
			dial:       ma.dial,
		},
		connections: gate.New(max(1, member.Connections/ma.share-controlConnections), ma.settings.QueueTotal, ma.now),
		slots:       gate.New(max(1, member.Slots), ma.settings.QueueTotal, ma.now),
	}
	for _, mem := range group.Members {
		up.members = append(up.members, mem.Name)
	}
	up.control = &control{up: up}
	up.reports = batch.New(questionTimeout, codes.UpstreamUnreached, up.control.ask)
	up.floors = batch.New(floorTimeout, codes.NoMajority, up.confirmFloor)
	up.fresh = newFreshness(up)
	up.confirm = newConfirmer(up, confm.New(len(group.Members)))
	return up
}

// take returns an idle connection that is alive, or a new one. The error is a
// refusal, and nothing was sent. While the upstream has no connection left, as
// happens until another home has given its own back, it waits.
func (up *Upstream) take(ctx context.Context, deadline time.Time) (*conn, error) {
	for {
		if co := up.popAlive(); co != nil {
			return co, nil
		}
		co, err := up.open(ctx, deadline)
		if !codes.Is(err, codes.ConnectionsInUse) || !up.now().Add(inUseRetry).Before(deadline) {
			return co, err
		}
		if !delay.Pause(ctx, inUseRetry) {
			return nil, err
		}
	}
}

// popAlive returns an idle connection that still works, or nil.
func (up *Upstream) popAlive() *conn {
	for co := up.pop(); co != nil; co = up.pop() {
		if co.isAlive() {
			return co
		}
		co.doubt = true
		co.close()
	}
	return nil
}

func (up *Upstream) pop() *conn {
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

// inUseRetry is the pause before another try at an upstream whose connections
// are used up, as happens while another home gives them back.
const inUseRetry = 10 * time.Millisecond

// open dials a new connection.
func (up *Upstream) open(ctx context.Context, deadline time.Time) (*conn, error) {
	limit := up.now().Add(up.settings.DialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	co, err := up.dialer.open(ctx)
	up.noteReach(err)
	if err == nil {
		event.Log(up.log, event.ConnectionOpened, "upstream", up.member.Name, "pid", co.pid)
	}
	return co, err
}

func (up *Upstream) noteReach(err error) {
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

// put takes a connection back; one in doubt or inside a transaction is closed.
func (up *Upstream) put(co *conn) {
	if co.doubt || co.cancelled.Load() || co.status != 'I' || len(co.evicted) > up.settings.StatementsPerConnection {
		co.doubt = true
		co.close()
		event.Log(up.log, event.ConnectionClosed, "upstream", up.member.Name, "pid", co.pid)
		return
	}
	co.idleSince = up.now()
	up.mu.Lock()
	if up.closing {
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
	for co := up.pop(); co != nil; co = up.pop() {
		co.doubt = true
		co.close()
	}
}

// isSuperseded reports whether a newer term is known than the upstream's.
func (up *Upstream) isSuperseded() bool {
	got := up.known.Load()
	return got != nil && up.newestTerm().Compare(got.position.Term) > 0
}

// shed closes idle connections, and those in use when they come back. The
// control connection is opened again when somebody asks.
func (up *Upstream) shed() {
	up.mu.Lock()
	idle := up.idle
	up.idle = nil
	up.closing = true
	up.mu.Unlock()
	for _, co := range idle {
		co.close()
	}
	up.control.close()
}

// resume keeps connections again.
func (up *Upstream) resume() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.closing = false
}

// close gives the home up.
func (up *Upstream) close() {
	up.shed()
	up.confirm.close()
}

// acquire gets a connection under the caller's share.
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

// cancelAsync asks the upstream to stop what the connection runs.
func (up *Upstream) cancelAsync(co *conn) {
	co.cancelled.Store(true)
	pid, secret := co.pid, co.secret
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), up.settings.DialTimeout)
		defer cancel()
		up.dialer.cancel(ctx, pid, secret)
	}()
}

// isActive asks whether the upstream still works for a connection. It asks on
// the control connection: the upstream may have none left for a new one.
func (up *Upstream) isActive(ctx context.Context, pid uint32) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	var active bool
	err := up.control.use(ctx, func(co *conn, deadline time.Time) error {
		var err error
		active, err = co.isActive(pid, deadline)
		return err
	})
	return active, err
}

// note remembers a position that the upstream reported.
func (up *Upstream) note(got report) {
	for {
		old := up.known.Load()
		if old != nil && old.position.Compare(got.position) >= 0 && old.primary == got.primary {
			return
		}
		if old != nil && old.position.Term != got.position.Term {
			event.Log(up.log, event.TermObserved, "upstream", up.member.Name,
				"term", got.position.Term.Number, "primary", got.position.Term.Primary)
		}
		if up.known.CompareAndSwap(old, &got) {
			up.confirm.report(up.member.Name, got.position)
			return
		}
	}
}

// control is the connection for the home's own questions.
type control struct {
	up *Upstream
	mu sync.Mutex
	co *conn
}

// ask returns the upstream's position.
func (cn *control) ask(ctx context.Context) (report, error) {
	var got report
	err := cn.use(ctx, func(co *conn, deadline time.Time) error {
		var err error
		got, err = co.report(deadline)
		return err
	})
	if err != nil {
		return report{}, err
	}
	if err := cn.up.checkTerm(cn.up.known.Load(), got.position.Term); err != nil {
		return report{}, err
	}
	cn.up.note(got)
	return got, nil
}

// controlPatience bounds the wait on a control connection that was open before.
const controlPatience = 300 * time.Millisecond

// use runs a question on the control connection, which is opened if need be.
func (cn *control) use(ctx context.Context, question func(co *conn, deadline time.Time) error) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.co != nil {
		deadline := cn.up.now().Add(controlPatience)
		if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
			deadline = limit
		}
		if question(cn.co, deadline) == nil {
			return nil
		}
		// It may have been this connection only: ask on a new one.
		cn.drop()
	}
	if cn.co == nil {
		co, err := cn.up.dialer.open(ctx)
		cn.up.noteReach(err)
		if err != nil {
			return err
		}
		cn.co = co
	}
	deadline, _ := ctx.Deadline()
	if err := question(cn.co, deadline); err != nil {
		cn.drop()
		return codes.Refuse(codes.UpstreamUnreached, "%v", err)
	}
	return nil
}

// drop forgets the connection and what it reported: an upstream that comes
// back may have lost data.
func (cn *control) drop() {
	cn.co.doubt = true
	cn.co.close()
	cn.co = nil
	cn.up.known.Store(nil)
}

func (cn *control) close() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.co != nil {
		cn.co.close()
		cn.co = nil
	}
}

// DialTCP opens a plain connection; it is the default of the dial seam.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var di net.Dialer
	return di.DialContext(ctx, "tcp", address)
}
