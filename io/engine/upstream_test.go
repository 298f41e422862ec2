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
	return newUpstream(group.Upstream{ID: "db"}, pool.New(group.Upstream{ID: "db", Slots: 2}, pool.Settings{}, pool.Seams{}))
}

// Pattern crowd_at_one_of_three: most statements at an upstream are refused, and
// the few that get through are as fast as ever.
func TestRefusedStatementsMakeAnUpstreamDearer(t *testing.T) {
	up := newTestUpstream()
	for range 50 {
		up.observe(10*time.Millisecond, start)
	}
	require.InDelta(t, float64(10*time.Millisecond), float64(up.expected(start)), float64(time.Millisecond))
	for range 4 {
		up.observe(700*time.Millisecond, start)
	}
	require.Greater(t, up.expected(start), 200*time.Millisecond)
}

func TestSlowUpstreamIsTriedAgainAfterAWhile(t *testing.T) {
	up := newTestUpstream()
	up.observe(800*time.Millisecond, start)
	require.Equal(t, 800*time.Millisecond, up.expected(start.Add(halfLife)))
	require.Less(t, up.expected(start.Add(7*halfLife)), 15*time.Millisecond)
}

func TestFailuresAreAvoidedForLongerAndForgottenAtSuccess(t *testing.T) {
	up := newTestUpstream()
	up.failed(start)
	require.True(t, up.isAvoided(start.Add(avoidFor-1)))
	require.False(t, up.isAvoided(start.Add(avoidFor)))
	up.failed(start)
	require.True(t, up.isAvoided(start.Add(2*avoidFor-1)))
	up.succeeded()
	require.False(t, up.isAvoided(start))
	require.Zero(t, up.unreachedSince.Load())
}
