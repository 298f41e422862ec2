package upstr

import (
	"context"
	"database/sql"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
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
	// FetchLatency delays each fetch of the log, as the way to the primary
	// would.
	FetchLatency time.Duration
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
	follow  string
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

// Statements returns how many statements have run.
func (se *Server) Statements() int64 { return se.statements.Load() }

// PeakConnections returns the highest number of connections open at once.
func (se *Server) PeakConnections() int64 { return se.peak.Load() }

// Position returns the upstream's term and log offset.
func (se *Server) Position() posn.Position {
	se.mu.Lock()
	defer se.mu.Unlock()
	return posn.Position{Term: se.term, Offset: se.journal.last()}
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

func (se *Server) startControl(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log", se.serveLog)
	mux.HandleFunc("POST /lag", func(wr http.ResponseWriter, rq *http.Request) {
		lag, err := time.ParseDuration(rq.FormValue("lag"))
		if err != nil {
			http.Error(wr, err.Error(), http.StatusBadRequest)
			return
		}
		se.SetLag(lag)
	})
	mux.HandleFunc("POST /pause", func(_ http.ResponseWriter, rq *http.Request) {
		se.SetPaused(rq.FormValue("paused") == "true")
	})
	mux.HandleFunc("POST /silence", func(http.ResponseWriter, *http.Request) { se.SilenceConnections() })
	se.control = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = se.control.Serve(ln) }()
}

// logWait bounds a long poll for log entries.
const logWait = 5 * time.Second

func (se *Server) serveLog(wr http.ResponseWriter, rq *http.Request) {
	after, err := strconv.ParseUint(rq.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.After(logWait)
	for {
		entries, grown := se.journal.after(after)
		if len(entries) > 0 {
			_ = json.NewEncoder(wr).Encode(entries)
			return
		}
		select {
		case <-grown:
		case <-timeout:
			_ = json.NewEncoder(wr).Encode([]Entry{})
			return
		case <-rq.Context().Done():
			return
		}
	}
}

// replicate fetches the primary's log and replays it with the lag.
func (se *Server) replicate(ctx context.Context) {
	defer se.wg.Done()
	if se.follow == "" {
		return
	}
	const retryWait = 50 * time.Millisecond
	fetched := make(chan Entry, 4096)
	go se.fetchAll(ctx, fetched, retryWait)
	for {
		select {
		case en := <-fetched:
			se.replay(ctx, en)
		case <-ctx.Done():
			return
		}
	}
}

func (se *Server) fetchAll(ctx context.Context, out chan<- Entry, retryWait time.Duration) {
	var after uint64
	for ctx.Err() == nil {
		entries, err := se.fetch(ctx, after)
		if err != nil {
			pause(ctx, retryWait)
			continue
		}
		for _, en := range entries {
			select {
			case out <- en:
				after = en.Offset
			case <-ctx.Done():
				return
			}
		}
	}
}

func (se *Server) fetch(ctx context.Context, after uint64) ([]Entry, error) {
	url := fmt.Sprintf("http://%s/log?after=%d", se.follow, after)
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rs.Body.Close() }()
	var entries []Entry
	return entries, json.NewDecoder(rs.Body).Decode(&entries)
}

func (se *Server) replay(ctx context.Context, en Entry) {
	const checkInterval = 5 * time.Millisecond
	for se.stopped.Load() || se.paused.Load() {
		if !pause(ctx, checkInterval) {
			return
		}
	}
	due := en.Committed.Add(time.Duration(se.lag.Load()) + se.opts.FetchLatency)
	for wait := time.Until(due); wait > 0; wait = time.Until(due) {
		if !pause(ctx, min(wait, checkInterval)) {
			return
		}
		due = en.Committed.Add(time.Duration(se.lag.Load()) + se.opts.FetchLatency)
	}
	for _, db := range []*sql.DB{se.work, se.committed} {
		if err := applyEntry(ctx, db, en); err != nil && ctx.Err() == nil {
			panic(fmt.Sprintf("replica %s cannot replay entry %d: %v", se.opts.Name, en.Offset, err))
		}
	}
	se.journal.append(en)
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

// pause waits and reports whether the context still stands.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
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
