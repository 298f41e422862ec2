// Package evid holds evidence of how far a group's leader was, from which the
// age of a replica's data is bounded.
package evid

import (
	"time"

	"banyanspring/core/posn"
)

// Sample is a position that a leader reported while it provably led.
type Sample struct {
	// Asked is when the question was sent: every write acknowledged before is
	// at or below Position.
	Asked    time.Time
	Position posn.Position
}

const (
	// spacing is the least time between two samples kept. Finer samples would
	// not make a floor of a second noticeably lower.
	spacing = 50 * time.Millisecond
	// kept bounds the samples of one group: 10 s at the spacing above.
	kept = 200
)

// Track holds the samples of one group, oldest first. It is not safe for
// concurrent use.
type Track struct {
	samples []Sample
}

// Add notes a sample. Samples may come out of order.
func (tr *Track) Add(sa Sample) {
	last := len(tr.samples) - 1
	if last >= 0 && sa.Asked.Sub(tr.samples[last].Asked) < spacing {
		return
	}
	if len(tr.samples) >= kept {
		tr.samples = append(tr.samples[:0], tr.samples[kept/2:]...)
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

// Floor returns the lowest position that bounds the age of data at it by
// maxAge, and false if no sample is young enough.
func (tr *Track) Floor(now time.Time, maxAge time.Duration) (posn.Position, bool) {
	oldest := now.Add(-maxAge)
	var floor posn.Position
	found := false
	for pos := len(tr.samples) - 1; pos >= 0; pos-- {
		sa := tr.samples[pos]
		if sa.Asked.Before(oldest) {
			break
		}
		if !found || sa.Position.Compare(floor) < 0 {
			floor, found = sa.Position, true
		}
	}
	return floor, found
}
