// Package evid records the positions that a group's leader had at known times.
// They bound the age of the data on a replica.
package evid

import (
	"time"

	"banyanspring/core/posn"
)

// Sample is a position that a leader reported while its leadership was proven.
type Sample struct {
	// Asked is when the request for the position was sent: every write acknowledged
	// earlier is at or below Position.
	Asked    time.Time
	Position posn.Position
}

const (
	// minSpacing is the minimum time between two samples. A shorter time would hardly
	// lower the minimum position of reads that accept an age of one second.
	minSpacing = 50 * time.Millisecond
	// maxSamples bounds the samples of one group. When there are that many, Add drops the
	// older half, so that from then on they cover 5 s to 10 s at minSpacing.
	maxSamples = 200
)

// Track holds the samples of one group in order of time. It is not safe for
// concurrent use.
type Track struct {
	samples []Sample
}

// Add records a sample unless it is older than the newest one or less than
// minSpacing after it. When the track is full the older half is dropped.
func (tr *Track) Add(sa Sample) {
	last := len(tr.samples) - 1
	if last >= 0 && sa.Asked.Sub(tr.samples[last].Asked) < minSpacing {
		return
	}
	if len(tr.samples) >= maxSamples {
		tr.samples = append(tr.samples[:0], tr.samples[maxSamples/2:]...)
	}
	tr.samples = append(tr.samples, sa)
}

// Newest returns the newest sample, and false if there is none.
func (tr *Track) Newest() (Sample, bool) {
	if len(tr.samples) == 0 {
		return Sample{}, false
	}
	return tr.samples[len(tr.samples)-1], true
}

// MinPosition returns the minimum position of reads that accept data of at most maxAge:
// the lowest one sampled within maxAge of now. It returns false if there is none.
func (tr *Track) MinPosition(now time.Time, maxAge time.Duration) (posn.Position, bool) {
	oldest := now.Add(-maxAge)
	var lowest posn.Position
	found := false
	for pos := len(tr.samples) - 1; pos >= 0; pos-- {
		sa := tr.samples[pos]
		if sa.Asked.Before(oldest) {
			break
		}
		if !found || sa.Position.Compare(lowest) < 0 {
			lowest, found = sa.Position, true
		}
	}
	return lowest, found
}
