// Package share divides the few connections that an upstream takes among all
// instances: evenly while each can have enough, or else to a few homes through
// which the others reach it, and to deputies for those who reach no home.
package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"banyanspring/core/place"
)

// Member is one instance that shares.
type Member struct {
	// Name is unique in the fleet.
	Name string
	// Address is where the member relays, "ip:port".
	Address string
	Site    place.Site
	// Weight is the member's size; a home's load grows with its weight.
	Weight float64
}

// Share is what one instance has of an upstream's connections.
type Share struct {
	// Quota is how many connections the instance may have; 0 if it is to use
	// the homes.
	Quota int
	// Holders counts the instances that have a quota.
	Holders int
	// Homes holds the addresses of the homes, best first; empty if each
	// instance has a quota.
	Homes []string
	// Deputies holds the addresses of the instances to go through while no home
	// is in reach, best first.
	Deputies []string
	// IsDeputy is true if Quota is kept for those who reach no home, this
	// instance included.
	IsDeputy bool
}

const (
	// reserved connections are shared out to nobody: the holder of the duty and
	// its successor need one each.
	reserved = 2
	// enough is how many connections an instance needs to do without homes: one
	// may be held by a transaction.
	enough = 2
	// mostHolders is how many instances may hold connections to an upstream on
	// their own. Each keeps two statements there, and an upstream of two slots
	// refuses what comes behind some sixteen. Beyond it homes are used whatever
	// the cap, so that a large fleet that loses a part does not change its way.
	mostHolders = 16
	// homesEach is how many homes an upstream has. Fewer homes queue less, since
	// a connection or a slot that is idle at one cannot serve another's callers;
	// two keep the upstream in reach when one fails.
	homesEach = 2
	// deputiesEach is how many deputies an upstream has. A fleet that is split in
	// halves leaves one of them without any of six instances once in 32, without
	// any of two once in 2.
	deputiesEach = 4
	// deputyPart is the part of the connections that one deputy has: it serves
	// few callers, and seldom.
	deputyPart = 12
)

// Of returns self's share of the connections to an upstream, which stands at
// the site and takes connections connections from all instances together.
func Of(upstream string, at place.Site, connections int, members []Member, self string) Share {
	free := max(connections-reserved, 1)
	if len(members) == 0 {
		return Share{Quota: 1, Holders: 1}
	}
	if even := free / len(members); even >= enough && len(members) <= mostHolders {
		return Share{Quota: even, Holders: len(members)}
	}
	ranked := rank(upstream, at, members)
	homes := ranked[:min(homesEach, len(ranked))]
	spare := max(1, free/deputyPart)
	deputies := deputiesOf(ranked, homes, free, spare)
	sh := Share{Holders: len(homes)}
	for _, me := range homes {
		if me.Name == self {
			sh.Quota = max(1, (free-spare*len(deputies))/len(homes))
		}
		sh.Homes = append(sh.Homes, me.Address)
	}
	for _, me := range deputies {
		if me.Name == self {
			sh.Quota, sh.IsDeputy = spare, true
		}
		sh.Deputies = append(sh.Deputies, me.Address)
	}
	return sh
}

// deputiesOf returns the next members in rank, the last of them from another
// failure domain, since the upstream may live on while its domain's instances
// do not. There are none if the homes would have too little left.
func deputiesOf(ranked, homes []Member, free, spare int) []Member {
	rest := ranked[len(homes):]
	if free-deputiesEach*spare < enough*len(homes) {
		return nil
	}
	if len(rest) <= deputiesEach {
		return rest
	}
	out := slices.Clone(rest[:deputiesEach-1])
	for _, me := range rest[deputiesEach-1:] {
		if me.Site.Domain != homes[0].Site.Domain {
			return append(out, me)
		}
	}
	return append(out, rest[deputiesEach-1])
}

// rank orders the members as homes of an upstream: those of its failure domain
// by weighted rendezvous hashing, then others of its region, then the rest.
func rank(upstream string, at place.Site, members []Member) []Member {
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
		all = append(all, scored{member: me, tier: tier, score: score(upstream, me)})
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

// score is the member's draw for the upstream; the chance to have the highest
// is proportional to the weight.
func score(upstream string, me Member) float64 {
	dig := xxhash.New()
	_, _ = dig.WriteString(upstream)
	_, _ = dig.Write([]byte{0})
	_, _ = dig.WriteString(me.Name)
	const halfULP = 0.5
	unit := (float64(dig.Sum64()>>11) + halfULP) / (1 << 53)
	return -max(me.Weight, math.SmallestNonzeroFloat64) / math.Log(unit)
}
