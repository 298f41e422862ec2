// Package clock reads a clock that neither jumps with the time of day nor
// stands still while the instance is suspended.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is how far the time of day and the steady clock may drift apart
// before the suspended time is measured again. Clocks are slewed by at most
// 0.5 ms a second.
const tolerance = 20 * time.Millisecond

var state = struct {
	mu sync.Mutex
	// start anchors the steady clock.
	start time.Time
	// skew is the time of day less the steady clock when last looked at.
	skew time.Duration
	// bootSkew is the clock that counts suspended time less the steady one at
	// start.
	bootSkew time.Duration
	// suspended is the time that the instance has been suspended since start.
	suspended time.Duration
}{}

func init() {
	state.start = time.Now()
	state.bootSkew = bootSkew(state.start)
	state.skew = 0
}

// Now returns the time. It reads the vDSO alone unless the time of day has
// moved against the steady clock, which a suspended instance sees too.
func Now() time.Time {
	now := time.Now()
	steady := now.Sub(state.start)
	skew := time.Duration(now.UnixNano()-state.start.UnixNano()) - steady
	state.mu.Lock()
	defer state.mu.Unlock()
	if (skew - state.skew).Abs() > tolerance {
		state.skew = skew
		state.suspended = max(state.suspended, bootSkew(now)-state.bootSkew)
	}
	// The monotonic reading is stripped, since it misses suspended time.
	return state.start.Round(0).Add(steady + state.suspended)
}

// bootSkew returns the clock that counts suspended time less the steady clock,
// plus a constant.
func bootSkew(now time.Time) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano()) - now.Sub(state.start)
}
