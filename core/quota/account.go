package quota

import (
	"math"
	"slices"
	"time"
)

// lot is a number of credits that were granted together.
type lot struct {
	count           int
	from, expiresAt time.Time
}

// Account holds one instance's credits for a workspace. It is not safe for concurrent use.
type Account struct {
	settings Settings
	limit    Limit
	self     string
	run      uint32

	seq, acked uint64
	// askedAt is when the question under way was first sent; zero if there is none.
	askedAt time.Time
	// sent is the question under way.
	sent Question
	lots []lot
	// uses holds the times of the credits used that no answered question has reported. One may lie
	// ahead, up to maxDelay: that credit still counts as held.
	uses []time.Time
	// returned and overdrawn count what no answered question has reported.
	returned, overdrawn int
	// refusedUntil is when the keeper may have credits again.
	refusedUntil time.Time
	// askFrom is when the next question may be sent, and unanswered the wait that led to it.
	askFrom    time.Time
	unanswered time.Duration
	// demand is the smoothed number of operations per second at demandAt.
	demand   float64
	demandAt time.Time
	// overdrafts holds the times of the operations without a credit in the last window.
	overdrafts []time.Time
}

// NewAccount returns an account without credits. Its numbers of questions follow those of an
// earlier account of the same process, which asked less than once in a millisecond.
func NewAccount(se Settings, li Limit, self string, run uint32, now time.Time) *Account {
	seq := uint64(max(0, now.UnixMilli()))
	return &Account{settings: se, limit: li, self: self, run: run, demandAt: now, seq: seq, acked: seq}
}

// SetLimit changes the limit. Credits of a higher limit are returned.
func (ac *Account) SetLimit(li Limit, now time.Time) {
	if li == ac.limit {
		return
	}
	ac.expire(now)
	if li.Rate < ac.limit.Rate || li.Burst < ac.limit.Burst {
		ac.returned += ac.held()
		ac.lots = nil
		// An answer under way may be of the higher limit.
		ac.askedAt = time.Time{}
	}
	ac.limit, ac.refusedUntil = li, time.Time{}
}

// demandSpan is the time over which the demand is smoothed.
const demandSpan = 2 * time.Second

// Observe counts an operation that begins.
func (ac *Account) Observe(now time.Time) {
	ac.decay(now)
	ac.demand += 1 / demandSpan.Seconds()
}

func (ac *Account) decay(now time.Time) {
	if since := now.Sub(ac.demandAt); since > 0 {
		ac.demand *= math.Exp(-since.Seconds() / demandSpan.Seconds())
		ac.demandAt = now
	}
}

func (ac *Account) held() int { return sumLots(ac.lots) }

func (ac *Account) expire(now time.Time) {
	kept := ac.lots[:0]
	for _, lo := range ac.lots {
		if !now.Before(lo.expiresAt) {
			ac.returned += lo.count
		} else if lo.count > 0 {
			kept = append(kept, lo)
		}
	}
	ac.lots = kept
}

// Take uses a credit and returns the time from which the operation may run, and false if there
// is none that can be used by the deadline.
func (ac *Account) Take(now, by time.Time) (time.Time, bool) {
	ac.expire(now)
	best := -1
	for pos, lo := range ac.lots {
		if lo.from.After(by) || lo.count == 0 || !lo.from.Before(lo.expiresAt) {
			continue
		}
		if best < 0 || isBefore(lo, ac.lots[best], now) {
			best = pos
		}
	}
	if best < 0 {
		return time.Time{}, false
	}
	ac.lots[best].count--
	from := ac.lots[best].from
	if from.Before(now) {
		from = now
	}
	ac.uses = append(ac.uses, from)
	return from, true
}

// isBefore orders the credits that can be used now by their end, and then the others by their
// beginning.
func isBefore(left, right lot, now time.Time) bool {
	isLeftNow, isRightNow := !left.from.After(now), !right.from.After(now)
	if isLeftNow != isRightNow {
		return isLeftNow
	}
	if isLeftNow {
		return left.expiresAt.Before(right.expiresAt)
	}
	return left.from.Before(right.from)
}

// RefusedUntil returns the time before which it is of no use to ask, and false if there is none.
func (ac *Account) RefusedUntil(now time.Time) (time.Time, bool) {
	return ac.refusedUntil, now.Before(ac.refusedUntil)
}

// aheadSpan is the time for which a busy workspace's credits are asked for at once, and lowSpan
// the rest at which it asks ahead.
const (
	aheadSpan = 2000 * time.Millisecond
	lowSpan   = 200 * time.Millisecond
)

