package place

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func members(count int) []Member {
	out := make([]Member, count)
	for pos := range out {
		out[pos] = Member{ID: fmt.Sprintf("d%d", pos), Domain: fmt.Sprintf("domain%d", pos%2), Region: "r"}
	}
	return out
}

func TestHomeIsInTheDomainOfTheUpstream(t *testing.T) {
	vi := New(members(10))
	for pos := range 100 {
		mem, ok := vi.Home(fmt.Sprintf("u%d", pos), Site{Domain: "domain1", Region: "r"})
		require.True(t, ok)
		require.Equal(t, "domain1", mem.Domain)
	}
}

func TestOnlyTheHomesOfALeavingMemberMove(t *testing.T) {
	vi := New(members(10))
	next := vi.WithLeaving("d3")
	moved := 0
	for pos := range 1000 {
		key := fmt.Sprintf("u%d", pos)
		was, _ := vi.Home(key, Site{Domain: "domain1", Region: "r"})
		now, _ := next.Home(key, Site{Domain: "domain1", Region: "r"})
		require.NotEqual(t, "d3", now.ID)
		if was.ID != now.ID {
			require.Equal(t, "d3", was.ID)
			moved++
		}
	}
	require.InDelta(t, 200, moved, 60)
}

func TestFallsBackToTheRegionAndThenAnywhere(t *testing.T) {
	vi := New([]Member{{ID: "a", Domain: "x", Region: "r"}, {ID: "b", Domain: "y", Region: "s"}})
	mem, ok := vi.Home("u", Site{Domain: "z", Region: "s"})
	require.True(t, ok)
	require.Equal(t, "b", mem.ID)
	_, ok = vi.Home("u", Site{Domain: "z", Region: "t"})
	require.True(t, ok)
	_, ok = New(nil).Home("u", Site{})
	require.False(t, ok)
}
