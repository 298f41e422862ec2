package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
	"banyanspring/core/elect"
	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/io/delay"
	"banyanspring/io/engine"
	"banyanspring/io/pool"
)

const (
	// monitorInterval is the time between two checks of all groups.
	monitorInterval = 100 * time.Millisecond
	// probeAfter is how long a leader may go without proving that it leads before
	// it is probed.
	probeAfter = 150 * time.Millisecond
	// probeTimeout bounds one probe. A probe takes no slot on the upstream, so it
	// is answered within the round trip even under load.
	probeTimeout = 300 * time.Millisecond
	// appointTimeout bounds one call to the platform that appoints a leader.
	appointTimeout = 500 * time.Millisecond
	// takeoverTimeout bounds the wait for an appointed upstream to lead. Promotions
	// take 0.6 to 1 s.
	takeoverTimeout = 2500 * time.Millisecond
	// takeoverPoll is the time between two checks whether it leads.
	takeoverPoll = 40 * time.Millisecond
	// changeRetryMin is the pause after a failed change; it doubles with each
	// further failure up to changeRetryMax.
	changeRetryMin = 100 * time.Millisecond
	changeRetryMax = 1600 * time.Millisecond
	// urgentRetryMax replaces changeRetryMax while callers wait or a leader is leaving.
	urgentRetryMax = 400 * time.Millisecond
	// leaderlessTimeout is how long no leader may be known, longer than a promotion takes.
	leaderlessTimeout = 1500 * time.Millisecond
	// refusedRetry is the pause after a refused appointment, longer than a promotion takes.
	refusedRetry = 1300 * time.Millisecond
	// frozenCheckDelay is the time from the start of monitoring a group to the check
	// for replicas that the previous coordinator left frozen. By then its appointment
	// calls, which rely on the freeze, can no longer be carried out.
	frozenCheckDelay = maxOrderDelay
	// frozenCheckRetry is the time to the next check if an order to unfreeze failed or the
	// leader was not heard from within frozenCheckSilence.
	frozenCheckRetry   = time.Second
	frozenCheckSilence = 500 * time.Millisecond
	// formerCheckInterval is the time between two checks whether the former upstreams of
	// a group have ended.
	formerCheckInterval = 500 * time.Millisecond
)

// electTiming applies to all groups.
var electTiming = elect.Timing{
	SilenceTimeout:        650 * time.Millisecond,
	RefusedTimeout:        250 * time.Millisecond,
	PartialFailureTimeout: 700 * time.Millisecond,
	MaxOpinionAge:         maxOpinionAge,
	MinChangeInterval:     6 * time.Second,
	CrowdedTimeout:        1500 * time.Millisecond,
}

// monitors checks all groups while this member is the coordinator. Log events and
// the platform's interface call that role the duty.
type monitors struct {
	me *Member

	mu     sync.Mutex
	groups map[string]*monitor
	// isCoordinator is whether this member was the coordinator at the last check.
	isCoordinator bool
}

func newMonitors(me *Member) *monitors { return &monitors{me: me, groups: make(map[string]*monitor)} }

func (mos *monitors) run(ctx context.Context) {
	for delay.Pause(ctx, monitorInterval) {
		now := mos.me.deps.Now()
		isCoordinator := mos.me.roster.isCoordinator()
		mos.updateDuty(isCoordinator)
		if !isCoordinator {
			mos.me.vetting.update(mos.me.engine.Opinions(), now)
			continue
		}
		vi, ops := mos.me.listing(), mos.me.engine.Opinions()
		mos.me.vetting.update(ops, now)
		for _, op := range ops {
			mos.get(op.Group, now).check(ctx, vi, op)
		}
	}
}

// updateDuty logs when this member becomes or stops being the coordinator, and
// discards the monitors when it stops.
func (mos *monitors) updateDuty(isCoordinator bool) {
	if isCoordinator == mos.isCoordinator {
		return
	}
	mos.isCoordinator = isCoordinator
	token, _ := mos.me.roster.Token()
	if isCoordinator {
		event.Log(mos.me.log, event.DutyTaken, "token", token)
		return
	}
	event.Log(mos.me.log, event.DutyLeft, "token", token)
	mos.mu.Lock()
	defer mos.mu.Unlock()
	clear(mos.groups)
}

func (mos *monitors) get(name string, now time.Time) *monitor {
	mos.mu.Lock()
	defer mos.mu.Unlock()
	mo := mos.groups[name]
	if mo == nil {
		mo = &monitor{me: mos.me, name: name, frozenAt: make(map[string]time.Time), silences: make(map[incarnation]silence), watchedSince: now, frozenCheckAt: now.Add(frozenCheckDelay)}
		mos.groups[name] = mo
	}
	return mo
}

