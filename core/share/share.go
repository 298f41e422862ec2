// Package share divides the limited connections to an upstream among all
// instances. If there are enough, each instance gets an equal quota. Otherwise a
// few instances, the upstream's homes, hold the connections and relay the requests
// of the others, and a few deputies do so for instances that cannot reach any home.
package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"banyanspring/core/place"
)

// Member is one instance of the fleet.
type Member struct {
	// Name is unique in the fleet.
	Name string
	// Address is the address of the member's relay, "ip:port".
	Address string
	// Site is the location of the member.
	Site place.Site
	// Weight is the member's relative size. A larger member is home of more
	// upstreams, and its load grows accordingly.
	Weight float64
}

// Share is one instance's share of the connections to an upstream.
type Share struct {
	// Quota is the maximum number of connections of the instance; 0 if it may have
	// none and sends all requests through the homes or the deputies.
	Quota int
	// Holders counts the instances between which the connections are divided;
	// deputies are not counted.
	Holders int
	// Homes holds the addresses of the homes, in order of preference; empty if each
	// instance has a quota.
	Homes []string
	// Deputies holds the addresses of the deputies, in order of preference. They are
	// used only while no home is reachable.
	Deputies []string
	// IsDeputy is true if the instance is a deputy. Like an instance without a quota
	// it sends its callers' requests through the homes; it uses Quota only for
	// instances, itself included, that reach no home.
	IsDeputy bool
}

const (
	// reservedConnections are not shared out: the coordinator and its successor need
	// one connection each.
	reservedConnections = 2
	// minQuota is the number of connections that an instance needs to work without
	// homes: a transaction may hold one of them.
	minQuota = 2
	// maxHolders is how many instances may have their own connections to an upstream.
	// The number is limited because each has minQuota connections or more, and can
	// have at least that many statements at the upstream at once, while an upstream
	// with two slots refuses statements once about 16 are queued. Larger fleets use
	// homes whatever the connection limit, so that routes stay the same while some
	// members of a large fleet are missing.
	maxHolders = 16
	// homesPerUpstream is the number of homes of an upstream. Fewer homes mean shorter
	// queues, since a connection or slot that is idle at one home cannot serve the
	// callers of another. With two the upstream stays reachable if one home fails.
	homesPerUpstream = 2
	// deputiesPerUpstream is the number of deputies of an upstream. If a partition
	// splits the fleet into random halves, the probability that one half has none of
	// the two homes and four deputies is 1/32; with the homes alone it would be 1/2.
	deputiesPerUpstream = 4
	// deputyDivisor sets the quota of a deputy to 1/12 of the connections: it serves
	// few callers, and rarely.
	deputyDivisor = 12
)

// Compute returns self's share of the connections to an upstream at the given site,
// which accepts the given number of connections from all instances together.
func Compute(upstream string, at place.Site, connections int, members []Member, self string) Share {
	available := max(connections-reservedConnections, 1)
	if len(members) == 0 {
		return Share{Quota: 1, Holders: 1}
	}
	if evenQuota := available / len(members); evenQuota >= minQuota && len(members) <= maxHolders {
		return Share{Quota: evenQuota, Holders: len(members)}
	}
	ranked := rankHomes(upstream, at, members)
	homes := ranked[:min(homesPerUpstream, len(ranked))]
	deputyQuota := max(1, available/deputyDivisor)
	deputies := deputiesOf(ranked, homes, available, deputyQuota)
	sh := Share{Holders: len(homes)}
	for _, me := range homes {
		if me.Name == self {
			sh.Quota = max(1, (available-deputyQuota*len(deputies))/len(homes))
		}
		sh.Homes = append(sh.Homes, me.Address)
	}
	for _, me := range deputies {
		if me.Name == self {
			sh.Quota, sh.IsDeputy = deputyQuota, true
		}
		sh.Deputies = append(sh.Deputies, me.Address)
	}
	return sh
}

// deputiesOf returns the next members in rank after the homes. The last one is of
// another failure domain than the first home if there is one, since the upstream
// may keep running while all instances in that domain fail. There are no deputies
// if each home would be left with fewer than minQuota connections.
func deputiesOf(ranked, homes []Member, available, deputyQuota int) []Member {
	rest := ranked[len(homes):]
	if available-deputiesPerUpstream*deputyQuota < minQuota*len(homes) {
		return nil
	}
	if len(rest) <= deputiesPerUpstream {
		return rest
	}
	out := slices.Clone(rest[:deputiesPerUpstream-1])
	for _, me := range rest[deputiesPerUpstream-1:] {
		if me.Site.Domain != homes[0].Site.Domain {
			return append(out, me)
		}
	}
	return append(out, rest[deputiesPerUpstream-1])
}

// rankHomes orders the members by preference as homes of an upstream: members of
// its failure domain first, then of its region, then the others, each by weighted
// rendezvous hashing.
func rankHomes(upstream string, at place.Site, members []Member) []Member {
	type scored struct {
		member Member
		tier   int
		score  float64
	}
	all := make([]scored, 0, len(members))
	for _, me := range members {
		tier := 2
		switch {
		case me.Site.Domain == at.Domain:
			tier = 0
		case me.Site.Region == at.Region:
			tier = 1
		}
		all = append(all, scored{member: me, tier: tier, score: rendezvousScore(upstream, me)})
	}
	slices.SortFunc(all, func(left, right scored) int {
		if ord := cmp.Compare(left.tier, right.tier); ord != 0 {
			return ord
		}
		return cmp.Compare(right.score, left.score)
	})
	out := make([]Member, 0, len(all))
	for _, sc := range all {
		out = append(out, sc.member)
	}
	return out
}

// rendezvousScore returns the member's weighted rendezvous hash for the upstream.
// The probability of the highest score is proportional to the weight.
func rendezvousScore(upstream string, me Member) float64 {
	hash := hashPair(upstream, me.Name)
	// halfULP (half a unit in the last place of the 53-bit hash) keeps unit above 0,
	// since the logarithm of 0 is infinite.
	const halfULP = 0.5
	unit := (float64(hash>>11) + halfULP) / (1 << 53)
	return -max(me.Weight, math.SmallestNonzeroFloat64) / math.Log(unit)
}

func hashPair(left, right string) uint64 {
	dig := xxhash.New()
	_, _ = dig.WriteString(left)
	_, _ = dig.Write([]byte{0})
	_, _ = dig.WriteString(right)
	return dig.Sum64()
}
