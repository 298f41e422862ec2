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

// errNoCandidate is returned if no replica can be promoted.
var errNoCandidate = errors.New("no replica can be promoted")

// errBehind is returned if a frozen replica has more than the candidate.
var errBehind = errors.New(string(elect.Behind))

// maxShift keeps the pause between two changes from overflowing.
const maxShift = 8

// change replaces the group's leader; see core/elect for the order of it.
func (gu *guard) change(ctx context.Context, reason elect.Reason) {
	began := gu.me.seams.Now()
	candidate, err := gu.carryOut(ctx, reason)
	now := gu.me.seams.Now()
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.isChanging = false
	if err != nil {
		gu.retryAt = now.Add(min(changeRetry<<min(gu.failures, maxShift), changeRetryMost))
		gu.failures++
		event.Log(gu.me.log, event.PromotionFailed, "group", gu.name, "candidate", candidate, "reason", string(reason),
			"error", err.Error(), "took", now.Sub(began).String())
		return
	}
	gu.leader, gu.watchedSince, gu.heardAt, gu.refused = candidate, now, now, false
	gu.changedAt, gu.failures, gu.fence.pending = now, 0, ""
	event.Log(gu.me.log, event.HandoverDone, "group", gu.name, "upstream", candidate, "reason", string(reason),
		"took", now.Sub(began).String())
}

// carryOut freezes the replicas but the candidate, makes sure that the
// candidate has all, and appoints it.
func (gu *guard) carryOut(ctx context.Context, reason elect.Reason) (string, error) {
	token, ok := gu.me.roster.Token()
	if !ok {
		return "", errors.New("no token")
	}
	defer gu.renew(token)
	vi, leader := gu.me.listing(), gu.currentLeader()
	if err := gu.fenceNow().mayChange(token, reason, gu.me.seams.Now()); err != nil {
		return "", err
	}
	replicas := others(vi.Members(gu.name), leader)
	surveyed := gu.each(replicas, func(co *pool.Conn, deadline time.Time) (pool.Report, error) { return co.Status(deadline) })
	if err := gu.fenceNow().mayUse(surveyed, reason); err != nil {
		return "", err
	}
	candidate, ok := gu.choose(gu.states(replicas, surveyed))
	if !ok {
		return "", errNoCandidate
	}
	term := highestTerm(surveyed)
	frozen := others(replicas, candidate.ID)
	reports := gu.each(frozen, func(co *pool.Conn, deadline time.Time) (pool.Report, error) {
		return co.Freeze(term+1, deadline)
	})
	states := gu.states(frozen, reports)
	err := gu.confirm(ctx, vi, candidate, states, term)
	if err != nil && errors.Is(err, errBehind) && gu.fenceNow().pending == "" {
		// A frozen replica has more. With all frozen nothing more can be
		// acknowledged, so that the one with most is the one to promote.
		frozen = replicas
		candidate, err = gu.freezeAll(vi, candidate, states, term)
	}
	if err != nil {
		gu.letGo(frozen)
		return candidate.ID, err
	}
	event.Log(gu.me.log, event.PromotionBegun, "group", gu.name, "candidate", candidate.ID, "reason", string(reason),
		"term", term+1, "token", token, "old", leader)
	if err := gu.appoint(ctx, vi, candidate.ID, token); err != nil {
		gu.letGo(frozen)
		return candidate.ID, err
	}
	return candidate.ID, nil
}

// choose returns the replica to promote: the one that an unanswered call is for, as
// long as it is listed, since that call may be carried out at any time.
func (gu *guard) choose(states []elect.Replica) (elect.Replica, bool) {
	pending := gu.fenceNow().pending
	for _, re := range states {
		if re.ID == pending {
			return re, re.Answered
		}
	}
	return elect.Choose(states)
}

// freezeAll freezes the candidate too and returns the best of all.
func (gu *guard) freezeAll(vi group.View, candidate elect.Replica, states []elect.Replica, term uint64) (elect.Replica, error) {
	up, _ := vi.GetUpstreamByID(candidate.ID)
	an := gu.one(up, func(co *pool.Conn, deadline time.Time) (pool.Report, error) { return co.Freeze(term+1, deadline) })
	states = append(states, gu.states([]group.Upstream{up}, map[string]answer{up.ID: an})...)
	best, ok := elect.Choose(states)
	if !ok {
		return candidate, errNoCandidate
	}
	if obstacle := elect.Check(best, states, term); obstacle != elect.Clear {
		return best, errors.Newf("%s", string(obstacle))
	}
	return best, gu.noStranger(best.ID, states)
}

func others(members []group.Upstream, id string) []group.Upstream {
	out := make([]group.Upstream, 0, len(members))
	for _, up := range members {
		if up.ID != id {
			out = append(out, up)
		}
	}
	return out
}

// answer is an upstream's report, if it gave one.
type answer struct {
	report pool.Report
	err    error
}

// each runs an order at all upstreams at once.
func (gu *guard) each(ups []group.Upstream, order func(co *pool.Conn, deadline time.Time) (pool.Report, error)) map[string]answer {
	out := make(map[string]answer, len(ups))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, up := range ups {
		wg.Add(1)
		go func() {
			defer wg.Done()
			an := gu.one(up, order)
			mu.Lock()
			defer mu.Unlock()
			out[up.ID] = an
		}()
	}
	wg.Wait()
	return out
}

func (gu *guard) one(up group.Upstream, order func(co *pool.Conn, deadline time.Time) (pool.Report, error)) answer {
	var an answer
	deadline := gu.me.seams.Now().Add(orderWait)
	an.err = gu.with(up, deadline, func(co *pool.Conn) error {
		var err error
		an.report, err = order(co, deadline)
		return err
	})
	return an
}

