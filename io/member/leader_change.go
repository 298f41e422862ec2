package member

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/elect"
	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/io/delay"
	"banyanspring/io/pool"
)

// errNoCandidate is returned if there is no replica that can be promoted.
var errNoCandidate = errors.New("no replica can be promoted")

// errBehind is returned if a frozen replica has received more of the log than the
// candidate.
var errBehind = errors.New(string(elect.Behind))

// maxRetryDoublings limits the shift by the number of failures, which would overflow.
const maxRetryDoublings = 8

// changeLeader replaces the group's leader and, after a failure, sets when to
// retry. Package elect describes why a change is safe.
func (mo *monitor) changeLeader(ctx context.Context, reason elect.Reason) {
	began := mo.me.deps.Now()
	run := mo.runChange
	if mo.me.settings.LeasesRequired {
		run = mo.runLeasedChange
	}
	candidate, err := run(ctx, reason)
	now := mo.me.deps.Now()
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mo.isChanging = false
	if err != nil {
		mo.retryAt = now.Add(min(changeRetryMin<<min(mo.failures, maxRetryDoublings), changeRetryMax))
		mo.failures++
		event.Log(mo.me.log, event.PromotionFailed, "group", mo.name, "candidate", candidate, "reason", string(reason),
			"error", err.Error(), "took", now.Sub(began).String())
		return
	}
	mo.leader, mo.watchedSince, mo.heardAt, mo.refused = candidate, now, now, false
	mo.changedAt, mo.failures, mo.appointments.pendingCandidate = now, 0, ""
	event.Log(mo.me.log, event.HandoverDone, "group", mo.name, "upstream", candidate, "reason", string(reason),
		"took", now.Sub(began).String())
}

// runChange replaces the leader: it freezes all replicas except the candidate, waits
// until the candidate has received everything that they have, and appoints it. A
// frozen replica no longer receives the leader's log, so the leader can acknowledge
// only writes that the candidate receives. If a frozen replica has received more than
// the candidate, runChange freezes the candidate as well and appoints the replica with
// the highest received position. If the change fails, it unfreezes the replicas, unless
// an unanswered appointment that relies on the freeze may still be carried out. It
// returns the ID of the candidate, which is empty if none was chosen.
func (mo *monitor) runChange(ctx context.Context, reason elect.Reason) (string, error) {
	token, ok := mo.me.roster.Token()
	if !ok {
		return "", errors.New("this member has no fencing token")
	}
	defer mo.renewSpentToken(token)
	vi, leader := mo.me.listing(), mo.currentLeader()
	if err := mo.currentAppointments().checkChange(token, reason, mo.me.deps.Now()); err != nil {
		return "", err
	}
	replicas := upstreamsExcept(vi.Members(mo.name), leader)
	statuses := mo.runOnAll(replicas, func(co *pool.Conn, deadline time.Time) (pool.Report, error) { return co.Status(deadline) })
	mo.logStep("survey", "leader "+leader+" is to be replaced: "+string(reason), statuses)
	if err := mo.currentAppointments().checkReplicas(statuses, reason); err != nil {
		return "", err
	}
	candidate, ok := mo.chooseCandidate(mo.replicaStates(replicas, statuses))
	if !ok {
		return "", errNoCandidate
	}
	term := highestTerm(statuses)
	frozen := upstreamsExcept(replicas, candidate.ID)
	reports := mo.runOnAll(frozen, func(co *pool.Conn, deadline time.Time) (pool.Report, error) {
		return co.Freeze(term+1, deadline)
	})
	mo.logStep("freeze", "only candidate "+candidate.ID+" may receive more", reports)
	states := mo.replicaStates(frozen, reports)
	err := mo.awaitCatchUp(ctx, vi, candidate, states, term)
	if err != nil && errors.Is(err, errBehind) && mo.currentAppointments().pendingCandidate == "" {
		// A frozen replica has received more. Once all replicas are frozen, the leader
		// can acknowledge nothing more, so the replica with the highest received
		// position holds all acknowledged writes.
		frozen = replicas
		candidate, err = mo.freezeAll(vi, candidate, states, term)
	}
	if err != nil {
		mo.unfreezeUnlessPending(frozen)
		return candidate.ID, err
	}
	event.Log(mo.me.log, event.PromotionBegun, "group", mo.name, "candidate", candidate.ID, "reason", string(reason),
		"term", term+1, "token", token, "old", leader)
	if err := mo.appoint(ctx, vi, candidate.ID, token); err != nil {
		mo.unfreezeUnlessPending(frozen)
		return candidate.ID, err
	}
	return candidate.ID, nil
}

