package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// While the store is down, all components of a process together call it only as
// often as a single component would (failure pattern outage_of_the_store).
func TestComponentsShareThePauses(t *testing.T) {
	pa := NewPacer(200*time.Millisecond, 1600*time.Millisecond)
	const outage, step, components = 10 * time.Second, 50 * time.Millisecond, 4
	calls := 0
	for now := start; now.Before(start.Add(outage)); now = now.Add(step) {
		for range components {
			if pa.Allow(now) {
				calls++
				pa.Record(false, now, 0.5)
			}
		}
	}
	// If each component called every 200 ms there would be 200 calls.
	require.LessOrEqual(t, calls, 10)
	require.Greater(t, calls, 5)
}

func TestAnswerResetsThePause(t *testing.T) {
	pa := NewPacer(200*time.Millisecond, 1600*time.Millisecond)
	pa.Record(false, start, 0)
	require.False(t, pa.Allow(start.Add(199*time.Millisecond)))
	require.True(t, pa.Allow(start.Add(200*time.Millisecond)))
	require.False(t, pa.Allow(start.Add(200*time.Millisecond)))
	pa.Record(true, start.Add(210*time.Millisecond), 0)
	require.True(t, pa.Allow(start.Add(210*time.Millisecond)))
	require.True(t, pa.Allow(start.Add(210*time.Millisecond)))
}

func TestPauseIsBounded(t *testing.T) {
	pa := NewPacer(200*time.Millisecond, 1600*time.Millisecond)
	for range 100 {
		pa.Record(false, start, 1)
	}
	require.False(t, pa.Allow(start.Add(2399*time.Millisecond)))
	require.True(t, pa.Allow(start.Add(2400*time.Millisecond)))
	pa.SetMaxPause(400 * time.Millisecond)
	pa.Record(false, start, 0)
	require.True(t, pa.Allow(start.Add(400*time.Millisecond)))
}
