package share

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanspring/core/place"
)

func fleet(perDomain int) []Member {
	var out []Member
	for _, domain := range []string{"a", "b", "c"} {
		for num := range perDomain {
			weight := 0.2
			if num == 0 {
				weight = 0.8
			}
			name := fmt.Sprintf("%s-%d", domain, num)
			out = append(out, Member{Name: name, Address: name, Site: place.Site{Domain: domain, Region: "r" + domain}, Weight: weight})
		}
	}
	return out
}

func TestFewInstancesShareEvenly(t *testing.T) {
	sh := Of("db", place.Site{Domain: "a"}, 16, fleet(2), "a-0")
	require.Equal(t, Share{Quota: 2, Holders: 6}, sh)
}

func TestManyInstancesUseHomesInTheUpstreamsDomain(t *testing.T) {
	members := fleet(28)
	direct, total := 0, 0
	for _, me := range members {
		sh := Of("db", place.Site{Domain: "b", Region: "rb"}, 31, members, me.Name)
		require.Len(t, sh.Homes, 2)
		for _, address := range sh.Homes {
			require.Equal(t, byte('b'), address[0])
		}
		if sh.Quota > 0 {
			direct++
		}
		total += sh.Quota
	}
	require.Equal(t, 2, direct)
	require.LessOrEqual(t, total, 31-reserved)
}

func TestHomesStayWhenAnotherMemberLeaves(t *testing.T) {
	members := fleet(28)
	before := Of("db", place.Site{Domain: "b", Region: "rb"}, 31, members, "a-0").Homes
	var rest []Member
	for _, me := range members {
		if me.Name != "c-3" && me.Address != before[1] {
			rest = append(rest, me)
		}
	}
	after := Of("db", place.Site{Domain: "b", Region: "rb"}, 31, rest, "a-0").Homes
	require.Equal(t, before[0], after[0])
	require.NotEqual(t, before[1], after[1])
}

func TestLargeInstancesAreHomesMoreOften(t *testing.T) {
	members := fleet(10)
	large := 0
	const upstreams = 400
	for num := range upstreams {
		homes := Of(fmt.Sprintf("db-%d", num), place.Site{Domain: "a", Region: "ra"}, 31, members, "none").Homes
		if homes[0] == "a-0" {
			large++
		}
	}
	// The large one holds 0.8 of 2.6 of the weight.
	require.InDelta(t, 0.31, float64(large)/upstreams, 0.08)
}

func TestHomesAreFoundElsewhereIfTheDomainIsGone(t *testing.T) {
	sh := Of("db", place.Site{Domain: "x", Region: "rb"}, 31, fleet(28), "a-0")
	require.Equal(t, byte('b'), sh.Homes[0][0])
}
