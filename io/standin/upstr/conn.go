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

// conn is one client session.
type conn struct {
	se      *Server
	net     net.Conn
	backend *pgproto3.Backend
	// writeConn and readConn are connections to the server's writeDB and readDB.
	writeConn, readConn *sql.Conn
	types               *pgtype.Map
	pid                 uint32
	secret              uint32
	silent              atomic.Bool
	// running is true while a message is being processed.
	running atomic.Bool

	statements map[string]*statement
	portals    map[string]*portal
	// txStatus is the transaction status of ReadyForQuery: 'I' (idle), 'T' (in a
	// transaction) or 'E' (in a failed transaction).
	txStatus byte
	// implicit is true in an implicit transaction, which the server opens for a
	// statement outside a transaction block. It ends with the simple query, at Sync
	// or with an error.
	implicit bool
	readOnly bool
	// writing is true in a transaction that may write, which holds the server's
	// writer lock.
	writing bool
	// pendingLog holds the writes of the open transaction, which the commit appends
	// to the log.
	pendingLog []LoggedStatement
	// skipToSync is true after an error in the extended protocol until the next
	// Sync; messages in between are discarded.
	skipToSync bool

	mu sync.Mutex
	// interrupt cancels the waits of the running statement and, if it returns no
	// rows, its execution.
	interrupt context.CancelFunc
}

// statement is a prepared statement.
type statement struct {
	sql    string
	oids   []uint32
	params int
}

