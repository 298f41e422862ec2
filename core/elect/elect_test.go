package elect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start  = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	timing = Timing{
		SilenceTimeout:        600 * time.Millisecond,
		RefusedTimeout:        200 * time.Millisecond,
		PartialFailureTimeout: 700 * time.Millisecond,
		MaxOpinionAge:         time.Second,
		MinChangeInterval:     5 * time.Second,
		CrowdedTimeout:        time.Second,
	}
)

func after(span time.Duration) time.Time { return start.Add(span) }

func TestSilentLeaderIsDeadUnlessAnotherInstanceHeardIt(t *testing.T) {
	ev := Evidence{IsListed: true, HeardAt: start}
	require.Equal(t, None, ReplacementReason(ev, "a", timing, after(600*time.Millisecond)))
	require.Equal(t, Dead, ReplacementReason(ev, "a", timing, after(601*time.Millisecond)))
	ev.Opinions = []Opinion{{Leader: "a", ReceivedAt: after(500 * time.Millisecond), ProvenAt: after(400 * time.Millisecond)}}
	require.Equal(t, None, ReplacementReason(ev, "a", timing, after(900*time.Millisecond)))
}

func TestRefusedConnectionsShortenTheTimeout(t *testing.T) {
	ev := Evidence{IsListed: true, HeardAt: start, Refused: true}
	require.Equal(t, Dead, ReplacementReason(ev, "a", timing, after(201*time.Millisecond)))
}

// The leader stays within MinChangeInterval of the last change, and if only one of
// five instances cannot reach it.
func TestLeaderThatAQuarterCannotReachIsReplaced(t *testing.T) {
	now := after(2 * time.Second)
	connected := Opinion{Leader: "a", ReceivedAt: now, ProvenAt: now}
	disconnected := Opinion{Leader: "a", ReceivedAt: now, UnreachedSince: start}
	ev := Evidence{IsListed: true, HeardAt: now, Opinions: []Opinion{connected, connected, connected, disconnected}}
	require.Equal(t, Unreached, ReplacementReason(ev, "a", timing, now))
	ev.ChangedAt = after(-time.Second)
	require.Equal(t, None, ReplacementReason(ev, "a", timing, now))
	ev.ChangedAt = time.Time{}
	ev.Opinions = append(ev.Opinions, connected)
	require.Equal(t, None, ReplacementReason(ev, "a", timing, now))
}

func TestLeaderThatAcknowledgesNothingIsReplaced(t *testing.T) {
	ev := Evidence{IsListed: true, HeardAt: start, Opinions: []Opinion{{Leader: "a", ReceivedAt: start, StalledWrites: 2}}}
	require.Equal(t, Stalled, ReplacementReason(ev, "a", timing, start))
	require.Equal(t, None, ReplacementReason(ev, "b", timing, start))
}

// Under overload some writes time out while others are answered.
func TestOverloadedLeaderIsNotStalled(t *testing.T) {
	now := after(2 * time.Second)
	stalled := Opinion{Leader: "a", ReceivedAt: now, ProvenAt: now, StalledWrites: 4}
	served := Opinion{Leader: "a", ReceivedAt: now, ProvenAt: now, WriteAcknowledgedAt: after(1500 * time.Millisecond)}
	ev := Evidence{IsListed: true, HeardAt: now, Opinions: []Opinion{stalled, stalled, served}}
	require.Equal(t, None, ReplacementReason(ev, "a", timing, now))
	ev.Opinions[2].WriteAcknowledgedAt = after(time.Second)
	require.Equal(t, Stalled, ReplacementReason(ev, "a", timing, now))
}

// All replicas lag, so that the leader gets all reads and lacks the capacity for
// them (failure pattern replicas_behind_a_crowded_leader).
func TestCrowdedLeaderIsReplacedIfAllReplicasLag(t *testing.T) {
	now := after(2 * time.Second)
	op := Opinion{Leader: "a", ReceivedAt: now, ProvenAt: now, CrowdedReads: 15, ReplicaReadAt: start}
	ev := Evidence{IsListed: true, HeardAt: now, Opinions: []Opinion{op, op}}
	require.Equal(t, Crowded, ReplacementReason(ev, "a", timing, now))
	ev.Opinions[1].ReplicaReadAt = after(1500 * time.Millisecond)
	require.Equal(t, None, ReplacementReason(ev, "a", timing, now))
	ev.Opinions = []Opinion{op}
	require.Equal(t, None, ReplacementReason(ev, "a", timing, now))
	ev.Opinions = []Opinion{op, op}
	ev.ChangedAt = after(-time.Second)
	require.Equal(t, None, ReplacementReason(ev, "a", timing, now))
}

func TestOldOpinionsAreIgnored(t *testing.T) {
	now := after(3 * time.Second)
	ev := Evidence{IsListed: true, HeardAt: now, Opinions: []Opinion{{Leader: "a", ReceivedAt: start, UnreachedSince: start, StalledWrites: 5}}}
	require.Equal(t, None, ReplacementReason(ev, "a", timing, now))
}

// A planned leave has a deadline, which no pause between two changes may use up.
func TestLeavingLeaderIsReplacedSoonAfterAChange(t *testing.T) {
	now := after(time.Second)
	ev := Evidence{IsListed: true, IsLeaving: true, HeardAt: now, ChangedAt: start}
	require.Equal(t, Leaving, ReplacementReason(ev, "a", timing, now))
}
