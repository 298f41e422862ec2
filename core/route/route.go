// Package route orders the upstreams that may serve a request by preference.
package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyanspring/core/place"
	"banyanspring/core/posn"
)

// Upstream is the state of an upstream as the entry, the daemon that received the
// request, last learned it.
type Upstream struct {
	// Name is unique in the group.
	Name string
	// Site is the location of the upstream.
	Site place.Site
	// Primary is true for the upstream that claimed the newest known term.
	Primary bool
	// Leaving upstreams get no new requests.
	Leaving bool
	// FailedUntil is the time until which an upstream that failed is tried last.
	FailedUntil time.Time
	// BehindUntil is the time until which a replica that lagged is ranked lower for
	// reads beyond Position.
	BehindUntil time.Time
	// Position is the highest position that the upstream reported.
	Position posn.Position
}

// Request is a read to be routed.
type Request struct {
	// From is the location of the entry.
	From place.Site
	// MinPosition is the minimum position that the read must see.
	MinPosition posn.Position
	// PrimaryOnly is true for reads that tolerate no staleness.
	PrimaryOnly bool
	// TieBreakSeed is the seed of the pseudo-random order of upstreams of equal rank;
	// requests with different seeds distribute the load over them.
	TieBreakSeed uint64
}

// Ranks of candidates, best first. Upstreams in the entry's region come before those
// of other regions, because the link between regions is slow and charged by volume.
// In the entry's region and elsewhere, replicas come before the primary.
const (
	rankReplicaInDomain = iota
	rankReplicaInRegion
	rankPrimaryInRegion
	rankReplicaElsewhere
	rankPrimaryElsewhere
	// rankPenalty ranks an upstream below all that have no penalty.
	rankPenalty
)

// ReadCandidates returns the upstreams that may serve the read, in order of preference.
func ReadCandidates(ups []Upstream, rq Request, now time.Time) []Upstream {
	out := make([]Upstream, 0, len(ups))
	for _, up := range ups {
		if up.Leaving || (rq.PrimaryOnly && !up.Primary) {
			continue
		}
		out = append(out, up)
	}
	slices.SortStableFunc(out, func(left, right Upstream) int {
		if ord := cmp.Compare(rank(left, rq, now), rank(right, rq, now)); ord != 0 {
			return ord
		}
		return cmp.Compare(tieBreak(left.Name, rq.TieBreakSeed), tieBreak(right.Name, rq.TieBreakSeed))
	})
	return out
}

// Primary returns the upstream that accepts writes, and false if none is known.
func Primary(ups []Upstream) (Upstream, bool) {
	for _, up := range ups {
		if up.Primary {
			return up, true
		}
	}
	return Upstream{}, false
}

// rank returns the rank of an upstream for the request; a lower rank is better. An
// upstream that failed recently ranks below a replica that lags.
func rank(up Upstream, rq Request, now time.Time) int {
	base := baseRank(up, rq.From)
	if now.Before(up.FailedUntil) {
		return base + 2*rankPenalty
	}
	// A position of a higher term does not cover the minimum here, since it is not
	// known whether that term is in service.
	isBehind := now.Before(up.BehindUntil) && !up.Position.Covers(rq.MinPosition, false)
	if isBehind && !up.Primary {
		return base + rankPenalty
	}
	return base
}

func baseRank(up Upstream, from place.Site) int {
	inRegion := up.Site.Region == from.Region
	switch {
	case up.Primary && inRegion:
		return rankPrimaryInRegion
	case up.Primary:
		return rankPrimaryElsewhere
	case up.Site.Domain == from.Domain:
		return rankReplicaInDomain
	case inRegion:
		return rankReplicaInRegion
	default:
		return rankReplicaElsewhere
	}
}

// tieBreak returns a pseudo-random number that orders upstreams of equal rank.
func tieBreak(name string, seed uint64) uint64 {
	dig := xxhash.NewWithSeed(seed)
	_, _ = dig.WriteString(name)
	return dig.Sum64()
}
