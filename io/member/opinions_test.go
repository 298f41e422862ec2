package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Traffic must not grow with the number of instances: without problems, the number of
// opinions that a failure domain sends depends only on the number of groups.
func TestOpinionsWithoutProblemsAreMerged(t *testing.T) {
	const instances, groups = 15, 8
	now := time.Unix(1_000_000, 0)
	op := newOpinions()
	for num := range instances {
		for gr := range groups {
			op.add(wireOpinion{
				From: fmt.Sprint("i", num), Group: fmt.Sprint("g", gr), Leader: "l", ProvenMs: int64(100 + num), WroteMs: int64(num % 2),
			}, now)
		}
	}
	op.add(wireOpinion{From: "i3", Group: "g0", Leader: "l", UnreachedMs: 900}, now.Add(time.Millisecond))
	forwarded := op.toForward(now.Add(10*time.Millisecond), "self")
	require.Len(t, forwarded, groups+1)
	count := 0
	for _, wo := range forwarded {
		if wo.UnreachedMs > 0 {
			require.Equal(t, "i3", wo.From)
			require.Equal(t, int64(909), wo.UnreachedMs)
			continue
		}
		require.Equal(t, int64(110), wo.ProvenMs)
		require.Equal(t, int64(11), wo.WroteMs)
		count += wo.Count
	}
	require.Equal(t, instances*groups-1, count)
}

// Two members that forward each other's opinions must not count these again with every
// exchange. Each instance is counted at most twice: by its own opinion and by the merged
// one that contains it.
func TestMergedOpinionsAreNotCountedAgain(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	left, right := newOpinions(), newOpinions()
	for num := range 5 {
		left.add(wireOpinion{From: fmt.Sprint("l", num), Group: "g", Leader: "l"}, now)
	}
	right.add(wireOpinion{From: "r", Group: "g", Leader: "l"}, now)
	for range 6 {
		now = now.Add(50 * time.Millisecond)
		for _, wo := range left.toForward(now, "left") {
			right.add(wo, now)
		}
		for _, wo := range right.toForward(now, "right") {
			left.add(wo, now)
		}
	}
	for _, op := range []*opinions{left, right} {
		count := 0
		for _, held := range op.forGroup("g") {
			count += max(1, held.Count)
		}
		// The opinions are those of six instances: five on the left and one on the right.
		require.LessOrEqual(t, count, 2*6)
	}
}
