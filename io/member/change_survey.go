package member

import (
	"slices"
	"time"

	"banyanspring/core/elect"
	"banyanspring/core/group"
	"banyanspring/io/pool"
)

// isSilent reports whether the leader has not proven its leadership to this member for a
// while.
func (mo *monitor) isSilent(now time.Time) bool {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	return now.Sub(mo.heardAt) > electTiming.SilenceTimeout
}

// survey asks all upstreams of the group for their reports, and returns why no change may
// begin, or nil.
func (mo *monitor) survey(ch *leaderChange) error {
	leaderTimeout := surveyTimeout
	if ch.isSilent {
		leaderTimeout = silentSurveyTimeout
	}
	leaderResult := make(chan orderResult, 1)
	go func() { leaderResult <- mo.askLeader(ch, leaderTimeout, order{Kind: orderStatus}) }()
	if ch.isSilent {
		mo.beginSuspension(ch)
	}
	mo.askReplicas(ch, surveyTimeout)
	ch.leaderResult = <-leaderResult
	mo.recordSilences([]group.Upstream{ch.leader}, map[string]orderResult{ch.leader.ID: ch.leaderResult}, mo.me.deps.Now())
	ch.term = highestTerm(ch.results)
	if ch.leaderResult.err == nil {
		ch.term = max(ch.term, ch.leaderResult.report.Term)
	}
	ch.freezeTerm = ch.term + 1
	mo.logStep("survey", "leader "+ch.leader.ID+" is to be replaced: "+string(ch.reason), ch.allResults())
	if id, ok := mo.otherLeader(ch); ok {
		mo.adoptLeader(id)
		return obstacleError{elect.OtherLeads}
	}
	mo.identifyStopped(ch)
	if err := mo.checkLeader(ch); err != nil {
		return err
	}
	if mo.me.settings.LeasesRequired {
		return mo.checkLeasedChange(ch)
	}
	ch.hasForeignFreeze = mo.hasForeignFreeze(ch.results, time.Time{})
	mo.recordForeignFreeze(ch)
	if ch.hasForeignFreeze {
		ch.adopted = ch.onlyReplica(func(re pool.Report) bool { return re.FrozenTerm > 0 })
	}
	return nil
}

// recordForeignFreeze records whether another coordinator has frozen a replica. A call that
// relies on it may be in flight; once it cannot be any more, the replica is unfrozen.
func (mo *monitor) recordForeignFreeze(ch *leaderChange) {
	now := mo.me.deps.Now()
	hasFailed := func(up group.Upstream) bool { return ch.results[up.ID].err != nil }
	mo.mu.Lock()
	defer mo.mu.Unlock()
	switch {
	case !ch.hasForeignFreeze && slices.ContainsFunc(ch.replicas, hasFailed):
	case !ch.hasForeignFreeze:
		mo.foreignUntil = time.Time{}
	case mo.foreignUntil.IsZero():
		mo.foreignUntil = now.Add(takeoverTimeout + maxOrderDelay)
		mo.frozenCheckAt = mo.foreignUntil
	}
}

// onlyReplica returns the ID of the replica whose report fulfils the condition, if it is
// the only one of several; else an empty string.
func (ch *leaderChange) onlyReplica(fulfils func(re pool.Report) bool) string {
	found := ""
	for id, res := range ch.results {
		if res.err != nil || !fulfils(res.report) {
			continue
		}
		if found != "" {
			return ""
		}
		found = id
	}
	if len(ch.replicas) < 2 {
		return ""
	}
	return found
}

// otherLeader returns the replica that claims to lead the newest term.
func (mo *monitor) otherLeader(ch *leaderChange) (string, bool) {
	for id, res := range ch.results {
		if res.err == nil && res.report.ClaimsLead && res.report.Term == ch.term {
			return id, true
		}
	}
	return "", false
}

// adoptLeader makes the upstream that leads already the monitored leader.
func (mo *monitor) adoptLeader(id string) {
	now := mo.me.deps.Now()
	if !mo.me.settings.LeasesRequired {
		mo.me.engine.RecordLeaderProof(mo.name, id, now)
	}
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.leader, mo.watchedSince, mo.heardAt, mo.refused, mo.changedAt = id, now, now, false, now
}

// stoppedLeader is a leader that was stopped for a change, and the term that it led.
type stoppedLeader struct {
	id   string
	term uint64
	// until is when the stop is no longer a proof unless a replica answers, of the same term
	// then: another coordinator may have appointed one that does not. It is zero if another
	// coordinator has stopped the leader.
	until time.Time
}

// isProof reports whether the leader of the change has been stopped by an earlier attempt.
func (sl stoppedLeader) isProof(ch *leaderChange, now time.Time) bool {
	if sl.id != ch.leader.ID || sl.term != ch.term {
		return false
	}
	hasAnswered := func(up group.Upstream) bool { return ch.result(up).err == nil }
	return now.Before(sl.until) || slices.ContainsFunc(ch.replicas, hasAnswered)
}

// identifyStopped makes the replica that led the present term, and was stopped, the leader of a
// change whose leader is not known.
func (mo *monitor) identifyStopped(ch *leaderChange) {
	shared, _ := mo.me.permits.stopped(mo.name)
	up, ok := ch.upstreamByID(shared.id)
	if ch.leader.ID != "" || !ok || shared.term != ch.term || ch.result(up).err != nil {
		return
	}
	ch.leader, ch.leaderResult = up, ch.results[up.ID]
	_, ch.isLeaderListed = ch.view.GetUpstreamByID(up.ID)
	ch.replicas = upstreamsExcept(ch.replicas, up.ID)
	delete(ch.results, up.ID)
}

// checkLeader notes whether the leader was stopped by an earlier attempt. It returns
// errLeaderAnswers if it leads and the reason to replace it is gone.
func (mo *monitor) checkLeader(ch *leaderChange) error {
	res := ch.leaderResult
	if res.err != nil || res.report.Term != ch.term {
		return nil
	}
	now := mo.me.deps.Now()
	shared, _ := mo.me.permits.stopped(mo.name)
	isShared := shared.isProof(ch, now) && res.report.Received.Offset > 0 && !mo.me.settings.LeasesRequired
	mo.mu.Lock()
	defer mo.mu.Unlock()
	if !res.report.ClaimsLead {
		// If no coordinator is known to have stopped it, another upstream may have been appointed.
		ch.isStopped = mo.stopped.isProof(ch, now) || isShared
		return nil
	}
	mo.stopped = stoppedLeader{}
	isHeard := ch.reason == elect.Dead && res.via == "" && ch.isLeaderListed
	isFinished := ch.reason == elect.Unfinished && mo.appointments.pendingCandidate == "" && ch.isLeaderListed
	if isHeard || isFinished {
		mo.heardAt, mo.refused = now, false
		return errLeaderAnswers
	}
	return nil
}