// monitor checks one group's leader and replaces it if needed.
type monitor struct {
	me   *Member
	name string

	mu sync.Mutex
	// leader is the monitored leader.
	leader string
	// watchedSince is when the monitor began to monitor this leader.
	watchedSince time.Time
	// heardAt is when the leader last proved that it leads; zero if not yet.
	heardAt time.Time
	// refused is true if the last probe could not connect to the leader.
	refused bool
	// changedAt is when the leader last changed; zero if no change was seen.
	changedAt time.Time
	// isProbing is true during a probe, and isChanging during a change of leader or
	// a check for frozen replicas, of which only one may run at a time.
	isProbing, isChanging bool
	// frozenCheckAt is when to check for replicas that were left frozen; zero if no
	// check is due.
	frozenCheckAt time.Time
	appointments  appointments
	// stopped is the leader that was stopped for a change that is not finished.
	stopped stoppedLeader
	// foreignUntil is until when a call of another coordinator may be carried out that relies
	// on replicas which were seen frozen; zero if the last complete survey saw none.
	foreignUntil time.Time
	// formersCheckedAt is when the former upstreams were last checked.
	formersCheckedAt time.Time
	// frozenAt holds when this member last ordered each upstream to freeze.
	frozenAt map[string]time.Time
	// silences holds those of the upstreams that did not answer the last order.
	silences map[incarnation]silence
	// confirmation is the state of the requests that confirm the leader.
	confirmation confirmation
	// failures counts failed changes in a row.
	failures int
	// retryAt is the earliest time of the next change after a failed one.
	retryAt time.Time
}

// currentLeader returns the monitored leader.
func (mo *monitor) currentLeader() string {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	return mo.leader
}

// check runs one round: it starts a probe, a change of leader or a check for frozen
// replicas if one is due.
func (mo *monitor) check(ctx context.Context, vi group.View, op engine.Opinion) {
	now := mo.me.deps.Now()
	ups := vi.Members(mo.name)
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.forgetFreezes(ups)
	mo.checkFormers(now)
	defer mo.beginFrozenCheck(ups, now)
	mo.followLeader(op.Leader, now)
	if mo.isChanging {
		return
	}
	if mo.leader == "" {
		mo.beginWithoutLeader(ctx, ups, now)
		return
	}
	leader, isListed := vi.GetUpstreamByID(mo.leader)
	if op.Leader == mo.leader && op.ProvenAt.After(mo.heardAt) {
		mo.heardAt, mo.refused = op.ProvenAt, false
	}
	if isListed && !mo.isProbing && (now.Sub(mo.heardAt) >= probeAfter || now.Sub(op.Sample.Asked) >= coordinatorSampleAge) {
		mo.isProbing = true
		go mo.probeLeader(leader)
	}
	mo.beginConfirmation(ups, op.Lease, now)
	ev := elect.Evidence{
		IsLeaving: leader.Leaving, IsListed: isListed, Refused: mo.refused, HeardAt: mo.heardAt,
		WatchedSince: mo.watchedSince, ChangedAt: mo.changedAt, Opinions: mo.me.opinions.forGroup(mo.name),
	}
	ev.Opinions = append(ev.Opinions, elect.Opinion{
		Leader: op.Leader, ReceivedAt: now, ProvenAt: op.ProvenAt, UnreachedSince: op.UnreachedSince,
		StalledWrites: op.StalledWrites, WriteAcknowledgedAt: op.WriteAcknowledgedAt, CrowdedReads: op.CrowdedReads, ReplicaReadAt: op.ReplicaReadAt,
	})
	reason := elect.ReplacementReason(ev, mo.leader, electTiming, now)
	if unfinished := mo.unfinishedReason(vi, op.Leader, now); reason == elect.None {
		reason = unfinished
	}
	if reason == elect.None && mo.isAbandoned(now) {
		reason = elect.Unfinished
	}
	if reason == elect.None || now.Before(mo.retryAt) || len(upstreamsExcept(ups, mo.leader)) == 0 {
		return
	}
	event.Log(mo.me.log, event.PrimarySuspected, "group", mo.name, "upstream", mo.leader, "reason", string(reason),
		"heard_ms", ageMs(mo.heardAt, now), "opinions", len(ev.Opinions), "listed", isListed, "leaving", leader.Leaving)
	mo.isChanging = true
	go mo.changeLeader(ctx, reason)
}

// followLeader monitors another leader if the engine has found one; mu is held.
func (mo *monitor) followLeader(leader string, now time.Time) {
	if leader == "" || leader == mo.leader {
		return
	}
	if mo.leader != "" {
		// The leader changed, but not by this monitor, which sets leader itself.
		mo.changedAt = now
	}
	mo.leader, mo.watchedSince, mo.refused, mo.heardAt = leader, now, false, time.Time{}
}