// states returns what is known of replicas after they were asked.
func (gu *guard) states(ups []group.Upstream, answers map[string]answer) []elect.Replica {
	out := make([]elect.Replica, 0, len(ups))
	for _, up := range ups {
		an := answers[up.ID]
		preferred := 0
		if up.Domain == gu.me.settings.Site.Domain {
			preferred = 1
		}
		out = append(out, elect.Replica{
			ID: up.ID, Answered: an.err == nil, Leaving: up.Leaving, Listed: true,
			Received: an.report.Received, Term: an.report.Term, Preferred: preferred,
		})
	}
	return out
}

func highestTerm(answers map[string]answer) uint64 {
	var term uint64
	for _, an := range answers {
		term = max(term, an.report.Term)
	}
	return term
}

// confirm waits until the candidate has all that the frozen replicas have.
func (gu *guard) confirm(ctx context.Context, vi group.View, candidate elect.Replica, frozen []elect.Replica, term uint64) error {
	up, _ := vi.GetUpstreamByID(candidate.ID)
	status := func(co *pool.Conn, deadline time.Time) (pool.Report, error) { return co.Status(deadline) }
	obstacle := elect.Clear
	for range catchUpTries {
		an := gu.one(up, status)
		if an.err != nil {
			return errors.Wrap(an.err, "candidate")
		}
		gu.relist(frozen)
		candidate.Received, candidate.Term = an.report.Received, an.report.Term
		obstacle = elect.Check(candidate, frozen, term)
		if obstacle != elect.Behind {
			break
		}
		if !delay.Pause(ctx, catchUpPause) {
			return ctx.Err()
		}
	}
	switch obstacle {
	case elect.Clear:
		return gu.noStranger(candidate.ID, frozen)
	case elect.Behind:
		return errBehind
	}
	return errors.Newf("%s", string(obstacle))
}

// relist notes which of the replicas have left the listing meanwhile.
func (gu *guard) relist(frozen []elect.Replica) {
	vi := gu.me.listing()
	for pos := range frozen {
		_, frozen[pos].Listed = vi.GetUpstreamByID(frozen[pos].ID)
	}
}

// noStranger makes sure that no member joined since the replicas were frozen:
// the leader could acknowledge what it alone receives.
func (gu *guard) noStranger(candidate string, frozen []elect.Replica) error {
	vi, leader := gu.me.listing(), gu.currentLeader()
	for _, up := range vi.Members(gu.name) {
		isKnown := up.ID == candidate || up.ID == leader
		for _, re := range frozen {
			isKnown = isKnown || re.ID == up.ID
		}
		if !isKnown {
			return errors.Newf("upstream %s joined meanwhile", up.ID)
		}
	}
	return nil
}

// thaw lets frozen replicas receive again after a change that did not go on.
// Those that cannot be told are remembered.
func (gu *guard) thaw(frozen []group.Upstream) {
	answers := gu.each(frozen, func(co *pool.Conn, deadline time.Time) (pool.Report, error) { return co.Unfreeze(deadline) })
	for _, an := range answers {
		if an.err != nil {
			now := gu.me.seams.Now()
			gu.mu.Lock()
			gu.surveyAt, gu.fence.unsureUntil = now.Add(surveyRetry), now.Add(lateOrder)
			gu.mu.Unlock()
			return
		}
	}
}

// survey looks for replicas that an earlier holder of the duty, or an order that
// was not answered, has left frozen, and lets them receive. An earlier holder's call
// must not follow, since it would rely on their being frozen; by then it is too late
// for one.
func (gu *guard) survey(members []group.Upstream, leader string) {
	answers := gu.each(others(members, leader), func(co *pool.Conn, deadline time.Time) (pool.Report, error) {
		return co.Status(deadline)
	})
	var frozen []group.Upstream
	for _, up := range members {
		if an, ok := answers[up.ID]; ok && an.err == nil && an.report.Frozen > 0 {
			frozen = append(frozen, up)
		}
	}
	if len(frozen) > 0 {
		event.Log(gu.me.log, event.ReplicasThawed, "group", gu.name, "replicas", len(frozen), "leader", leader)
		gu.thaw(frozen)
	}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.isChanging = false
}

// appoint calls the candidate to lead and waits until it does. A call without
// an answer may still be carried out, so that it is followed up too.
func (gu *guard) appoint(ctx context.Context, vi group.View, id string, token uint64) error {
	up, _ := vi.GetUpstreamByID(id)
	until := gu.me.seams.Now().Add(leadWait)
	var lastErr error
	isCalled := false
	for gu.me.seams.Now().Before(until) {
		if !isCalled {
			lastErr = gu.call(ctx, id, token)
			isCalled = lastErr == nil
			if IsErrAppointRefused(lastErr) {
				event.Log(gu.me.log, event.DutyRefused, "group", gu.name, "candidate", id, "token", token, "error", lastErr.Error())
				gu.me.roster.draw(token)
				return lastErr
			}
		}
		now := gu.me.seams.Now()
		if _, leads, err := gu.leads(up, now.Add(guardAsk)); err == nil && leads {
			gu.me.engine.NoteLeader(gu.name, id, now)
			return nil
		}
		if !delay.Pause(ctx, leadPoll) {
			return ctx.Err()
		}
	}
	if lastErr == nil {
		lastErr = errors.New("the candidate does not lead")
	}
	return lastErr
}
