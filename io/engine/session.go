package engine

import (
	"bufio"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/catlg"
	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/posn"
	"banyanspring/core/stmt"
	"banyanspring/core/vars"
	"banyanspring/io/pool"
)

const (
	// readBufferBytes is the size of a session's read buffer. Most statements are
	// shorter, and many sessions are idle.
	readBufferBytes = 1024
	// startupTimeout bounds the wait for a caller's first message.
	startupTimeout = 10 * time.Second
	// messageTimeout bounds the time in which a caller sends the rest of a
	// message or receives an answer.
	messageTimeout = 15 * time.Second
	// readyTimeout bounds how long a new session waits while the instance is
	// starting. Callers give up opening a session after 2 s.
	readyTimeout = 1500 * time.Millisecond
	// readyPollInterval is the time between two checks whether the instance has
	// started.
	readyPollInterval = 20 * time.Millisecond
	// firstStatementGrace is how long after the caller connected a session without
	// any statement stays open while the instance is shutting down.
	firstStatementGrace = 1500 * time.Millisecond
)

// session is one caller's session. All methods but interrupt run on one
// goroutine.
type session struct {
	en  *Engine
	net net.Conn
	rd  *bufio.Reader
	out []byte

	database string
	// credentials is nil before the session is open.
	credentials atomic.Pointer[credentials]
	// checkedVersion is the version of the catalog that last permitted the session.
	checkedVersion uint64
	// isEnding is true once a statement was refused because of the key. The session is
	// closed after the answer.
	isEnding bool
	// workspace is the name of the caller's workspace; empty if there is none.
	workspace string
	target    catlg.Target
	vars      vars.Session
	// lastWrite is the position of the session's newest acknowledged write.
	lastWrite posn.Position
	state     stmt.State
	// tx is nil unless state is Open.
	tx *transaction
	// pendingRefusal is the refusal that the next statement of a Failed
	// transaction is answered with; nil once it has been sent.
	pendingRefusal *codes.Refusal
	// answered counts the data statements that were answered.
	answered int
	// connectedAt is when the caller connected, and readyAt when its Hello was
	// accepted.
	connectedAt, readyAt time.Time

	mu sync.Mutex
	// isWaiting is true while the session waits for the next message.
	isWaiting bool
	// isClosing is true once closeIfIdle has closed the connection.
	isClosing bool
	// isSilent is true until the caller's first message has arrived.
	isSilent atomic.Bool
	// held is nil before the session's first reservation.
	held *holdings
}

func newSession(en *Engine, raw net.Conn) *session {
	se := &session{en: en, net: raw, connectedAt: en.deps.Now()}
	se.isSilent.Store(true)
	se.rd = bufio.NewReaderSize(callerReader{se}, readBufferBytes)
	return se
}

// interrupt ends the wait for the next message, so that the session checks
// whether it must close.
func (se *session) interrupt() {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.isWaiting {
		_ = se.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeIfIdle closes the connection if the session waits for a message outside a
// transaction, and reports whether it did.
func (se *session) closeIfIdle() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if !se.isWaiting || se.isClosing || se.state != stmt.Idle {
		return false
	}
	se.isClosing = true
	_ = se.net.Close()
	return true
}

// setWaiting sets whether the session waits for the next message, and the read
// deadline, on the system clock. Only that wait can be interrupted: the first
// message, and any message that has begun to arrive, is read to its end.
func (se *session) setWaiting(isWaiting bool, until time.Time) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.isWaiting = isWaiting
	_ = se.net.SetReadDeadline(until)
}

func (se *session) run() {
	defer se.closeHoldings()
	defer se.rollBackOpen()
	if !se.open() {
		return
	}
	se.releaseMessage()
	for se.awaitMessage() {
		rq, ok := se.read()
		if !ok || rq.Kind == Terminate {
			return
		}
		if !se.serve(rq) {
			return
		}
		se.releaseMessage()
	}
}

// rollBackOpen rolls back the transaction that a disconnected caller left open.
func (se *session) rollBackOpen() {
	if se.tx != nil {
		se.tx.end()
		se.tx = nil
	}
}

