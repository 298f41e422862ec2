package member

import (
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/elect"
)

// opinionFresh is how old an opinion may be; three exchanges fit.
const opinionFresh = time.Second

// heardWord is an opinion and when it was held, on this clock.
type heardWord struct {
	word word
	at   time.Time
}

// opinions holds the newest opinion of each other member on each group. It is
// safe for concurrent use.
type opinions struct {
	mu   sync.Mutex
	held map[[2]string]heardWord
}

func newOpinions() *opinions { return &opinions{held: make(map[[2]string]heardWord)} }

// note takes an opinion that was sent at the time given.
func (op *opinions) note(wo word, sent time.Time) {
	at := sent.Add(-millis(wo.AgeMs))
	ke := [2]string{wo.From, wo.Group}
	op.mu.Lock()
	defer op.mu.Unlock()
	if old, ok := op.held[ke]; ok && !at.After(old.at) {
		return
	}
	op.held[ke] = heardWord{word: wo, at: at}
}

// fresh returns the opinions to pass on, with their ages, and forgets old ones.
func (op *opinions) fresh(now time.Time) []word {
	op.mu.Lock()
	defer op.mu.Unlock()
	out := make([]word, 0, len(op.held))
	for ke, he := range op.held {
		age := now.Sub(he.at)
		if age > opinionFresh {
			delete(op.held, ke)
			continue
		}
		wo := he.word
		passed := age.Milliseconds() - wo.AgeMs
		wo.AgeMs += passed
		wo.ProvenMs = older(wo.ProvenMs, passed)
		wo.UnreachedMs = older(wo.UnreachedMs, passed)
		wo.WroteMs = older(wo.WroteMs, passed)
		wo.ReplicaMs = older(wo.ReplicaMs, passed)
		wo.SampleMs = older(wo.SampleMs, passed+1)
		out = append(out, wo)
	}
	return out
}

// older returns an age after more time has passed; zero stands for none.
func older(age, passed int64) int64 {
	if age == 0 {
		return age
	}
	return age + passed
}

// about returns the opinions on a group.
func (op *opinions) about(group string) []elect.Opinion {
	op.mu.Lock()
	defer op.mu.Unlock()
	var out []elect.Opinion
	for ke, he := range op.held {
		if ke[1] != group {
			continue
		}
		out = append(out, elect.Opinion{
			Leader:         he.word.Leader,
			At:             he.at,
			ProvenAt:       before(he, he.word.ProvenMs),
			UnreachedSince: before(he, he.word.UnreachedMs),
			StalledWrites:  he.word.Stalled,
			WroteAt:        before(he, he.word.WroteMs),
			CrowdedReads:   he.word.Crowded,
			ReplicaAt:      before(he, he.word.ReplicaMs),
		})
	}
	return out
}

// before turns an age at the sending into a time.
func before(he heardWord, age int64) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return he.at.Add(millis(he.word.AgeMs - age))
}

// instant is a time that only moves forward. It is safe for concurrent use.
type instant struct{ ns atomic.Int64 }

// load returns the time; zero if it was never set.
func (in *instant) load() time.Time {
	if ns := in.ns.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// raise moves the time forward.
func (in *instant) raise(at time.Time) {
	for {
		old := in.ns.Load()
		if at.UnixNano() <= old || in.ns.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// raiseOnce sets the time if it was never set.
func (in *instant) raiseOnce(at time.Time) { in.ns.CompareAndSwap(0, at.UnixNano()) }
