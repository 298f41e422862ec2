package quota

import (
	"math"
	"sort"
	"time"
)

// usageStep is the length of the intervals in which operations are counted. A use counts at the
// end of its interval, so that longer ones take more of the margin.
const usageStep = 50 * time.Millisecond

// Bucket counts the operations of one workspace at its keeper. It is not safe for concurrent use.
type Bucket struct {
	settings Settings
	limit    Limit
	// origin is the end of interval 0.
	origin time.Time
	// begunAt is when a keeper began that knew nothing. For a window from then on, only the rate
	// and startFraction of the margin are granted, which fit beside all that its predecessor may have granted.
	begunAt time.Time
	// uses holds the credits reported as used, by the interval of their latest possible use.
	uses    map[int64]int
	ledgers map[asker]*ledger
}

type asker struct {
	name string
	run  uint32
}

// ledger is what the keeper knows of one instance's credits.
type ledger struct {
	// question and answer are the last ones; before holds the credits before that question, and
	// recorded the uses that it reported.
	question Question
	answer   Answer
	before   []lot
	recorded map[int64]int
	// lots holds the credits that were not reported as used or returned, the oldest first. They
	// count as used when they expire.
	lots    []lot
	askedAt time.Time
	// refusedUntil is when the instance may ask again; zero if it was not refused.
	refusedUntil time.Time
}

// outstanding returns the upper bound of the credits that may still be used.
func (le *ledger) outstanding(now time.Time) int {
	sum := 0
	for _, lo := range le.lots {
		if now.Before(lo.expiresAt) {
			sum += lo.count
		}
	}
	return sum
}

func sumLots(lots []lot) int {
	sum := 0
	for _, lo := range lots {
		sum += lo.count
	}
	return sum
}

// newest returns the lots with the newest credits of the number given.
func newest(lots []lot, count int) []lot {
	var out []lot
	for pos := len(lots) - 1; pos >= 0 && count > 0; pos-- {
		lo := lots[pos]
		lo.count = min(lo.count, count)
		count -= lo.count
		out = append([]lot{lo}, out...)
	}
	return out
}

// NewBucket returns the bucket of a keeper that knows nothing of the one before it.
func NewBucket(se Settings, li Limit, now time.Time) *Bucket {
	return &Bucket{settings: se, limit: li, origin: now, begunAt: now, uses: make(map[int64]int), ledgers: make(map[asker]*ledger)}
}

// Resume returns the bucket that another keeper has handed over.
func Resume(se Settings, li Limit, ha Handover, now time.Time) *Bucket {
	bu := NewBucket(se, li, now)
	bu.begunAt = now.Add(-millis(ha.KnownMs))
	for age, count := range ha.Uses {
		bu.uses[bu.interval(now.Add(-time.Duration(age)*usageStep))] += count
	}
	if ha.Held > 0 {
		bu.ledgers[asker{}] = &ledger{lots: []lot{{count: ha.Held, expiresAt: now.Add(maxValidity + expiryMargin)}}, askedAt: now}
	}
	return bu
}

// Handover returns the state for the next keeper. This bucket must not be used any more.
func (bu *Bucket) Handover(now time.Time) Handover {
	ha := Handover{Uses: []int{}, KnownMs: min(now.Sub(bu.begunAt).Milliseconds(), maxMs)}
	for _, us := range bu.profile(now) {
		if us.at.After(now) {
			// The interval has not ended, or the credits may still be used.
			us.at = now
		}
		age := min(int(now.Sub(us.at)/usageStep), maxUses-1)
		for len(ha.Uses) <= age {
			ha.Uses = append(ha.Uses, 0)
		}
		ha.Uses[age] += us.count
	}
	held := bu.outstanding(now)
	if held > 0 {
		ha.Uses[0] -= held
		ha.Held = held
	}
	return ha
}

// SetLimit changes the limit. A lower one takes effect at once.
func (bu *Bucket) SetLimit(li Limit, _ time.Time) { bu.limit = li }

