package pool

import (
	"bufio"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"banyanspring/core/budget"
	"banyanspring/core/codes"
	"banyanspring/core/stmt"
	"banyanspring/core/vars"
)

// Codec encodes and decodes the messages of upstream connections.
type Codec struct {
	// AppendHello encodes the first message of a connection, which names the
	// group, the workspace that the connection belongs to (empty if there is none) and the
	// ID of the upstream that must answer.
	AppendHello func(buf []byte, group, workspace, id string) []byte
	// AppendStatement encodes a statement.
	AppendStatement func(buf []byte, st stmt.Statement) []byte
	// CheckStatement returns an error unless the statement is encoded as exactly one
	// message that is read as the same statement. It is called for statements that come
	// from other instances.
	CheckStatement func(st stmt.Statement) error
	// CheckResult is the same for a result and the answer that is sent to a caller.
	CheckResult func(res stmt.Result) error
	// ReadHello reads the answer to the first message.
	ReadHello func(rd *bufio.Reader) (stmt.Result, error)
	// ReadResult reads the complete answer to one statement. Before it holds more of it
	// than rd does, it calls reserve, whose error it returns.
	ReadResult func(rd *bufio.Reader, reserve budget.Reserve) (stmt.Result, error)
	Control
}

// readBufferBytes is the size of a connection's read buffer; most answers fit.
const readBufferBytes = 2048

// Conn is an upstream connection. It may be used by one goroutine at a time.
type Conn struct {
	pool *Pool
	net  net.Conn
	rd   *bufio.Reader
	buf  []byte
	// vars holds the session variables and prepared statements that are set on the
	// connection.
	vars     vars.Conn
	lastUsed time.Time
	// link is set if the connection goes through a home or a deputy; net is nil
	// then.
	link *link
	// caller is the caller that uses the connection.
	caller string
	// flow is between whom the queues are fair; empty if the connection is relayed.
	flow string
	// weight is that of the flow, at least 1.
	weight uint32
	// workspace is the one that the connection was opened for, or whose batches a relayed one
	// sends; empty if there is none. It never changes.
	workspace string
	// request holds the deadlines for acquiring a connection at the home. Every
	// batch of a relayed connection carries them; the home uses them when it
	// acquires a connection for the first batch.
	request ConnRequest
	// state is the transaction state after the last batch.
	state stmt.State
	// outstanding counts the answers that had not arrived by the deadline.
	outstanding int
	// releaseStatement gives back the connection's place in statementGate; nil if
	// it has none.
	releaseStatement func()
	// releaseConn gives back its place in connGate, or in relayGate if it is
	// relayed.
	releaseConn func()
	// raw is nil for connections that are not TCP.
	raw syscall.RawConn
}

func newConn(po *Pool, raw net.Conn) *Conn {
	co := &Conn{pool: po, net: raw, rd: bufio.NewReaderSize(raw, readBufferBytes)}
	if sc, ok := raw.(syscall.Conn); ok {
		if got, err := sc.SyscallConn(); err == nil {
			co.raw = got
		}
	}
	return co
}

// InTransaction reports whether a transaction is open on the connection.
func (co *Conn) InTransaction() bool { return co.state == stmt.Open }

// IsContended reports whether requests wait in the gate that the connection has a place of, and
// no place is free for them.
func (co *Conn) IsContended() bool {
	if co.link != nil {
		return co.pool.relayGate.IsExhausted()
	}
	return co.pool.connGate.IsExhausted()
}

// hello sends the first message and returns the answer.
func (co *Conn) hello(deadline time.Time) (stmt.Result, error) {
	if err := co.setDeadline(deadline); err != nil {
		return stmt.Result{}, err
	}
	up := co.pool.upstream
	if _, err := co.net.Write(co.pool.deps.AppendHello(nil, up.Group, co.workspace, up.ID)); err != nil {
		return stmt.Result{}, err
	}
	return co.pool.deps.ReadHello(co.rd)
}

// setDeadline sets the connection's deadline, given on the pool's clock.
func (co *Conn) setDeadline(deadline time.Time) error {
	return co.net.SetDeadline(time.Now().Add(deadline.Sub(co.pool.deps.Now())))
}

