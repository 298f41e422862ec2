package engine

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
	"banyanspring/core/stmt"
	"banyanspring/io/pool"
)

// probeTimeout bounds one probe: the wait for a connection in this instance or at
// a home, the opening of one if none is idle, and the round trip of the statements.
// These do not wait at the upstream, since they take no slot there.
const probeTimeout = 400 * time.Millisecond

// probeCaller is the caller name under which probes queue for connections.
const probeCaller = "probe"

// probeMembers asks all members in the background whether they lead. It does
// nothing if a probe of the group is running.
func (en *Engine) probeMembers(gr *groupState) {
	if gr.leases != nil {
		en.confirmLeader(gr)
		return
	}
	if !gr.beginProbing() {
		return
	}
	go func() {
		defer gr.endProbing()
		var wg sync.WaitGroup
		for _, up := range gr.allMembers() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				en.probe(gr, up)
			}()
		}
		wg.Wait()
	}()
}

// probe asks a member whether it leads, records the answer, and reports whether
// the member answered.
func (en *Engine) probe(gr *groupState, up *upstream) bool {
	deadline := en.deps.Now().Add(probeTimeout)
	co, ok := en.acquireForProbe(up, deadline)
	if !ok {
		return false
	}
	sentAt := en.deps.Now()
	// results[0] answers Begin, which only a leader accepts, and results[1] the
	// Rollback.
	results, ok := en.runProbe(up, co, pool.LeadershipProbe, deadline)
	if !ok {
		return false
	}
	switch results[0].Code {
	case codes.OK:
		up.recordApplied(results[0].Position)
		gr.recordLeaderProof(up, sentAt, results[0].Position)
	case codes.NotPrimary:
		gr.recordNotLeader(up, sentAt)
	}
	return true
}

// runProbe runs statements of this instance's own, after which no transaction may be
// open, and takes back the connection. It reports whether the upstream answered.
func (en *Engine) runProbe(up *upstream, co *pool.Conn, sts []stmt.Statement, deadline time.Time) ([]stmt.Result, bool) {
	// The statements run for no session, so that there are no variables to set.
	results, err := co.Run(pool.Batch{Statements: sts, IgnoreVars: true}, deadline)
	if err != nil {
		var ref *codes.Refusal
		if errors.As(err, &ref) {
			up.pool.Release(co)
			return nil, false
		}
		up.pool.Discard(co)
		up.recordError(err, false, en.deps.Now())
		return nil, false
	}
	if results[len(results)-1].State == stmt.Idle {
		up.pool.Release(co)
	} else {
		up.pool.Discard(co)
	}
	up.recordSuccess()
	return results, true
}

// Sample probes the leader of each recently read group whose newest position
// sample is at least age old; the answer is a new sample. It also renews the leases that
// end soon. It is called about every 100 ms and does not wait for the answers.
func (en *Engine) Sample(age time.Duration) {
	en.renewLeases()
	now := en.deps.Now()
	for _, gr := range *en.groups.Load() {
		up, _ := gr.currentLeader()
		if up == nil || up.isAvoided(now) || !gr.needsSample(now, age) || !gr.beginProbing() {
			continue
		}
		go func() {
			defer gr.endProbing()
			en.probe(gr, up)
		}()
	}
}
