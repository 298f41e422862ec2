package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The pattern opinions_of_a_calm_domain: what a failure domain tells grows with
// its groups and not with its instances.
func TestCalmOpinionsArePutTogether(t *testing.T) {
	const instances, groups = 15, 8
	now := time.Unix(1_000_000, 0)
	op := newOpinions()
	for num := range instances {
		for gr := range groups {
			op.note(word{
				From: fmt.Sprint("i", num), Group: fmt.Sprint("g", gr), Leader: "l", ProvenMs: int64(100 + num), WroteMs: int64(num % 2),
			}, now)
		}
	}
	op.note(word{From: "i3", Group: "g0", Leader: "l", UnreachedMs: 900}, now.Add(time.Millisecond))
	words := op.toPassOn(now.Add(10*time.Millisecond), "self")
	require.Len(t, words, groups+1)
	count := 0
	for _, wo := range words {
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

// Two members that ask each other pass on what the other has told, and must not
// make more members of it.
func TestPutTogetherOpinionsDoNotGrow(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	left, right := newOpinions(), newOpinions()
	for num := range 5 {
		left.note(word{From: fmt.Sprint("l", num), Group: "g", Leader: "l"}, now)
	}
	right.note(word{From: "r", Group: "g", Leader: "l"}, now)
	for range 6 {
		now = now.Add(50 * time.Millisecond)
		for _, wo := range left.toPassOn(now, "left") {
			right.note(wo, now)
		}
		for _, wo := range right.toPassOn(now, "right") {
			left.note(wo, now)
		}
	}
	for _, op := range []*opinions{left, right} {
		count := 0
		for _, held := range op.about("g") {
			count += max(1, held.Count)
		}
		// Each member's own opinion may stand beside the one it was put into.
		require.LessOrEqual(t, count, 2*6)
	}
}