// isAlive reports whether the upstream answers livenessCheck within ConnectTimeout
// and by the deadline.
func (co *Conn) isAlive(deadline time.Time) bool {
	limit := co.pool.deps.Now().Add(co.pool.settings.ConnectTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	_, err := co.Exchange(livenessCheck, limit)
	return err == nil
}

// ErrNotSent marks errors after which no statement can have reached the upstream
// in full.
var ErrNotSent = errors.New("nothing was sent")

// Exchange sends the statements in one write and reads an answer to each. After
// an error the connection must be discarded; the results then hold the answers
// that arrived before it.
func (co *Conn) Exchange(sts []stmt.Statement, deadline time.Time) ([]stmt.Result, error) {
	return co.exchangeReserved(sts, deadline, nil)
}

// exchangeReserved is Exchange with answers that are reserved while they are read.
func (co *Conn) exchangeReserved(sts []stmt.Statement, deadline time.Time, reserve budget.Reserve) ([]stmt.Result, error) {
	co.buf = co.buf[:0]
	for _, st := range sts {
		co.buf = co.pool.deps.AppendStatement(co.buf, st)
	}
	return co.exchange(len(sts), deadline, reserve)
}

// ErrNoMemory marks the failure of a connection whose answer did not fit into the budget of
// this process. It is not a failure of the upstream.
var ErrNoMemory = errors.New("no memory for the answer")

// exchange sends the contents of buf and reads count answers.
func (co *Conn) exchange(count int, deadline time.Time, reserve budget.Reserve) ([]stmt.Result, error) {
	if err := co.setDeadline(deadline); err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if co.isUnusable() {
		return nil, errors.Mark(errors.New("connection was closed by the upstream"), ErrNotSent)
	}
	wrote, err := co.net.Write(co.buf)
	if err != nil && wrote == 0 {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if err != nil {
		return nil, err
	}
	if cap(co.buf) > maxIdleBufferBytes {
		co.buf = nil
	}
	results := make([]stmt.Result, 0, count)
	for range count {
		res, err := co.pool.deps.ReadResult(co.rd, reserve)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				co.outstanding = count - len(results)
			}
			return results, answerError(err)
		}
		results = append(results, res)
	}
	return results, nil
}

// answerError returns the error of an answer that was not read to its end. It is never a refusal, which
// would say that nothing was run and that the connection can be used again.
func answerError(err error) error {
	var ref *codes.Refusal
	switch {
	case !errors.As(err, &ref):
		return err
	case ref.Code == codes.MemoryFull:
		return errors.Mark(errors.New(ref.Detail), ErrNoMemory)
	}
	return errors.Newf("answer cannot be read: %v", ref)
}

// drainTimeout is how long a connection whose statement timed out waits for the
// outstanding answers. Most arrive within a few service times, and opening a new
// connection would cost the upstream more than finishing them.
const drainTimeout = 2 * time.Second

// drain reads the outstanding answers, rolls back an open transaction, and
// reports whether the connection can be used again.
func (co *Conn) drain() bool {
	if err := co.setDeadline(co.pool.deps.Now().Add(drainTimeout)); err != nil {
		return false
	}
	var last stmt.Result
	for ; co.outstanding > 0; co.outstanding-- {
		res, err := co.pool.deps.ReadResult(co.rd, nil)
		if err != nil {
			return false
		}
		last = res
	}
	if last.State == stmt.Idle {
		co.state = stmt.Idle
		return true
	}
	results, err := co.Exchange([]stmt.Statement{{Kind: stmt.Rollback}}, co.pool.deps.Now().Add(drainTimeout))
	if err != nil || results[0].State != stmt.Idle {
		return false
	}
	co.state = stmt.Idle
	return true
}

// maxIdleBufferBytes is the size up to which a connection keeps its write buffer
// between statements.
const maxIdleBufferBytes = 16 << 10

// isUnusable reports whether the remote end has closed the connection or sent data
// that no statement asked for. It is called before a write, because the first write
// after the remote end has closed would still succeed.
func (co *Conn) isUnusable() bool {
	if co.rd.Buffered() > 0 {
		// No answer is outstanding, so that the buffered data is unexpected.
		return true
	}
	if co.raw == nil || co.pool.deps.Now().Sub(co.lastUsed) < closeCheckAfterIdle {
		return false
	}
	closed := false
	err := co.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n > 0 || err == nil || (err != unix.EAGAIN && err != unix.EINTR)
		return true
	})
	return closed || err != nil
}

// closeCheckAfterIdle is the time since its last use after which a connection is
// checked for a close by the remote end, which costs a system call. A close takes a
// round trip to arrive, so that an earlier check would seldom find one.
const closeCheckAfterIdle = 20 * time.Millisecond
