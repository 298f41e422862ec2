package share

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
		if sh.Quota > 0 && !sh.IsDeputy {
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

func TestDeputiesFitBesideTheHomes(t *testing.T) {
	members := fleet(28)
	for _, connections := range []int{4, 6, 9, 16, 31, 152} {
		total, deputies := 0, 0
		for _, me := range members {
			sh := Of("db", place.Site{Domain: "b", Region: "rb"}, connections, members, me.Name)
			total += sh.Quota
			if sh.IsDeputy {
				deputies++
				require.Contains(t, sh.Deputies, me.Address)
				require.NotContains(t, sh.Homes, me.Address)
			}
			require.Len(t, sh.Homes, homesEach)
		}
		require.LessOrEqual(t, total, connections-reserved, "%d connections", connections)
		if connections >= 16 {
			require.Equal(t, deputiesEach, deputies)
		}
	}
}

// The pattern part_of_a_large_fleet_restarts: the fleet keeps to its homes while
// members are missing, though the cap would give each of the others two
// connections of its own.
func TestLargeFleetKeepsToHomesWhileAPartIsGone(t *testing.T) {
	members := fleet(30)
	for gone := range 70 {
		sh := Of("db", place.Site{Domain: "b", Region: "rb"}, 152, members[gone:], "none")
		require.Len(t, sh.Homes, homesEach, "%d members", len(members)-gone)
		require.Zero(t, sh.Quota)
	}
}

func TestOneDeputyIsOfAnotherDomain(t *testing.T) {
	sh := Of("db", place.Site{Domain: "b", Region: "rb"}, 31, fleet(28), "a-0")
	require.Len(t, sh.Deputies, deputiesEach)
	require.NotEqual(t, byte('b'), sh.Deputies[deputiesEach-1][0])
}

// The pattern split_fleet_loses_both_homes: instances are cut in halves that do
// not reach each other, while the upstreams are in reach of both. An upstream
// whose homes are all on one side is lost to the other.
func TestSplitFleetLosesBothHomes(t *testing.T) {
	const upstreams, splits = 24, 40
	members := fleet(28)
	rng := rand.New(rand.NewPCG(7, 7))
	withHomes, withDeputies := 0, 0
	for range splits {
		isLeft := make(map[string]bool)
		for _, me := range members {
			isLeft[me.Address] = rng.IntN(2) == 0
		}
		for num := range upstreams {
			domain := string("abc"[num%3])
			sh := Of(fmt.Sprintf("db-%d", num), place.Site{Domain: domain, Region: "r" + domain}, 152, members, "none")
			for _, side := range []bool{false, true} {
				reaches := func(addresses []string) bool {
					return slices.ContainsFunc(addresses, func(address string) bool { return isLeft[address] == side })
				}
				if !reaches(sh.Homes) {
					withHomes++
					if !reaches(sh.Deputies) {
						withDeputies++
					}
				}
			}
		}
	}
	sides := float64(2 * splits * upstreams)
	require.Greater(t, float64(withHomes)/sides, 0.2)
	require.Less(t, float64(withDeputies)/sides, 0.05)
}
