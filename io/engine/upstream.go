package engine

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/group"
	"banyanspring/core/posn"
	"banyanspring/io/pool"
)

// upstream is one life of one member of a group, with what was seen of it.
type upstream struct {
	info atomic.Pointer[group.Upstream]
	pool *pool.Pool
	// pending counts statements under way from here.
	pending atomic.Int32
	// latency is the smoothed time of a statement in nanoseconds, without the
	// wait for a connection.
	latency atomic.Int64
	// sampledAt is when latency was last changed, in Unix nanoseconds.
	sampledAt atomic.Int64
	// avoidUntil is when a failed upstream is worth another try, in Unix
	// nanoseconds on the engine's clock.
	avoidUntil atomic.Int64
	// failures counts failures in a row.
	failures atomic.Int32
	// timeouts counts statements that timed out in a row.
	timeouts atomic.Int32
	// unreachedSince is when the first failure in a row was, in Unix
	// nanoseconds; 0 if it was reached last.
	unreachedSince atomic.Int64
	// stalls holds when the last writes went unanswered, in Unix nanoseconds.
	stalls [maxStalls]atomic.Int64
	// wroteAt is when a write was last answered, in Unix nanoseconds.
	wroteAt atomic.Int64
	// applied is the highest position seen.
	applied atomic.Pointer[posn.Position]
	// behindUntil is when a replica that was behind is worth another try.
	behindUntil atomic.Int64
}

const (
	// latencySmoothing is the share of a new sample: 1/8, as TCP smooths round
	// trips.
	latencySmoothing = 8
	// halfLife is of the order of the time in which a queue drains.
	halfLife = 500 * time.Millisecond
	// avoidFor is how long an upstream is avoided after one failure; it doubles
	// with each further one up to avoidAtMost.
	avoidFor    = 200 * time.Millisecond
	avoidAtMost = 2 * time.Second
	// behindFor is how long a replica that lacked a position is passed over. It
	// is of the order of common replication delays.
	behindFor = 60 * time.Millisecond
	// silentAfter is how many timeouts in a row tell a silent upstream from a
	// busy one.
	silentAfter = 3
	// maxStalls is how many unanswered writes are remembered.
	maxStalls = 4
	// stallMemory is for how long; statements time out within a second or so.
	stallMemory = 2 * time.Second
)

func newUpstream(info group.Upstream, po *pool.Pool) *upstream {
	up := &upstream{pool: po}
	up.info.Store(&info)
	up.applied.Store(&posn.Position{})
	return up
}

func (up *upstream) id() string { return up.info.Load().ID }

// begin notes a statement under way; the function returned notes its end.
func (up *upstream) begin(now func() time.Time) func() {
	up.pending.Add(1)
	since := now()
	return func() {
		up.pending.Add(-1)
		at := now()
		up.observe(at.Sub(since), at)
	}
}

// observe takes the time of a statement, answered or given up. What was refused
// counts too: the time of those that got through says nothing of a crowd.
func (up *upstream) observe(took time.Duration, now time.Time) {
	old := up.expected(now)
	up.sampledAt.Store(now.UnixNano())
	if old == 0 {
		up.latency.Store(int64(took))
		return
	}
	up.latency.Store(int64(old + (took-old)/latencySmoothing))
}

// expected returns the smoothed time of a statement; 0 if none is known. It
// halves with each halfLife without a sample, so that an upstream that was slow
// is tried again.
func (up *upstream) expected(now time.Time) time.Duration {
	latency := up.latency.Load()
	age := now.UnixNano() - up.sampledAt.Load()
	for ; age > int64(halfLife) && latency > 1; age -= int64(halfLife) {
		latency /= 2
	}
	return time.Duration(latency)
}

// succeeded notes an answer.
func (up *upstream) succeeded() {
	if up.timeouts.Load() != 0 {
		up.timeouts.Store(0)
	}
	if up.failures.Load() != 0 {
		up.failures.Store(0)
		up.unreachedSince.Store(0)
		up.avoidUntil.Store(0)
	}
}

// failed notes that the upstream did not answer or failed a statement.
func (up *upstream) failed(now time.Time) {
	up.unreachedSince.CompareAndSwap(0, now.UnixNano())
	shift := min(up.failures.Add(1)-1, 8)
	wait := min(avoidFor<<shift, avoidAtMost)
	up.avoidUntil.Store(now.Add(wait).UnixNano())
}

func (up *upstream) isAvoided(now time.Time) bool { return now.UnixNano() < up.avoidUntil.Load() }

// blame notes what a connection's error says of the upstream: nothing if a home
// failed. A write that went unanswered until its deadline is a stall.
func (up *upstream) blame(err error, isWrite bool, now time.Time) {
	if errors.Is(err, pool.ErrHome) {
		return
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		up.failed(now)
		return
	}
	if isWrite {
		up.stalled(now)
	}
	// A busy upstream answers others meanwhile, a silent one does not.
	if up.timeouts.Add(1) >= silentAfter {
		up.failed(now)
	}
}

// stalled notes a write that went unanswered.
func (up *upstream) stalled(now time.Time) {
	for pos := range up.stalls {
		old := up.stalls[pos].Load()
		if now.UnixNano()-old > int64(stallMemory) && up.stalls[pos].CompareAndSwap(old, now.UnixNano()) {
			return
		}
	}
}

// stalledLately returns how many writes went unanswered of late.
func (up *upstream) stalledLately(now time.Time) int {
	count := 0
	for pos := range up.stalls {
		if now.UnixNano()-up.stalls[pos].Load() <= int64(stallMemory) {
			count++
		}
	}
	return count
}

// noteApplied notes a position that the upstream reported.
func (up *upstream) noteApplied(po posn.Position) {
	for {
		old := up.applied.Load()
		if old.Compare(po) >= 0 || up.applied.CompareAndSwap(old, &po) {
			return
		}
	}
}

func (up *upstream) noteBehind(now time.Time) {
	up.behindUntil.Store(now.Add(behindFor).UnixNano())
}

// isBehind reports whether the upstream lacked a position lately and has not
// been seen at the floor since.
func (up *upstream) isBehind(floor posn.Position, now time.Time) bool {
	return now.UnixNano() < up.behindUntil.Load() && up.applied.Load().Compare(floor) < 0
}
