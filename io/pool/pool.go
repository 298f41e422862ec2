// Package pool manages the few connections that this instance may have to each
// upstream, and shares them fairly among its callers. An instance without
// connections of its own sends its batches through a home: an instance that holds
// connections to the upstream for the others. Deputies serve the instances that
// reach no home.
package pool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/admit"
	"banyanspring/core/codes"
	"banyanspring/core/group"
	"banyanspring/core/share"
	"banyanspring/core/stmt"
	"banyanspring/io/gate"
)

// Settings configures the pools.
type Settings struct {
	// Waiting bounds the number of requests that wait for one upstream's
	// connections.
	Waiting int
	// ConnectTimeout bounds the opening of one connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle. It is long, since a new
	// connection occupies one of the upstream's slots for a while.
	IdleTimeout time.Duration
	// CheckAfter is how long a connection may have been idle before it is checked
	// ahead of the next statement, which must not be lost on a dead connection.
	CheckAfter time.Duration
}

// Dependencies holds the pools' external dependencies.
type Dependencies struct {
	Now func() time.Time
	// Dial connects to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Relays connects to homes and deputies; nil if there are none.
	Relays *Relays
	Codec
}

// Pool holds the connections to one incarnation of one upstream. It is safe for
// concurrent use.
type Pool struct {
	upstream group.Upstream
	settings Settings
	deps     Dependencies
	// connGate bounds the connections in use, slotGate the statements that run on
	// them at once, and relayGate the batches in flight to the homes.
	connGate, slotGate, relayGate *gate.Gate

	mu sync.Mutex
	// idle holds the idle connections, most recently used last.
	idle []*Conn
	// share is this instance's share of the upstream's connections.
	share  share.Share
	closed bool
	// dialing counts the connections that are being opened; at most
	// maxConcurrentDials.
	dialing int
	// fullUntil is until when no connection is opened, since the upstream had
	// none left.
	fullUntil time.Time
	// wakeup is closed and replaced when a connection becomes idle or is closed,
	// or one that was being opened fails.
	wakeup *wakeup
	// open counts the connections, including those that are being opened.
	open atomic.Int32
	// minConnectTime is the shortest connect time seen in nanoseconds, an upper
	// bound of the round trip; 0 if there is none.
	minConnectTime atomic.Int64
}

// New returns a pool without connections and without a share.
func New(up group.Upstream, se Settings, dep Dependencies) *Pool {
	return &Pool{
		upstream:  up,
		settings:  se,
		deps:      dep,
		connGate:  gate.New(1, se.Waiting, dep.Now),
		slotGate:  gate.New(queueDepth(up, 1), se.Waiting, dep.Now),
		relayGate: gate.New(maxRelayedBatches, se.Waiting, dep.Now),
		wakeup:    newWakeup(),
	}
}

// maxRelayedBatches bounds the batches in flight to an upstream's homes; the homes
// queue them fairly.
const maxRelayedBatches = 64

// Upstream returns the upstream that the pool connects to.
func (po *Pool) Upstream() group.Upstream { return po.upstream }

const (
	// queueDepthPerSlot is how many statements should be at an upstream for each
	// of its slots: enough that no slot is idle for a round trip. Further
	// statements wait in this instance, which orders them and refuses them in
	// time; an upstream with a full queue refuses any caller's statement.
	queueDepthPerSlot = 4
	// minQueueDepth lets a holder have one statement running and one on the
	// network.
	minQueueDepth = 2
)

// queueDepth returns how many statements each of the holders may have at the
// upstream.
func queueDepth(up group.Upstream, holders int) int {
	return max(minQueueDepth, queueDepthPerSlot*max(up.Slots, 1)/max(holders, 1))
}

// SetShare sets how many connections the pool may have, and the homes and deputies
// through which this instance's callers reach the upstream if they don't use
// these connections.
func (po *Pool) SetShare(sh share.Share) {
	po.mu.Lock()
	isSame := po.share.Quota == sh.Quota && po.share.Holders == sh.Holders
	po.share = sh
	po.mu.Unlock()
	if isSame {
		return
	}
	po.connGate.SetSlots(max(1, sh.Quota))
	po.slotGate.SetSlots(queueDepth(po.upstream, sh.Holders))
	po.trim()
}

func (po *Pool) currentShare() share.Share {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.share
}

// isRelayed reports whether this instance's callers reach the upstream through
// other instances.
func (po *Pool) isRelayed(sh share.Share) bool {
	return po.deps.Relays != nil && (sh.Quota == 0 || sh.IsDeputy)
}

// Load returns how many of this instance's requests are running, how many may run
// at once, and how many wait for a connection or a slot.
func (po *Pool) Load() (running, capacity, waiting int) {
	sh := po.currentShare()
	if po.isRelayed(sh) {
		running, waiting = po.relayGate.Load()
		return running, maxRelayedBatches, waiting
	}
	running, waiting = po.connGate.Load()
	_, queued := po.slotGate.Load()
	return running, max(1, sh.Quota), waiting + queued
}

// RoundTrip returns an upper bound of the round trip to the upstream; zero if
// unknown.
func (po *Pool) RoundTrip() time.Duration { return time.Duration(po.minConnectTime.Load()) }

// ConnRequest is a request for a connection.
type ConnRequest struct {
	Caller string
	// SoftDeadline is when the statement should be answered. Statements that can still be
	// answered by then go first. Zero if there is no latency objective.
	SoftDeadline time.Time
	// QueueDeadline bounds the wait in the queue, and Deadline the whole request.
	QueueDeadline, Deadline time.Time
}

