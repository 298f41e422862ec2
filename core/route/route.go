// Package route chooses the upstreams that may serve a request, best first.
package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyanspring/core/place"
	"banyanspring/core/posn"
)

// Upstream is what an entry knows of one upstream.
type Upstream struct {
	// Name is unique in the group.
	Name string
	// Site is where the upstream stands.
	Site place.Site
	// Primary is true for the upstream that claimed the newest known term.
	Primary bool
	// Leaving upstreams get no new work.
	Leaving bool
	// FailedUntil is when a failed upstream is worth another try.
	FailedUntil time.Time
	// BehindUntil is when a replica that was behind is worth another try.
	BehindUntil time.Time
	// Position is the highest position that the upstream reported.
	Position posn.Position
}

// Request is a read that looks for an upstream.
type Request struct {
	// From is where the entry stands.
	From place.Site
	// Floor is the lowest position that the read may see.
	Floor posn.Position
	// PrimaryOnly is true for reads that tolerate no staleness.
	PrimaryOnly bool
	// Spread breaks ties between upstreams that are equally good.
	Spread uint64
}

// Ranks of candidates, best first. Replicas in the entry's own region go
// before the primary, and the primary goes before another region's replicas:
// the link between regions is slow and paid by volume.
const (
	rankReplicaInDomain = iota
	rankReplicaInRegion
	rankPrimaryInRegion
	rankReplicaElsewhere
	rankPrimaryElsewhere
	// rankPenalty moves an upstream behind all that have no penalty.
	rankPenalty
)

// Reads returns the upstreams that may serve the read, best first.
func Reads(ups []Upstream, rq Request, now time.Time) []Upstream {
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
		return cmp.Compare(tie(left.Name, rq.Spread), tie(right.Name, rq.Spread))
	})
	return out
}

// Primary returns the upstream that takes writes, and false if none is known.
func Primary(ups []Upstream) (Upstream, bool) {
	for _, up := range ups {
		if up.Primary {
			return up, true
		}
	}
	return Upstream{}, false
}

func rank(up Upstream, rq Request, now time.Time) int {
	base := baseRank(up, rq.From)
	if now.Before(up.FailedUntil) {
		return base + 2*rankPenalty
	}
	isBehind := now.Before(up.BehindUntil) && !up.Position.Covers(rq.Floor, false)
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

func tie(name string, spread uint64) uint64 {
	dig := xxhash.NewWithSeed(spread)
	_, _ = dig.WriteString(name)
	return dig.Sum64()
}
