package member

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/elect"
	"banyanspring/core/group"
	"banyanspring/core/posn"
)

// state returns the change as package elect sees it.
func (mo *monitor) state(ch *leaderChange) elect.Change {
	now := mo.me.deps.Now()
	out := elect.Change{
		Term: ch.term, Leader: mo.replicaState(ch, ch.leader, ch.leaderResult), IsStopped: ch.isStopped,
		Known: mo.me.knownOf(mo.name), Listing: mo.me.confirmedListing(), Now: now, IsBelowKnownAllowed: mo.me.settings.BelowKnownAllowed,
	}
	// Nothing is left to wait for once the leader's log is gone too.
	isLeaderGone := mo.isGone(ch.leader, ch.leaderResult) || mo.isUnknownLeaderGone(ch)
	out.Leader.HasEnded = !out.Leader.Answered && isLeaderGone
	for _, up := range ch.replicas {
		re := mo.replicaState(ch, up, ch.result(up))
		if !re.IsListed && !re.Answered && mo.me.formers.hasEnded(up) {
			re.HasEnded, re.HasBound = true, isLeaderGone
		}
		out.Replicas = append(out.Replicas, re)
	}
	for _, fr := range ch.ended {
		out.Replicas = append(out.Replicas, elect.Replica{
			ID: fr.upstream.ID, Incarnation: fr.upstream.Incarnation, HasEnded: true, Bound: fr.bound, HasBound: fr.hasBound || isLeaderGone,
		})
	}
	if !isLeaderGone {
		out.Forgotten = mo.forgotten(ch)
	}
	return out
}

// forgotten returns what upstreams may have received that have left and are known to nobody who takes
// part in the change. Each member's bound holds beside the former upstreams that it knows, all of which
// are part of the change, so the lowest one does.
func (mo *monitor) forgotten(ch *leaderChange) elect.Unknown {
	bounds := slices.Clone(ch.forgotten)
	if own, ok := mo.me.formers.boundOfForgotten(mo.name); ok {
		bounds = append(bounds, own)
	}
	if len(bounds) == 0 {
		return elect.Unknown{IsUnbounded: true}
	}
	return elect.Unknown{Bound: slices.MinFunc(bounds, posn.Position.Compare)}
}

// stateIfStopped returns the change as it would be if the leader stopped now. Successes that were
// reported after the replicas answered are left out: once the leader has stopped, its log decides.
func (mo *monitor) stateIfStopped(ch *leaderChange) elect.Change {
	st := mo.state(ch)
	st.IsStopped, st.Known = true, nil
	for pos := range st.Replicas {
		st.Replicas[pos].IsFrozen = true
	}
	return st
}

// errNotAsked is the result of an upstream that became part of the change since the last order.
var errNotAsked = errors.New("not asked yet")

// result returns a replica's latest answer.
func (ch *leaderChange) result(up group.Upstream) orderResult {
	if res, ok := ch.results[up.ID]; ok {
		return res
	}
	return orderResult{err: errNotAsked}
}

// isGone reports whether an upstream that did not answer is to be treated as gone.
func (mo *monitor) isGone(up group.Upstream, res orderResult) bool {
	fr, ok := mo.me.formers.get(up)
	return ok && res.err != nil && mo.me.isMissing(fr)
}

// isUnknownLeaderGone reports whether a leader that is not known is to be treated as gone unless
// its log is among those that answered: all other upstreams of the group have ended, and none may come back
// that had lost its entry before this member started.
func (mo *monitor) isUnknownLeaderGone(ch *leaderChange) bool {
	isFollowed := mo.me.confirmedListing().MissingFor(mo.me.startedAt) >= goneAfter
	return ch.leader.ID == "" && isFollowed && !slices.ContainsFunc(ch.replicas, func(up group.Upstream) bool {
		return ch.result(up).err != nil && !mo.me.formers.hasEnded(up)
	})
}

// handoverTime is the time in which an upstream is promoted and hands its log over to
// another one.
const handoverTime = takeoverTimeout

// replicaState returns an upstream's state from its latest answer. Of upstreams that hold
// the same, those of the leader's region are preferred; all members choose alike.
func (mo *monitor) replicaState(ch *leaderChange, up group.Upstream, res orderResult) elect.Replica {
	now := mo.me.deps.Now()
	_, isListed := ch.view.GetUpstreamByID(up.ID)
	hasLog := res.report.Received.Offset > 0
	re := elect.Replica{
		ID: up.ID, Incarnation: up.Incarnation, Answered: res.err == nil, IsListed: isListed, IsLeaving: up.Leaving,
		ClaimsLead: res.report.ClaimsLead, IsFrozen: res.report.FrozenTerm > 0, Received: res.report.Received, Term: res.report.Term,
		EndsSoon: mo.me.sightings.endsBefore(up, now.Add(handoverTime), mo.me.settings.DrainBound),
		// One that serves for longer than the bound would have answered meanwhile.
		IsPastDrain:  mo.isLongSilent(up) && mo.isPastDrain(up, now),
		IsLongSilent: mo.isLongSilent(up),
		HasLostLog:   res.err == nil && !hasLog && mo.me.sightings.isListedFor(up, logGrace, now),
	}
	regions := mo.me.settings.RegionOf
	if !mo.me.settings.LeasesRequired && regions[up.Domain] == regions[ch.leader.Domain] {
		re.Preference = 1
	}
	return re
}