// Acquire returns a connection for the caller's exclusive use, through a home or a
// deputy if this instance's own are not for its callers. It must be returned by
// Release or Discard. The request is refused if the wait would be too long. The
// error is a *codes.Refusal, and no statement was sent.
func (po *Pool) Acquire(cr ConnRequest) (*Conn, error) {
	sh := po.currentShare()
	if !po.isRelayed(sh) {
		return po.AcquireLocal(cr)
	}
	address, ok := po.deps.Relays.choose(sh.Homes)
	if !ok && sh.IsDeputy {
		return po.AcquireLocal(cr)
	}
	if !ok {
		address, ok = po.deps.Relays.choose(sh.Deputies)
	}
	if !ok {
		return nil, codes.Refuse(codes.PeerUnreached, "none of %d homes and %d deputies is in reach", len(sh.Homes), len(sh.Deputies))
	}
	return po.acquireRelayed(cr, address)
}

// item returns the queue item for the request.
func (po *Pool) item(cr ConnRequest) admit.Item {
	return admit.Item{Caller: cr.Caller, Weight: 1, Limit: po.settings.Waiting, SoftDeadline: cr.SoftDeadline, Deadline: cr.QueueDeadline}
}

// AcquireLocal returns one of this instance's own connections, as Acquire does.
func (po *Pool) AcquireLocal(cr ConnRequest) (*Conn, error) {
	item := po.item(cr)
	release, err := po.connGate.Acquire(context.Background(), item)
	if err != nil {
		return nil, err
	}
	// The slot is acquired before the connection: opening a connection occupies a
	// slot of the upstream too, and would be of no use without one.
	slot, err := po.slotGate.Acquire(context.Background(), item)
	if err != nil {
		release()
		return nil, err
	}
	co, err := po.connect(cr.Deadline)
	if err != nil {
		slot()
		release()
		return nil, err
	}
	co.release, co.slot, co.caller = release, slot, cr.Caller
	return co, nil
}

// acquireRelayed returns a connection through the instance at the address. That
// instance acquires one of its own connections when the first batch arrives.
func (po *Pool) acquireRelayed(cr ConnRequest, address string) (*Conn, error) {
	release, err := po.relayGate.Acquire(context.Background(), po.item(cr))
	if err != nil {
		return nil, err
	}
	re, err := po.deps.Relays.take(address)
	if err != nil {
		release()
		return nil, codes.Refuse(codes.PeerUnreached, "%v", err)
	}
	return &Conn{pool: po, relay: re, request: cr, caller: cr.Caller, release: release}, nil
}

// Release returns a connection that has no open transaction and no outstanding
// answer.
func (po *Pool) Release(co *Conn) {
	if co.relay != nil {
		co.relay.rs.release(co.relay)
		co.release()
		return
	}
	co.freeSlot()
	release := co.release
	po.mu.Lock()
	isKept := po.keep(co)
	po.mu.Unlock()
	if !isKept {
		po.drop(co)
	}
	release()
}

// Discard returns a connection after an error. If a statement timed out, the
// connection keeps its slot until the answer arrives, because the upstream is
// still running the statement; it is then used again. Otherwise it is closed.
func (po *Pool) Discard(co *Conn) {
	if co.relay == nil && co.outstanding > 0 {
		go func() {
			if co.drain() {
				po.Release(co)
				return
			}
			po.discard(co)
		}()
		return
	}
	po.discard(co)
}

func (po *Pool) discard(co *Conn) {
	co.freeSlot()
	po.drop(co)
	co.release()
}

func (po *Pool) drop(co *Conn) {
	if co.relay != nil {
		co.relay.rs.drop(co.relay)
		return
	}
	_ = co.net.Close()
	po.mu.Lock()
	defer po.mu.Unlock()
	po.open.Add(-1)
	po.wakeWaiters(nil)
}

// Close closes the idle connections; those in use are closed when they are
// returned.
func (po *Pool) Close() {
	po.mu.Lock()
	po.closed = true
	idle := po.idle
	po.idle = nil
	po.wakeWaiters(nil)
	po.mu.Unlock()
	for _, co := range idle {
		po.drop(co)
	}
}

// Sweep closes idle connections that have reached the idle timeout or exceed the
// quota.
func (po *Pool) Sweep() {
	now := po.deps.Now()
	po.closeWhile(func(oldest *Conn) bool {
		return int(po.open.Load()) > po.share.Quota || now.Sub(oldest.lastUsed) >= po.settings.IdleTimeout
	})
}

// trim closes idle connections that exceed the quota.
func (po *Pool) trim() {
	po.closeWhile(func(*Conn) bool { return int(po.open.Load()) > po.share.Quota })
}

// closeWhile closes idle connections, longest idle first, while the condition
// holds for the next one. The condition is called with mu held.
func (po *Pool) closeWhile(condition func(oldest *Conn) bool) {
	for {
		po.mu.Lock()
		if len(po.idle) == 0 || !condition(po.idle[0]) {
			po.mu.Unlock()
			return
		}
		co := po.idle[0]
		po.idle = po.idle[1:]
		po.mu.Unlock()
		po.drop(co)
	}
}

// livenessCheck is the round of statements that checks a connection. It takes no
// slot and changes nothing.
var livenessCheck = []stmt.Statement{{Kind: stmt.BeginRead}, {Kind: stmt.Rollback}}

// LeadershipProbe is the round of statements that probes an upstream's leadership:
// only a leader accepts Begin. It takes no slot and changes nothing.
var LeadershipProbe = []stmt.Statement{{Kind: stmt.Begin}, {Kind: stmt.Rollback}}
