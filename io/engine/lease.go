package engine

import (
	"fmt"
	"sync"
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/lease"
	"banyanspring/core/stmt"
	"banyanspring/io/pool"
)

const (
	// renewAhead is how long before a lease ends this instance asks for a
	// confirmation itself. Usually the coordinator's arrives earlier.
	renewAhead = 150 * time.Millisecond
	// renewAfterUse is how long after the leader was last used its lease is renewed.
	renewAfterUse = 2 * time.Second
	// confirmSpacing is the minimum time between two requests for a confirmation: a
	// request takes a slot of the upstream.
	confirmSpacing = 100 * time.Millisecond
)

// AdoptLease records evidence from an instance that knows when the leases on earlier
// leaders end. All times are on this instance's clock.
func (en *Engine) AdoptLease(name string, ev lease.Evidence) {
	if gr := en.group(name); gr != nil && gr.leases != nil {
		en.updateLease(gr, func() { gr.leases.Adopt(ev) })
	}
}

// ObserveLease records what this instance's own requests have shown.
func (en *Engine) ObserveLease(name string, fi lease.Finding) {
	if gr := en.group(name); gr != nil {
		en.observeLease(gr, fi)
	}
}

func (en *Engine) observeLease(gr *groupState, fi lease.Finding) {
	if gr.leases != nil {
		en.updateLease(gr, func() { gr.leases.Observe(fi, en.deps.Now()) })
	}
}

// updateLease changes the group's evidence, wakes the statements that wait for the
// leader if it can be used now, and logs a new term.
func (en *Engine) updateLease(gr *groupState, change func()) {
	now := en.deps.Now()
	gr.mu.Lock()
	defer gr.mu.Unlock()
	old := gr.leases.Held()
	change()
	held := gr.leases.Held()
	gr.leader = gr.likelyLeader()
	if held.Term > old.Term {
		event.Log(en.log, event.TermLearned, "group", gr.name, "term", held.Term, "upstream", held.Leader,
			"confirmed_ms", now.Sub(held.ConfirmedAt).Milliseconds(), "writes_in_ms", max(0, held.WritesFrom.Sub(now).Milliseconds()))
	}
	if held.Term != old.Term || !old.AllowsReads(held.Leader, now) {
		gr.notifyWaiters()
	}
}

// renewLeases asks for a confirmation of each leader that is in use and whose lease is
// about to end. It does not wait for the answers.
func (en *Engine) renewLeases() {
	now := en.deps.Now()
	for _, gr := range *en.groups.Load() {
		if gr.needsRenewal(now) {
			en.confirmLeader(gr)
		}
	}
}

// needsRenewal reports whether the leader is in use and its lease ends soon.
func (gr *groupState) needsRenewal(now time.Time) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.leases != nil && now.Sub(gr.leaderUsedAt) < renewAfterUse && now.After(gr.leases.Held().ExpiresAt().Add(-renewAhead))
}

// confirmLeader asks the members in the background for reports that confirm the
// leader. It does nothing if such a request is running or was made just before.
func (en *Engine) confirmLeader(gr *groupState) {
	if !gr.confirming.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer gr.confirming.Store(false)
		began := en.deps.Now()
		en.askMembers(gr)
		time.Sleep(confirmSpacing - en.deps.Now().Sub(began))
	}()
}

func (gr *groupState) heldLease() lease.Evidence {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.leases.Held()
}

// askMembers asks all members for their reports, and records the evidence as soon as
// those that have arrived give it: a member that does not answer delays nothing.
func (en *Engine) askMembers(gr *groupState) {
	var mu sync.Mutex
	var reports []lease.Report
	var wg sync.WaitGroup
	members, held := gr.allMembers(), gr.heldLease()
	for _, up := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			re, ok := en.askReport(up)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, re)
			if fi, ok := lease.Judge(held, len(members), reports); ok {
				en.observeLease(gr, fi)
			}
		}()
	}
	wg.Wait()
}

// askReport asks one upstream for its report.
func (en *Engine) askReport(up *upstream) (lease.Report, bool) {
	deadline := en.deps.Now().Add(probeTimeout)
	co, ok := en.acquireForProbe(up, deadline)
	if !ok {
		return lease.Report{}, false
	}
	askedAt := en.deps.Now()
	res, ok := en.runProbe(up, co, []stmt.Statement{{Kind: stmt.Status}}, deadline)
	if !ok || res[0].Code != codes.OK {
		return lease.Report{}, false
	}
	re, err := en.deps.Pool.ParseReport(res[0])
	if err != nil {
		return lease.Report{}, false
	}
	return re.Lease(up.id(), askedAt), true
}

// acquireForProbe returns a connection for a request of this instance's own.
func (en *Engine) acquireForProbe(up *upstream, deadline time.Time) (*pool.Conn, bool) {
	co, err := up.pool.Acquire(pool.ConnRequest{Caller: probeCaller, IsSystem: true, QueueDeadline: deadline, Deadline: deadline})
	if err != nil {
		// Other refusals do not show that the upstream is unreachable: the wait for
		// a connection was too long, a home failed, or the upstream refused the
		// connection.
		if codes.Is(err, codes.UpstreamUnreached) {
			up.recordFailure(en.deps.Now())
		}
		return nil, false
	}
	return co, true
}

// writesFrom returns from when the leader may be written to; zero if that is not known or
// at any time.
func (gr *groupState) writesFrom() time.Time {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.leases == nil {
		return time.Time{}
	}
	return gr.leases.Held().WritesFrom
}

// leaderObstacle returns why no leader can be used.
func (gr *groupState) leaderObstacle(now time.Time) string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.leases == nil || gr.leases.Term() == 0 {
		return "no leader was found"
	}
	held := gr.leases.Held()
	switch {
	case held.Leader == "":
		return fmt.Sprintf("the leader of term %d has stopped and no newer one was found", held.Term)
	case !held.AllowsReads(held.Leader, now):
		return fmt.Sprintf("leader %s of term %d was last confirmed %d ms ago", held.Leader, held.Term, now.Sub(held.ConfirmedAt).Milliseconds())
	case now.Before(held.WritesFrom):
		return fmt.Sprintf("leader %s of term %d may be written to in %d ms", held.Leader, held.Term, held.WritesFrom.Sub(now).Milliseconds())
	}
	return fmt.Sprintf("leader %s of term %d does not answer", held.Leader, held.Term)
}
