// Package conns decides which request gets which connection to one upstream. A connection
// belongs to the workspace that it was opened for and runs no other workspace's statements;
// one that another workspace needs is closed, and a new one is opened. The package has no
// I/O, no clock and no lock: events and the time are inputs, actions are returned.
package conns

import (
	"slices"
	"time"
)

// MaxOpening bounds the connections that are being opened. Each occupies a slot of the
// upstream for a while: more of them at once are not ready sooner, and delay the statements
// that the open connections could run.
const MaxOpening = 2

const (
	// FullPause is the pause before another connection is opened to an upstream that refused
	// one because its connection limit was reached. The upstream takes seconds to close the
	// connections of instances that have stopped.
	FullPause = 150 * time.Millisecond
	// maxFullDoublings bounds the pause between two replacements at a full upstream to
	// 16 times FullPause. Each replacement that is refused loses a connection.
	maxFullDoublings = 4
	// maxPatience bounds the wait for a connection of the same workspace: an overloaded
	// upstream opens connections slowly.
	maxPatience = 100 * time.Millisecond
	// openTimeSmoothing is the inverse weight of a new sample of the time to open a
	// connection.
	openTimeSmoothing = 8
)

// Request asks for a connection.
type Request struct {
	// ID is unique among the waiting requests.
	ID uint64
	// Workspace is empty if the request has none; it then gets a connection without one.
	Workspace string
	// IsSystem marks statements of this system itself, which may run on any connection.
	IsSystem bool
}

// Kind says what to do.
type Kind int

const (
	// Grant gives Conn to the request.
	Grant Kind = iota
	// Close closes Conn.
	Close
	// Open opens a connection for Workspace, and reports it by Opened or OpenFailed.
	Open
	// Fail ends the request without a connection.
	Fail
)

// Action is a decision that the caller carries out, in the order given.
type Action[C any] struct {
	Kind      Kind
	Request   uint64
	Conn      C
	Workspace string
}

// Counts holds counters since the table's start.
type Counts struct {
	// Opened counts connections that were opened, Replaced those closed for another
	// workspace, and Reused the grants of a connection that was used before.
	Opened, Replaced, Reused int64
}

// waiter is a waiting request.
type waiter struct {
	Request
	// patientUntil is until when the request waits for a connection of its workspace that is
	// in use before one is opened for it.
	patientUntil time.Time
}

// idleConn is an idle connection.
type idleConn[C any] struct {
	conn      C
	workspace string
	since     time.Time
}

// Table holds the state of one upstream's connections. It is not safe for concurrent use.
type Table[C any] struct {
	// quota is the number of connections that the instance may have; 0 counts as 1 when a
	// connection is opened, and closes the idle ones.
	quota int
	// idle is ordered by since, the longest idle first. No request waits that could take one
	// of them.
	idle []idleConn[C]
	// waiting is in the order of arrival.
	waiting []waiter
	// inUse and opening count connections by workspace; no entry is 0.
	inUse, opening map[string]int
	// open counts the idle connections, those in use and those being opened. It exceeds the
	// quota only after the quota was lowered, by connections in use or being opened.
	open int
	// openingTotal is the sum of opening; at most MaxOpening.
	openingTotal int
	// openTime is the smoothed time to open a connection; 0 if none was opened yet.
	openTime time.Duration
	// fullUntil is until when connections are opened only in place of an idle one, and
	// replaceAfter from when that is done, since the upstream's connection limit was
	// reached. fulls counts its refusals since a connection was last opened.
	fullUntil, replaceAfter time.Time
	fulls                   int
	closed                  bool
	counts                  Counts
}

// New returns a table without connections and without a quota.
func New[C any]() *Table[C] {
	return &Table[C]{inUse: make(map[string]int), opening: make(map[string]int)}
}

// Size returns how many connections are open, those being opened included, and how many of
// them are idle.
func (ta *Table[C]) Size() (open, idle int) { return ta.open, len(ta.idle) }

// Counts returns the counters.
func (ta *Table[C]) Counts() Counts { return ta.counts }

// limit is the number of connections up to which one is opened.
func (ta *Table[C]) limit() int { return max(1, ta.quota) }

// Add adds a request. It is granted or failed by an action, now or later.
func (ta *Table[C]) Add(now time.Time, rq Request) []Action[C] {
	if ta.closed {
		return []Action[C]{{Kind: Fail, Request: rq.ID}}
	}
	for pos := len(ta.idle) - 1; pos >= 0; pos-- {
		if ic := ta.idle[pos]; rq.accepts(ic.workspace) {
			ta.idle = slices.Delete(ta.idle, pos, pos+1)
			return ta.grant(rq, ic.conn, ic.workspace, true, nil)
		}
	}
	wa := waiter{Request: rq, patientUntil: now}
	if rq.Workspace != "" {
		wa.patientUntil = now.Add(min(ta.openTime, maxPatience))
	}
	ta.waiting = append(ta.waiting, wa)
	return ta.plan(now, nil)
}

