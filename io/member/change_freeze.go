package member

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/group"
)

// freezeAll freezes all replicas, those included that have just joined, and reads back
// that they are frozen. A leader that nobody reached is ordered to step down meanwhile, in
// case that it goes on. If it does not confirm that, no write that it acknowledges from then
// on may reach a caller: it may do so through an upstream that has joined and is not listed
// here yet. The listing is confirmed after that.
func (mo *monitor) freezeAll(ctx context.Context, ch *leaderChange) error {
	if err := mo.checkFreeze(ch); err != nil {
		return err
	}
	if !ch.isStopped {
		mo.beginSuspension(ch)
		if err := mo.awaitQuorum(ctx, ch); err != nil {
			return err
		}
	}
	mo.addFormers(ch)
	stopped := make(chan orderResult, 1)
	go func() { stopped <- mo.stopSilentLeader(ch) }()
	ch.frozen = ch.replicas
	mo.recordFreeze(ch.frozen)
	results := mo.freezeReplicas(ch)
	ch.confirmFreeze(results)
	mo.logStep("freeze", "the leader must not acknowledge anything more through a replica", results)
	if res := <-stopped; res.err == nil {
		mo.applyStop(ch, res)
	}
	if !ch.isStopped && !mo.isHolderEnding(ch, results) {
		if err := mo.awaitSuspension(ctx, ch); err != nil {
			return err
		}
	}
	if err := mo.confirmListing(ctx, ch); err != nil {
		return err
	}
	if id, ok := mo.restartedSince(ch); ok {
		return errors.Wrap(errRestarted, id)
	}
	mo.freezeJoined(ch)
	mo.freezeResigned(ch)
	mo.readBack(ch)
	mo.logStep("prove", "the replicas are frozen immediately before the call", ch.allResults())
	return nil
}

// timeouts returns the timeout of an order to each replica. Those that did not answer the survey
// get less if the only holders of writes may end soon.
func (mo *monitor) timeouts(ch *leaderChange, usual time.Duration) func(up group.Upstream) time.Duration {
	isUrgent := mo.state(ch).IsOnlyHeldByEnding()
	return func(up group.Upstream) time.Duration {
		if isUrgent && ch.result(up).err != nil {
			return silentStopTimeout
		}
		return usual
	}
}

// maxTermStep bounds how much higher the term of a freeze is set at most. It doubles with each
// step.
const maxTermStep = 64

// freezeReplicas orders all replicas to freeze and returns their answers. A replica ignores a term
// that is not newer than the newest one of the platform, which may be that of a leader which has
// ended before any replica learned of its term; it is ordered again with higher ones.
func (mo *monitor) freezeReplicas(ch *leaderChange) map[string]orderResult {
	results := mo.sendToReplicas(ch, order{Kind: orderFreeze, Term: ch.freezeTerm}, mo.timeouts(ch, orderTimeout))
	for step := uint64(1); step <= maxTermStep; step *= 2 {
		ignored := slices.DeleteFunc(slices.Clone(ch.replicas), func(up group.Upstream) bool {
			res := results[up.ID]
			return res.err != nil || res.report.FrozenTerm > 0 || res.report.ClaimsLead || res.report.Term > ch.term
		})
		if len(ignored) == 0 {
			break
		}
		ch.freezeTerm = ch.term + 1 + step
		mo.logStep("freeze", fmt.Sprintf("the term was not newer than that of the platform; now %d", ch.freezeTerm), results)
		maps.Copy(results, forAll(ignored, func(up group.Upstream) orderResult {
			return mo.me.orders.runAnyhow(up, orderTryTimeout, relayAfter, order{Kind: orderFreeze, Term: ch.freezeTerm})
		}))
	}
	return results
}

// isHolderEnding reports whether the replicas that hold more than the others, by their answers to
// the freeze, may end before they are promoted if the change waits for the end of all writes.
// Those that the leader acknowledges meanwhile through an upstream which has just joined may be
// lost; what these replicas hold would be.
func (mo *monitor) isHolderEnding(ch *leaderChange, results map[string]orderResult) bool {
	frozen := *ch
	frozen.results = results
	if !mo.state(&frozen).IsOnlyHeldByEnding() {
		return false
	}
	mo.logSuspension(ch, "not awaited: the only holders of writes may end meanwhile", 0)
	return true
}

// confirmListing reads the listing again. It returns an error if neither the store nor most
// members confirm the listing: it may lack upstreams through which the leader
// acknowledges writes.
func (mo *monitor) confirmListing(ctx context.Context, ch *leaderChange) error {
	began := mo.me.deps.Now()
	err := mo.me.refreshListing(ctx)
	if err == nil || (ch.suspension != nil && ch.suspension.confirmsListing(mo.me.listing().ContentRevision)) {
		return nil
	}
	for until := began.Add(confirmTimeout); !mo.hasHeardMajority(began); {
		if !mo.me.deps.Now().Before(until) {
			return errors.Wrap(errListingOld, err.Error())
		}
		time.Sleep(confirmPause)
	}
	return nil
}

