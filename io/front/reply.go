package front

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/core/codes"
	"banyanspring/core/event"
)

const (
	// flushThresholdBytes is the size of buffered output from which an incomplete
	// reply is written to the caller.
	flushThresholdBytes = 32 << 10
	// maxIdleBufferBytes is the largest output buffer that is kept after a flush,
	// to bound the memory of idle sessions.
	maxIdleBufferBytes = 4 << 10
	// writeTimeout bounds one write, in case the caller does not read.
	writeTimeout = time.Minute
)

// bufferMessage appends a message for the caller to the output buffer.
func (se *session) bufferMessage(msg pgproto3.BackendMessage) {
	raw, err := msg.Encode(se.out)
	if err == nil {
		se.out = raw
	}
}

// forward buffers a part of the home's reply, which rules out retries, and flushes
// a large buffer.
func (rq *request) forward(raw []byte) error {
	rq.forwarded = true
	rq.se.out = append(rq.se.out, raw...)
	if len(rq.se.out) < flushThresholdBytes {
		return nil
	}
	return rq.se.flush()
}

// flush writes the output buffer to the caller. An error ends the session.
func (se *session) flush() error {
	if len(se.out) == 0 {
		return nil
	}
	_ = se.net.SetWriteDeadline(se.front.now().Add(writeTimeout))
	_, err := se.net.Write(se.out)
	se.out = se.out[:0]
	if cap(se.out) > maxIdleBufferBytes {
		se.out = nil
	}
	return err
}

// sendReady ends a reply with ReadyForQuery.
func (se *session) sendReady() error { return se.finishReply(true) }

// finishReply ends the reply to a unit and flushes it.
func (se *session) finishReply(expectsReady bool) error {
	if expectsReady {
		status := byte('I')
		if se.pinned != nil {
			status = se.pinned.status
		}
		se.bufferMessage(&pgproto3.ReadyForQuery{TxStatus: status})
	}
	return se.flush()
}

// refuseUnit answers a unit that was not sent to a home with an error. An open
// transaction or batch fails, as after any error in Postgres.
func (se *session) refuseUnit(ref *codes.Refusal, expectsReady bool) error {
	se.failTransaction()
	se.bufferMessage(errorResponse(ref, se.front.now()))
	if !expectsReady {
		se.skipUntilSync = true
	}
	return se.finishReply(expectsReady)
}

// refuse answers a request that failed while it was routed or run; its statement may
// have taken effect. An open transaction has failed or ended already, in runPinned.
func (rq *request) refuse(ref *codes.Refusal) error {
	se := rq.se
	if ref.NotRun() {
		rq.meter.Refused.Inc(1)
	} else {
		rq.meter.Unknown.Inc(1)
		event.Log(se.front.log, event.OutcomeInDoubt, "code", uint32(ref.Code), "caller", se.caller.Name, "detail", ref.Detail)
	}
	se.bufferMessage(errorResponse(ref, se.front.now()))
	if !rq.un.expectsReady {
		se.skipUntilSync = true
	}
	return se.finishReply(rq.un.expectsReady)
}
