package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// The pattern outage_of_the_store: the parts of a process that each need the
// store ask it together as often as one.
func TestPartsOfAProcessAskADeadDependencyAsOften(t *testing.T) {
	pa := NewPacer(200*time.Millisecond, 1600*time.Millisecond)
	const outage, step, parts = 10 * time.Second, 50 * time.Millisecond, 4
	calls := 0
	for now := start; now.Before(start.Add(outage)); now = now.Add(step) {
		for range parts {
			if pa.May(now) {
				calls++
				pa.Note(false, now, 0.5)
			}
		}
	}
	// Each part on its own would call every 200 ms: 200 calls.
	require.LessOrEqual(t, calls, 10)
	require.Greater(t, calls, 5)
}

func TestAnswerEndsThePauses(t *testing.T) {
	pa := NewPacer(200*time.Millisecond, 1600*time.Millisecond)
	pa.Note(false, start, 0)
	require.False(t, pa.May(start.Add(199*time.Millisecond)))
	require.True(t, pa.May(start.Add(200*time.Millisecond)))
	require.False(t, pa.May(start.Add(200*time.Millisecond)))
	pa.Note(true, start.Add(210*time.Millisecond), 0)
	require.True(t, pa.May(start.Add(210*time.Millisecond)))
	require.True(t, pa.May(start.Add(210*time.Millisecond)))
}

func TestPausesHaveALongest(t *testing.T) {
	pa := NewPacer(200*time.Millisecond, 1600*time.Millisecond)
	for range 100 {
		pa.Note(false, start, 1)
	}
	require.False(t, pa.May(start.Add(2399*time.Millisecond)))
	require.True(t, pa.May(start.Add(2400*time.Millisecond)))
	pa.SetMost(400 * time.Millisecond)
	pa.Note(false, start, 0)
	require.True(t, pa.May(start.Add(400*time.Millisecond)))
}
