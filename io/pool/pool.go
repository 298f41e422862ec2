// Package pool keeps the few connections that this instance may have to each
// upstream, and shares them fairly among its sessions.
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

// Settings bounds the pools.
type Settings struct {
	// Waiting bounds the requests that wait for one upstream's connections.
	Waiting int
	// ConnectTimeout bounds the set-up of one connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection may stay unused. It is long, since a
	// new connection takes one of the upstream's slots for a while.
	IdleTimeout time.Duration
	// CheckAfter is how long a connection may have been unused before it is
	// tried out ahead of a statement that must not be lost in a dead one.
	CheckAfter time.Duration
}

// Seams are what the pools need from outside.
type Seams struct {
	Now func() time.Time
	// Dial connects to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Relays reaches homes; nil if there are none.
	Relays *Relays
	Codec
}

// Pool holds the connections to one life of one upstream. It is safe for
// concurrent use.
type Pool struct {
	upstream group.Upstream
	settings Settings
	seams    Seams
	// gate shares the connections, and slots what runs on them at once. links
	// bounds the batches that are under way to the homes.
	gate, slots, links *gate.Gate

	mu sync.Mutex
	// idle holds the unused connections, last used last.
	idle []*Conn
	// share is what this instance has of the upstream's connections.
	share  share.Share
	closed bool
	// dialing counts the connections that are being opened; at most dialsAtOnce.
	dialing int
	// fullUntil is until when no connection is opened, since the upstream had no
	// room for one more.
	fullUntil time.Time
	// turn ends when a connection becomes idle or one that was being opened
	// fails; it is replaced then.
	turn *turn
	// open counts connections, those under way included.
	open atomic.Int32
	// nearest is the shortest connect time seen, a bound on the round trip.
	nearest atomic.Int64
}

// New returns a pool without connections and without a share of them.
func New(up group.Upstream, se Settings, sm Seams) *Pool {
	return &Pool{
		upstream: up,
		settings: se,
		seams:    sm,
		gate:     gate.New(1, se.Waiting, sm.Now),
		slots:    gate.New(depth(up, 1), se.Waiting, sm.Now),
		links:    gate.New(relayed, se.Waiting, sm.Now),
		turn:     newTurn(),
	}
}

// relayed bounds the batches that are under way to an upstream's homes at once;
// the homes queue them fairly.
const relayed = 64

// Upstream returns what the pool connects to.
func (po *Pool) Upstream() group.Upstream { return po.upstream }

const (
	// queueDepth is how many statements should be at an upstream for each of its
	// slots: enough that a slot is never idle for the time of a round trip.
	// What is beyond waits here, where it is put in order and refused in time;
	// an upstream refuses what comes while its queue is full, whoever it is.
	queueDepth = 4
	// leastDepth lets a holder keep both sides of a round trip busy.
	leastDepth = 2
)

// depth returns how many statements one of the holders may have at the upstream.
func depth(up group.Upstream, holders int) int {
	return max(leastDepth, queueDepth*max(up.Slots, 1)/max(holders, 1))
}

// SetShare changes how many connections the pool may have, and through whom it
// reaches the upstream if these are not for the callers here.
func (po *Pool) SetShare(sh share.Share) {
	po.mu.Lock()
	isSame := po.share.Quota == sh.Quota && po.share.Holders == sh.Holders
	po.share = sh
	po.mu.Unlock()
	if isSame {
		return
	}
	po.gate.SetSlots(max(1, sh.Quota))
	po.slots.SetSlots(depth(po.upstream, sh.Holders))
	po.trim()
}

func (po *Pool) currentShare() share.Share {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.share
}

// isRelayed reports whether callers here reach the upstream through others.
func (po *Pool) isRelayed(sh share.Share) bool {
	return po.seams.Relays != nil && (sh.Quota == 0 || sh.IsDeputy)
}

// Load returns how many requests from here are under way and how many more may
// be, and how many wait for a connection or for a slot.
func (po *Pool) Load() (running, room, waiting int) {
	sh := po.currentShare()
	if po.isRelayed(sh) {
		running, waiting = po.links.Load()
		return running, relayed, waiting
	}
	running, waiting = po.gate.Load()
	_, queued := po.slots.Load()
	return running, max(1, sh.Quota), waiting + queued
}

// RoundTrip returns a bound on the round trip to the upstream; zero if unknown.
func (po *Pool) RoundTrip() time.Duration { return time.Duration(po.nearest.Load()) }