// open reads the caller's first message and opens the session. It reports false
// if the session was refused.
func (se *session) open() bool {
	_ = se.net.SetReadDeadline(time.Now().Add(startupTimeout))
	rq, ok := se.read()
	se.isSilent.Store(false)
	if !ok {
		return false
	}
	if rq.Kind != Hello {
		return se.refuseSession(codes.Refuse(codes.ProtocolViolation, "expected the opening of a session"))
	}
	se.database = rq.Database
	cr := credentials{database: rq.Database, hasKey: rq.HasKey, key: rq.Key}
	se.awaitReady()
	if ref := se.awaitAccess(cr); ref != nil {
		se.refuseSession(ref)
		if ref.Code == codes.UnknownKey {
			// Statements may have followed while the session waited.
			se.discardInput()
		}
		return false
	}
	se.readyAt = se.en.deps.Now()
	se.out = se.en.dialect.AppendReady(se.out[:0], stmt.Idle, posn.Position{})
	return se.write()
}

func (se *session) refuseSession(ref *codes.Refusal) bool {
	args := []any{"database", se.database, "code", int(ref.Code), "detail", ref.Detail, "catalog_version", se.en.catalog.Current().Version}
	if ref.Code == codes.UnknownKey {
		now := se.en.deps.Now()
		args = append(args, "waited_ms", now.Sub(se.connectedAt).Milliseconds())
		if at := se.en.deps.CatalogConfirmedAt(); !at.IsZero() {
			args = append(args, "confirmed_ms", now.Sub(at).Milliseconds())
		}
	}
	event.Log(se.en.log, event.SessionRefused, args...)
	se.out = se.en.dialect.AppendRefusal(se.out[:0], ref)
	se.write()
	return false
}

// awaitReady waits until this instance can serve, up to readyTimeout after the
// caller connected.
func (se *session) awaitReady() {
	limit := se.connectedAt.Add(readyTimeout)
	for !se.en.deps.IsReady() && se.en.deps.Now().Before(limit) {
		time.Sleep(readyPollInterval)
	}
}

// awaitMessage waits for the first byte of the next message and reports false if
// the session ends.
func (se *session) awaitMessage() bool {
	if se.rd.Buffered() > 0 {
		return !se.mustClose()
	}
	for {
		se.setWaiting(true, se.waitDeadline())
		if se.mustClose() {
			return false
		}
		if se.isRevoked() {
			return se.awaitLastMessage()
		}
		_, err := se.rd.Peek(1)
		if err == nil {
			se.setWaiting(false, time.Now().Add(messageTimeout))
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		// CloseIdle reads the state of waiting sessions.
		se.setWaiting(false, time.Time{})
		se.expireTransaction()
	}
}

// waitDeadline returns until when to wait for the next message, on the system
// clock; zero means without limit.
func (se *session) waitDeadline() time.Time {
	now := se.en.deps.Now()
	var limit time.Time
	if ld := se.en.leaving.Load(); ld != nil {
		limit = ld.rollbackAt
		if se.state == stmt.Idle {
			limit = se.connectedAt.Add(firstStatementGrace)
		}
	}
	if se.tx != nil && se.tx.conn != nil {
		idle := se.transactionCheckAt(now)
		if limit.IsZero() || idle.Before(limit) {
			limit = idle
		}
	}
	if limit.IsZero() {
		return limit
	}
	return time.Now().Add(limit.Sub(now))
}

// transactionCheckAt returns when to check next whether the open transaction has rested for too
// long.
func (se *session) transactionCheckAt(now time.Time) time.Time {
	ca := se.en.catalog.Current()
	idle := se.tx.usedAt.Add(ca.TransactionIdle)
	rest := restLimit(ca)
	if rest <= 0 {
		return idle
	}
	next := se.tx.usedAt.Add(rest)
	if early := now.Add(pool.RestCheckInterval); next.Before(early) {
		next = early
	}
	if next.Before(idle) {
		return next
	}
	return idle
}

// mustClose reports whether the session must close because the instance is
// shutting down. A session closes between requests and outside a transaction, or
// once the time to roll back open transactions has come.
func (se *session) mustClose() bool {
	ld := se.en.leaving.Load()
	if ld == nil {
		return false
	}
	now := se.en.deps.Now()
	if se.state != stmt.Idle {
		return !now.Before(ld.rollbackAt)
	}
	return se.answered > 0 || !now.Before(se.connectedAt.Add(firstStatementGrace))
}

// expireTransaction rolls the open transaction back if it has been idle for too
// long, or for half of that while others wait for its connection.
func (se *session) expireTransaction() {
	if se.tx == nil || se.tx.conn == nil {
		return
	}
	ca := se.en.catalog.Current()
	idle := se.en.deps.Now().Sub(se.tx.usedAt)
	if idle >= ca.TransactionIdle {
		se.failTransaction(codes.Refuse(codes.TransactionIdle, "idle for %v", idle.Round(time.Millisecond)))
		return
	}
	if rest := restLimit(ca); rest > 0 && idle >= rest && se.tx.conn.IsContended() {
		se.failTransaction(codes.Refuse(codes.TransactionIdle, "idle for %v while others waited for its connection", idle.Round(time.Millisecond)))
	}
}

// failTransaction rolls the open transaction back. The caller's next statement is
// answered with the refusal.
func (se *session) failTransaction(ref *codes.Refusal) {
	event.Log(se.en.log, event.TransactionEnded, "database", se.database, "code", int(ref.Code), "detail", ref.Detail,
		"statements", se.tx.statements, "upstream", se.tx.upstreamID())
	se.tx.end()
	se.tx = nil
	se.state = stmt.Failed
	se.pendingRefusal = ref
}

// read reads the next message. If it is malformed, the caller is sent a refusal.
func (se *session) read() (Request, bool) {
	rq, err := se.en.dialect.ReadRequest(se.rd, se.messageReserve())
	se.endRead()
	if err == nil {
		return rq, true
	}
	se.releaseMessage()
	var ref *codes.Refusal
	if !errors.As(err, &ref) {
		return rq, false
	}
	if se.isEvicted() {
		ref = codes.Refuse(codes.MemoryFull, "the message arrived too slowly")
	}
	event.Log(se.en.log, event.ProtocolFault, "database", se.database, "detail", ref.Detail)
	se.refuseSession(ref)
	se.rollBackOpen()
	se.discardInput()
	return rq, false
}

const (
	// discardTimeout and maxDiscardBytes bound how much a caller's input is read after
	// a message that could not be read.
	discardTimeout  = time.Second
	maxDiscardBytes = 4 << 20
)

// discardInput ends the session for the caller and reads the rest of its input. If the
// connection were closed with input that was not read, it would be reset, and the caller
// might lose answers that were sent.
func (se *session) discardInput() {
	if half, ok := se.net.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	_ = se.net.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, se.rd, maxDiscardBytes)
}