// accepts reports whether the request may get a connection of the workspace.
func (rq Request) accepts(workspace string) bool { return rq.IsSystem || rq.Workspace == workspace }

func (ta *Table[C]) grant(rq Request, conn C, workspace string, isReused bool, out []Action[C]) []Action[C] {
	ta.inUse[workspace]++
	if isReused {
		ta.counts.Reused++
	}
	return append(out, Action[C]{Kind: Grant, Request: rq.ID, Conn: conn, Workspace: workspace})
}

// Cancel removes a waiting request; it reports false if the request is not waiting, so that
// its action was returned already.
func (ta *Table[C]) Cancel(id uint64) bool {
	before := len(ta.waiting)
	ta.waiting = slices.DeleteFunc(ta.waiting, func(wa waiter) bool { return wa.ID == id })
	return len(ta.waiting) < before
}

// Opened adds a connection that was opened for a workspace, after the time given. It serves
// the workspace's next request if the one that it was opened for has given up.
func (ta *Table[C]) Opened(now time.Time, workspace string, conn C, took time.Duration) []Action[C] {
	ta.endOpening(workspace)
	ta.fulls = 0
	if ta.openTime == 0 {
		ta.openTime = took
	}
	ta.openTime += (took - ta.openTime) / openTimeSmoothing
	if ta.closed || ta.open > ta.limit() {
		ta.open--
		return ta.plan(now, []Action[C]{{Kind: Close, Conn: conn, Workspace: workspace}})
	}
	ta.counts.Opened++
	pos := ta.firstWaiter(workspace)
	if pos < 0 {
		return ta.makeIdle(now, workspace, conn)
	}
	wa := ta.removeWaiter(pos)
	return ta.plan(now, ta.grant(wa.Request, conn, workspace, false, nil))
}

func (ta *Table[C]) endOpening(workspace string) {
	ta.openingTotal--
	decrement(ta.opening, workspace)
}

func decrement(counts map[string]int, key string) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// OpenFailed records that a connection could not be opened; isFull is true if the upstream's
// connection limit is reached. The waiting requests then go on waiting if any connection is
// open; otherwise they fail.
func (ta *Table[C]) OpenFailed(now time.Time, workspace string, isFull bool) []Action[C] {
	ta.endOpening(workspace)
	ta.open--
	if isFull && ta.open > 0 {
		ta.fulls++
		ta.fullUntil, ta.replaceAfter = now.Add(FullPause), now
		if ta.fulls > 1 {
			ta.replaceAfter = now.Add(FullPause << min(ta.fulls-2, maxFullDoublings))
		}
		return ta.plan(now, nil)
	}
	return ta.failAll(nil)
}

func (ta *Table[C]) failAll(out []Action[C]) []Action[C] {
	for _, wa := range ta.waiting {
		out = append(out, Action[C]{Kind: Fail, Request: wa.ID})
	}
	ta.waiting = nil
	return out
}

// Return takes back a granted connection that can be used again.
func (ta *Table[C]) Return(now time.Time, workspace string, conn C) []Action[C] {
	decrement(ta.inUse, workspace)
	if ta.closed || ta.open > ta.limit() {
		ta.open--
		return ta.plan(now, []Action[C]{{Kind: Close, Conn: conn, Workspace: workspace}})
	}
	pos := ta.firstWaiter(workspace)
	if pos < 0 || ta.isOvertaken(now, pos, workspace) {
		return ta.makeIdle(now, workspace, conn)
	}
	wa := ta.removeWaiter(pos)
	return ta.plan(now, ta.grant(wa.Request, conn, workspace, true, nil))
}

// firstWaiter returns the position of the first request that may get a connection of the
// workspace; -1 if there is none.
func (ta *Table[C]) firstWaiter(workspace string) int {
	return slices.IndexFunc(ta.waiting, func(wa waiter) bool { return wa.accepts(workspace) })
}

func (ta *Table[C]) removeWaiter(pos int) waiter {
	wa := ta.waiting[pos]
	ta.waiting = slices.Delete(ta.waiting, pos, pos+1)
	return wa
}

// isOvertaken reports whether an earlier request than that at the position needs the returned
// connection's place, because its workspace has no connection and none can be opened or
// replaced. Without it a busy workspace would keep its connections for good while an upstream
// is full or after the quota was lowered.
func (ta *Table[C]) isOvertaken(now time.Time, pos int, workspace string) bool {
	if len(ta.idle) > 0 || ta.canOpen(now) {
		return false
	}
	return slices.ContainsFunc(ta.waiting[:pos], func(wa waiter) bool {
		return !wa.accepts(workspace) && ta.isWithout(wa.Workspace) && ta.canReplace(now, wa.Workspace)
	})
}

// isWithout reports whether the workspace has no connection in use and none being opened.
// Idle ones don't count: no request of the workspace waits then.
func (ta *Table[C]) isWithout(workspace string) bool {
	return ta.inUse[workspace] == 0 && ta.opening[workspace] == 0
}

