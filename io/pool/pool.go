// Package pool manages the few connections that this instance may have to each
// upstream, and shares them fairly among its callers. An instance without
// connections of its own sends its batches through a home: an instance that holds
// connections to the upstream and runs the batches of others on them. A deputy
// holds a few connections that are used only for instances, itself included, that
// reach no home. Package share decides which instances are homes and deputies.
package pool

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/admit"
	"banyanspring/core/codes"
	"banyanspring/core/conns"
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
	// UsesAllHomes reports whether a workspace is so large that its batches are spread over
	// all homes of an upstream. It is called for each batch and must not block. Nil if none is.
	UsesAllHomes func(workspace string) bool
	// Counts is shared by all pools; nil if nothing is counted.
	Counts *Counts
	Codec
}

// Counts counts connections since the start: those opened, closed for another workspace, used
// again, and refused because the upstream's connection limit was reached.
type Counts struct {
	Opened, Replaced, Reused, Full atomic.Int64
	// Rested counts transactions at rest that this instance ended as a home, while others waited
	// for their connections.
	Rested atomic.Int64
}

// Pool holds the connections to one incarnation of one upstream. It is safe for
// concurrent use.
type Pool struct {
	upstream group.Upstream
	settings Settings
	deps     Dependencies
	// connGate bounds the connections in use, statementGate the statements that
	// are queued or running at the upstream (see queueDepth), and relayGate the
	// batches in flight to homes and deputies.
	connGate, statementGate, relayGate *gate.Gate

	mu sync.Mutex
	// table decides which request gets which connection. It holds the idle ones.
	table *conns.Table[*Conn]
	// counted holds the table's counters that have been added to deps.Counts.
	counted conns.Counts
	// waiting holds, by the ID of each waiting request, the channel that delivers its
	// connection. The channel has a buffer of one, so that sending never blocks.
	waiting map[uint64]chan grant
	nextID  uint64
	// advanceAt is when the table is asked again; zero if no timer runs.
	advanceAt time.Time
	// share is this instance's share of the upstream's connections.
	share share.Share
	// minConnectTime is the shortest connect time seen in nanoseconds, an upper
	// bound of the round trip; 0 if there is none.
	minConnectTime atomic.Int64
}

// New returns a pool without connections and without a share.
func New(up group.Upstream, se Settings, dep Dependencies) *Pool {
	return &Pool{
		upstream:      up,
		settings:      se,
		deps:          dep,
		connGate:      gate.New(1, se.Waiting, dep.Now),
		statementGate: gate.New(queueDepth(up, 1), se.Waiting, dep.Now),
		relayGate:     gate.New(maxRelayedBatches, se.Waiting, dep.Now),
		table:         conns.New[*Conn](),
		waiting:       make(map[uint64]chan grant),
	}
}

// maxRelayedBatches bounds this instance's batches in flight to an upstream's homes
// and deputies. Further batches wait here. The queues of the homes divide the
// upstream fairly among the callers.
const maxRelayedBatches = 64

// Upstream returns the upstream that the pool connects to.
func (po *Pool) Upstream() group.Upstream { return po.upstream }

const (
	// queueDepthPerSlot is how many statements should be queued or running at an
	// upstream for each of its slots: enough that a slot that becomes free finds the
	// next statement there, instead of idling for a round trip. Further statements
	// wait in this instance, which orders them and refuses them in time; an upstream
	// with a full queue refuses any caller's statement.
	queueDepthPerSlot = 4
	// minQueueDepth lets each instance that has connections have one statement
	// running and one on the network.
	minQueueDepth = 2
)

// queueDepth returns how many statements one instance may have queued or running at
// the upstream if its connections are divided between the given number of holders
// (see share.Share).
func queueDepth(up group.Upstream, holders int) int {
	return max(minQueueDepth, queueDepthPerSlot*max(up.Slots, 1)/max(holders, 1))
}

