package engine

import (
	"math/rand/v2"
	"time"

	"banyanspring/core/catlg"
	"banyanspring/core/codes"
	"banyanspring/core/posn"
)

// readConstraint limits the upstreams that may serve a read.
type readConstraint struct {
	// leaderOnly is true if the upstream must prove that it leads.
	leaderOnly bool
	// minPosition is the position that the upstream must have applied; it is not
	// used if leaderOnly is true.
	minPosition posn.Position
}

const (
	// ageMargin is subtracted from a read's maximum age, for the time between
	// the choice of an upstream and the start of the read.
	ageMargin = 100 * time.Millisecond
	// sampleAfterRead is how long after its last read a group is still sampled.
	sampleAfterRead = 5 * time.Second
)

// Round trips that are assumed until one has been measured, and the costs that
// are added to the expected latency of an upstream.
const (
	roundTripInDomain    = 300 * time.Microsecond
	roundTripInRegion    = 2 * time.Millisecond
	roundTripCrossRegion = 17 * time.Millisecond
	// crossRegionPenalty is added for an upstream in another region: bandwidth
	// between regions is scarce and billed by volume.
	crossRegionPenalty = 10 * time.Millisecond
	// leaderPenalty is added for the leader, whose slots are needed for writes.
	leaderPenalty = 3 * time.Millisecond
)

// replicaConstraint returns the constraint under which any member may serve the
// read, and false if only the leader may.
func (ex *execution) replicaConstraint(now time.Time) (readConstraint, bool) {
	se := ex.rq.session
	if ex.rq.isStrict() {
		return readConstraint{}, false
	}
	po, ok := ex.gr.minPosition(now, se.target.MaxAge-ageMargin)
	if !ok {
		return readConstraint{}, false
	}
	if se.target.Consistency == catlg.Session {
		po = po.Max(se.lastWrite)
	}
	return readConstraint{minPosition: po}, true
}

// pickForRead returns the upstream for the next attempt of a read.
func (ex *execution) pickForRead() (*upstream, readConstraint, *codes.Refusal) {
	now := ex.en.deps.Now()
	if !now.Before(ex.rq.deadline) {
		return nil, readConstraint{}, ex.noUpstream("the deadline has passed")
	}
	if rc, ok := ex.replicaConstraint(now); ok {
		up := ex.cheapest(rc, now)
		if up == nil && !ex.isLastRound {
			ex.isLastRound = true
			up = ex.cheapest(rc, now)
		}
		if up != nil {
			return up, rc, nil
		}
	}
	up, ref := ex.awaitLeader(false)
	return up, readConstraint{leaderOnly: true}, ref
}

// cheapest returns the member with the lowest cost that satisfies the constraint,
// or nil if all have been tried, are avoided, are leaving or are behind.
func (ex *execution) cheapest(rc readConstraint, now time.Time) *upstream {
	var buf [8]*upstream
	able := buf[:0]
	for _, up := range ex.gr.allMembers() {
		if ex.attempts[up] > ex.maxPriorAttempts() || up.isAvoided(now) || up.info.Load().Leaving {
			continue
		}
		if up.isBehind(rc.minPosition, now) {
			continue
		}
		able = append(able, up)
	}
	var best *upstream
	var bestCost time.Duration
	leader, _ := ex.gr.currentLeader()
	for _, up := range ex.en.leaveOutliersOut(able) {
		cost := ex.en.cost(up)
		if up == leader {
			cost += leaderPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = up, cost
		}
	}
	return best
}

// maxPriorAttempts returns how many earlier attempts a member may have had to be
// tried again.
func (ex *execution) maxPriorAttempts() int {
	if ex.isLastRound {
		return 1
	}
	return 0
}

// cost estimates how long an upstream takes to answer one more statement, plus
// penalties.
func (en *Engine) cost(up *upstream) time.Duration {
	info := up.info.Load()
	// An upstream without a measured latency counts with its round trip alone, so
	// that it gets tried.
	latency := max(up.expectedLatency(en.deps.Now()), en.roundTrip(up, info.Domain))
	slots := max(info.Slots, 1)
	running, capacity, waiting := up.pool.Load()
	queued := int(up.inFlight.Load()) + waiting
	if running >= capacity {
		queued++
	}
	cost := latency + latency*time.Duration(queued)/time.Duration(slots)
	if en.settings.RegionOf[info.Domain] != en.settings.Site.Region {
		cost += crossRegionPenalty
	}
	// Jitter keeps the instances from all choosing the same upstream.
	return cost + time.Duration(rand.Int64N(int64(latency)/8+1))
}

// roundTrip returns the measured round trip to an upstream, or an assumed one.
func (en *Engine) roundTrip(up *upstream, domain string) time.Duration {
	if measured := up.pool.RoundTrip(); measured > 0 {
		return measured
	}
	switch {
	case domain == en.settings.Site.Domain:
		return roundTripInDomain
	case en.settings.RegionOf[domain] == en.settings.Site.Region:
		return roundTripInRegion
	}
	return roundTripCrossRegion
}
