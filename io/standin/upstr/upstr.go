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
	// Control is the HTTP address for log shipping and fault injection,
	// "ip:port".
	Control string
	// Follow is the control address of the primary; empty on the primary.
	Follow string
	// Primary is the name of the group's primary in term 1.
	Primary string
	// Slots is the number of statements that may run concurrently.
	Slots int
	// Connections is the limit of open connections.
	Connections int
	// ConnectCost is the time that opening a connection takes.
	ConnectCost time.Duration
	// StatementCost is the minimum time for which a statement holds a slot.
	StatementCost time.Duration
	// Lag delays the replay of each log entry, counted from its commit on the
	// primary.
	Lag time.Duration
	// Rewinds makes a follower drop entries that its new primary does not have,
	// as some platforms do automatically. Otherwise a follower with such entries
	// does not join the new term.
	Rewinds bool
	// Dial opens connections to the primary's control address; nil dials TCP
	// directly. A fleet replaces it to simulate network latency.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Server is a running upstream.
type Server struct {
	opts Options
	// Transactions write to writeDB. In-memory SQLite blocks all readers while
	// a transaction writes, so reads outside of such transactions go to readDB,
	// to which each committed transaction is applied as well.
	writeDB, readDB *sql.DB
	listener        net.Listener
	control         *http.Server
	controlAddr     string
	log             *entryLog
	slots           chan struct{}
	// writerLock is held from begin to end of a transaction that may write.
	writerLock chan struct{}

	mu      sync.Mutex
	term    posn.Term
	primary bool
	// follow is the control address of the primary; empty on the primary.
	follow string
	// followChanged is closed and replaced whenever follow changes.
	followChanged chan struct{}
	// receivedAt is the time of the last contact with the primary.
	receivedAt time.Time
	// conns holds the open connections by process ID.
	conns map[uint32]*conn

	openConns        atomic.Int64
	nextID           atomic.Uint32
	lag              atomic.Int64
	responseDelay    atomic.Int64
	replayStopped    atomic.Bool
	paused           atomic.Bool
	callerStatements atomic.Int64
	// peakConns is the highest number of connections open at the same time.
	peakConns atomic.Int64
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// databaseCount makes the names of the in-memory databases unique.
var databaseCount atomic.Int64

// Start opens both listeners and returns a running upstream.
func Start(opts Options) (*Server, error) {
	writeDB, err := openMemory(opts)
	if err != nil {
		return nil, err
	}
	readDB, err := openMemory(opts)
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
		opts:          opts,
		writeDB:       writeDB,
		readDB:        readDB,
		listener:      ln,
		controlAddr:   ctl.Addr().String(),
		log:           newEntryLog(),
		slots:         make(chan struct{}, opts.Slots),
		writerLock:    make(chan struct{}, 1),
		term:          posn.Term{Number: 1, Primary: opts.Primary},
		primary:       opts.Follow == "",
		follow:        opts.Follow,
		followChanged: make(chan struct{}),
		receivedAt:    time.Now(),
		conns:         make(map[uint32]*conn),
		cancel:        cancel,
	}
	se.lag.Store(int64(opts.Lag))
	se.startControl(ctl)
	se.wg.Add(2)
	go se.accept(ctx)
	go se.replicate(ctx)
	return se, nil
}

// openMemory opens an in-memory database. The idle connections in its pool keep
// the data alive.
func openMemory(opts Options) (*sql.DB, error) {
	dsn := fmt.Sprintf("file:/%s-%d?vfs=memdb&_pragma=busy_timeout(10000)", opts.Name, databaseCount.Add(1))
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

// ControlAddress returns the address for log shipping and fault injection.
func (se *Server) ControlAddress() string { return se.controlAddr }

// Name returns the upstream's name.
func (se *Server) Name() string { return se.opts.Name }

// SetLag changes the replay delay of log entries.
func (se *Server) SetLag(lag time.Duration) { se.lag.Store(int64(lag)) }

// SetResponseDelay delays the execution of every statement, and so its response.
func (se *Server) SetResponseDelay(delay time.Duration) { se.responseDelay.Store(int64(delay)) }

// SetPaused freezes or resumes the server. A frozen server accepts connections
// and data but sends no responses.
func (se *Server) SetPaused(paused bool) { se.paused.Store(paused) }

// SetReplicationStopped stops or resumes the replay of the log.
func (se *Server) SetReplicationStopped(stopped bool) { se.replayStopped.Store(stopped) }

// SilenceConnections makes the open connections unresponsive until they are
// closed. New connections work.
func (se *Server) SilenceConnections() {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, co := range se.conns {
		co.silent.Store(true)
	}
}

// DropConnections closes all open connections immediately.
func (se *Server) DropConnections() {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, co := range se.conns {
		_ = co.net.Close()
	}
}

// CallerStatements returns the number of executed statements, excluding the
// position, promotion, follow and activity statements that daemons send.
func (se *Server) CallerStatements() int64 { return se.callerStatements.Load() }

// PeakConnections returns the highest number of connections that were open at
// the same time.
func (se *Server) PeakConnections() int64 { return se.peakConns.Load() }

// Position returns the upstream's term and log offset.
func (se *Server) Position() posn.Position {
	se.mu.Lock()
	defer se.mu.Unlock()
	return posn.Position{Term: se.term, Offset: se.log.last()}
}

// LastEntry returns the term and offset of the newest log entry.
func (se *Server) LastEntry() posn.Position {
	last := se.log.last()
	te, _ := se.log.term(last)
	return posn.Position{Term: te, Offset: last}
}

// receivedAge returns the time since the last contact with the primary; zero on
// the primary itself.
func (se *Server) receivedAge() time.Duration {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.primary {
		return 0
	}
	return time.Since(se.receivedAt)
}

// rebuild clears both databases and replays the whole log into them.
func (se *Server) rebuild() error {
	for _, db := range []*sql.DB{se.writeDB, se.readDB} {
		if err := clearDatabase(db); err != nil {
			return err
		}
	}
	entries, _ := se.log.after(0)
	for _, en := range entries {
		if err := se.applyBoth(context.Background(), en); err != nil {
			return err
		}
	}
	return nil
}

// clearDatabase drops all tables but standin_meta.
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

// IsPrimary reports whether the upstream considers itself the primary.
func (se *Server) IsPrimary() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.primary
}

// QueryCounts runs a query that returns rows of a text and a count, and returns the
// sum of the counts by text. It bypasses the Postgres protocol and its limits.
func (se *Server) QueryCounts(ctx context.Context, query string) (map[string]int64, error) {
	rows, err := se.readDB.QueryContext(ctx, query)
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

// Close stops the upstream and closes all connections.
func (se *Server) Close() {
	se.cancel()
	_ = se.listener.Close()
	_ = se.control.Close()
	se.DropConnections()
	se.wg.Wait()
	_ = se.writeDB.Close()
	_ = se.readDB.Close()
}

// applyEntry executes the statements of an entry in one transaction.
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

// anyArgs converts arguments in text form to driver arguments; nil is NULL.
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
