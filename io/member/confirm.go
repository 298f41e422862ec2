package member

import (
	"slices"
	"time"

	"banyanspring/core/group"
	"banyanspring/core/lease"
)

// confirmInterval is the time between two requests of the coordinator that confirm a
// leader. With the exchanges that pass them on, confirmations reach all members well
// within lease.Duration.
const confirmInterval = 200 * time.Millisecond

// confirmation is the state of the coordinator's requests that confirm a group's
// leader for all members (see package lease).
type confirmation struct {
	// askedAt is when the last request began.
	askedAt time.Time
	// isAsking is true while one is running.
	isAsking bool
	// skip counts the replicas that are asked later, since others before them in
	// order did not confirm the leader.
	skip int
	// frozenSince is since when replicas were seen frozen at each request; zero if the
	// last one found none.
	frozenSince time.Time
}

// beginConfirmation asks a replica to confirm the leader if it is time; mu is held.
func (mo *monitor) beginConfirmation(ups []group.Upstream, held lease.Evidence, now time.Time) {
	if !mo.me.settings.LeasesRequired || mo.confirmation.isAsking || now.Sub(mo.confirmation.askedAt) < confirmInterval {
		return
	}
	mo.confirmation.isAsking, mo.confirmation.askedAt = true, now
	go mo.confirmLeader(ups, held, mo.confirmation.skip)
}

// confirmLeader asks one replica for a report, or all members while the leader is not
// known or the replica does not confirm it.
func (mo *monitor) confirmLeader(ups []group.Upstream, held lease.Evidence, skip int) {
	replicas := mo.byDistance(upstreamsExcept(ups, held.Leader))
	var reports []lease.Report
	isConfirmed := false
	if held.Leader != "" && len(replicas) > 0 {
		reports = mo.askReports(replicas[skip%len(replicas):][:1])
		isConfirmed = mo.observeReports(held, len(ups), reports)
	}
	if !isConfirmed {
		mo.observeReports(held, len(ups), mo.askReports(ups))
	}
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.confirmation.isAsking = false
	if !isConfirmed {
		mo.confirmation.skip = skip + 1
	}
}

// observeReports passes the evidence in the reports to the engine and reports whether
// there is any.
func (mo *monitor) observeReports(held lease.Evidence, members int, reports []lease.Report) bool {
	fi, ok := lease.Judge(held, members, reports)
	if ok {
		mo.me.engine.ObserveLease(mo.name, fi)
	}
	mo.recordFrozen(reports)
	return ok
}

// recordFrozen records whether a replica is frozen.
func (mo *monitor) recordFrozen(reports []lease.Report) {
	now := mo.me.deps.Now()
	mo.mu.Lock()
	defer mo.mu.Unlock()
	isFrozen := slices.ContainsFunc(reports, func(re lease.Report) bool { return re.IsFrozen })
	switch {
	case !isFrozen:
		mo.confirmation.frozenSince = time.Time{}
	case mo.confirmation.frozenSince.IsZero():
		mo.confirmation.frozenSince = now
	}
}

// isAbandoned reports whether replicas have been frozen for so long that the member
// that froze them has given up or failed; mu is held.
func (mo *monitor) isAbandoned(now time.Time) bool {
	since := mo.confirmation.frozenSince
	return !since.IsZero() && now.Sub(since) >= abandonedAfter
}

// abandonedAfter is longer than one attempt at a change of leader takes.
const abandonedAfter = takeoverTimeout + 500*time.Millisecond

// askReports asks the upstreams for their reports on the monitor's own connections.
func (mo *monitor) askReports(ups []group.Upstream) []lease.Report {
	askedAt := mo.me.deps.Now()
	results := mo.me.orders.runAll(ups, probeTimeout, order{Kind: orderStatus})
	var out []lease.Report
	for id, res := range results {
		if res.err == nil {
			out = append(out, res.report.Lease(id, askedAt))
		}
	}
	return out
}

// byDistance returns the upstreams, those of this member's failure domain first, then
// those of its region.
func (mo *monitor) byDistance(ups []group.Upstream) []group.Upstream {
	site := mo.me.settings.Site
	distance := func(up group.Upstream) int {
		switch {
		case up.Domain == site.Domain:
			return 0
		case mo.me.settings.RegionOf[up.Domain] == site.Region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(ups, func(left, right group.Upstream) int { return distance(left) - distance(right) })
	return ups
}