// SetShare sets how many connections the pool may have, and the homes and deputies
// that relay the requests of this instance's callers if its quota is 0 or it is a
// deputy.
func (po *Pool) SetShare(sh share.Share) {
	po.mu.Lock()
	isSame := po.share.Quota == sh.Quota && po.share.Holders == sh.Holders
	po.share = sh
	var acts []action
	if !isSame {
		acts = po.table.SetQuota(po.deps.Now(), sh.Quota)
	}
	po.finish(acts)
	if isSame {
		return
	}
	// Without relays, requests use the pool's own connections even if the quota
	// is 0.
	po.connGate.SetSlots(max(1, sh.Quota))
	po.statementGate.SetSlots(queueDepth(po.upstream, sh.Holders))
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

// Load returns how many connections are in use, how many may be in use at once, and
// how many requests wait for one or to send a statement. If the callers' requests
// are relayed, it counts relayed batches instead of connections.
func (po *Pool) Load() (running, capacity, waiting int) {
	sh := po.currentShare()
	if po.isRelayed(sh) {
		running, waiting = po.relayGate.Load()
		return running, maxRelayedBatches, waiting
	}
	running, waiting = po.connGate.Load()
	_, queued := po.statementGate.Load()
	return running, max(1, sh.Quota), waiting + queued
}

// RoundTrip returns an upper bound of the round trip to the upstream; zero if
// unknown.
func (po *Pool) RoundTrip() time.Duration { return time.Duration(po.minConnectTime.Load()) }

// ConnRequest is a request for a connection.
type ConnRequest struct {
	Caller string
	// Workspace owns the connection; empty for statements of this system itself and of
	// callers without a workspace.
	Workspace string
	Fairness
	// IsSystem is true if the request is for statements of this system itself that change
	// nothing on the connection. They may run on a connection of any workspace.
	IsSystem bool
	// SoftDeadline is when the statement should be answered. Statements that can still be
	// answered by then go first. Zero if there is no latency objective.
	SoftDeadline time.Time
	// QueueDeadline bounds the wait in the queue, and Deadline the whole request.
	QueueDeadline, Deadline time.Time
}

// Fairness is how a request counts in the queues on its way to an upstream. Its zero value is
// that of requests without workspaces in the configuration.
type Fairness struct {
	// Weight is the relative share of the request's flow, from share.MinWeight to
	// share.MaxWeight; 0 if workspaces are not in use.
	Weight uint32
	// Priority orders requests under overload, up to MaxPriority; 0 goes first.
	Priority uint32
}

// MaxPriority is the highest priority number: that of a target and of a workspace are added.
const MaxPriority = 2_000_000_000

// isValid reports whether the values are within their bounds.
func (fa Fairness) isValid() bool {
	return fa.Weight >= share.MinWeight && fa.Weight <= share.MaxWeight && fa.Priority <= MaxPriority
}

// Acquire returns a connection for the caller's exclusive use. It is relayed through
// a home or a deputy if this instance has no quota or is a deputy; a deputy uses its
// own connections if no home can be used. The connection must be returned by Release
// or Discard. The request is refused if the wait would be too long. The error is a
// *codes.Refusal, and no statement was sent.
func (po *Pool) Acquire(cr ConnRequest) (*Conn, error) {
	sh := po.currentShare()
	if !po.isRelayed(sh) {
		return po.AcquireLocal(cr)
	}
	address, ok := po.chooseHome(sh.Homes, cr.Workspace)
	if !ok && sh.IsDeputy {
		return po.AcquireLocal(cr)
	}
	if !ok {
		address, ok = po.chooseHome(sh.Deputies, cr.Workspace)
	}
	if !ok {
		return nil, codes.Refuse(codes.PeerUnreached, "none of %d homes and %d deputies is in reach", len(sh.Homes), len(sh.Deputies))
	}
	return po.acquireRelayed(cr, address)
}

// chooseHome returns the home for a batch of the workspace. The batches of one workspace go to
// the same home, so that its connections there stay in use; those of a large one, and batches
// without a workspace, are spread over all homes.
func (po *Pool) chooseHome(homes []string, workspace string) (string, bool) {
	if workspace == "" || (po.deps.UsesAllHomes != nil && po.deps.UsesAllHomes(workspace)) {
		return po.deps.Relays.choose(homes)
	}
	return po.deps.Relays.chooseFirst(share.OrderHomes(workspace, homes))
}

// HasQuota reports whether this instance may have connections of its own.
func (po *Pool) HasQuota() bool { return po.currentShare().Quota > 0 }

// item returns the queue item for the request.
func (po *Pool) item(cr ConnRequest) admit.Item {
	item := admit.Item{Caller: cr.flow(), Weight: 1, Limit: po.settings.Waiting, SoftDeadline: cr.SoftDeadline, Deadline: cr.QueueDeadline}
	if cr.Weight > 0 {
		item.Weight, item.Priority = cr.Weight, cr.Priority
		item.ChargedIfServed, item.WaitingPerFree = true, waitingPerFree
	}
	return item
}

// flow is between whom the queues are fair: workspaces, or callers without one.
func (cr ConnRequest) flow() string { return cmp.Or(cr.Workspace, cr.Caller) }

const (
	// minSlotsToSpare is the number of slots from which a workspace leaves one free for requests
	// without a workspace, this system's probes among them.
	minSlotsToSpare = 4
	// heldPerFree is how many connections one workspace may have in use for each that is free:
	// 16 of 24 if no other has any. Idle transactions keep theirs for seconds, in which the
	// first request of another workspace must find one. From 3 connections on, one workspace
	// never has all.
	heldPerFree = 2
	// waitingPerFree is the same for the places of a queue: 333 of 500 if no other has any.
	waitingPerFree = 2
)

// holdItem returns the item of a request in a gate whose slots transactions keep.
func (po *Pool) holdItem(cr ConnRequest, slots int) admit.Item {
	item := po.item(cr)
	if cr.Workspace == "" {
		return item
	}
	item.YieldsAboveShare, item.HeldPerFree = true, heldPerFree
	if slots >= minSlotsToSpare {
		item.Spare = 1
	}
	return item
}

// AcquireLocal is like Acquire, but always returns one of this instance's own
// connections.
func (po *Pool) AcquireLocal(cr ConnRequest) (*Conn, error) {
	releaseConn, err := po.connGate.Acquire(context.Background(), po.holdItem(cr, max(1, po.currentShare().Quota)))
	if err != nil {
		return nil, err
	}
	// The place in statementGate is acquired before the connection: opening one
	// occupies a slot of the upstream, to no use if the statement cannot be sent.
	releaseStatement, err := po.statementGate.Acquire(context.Background(), po.item(cr))
	if err != nil {
		releaseConn()
		return nil, err
	}
	co, err := po.connect(cr)
	if err != nil {
		releaseStatement()
		releaseConn()
		return nil, err
	}
	co.releaseConn, co.releaseStatement, co.caller, co.flow = releaseConn, releaseStatement, cr.Caller, cr.flow()
	co.weight = max(1, cr.Weight)
	return co, nil
}

// acquireRelayed returns a connection through the instance at the address. That
// instance acquires one of its own connections when the first batch arrives.
func (po *Pool) acquireRelayed(cr ConnRequest, address string) (*Conn, error) {
	release, err := po.relayGate.Acquire(context.Background(), po.holdItem(cr, maxRelayedBatches))
	if err != nil {
		return nil, err
	}
	li, err := po.deps.Relays.take(address)
	if err != nil {
		release()
		return nil, codes.Refuse(codes.PeerUnreached, "%v", err)
	}
	return &Conn{pool: po, link: li, request: cr, caller: cr.Caller, workspace: cr.Workspace, releaseConn: release}, nil
}

// Release takes back a connection that has no open transaction and no outstanding
// answer. It is kept for the next request, unless the pool is closed or over its
// quota.
func (po *Pool) Release(co *Conn) {
	if co.link != nil {
		co.link.rs.release(co.link)
		co.releaseConn()
		return
	}
	co.leaveStatementGate()
	release := co.releaseConn
	po.mu.Lock()
	co.lastUsed = po.deps.Now()
	po.finish(po.table.Return(co.lastUsed, co.workspace, co))
	release()
}

// Discard takes back a connection after an error or with an open transaction. If a
// statement timed out, the upstream is still running it: the connection keeps its
// places in the gates until the answer arrives, and is then released. If there is no
// answer within drainTimeout, and in all other cases, it is closed.
func (po *Pool) Discard(co *Conn) {
	if co.link == nil && co.outstanding > 0 {
		go func() {
			if co.drain() {
				po.Release(co)
				return
			}
			po.closeAndRelease(co)
		}()
		return
	}
	po.closeAndRelease(co)
}

// closeAndRelease closes a connection and gives back its places in the gates.
func (po *Pool) closeAndRelease(co *Conn) {
	co.leaveStatementGate()
	po.closeConn(co)
	co.releaseConn()
}

// closeConn closes a connection, or its link if it is relayed. It leaves the gates
// as they are.
func (po *Pool) closeConn(co *Conn) {
	if co.link != nil {
		co.link.rs.closeLink(co.link)
		return
	}
	_ = co.net.Close()
	po.mu.Lock()
	po.finish(po.table.Closed(po.deps.Now(), co.workspace))
}

// Close closes the idle connections; those in use are closed when they are
// returned.
func (po *Pool) Close() {
	po.mu.Lock()
	po.finish(po.table.Shut())
}

// Sweep closes idle connections that have reached the idle timeout or exceed the
// quota.
func (po *Pool) Sweep() {
	now := po.deps.Now()
	po.mu.Lock()
	po.finish(po.table.Sweep(now, now.Add(-po.settings.IdleTimeout)))
}

// livenessCheck is sent to check whether the upstream answers on a connection. Its
// statements take no slot at the upstream and have no lasting effect.
var livenessCheck = []stmt.Statement{{Kind: stmt.BeginRead}, {Kind: stmt.Rollback}}

// LeadershipProbe is sent to find out whether an upstream leads: only a leader
// accepts Begin. Its statements take no slot at the upstream and have no lasting
// effect.
var LeadershipProbe = []stmt.Statement{{Kind: stmt.Begin}, {Kind: stmt.Rollback}}