// serve answers one message and reports whether the session continues.
func (se *session) serve(rq Request) bool {
	if rq.Kind == Hello {
		rq.Fault = codes.Refuse(codes.ProtocolViolation, "the session is open already")
	}
	arrived := se.en.deps.Now()
	var res stmt.Result
	if rq.Fault != nil {
		event.Log(se.en.log, event.ProtocolFault, "database", se.database, "request_id", rq.Statement.RequestID,
			"detail", rq.Fault.Detail)
		res = se.refuseAndAbort(rq.Fault)
	} else {
		res = se.answer(rq.Statement)
	}
	if rq.Statement.IsData() {
		se.answered++
		se.en.deps.OnStatement(Observation{
			Group: se.target.Group, Consistency: se.target.Consistency, Took: se.en.deps.Now().Sub(arrived), Code: res.Code,
		})
	}
	se.out = se.en.dialect.AppendResult(se.out[:0], res)
	if !se.write() {
		return false
	}
	if se.isEnding {
		se.discardInput()
	}
	return !se.isEnding
}

// refuseAndAbort refuses a message that cannot be served. An open transaction is
// rolled back.
func (se *session) refuseAndAbort(ref *codes.Refusal) stmt.Result {
	if se.state == stmt.Open {
		se.failTransaction(ref)
		se.pendingRefusal = nil
	}
	return se.refusal(ref)
}

func (se *session) refusal(ref *codes.Refusal) stmt.Result {
	return stmt.Result{Code: ref.Code, Detail: ref.Detail, State: se.state, Position: se.lastWrite}
}

func (se *session) success() stmt.Result {
	return stmt.Result{State: se.state, Position: se.lastWrite}
}

// maxIdleBufferBytes is the size up to which a session keeps its write buffer
// between messages.
const maxIdleBufferBytes = 4096

// write sends the contents of out to the caller and reports whether that
// succeeded.
func (se *session) write() bool {
	err := se.writeOut()
	if cap(se.out) > maxIdleBufferBytes {
		se.out = nil
	}
	return err == nil
}
