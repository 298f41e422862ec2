// Package admit decides which waiting request gets the next free slot of an
// upstream. It is weighted fair queueing by start tags with bounded queues and
// deadlines, and holds no clock and no lock.
package admit

import (
	"time"

	"banyanspring/core/codes"
)

// Limits bounds a queue.
type Limits struct {
	// Slots is the number of requests that run at once; at least 1.
	Slots int
	// Total bounds all waiting requests.
	Total int
}

// Item is one request that asks for a slot.
type Item struct {
	// ID is unique among the items of a queue.
	ID uint64
	// Caller names the queue that the item joins.
	Caller string
	// Weight is the caller's share; at least 1.
	Weight uint32
	// Limit bounds the items that the caller may have waiting; at least 1.
	Limit int
	// Urgent items are granted at once, over the number of slots if need be:
	// the next statement of an open transaction may hold locks that the
	// statements in the slots wait for.
	Urgent bool
	// Deadline is when the item is of no more use.
	Deadline time.Time
}

// Decision tells what became of an item. A nil Refusal grants the slot.
type Decision struct {
	// ID names the item.
	ID uint64
	// Refusal is nil if the item got a slot.
	Refusal *codes.Refusal
}

type waiting struct {
	item  Item
	start float64
}

type lane struct {
	// waiting is ordered by arrival, and so by start tag.
	waiting []waiting
	// finish is the finish tag of the newest item; it never falls.
	finish float64
	// running counts slots held by the caller.
	running int
}

// Queue shares slots between callers by weight.
type Queue struct {
	limits Limits
	lanes  map[string]*lane
	// running exceeds limits.Slots only by urgent items.
	running int
	// total is the sum of the lengths of all lanes and at most limits.Total.
	total int
	// virtual is the start tag of the item granted last; it never falls.
	virtual float64
	// service is the smoothed time that a request holds its slot.
	service float64
}

const (
	// serviceSmoothing is the weight of a new sample of service time.
	serviceSmoothing = 0.1
	// leastServiceShare is the part of the smoothed service time that a request
	// must have left to be granted a slot.
	leastServiceShare = 0.5
	// minWeight replaces a weight of zero.
	minWeight = 1
)

// New returns an empty queue.
func New(lim Limits) *Queue {
	return &Queue{limits: lim, lanes: make(map[string]*lane)}
}

// SetSlots changes the number of slots; running requests are not revoked.
func (qu *Queue) SetSlots(slots int) { qu.limits.Slots = slots }

// Running returns the number of slots in use.
func (qu *Queue) Running() int { return qu.running }

// Waiting returns the number of waiting items.
func (qu *Queue) Waiting() int { return qu.total }

// Offer adds an item. It returns a decision at once if the item is granted or
// refused, and nil if the item waits.
func (qu *Queue) Offer(now time.Time, it Item) *Decision {
	ln := qu.laneFor(it.Caller)
	if it.Urgent {
		ln.finish = max(qu.virtual, ln.finish) + 1/float64(max(it.Weight, minWeight))
		qu.grant(ln, qu.virtual)
		return &Decision{ID: it.ID}
	}
	if ref := qu.refuse(now, it, ln); ref != nil {
		qu.forget(it.Caller, ln)
		return &Decision{ID: it.ID, Refusal: ref}
	}
	start := max(qu.virtual, ln.finish)
	ln.finish = start + 1/float64(max(it.Weight, minWeight))
	if qu.running < qu.limits.Slots && qu.total == 0 {
		qu.grant(ln, start)
		return &Decision{ID: it.ID}
	}
	ln.waiting = append(ln.waiting, waiting{item: it, start: start})
	qu.total++
	return nil
}

// Release returns the slot that a caller held since the time given, and says
// which waiting items are granted or have expired.
func (qu *Queue) Release(now time.Time, caller string, since time.Time) []Decision {
	qu.running--
	held := now.Sub(since).Seconds()
	qu.service += serviceSmoothing * (held - qu.service)
	if ln := qu.lanes[caller]; ln != nil {
		ln.running--
		qu.forget(caller, ln)
	}
	return qu.fill(now, nil)
}

// Cancel removes a waiting item; it reports false if the item does not wait.
func (qu *Queue) Cancel(caller string, id uint64) bool {
	ln := qu.lanes[caller]
	if ln == nil {
		return false
	}
	for pos, wt := range ln.waiting {
		if wt.item.ID != id {
			continue
		}
		ln.waiting = append(ln.waiting[:pos], ln.waiting[pos+1:]...)
		qu.total--
		qu.forget(caller, ln)
		return true
	}
	return false
}

