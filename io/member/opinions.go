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

// calmSuffix marks the name under which a member passes on what calm members
// told it.
const calmSuffix = "/calm"

// toPassOn returns the opinions for another member, with their ages. Those of
// members that miss nothing become one for each leader, so that what is sent in
// quiet times grows with the failure domains; those of the others are sent as they
// are. An opinion that was put together by another member stays so: two members
// that ask each other must not count each other's instances again.
func (op *opinions) toPassOn(now time.Time, self string) []word {
	type about struct{ group, leader string }
	calm := make(map[about]word)
	var out []word
	for _, wo := range op.fresh(now) {
		if wo.Count > 0 || !wo.isCalm() {
			out = append(out, wo)
			continue
		}
		ke := about{wo.Group, wo.Leader}
		calm[ke] = calm[ke].merge(wo)
	}
	for ke, wo := range calm {
		wo.From = self + calmSuffix + "/" + ke.leader
		out = append(out, wo)
	}
	return out
}

// isCalm reports whether the member that holds the opinion misses nothing.
func (wo word) isCalm() bool { return wo.UnreachedMs == 0 && wo.Stalled == 0 && wo.Crowded == 0 }

// merge returns a calm opinion of one more member. Each age is the youngest.
func (wo word) merge(other word) word {
	if wo.Count == 0 {
		other.Count = 1
		return other
	}
	wo.Count++
	wo.AgeMs = min(wo.AgeMs, other.AgeMs)
	wo.ProvenMs = younger(wo.ProvenMs, other.ProvenMs)
	wo.WroteMs = younger(wo.WroteMs, other.WroteMs)
	wo.ReplicaMs = younger(wo.ReplicaMs, other.ReplicaMs)
	return wo
}

// younger returns the lower of two ages; zero stands for none.
func younger(left, right int64) int64 {
	if left == 0 || right == 0 {
		return max(left, right)
	}
	return min(left, right)
}

// fresh returns the opinions that are not too old, and forgets the others.
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
			Count:          he.word.Count,
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