const (
	// confirmTimeout is how long most members may take to be heard from if the store does
	// not confirm the listing; exchanges take place twice in that time.
	confirmTimeout = 2 * exchangeInterval
	// confirmPause is the time between two checks of that.
	confirmPause = 10 * time.Millisecond
)

// freezeResigned freezes an upstream that was taken for the leader and answers as a replica:
// the present leader may acknowledge writes because of it.
func (mo *monitor) freezeResigned(ch *leaderChange) {
	re := ch.leaderResult.report
	if ch.leaderResult.err != nil || re.ClaimsLead || ch.isStopped {
		return
	}
	ch.frozen = append(slices.Clone(ch.frozen), ch.leader)
	mo.recordFreeze(ch.frozen[len(ch.frozen)-1:])
	ch.leaderResult = mo.askLeader(ch, orderTryTimeout, order{Kind: orderFreeze, Term: ch.freezeTerm})
	mo.logStep("freeze", "the former leader receives the log", map[string]orderResult{ch.leader.ID: ch.leaderResult})
}

// hasHeardMajority reports whether most members have formed an opinion on the group's leader
// since the time given that has reached this one, and none has sent a newer listing lately. A
// member that hears from fewer and does not reach the store may lack upstreams in its listing.
func (mo *monitor) hasHeardMajority(since time.Time) bool {
	heard := 1
	if mo.me.deps.Now().Sub(mo.me.newerListingAt.load()) <= maxOpinionAge {
		return false
	}
	for _, op := range mo.me.opinions.forGroup(mo.name) {
		if !op.ReceivedAt.Before(since) {
			heard += max(1, op.Count)
		}
	}
	return 2*heard > mo.me.roster.count()
}

// stopSilentLeader orders a leader that did not answer the survey to step down. It returns
// an error if that leader does not answer now either.
func (mo *monitor) stopSilentLeader(ch *leaderChange) orderResult {
	if ch.leaderResult.err == nil {
		return orderResult{err: errLeaderAnswers}
	}
	if mo.currentAppointments().mayBeAppointedLate(ch.leader.ID, mo.me.deps.Now()) {
		return orderResult{err: errLateAppointment}
	}
	return mo.askLeader(ch, silentStopTimeout, order{Kind: orderStepDown, Term: ch.term + 1})
}

// confirmFreeze records which replicas reported that they are frozen.
func (ch *leaderChange) confirmFreeze(results map[string]orderResult) {
	ch.confirmed = make(map[string]bool, len(results))
	for id, res := range results {
		ch.confirmed[id] = res.err == nil && res.report.FrozenTerm > 0
	}
}

// checkNoNewUpstream returns an error if an upstream joined the group after the replicas
// were frozen: a leader that has not stopped could acknowledge writes because of it.
func (mo *monitor) checkNoNewUpstream(ch *leaderChange) error {
	if joined := mo.joinedSince(ch); len(joined) > 0 {
		return errors.Wrap(errJoined, joined[0].ID)
	}
	return nil
}

// joinedSince returns the listed upstreams that are not part of the change.
func (mo *monitor) joinedSince(ch *leaderChange) []group.Upstream {
	var out []group.Upstream
	for _, up := range mo.me.listing().Members(mo.name) {
		isKnown := up.IsSameIncarnation(ch.leader) || slices.ContainsFunc(ch.replicas, up.IsSameIncarnation)
		if !isKnown {
			out = append(out, up)
		}
	}
	return out
}

// restartedSince returns a member of the change that is listed as another incarnation now:
// what its earlier one had received is not known.
func (mo *monitor) restartedSince(ch *leaderChange) (string, bool) {
	for _, up := range mo.me.listing().Members(mo.name) {
		if old, ok := ch.upstreamByID(up.ID); ok && !up.IsSameIncarnation(old) {
			return up.ID, true
		}
	}
	return "", false
}

// freezeJoined freezes the upstreams that joined the group since the survey, and those without
// an entry that this member has learned of since: a leader that has not stopped acknowledges
// writes because of them until the new one leads.
func (mo *monitor) freezeJoined(ch *leaderChange) {
	known := len(ch.replicas)
	ch.replicas = append(slices.Clone(ch.replicas), mo.joinedSince(ch)...)
	mo.addFormers(ch)
	joined := ch.replicas[known:]
	if len(joined) == 0 {
		return
	}
	ch.view, ch.frozen = mo.me.listing(), append(slices.Clone(ch.frozen), joined...)
	mo.recordFreeze(joined)
	results := mo.me.orders.runAll(joined, orderTryTimeout, order{Kind: orderFreeze, Term: ch.freezeTerm})
	mo.recordReports(joined, results, mo.me.deps.Now())
	mo.logStep("freeze", "it joined the group during the change", results)
}
