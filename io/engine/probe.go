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
	co, err := up.pool.Acquire(pool.ConnRequest{Caller: probeCaller, QueueDeadline: deadline, Deadline: deadline})
	if err != nil {
		// Other refusals do not show that the upstream is unreachable: the wait for
		// a connection was too long, a home failed, or the upstream refused the
		// connection.
		if codes.Is(err, codes.UpstreamUnreached) {
			up.recordFailure(en.deps.Now())
		}
		return false
	}
	sentAt := en.deps.Now()
	// The probe runs for no session, so that there are no variables to set.
	results, err := co.Run(pool.Batch{Statements: pool.LeadershipProbe, IgnoreVars: true}, deadline)
	if err != nil {
		var ref *codes.Refusal
		if errors.As(err, &ref) {
			up.pool.Release(co)
			return false
		}
		up.pool.Discard(co)
		up.recordError(err, false, en.deps.Now())
		return false
	}
	// results[0] answers Begin, which only a leader accepts, and results[1] the
	// Rollback, after which no transaction may be open.
	if results[1].State == stmt.Idle {
		up.pool.Release(co)
	} else {
		up.pool.Discard(co)
	}
	up.recordSuccess()
	switch results[0].Code {
	case codes.OK:
		up.recordApplied(results[0].Position)
		gr.recordLeaderProof(up, sentAt, results[0].Position)
	case codes.NotPrimary:
		gr.recordNotLeader(up, sentAt)
	}
	return true
}

// Sample probes the leader of each recently read group whose newest position
// sample is at least age old; the answer is a new sample. It is called about every
// 100 ms and does not wait for the answers.
func (en *Engine) Sample(age time.Duration) {
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
