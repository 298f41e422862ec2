package pool

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"banyanspring/core/codes"
	"banyanspring/core/stmt"
)

// Server runs the batches of other instances. It is safe for concurrent use.
type Server struct {
	// find returns the pool of an upstream, or nil if this instance is not, or
	// no longer, its home.
	find func(upstream string) *Pool
	now  func() time.Time
	held atomic.Int32
}

// NewServer returns a server that holds nothing.
func NewServer(now func() time.Time, find func(upstream string) *Pool) *Server {
	return &Server{find: find, now: now}
}

// Held returns how many connections are kept for transactions of others.
func (sv *Server) Held() int { return int(sv.held.Load()) }

// lease is what one link holds at this home.
type lease struct {
	*Server
	// conn is nil unless a transaction is kept open for the link.
	conn *Conn
	id   string
}

// Serve runs the batches that come over a link until it ends. What it holds is
// rolled back then.
func (sv *Server) Serve(raw net.Conn) {
	defer func() { _ = raw.Close() }()
	le := &lease{Server: sv}
	defer le.end()
	enc, dec := cbor.NewEncoder(raw), cbor.NewDecoder(raw)
	for {
		var msg batchMessage
		if err := dec.Decode(&msg); err != nil {
			return
		}
		answer := le.run(msg)
		_ = raw.SetWriteDeadline(time.Now().Add(relayWrite))
		if err := enc.Encode(answer); err != nil {
			return
		}
	}
}

// relayWrite bounds the sending of results to an instance that does not read.
const relayWrite = time.Second

func (le *lease) end() {
	if le.conn != nil {
		le.conn.pool.Discard(le.conn)
		le.conn = nil
		le.held.Add(-1)
	}
}

// run runs one batch on the connection kept or on one from the pool.
func (le *lease) run(msg batchMessage) resultsMessage {
	as := msg.ask(le.now())
	if le.conn == nil {
		po := le.find(msg.Upstream)
		if po == nil || po.currentShare().Quota == 0 {
			return resultsMessage{Refusal: uint32(codes.NotHome), Detail: msg.Upstream}
		}
		co, err := po.AcquireHere(as)
		if err != nil {
			ref := codes.From(err)
			return resultsMessage{Refusal: uint32(ref.Code), Detail: ref.Detail}
		}
		le.conn, le.id = co, msg.Upstream
		le.held.Add(1)
	}
	if le.id != msg.Upstream {
		return resultsMessage{Refusal: uint32(codes.InvariantBroken), Detail: "link holds " + le.id}
	}
	results, err := le.conn.Run(toBatch(msg), as.Deadline)
	var ref *codes.Refusal
	if errors.As(err, &ref) {
		le.settle(msg, le.conn.state)
		return resultsMessage{Refusal: uint32(ref.Code), Detail: ref.Detail}
	}
	if err != nil {
		le.end()
		return resultsMessage{
			Broken: err.Error(), NotSent: errors.Is(err, ErrNotSent), TimedOut: errors.Is(err, os.ErrDeadlineExceeded),
		}
	}
	le.settle(msg, results[len(results)-1].State)
	return resultsMessage{Results: toMessages(results)}
}

// settle keeps or returns the connection after a batch.
func (le *lease) settle(msg batchMessage, state stmt.State) {
	switch {
	case state == stmt.Idle:
		le.conn.pool.Release(le.conn)
		le.conn = nil
		le.held.Add(-1)
	case !msg.Keep:
		le.end()
	}
}