// chooseCandidate returns the replica to promote, and false if there is none. While
// an appointment is unanswered and its upstream is a listed replica, only that one may
// be promoted, since the platform may carry out the appointment at any time. Otherwise
// elect.ChooseCandidate decides.
func (mo *monitor) chooseCandidate(states []elect.Replica) (elect.Replica, bool) {
	pending := mo.currentAppointments().pendingCandidate
	for _, re := range states {
		if re.ID == pending {
			return re, re.Answered
		}
	}
	return elect.ChooseCandidate(states)
}

// freezeAll also freezes the candidate, so that all replicas are frozen, and returns the
// replica with the highest received position. It returns an error if that one must not be
// promoted.
func (mo *monitor) freezeAll(vi group.View, candidate elect.Replica, states []elect.Replica, term uint64) (elect.Replica, error) {
	up, _ := vi.GetUpstreamByID(candidate.ID)
	res := mo.runOn(up, orderTimeout, func(co *pool.Conn, deadline time.Time) (pool.Report, error) { return co.Freeze(term+1, deadline) })
	reports := map[string]orderResult{up.ID: res}
	mo.logStep("freeze", "the candidate is behind a frozen replica", reports)
	states = append(states, mo.replicaStates([]group.Upstream{up}, reports)...)
	best, ok := elect.ChooseCandidate(states)
	if !ok {
		return candidate, errNoCandidate
	}
	if obstacle := elect.CheckCandidate(best, states, term); obstacle != elect.NoObstacle {
		return best, errors.Newf("%s", string(obstacle))
	}
	return best, mo.checkNoNewUpstream(best.ID, states)
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

// orderResult is an upstream's report, or the error if there is none.
type orderResult struct {
	report pool.Report
	err    error
}

// runOnAll runs an order on all upstreams concurrently.
func (mo *monitor) runOnAll(ups []group.Upstream, order func(co *pool.Conn, deadline time.Time) (pool.Report, error)) map[string]orderResult {
	return mo.runOnAllWithin(ups, orderTimeout, order)
}

func (mo *monitor) runOnAllWithin(ups []group.Upstream, timeout time.Duration, order func(co *pool.Conn, deadline time.Time) (pool.Report, error)) map[string]orderResult {
	out := make(map[string]orderResult, len(ups))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, up := range ups {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := mo.runOn(up, timeout, order)
			mu.Lock()
			defer mu.Unlock()
			out[up.ID] = res
		}()
	}
	wg.Wait()
	return out
}

func (mo *monitor) runOn(up group.Upstream, timeout time.Duration, order func(co *pool.Conn, deadline time.Time) (pool.Report, error)) orderResult {
	var res orderResult
	deadline := mo.me.deps.Now().Add(timeout)
	res.err = mo.withConn(up, deadline, func(co *pool.Conn) error {
		var err error
		res.report, err = order(co, deadline)
		return err
	})
	return res
}

// replicaStates returns the states of the replicas from the results of an order. Of
// replicas that have received equally much, those in this member's failure domain are
// preferred, unless a member may have to finish another one's change: then both must
// choose the same.
func (mo *monitor) replicaStates(ups []group.Upstream, results map[string]orderResult) []elect.Replica {
	out := make([]elect.Replica, 0, len(ups))
	for _, up := range ups {
		res := results[up.ID]
		preferred := 0
		if up.Domain == mo.me.settings.Site.Domain && !mo.me.settings.LeasesRequired {
			preferred = 1
		}
		out = append(out, elect.Replica{
			ID: up.ID, Answered: res.err == nil, Leaving: up.Leaving, Listed: true,
			Received: res.report.Received, Term: res.report.Term, Preference: preferred,
		})
	}
	return out
}

func highestTerm(results map[string]orderResult) uint64 {
	var term uint64
	for _, res := range results {
		term = max(term, res.report.Term)
	}
	return term
}

// awaitCatchUp waits until the candidate has received everything that the frozen
// replicas have. The error is errBehind if it has not after catchUpTries checks.
func (mo *monitor) awaitCatchUp(ctx context.Context, vi group.View, candidate elect.Replica, frozen []elect.Replica, term uint64) error {
	up, _ := vi.GetUpstreamByID(candidate.ID)
	status := func(co *pool.Conn, deadline time.Time) (pool.Report, error) { return co.Status(deadline) }
	obstacle := elect.NoObstacle
	for range catchUpTries {
		res := mo.runOn(up, orderTimeout, status)
		mo.logStep("catch_up", "the candidate must have received what the frozen replicas have", map[string]orderResult{up.ID: res})
		if res.err != nil {
			return errors.Wrap(res.err, "get status of candidate")
		}
		mo.refreshListed(frozen)
		candidate.Received, candidate.Term = res.report.Received, res.report.Term
		obstacle = elect.CheckCandidate(candidate, frozen, term)
		if obstacle != elect.Behind {
			break
		}
		if !delay.Pause(ctx, catchUpPause) {
			return ctx.Err()
		}
	}
	switch obstacle {
	case elect.NoObstacle:
		return mo.checkNoNewUpstream(candidate.ID, frozen)
	case elect.Behind:
		return errBehind
	}
	return errors.Newf("%s", string(obstacle))
}

