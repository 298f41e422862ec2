package pool

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"banyanspring/core/budget"
	"banyanspring/core/codes"
	"banyanspring/core/stmt"
	"banyanspring/io/guard"
)

// Server runs the batches that other instances send to this one as a home or a
// deputy. It is safe for concurrent use.
type Server struct {
	// find returns the pool of an upstream, or nil if the upstream is unknown or
	// this instance is shutting down.
	find func(upstream string) *Pool
	now  func() time.Time
	// restLimit is described at LimitRest; nil if there is no limit.
	restLimit func() time.Duration
	// held counts the connections in use by batches or transactions of other
	// instances.
	held  atomic.Int32
	guard *guard.Guard
}

// NewServer returns a server that holds no connections. The guard bounds the memory of
// messages and answers; it may be nil.
func NewServer(now func() time.Time, gu *guard.Guard, find func(upstream string) *Pool) *Server {
	return &Server{find: find, now: now, guard: gu}
}

// LimitRest makes the server end transactions between two statements, if others wait for their
// connections and the last statement was answered for longer ago than the limit; no transaction
// is ended while it is 0. It is called before Serve.
func (sv *Server) LimitRest(limit func() time.Duration) { sv.restLimit = limit }

// Held returns how many connections are in use by batches or transactions of other
// instances.
func (sv *Server) Held() int { return int(sv.held.Load()) }

// linkSession is the state of one link from another instance.
type linkSession struct {
	*Server
	// conn is nil unless a batch is running or a transaction is open.
	conn       *Conn
	upstreamID string
	// usedAt is when the last batch was run.
	usedAt time.Time
	// isLost is true once the link's transaction was ended at rest, until its rollback arrives.
	isLost bool
	// account is what the link's message and answers hold; nil if there is no budget.
	account *guard.Account
}

// Serve runs the batches that arrive over a link until the link ends or a message is
// invalid. An open transaction is then rolled back.
func (sv *Server) Serve(raw net.Conn) {
	defer func() { _ = raw.Close() }()
	ls := &linkSession{Server: sv, account: sv.guard.Open(linkHolder(raw), func() { _ = raw.Close() })}
	defer ls.account.Close()
	defer ls.end()
	in := &messageReader{rd: raw, reserve: ls.reserve, onPartial: func() {
		_ = raw.SetReadDeadline(time.Now().Add(sv.guard.Stall()))
	}}
	enc, dec := cbor.NewEncoder(raw), cbor.NewDecoder(in)
	for {
		var msg batchMessage
		in.begin(maxMessageBytes)
		if !ls.awaitMessage(raw, in, dec) {
			return
		}
		err := dec.Decode(&msg)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err) {
			return
		}
		if in.isPartial {
			_ = raw.SetReadDeadline(time.Time{})
		}
		answer := invalidMessage(err)
		if err == nil {
			answer = ls.run(msg)
		}
		ls.usedAt = ls.now()
		_ = raw.SetWriteDeadline(time.Now().Add(relayWriteTimeout))
		if err := enc.Encode(answer); err != nil {
			return
		}
		ls.account.Release(0)
		if endsLink(codes.Code(answer.Refusal)) {
			discardInput(raw)
			return
		}
	}
}

func isNetError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne)
}

// maxMessageBytes is the maximum size of a message that a home reads: one statement of a
// megabyte and the values of its session.
const maxMessageBytes = 16 << 20

var errMessageTooLarge = errors.Newf("more than %d bytes", maxMessageBytes)

// linkHolder returns the holder of what a link's messages take: the other instance.
func linkHolder(raw net.Conn) string {
	host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	return "instance:" + host
}

const (
	// relayCost is how many bytes a byte of a relayed message or answer takes: in the
	// decoder's buffer, in the decoded message, and encoded again.
	relayCost = 4
	// reserveWait is how long a message or an answer waits for the budget.
	reserveWait = 300 * time.Millisecond
	// unreservedBytes is the size up to which a relayed message is not reserved.
	unreservedBytes = 4096
)

// reserve reserves the message that the link reads, or the answer to it.
func (ls *linkSession) reserve(total int) error {
	return ls.account.Reserve(int64(total)*relayCost, ls.now().Add(reserveWait))
}

// messageReader reads at most left bytes, which is set anew for each message.
type messageReader struct {
	rd   io.Reader
	left int
	// first is a byte that was read ahead; it is there if hasFirst is true.
	first    byte
	hasFirst bool
	// got is how much of the message was read.
	got int
	// reserve reserves the message once it is longer than unreservedBytes.
	reserve budget.Reserve
	// isPartial is true once the message did not arrive in one piece. onPartial is
	// called before each further piece; nil if there is nothing to do.
	isPartial bool
	onPartial func()
}

// begin prepares for the next message, of at most limit bytes.
func (mr *messageReader) begin(limit int) { mr.left, mr.got, mr.isPartial = limit, 0, false }

