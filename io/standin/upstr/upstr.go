package upstr

import (
	"context"
	"database/sql"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	_ "modernc.org/sqlite" // registers the "sqlite" driver

	"banyanspring/core/posn"
)

// Options describes one upstream.
type Options struct {
	// Name is unique in the group.
	Name string
	// Listen is the address for the Postgres protocol, "ip:port".
	Listen string
	// Control is the address for log shipping and orders, "ip:port".
	Control string
	// Follow is the control address of the primary; empty on the primary.
	Follow string
	// Primary is the name of the primary of the first term.
	Primary string
	// Slots is the number of statements that run at once.
	Slots int
	// Connections is the limit of open connections.
	Connections int
	// ConnectCost is the time that a new connection takes.
	ConnectCost time.Duration
	// StatementCost is the least time that a statement holds a slot.
	StatementCost time.Duration
	// Lag delays the replay of each log entry.
	Lag time.Duration
	// Rewinds lets a follower drop entries that its new primary lacks, as some
	// platforms do by themselves; otherwise it stays out of the term.
	Rewinds bool
	// Dial opens connections to the primary's control address; it is a seam
	// for fleets that simulate the way.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Server is a running upstream.
type Server struct {
	opts Options
	// work holds the data that transactions change. An in-memory SQLite lets
	// nobody read while a transaction writes, so reads outside of such
	// transactions go to committed, which repeats each commit.
	work, committed *sql.DB
	listener        net.Listener
	control         *http.Server
	ctlAddr         string
	journal         *journal
	slots           chan struct{}
	// writer is held from the begin to the end of a transaction that may write.
	writer chan struct{}

	mu      sync.Mutex
	term    posn.Term
	primary bool
	// follow is the control address of the primary; empty on the primary.
	follow string
	// refollow is closed and replaced whenever follow changes.
	refollow chan struct{}
	// received is when the primary was last heard of.
	received time.Time
	// conns maps process ids to open connections.
	conns map[uint32]*conn

	open        atomic.Int64
	nextID      atomic.Uint32
	lag         atomic.Int64
	answerDelay atomic.Int64
	stopped     atomic.Bool
	paused      atomic.Bool
	statements  atomic.Int64
	// peak is the highest number of connections seen at once.
	peak   atomic.Int64
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var instanceCount atomic.Int64

// Start opens the ports and returns a running upstream.
func Start(opts Options) (*Server, error) {
	work, err := openMemory(opts)
	if err != nil {
		return nil, err
	}
	committed, err := openMemory(opts)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	ctl, err := net.Listen("tcp", opts.Control)
	if err != nil {
		return nil, errors.Wrap(err, "listen for control")
	}
	ctx, cancel := context.WithCancel(context.Background())
	if opts.Dial == nil {
		var di net.Dialer
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return di.DialContext(ctx, "tcp", address)
		}
	}
	se := &Server{
		opts:      opts,
		work:      work,
		committed: committed,
		listener:  ln,
		ctlAddr:   ctl.Addr().String(),
		journal:   newJournal(),
		slots:     make(chan struct{}, opts.Slots),
		writer:    make(chan struct{}, 1),
		term:      posn.Term{Number: 1, Primary: opts.Primary},
		primary:   opts.Follow == "",
		follow:    opts.Follow,
		refollow:  make(chan struct{}),
		received:  time.Now(),
		conns:     make(map[uint32]*conn),
		cancel:    cancel,
	}
	se.lag.Store(int64(opts.Lag))
	se.startControl(ctl)
	se.wg.Add(2)
	go se.accept(ctx)
	go se.replicate(ctx)
	return se, nil
}

// openMemory opens an in-memory database. Its idle connections keep it alive.
func openMemory(opts Options) (*sql.DB, error) {
	dsn := fmt.Sprintf("file:/%s-%d?vfs=memdb&_pragma=busy_timeout(10000)", opts.Name, instanceCount.Add(1))
	db, err := sql.Open("sqlite", dsn)
	if err != nil {
		return nil, errors.Wrap(err, "open database")
	}
	db.SetMaxIdleConns(opts.Connections + 4)
	_, err = db.Exec("CREATE TABLE IF NOT EXISTS standin_meta (k TEXT)")
	return db, errors.Wrap(err, "prepare database")
}

// Address returns the address for the Postgres protocol.
func (se *Server) Address() string { return se.listener.Addr().String() }

// ControlAddress returns the address for log shipping and orders.
func (se *Server) ControlAddress() string { return se.ctlAddr }

// Name returns the upstream's name.
func (se *Server) Name() string { return se.opts.Name }

// SetLag changes the delay of replay.
func (se *Server) SetLag(lag time.Duration) { se.lag.Store(int64(lag)) }

// SetAnswerDelay delays the answer to every statement.
func (se *Server) SetAnswerDelay(delay time.Duration) { se.answerDelay.Store(int64(delay)) }

// SetPaused freezes the server: it accepts bytes and answers nothing.
func (se *Server) SetPaused(paused bool) { se.paused.Store(paused) }

// SetReplicationStopped stops or resumes the replay of the log.
func (se *Server) SetReplicationStopped(stopped bool) { se.stopped.Store(stopped) }

// SilenceConnections makes the open connections silent for good; new ones work.
func (se *Server) SilenceConnections() {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, co := range se.conns {
		co.silent.Store(true)
	}
}

// DropConnections closes all open connections at once.
func (se *Server) DropConnections() {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, co := range se.conns {
		_ = co.net.Close()
	}
}

// CallerStatements returns how many statements have run, the questions and
// orders of a home left out.
func (se *Server) CallerStatements() int64 { return se.statements.Load() }

// PeakConnections returns the highest number of connections open at once.
func (se *Server) PeakConnections() int64 { return se.peak.Load() }

// Position returns the upstream's term and log offset.
func (se *Server) Position() posn.Position {
	se.mu.Lock()
	defer se.mu.Unlock()
	return posn.Position{Term: se.term, Offset: se.journal.last()}
}

// LastEntry returns the term and offset of the newest log entry.
func (se *Server) LastEntry() posn.Position {
	last := se.journal.last()
	te, _ := se.journal.term(last)
	return posn.Position{Term: te, Offset: last}
}

// receivedAge returns how long ago the primary was last heard of; zero on a
// primary.
func (se *Server) receivedAge() time.Duration {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.primary {
		return 0
	}
	return time.Since(se.received)
}

// rebuild replays the whole log into empty databases.
func (se *Server) rebuild() error {
	for _, db := range []*sql.DB{se.work, se.committed} {
		if err := clearDatabase(db); err != nil {
			return err
		}
	}
	entries, _ := se.journal.after(0)
	for _, en := range entries {
		if err := se.applyBoth(context.Background(), en); err != nil {
			return err
		}
	}
	return nil
}

func clearDatabase(db *sql.DB) error {
	rows, err := db.Query("SELECT name FROM sqlite_master WHERE type = 'table' AND name <> 'standin_meta' AND name NOT LIKE 'sqlite_%'")
	if err != nil {
		return err
	}
	var names []string
	for rows.Next() {
		var name string
		if err := rows.Scan(&name); err != nil {
			return err
		}
		names = append(names, name)
	}
	if err := rows.Close(); err != nil {
		return err
	}
	for _, name := range names {
		if _, err := db.Exec(`DROP TABLE "` + name + `"`); err != nil {
			return err
		}
	}
	return nil
}

// IsPrimary reports whether the upstream believes that it leads.
func (se *Server) IsPrimary() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.primary
}

