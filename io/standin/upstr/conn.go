package upstr

import (
	"context"
	"database/sql"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"banyanspring/io/delay"
)

// conn is one client connection.
type conn struct {
	se      *Server
	net     net.Conn
	backend *pgproto3.Backend
	// work and committed are connections to the databases of the server.
	work, committed *sql.Conn
	types           *pgtype.Map
	pid             uint32
	secret          uint32
	silent          atomic.Bool
	// running is true while a message is worked on.
	running atomic.Bool

	statements map[string]*statement
	portals    map[string]*portal
	// status is I, T or E as in ReadyForQuery.
	status byte
	// implicit is true inside the transaction of an extended batch.
	implicit bool
	readOnly bool
	// writing is true while the connection holds the server's writer lock.
	writing bool
	pending []LoggedStatement
	// skipping is true from an error until the next Sync.
	skipping bool

	mu        sync.Mutex
	interrupt context.CancelFunc
}

type statement struct {
	sql    string
	oids   []uint32
	params int
}

type portal struct {
	st      *statement
	args    []*string
	formats []int16
	rows    *sql.Rows
	oids    []uint32
	count   int
}

func (se *Server) serve(ctx context.Context, nc net.Conn) {
	defer func() { _ = nc.Close() }()
	be := pgproto3.NewBackend(nc, nc)
	for {
		msg, err := be.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := nc.Write([]byte("N")); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			se.cancelRequest(msg)
			return
		case *pgproto3.StartupMessage:
			se.session(ctx, nc, be)
			return
		}
	}
}

func (se *Server) cancelRequest(msg *pgproto3.CancelRequest) {
	se.mu.Lock()
	defer se.mu.Unlock()
	co := se.conns[msg.ProcessID]
	if co == nil || co.secret != binary.BigEndian.Uint32(msg.SecretKey) {
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.interrupt != nil {
		co.interrupt()
	}
}

func (se *Server) session(ctx context.Context, nc net.Conn, be *pgproto3.Backend) {
	if !delay.Pause(ctx, se.opts.ConnectCost) {
		return
	}
	defer se.open.Add(-1)
	open := se.open.Add(1)
	if open > int64(se.opts.Connections) {
		be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
		_ = be.Flush()
		return
	}
	for peak := se.peak.Load(); open > peak && !se.peak.CompareAndSwap(peak, open); peak = se.peak.Load() {
	}
	work, err := se.work.Conn(ctx)
	if err != nil {
		return
	}
	committed, err := se.committed.Conn(ctx)
	if err != nil {
		_ = work.Close()
		return
	}
	co := &conn{
		se:         se,
		net:        nc,
		backend:    be,
		work:       work,
		committed:  committed,
		types:      pgtype.NewMap(),
		pid:        se.nextID.Add(1),
		secret:     rand.Uint32(),
		statements: make(map[string]*statement),
		portals:    make(map[string]*portal),
		status:     'I',
	}
	se.mu.Lock()
	se.conns[co.pid] = co
	se.mu.Unlock()
	defer co.close()
	co.greet()
	co.loop(ctx)
}

func (co *conn) greet() {
	key := binary.BigEndian.AppendUint32(nil, co.secret)
	co.backend.Send(&pgproto3.AuthenticationOk{})
	co.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	co.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	co.backend.Send(&pgproto3.BackendKeyData{ProcessID: co.pid, SecretKey: key})
	co.ready()
}

func (co *conn) close() {
	co.se.mu.Lock()
	delete(co.se.conns, co.pid)
	co.se.mu.Unlock()
	co.closePortals()
	if co.status != 'I' || co.implicit {
		co.rollback()
	}
	_ = co.work.Close()
	_ = co.committed.Close()
}

// activity tells whether a connection runs a statement, as "0" or "1".
func (se *Server) activity(pid string) string {
	num, err := strconv.ParseUint(pid, 10, 32)
	if err != nil {
		return "0"
	}
	se.mu.Lock()
	other := se.conns[uint32(num)]
	se.mu.Unlock()
	if other == nil || other.silent.Load() || !other.running.Load() {
		return "0"
	}
	return "1"
}

func (co *conn) ready() {
	co.backend.Send(&pgproto3.ReadyForQuery{TxStatus: co.status})
	co.flush()
}

func (co *conn) flush() {
	if co.silent.Load() {
		return
	}
	_ = co.backend.Flush()
}

func (co *conn) loop(ctx context.Context) {
	for {
		msg, err := co.backend.Receive()
		if err != nil {
			return
		}
		for co.se.paused.Load() || co.silent.Load() {
			if !delay.Pause(ctx, time.Millisecond) || co.isGone() {
				return
			}
		}
		co.running.Store(true)
		goOn := co.dispatch(ctx, msg)
		co.running.Store(false)
		if !goOn {
			return
		}
	}
}

// isGone reports whether a silent connection was dropped by its peer.
func (co *conn) isGone() bool {
	_ = co.net.SetReadDeadline(time.Now().Add(time.Millisecond))
	var one [1]byte
	_, err := co.net.Read(one[:])
	_ = co.net.SetReadDeadline(time.Time{})
	var ne net.Error
	return err != nil && (!errors.As(err, &ne) || !ne.Timeout())
}

func (co *conn) dispatch(ctx context.Context, msg pgproto3.FrontendMessage) bool {
	switch msg := msg.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		co.simple(ctx, msg.String)
		return true
	case *pgproto3.Sync:
		co.sync()
		return true
	case *pgproto3.Flush:
		co.flush()
		return true
	}
	if co.skipping {
		return true
	}
	if err := co.extended(ctx, msg); err != nil {
		co.fail(err)
		co.skipping = true
	}
	return true
}