// Read implements io.Reader.
func (mr *messageReader) Read(buf []byte) (int, error) {
	if mr.left <= 0 {
		return 0, errMessageTooLarge
	}
	if mr.hasFirst && len(buf) > 0 {
		buf[0], mr.hasFirst = mr.first, false
		mr.left--
		return 1, nil
	}
	if mr.got > 0 && mr.onPartial != nil {
		mr.isPartial = true
		mr.onPartial()
	}
	num, err := mr.rd.Read(buf[:min(len(buf), mr.left)])
	mr.left -= num
	mr.got += num
	if mr.got > unreservedBytes {
		if err := mr.reserve.Grow(mr.got); err != nil {
			return 0, err
		}
	}
	return num, err
}

// discardInput ends the link for the other instance and reads a message's size of the rest
// of its input: closing a connection with input that was not read would reset it, and the
// answer might be lost.
func discardInput(raw net.Conn) {
	if half, ok := raw.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	_ = raw.SetReadDeadline(time.Now().Add(relayWriteTimeout))
	_, _ = io.CopyN(io.Discard, raw, maxMessageBytes)
}

// endsLink reports whether a home closes the link after the refusal: the message was not
// read whole or is invalid.
func endsLink(co codes.Code) bool {
	return co == codes.ProtocolViolation || co == codes.MessageTooLarge || co == codes.MemoryFull
}

// invalidMessage returns the answer to a message that cannot be read, which ends the link.
func invalidMessage(err error) resultsMessage {
	var ref *codes.Refusal
	if errors.As(err, &ref) {
		return resultsMessage{Refusal: uint32(ref.Code), Detail: ref.Detail}
	}
	if errors.Is(err, errMessageTooLarge) {
		return resultsMessage{Refusal: uint32(codes.MessageTooLarge), Detail: err.Error()}
	}
	return resultsMessage{Refusal: uint32(codes.ProtocolViolation), Detail: fmt.Sprint(err)}
}

// relayWriteTimeout bounds the sending of results. It ends the link of an instance
// that has stopped reading.
const relayWriteTimeout = time.Second

// end discards the link's connection, if it holds one.
func (ls *linkSession) end() {
	if ls.conn != nil {
		ls.conn.pool.Discard(ls.conn)
		ls.conn = nil
		ls.held.Add(-1)
	}
}

// run runs one batch on the link's connection. If the link holds none, it first
// acquires one from the pool.
func (ls *linkSession) run(msg batchMessage) resultsMessage {
	if answer, ok := ls.answerLost(msg); ok {
		return answer
	}
	po := ls.pool(msg)
	switch {
	case po == nil:
		return resultsMessage{Refusal: uint32(codes.NotHome), Detail: msg.Upstream}
	case ls.conn != nil && ls.upstreamID != msg.Upstream:
		return resultsMessage{Refusal: uint32(codes.InvariantBroken), Detail: "link holds " + ls.upstreamID}
	case ls.conn != nil && ls.conn.workspace != msg.Workspace:
		// The workspace is not named: the answer may reach a caller of another one.
		return resultsMessage{Refusal: uint32(codes.InvariantBroken), Detail: "link holds a connection of another workspace"}
	}
	ba, err := toBatch(msg, po.deps.Codec)
	if err != nil {
		return invalidMessage(err)
	}
	ba.Reserve = ls.reserveAnswer(ls.account.Held())
	cr := msg.connRequest(ls.now())
	cr.IsSystem = ba.isSystem()
	if ls.conn == nil {
		co, err := po.AcquireLocal(cr)
		if err != nil {
			ref := codes.From(err)
			return resultsMessage{Refusal: uint32(ref.Code), Detail: ref.Detail}
		}
		ls.conn, ls.upstreamID = co, msg.Upstream
		ls.held.Add(1)
	}
	results, err := ls.conn.Run(ba, cr.Deadline)
	var ref *codes.Refusal
	if errors.As(err, &ref) {
		ls.finishBatch(msg, ls.conn.state)
		return resultsMessage{Refusal: uint32(ref.Code), Detail: ref.Detail}
	}
	if err != nil {
		ls.end()
		return resultsMessage{
			Broken: err.Error(), NotSent: errors.Is(err, ErrNotSent), TimedOut: errors.Is(err, os.ErrDeadlineExceeded),
		}
	}
	ls.finishBatch(msg, results[len(results)-1].State)
	return resultsMessage{Results: toMessages(results)}
}

// reserveAnswer returns a function that reserves answers in addition to base.
func (ls *linkSession) reserveAnswer(base int64) budget.Reserve {
	if ls.account == nil {
		return nil
	}
	return func(total int) error {
		return ls.account.Reserve(base+int64(total)*relayCost/2, ls.now().Add(reserveWait))
	}
}

// pool returns the pool that runs the batch: that of the link's connection if it holds
// one. It returns nil if this instance is not a home of the upstream.
func (ls *linkSession) pool(msg batchMessage) *Pool {
	if ls.conn != nil {
		return ls.conn.pool
	}
	po := ls.find(msg.Upstream)
	if po == nil || po.currentShare().Quota == 0 {
		return nil
	}
	return po
}

// finishBatch releases the connection after a batch if no transaction is open on
// it. If one is, the link keeps the connection if the batch has Keep set, and
// discards it otherwise.
func (ls *linkSession) finishBatch(msg batchMessage, state stmt.State) {
	switch {
	case state == stmt.Idle:
		ls.conn.pool.Release(ls.conn)
		ls.conn = nil
		ls.held.Add(-1)
	case !msg.Keep:
		ls.end()
	}
}
