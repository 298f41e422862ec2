package retry

import "time"

// Pacer spaces the calls to a dependency that fails: all callers of a process
// together make one call at a time, after pauses that double. It is not safe for
// concurrent use.
type Pacer struct {
	least, most time.Duration
	// failures counts failed calls in a row.
	failures int
	// nextAt is when the next call may be made; it counts while failures is not 0.
	nextAt time.Time
}

// maxDoubling keeps the pause from overflowing.
const maxDoubling = 16

// NewPacer returns a pacer whose pauses are between the two.
func NewPacer(least, most time.Duration) *Pacer { return &Pacer{least: least, most: most} }

// May reports whether a call may be made now. After a failure it grants one call
// until the next pause is over or the call has been noted.
func (pa *Pacer) May(now time.Time) bool {
	if pa.failures == 0 {
		return true
	}
	if now.Before(pa.nextAt) {
		return false
	}
	pa.nextAt = now.Add(pa.pause())
	return true
}

// Note notes how a call ended. Spread, from 0 to 1, lengthens the pause by up to
// half, so that many processes do not call in step.
func (pa *Pacer) Note(isAnswered bool, now time.Time, spread float64) {
	if isAnswered {
		pa.failures = 0
		return
	}
	pa.failures++
	pause := pa.pause()
	pa.nextAt = now.Add(pause + time.Duration(spread*float64(pause)/2))
}

// SetMost changes the longest pause.
func (pa *Pacer) SetMost(most time.Duration) { pa.most = most }

func (pa *Pacer) pause() time.Duration {
	return min(pa.least<<min(pa.failures-1, maxDoubling), pa.most)
}
