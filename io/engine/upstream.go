package engine

import (
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/group"
	"banyanspring/core/posn"
	"banyanspring/io/pool"
)

// upstream is one incarnation of a group member (see
// group.Upstream.IsSameIncarnation), with its pool and the statistics that this
// instance keeps about it.
type upstream struct {
	info atomic.Pointer[group.Upstream]
	pool *pool.Pool
	// inFlight counts this instance's running statements.
	inFlight atomic.Int32
	// latency is the smoothed duration of a statement in nanoseconds, without
	// the wait for a connection.
	latency atomic.Int64
	// latencyUpdatedAt is when latency was last updated, in Unix nanoseconds.
	latencyUpdatedAt atomic.Int64
	// avoidUntil is when a failed upstream may be tried again, in Unix
	// nanoseconds on the engine's clock.
	avoidUntil atomic.Int64
	// failures counts consecutive failures.
	failures atomic.Int32
	// timeouts counts consecutive statements that timed out.
	timeouts atomic.Int32
	// unreachedSince is when the first of the consecutive failures occurred, in
	// Unix nanoseconds; 0 if there is none.
	unreachedSince atomic.Int64
	// stalls holds the times of up to maxStalls writes that timed out, in Unix
	// nanoseconds. An entry older than stallWindow is replaced by the next one.
	stalls [maxStalls]atomic.Int64
	// wroteAt is when a write last succeeded, in Unix nanoseconds; 0 if never.
	wroteAt atomic.Int64
	// applied is the highest position that the upstream has reported.
	applied atomic.Pointer[posn.Position]
	// leavingSince is a time at which the upstream was not leaving yet, or the first one if
	// none is known, in Unix nanoseconds; 0 if it is not leaving.
	leavingSince atomic.Int64
	// behindUntil is when a replica that refused a read because it was behind may
	// be tried again, in Unix nanoseconds.
	behindUntil atomic.Int64
	// readKey names the upstream among counts of reads. It has the incarnation, since the counts
	// of an earlier one say nothing about it.
	readKey string
	// reads counts the reads that any member may serve.
	reads readCounts
	// weight holds the bits of the share of such reads that the upstream gets, from
	// outly.MinWeight to 1; zero bits stand for 1.
	weight atomic.Uint64
}

const (
	// latencySmoothing is the inverse weight of a new sample: 1/8, as TCP smooths
	// round trips.
	latencySmoothing = 8
	// latencyHalfLife is the time in which the expected latency halves without a
	// sample. It is of the order of the time in which an upstream's queue drains.
	latencyHalfLife = 500 * time.Millisecond
	// minAvoidance is how long an upstream is avoided after one failure; it
	// doubles with each further failure, up to maxAvoidance.
	minAvoidance = 200 * time.Millisecond
	maxAvoidance = 2 * time.Second
	// behindBackoff is how long a replica is skipped after it refused a read
	// because it had not applied the read's minimum position. It is of the order of
	// common replication delays.
	behindBackoff = 60 * time.Millisecond
	// timeoutsUntilFailure is the number of consecutive timeouts after which an
	// upstream counts as failed. Fewer may just mean that it is busy.
	timeoutsUntilFailure = 3
	// maxStalls is how many writes that timed out are counted.
	maxStalls = 4
	// stallWindow is how long each of them is counted. Statements time out within
	// about a second.
	stallWindow = 2 * time.Second
)

func newUpstream(info group.Upstream, po *pool.Pool) *upstream {
	up := &upstream{pool: po, readKey: info.ID + " " + strconv.FormatInt(info.Incarnation, 10)}
	up.info.Store(&info)
	up.applied.Store(&posn.Position{})
	return up
}

func (up *upstream) id() string { return up.info.Load().ID }

// startStatement counts a running statement. The function returned ends it and
// records its duration.
func (up *upstream) startStatement(now func() time.Time) func() {
	up.inFlight.Add(1)
	since := now()
	return func() {
		up.inFlight.Add(-1)
		at := now()
		up.recordLatency(at.Sub(since), at)
	}
}

// recordLatency adds the duration of a statement, whether answered or timed out.
// A statement that was refused because its wait would have been too long counts
// with the time that was left to its deadline. An overloaded upstream still
// answers the few statements that it accepts as fast as ever, so that their
// durations alone do not show the overload.
func (up *upstream) recordLatency(took time.Duration, now time.Time) {
	old := up.expectedLatency(now)
	up.latencyUpdatedAt.Store(now.UnixNano())
	if old == 0 {
		up.latency.Store(int64(took))
		return
	}
	up.latency.Store(int64(old + (took-old)/latencySmoothing))
}

