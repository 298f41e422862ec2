package retry

import "time"

// Pacer applies exponential backoff to calls to a dependency that fails. All
// components of a process share it, so that together they make one call per pause.
// It is not safe for concurrent use.
type Pacer struct {
	minPause, maxPause time.Duration
	// failures counts consecutive failed calls.
	failures int
	// nextAt is the earliest time of the next call; unused while failures is 0.
	nextAt time.Time
}

// maxDoubling limits the doublings of the pause, which would overflow otherwise.
const maxDoubling = 16

// NewPacer returns a pacer whose pauses begin at minPause and double up to maxPause.
func NewPacer(minPause, maxPause time.Duration) *Pacer {
	return &Pacer{minPause: minPause, maxPause: maxPause}
}

// Allow reports whether a call may be made now. After a failure it permits one call
// per pause, until Record is called with isAnswered.
func (pa *Pacer) Allow(now time.Time) bool {
	if pa.failures == 0 {
		return true
	}
	if now.Before(pa.nextAt) {
		return false
	}
	pa.nextAt = now.Add(pa.pause())
	return true
}

// Record records the result of a call; isAnswered is true if the dependency answered.
// The jitter, from 0 to 1, lengthens the pause by up to half, so that the calls of
// many processes do not synchronize.
func (pa *Pacer) Record(isAnswered bool, now time.Time, jitter float64) {
	if isAnswered {
		pa.failures = 0
		return
	}
	pa.failures++
	pause := pa.pause()
	pa.nextAt = now.Add(pause + time.Duration(jitter*float64(pause)/2))
}

// SetMaxPause changes the maximum pause.
func (pa *Pacer) SetMaxPause(maxPause time.Duration) { pa.maxPause = maxPause }

// pause returns the pause after the failures so far, without jitter.
func (pa *Pacer) pause() time.Duration {
	return min(pa.minPause<<min(pa.failures-1, maxDoubling), pa.maxPause)
}
