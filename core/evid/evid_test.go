package evid

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/posn"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func at(offset uint64) posn.Position {
	return posn.Position{Term: posn.Term{Number: 1}, Offset: offset}
}

func TestMinPositionIsTheLowestWithinMaxAge(t *testing.T) {
	var tr Track
	for num := range 10 {
		tr.Add(Sample{Asked: after(100 * num), Position: at(uint64(num))})
	}
	lowest, ok := tr.MinPosition(after(900), 250*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, at(7), lowest)
	_, ok = tr.MinPosition(after(1200), 250*time.Millisecond)
	require.False(t, ok)
}

func TestUnorderedAndCloseSamplesAreDropped(t *testing.T) {
	var tr Track
	tr.Add(Sample{Asked: after(100), Position: at(1)})
	tr.Add(Sample{Asked: after(50), Position: at(9)})
	tr.Add(Sample{Asked: after(120), Position: at(2)})
	newest, ok := tr.Newest()
	require.True(t, ok)
	require.Equal(t, at(1), newest.Position)
	for num := range 1000 {
		tr.Add(Sample{Asked: after(200 + 60*num), Position: at(uint64(num))})
	}
	require.LessOrEqual(t, len(tr.samples), maxSamples)
}