func (ta *Table[C]) canOpen(now time.Time) bool {
	return ta.openingTotal < MaxOpening && ta.open < ta.limit() && !now.Before(ta.fullUntil)
}

// canReplace reports whether a connection may be opened for the workspace in place of an idle
// one.
func (ta *Table[C]) canReplace(now time.Time, workspace string) bool {
	if ta.openingTotal >= MaxOpening || ta.open > ta.limit() {
		return false
	}
	if now.Before(ta.fullUntil) {
		return ta.isWithout(workspace) && !now.Before(ta.replaceAfter)
	}
	return ta.open == ta.limit()
}

func (ta *Table[C]) makeIdle(now time.Time, workspace string, conn C) []Action[C] {
	ta.idle = append(ta.idle, idleConn[C]{conn: conn, workspace: workspace, since: now})
	out := ta.plan(now, nil)
	// The connection still goes to a request of its own workspace if plan opened none in its
	// place.
	for {
		pos := slices.IndexFunc(ta.idle, func(ic idleConn[C]) bool { return ta.firstWaiter(ic.workspace) >= 0 })
		if pos < 0 {
			return out
		}
		ic := ta.idle[pos]
		ta.idle = slices.Delete(ta.idle, pos, pos+1)
		wa := ta.removeWaiter(ta.firstWaiter(ic.workspace))
		out = ta.grant(wa.Request, ic.conn, ic.workspace, true, out)
	}
}

// Closed records that a granted connection was closed by its holder.
func (ta *Table[C]) Closed(now time.Time, workspace string) []Action[C] {
	decrement(ta.inUse, workspace)
	ta.open--
	return ta.plan(now, nil)
}

// SetQuota changes the quota and closes idle connections that exceed it.
func (ta *Table[C]) SetQuota(now time.Time, quota int) []Action[C] {
	ta.quota = quota
	return ta.Sweep(now, time.Time{})
}

// Sweep closes idle connections that exceed the quota or have been idle since the time given
// or longer.
func (ta *Table[C]) Sweep(now, since time.Time) []Action[C] {
	var out []Action[C]
	for len(ta.idle) > 0 && (ta.open > ta.quota || !ta.idle[0].since.After(since)) {
		out = ta.closeIdle(0, out)
	}
	return ta.plan(now, out)
}

func (ta *Table[C]) closeIdle(pos int, out []Action[C]) []Action[C] {
	ic := ta.idle[pos]
	ta.idle = slices.Delete(ta.idle, pos, pos+1)
	ta.open--
	return append(out, Action[C]{Kind: Close, Conn: ic.conn, Workspace: ic.workspace})
}

// Shut closes the idle connections and fails all requests, also later ones. Connections in use
// are closed when they are returned.
func (ta *Table[C]) Shut() []Action[C] {
	ta.closed = true
	var out []Action[C]
	for len(ta.idle) > 0 {
		out = ta.closeIdle(0, out)
	}
	return ta.failAll(out)
}

// Advance decides again what depends on the time.
func (ta *Table[C]) Advance(now time.Time) []Action[C] { return ta.plan(now, nil) }

// Due returns the next time after now at which Advance may decide otherwise; zero if there is
// none.
func (ta *Table[C]) Due(now time.Time) time.Time {
	var due time.Time
	if len(ta.waiting) == 0 {
		return due
	}
	earlier := func(at time.Time) {
		if at.After(now) && (due.IsZero() || at.Before(due)) {
			due = at
		}
	}
	earlier(ta.fullUntil)
	earlier(ta.replaceAfter)
	for _, wa := range ta.waiting {
		earlier(wa.patientUntil)
	}
	return due
}

// plan opens connections for waiting requests in the order of their arrival, as far as none
// is being opened for them yet. A request whose workspace has connections in use first waits
// for one of them, for as long as it would take to open one: the wait then costs at most twice
// the better of the two ways, and short statements cost no connection.
func (ta *Table[C]) plan(now time.Time, out []Action[C]) []Action[C] {
	if len(ta.waiting) == 0 || ta.openingTotal >= MaxOpening {
		return out
	}
	ahead := make(map[string]int)
	for _, wa := range ta.waiting {
		place := ahead[wa.Workspace]
		ahead[wa.Workspace]++
		uncovered := place - ta.opening[wa.Workspace]
		if uncovered < 0 || (now.Before(wa.patientUntil) && uncovered < ta.inUse[wa.Workspace]) {
			continue
		}
		switch {
		case ta.canOpen(now):
			ta.open++
		case len(ta.idle) > 0 && ta.canReplace(now, wa.Workspace):
			ta.counts.Replaced++
			out = ta.closeIdle(0, out)
			ta.open++
		default:
			continue
		}
		ta.opening[wa.Workspace]++
		ta.openingTotal++
		out = append(out, Action[C]{Kind: Open, Workspace: wa.Workspace})
	}
	return out
}
