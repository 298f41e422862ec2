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

// session is one caller's connection. One goroutine runs it; other goroutines only
// call interrupt and startIdleGrace, or close net.
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
	// reportToken is true if the caller is sent the session token after each
	// acknowledged write. The token is the session's minimum position; any session
	// that sets it reads the writes up to there.
	reportToken bool
	// statements holds the prepared statements by the caller's names.
	statements map[string]*prepared
	// portals holds the statements of the portals by the portals' names.
	portals map[string]*prepared
	// unit collects the messages of the open batch until the next Sync or Flush; nil
	// if there are none.
	unit *unit
	// skipUntilSync is true after an error until the next Sync; messages in
	// between are ignored, as in Postgres.
	skipUntilSync bool
	// pinned is the stream of the open transaction or batch; nil if there is
	// none.
	pinned *pinnedStream
	// out is the output buffer.
	out []byte

	mu sync.Mutex
	// currentStream is the stream of the running request; nil if there is none.
	currentStream *peer.Stream
}

// prepared is one prepared statement of the session.
type prepared struct {
	query      string
	paramOIDs  []uint32
	classified class.Batch
}

// pinnedStream is the stream on which an open transaction or batch must continue.
type pinnedStream struct {
	stream peer.Stream
	// status is 'T' or 'E' as in ReadyForQuery, or statusOpenBatch.
	status byte
	// readOnly is true if the transaction was opened as read-only and so commits
	// no writes.
	readOnly bool
	// lost is true if the stream was closed before the transaction ended; the
	// status is then 'E' until the caller ends the transaction.
	lost bool
}

// callerKey returns the key in Front.sessionsPerCaller of the session's caller in
// the service. The service is passed, because se.service is set only by register.
func (se *session) callerKey(service string) string { return service + "/" + se.caller.Name }

// loop handles messages until the session ends.
func (se *session) loop() {
	defer se.unpin()
	for {
		msg, err := se.receive()
		if err != nil {
			se.sendFatal(err)
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if err := se.dispatch(msg); err != nil {
			se.sendFatal(err)
			return
		}
	}
}

// sendFatal sends a fatal error to the caller if err is a refusal. Other errors
// mean that the connection failed.
func (se *session) sendFatal(err error) {
	var ref *codes.Refusal
	if !errors.As(err, &ref) {
		return
	}
	if ref.Code == codes.ProtocolViolation {
		event.Log(se.front.log, event.ProtocolFault, "caller", se.caller.Name, "detail", ref.Detail)
	}
	raw, err := fatalResponse(ref, se.front.now()).Encode(se.out)
	if err != nil {
		return
	}
	// A caller that does not read must not delay the end of its session.
	_ = se.net.SetWriteDeadline(se.front.now().Add(time.Second))
	_, _ = se.net.Write(raw)
}

// isIdle reports whether no transaction or batch is open.
func (se *session) isIdle() bool { return se.pinned == nil && se.unit == nil }

// receive waits for the next message. During shutdown it returns a refusal once
// the session has been idle for the configured grace period.
func (se *session) receive() (pgproto3.FrontendMessage, error) {
	for {
		se.setIdleDeadline()
		msg, err := se.backend.Receive()
		if err == nil {
			return msg, se.checkShuttingDown()
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

// setIdleDeadline sets the read deadline of the next message: the idle grace for
// an idle session during shutdown, otherwise none.
func (se *session) setIdleDeadline() {
	if se.front.isLeaving() && se.isIdle() {
		se.startIdleGrace()
		return
	}
	_ = se.net.SetReadDeadline(time.Time{})
}

// receiveError returns a refusal for a malformed or oversized message, and
// network errors as they are.
func receiveError(err error) error {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLarge) {
		return codes.Refuse(codes.MessageTooLarge, "%v", err)
	}
	var ne net.Error
	if errors.As(err, &ne) || errors.Is(err, net.ErrClosed) || isConnClosed(err) {
		return err
	}
	return codes.Refuse(codes.ProtocolViolation, "%v", err)
}

// checkShuttingDown refuses new requests of an idle session from refuseFrom on,
// shortly before the shutdown deadline.
func (se *session) checkShuttingDown() error {
	if !se.front.isLeaving() {
		return nil
	}
	if se.isIdle() && se.front.now().After(se.front.refuseFrom) {
		return codes.Refuse(codes.ShuttingDown, "")
	}
	return nil
}

// startIdleGrace sets a read deadline, so that a session that waits for a message
// wakes after the idle grace and checks for the shutdown.
func (se *session) startIdleGrace() {
	_ = se.net.SetReadDeadline(se.front.now().Add(se.front.shutdown.IdleGrace))
}

// interrupt cancels the running request, if any.
func (se *session) interrupt() {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.currentStream == nil {
		return
	}
	_ = se.currentStream.Send(&wire.RunRequest{Kind: &wire.RunRequest_Interrupt{Interrupt: &wire.Interrupt{}}})
}

func (se *session) setCurrentStream(st *peer.Stream) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.currentStream = st
}

// send sends on a stream under the lock that interrupt takes, so that the two
// never send at once.
func (se *session) send(st *peer.Stream, rq *wire.RunRequest) error {
	se.mu.Lock()
	defer se.mu.Unlock()
	return st.Send(rq)
}

// unpin closes the pinned stream, unless it was lost, and forgets it.
func (se *session) unpin() {
	if se.pinned == nil {
		return
	}
	se.setCurrentStream(nil)
	if !se.pinned.lost {
		se.pinned.stream.Close()
	}
	se.pinned = nil
}

// failTransaction closes the stream of the open transaction or batch. The session
// keeps the status 'E' of a failed transaction until the caller sends COMMIT or
// ROLLBACK, so that no later statement of the transaction runs outside it.
func (se *session) failTransaction() {
	if se.pinned == nil || se.pinned.lost {
		return
	}
	se.unpin()
	se.pinned = &pinnedStream{status: 'E', lost: true}
}

// dispatch handles one message. An error ends the session.
func (se *session) dispatch(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		return se.handleQuery(msg)
	case *pgproto3.Sync:
		return se.handleSync(msg)
	case *pgproto3.Flush:
		return se.handleFlush(msg)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		if se.skipUntilSync {
			return nil
		}
		return se.addToUnit(msg)
	}
	return codes.Refuse(codes.ProtocolViolation, "unexpected %T", msg)
}

// fatalResponse builds the error response that ends a session.
func fatalResponse(ref *codes.Refusal, now time.Time) *pgproto3.ErrorResponse {
	msg := errorResponse(ref, now)
	msg.Severity = "FATAL"
	msg.SeverityUnlocalized = "FATAL"
	return msg
}

// errorResponse builds the error response of severity ERROR for a refusal.
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