// isPastDrain reports whether the upstream has been shutting down for longer than a drain takes.
func (mo *monitor) isPastDrain(up group.Upstream, now time.Time) bool {
	return mo.me.sightings.endsBefore(up, now, mo.me.settings.DrainBound)
}

// askLeader sends an order to the leader, also through other members.
func (mo *monitor) askLeader(ch *leaderChange, timeout time.Duration, or order) orderResult {
	if ch.leader.Address == "" {
		return orderResult{err: errors.New("the leader's address is not known")}
	}
	wait := relayAfter
	if ch.isSilent {
		wait = 0
	}
	return mo.me.orders.runAnyhow(ch.leader, timeout, wait, or)
}

// askReplicas asks all replicas for their reports. Those without an entry, most of which have
// just ended, get less time: only a freeze needs their answers.
func (mo *monitor) askReplicas(ch *leaderChange, timeout time.Duration) {
	ch.results = mo.sendToReplicas(ch, order{Kind: orderStatus}, func(up group.Upstream) time.Duration {
		if _, isListed := ch.view.GetUpstreamByID(up.ID); !isListed {
			return min(timeout, unlistedTimeout)
		}
		return timeout
	})
}

// unlistedTimeout bounds a request for a report to an upstream without an entry.
const unlistedTimeout = 100 * time.Millisecond

// askListed asks the listed replicas for their reports, and keeps the earlier answers of the
// others.
func (mo *monitor) askListed(ch *leaderChange, timeout time.Duration) {
	results := maps.Clone(ch.results)
	var listed []group.Upstream
	for _, up := range ch.replicas {
		if _, isListed := ch.view.GetUpstreamByID(up.ID); isListed {
			listed = append(listed, up)
		}
	}
	maps.Copy(results, forAll(listed, func(up group.Upstream) orderResult {
		return mo.me.orders.runAnyhow(up, timeout, relayAfter, order{Kind: orderStatus})
	}))
	ch.results = results
}

// readBack asks all replicas for their reports after they were ordered to freeze.
func (mo *monitor) readBack(ch *leaderChange) {
	ch.results = mo.sendToReplicas(ch, order{Kind: orderStatus}, mo.timeouts(ch, orderTryTimeout))
}

// sendToReplicas sends an order to all replicas, also through other members.
func (mo *monitor) sendToReplicas(ch *leaderChange, or order, timeout func(up group.Upstream) time.Duration) map[string]orderResult {
	results := forAll(ch.replicas, func(up group.Upstream) orderResult { return mo.me.orders.runAnyhow(up, timeout(up), relayAfter, or) })
	mo.recordEnded(ch, results)
	return results
}

// silence is how long an upstream has answered no order.
type silence struct {
	since time.Time
	// askedAt is when it did not answer last.
	askedAt time.Time
}

const (
	// longSilence is how long an upstream must have answered nobody before it is passed over
	// to save the log of another one that may end soon.
	longSilence = 2 * time.Second
	// maxSilenceGap is the time between two orders after which the silence counts anew. It is
	// longer than a failed change and the pause after it.
	maxSilenceGap = 5 * time.Second
)

// recordSilences records which upstreams did not answer an order, nor one that another member
// passed on.
func (mo *monitor) recordSilences(ups []group.Upstream, results map[string]orderResult, now time.Time) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	maps.DeleteFunc(mo.silences, func(_ incarnation, sl silence) bool { return now.Sub(sl.askedAt) > maxSilenceGap })
	for _, up := range ups {
		ke := incarnationOf(up)
		if results[up.ID].err == nil {
			delete(mo.silences, ke)
			continue
		}
		sl, ok := mo.silences[ke]
		if !ok {
			sl.since = now
		}
		sl.askedAt = now
		mo.silences[ke] = sl
	}
}

// isLongSilent reports whether the upstream has answered no order for longSilence.
func (mo *monitor) isLongSilent(up group.Upstream) bool {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	sl := mo.silences[incarnationOf(up)]
	return sl.askedAt.Sub(sl.since) >= longSilence
}

// recordEnded records the upstreams that are not listed and have ended, those that do not answer, and
// what the others have received.
func (mo *monitor) recordEnded(ch *leaderChange, results map[string]orderResult) {
	now := mo.me.deps.Now()
	mo.recordSilences(ch.replicas, results, now)
	mo.recordReports(ch.replicas, results, now)
	for _, up := range ch.replicas {
		if mo.isGone(up, results[up.ID]) {
			mo.markEnded(up, endedMissing)
		}
	}
}

// allResults returns the latest answers of all upstreams.
func (ch *leaderChange) allResults() map[string]orderResult {
	out := map[string]orderResult{ch.leader.ID: ch.leaderResult}
	for id, res := range ch.results {
		out[id] = res
	}
	return out
}

func upstreamsExcept(ups []group.Upstream, id string) []group.Upstream {
	out := make([]group.Upstream, 0, len(ups))
	for _, up := range ups {
		if up.ID != id {
			out = append(out, up)
		}
	}
	return out
}

func highestTerm(results map[string]orderResult) uint64 {
	var term uint64
	for _, res := range results {
		if res.err == nil {
			term = max(term, res.report.Term)
		}
	}
	return term
}

func (ch *leaderChange) upstreamByID(id string) (group.Upstream, bool) {
	if ch.leader.ID == id {
		return ch.leader, true
	}
	pos := slices.IndexFunc(ch.replicas, func(up group.Upstream) bool { return up.ID == id })
	if pos < 0 {
		return group.Upstream{}, false
	}
	return ch.replicas[pos], true
}