// beginWithoutLeader starts a change if no leader has been known for a while: all instances may
// have ended after they had stopped the leader. It finds an upstream that leads, or freezes
// all and appoints one; mu is held.
func (mo *monitor) beginWithoutLeader(ctx context.Context, ups []group.Upstream, now time.Time) {
	if now.Sub(mo.watchedSince) < leaderlessTimeout || now.Before(mo.retryAt) || len(ups) == 0 {
		return
	}
	event.Log(mo.me.log, event.PrimarySuspected, "group", mo.name, "upstream", "", "reason", string(elect.Dead))
	mo.isChanging = true
	go mo.changeLeader(ctx, elect.Dead)
}

// beginFrozenCheck starts the check for frozen replicas if it is due; mu is held.
func (mo *monitor) beginFrozenCheck(ups []group.Upstream, now time.Time) {
	if mo.isChanging || mo.leader == "" || mo.appointments.pendingCandidate != "" || mo.frozenCheckAt.IsZero() || now.Before(mo.frozenCheckAt) {
		return
	}
	if now.Before(mo.foreignUntil) || now.Before(mo.appointments.lateCallUntil) || mo.hasForeignSuspension(now) {
		return
	}
	if now.Sub(mo.heardAt) > frozenCheckSilence && !mo.me.settings.LeasesRequired {
		// The leader may have to be replaced, and frozen replicas are a part of that.
		return
	}
	mo.frozenCheckAt = time.Time{}
	mo.isChanging = true
	go mo.unfreezeAbandoned(ups, mo.leader)
}

// hasForeignSuspension reports whether another coordinator's change that relies on frozen
// replicas may be under way.
func (mo *monitor) hasForeignSuspension(now time.Time) bool {
	su, ok := mo.me.permits.inForce(mo.name)
	token, _ := mo.me.roster.Token()
	return ok && su.Token != token && now.Before(su.ExpiresAt)
}

// forgetFreezes forgets the orders to freeze upstreams that are no longer listed; mu is
// held.
func (mo *monitor) forgetFreezes(ups []group.Upstream) {
	for id := range mo.frozenAt {
		if !slices.ContainsFunc(ups, func(up group.Upstream) bool { return up.ID == id }) {
			delete(mo.frozenAt, id)
		}
	}
}

// checkFormers checks in the background whether former upstreams have ended; mu is held.
func (mo *monitor) checkFormers(now time.Time) {
	if now.Sub(mo.formersCheckedAt) < formerCheckInterval {
		return
	}
	mo.formersCheckedAt = now
	for _, fr := range mo.me.formers.ofGroup(mo.name) {
		if fr.endedAt.IsZero() {
			go mo.checkFormer(fr)
		}
	}
}

// checkFormer checks whether a former upstream has ended. One that refuses connections may have crashed,
// and comes back with its log, unless it was shutting down.
func (mo *monitor) checkFormer(fr former) {
	now := mo.me.deps.Now()
	_, _, err := mo.me.orders.queryLead(fr.upstream, now.Add(probeTimeout))
	switch {
	case err == nil:
	case errors.Is(err, pool.ErrConnectionRefused) && mo.isPastDrain(fr.upstream, now) && mo.me.orders.isRefusedEverywhere(fr.upstream):
		mo.markEnded(fr.upstream, endedRefused)
	case mo.me.isMissing(fr) && mo.me.orders.relay(fr.upstream, probeTimeout, order{Kind: orderStatus}).err != nil:
		mo.markEnded(fr.upstream, endedMissing)
	}
}

// Reasons for which a former upstream counts as ended, in the event UpstreamEnded.
const (
	endedRefused = "it was shutting down for longer than a drain takes, and all instances are refused at its address"
	endedMissing = "it does not answer, and has had no entry for long while the store was there"
)

// markEnded records that a former upstream has ended, and why.
func (mo *monitor) markEnded(up group.Upstream, why string) {
	now := mo.me.deps.Now()
	if !mo.me.formers.markEnded(up, now) {
		return
	}
	fr, _ := mo.me.formers.get(up)
	li := mo.me.confirmedListing()
	event.Log(mo.me.log, event.UpstreamEnded, "group", mo.name, "upstream", up.ID, "why", why, "removed_ms", ageMs(fr.removedAt, now),
		"confirmed_ms", ageMs(li.ConfirmedAt, now), "confirmed_since_ms", ageMs(li.ConfirmedSince, now))
}

// probeLeader asks the leader whether it still leads, and passes its log position to
// the engine. The probe takes no slot on the upstream.
func (mo *monitor) probeLeader(up group.Upstream) {
	asked := mo.me.deps.Now()
	at, leads, err := mo.me.orders.queryLead(up, asked.Add(probeTimeout))
	if err == nil && leads {
		// The monitor's dedicated connection provides fresh samples of the leader's
		// position also while the regular pools are full. Without them all reads would
		// go to the leader.
		mo.me.engine.RecordLeaderSample(mo.name, up.ID, asked, at)
	}
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.isProbing = false
	if up.ID != mo.leader {
		return
	}
	mo.refused = codes.Is(err, codes.UpstreamUnreached)
	if err == nil && leads && asked.After(mo.heardAt) {
		mo.heardAt = asked
	}
}
