package engine

import (
	"math/rand/v2"
	"time"

	"banyanspring/core/catlg"
	"banyanspring/core/codes"
	"banyanspring/core/posn"
)

// floor is where a read may run.
type floor struct {
	// atLeader asks for proof that the upstream leads.
	atLeader bool
	// position is the lowest log position; it is not used at the leader.
	position posn.Position
}

const (
	// ageMargin is kept free of a read's tolerated age for the time between the
	// decision and the read's start.
	ageMargin = 100 * time.Millisecond
	// sampleWhileRead is how long evidence is renewed after the last read.
	sampleWhileRead = 5 * time.Second
)

// Round trips assumed before a connection has measured one.
const (
	tripInDomain = 300 * time.Microsecond
	tripInRegion = 2 * time.Millisecond
	tripAcross   = 17 * time.Millisecond
	// acrossPenalty is added for another region, since the link between regions
	// is scarce and paid by volume.
	acrossPenalty = 10 * time.Millisecond
	// leaderPenalty is added for the leader, whose slots the writes need.
	leaderPenalty = 3 * time.Millisecond
)

// floorFor returns where a read may run, and false if only the leader can
// serve it.
func (tr *try) floorFor(now time.Time) (floor, bool) {
	se := tr.rq.session
	if tr.rq.isStrict() {
		return floor{}, false
	}
	po, ok := tr.gr.floor(now, se.target.MaxAge-ageMargin)
	if !ok {
		return floor{}, false
	}
	if se.target.Consistency == catlg.Session {
		po = po.Max(se.written)
	}
	return floor{position: po}, true
}

// pickForRead returns the upstream for the next attempt of a read.
func (tr *try) pickForRead() (*upstream, floor, *codes.Refusal) {
	now := tr.en.seams.Now()
	if !now.Before(tr.rq.deadline) {
		return nil, floor{}, tr.giveUp("the deadline has passed")
	}
	if fl, ok := tr.floorFor(now); ok {
		up := tr.cheapest(fl, now)
		if up == nil && !tr.isLastRound {
			tr.isLastRound = true
			up = tr.cheapest(fl, now)
		}
		if up != nil {
			return up, fl, nil
		}
	}
	up, ref := tr.awaitLeader()
	return up, floor{atLeader: true}, ref
}

// cheapest returns the member that likely answers first, or nil if each has
// been tried or is avoided.
func (tr *try) cheapest(fl floor, now time.Time) *upstream {
	var best *upstream
	var bestCost time.Duration
	leader, _ := tr.gr.currentLeader()
	for _, up := range tr.gr.all() {
		if tr.attempts[up] > tr.triedBefore() || up.isAvoided(now) || up.info.Load().Leaving {
			continue
		}
		if up.isBehind(fl.position, now) {
			continue
		}
		cost := tr.en.cost(up)
		if up == leader {
			cost += leaderPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = up, cost
		}
	}
	return best
}

// triedBefore is how often a member may have been tried already.
func (tr *try) triedBefore() int {
	if tr.isLastRound {
		return 1
	}
	return 0
}

// cost estimates when an upstream would have answered one more statement.
func (en *Engine) cost(up *upstream) time.Duration {
	info := up.info.Load()
	// One that has answered nothing yet is worth a try.
	latency := max(up.expected(en.seams.Now()), en.trip(up, info.Domain))
	slots := max(info.Slots, 1)
	running, room, waiting := up.pool.Load()
	queued := int(up.pending.Load()) + waiting
	if running >= room {
		queued++
	}
	cost := latency + latency*time.Duration(queued)/time.Duration(slots)
	if en.settings.RegionOf[info.Domain] != en.settings.Site.Region {
		cost += acrossPenalty
	}
	// A little chance keeps instances from all choosing the same upstream.
	return cost + time.Duration(rand.Int64N(int64(latency)/8+1))
}

// trip returns the round trip to an upstream.
func (en *Engine) trip(up *upstream, domain string) time.Duration {
	if got := up.pool.RoundTrip(); got > 0 {
		return got
	}
	switch {
	case domain == en.settings.Site.Domain:
		return tripInDomain
	case en.settings.RegionOf[domain] == en.settings.Site.Region:
		return tripInRegion
	}
	return tripAcross
}