// expectedLatency returns the smoothed duration of a statement; 0 if there is no
// sample. It halves with each latencyHalfLife without a sample, so that an
// upstream that was slow is tried again.
func (up *upstream) expectedLatency(now time.Time) time.Duration {
	latency := up.latency.Load()
	age := now.UnixNano() - up.latencyUpdatedAt.Load()
	for ; age > int64(latencyHalfLife) && latency > 1; age -= int64(latencyHalfLife) {
		latency /= 2
	}
	return time.Duration(latency)
}

// recordSuccess records that the upstream answered.
func (up *upstream) recordSuccess() {
	if up.timeouts.Load() != 0 {
		up.timeouts.Store(0)
	}
	if up.failures.Load() != 0 {
		up.failures.Store(0)
		up.unreachedSince.Store(0)
		up.avoidUntil.Store(0)
	}
}

// recordFailure records that the upstream was not reached or has stopped
// answering. It is not picked for new statements for minAvoidance, doubled with
// each consecutive failure up to maxAvoidance.
func (up *upstream) recordFailure(now time.Time) {
	up.unreachedSince.CompareAndSwap(0, now.UnixNano())
	// The shift is limited so that the duration cannot overflow; minAvoidance<<8
	// exceeds maxAvoidance by far.
	shift := min(up.failures.Add(1)-1, 8)
	wait := min(minAvoidance<<shift, maxAvoidance)
	up.avoidUntil.Store(now.Add(wait).UnixNano())
}

func (up *upstream) isAvoided(now time.Time) bool { return now.UnixNano() < up.avoidUntil.Load() }

// recordError records the error of a connection as a failure of the upstream,
// unless a home failed or the answer did not fit into this process's budget. Timeouts count as a failure only if there are
// timeoutsUntilFailure in a row. A write that timed out is also recorded as a
// stall.
func (up *upstream) recordError(err error, isWrite bool, now time.Time) {
	if errors.Is(err, pool.ErrHomeFailed) || errors.Is(err, pool.ErrNoMemory) {
		return
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		up.recordFailure(now)
		return
	}
	if isWrite {
		up.recordStall(now)
	}
	// A busy upstream answers other statements in between, which resets the
	// count; an upstream that has stopped responding does not.
	if up.timeouts.Add(1) >= timeoutsUntilFailure {
		up.recordFailure(now)
	}
}

// recordStall records a write that timed out, in place of one that is older than
// stallWindow. If there is none, maxStalls are counted already.
func (up *upstream) recordStall(now time.Time) {
	for pos := range up.stalls {
		old := up.stalls[pos].Load()
		if now.UnixNano()-old > int64(stallWindow) && up.stalls[pos].CompareAndSwap(old, now.UnixNano()) {
			return
		}
	}
}

// recentStalls returns how many writes timed out within stallWindow, at most
// maxStalls.
func (up *upstream) recentStalls(now time.Time) int {
	count := 0
	for pos := range up.stalls {
		if now.UnixNano()-up.stalls[pos].Load() <= int64(stallWindow) {
			count++
		}
	}
	return count
}

// setInfo replaces the upstream's entry of the listing. confirmedAt is when the entry before
// it was last known to be up to date; zero if there was none.
func (up *upstream) setInfo(info group.Upstream, confirmedAt time.Time) {
	up.info.Store(&info)
	if !info.Leaving {
		up.leavingSince.Store(0)
		return
	}
	since := int64(1)
	if !confirmedAt.IsZero() {
		since = confirmedAt.UnixNano()
	}
	up.leavingSince.CompareAndSwap(0, since)
}

// hasLeft reports whether the upstream has been leaving for at least the limit.
func (up *upstream) hasLeft(limit time.Duration, now time.Time) bool {
	since := up.leavingSince.Load()
	return since != 0 && limit > 0 && now.UnixNano()-since >= int64(limit)
}

// recordApplied records a position that the upstream reported.
func (up *upstream) recordApplied(po posn.Position) {
	for {
		old := up.applied.Load()
		if old.Compare(po) >= 0 || up.applied.CompareAndSwap(old, &po) {
			return
		}
	}
}

// appliedPosition returns the highest position that the upstream has reported.
func (up *upstream) appliedPosition() posn.Position { return *up.applied.Load() }

// recordBehind records that the upstream refused a read because it was behind.
func (up *upstream) recordBehind(now time.Time) {
	up.behindUntil.Store(now.Add(behindBackoff).UnixNano())
}

// isBehind reports whether the upstream refused a read within behindBackoff
// because it was behind, and has not reported the minimum position since.
func (up *upstream) isBehind(minPosition posn.Position, now time.Time) bool {
	return now.UnixNano() < up.behindUntil.Load() && up.applied.Load().Compare(minPosition) < 0
}