// refreshListed updates Listed of each replica.
func (mo *monitor) refreshListed(frozen []elect.Replica) {
	vi := mo.me.listing()
	for pos := range frozen {
		_, frozen[pos].Listed = vi.GetUpstreamByID(frozen[pos].ID)
	}
}

// checkNoNewUpstream returns an error if an upstream joined the group after the
// replicas were frozen: the leader could acknowledge writes that only this upstream
// has received.
func (mo *monitor) checkNoNewUpstream(candidate string, frozen []elect.Replica) error {
	vi, leader := mo.me.listing(), mo.currentLeader()
	for _, up := range vi.Members(mo.name) {
		isKnown := up.ID == candidate || up.ID == leader
		for _, re := range frozen {
			isKnown = isKnown || re.ID == up.ID
		}
		if !isKnown {
			return errors.Newf("upstream %s joined the group during the change", up.ID)
		}
	}
	return nil
}

// unfreeze unfreezes replicas after an abandoned change. If an order fails, the replica
// may still be frozen, or be unfrozen late: unfreeze schedules a check for frozen
// replicas and sets lateUnfreezeUntil, which defers some new changes.
func (mo *monitor) unfreeze(frozen []group.Upstream, why string) {
	results := mo.runOnAll(frozen, func(co *pool.Conn, deadline time.Time) (pool.Report, error) { return co.Unfreeze(deadline) })
	mo.logStep("unfreeze", why, results)
	for _, res := range results {
		if res.err != nil {
			now := mo.me.deps.Now()
			mo.mu.Lock()
			mo.frozenCheckAt, mo.appointments.lateUnfreezeUntil = now.Add(frozenCheckRetry), now.Add(maxOrderDelay)
			mo.mu.Unlock()
			return
		}
	}
}

// unfreezeAbandoned unfreezes replicas that a previous coordinator or an unanswered
// order left frozen. If an appointment call of the previous coordinator were carried
// out after this, acknowledged writes could be lost, since the call relies on the
// freeze. Therefore the first check is only due frozenCheckDelay after the monitor has
// started.
func (mo *monitor) unfreezeAbandoned(ups []group.Upstream, leader string) {
	results := mo.runOnAll(upstreamsExcept(ups, leader), func(co *pool.Conn, deadline time.Time) (pool.Report, error) {
		return co.Status(deadline)
	})
	var frozen []group.Upstream
	for _, up := range ups {
		if res, ok := results[up.ID]; ok && res.err == nil && res.report.FrozenTerm > 0 {
			frozen = append(frozen, up)
		}
	}
	if len(frozen) > 0 {
		event.Log(mo.me.log, event.ReplicasThawed, "group", mo.name, "replicas", len(frozen), "leader", leader)
		mo.unfreeze(frozen, "no call of an earlier coordinator can be carried out any more")
	}
	mo.mu.Lock()
	defer mo.mu.Unlock()
	// beginFrozenCheck has set isChanging, so that no change of leader runs during the
	// check.
	mo.isChanging = false
}

// appoint has the platform make the candidate the leader, and waits until it leads. A
// call that is deferred or not answered is sent again with the same token. Since the
// platform may still carry out an unanswered call, the candidate is asked whether it
// leads also after an error. A refused call ends the wait.
func (mo *monitor) appoint(ctx context.Context, vi group.View, id string, token uint64) error {
	up, _ := vi.GetUpstreamByID(id)
	until := mo.me.deps.Now().Add(takeoverTimeout)
	var lastErr error
	isAccepted := false
	for mo.me.deps.Now().Before(until) {
		if !isAccepted {
			lastErr = mo.sendAppointment(ctx, id, token)
			isAccepted = lastErr == nil
			if IsErrAppointRefused(lastErr) {
				event.Log(mo.me.log, event.DutyRefused, "group", mo.name, "candidate", id, "token", token, "error", lastErr.Error())
				mo.me.roster.requestNewToken(token)
				return lastErr
			}
		}
		now := mo.me.deps.Now()
		if _, leads, err := mo.queryLead(up, now.Add(probeTimeout)); err == nil && leads {
			mo.me.engine.RecordLeaderProof(mo.name, id, now)
			return nil
		}
		if !delay.Pause(ctx, takeoverPoll) {
			return ctx.Err()
		}
	}
	if lastErr == nil {
		lastErr = errors.New("the appointed candidate did not start to lead in time")
	}
	return lastErr
}
