package engine

import (
	"maps"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/outly"
)

// readCounts counts the reads at one upstream. It is safe for concurrent use.
type readCounts struct {
	mu     sync.Mutex
	window outly.Window
}

func (rc *readCounts) add(co outly.Counts, now time.Time) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.window.Add(co, now)
}

func (rc *readCounts) sum(now time.Time) outly.Counts {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.window.Sum(now)
}

// isUpstreamFailure reports whether a result that an upstream gave for a read counts as a failure.
// Refusals by right do not, such as being behind or not leading.
func isUpstreamFailure(co codes.Code) bool {
	switch co {
	case codes.QueueFull, codes.Timeout, codes.StatementFailed, codes.OutcomeUnknown:
		return true
	}
	return false
}

// countAnswered counts an attempt that the upstream answered with the code.
func (ex *execution) countAnswered(up *upstream, co codes.Code, sentAt time.Time) {
	if !ex.isCounted {
		return
	}
	now := ex.en.deps.Now()
	switch {
	case co == codes.OK:
		// Members differ by their distance, which shows nothing about them.
		took := now.Sub(sentAt) - ex.en.roundTrip(up, up.info.Load().Domain)
		up.reads.add(outly.Counts{Answered: 1, Took: max(took, 0)}, now)
	case isUpstreamFailure(co):
		up.reads.add(outly.Counts{Failed: 1}, now)
	}
}

// countRefused counts an attempt that failed without an answer of the upstream. Refusals of this
// instance or of a home do not count.
func (ex *execution) countRefused(up *upstream, ref *codes.Refusal) {
	if ex.isCounted && ref.Code == codes.UpstreamUnreached {
		up.reads.add(outly.Counts{Failed: 1}, ex.en.deps.Now())
	}
}

func (up *upstream) readWeight() float64 {
	if bits := up.weight.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// leaveOutliersOut returns the members that a read may go to, out of those that can serve it. One
// with a weight below 1 is left out at random. It draws no random number for the others, so that
// nothing changes while there is no outlier.
func (en *Engine) leaveOutliersOut(able []*upstream) []*upstream {
	hasOutlier := false
	weights := make([]float64, 0, 8)
	for _, up := range able {
		weight := up.readWeight()
		hasOutlier = hasOutlier || weight < 1
		weights = append(weights, weight)
	}
	if !hasOutlier {
		return able
	}
	out := able[:0]
	for pos, weight := range outly.WithFloor(weights) {
		if weight < 1 && rand.Float64() >= weight {
			en.Counts.LeftOut.Add(1)
			continue
		}
		out = append(out, able[pos])
	}
	return out
}

// GroupReads holds this instance's counts of a group's reads, by ID and incarnation of the member.
type GroupReads struct {
	Group  string
	Counts map[string]outly.Counts
	// IsCause is true if these counts, or a member with a reduced weight, are a reason to ask other
	// instances for theirs.
	IsCause bool
}

// Weigh decides on the weights of all upstreams for reads. others returns the recent counts of
// other instances for a group, nil if there are none. Weigh returns this instance's counts of the groups
// with an outlier or a suspicion of one, here or at others. It is called by one goroutine, about every
// 250 ms, and costs little for the other groups.
func (en *Engine) Weigh(others func(group string) map[string]outly.Counts) []GroupReads {
	now := en.deps.Now()
	var out []GroupReads
	outliers := int64(0)
	for name, gr := range *en.groups.Load() {
		members := gr.allMembers()
		own := make(map[string]outly.Counts, len(members))
		for _, up := range members {
			own[up.readKey] = up.reads.sum(now)
		}
		received := others(name)
		isCause := gr.outliers.HasOutlier() || outly.IsSuspect(own)
		if len(members) == 0 || (!isCause && received == nil) {
			continue
		}
		merged := make(map[string]outly.Counts, len(own))
		for key, co := range own {
			merged[key] = co.With(received[key])
		}
		for _, ch := range gr.outliers.Weigh(merged, now) {
			en.logOutlier(name, ch, now)
		}
		for _, up := range members {
			weight := gr.outliers.Weight(up.readKey)
			up.weight.Store(math.Float64bits(weight))
			if weight < 1 {
				outliers++
			}
		}
		out = append(out, GroupReads{Group: name, Counts: own, IsCause: isCause})
	}
	en.Counts.Outliers.Store(outliers)
	en.forgetUnlistedOutliers()
	return out
}

const (
	// maxOutlierEvents is how many outliers are logged within outlierPeriod. A fault of a failure
	// domain makes hundreds at each instance.
	maxOutlierEvents = 20
	outlierPeriod    = 30 * time.Second
)

// outlierEvents holds which outliers were logged.
type outlierEvents struct {
	count       int
	periodUntil time.Time
	// since holds when the upstreams became outliers that were logged and have not returned, by
	// their readKey.
	since map[string]time.Time
}

// idOfReadKey returns the ID of the upstream; IDs have no spaces.
func idOfReadKey(key string) string {
	id, _, _ := strings.Cut(key, " ")
	return id
}

// forgetUnlistedOutliers drops incarnations that are no longer listed, which do not return.
func (en *Engine) forgetUnlistedOutliers() {
	if len(en.outlierEvents.since) == 0 {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	maps.DeleteFunc(en.outlierEvents.since, func(key string, _ time.Time) bool {
		up := en.upstreams[idOfReadKey(key)]
		return up == nil || up.readKey != key
	})
}

// logOutlier logs that a member has become an outlier, unless too many were logged, or that one
// which was logged has returned.
func (en *Engine) logOutlier(name string, ch outly.Change, now time.Time) {
	oe := &en.outlierEvents
	if !ch.IsOutlier {
		if since, ok := oe.since[ch.ID]; ok {
			delete(oe.since, ch.ID)
			event.Log(en.log, event.OutlierReturned, "group", name, "upstream", idOfReadKey(ch.ID), "took_ms", now.Sub(since).Milliseconds())
		}
		return
	}
	if !now.Before(oe.periodUntil) {
		oe.count, oe.periodUntil = 0, now.Add(outlierPeriod)
	}
	if oe.count >= maxOutlierEvents {
		return
	}
	oe.count++
	if oe.since == nil {
		oe.since = make(map[string]time.Time)
	}
	oe.since[ch.ID] = now
	event.Log(en.log, event.OutlierFound, "group", name, "upstream", idOfReadKey(ch.ID), "answered", ch.Counts.Answered, "failed", ch.Counts.Failed,
		"mean_ms", ch.Counts.Mean().Milliseconds(), "others_failed_share", ch.Share, "others_mean_ms", ch.Mean.Milliseconds())
}
