// Package clock provides a clock that does not jump when the wall clock is set
// and does not stop while the instance is suspended.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxSkewChange is how far the wall clock may drift from the monotonic clock
// before the suspended time is read again. Clocks are slewed by at most 0.5 ms a
// second.
const maxSkewChange = 20 * time.Millisecond

var state = struct {
	mu sync.Mutex
	// start is the time at which the package was initialised.
	start time.Time
	// skew is the wall clock minus the monotonic clock when the suspended time
	// was last read.
	skew time.Duration
	// bootSkew is the result of the function bootSkew at start.
	bootSkew time.Duration
	// suspended is how long the instance has been suspended since start.
	suspended time.Duration
}{}

func init() {
	state.start = time.Now()
	state.bootSkew = bootSkew(state.start)
	state.skew = 0
}

// Now returns the time of start plus the time elapsed since, including suspended
// time, without a monotonic reading. It makes no system call, only a vDSO call,
// unless the wall clock has moved against the monotonic clock, which a suspension
// also causes.
func Now() time.Time {
	now := time.Now()
	steady := now.Sub(state.start)
	skew := time.Duration(now.UnixNano()-state.start.UnixNano()) - steady
	state.mu.Lock()
	defer state.mu.Unlock()
	if (skew - state.skew).Abs() > maxSkewChange {
		state.skew = skew
		state.suspended = max(state.suspended, bootSkew(now)-state.bootSkew)
	}
	// Round(0) strips the monotonic reading, which misses suspended time.
	return state.start.Round(0).Add(steady + state.suspended)
}

// bootSkew returns CLOCK_BOOTTIME, which counts suspended time, minus the
// monotonic clock since start. Only differences between its results have a meaning.
func bootSkew(now time.Time) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano()) - now.Sub(state.start)
}
