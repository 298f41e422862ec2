package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/group"
	"banyanspring/io/pool"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newTestUpstream() *upstream {
	return newUpstream(group.Upstream{ID: "db"}, pool.New(group.Upstream{ID: "db", Slots: 2}, pool.Settings{}, pool.Dependencies{}))
}

// Guards against an overloaded upstream that looks fast (pattern
// crowd_at_one_of_three): most statements there are refused, and the few that are
// accepted are as fast as ever.
func TestRefusedStatementsRaiseExpectedLatency(t *testing.T) {
	up := newTestUpstream()
	for range 50 {
		up.recordLatency(10*time.Millisecond, start)
	}
	require.InDelta(t, float64(10*time.Millisecond), float64(up.expectedLatency(start)), float64(time.Millisecond))
	for range 4 {
		up.recordLatency(700*time.Millisecond, start)
	}
	require.Greater(t, up.expectedLatency(start), 200*time.Millisecond)
}

func TestExpectedLatencyDecaysWithoutSamples(t *testing.T) {
	up := newTestUpstream()
	up.recordLatency(800*time.Millisecond, start)
	require.Equal(t, 800*time.Millisecond, up.expectedLatency(start.Add(latencyHalfLife)))
	require.Less(t, up.expectedLatency(start.Add(7*latencyHalfLife)), 15*time.Millisecond)
}

func TestAvoidanceGrowsWithFailuresAndEndsAtSuccess(t *testing.T) {
	up := newTestUpstream()
	up.recordFailure(start)
	require.True(t, up.isAvoided(start.Add(minAvoidance-1)))
	require.False(t, up.isAvoided(start.Add(minAvoidance)))
	up.recordFailure(start)
	require.True(t, up.isAvoided(start.Add(2*minAvoidance-1)))
	up.recordSuccess()
	require.False(t, up.isAvoided(start))
	require.Zero(t, up.unreachedSince.Load())
}

// A leaving upstream may lead while it alone has acknowledged writes, but gets no new
// statement once its drain bound comes near.
func TestLeavingLeaderIsUsedOnlyWithinTheDrainBound(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	gr := newGroupState("g", Settings{DrainBound: 8 * time.Second})
	up := newUpstream(group.Upstream{ID: "a", ClaimsLeadership: true}, nil)
	gr.setMembers([]*upstream{up}, now)
	usable := func(at time.Time) bool {
		got, _ := gr.usableLeader(at, true)
		return got == up
	}
	require.True(t, usable(now.Add(time.Hour)))
	up.setInfo(group.Upstream{ID: "a", ClaimsLeadership: true, Leaving: true}, now)
	up.setInfo(group.Upstream{ID: "a", ClaimsLeadership: true, Leaving: true}, now.Add(5*time.Second))
	require.True(t, usable(now.Add(6*time.Second-time.Millisecond)))
	require.False(t, usable(now.Add(6*time.Second)))
	up.setInfo(group.Upstream{ID: "a", ClaimsLeadership: true}, now)
	require.True(t, usable(now.Add(time.Hour)))
	// An instance that has just started does not know since when the upstream is leaving.
	up.setInfo(group.Upstream{ID: "a", ClaimsLeadership: true, Leaving: true}, time.Time{})
	require.False(t, usable(now))
}
