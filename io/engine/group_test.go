package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/group"
	"banyanspring/core/posn"
)

func newLeader(id string) *upstream {
	return newUpstream(group.Upstream{ID: id, Group: "g", ClaimsLead: true}, nil)
}

// The pattern losing_side_of_a_split: who misses the leader for longer than a change
// of leader takes tells its callers at once, so that they try elsewhere.
func TestLeaderThatIsMissingForLongIsNotWaitedFor(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	gr, up := newGroupState("g"), newLeader("a")
	gr.setMembers([]*upstream{up}, now)
	require.False(t, gr.isLeaderLost(now.Add(time.Hour)))

	up.failed(now)
	require.False(t, gr.isLeaderLost(now.Add(leaderGap)))
	require.True(t, gr.isLeaderLost(now.Add(leaderGap+time.Millisecond)))
	up.succeeded()
	require.False(t, gr.isLeaderLost(now.Add(time.Hour)))

	gr.denied(up, now)
	require.False(t, gr.isLeaderLost(now.Add(leaderGap)))
	gr.denied(up, now.Add(time.Second))
	require.True(t, gr.isLeaderLost(now.Add(leaderGap+time.Millisecond)))
	gr.proved(up, now.Add(2*time.Second), posn.Position{})
	require.False(t, gr.isLeaderLost(now.Add(time.Hour)))
}

func TestUpstreamBehindUnreachedHomesIsCutOffAfterAWhile(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	up := newLeader("a")
	require.False(t, up.isCutOff(now))
	require.False(t, up.isCutOff(now.Add(leaderGap)))
	require.True(t, up.isCutOff(now.Add(leaderGap+time.Millisecond)))
	up.succeeded()
	require.False(t, up.isCutOff(now.Add(leaderGap+time.Millisecond)))
}
