package engine

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
	"banyanspring/core/stmt"
	"banyanspring/io/pool"
)

// probeTimeout bounds one probe. A probe takes no slot at the upstream, so that
// the timeout only has to cover the network.
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
// there was one.
func (en *Engine) probe(gr *groupState, up *upstream) bool {
	deadline := en.deps.Now().Add(probeTimeout)
	co, err := up.pool.Acquire(pool.ConnRequest{Caller: probeCaller, QueueDeadline: deadline, Deadline: deadline})
	if err != nil {
		if codes.Is(err, codes.UpstreamUnreached) {
			up.recordFailure(en.deps.Now())
		}
		return false
	}
	sentAt := en.deps.Now()
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
	if results[1].State == stmt.Idle {
		up.pool.Release(co)
	} else {
		up.pool.Discard(co)
	}
	up.recordSuccess()
	switch results[0].Code {
	case codes.OK:
		up.recordApplied(results[0].Position)
		gr.recordProof(up, sentAt, results[0].Position)
	case codes.NotPrimary:
		gr.recordDenial(up, sentAt)
	}
	return true
}

// Sample takes a new position sample of each recently read group whose newest
// one has reached the age given. It is called about every 100 ms and does not
// wait for the samples.
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
