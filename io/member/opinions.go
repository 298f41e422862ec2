package member

import (
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/elect"
)

// maxOpinionAge is how old an opinion may be; three exchanges fit into it.
const maxOpinionAge = time.Second

// receivedOpinion is another member's opinion and when that member held it, on the
// local clock.
type receivedOpinion struct {
	opinion wireOpinion
	at      time.Time
}

// opinions holds each other member's newest opinion on each group's leader. It is
// safe for concurrent use.
type opinions struct {
	mu   sync.Mutex
	held map[[2]string]receivedOpinion
}

func newOpinions() *opinions { return &opinions{held: make(map[[2]string]receivedOpinion)} }

// add stores an opinion that was sent at the given time, unless a newer one is
// held.
func (op *opinions) add(wo wireOpinion, sent time.Time) {
	at := sent.Add(-millis(wo.AgeMs))
	ke := [2]string{wo.From, wo.Group}
	op.mu.Lock()
	defer op.mu.Unlock()
	if old, ok := op.held[ke]; ok && !at.After(old.at) {
		return
	}
	op.held[ke] = receivedOpinion{opinion: wo, at: at}
}

// calmSuffix marks the sender name of an opinion that a member has merged from calm
// ones, which are those that contain no problem with the leader.
const calmSuffix = "/calm"

// toForward returns the opinions to forward to another member, with their present
// ages. Calm opinions are merged into one for each leader, so that without problems
// their number grows only with the failure domains; the others are forwarded unchanged.
// Opinions that another member merged are not merged again: two members that forward
// each other's opinions must not count these again with every exchange.
func (op *opinions) toForward(now time.Time, self string) []wireOpinion {
	type leaderKey struct{ group, leader string }
	calm := make(map[leaderKey]wireOpinion)
	var out []wireOpinion
	for _, wo := range op.fresh(now) {
		if wo.Count > 0 || !wo.isCalm() {
			out = append(out, wo)
			continue
		}
		ke := leaderKey{wo.Group, wo.Leader}
		calm[ke] = calm[ke].mergeCalm(wo)
	}
	for ke, wo := range calm {
		wo.From = self + calmSuffix + "/" + ke.leader
		out = append(out, wo)
	}
	return out
}

// isCalm reports whether the opinion contains no problem with the leader.
func (wo wireOpinion) isCalm() bool { return wo.UnreachedMs == 0 && wo.Stalled == 0 && wo.Crowded == 0 }

// mergeCalm adds the calm opinion of one more member. Each age is the lowest.
func (wo wireOpinion) mergeCalm(other wireOpinion) wireOpinion {
	if wo.Count == 0 {
		other.Count = 1
		return other
	}
	wo.Count++
	wo.AgeMs = min(wo.AgeMs, other.AgeMs)
	wo.ProvenMs = minAge(wo.ProvenMs, other.ProvenMs)
	wo.WroteMs = minAge(wo.WroteMs, other.WroteMs)
	wo.ReplicaMs = minAge(wo.ReplicaMs, other.ReplicaMs)
	return wo
}

// minAge returns the lower of two ages; zero means none.
func minAge(left, right int64) int64 {
	if left == 0 || right == 0 {
		return max(left, right)
	}
	return min(left, right)
}

// fresh returns the opinions that are not too old, and deletes the others.
func (op *opinions) fresh(now time.Time) []wireOpinion {
	op.mu.Lock()
	defer op.mu.Unlock()
	out := make([]wireOpinion, 0, len(op.held))
	for ke, rec := range op.held {
		age := now.Sub(rec.at)
		if age > maxOpinionAge {
			delete(op.held, ke)
			continue
		}
		wo := rec.opinion
		passed := age.Milliseconds() - wo.AgeMs
		wo.AgeMs += passed
		wo.ProvenMs = addToAge(wo.ProvenMs, passed)
		wo.UnreachedMs = addToAge(wo.UnreachedMs, passed)
		wo.WroteMs = addToAge(wo.WroteMs, passed)
		wo.ReplicaMs = addToAge(wo.ReplicaMs, passed)
		wo.SampleMs = addToAge(wo.SampleMs, passed+1)
		out = append(out, wo)
	}
	return out
}

// addToAge returns an age after more time has passed; zero means none.
func addToAge(age, passed int64) int64 {
	if age == 0 {
		return age
	}
	return age + passed
}

// forGroup returns the opinions on a group's leader.
func (op *opinions) forGroup(group string) []elect.Opinion {
	op.mu.Lock()
	defer op.mu.Unlock()
	var out []elect.Opinion
	for ke, rec := range op.held {
		if ke[1] != group {
			continue
		}
		out = append(out, elect.Opinion{
			Leader:              rec.opinion.Leader,
			Count:               rec.opinion.Count,
			ReceivedAt:          rec.at,
			ProvenAt:            timeFromAge(rec, rec.opinion.ProvenMs),
			UnreachedSince:      timeFromAge(rec, rec.opinion.UnreachedMs),
			StalledWrites:       rec.opinion.Stalled,
			WriteAcknowledgedAt: timeFromAge(rec, rec.opinion.WroteMs),
			CrowdedReads:        rec.opinion.Crowded,
			ReplicaReadAt:       timeFromAge(rec, rec.opinion.ReplicaMs),
		})
	}
	return out
}

// timeFromAge converts an age at the time of sending into a time; a zero age gives
// the zero time.
func timeFromAge(rec receivedOpinion, age int64) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return rec.at.Add(millis(rec.opinion.AgeMs - age))
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

// advance sets the time if the new one is later.
func (in *instant) advance(at time.Time) {
	for {
		old := in.ns.Load()
		if at.UnixNano() <= old || in.ns.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// reset makes the time one that was never set.
func (in *instant) reset() { in.ns.Store(0) }

// setOnce sets the time if it was never set.
func (in *instant) setOnce(at time.Time) { in.ns.CompareAndSwap(0, at.UnixNano()) }