// Limit returns the limit in force.
func (bu *Bucket) Limit() Limit { return bu.limit }

// outstanding returns the number of credits that may still be used.
func (bu *Bucket) outstanding(now time.Time) int {
	sum := 0
	for _, le := range bu.ledgers {
		sum += le.outstanding(now)
	}
	return sum
}

// interval returns the interval that contains a time, and end the time at which one ends.
func (bu *Bucket) interval(at time.Time) int64 {
	return int64(math.Ceil(float64(at.Sub(bu.origin)) / float64(usageStep)))
}

func (bu *Bucket) end(interval int64) time.Time {
	return bu.origin.Add(time.Duration(interval) * usageStep)
}

// forget drops what lies before the window.
func (bu *Bucket) forget(now time.Time) {
	for in := range bu.uses {
		if now.Sub(bu.end(in)) > bu.settings.Window {
			delete(bu.uses, in)
		}
	}
	for ke, le := range bu.ledgers {
		if now.Sub(le.askedAt) > bu.settings.Window+maxValidity+expiryMargin {
			delete(bu.ledgers, ke)
		}
	}
}

// usage is a number of operations and the latest time at which they may have begun.
type usage struct {
	at    time.Time
	count int
}

// profile returns what counts in the window, the latest first.
func (bu *Bucket) profile(now time.Time) []usage {
	lowest := bu.interval(now.Add(-bu.settings.Window))
	counts := make([]int, bu.interval(now.Add(maxValidity+expiryMargin))-lowest+1)
	add := func(in int64, count int) {
		if in >= lowest {
			counts[min(in-lowest, int64(len(counts)-1))] += count
		}
	}
	for in, count := range bu.uses {
		add(in, count)
	}
	for _, le := range bu.ledgers {
		for _, lo := range le.lots {
			add(bu.interval(lo.expiresAt), lo.count)
		}
	}
	out := make([]usage, 0, len(counts))
	for pos := len(counts) - 1; pos >= 0; pos-- {
		if at := bu.end(lowest + int64(pos)); counts[pos] > 0 && now.Sub(at) < bu.settings.Window {
			out = append(out, usage{at, counts[pos]})
		}
	}
	return out
}

// peak returns how many operations may begin at once.
func (bu *Bucket) peak() float64 { return bu.limit.Burst + bu.settings.stock(bu.limit) }

// room returns how many credits can be granted at a time, given what counts then: what is left
// of the window and of each part of it that ends now (see the bound of the package).
func (bu *Bucket) room(profile []usage, now time.Time) float64 {
	room, sum := bu.peak(), 0
	for _, us := range profile {
		age := max(0, now.Sub(us.at))
		if age >= bu.settings.Window {
			break
		}
		sum += us.count
		room = min(room, bu.peak()+bu.limit.Rate*age.Seconds()-float64(sum))
	}
	if known := now.Sub(bu.begunAt); known < bu.settings.Window {
		room = min(room, startFraction*bu.settings.Margin(bu.limit)+bu.limit.Rate*known.Seconds()-float64(sum))
	}
	return min(room, bu.settings.Allowed(bu.limit)+bu.settings.stock(bu.limit)-float64(sum))
}

// waitFor returns how long it takes until there is room for a number of credits, at most
// the time given.
func (bu *Bucket) waitFor(profile []usage, count float64, now time.Time, most time.Duration) time.Duration {
	ms := sort.Search(int(ceilMs(most)), func(ms int) bool { return bu.room(profile, now.Add(millis(int64(ms)))) >= count })
	return millis(int64(ms))
}

