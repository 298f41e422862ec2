package share

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanspring/core/place"
)

// fleet returns the members of three failure domains; the first of each domain is
// larger than the others.
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
	sh := Compute("db", place.Site{Domain: "a"}, 16, fleet(2), "a-0")
	require.Equal(t, Share{Quota: 2, Holders: 6}, sh)
}

func TestManyInstancesUseHomesInTheUpstreamsDomain(t *testing.T) {
	members := fleet(28)
	homes, total := 0, 0
	for _, me := range members {
		sh := Compute("db", place.Site{Domain: "b", Region: "rb"}, 31, members, me.Name)
		require.Len(t, sh.Homes, 2)
		for _, address := range sh.Homes {
			require.Equal(t, byte('b'), address[0])
		}
		if sh.Quota > 0 && !sh.IsDeputy {
			homes++
		}
		total += sh.Quota
	}
	require.Equal(t, 2, homes)
	require.LessOrEqual(t, total, 31-reservedConnections)
}

func TestFirstHomeStaysWhenOtherMembersLeave(t *testing.T) {
	members := fleet(28)
	before := Compute("db", place.Site{Domain: "b", Region: "rb"}, 31, members, "a-0").Homes
	var rest []Member
	for _, me := range members {
		if me.Name != "c-3" && me.Address != before[1] {
			rest = append(rest, me)
		}
	}
	after := Compute("db", place.Site{Domain: "b", Region: "rb"}, 31, rest, "a-0").Homes
	require.Equal(t, before[0], after[0])
	require.NotEqual(t, before[1], after[1])
}

func TestLargeInstancesAreHomesMoreOften(t *testing.T) {
	members := fleet(10)
	large := 0
	const upstreams = 400
	for num := range upstreams {
		homes := Compute(fmt.Sprintf("db-%d", num), place.Site{Domain: "a", Region: "ra"}, 31, members, "none").Homes
		if homes[0] == "a-0" {
			large++
		}
	}
	// The large member has 0.8 of the domain's total weight of 2.6.
	require.InDelta(t, 0.31, float64(large)/upstreams, 0.08)
}

func TestHomesAreInTheRegionIfTheDomainHasNoMember(t *testing.T) {
	sh := Compute("db", place.Site{Domain: "x", Region: "rb"}, 31, fleet(28), "a-0")
	require.Equal(t, byte('b'), sh.Homes[0][0])
}

func TestDeputiesFitBesideTheHomes(t *testing.T) {
	members := fleet(28)
	for _, connections := range []int{4, 6, 9, 16, 31, 152} {
		total, deputies := 0, 0
		for _, me := range members {
			sh := Compute("db", place.Site{Domain: "b", Region: "rb"}, connections, members, me.Name)
			total += sh.Quota
			if sh.IsDeputy {
				deputies++
				require.Contains(t, sh.Deputies, me.Address)
				require.NotContains(t, sh.Homes, me.Address)
			}
			require.Len(t, sh.Homes, homesPerUpstream)
		}
		require.LessOrEqual(t, total, connections-reservedConnections, "%d connections", connections)
		if connections >= 16 {
			require.Equal(t, deputiesPerUpstream, deputies)
		}
	}
}

// A large fleet keeps using homes while members are missing, although the connection
// limit would allow each remaining member two connections of its own (failure
// pattern part_of_a_large_fleet_restarts).
func TestLargeFleetKeepsHomesWhileMembersAreMissing(t *testing.T) {
	members := fleet(30)
	for missing := range 70 {
		sh := Compute("db", place.Site{Domain: "b", Region: "rb"}, 152, members[missing:], "none")
		require.Len(t, sh.Homes, homesPerUpstream, "%d members", len(members)-missing)
		require.Zero(t, sh.Quota)
	}
}

func TestOneDeputyIsInAnotherDomain(t *testing.T) {
	sh := Compute("db", place.Site{Domain: "b", Region: "rb"}, 31, fleet(28), "a-0")
	require.Len(t, sh.Deputies, deputiesPerUpstream)
	require.NotEqual(t, byte('b'), sh.Deputies[deputiesPerUpstream-1][0])
}

// A partition splits the instances into halves, while both halves reach the
// upstreams. If both homes of an upstream are in one half, the other half depends on
// the deputies (failure pattern split_fleet_loses_both_homes).
func TestSplitFleetLosesBothHomes(t *testing.T) {
	const upstreams, splits = 24, 40
	members := fleet(28)
	rng := rand.New(rand.NewPCG(7, 7))
	unreachedHomes, unreachedDeputies := 0, 0
	for range splits {
		isLeft := make(map[string]bool)
		for _, me := range members {
			isLeft[me.Address] = rng.IntN(2) == 0
		}
		for num := range upstreams {
			domain := string("abc"[num%3])
			sh := Compute(fmt.Sprintf("db-%d", num), place.Site{Domain: domain, Region: "r" + domain}, 152, members, "none")
			for _, side := range []bool{false, true} {
				reaches := func(addresses []string) bool {
					return slices.ContainsFunc(addresses, func(address string) bool { return isLeft[address] == side })
				}
				if !reaches(sh.Homes) {
					unreachedHomes++
					if !reaches(sh.Deputies) {
						unreachedDeputies++
					}
				}
			}
		}
	}
	sides := float64(2 * splits * upstreams)
	require.Greater(t, float64(unreachedHomes)/sides, 0.2)
	require.Less(t, float64(unreachedDeputies)/sides, 0.05)
}