// fail reports an error and marks the transaction failed.
func (co *conn) fail(err error) {
	co.backend.Send(errorResponse(err))
	if co.status == 'T' {
		co.status = 'E'
	}
	if co.implicit {
		co.closePortals()
		co.rollback()
	}
}

func (co *conn) sync() {
	co.skipping = false
	if co.status == 'I' {
		co.closePortals()
	}
	if co.implicit {
		if err := co.commit(); err != nil {
			co.backend.Send(errorResponse(err))
		}
	}
	co.ready()
}

func (co *conn) closePortals() {
	for name, po := range co.portals {
		if po.rows != nil {
			_ = po.rows.Close()
		}
		delete(co.portals, name)
	}
}

// begin opens a transaction. One that may write waits for the writer lock, so
// that transactions commit in the order of the log; each statement of one that
// only reads sees the newest commit.
func (co *conn) begin(ctx context.Context, readOnly bool) error {
	co.readOnly = readOnly || !co.se.IsPrimary()
	if co.readOnly {
		return nil
	}
	select {
	case co.se.writer <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	co.writing = true
	if _, err := co.work.ExecContext(context.Background(), "BEGIN IMMEDIATE"); err != nil {
		co.unlock()
		return err
	}
	return nil
}

// source returns the database that the next statement reads.
func (co *conn) source() *sql.Conn {
	if co.writing {
		return co.work
	}
	return co.committed
}

func (co *conn) unlock() {
	if co.writing {
		<-co.se.writer
	}
	co.writing = false
	co.pending = nil
	co.implicit = false
	co.status = 'I'
}

func (co *conn) rollback() {
	if co.writing {
		_, _ = co.work.ExecContext(context.Background(), "ROLLBACK")
	}
	co.unlock()
}

// commit ends the transaction and logs it if it wrote.
func (co *conn) commit() error {
	if !co.writing {
		co.unlock()
		return nil
	}
	return co.se.commit(co)
}

// commit ends a transaction that writes, repeats it on the committed database
// and appends it to the log, all in one step towards a change of primary.
func (se *Server) commit(co *conn) error {
	se.mu.Lock()
	defer se.mu.Unlock()
	if !se.primary {
		co.rollback()
		return failWith("25006", "cannot commit: no longer primary")
	}
	if _, err := co.work.ExecContext(context.Background(), "COMMIT"); err != nil {
		co.rollback()
		return err
	}
	defer co.unlock()
	if len(co.pending) == 0 {
		return nil
	}
	te := se.term
	en := Entry{
		TermNumber:  te.Number,
		TermPrimary: te.Primary,
		Committed:   time.Now(),
		Statements:  co.pending,
	}
	if err := applyEntry(context.Background(), se.committed, en); err != nil {
		return err
	}
	se.journal.append(en)
	return nil
}

func errorResponse(err error) *pgproto3.ErrorResponse {
	var pe *pgproto3.ErrorResponse
	var wrapped *responseError
	if errors.As(err, &wrapped) {
		pe = wrapped.response
		return pe
	}
	code := "42601"
	text := err.Error()
	switch {
	case errors.Is(err, context.Canceled), strings.Contains(text, "interrupted"):
		code = "57014"
	case strings.Contains(text, "UNIQUE constraint"):
		code = "23505"
	case strings.Contains(text, "NOT NULL constraint"):
		code = "23502"
	case strings.Contains(text, "no such table"):
		code = "42P01"
	case strings.Contains(text, "readonly"):
		code = "25006"
	}
	return &pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text}
}

type responseError struct{ response *pgproto3.ErrorResponse }

func (re *responseError) Error() string { return re.response.Message }

func failWith(code, text string) error {
	return &responseError{&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text}}
}