// Ask answers a question.
func (bu *Bucket) Ask(qu Question, now time.Time) Answer {
	bu.forget(now)
	ke := asker{qu.From, qu.Run}
	le := bu.ledgers[ke]
	switch {
	case le == nil:
		le = &ledger{}
		bu.ledgers[ke] = le
	case qu.Seq == le.question.Seq:
		return le.answer
	case qu.Seq < le.question.Seq:
		return Answer{Seq: qu.Seq}
	}
	bu.settle(le, qu, now)
	le.askedAt, le.refusedUntil = now, time.Time{}
	an := bu.grant(qu, now)
	le.question, le.answer, le.refusedUntil = qu, an, now.Add(millis(an.RetryMs))
	if an.Count+an.Late > 0 {
		le.lots = append(le.lots, lot{count: an.Count + an.Late, expiresAt: now.Add(needValidity + expiryMargin)})
	}
	if an.Ahead > 0 {
		le.lots = append(le.lots, lot{count: an.Ahead, expiresAt: now.Add(millis(an.ValidMs) + expiryMargin)})
	}
	return an
}

// settle records what a question says of the credits granted before.
func (bu *Bucket) settle(le *ledger, qu Question, now time.Time) {
	if le.question.Seq > qu.Acked {
		// The last answer was not adopted, and its question is contained in this one.
		le.lots = le.before
		for in, count := range le.recorded {
			if bu.uses[in] -= count; bu.uses[in] <= 0 {
				delete(bu.uses, in)
			}
		}
	}
	unreported := sumLots(le.lots)
	held := min(qu.Held, unreported)
	used := unreported - held - min(qu.Returned, unreported-held)
	le.before, le.recorded = le.lots, make(map[int64]int)
	// The newest may be valid for longest.
	le.lots = newest(le.lots, held)
	record := func(at time.Time, count int) {
		if count > 0 {
			le.recorded[bu.interval(at)] += count
		}
	}
	latest := time.Time{}
	for _, lo := range le.before {
		if lo.expiresAt.After(latest) {
			latest = lo.expiresAt
		}
	}
	for age, count := range qu.Used {
		count = min(count, used)
		used -= count
		record(now.Add(-time.Duration(age)*usageStep), count)
	}
	if latest.After(now) {
		latest = now
	}
	record(latest, used)
	record(now, qu.Overdrawn)
	for in, count := range le.recorded {
		bu.uses[in] += count
	}
}

// grant decides on the credits for a question.
func (bu *Bucket) grant(qu Question, now time.Time) Answer {
	an := Answer{Seq: qu.Seq, ValidMs: maxValidity.Milliseconds()}
	profile := bu.profile(now)
	room := bu.room(profile, now)
	an.Count = min(qu.Need, max(0, int(math.Floor(room))))
	if an.Count < qu.Need {
		// What has room within maxDelay is granted now, so that the operation waits instead
		// of being refused, and nobody has to ask again.
		reach := bu.room(profile, now.Add(maxDelay))
		an.Late = min(qu.Need-an.Count, max(0, int(math.Floor(reach))-an.Count))
	}
	if an.Late > 0 {
		an.LateMs = ceilMs(bu.waitFor(profile, float64(an.Count+an.Late), now, maxDelay))
	}
	if an.Count+an.Late < qu.Need {
		an.RetryMs = ceilMs(bu.retryAfter(profile, an.Count+an.Late, now))
		return an
	}
	spare := room - float64(an.Count) - reserveFraction*bu.peak()
	an.Ahead = min(qu.Want-qu.Need, max(0, int(math.Floor(spare*shareOfSpare))))
	return an
}

// retryAfter returns when a refused instance may ask again: when there is room for it and for the
// instances that were refused before it and have not asked again, but at most maxShared after there
// is room for one, since those may have no operation by then.
func (bu *Bucket) retryAfter(profile []usage, granted int, now time.Time) time.Duration {
	turn := granted + 1
	most := min(bu.settings.Window, millis(maxMs))
	first := bu.waitFor(profile, float64(turn), now, most)
	for _, le := range bu.ledgers {
		if now.Before(le.refusedUntil) {
			turn++
		}
	}
	return min(bu.waitFor(profile, float64(turn), now, most), first+maxShared)
}