// Expire refuses all items whose deadline has passed and fills free slots.
func (qu *Queue) Expire(now time.Time) []Decision {
	var out []Decision
	for caller, ln := range qu.lanes {
		kept := ln.waiting[:0]
		for _, wt := range ln.waiting {
			if now.Before(wt.item.Deadline) {
				kept = append(kept, wt)
				continue
			}
			out = append(out, expired(wt.item))
			qu.total--
		}
		ln.waiting = kept
		qu.forget(caller, ln)
	}
	return qu.fill(now, out)
}

func (qu *Queue) refuse(now time.Time, it Item, ln *lane) *codes.Refusal {
	if !now.Before(it.Deadline) {
		return codes.Refuse(codes.DeadlineUnmet, "deadline has passed")
	}
	wait := qu.expectedWait(it, ln)
	retryAt := now.Add(wait)
	if len(ln.waiting) >= it.Limit {
		return codes.Refuse(codes.QueueFull, "%d requests of caller %q wait", len(ln.waiting), it.Caller).WithRetryAt(retryAt)
	}
	if qu.total >= qu.limits.Total {
		return codes.Refuse(codes.QueueFull, "%d requests wait", qu.total).WithRetryAt(retryAt)
	}
	if retryAt.After(it.Deadline) {
		return codes.Refuse(codes.DeadlineUnmet, "expected wait is %v", wait).WithRetryAt(retryAt)
	}
	return nil
}

// expectedWait estimates the wait of a new item from the requests that the
// caller's own share must serve first.
func (qu *Queue) expectedWait(it Item, ln *lane) time.Duration {
	if qu.running < qu.limits.Slots {
		return 0
	}
	own := float64(max(it.Weight, minWeight))
	ahead := 0.0
	queued := float64(len(ln.waiting) + 1)
	for _, other := range qu.lanes {
		if other == ln || len(other.waiting) == 0 {
			continue
		}
		weight := float64(max(other.waiting[0].item.Weight, minWeight))
		ahead += min(float64(len(other.waiting)), queued*weight/own)
	}
	seconds := (ahead + queued) * qu.service / float64(max(qu.limits.Slots, 1))
	return time.Duration(seconds * float64(time.Second))
}

func (qu *Queue) fill(now time.Time, out []Decision) []Decision {
	for qu.running < qu.limits.Slots {
		caller, ln := qu.next()
		if ln == nil {
			return out
		}
		wt := ln.waiting[0]
		ln.waiting = ln.waiting[1:]
		qu.total--
		if !now.Add(qu.leastService()).Before(wt.item.Deadline) {
			out = append(out, expired(wt.item))
			qu.forget(caller, ln)
			continue
		}
		qu.grant(ln, wt.start)
		out = append(out, Decision{ID: wt.item.ID})
	}
	return out
}

// leastService is the time that a request needs at least once it has its slot.
// One that is granted later than that before its deadline only takes the slot
// from another.
func (qu *Queue) leastService() time.Duration {
	return time.Duration(qu.service * leastServiceShare * float64(time.Second))
}

// next returns the lane whose first item has the lowest start tag; ties go to
// the caller's name, so that the order does not depend on the map.
func (qu *Queue) next() (string, *lane) {
	var bestName string
	var best *lane
	for name, ln := range qu.lanes {
		if len(ln.waiting) == 0 {
			continue
		}
		if best == nil || ln.waiting[0].start < best.waiting[0].start ||
			(ln.waiting[0].start == best.waiting[0].start && name < bestName) {
			bestName, best = name, ln
		}
	}
	return bestName, best
}

func (qu *Queue) grant(ln *lane, start float64) {
	qu.running++
	ln.running++
	qu.virtual = max(qu.virtual, start)
}

func (qu *Queue) laneFor(caller string) *lane {
	ln := qu.lanes[caller]
	if ln == nil {
		ln = &lane{finish: qu.virtual}
		qu.lanes[caller] = ln
	}
	return ln
}

// forget drops an idle lane once its finish tag can no longer matter.
func (qu *Queue) forget(caller string, ln *lane) {
	if len(ln.waiting) == 0 && ln.running == 0 && ln.finish <= qu.virtual {
		delete(qu.lanes, caller)
	}
}

func expired(it Item) Decision {
	return Decision{ID: it.ID, Refusal: codes.Refuse(codes.DeadlineUnmet, "deadline passed in the queue")}
}
