package engine

import (
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"banyanspring/core/budget"
	"banyanspring/core/codes"
	"banyanspring/core/stmt"
	"banyanspring/core/vars"
	"banyanspring/io/guard"
)

const (
	// messageCost is how many bytes a byte of a message's buffer takes until the message is
	// answered: in the buffer, as text, encoded for the upstream, and not yet collected.
	messageCost = 4
	// answerCost is the same for the rows of an answer, beyond what their reader counts.
	answerCost = 2
	// valuesCost is the same for the values and prepared statements of a session, which
	// are sent to upstreams.
	valuesCost = 2
	// reserveWait is how long a message waits for the budget, and answerWait how long an
	// answer does, which occupies a connection to an upstream meanwhile.
	reserveWait = time.Second
	answerWait  = 300 * time.Millisecond
	// unreservedValues is the size up to which a session's values are not reserved.
	unreservedValues = 4096
	// progressBytes is how much a caller must send or receive within guard.Stall in the
	// middle of a message or of an answer.
	progressBytes = 32 << 10
)

// holdings is what a session has reserved.
type holdings struct {
	// message is for the message that is read and its answer, and values for those that
	// the session keeps. Both are nil if there is no budget.
	message, values *guard.Account
	// isReading is true while a message that is longer than the read buffer arrives.
	isReading bool
	// received counts the bytes of it since the last progress.
	received int
	// base is what the message holds without its answer.
	base      int64
	isEvicted atomic.Bool
}

// callerReader reads a session's input and checks its progress.
type callerReader struct{ se *session }

// Read implements io.Reader.
func (cr callerReader) Read(buf []byte) (int, error) {
	ho := cr.se.held
	if ho == nil || !ho.isReading {
		return cr.se.net.Read(buf)
	}
	if ho.isEvicted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	count, err := cr.se.net.Read(buf)
	ho.received += count
	if ho.received >= progressBytes {
		cr.se.recordProgress()
	}
	return count, err
}

// recordProgress extends the time in which the caller must send more of its message.
func (se *session) recordProgress() {
	se.held.received = 0
	se.held.message.SetWaiting(true)
	_ = se.net.SetReadDeadline(time.Now().Add(se.en.deps.Guard.Stall()))
}

// holder returns the workspace, or the caller's address if none is known.
func (se *session) holder() string {
	if se.workspace != "" {
		return "workspace:" + se.workspace
	}
	host, _, _ := net.SplitHostPort(se.net.RemoteAddr().String())
	return "address:" + host
}

// hold returns the session's holdings, which it opens.
func (se *session) hold() *holdings {
	if se.held == nil {
		ho := &holdings{}
		ho.message = se.en.deps.Guard.Open(se.holder(), func() {
			ho.isEvicted.Store(true)
			_ = se.net.SetDeadline(time.Unix(1, 0))
		})
		se.held = ho
	}
	return se.held
}

// messageReserve returns the function that reserves the next message while it is read.
func (se *session) messageReserve() budget.Reserve {
	return func(total int) error {
		ho := se.hold()
		if err := ho.message.Reserve(int64(total)*messageCost, se.en.deps.Now().Add(reserveWait)); err != nil {
			return err
		}
		ho.base = ho.message.Held()
		if !ho.isReading {
			ho.isReading = true
			se.recordProgress()
		}
		return nil
	}
}

// endRead ends the wait for the rest of a message.
func (se *session) endRead() {
	if ho := se.held; ho != nil && ho.isReading {
		ho.isReading = false
		ho.message.SetWaiting(false)
	}
}

// answerReserve returns the function that reserves an answer while it is read; nil if
// there is no budget.
func (se *session) answerReserve() budget.Reserve {
	if se.en.deps.Guard == nil {
		return nil
	}
	return func(total int) error {
		ho := se.hold()
		return ho.message.Reserve(ho.base+int64(total)*answerCost, se.en.deps.Now().Add(answerWait))
	}
}

// releaseMessage releases what the message and its answer held.
func (se *session) releaseMessage() {
	if ho := se.held; ho != nil {
		ho.message.Release(0)
		ho.base = 0
		if ho.values == nil {
			// The session may belong to another workspace at its next message.
			ho.message.Close()
			se.held = nil
		}
	}
}

func (se *session) closeHoldings() {
	if ho := se.held; ho != nil {
		ho.message.Close()
		ho.values.Close()
	}
}

func (se *session) isEvicted() bool { return se.held != nil && se.held.isEvicted.Load() }

// detach returns a copy of a part of a message that would otherwise keep all of a long
// message in memory.
func (se *session) detach(text string) string {
	if se.held == nil {
		return text
	}
	return strings.Clone(text)
}

// keep makes the values and prepared statements those of the session, if they fit.
func (se *session) keep(next vars.Session) stmt.Result {
	size := next.Bytes()
	if size > unreservedValues && se.en.deps.Guard != nil {
		ho := se.hold()
		if ho.values == nil {
			ho.values = se.en.deps.Guard.Open(se.holder(), func() {})
		}
		if err := ho.values.Reserve(int64(size)*valuesCost, se.en.deps.Now().Add(reserveWait)); err != nil {
			return se.refuseAndAbort(codes.From(err))
		}
		ho.values.Release(int64(size) * valuesCost)
	}
	se.vars = next
	return se.success()
}

// writeOut sends out. A long answer must be received with progress.
func (se *session) writeOut() error {
	rest := se.out
	if len(rest) <= progressBytes {
		_ = se.net.SetWriteDeadline(time.Now().Add(messageTimeout))
		_, err := se.net.Write(rest)
		return err
	}
	for len(rest) > 0 {
		if se.isEvicted() {
			return os.ErrDeadlineExceeded
		}
		_ = se.net.SetWriteDeadline(time.Now().Add(se.en.deps.Guard.Stall()))
		if se.held != nil {
			se.held.message.SetWaiting(true)
		}
		count, err := se.net.Write(rest[:min(len(rest), progressBytes)])
		if err != nil {
			return err
		}
		rest = rest[count:]
	}
	if se.held != nil {
		se.held.message.SetWaiting(false)
	}
	return nil
}