// portal is a bound statement and the state of its execution.
type portal struct {
	st       *statement
	args     []*string
	formats  []int16
	rows     *sql.Rows
	oids     []uint32
	rowCount int
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
			se.runSession(ctx, nc, be)
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

func (se *Server) runSession(ctx context.Context, nc net.Conn, be *pgproto3.Backend) {
	if !delay.Pause(ctx, se.opts.ConnectCost) {
		return
	}
	defer se.openConns.Add(-1)
	open := se.openConns.Add(1)
	if open > int64(se.opts.Connections) {
		be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
		_ = be.Flush()
		return
	}
	for peak := se.peakConns.Load(); open > peak && !se.peakConns.CompareAndSwap(peak, open); peak = se.peakConns.Load() {
	}
	writeConn, err := se.writeDB.Conn(ctx)
	if err != nil {
		return
	}
	readConn, err := se.readDB.Conn(ctx)
	if err != nil {
		_ = writeConn.Close()
		return
	}
	co := &conn{
		se:         se,
		net:        nc,
		backend:    be,
		writeConn:  writeConn,
		readConn:   readConn,
		types:      pgtype.NewMap(),
		pid:        se.nextID.Add(1),
		secret:     rand.Uint32(),
		statements: make(map[string]*statement),
		portals:    make(map[string]*portal),
		txStatus:   'I',
	}
	se.mu.Lock()
	se.conns[co.pid] = co
	se.mu.Unlock()
	defer co.close()
	co.sendStartupResponse()
	co.readLoop(ctx)
}

func (co *conn) sendStartupResponse() {
	key := binary.BigEndian.AppendUint32(nil, co.secret)
	co.backend.Send(&pgproto3.AuthenticationOk{})
	co.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	co.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	co.backend.Send(&pgproto3.BackendKeyData{ProcessID: co.pid, SecretKey: key})
	co.sendReady()
}

func (co *conn) close() {
	co.se.mu.Lock()
	delete(co.se.conns, co.pid)
	co.se.mu.Unlock()
	co.closePortals()
	if co.txStatus != 'I' || co.implicit {
		co.rollback()
	}
	_ = co.writeConn.Close()
	_ = co.readConn.Close()
}

// activityCount returns the result of a pg_stat_activity query for a process ID:
// "1" if that connection is executing a statement and is not silenced, else "0".
func (se *Server) activityCount(pid string) string {
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

func (co *conn) sendReady() {
	co.backend.Send(&pgproto3.ReadyForQuery{TxStatus: co.txStatus})
	co.flush()
}

func (co *conn) flush() {
	if co.silent.Load() {
		return
	}
	_ = co.backend.Flush()
}

func (co *conn) readLoop(ctx context.Context) {
	for {
		msg, err := co.backend.Receive()
		if err != nil {
			return
		}
		for co.se.paused.Load() || co.silent.Load() {
			if !delay.Pause(ctx, time.Millisecond) || co.isClosedByPeer() {
				return
			}
		}
		co.running.Store(true)
		keepOpen := co.dispatch(ctx, msg)
		co.running.Store(false)
		if !keepOpen {
			return
		}
	}
}

// isClosedByPeer reports whether the peer has closed a silenced connection.
func (co *conn) isClosedByPeer() bool {
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
		co.simpleQuery(ctx, msg.String)
		return true
	case *pgproto3.Sync:
		co.sync()
		return true
	case *pgproto3.Flush:
		co.flush()
		return true
	}
	if co.skipToSync {
		return true
	}
	if err := co.extendedQuery(ctx, msg); err != nil {
		co.sendError(err)
		co.skipToSync = true
	}
	return true
}

// sendError sends an error response, marks an explicit transaction as failed and
// rolls an implicit one back.
func (co *conn) sendError(err error) {
	co.backend.Send(errorResponse(err))
	if co.txStatus == 'T' {
		co.txStatus = 'E'
	}
	if co.implicit {
		co.closePortals()
		co.rollback()
	}
}

func (co *conn) sync() {
	co.skipToSync = false
	if co.txStatus == 'I' {
		co.closePortals()
	}
	if co.implicit {
		if err := co.commit(); err != nil {
			co.backend.Send(errorResponse(err))
		}
	}
	co.sendReady()
}

func (co *conn) closePortals() {
	for name, po := range co.portals {
		if po.rows != nil {
			_ = po.rows.Close()
		}
		delete(co.portals, name)
	}
}

// begin opens a transaction. A transaction that may write waits for the writer
// lock, so that the commit order equals the log order. Each statement of a
// read-only transaction sees the newest commit.
func (co *conn) begin(ctx context.Context, readOnly bool) error {
	co.readOnly = readOnly || !co.se.IsPrimary()
	if co.readOnly {
		return nil
	}
	select {
	case co.se.writerLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	co.writing = true
	if _, err := co.writeConn.ExecContext(context.Background(), "BEGIN IMMEDIATE"); err != nil {
		co.resetTransaction()
		return err
	}
	return nil
}

// activeConn returns the database connection that executes the next statement.
func (co *conn) activeConn() *sql.Conn {
	if co.writing {
		return co.writeConn
	}
	return co.readConn
}

// resetTransaction releases the writer lock and returns to the idle state.
func (co *conn) resetTransaction() {
	if co.writing {
		<-co.se.writerLock
	}
	co.writing = false
	co.pendingLog = nil
	co.implicit = false
	co.txStatus = 'I'
}

func (co *conn) rollback() {
	if co.writing {
		_, _ = co.writeConn.ExecContext(context.Background(), "ROLLBACK")
	}
	co.resetTransaction()
}

// commit commits the transaction and, if it wrote, appends it to the log.
func (co *conn) commit() error {
	if !co.writing {
		co.resetTransaction()
		return nil
	}
	return co.se.commit(co)
}

// commit commits a write transaction, applies it to readDB and appends it to the
// log. It holds mu throughout, so that a change of primary comes entirely
// before or after it.
func (se *Server) commit(co *conn) error {
	se.mu.Lock()
	defer se.mu.Unlock()
	if !se.primary {
		co.rollback()
		return pgError("25006", "cannot commit: no longer primary")
	}
	if _, err := co.writeConn.ExecContext(context.Background(), "COMMIT"); err != nil {
		co.rollback()
		return err
	}
	defer co.resetTransaction()
	if len(co.pendingLog) == 0 {
		return nil
	}
	te := se.term
	en := Entry{
		TermNumber:  te.Number,
		TermPrimary: te.Primary,
		Committed:   time.Now(),
		Statements:  co.pendingLog,
	}
	if err := applyEntry(context.Background(), se.readDB, en); err != nil {
		return err
	}
	se.log.append(en)
	return nil
}

// errorResponse returns the response for an error. SQLite errors get the SQLSTATE
// code that Postgres uses in the same case.
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

// responseError is an error with the response that is sent for it.
type responseError struct{ response *pgproto3.ErrorResponse }

func (re *responseError) Error() string { return re.response.Message }

// pgError returns an error that is sent to the client with the SQLSTATE code.
func pgError(code, text string) error {
	return &responseError{&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text}}
}