// Ask is a request for a connection.
type Ask struct {
	Caller string
	// Aim is when the statement should be answered; those that can be go first.
	// Zero if it makes no difference.
	Aim time.Time
	// Patience is until when the wait for a turn may last, and Deadline until
	// when the whole.
	Patience, Deadline time.Time
}

// Acquire returns a connection for the caller alone, through a home or a deputy
// if the ones here are not for the callers here. It must be given back by
// Release or by Discard. It is refused if the wait would last too long. The error
// is a *codes.Refusal; nothing was sent.
func (po *Pool) Acquire(as Ask) (*Conn, error) {
	sh := po.currentShare()
	if !po.isRelayed(sh) {
		return po.AcquireHere(as)
	}
	address, ok := po.seams.Relays.choose(sh.Homes)
	if !ok && sh.IsDeputy {
		return po.AcquireHere(as)
	}
	if !ok {
		address, ok = po.seams.Relays.choose(sh.Deputies)
	}
	if !ok {
		return nil, codes.Refuse(codes.PeerUnreached, "none of %d homes and %d deputies is in reach", len(sh.Homes), len(sh.Deputies))
	}
	return po.acquireRelayed(as, address)
}

// item returns the ask as the queues know it.
func (po *Pool) item(as Ask) admit.Item {
	return admit.Item{Caller: as.Caller, Weight: 1, Limit: po.settings.Waiting, Aim: as.Aim, Deadline: as.Patience}
}

// AcquireHere returns a connection of the ones here, as Acquire does.
func (po *Pool) AcquireHere(as Ask) (*Conn, error) {
	item := po.item(as)
	release, err := po.gate.Acquire(context.Background(), item)
	if err != nil {
		return nil, err
	}
	// The slot comes before the connection: a connection that is opened only to
	// wait for a slot takes one itself.
	slot, err := po.slots.Acquire(context.Background(), item)
	if err != nil {
		release()
		return nil, err
	}
	co, err := po.connect(as.Deadline)
	if err != nil {
		slot()
		release()
		return nil, err
	}
	co.release, co.slot, co.caller = release, slot, as.Caller
	return co, nil
}

// acquireRelayed returns a connection through the instance at the address, which
// takes its own connection when the first batch arrives.
func (po *Pool) acquireRelayed(as Ask, address string) (*Conn, error) {
	release, err := po.links.Acquire(context.Background(), po.item(as))
	if err != nil {
		return nil, err
	}
	re, err := po.seams.Relays.take(address)
	if err != nil {
		release()
		return nil, codes.Refuse(codes.PeerUnreached, "%v", err)
	}
	return &Conn{pool: po, relay: re, ask: as, caller: as.Caller, release: release}, nil
}

// Release gives a connection back that is in no transaction and has no answer
// outstanding.
func (po *Pool) Release(co *Conn) {
	if co.relay != nil {
		co.relay.rs.give(co.relay)
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

// Discard gives a connection back after an error. One whose statement timed out
// is kept, with its slot, until the answer has come: the upstream is still at
// work on it. Any other is closed.
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
	po.endTurn(nil)
}

// Close closes idle connections; those in use are closed when given back.
func (po *Pool) Close() {
	po.mu.Lock()
	po.closed = true
	idle := po.idle
	po.idle = nil
	po.endTurn(nil)
	po.mu.Unlock()
	for _, co := range idle {
		po.drop(co)
	}
}

// Sweep closes connections that were unused for too long or are over the quota.
func (po *Pool) Sweep() {
	now := po.seams.Now()
	po.closeWhile(func(oldest *Conn) bool {
		return int(po.open.Load()) > po.share.Quota || now.Sub(oldest.lastUsed) >= po.settings.IdleTimeout
	})
}

// trim closes idle connections over the quota.
func (po *Pool) trim() {
	po.closeWhile(func(*Conn) bool { return int(po.open.Load()) > po.share.Quota })
}

// closeWhile closes idle connections, longest unused first, while the condition
// holds for the next one; mu is held when it is asked.
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

// check is the round of statements that tries a connection out: it takes no
// slot and changes nothing.
var check = []stmt.Statement{{Kind: stmt.BeginRead}, {Kind: stmt.Rollback}}

// LeadQuestion is the round of statements that a leader alone answers with
// success; it takes no slot and changes nothing.
var LeadQuestion = []stmt.Statement{{Kind: stmt.Begin}, {Kind: stmt.Rollback}}
