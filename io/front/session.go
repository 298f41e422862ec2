package front

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/core/class"
	"banyanspring/core/codes"
	"banyanspring/core/docum"
	"banyanspring/core/event"
	"banyanspring/core/sessn"
	"banyanspring/io/peer"
	"banyanspring/io/wire"
)

// session is one caller's connection. One goroutine runs it; only interrupt
// and wake are called by others.
type session struct {
	front    *Front
	net      net.Conn
	backend  *pgproto3.Backend
	database string
	service  string
	caller   docum.Caller
	pid      uint32
	secret   uint32
	state    sessn.State
	// reportToken sends the token after each acknowledged write.
	reportToken bool
	// statements maps the caller's names of prepared statements.
	statements map[string]*prepared
	// portals maps the names of portals to their statements.
	portals map[string]*prepared
	// batch collects extended messages until Sync.
	batch *unit
	// skipping is true from an error until the next Sync.
	skipping bool
	// held is the stream of the open transaction; nil outside one.
	held *heldStream
	// out collects what is sent to the caller.
	out []byte

	mu sync.Mutex
	// current is the stream that a request runs on.
	current *peer.Stream
}

// prepared is one prepared statement of the session.
type prepared struct {
	query string
	oids  []uint32
	batch class.Batch
}

// heldStream is the stream of an open transaction.
type heldStream struct {
	stream peer.Stream
	// status is T or E as in ReadyForQuery, or P for an open batch.
	status byte
	// readOnly transactions commit nothing.
	readOnly bool
	// dead is true once the stream is gone; the status is then E until the
	// caller ends the transaction.
	dead bool
}

func (se *session) callerKey(service string) string { return service + "/" + se.caller.Name }

// loop serves the caller until it leaves.
func (se *session) loop() {
	defer se.dropHeld()
	for {
		msg, err := se.receive()
		if err != nil {
			se.end(err)
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if err := se.dispatch(msg); err != nil {
			se.end(err)
			return
		}
	}
}

// end tells the caller why the session is closed, if there is a reason.
func (se *session) end(err error) {
	var ref *codes.Refusal
	if !errors.As(err, &ref) {
		return
	}
	if ref.Code == codes.ProtocolViolation {
		event.Log(se.front.log, event.ProtocolFault, "caller", se.caller.Name, "detail", ref.Detail)
	}
	raw, err := fatal(ref, se.front.now()).Encode(se.out)
	if err != nil {
		return
	}
	_ = se.net.SetWriteDeadline(se.front.now().Add(time.Second))
	_, _ = se.net.Write(raw)
}

// isIdle reports whether the session has begun nothing.
func (se *session) isIdle() bool { return se.held == nil && se.batch == nil }

// receive waits for the next message. When the daemon is leaving it returns a
// refusal once the session has been idle for the grace.
func (se *session) receive() (pgproto3.FrontendMessage, error) {
	for {
		se.limitIdle()
		msg, err := se.backend.Receive()
		if err == nil {
			return msg, se.checkLastCall()
		}
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			return nil, receiveError(err)
		}
		if se.front.isLeaving() && se.isIdle() {
			return nil, codes.Refuse(codes.ShuttingDown, "")
		}
	}
}

// limitIdle bounds the wait for the next message while the daemon is leaving.
func (se *session) limitIdle() {
	if se.front.isLeaving() && se.isIdle() {
		se.wake()
		return
	}
	_ = se.net.SetReadDeadline(time.Time{})
}

func receiveError(err error) error {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLarge) {
		return codes.Refuse(codes.MessageTooLarge, "%v", err)
	}
	var ne net.Error
	if errors.As(err, &ne) || errors.Is(err, net.ErrClosed) || isEOF(err) {
		return err
	}
	return codes.Refuse(codes.ProtocolViolation, "%v", err)
}

// checkLastCall refuses new work shortly before the shutdown deadline.
func (se *session) checkLastCall() error {
	if !se.front.isLeaving() {
		return nil
	}
	if se.isIdle() && se.front.now().After(se.front.lastCall) {
		return codes.Refuse(codes.ShuttingDown, "")
	}
	return nil
}

// wake ends the wait of an idle session so that it sees the shutdown.
func (se *session) wake() {
	_ = se.net.SetReadDeadline(se.front.now().Add(se.front.shutdown.IdleGrace))
}

// interrupt cancels the request that runs now, if any.
func (se *session) interrupt() {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.current == nil {
		return
	}
	_ = se.current.Send(&wire.RunRequest{Kind: &wire.RunRequest_Interrupt{Interrupt: &wire.Interrupt{}}})
}

func (se *session) setCurrent(st *peer.Stream) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.current = st
}

// send writes to a stream; interrupts take the same lock.
func (se *session) send(st *peer.Stream, rq *wire.RunRequest) error {
	se.mu.Lock()
	defer se.mu.Unlock()
	return st.Send(rq)
}

func (se *session) dropHeld() {
	if se.held == nil {
		return
	}
	se.setCurrent(nil)
	if !se.held.dead {
		se.held.stream.Close()
	}
	se.held = nil
}

// killHeld gives the open transaction up. The session stays in a failed
// transaction until the caller ends it, so that no later statement of the
// transaction runs on its own.
func (se *session) killHeld() {
	if se.held == nil || se.held.dead {
		return
	}
	se.dropHeld()
	se.held = &heldStream{status: 'E', dead: true}
}

// dispatch handles one message. An error ends the session.
func (se *session) dispatch(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		return se.query(msg)
	case *pgproto3.Sync:
		return se.sync(msg)
	case *pgproto3.Flush:
		return se.flushBatch(msg)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		if se.skipping {
			return nil
		}
		return se.extend(msg)
	}
	return codes.Refuse(codes.ProtocolViolation, "unexpected %T", msg)
}

// fatal builds the message that ends a session.
func fatal(ref *codes.Refusal, now time.Time) *pgproto3.ErrorResponse {
	msg := errorResponse(ref, now)
	msg.Severity = "FATAL"
	msg.SeverityUnlocalized = "FATAL"
	return msg
}

// errorResponse builds the message by which a caller learns of a refusal.
func errorResponse(ref *codes.Refusal, now time.Time) *pgproto3.ErrorResponse {
	msg := &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                ref.Code.Info().SQLState,
		Message:             ref.Error(),
	}
	switch {
	case !ref.RetryAt.IsZero():
		msg.Hint = "retry after " + max(0, ref.RetryAt.Sub(now)).Round(time.Millisecond).String()
	case ref.Code.Info().Retryable:
		msg.Hint = "the same request may succeed later"
	}
	return msg
}