// NeedsMore reports whether the credits run low, so that it asks before an operation waits.
func (ac *Account) NeedsMore(now time.Time) bool {
	ac.expire(now)
	ac.decay(now)
	if _, isRefused := ac.RefusedUntil(now); isRefused || ac.IsAsking() || now.Before(ac.askFrom) {
		return false
	}
	return ac.wantAhead() >= 2 && float64(ac.held()) <= ac.demand*lowSpan.Seconds()
}

func (ac *Account) wantAhead() int {
	return int(min(ac.demand*aheadSpan.Seconds(), maxCount/2))
}

// IsAsking reports whether a question is under way.
func (ac *Account) IsAsking() bool { return !ac.askedAt.IsZero() }

// Question begins a question for the waiting operations. The one before it, if any, is given up.
func (ac *Account) Question(waiting int, now time.Time) Question {
	ac.expire(now)
	ac.decay(now)
	if now.Sub(ac.askFrom) > MaxWait {
		ac.unanswered = 0
	}
	ac.seq++
	ac.askedAt = now
	need := min(max(0, waiting), maxCount/2)
	used, held := ac.ages(now)
	held += ac.held()
	ac.sent = Question{
		From: ac.self, Run: ac.run, Seq: ac.seq, Acked: ac.acked, Need: need, Want: need + max(0, ac.wantAhead()-ac.held()),
		Held: min(held, maxCount), Returned: min(ac.returned, maxCount), Overdrawn: min(ac.overdrawn, maxCount), Used: used,
	}
	return ac.sent
}

// ages counts the uses by age, and those that lie ahead.
func (ac *Account) ages(now time.Time) (used []int, ahead int) {
	for _, at := range ac.uses {
		if at.After(now) {
			ahead++
			continue
		}
		age := min(int(now.Sub(at)/usageStep), maxUses-1)
		for len(used) <= age {
			used = append(used, 0)
		}
		used[age]++
	}
	return used, ahead
}

// Adopt records an answer and reports whether it has effect: one to an earlier question has none.
func (ac *Account) Adopt(an Answer, now time.Time) bool {
	if !ac.IsAsking() || an.Seq != ac.seq {
		return false
	}
	ac.returned -= ac.sent.Returned
	ac.overdrawn -= ac.sent.Overdrawn
	ac.acked = an.Seq
	ac.askFrom, ac.unanswered = time.Time{}, 0
	ac.uses = slices.DeleteFunc(ac.uses, func(at time.Time) bool { return !at.After(ac.askedAt) })
	needBy, aheadBy := ac.askedAt.Add(needValidity), ac.askedAt.Add(min(millis(an.ValidMs), maxValidity))
	ac.askedAt = time.Time{}
	ac.lots = append(ac.lots, lot{an.Count, now, needBy}, lot{an.Late, now.Add(millis(an.LateMs)), needBy}, lot{an.Ahead, now, aheadBy})
	ac.refusedUntil = now.Add(millis(an.RetryMs))
	return true
}

// GiveUp ends a question that was not answered.
func (ac *Account) GiveUp(seq uint64, now time.Time) {
	if seq == ac.seq && ac.IsAsking() {
		ac.askedAt = time.Time{}
		ac.unanswered = min(max(2*ac.unanswered, minRetry), maxUnanswered)
		ac.askFrom = now.Add(ac.unanswered)
	}
}

// AskFrom returns the time from which a question may be sent.
func (ac *Account) AskFrom() time.Time { return ac.askFrom }

// Overdraw admits an operation without a credit, if fewer than share were in the last window.
func (ac *Account) Overdraw(share int, now time.Time) bool {
	kept := ac.overdrafts[:0]
	for _, at := range ac.overdrafts {
		if now.Sub(at) < ac.settings.Window {
			kept = append(kept, at)
		}
	}
	ac.overdrafts = kept
	if len(kept) >= share {
		return false
	}
	ac.overdrafts = append(kept, now)
	ac.overdrawn++
	return true
}

// IsIdle reports whether the account holds nothing that matters.
func (ac *Account) IsIdle(now time.Time) bool {
	ac.expire(now)
	ac.decay(now)
	return !ac.IsAsking() && len(ac.lots) == 0 && ac.demand < 0.01 && ac.overdrawn == 0 &&
		(len(ac.overdrafts) == 0 || now.Sub(ac.overdrafts[len(ac.overdrafts)-1]) >= ac.settings.Window)
}

// Demand returns the smoothed number of operations per second here.
func (ac *Account) Demand(now time.Time) float64 {
	ac.decay(now)
	return ac.demand
}