// CountBy runs a query of a text and a count, past the protocol and its limits,
// and returns the counts by text.
func (se *Server) CountBy(ctx context.Context, query string) (map[string]int64, error) {
	rows, err := se.committed.QueryContext(ctx, query)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	out := make(map[string]int64)
	for rows.Next() {
		var text string
		var count int64
		if err := rows.Scan(&text, &count); err != nil {
			return nil, err
		}
		out[text] += count
	}
	return out, rows.Err()
}

// Close stops the upstream and drops all connections.
func (se *Server) Close() {
	se.cancel()
	_ = se.listener.Close()
	_ = se.control.Close()
	se.DropConnections()
	se.wg.Wait()
	_ = se.work.Close()
	_ = se.committed.Close()
}

func applyEntry(ctx context.Context, db *sql.DB, en Entry) error {
	tx, err := db.BeginTx(ctx, nil)
	if err != nil {
		return err
	}
	for _, st := range en.Statements {
		if _, err := tx.ExecContext(ctx, st.SQL, anyArgs(st.Args)...); err != nil {
			_ = tx.Rollback()
			return err
		}
	}
	return tx.Commit()
}

func anyArgs(args []*string) []any {
	out := make([]any, len(args))
	for pos, arg := range args {
		if arg != nil {
			out[pos] = *arg
		}
	}
	return out
}

func (se *Server) accept(ctx context.Context) {
	defer se.wg.Done()
	for {
		nc, err := se.listener.Accept()
		if err != nil {
			return
		}
		se.wg.Add(1)
		go func() {
			defer se.wg.Done()
			se.serve(ctx, nc)
		}()
	}
}
