package front

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/core/codes"
	"banyanspring/core/event"
)

const (
	// flushBytes is the size at which an answer is sent on before its end.
	flushBytes = 32 << 10
	// keepBytes is the largest buffer that an idle session keeps.
	keepBytes = 4 << 10
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = time.Minute
)

// put adds a message for the caller.
func (se *session) put(msg pgproto3.BackendMessage) {
	raw, err := msg.Encode(se.out)
	if err == nil {
		se.out = raw
	}
}

// forward passes a part of the answer on.
func (rq *request) forward(raw []byte) error {
	rq.forwarded = true
	rq.se.out = append(rq.se.out, raw...)
	if len(rq.se.out) < flushBytes {
		return nil
	}
	return rq.se.flush()
}

// flush writes what was put; an error ends the session.
func (se *session) flush() error {
	if len(se.out) == 0 {
		return nil
	}
	_ = se.net.SetWriteDeadline(se.front.now().Add(writeTimeout))
	_, err := se.net.Write(se.out)
	se.out = se.out[:0]
	if cap(se.out) > keepBytes {
		se.out = nil
	}
	return err
}

// ready ends the answer to a unit.
func (se *session) ready() error { return se.finish(true) }

func (se *session) finish(syncs bool) error {
	if syncs {
		status := byte('I')
		if se.held != nil {
			status = se.held.status
		}
		se.put(&pgproto3.ReadyForQuery{TxStatus: status})
	}
	return se.flush()
}

// refuseUnit answers a unit with an error before anything of it was sent.
func (se *session) refuseUnit(ref *codes.Refusal, syncs bool) error {
	se.killHeld()
	se.put(errorResponse(ref, se.front.now()))
	if !syncs {
		se.skipping = true
	}
	return se.finish(syncs)
}

// refuse answers a request that was on its way.
func (rq *request) refuse(ref *codes.Refusal) error {
	se := rq.se
	if ref.NotRun() {
		rq.meter.Refused.Inc(1)
	} else {
		rq.meter.Unknown.Inc(1)
		event.Log(se.front.log, event.OutcomeInDoubt, "code", uint32(ref.Code), "caller", se.caller.Name, "detail", ref.Detail)
	}
	se.put(errorResponse(ref, se.front.now()))
	if !rq.un.syncs {
		se.skipping = true
	}
	return se.finish(rq.un.syncs)
}
