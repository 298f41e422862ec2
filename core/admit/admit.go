// Package admit decides which queued request gets the next free slot of an
// upstream. It implements start-time fair queueing with weights, bounded queues
// and deadlines. It reads no clock and takes no lock.
//
// Requests that can still meet their latency objective are served before those
// that cannot. Under overload, items of a lower priority number go first among equally timely
// ones. If requests were served in order of arrival, a backlog that takes
// longer than the objective would make every request late, including those that
// arrive when the backlog is almost cleared.
package admit

import (
	"slices"
	"time"

	"banyanspring/core/codes"
)

// Limits bounds a queue.
type Limits struct {
	// Slots is the number of requests that run at once; at least 1.
	Slots int
	// Total is the maximum number of waiting requests of all callers together.
	Total int
}

// Item is one request that asks for a slot.
type Item struct {
	// ID is unique among the items of a queue.
	ID uint64
	// Caller is the caller whose flow the item joins.
	Caller string
	// Weight is the caller's relative share of the slots; zero counts as 1.
	Weight uint32
	// Priority orders items under overload; 0 goes first.
	Priority uint32
	// Limit is the maximum number of the caller's items that wait at once, this one
	// included; at least 1.
	Limit int
	// WaitingPerFree bounds the caller's items that wait, this one not included, to a multiple of
	// the free places of the queue; 0 if there is no bound. One caller with a backlog then
	// does not fill the queue, which would refuse all others.
	WaitingPerFree int
	// Urgent items are granted at once, even if no slot is free: an open
	// transaction may hold locks that the statements in the slots wait for.
	Urgent bool
	// Spare is the number of slots that the item leaves free for items with a lower Spare.
	Spare int
	// HeldPerFree bounds the slots that the caller holds to a multiple of those that are
	// free, beyond Spare; 0 if there is no bound. Callers that keep their slots for long then
	// leave some to others, whoever comes first. Urgent items are granted regardless of it
	// and of Spare.
	HeldPerFree int
	// YieldsAboveShare is true if the item lets items of callers go first that hold less
	// than their share of the slots, once its own caller holds its share. Without it a
	// caller that keeps its slots for long would collect them all.
	YieldsAboveShare bool
	// ChargedIfServed is true if the item counts against its caller's share only if it gets a
	// slot. Otherwise a caller who sends a little more than another one is served much less
	// under overload, since all that is refused in the queue counts too.
	ChargedIfServed bool
	// SoftDeadline is the time by which the item should be served; a later answer is worth
	// less to the caller. Zero if the item has no latency objective.
	SoftDeadline time.Time
	// Deadline is the time after which the item must not be granted. Urgent items are
	// granted regardless of it.
	Deadline time.Time
}

// Decision is the grant or refusal of an item.
type Decision struct {
	// ID names the item.
	ID uint64
	// Refusal is nil if the item got a slot.
	Refusal *codes.Refusal
}

// queuedItem is a waiting item with its start tag.
type queuedItem struct {
	item  Item
	start float64
}

// flow holds the queued items of one caller.
type flow struct {
	// timely holds the items that can still be served by their soft deadline, and
	// late the others. Both are in the order in which the items were added to them.
	timely, late []queuedItem
	// finish is the finish tag of the newest item; it never decreases.
	finish float64
	// running counts the slots that the caller holds.
	running int
	// weight is that of the newest item.
	weight float64
	// avgService is the smoothed time in seconds that the caller's requests hold their slots;
	// 0 if none has ended.
	avgService float64
}

// Queue shares slots between callers by weight. It is not safe for concurrent use.
type Queue struct {
	limits Limits
	// flows holds a flow for each caller with queued or running items, or with a
	// finish tag above the virtual time.
	flows map[string]*flow
	// running exceeds limits.Slots only by urgent items, or after SetSlots has
	// lowered the limit.
	running int
	// total is the number of waiting items of all flows; at most limits.Total.
	total int
	// virtualTime is the highest start tag granted so far.
	virtualTime float64
	// avgService is the smoothed time in seconds that a request holds its slot.
	avgService float64
	// turns counts the waiting items that were granted under overload.
	turns int
}

const (
	// overloadBacklog is how long the waiting items must take to be served for the queue to
	// be overloaded: half the time that a read waits at one upstream before it is
	// sent to another one.
	overloadBacklog = 20 * time.Millisecond
	// fairTurn is how often a slot is granted under overload without regard to the priority, so
	// that no flow starves: one of 8.
	fairTurn = 8
	// serviceSmoothing is the weight of a new sample of service time.
	serviceSmoothing = 0.1
	// minServiceShare is the part of the smoothed service time that must remain
	// until a request's deadline for it to be granted a slot.
	minServiceShare = 0.5
	// minWeight replaces a weight of zero, by which the tags cannot be divided.
	minWeight = 1
)

// New returns an empty queue.
func New(lim Limits) *Queue {
	return &Queue{limits: lim, flows: make(map[string]*flow)}
}

// SetSlots changes the number of slots; running requests are not revoked. Added
// slots are filled by the next call of Release or Expire.
func (qu *Queue) SetSlots(slots int) { qu.limits.Slots = slots }

// Running returns the number of slots in use.
func (qu *Queue) Running() int { return qu.running }

// Waiting returns the number of waiting items.
func (qu *Queue) Waiting() int { return qu.total }

// Offer adds an item. It returns a decision if the item is granted or refused at
// once, and nil if the item is queued.
func (qu *Queue) Offer(now time.Time, it Item) *Decision {
	fl := qu.flowFor(it.Caller)
	fl.weight = float64(max(it.Weight, minWeight))
	if it.Urgent {
		// The item counts against the caller's share by its finish tag. It does not
		// advance the virtual time, since it did not wait for its turn.
		fl.finish = max(qu.virtualTime, fl.finish) + 1/float64(max(it.Weight, minWeight))
		qu.grant(fl, qu.virtualTime)
		return &Decision{ID: it.ID}
	}
	if ref := qu.refusalFor(now, it, fl); ref != nil {
		qu.removeIdleFlow(it.Caller, fl)
		return &Decision{ID: it.ID, Refusal: ref}
	}
	start := max(qu.virtualTime, fl.finish)
	fl.finish = start + 1/float64(max(it.Weight, minWeight))
	if qu.fits(it, fl) && (qu.total == 0 || !qu.hasNext()) {
		qu.grant(fl, start)
		return &Decision{ID: it.ID}
	}
	list := &fl.late
	if qu.isTimely(now, it) {
		list = &fl.timely
	}
	*list = append(*list, queuedItem{item: it, start: start})
	if qu.isOverloaded() {
		raise(*list)
	}
	qu.total++
	return nil
}

// raise moves the last item before those of a higher priority number. The start tags stay in
// order: they are the flow's, not the item's.
func raise(list []queuedItem) {
	for pos := len(list) - 1; pos > 0 && list[pos].item.Priority < list[pos-1].item.Priority; pos-- {
		list[pos].item, list[pos-1].item = list[pos-1].item, list[pos].item
	}
}

// isOverloaded reports whether the waiting items take longer than overloadBacklog to be served.
func (qu *Queue) isOverloaded() bool {
	return seconds(float64(qu.total)*qu.avgService/float64(max(qu.limits.Slots, 1))) > overloadBacklog
}

// IsExhausted reports whether an item waits for which no slot is free, beyond those that it
// leaves to others. It does not count items that wait because their caller holds too many.
func (qu *Queue) IsExhausted() bool {
	for _, fl := range qu.flows {
		if fl.length() > 0 && qu.free(fl.head().item) <= 0 {
			return true
		}
	}
	return false
}

// free returns the number of slots that are free for an item. An item may have been queued
// before the slots were lowered: it is not kept from the last one.
func (qu *Queue) free(it Item) int { return max(qu.limits.Slots-it.Spare, 1) - qu.running }

// fits reports whether a slot is free for an item of the flow.
func (qu *Queue) fits(it Item, fl *flow) bool {
	free := qu.free(it)
	return free > 0 && (it.HeldPerFree == 0 || fl.running < it.HeldPerFree*free)
}

// hasNext reports whether a waiting item could be granted.
func (qu *Queue) hasNext() bool {
	_, fl := qu.next()
	return fl != nil
}

// isTimely reports whether an item that is granted now will likely be served by
// its soft deadline.
func (qu *Queue) isTimely(now time.Time, it Item) bool {
	return it.SoftDeadline.IsZero() || !now.Add(seconds(qu.avgService)).After(it.SoftDeadline)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// uncharge takes back the part of the share that an item took which leaves the queue without a
// slot: the items behind it move up, also those in others, which are in no list of the flow.
func (fl *flow) uncharge(gone queuedItem, others []queuedItem) {
	if !gone.item.ChargedIfServed {
		return
	}
	cost := 1 / float64(max(gone.item.Weight, minWeight))
	fl.finish -= cost
	for _, list := range [][]queuedItem{fl.timely, fl.late, others} {
		for pos := range list {
			if list[pos].start > gone.start {
				list[pos].start -= cost
			}
		}
	}
}

// remove removes the waiting items for which isGone returns true, and returns them.
func (qu *Queue) remove(fl *flow, isGone func(Item) bool) []queuedItem {
	var gone []queuedItem
	for _, list := range []*[]queuedItem{&fl.timely, &fl.late} {
		*list = slices.DeleteFunc(*list, func(qi queuedItem) bool {
			if !isGone(qi.item) {
				return false
			}
			gone = append(gone, qi)
			return true
		})
	}
	qu.total -= len(gone)
	for pos := len(gone) - 1; pos >= 0; pos-- {
		fl.uncharge(gone[pos], nil)
	}
	return gone
}

// length returns the number of waiting items of the flow.
func (fl *flow) length() int { return len(fl.timely) + len(fl.late) }

// Release frees the slot that a caller has held since the given time, and returns
// decisions for the waiting items that are now granted or refused.
func (qu *Queue) Release(now time.Time, caller string, since time.Time) []Decision {
	qu.running--
	held := now.Sub(since).Seconds()
	qu.avgService += serviceSmoothing * (held - qu.avgService)
	if fl := qu.flows[caller]; fl != nil {
		fl.running--
		if fl.avgService == 0 {
			fl.avgService = held
		}
		fl.avgService += serviceSmoothing * (held - fl.avgService)
		qu.removeIdleFlow(caller, fl)
	}
	return qu.fillSlots(now, nil)
}

// Cancel removes a waiting item; it reports false if the item is not queued.
func (qu *Queue) Cancel(caller string, id uint64) bool {
	fl := qu.flows[caller]
	if fl == nil {
		return false
	}
	if len(qu.remove(fl, func(it Item) bool { return it.ID == id })) == 0 {
		return false
	}
	qu.removeIdleFlow(caller, fl)
	return true
}

// Expire refuses all items whose deadline has passed and fills free slots. It
// returns the decisions.
func (qu *Queue) Expire(now time.Time) []Decision {
	var out []Decision
	for caller, fl := range qu.flows {
		for _, qi := range qu.remove(fl, func(it Item) bool { return !now.Before(it.Deadline) }) {
			out = append(out, expired(qi.item))
		}
		qu.removeIdleFlow(caller, fl)
	}
	return qu.fillSlots(now, out)
}

// demoteLate moves items that can no longer be served by their soft deadline from
// the heads of the timely queues to the late queues. Items whose expected wait there
// would end after their deadline are refused. It returns out with the refusals
// appended.
func (qu *Queue) demoteLate(now time.Time, out []Decision) []Decision {
	for caller, fl := range qu.flows {
		moved := 0
		for moved < len(fl.timely) && !qu.isTimely(now, fl.timely[moved].item) {
			moved++
		}
		if moved == 0 {
			continue
		}
		late := slices.Clone(fl.timely[:moved])
		fl.timely = fl.timely[moved:]
		for pos, qi := range late {
			wait := qu.expectedWait(qi.item, fl, true)
			if now.Add(wait).After(qi.item.Deadline) {
				qu.total--
				fl.uncharge(qi, late[pos+1:])
				out = append(out, Decision{ID: qi.item.ID, Refusal: waitTooLong(wait, now.Add(wait))})
				continue
			}
			fl.late = append(fl.late, qi)
		}
		qu.removeIdleFlow(caller, fl)
	}
	return out
}

// refusalFor returns why the item must be refused, or nil if it may be queued.
func (qu *Queue) refusalFor(now time.Time, it Item, fl *flow) *codes.Refusal {
	if !now.Before(it.Deadline) {
		return codes.Refuse(codes.DeadlineUnmet, "deadline has passed")
	}
	wait := time.Duration(0)
	if !qu.fits(it, fl) {
		wait = qu.expectedWait(it, fl, false)
		if !qu.isTimely(now.Add(wait), it) {
			wait = qu.expectedWait(it, fl, true)
		}
	}
	retryAt := now.Add(wait)
	if fl.length() >= it.Limit {
		return codes.Refuse(codes.QueueFull, "%d requests of caller %q wait", fl.length(), it.Caller).WithRetryAt(retryAt)
	}
	if it.WaitingPerFree > 0 && fl.length() > 0 && fl.length() >= it.WaitingPerFree*(qu.limits.Total-qu.total) {
		return codes.Refuse(codes.QueueFull, "%d requests of %q wait, %d in all", fl.length(), it.Caller, qu.total).WithRetryAt(retryAt)
	}
	if qu.total >= qu.limits.Total {
		return codes.Refuse(codes.QueueFull, "%d requests wait", qu.total).WithRetryAt(retryAt)
	}
	if retryAt.After(it.Deadline) {
		return waitTooLong(wait, retryAt)
	}
	return nil
}

func waitTooLong(wait time.Duration, retryAt time.Time) *codes.Refusal {
	return codes.Refuse(codes.DeadlineUnmet, "expected wait is %v", wait).WithRetryAt(retryAt)
}

// expectedWait estimates the wait of an item from the number of queued items that
// will be served before it under the weights and, under overload, the priorities. A late
// item waits for all of them, a timely item for the timely ones only. The item itself is
// counted too: if no item is queued ahead of it, the estimate is the mean time until one of
// the busy slots becomes free.
func (qu *Queue) expectedWait(it Item, fl *flow, isLate bool) time.Duration {
	isOverloaded := qu.isOverloaded()
	queued := float64(fl.countAhead(isLate) + 1)
	if isOverloaded {
		queued = float64(fl.countAheadOf(it, isLate) + 1)
	}
	if qu.waitsForItsOwn(it, fl) {
		return seconds(queued * fl.holdTime(qu.avgService) / float64(fl.running))
	}
	ownWeight := float64(max(it.Weight, minWeight))
	ahead := 0.0
	for _, other := range qu.flows {
		count := float64(other.countAhead(isLate))
		if other == fl || count == 0 {
			continue
		}
		first := other.head().item
		part := queued * float64(max(first.Weight, minWeight)) / ownWeight
		switch {
		case isOverloaded && first.Priority < it.Priority:
			part = count
		case isOverloaded && first.Priority > it.Priority:
			part = queued / fairTurn
		}
		ahead += min(count, part)
	}
	return seconds((ahead + queued) * qu.avgService / float64(max(qu.limits.Slots, 1)))
}

// waitsForItsOwn reports whether only slots of the flow itself let the item in: its bound by
// HeldPerFree would still be exceeded if another caller released one.
func (qu *Queue) waitsForItsOwn(it Item, fl *flow) bool {
	return it.HeldPerFree > 0 && fl.running > 0 && fl.running >= it.HeldPerFree*(max(qu.free(it), 0)+1)
}

// holdTime returns how long the flow's items hold their slots in seconds, or the given time
// if that is not known.
func (fl *flow) holdTime(unknown float64) float64 {
	if fl.avgService == 0 {
		return unknown
	}
	return fl.avgService
}

// countAhead returns the number of waiting items of the flow that a new item queues
// behind.
func (fl *flow) countAhead(isLate bool) int {
	if isLate {
		return fl.length()
	}
	return len(fl.timely)
}

// countAheadOf is countAhead for an item of the flow under overload, which goes before those of
// a higher priority number.
func (fl *flow) countAheadOf(it Item, isLate bool) int {
	count := len(fl.timely)
	list := fl.timely
	if isLate {
		list = fl.late
		count += len(fl.late)
	}
	for _, qi := range list {
		if qi.item.Priority > it.Priority {
			count--
		}
	}
	return count
}

// head returns the next item to be served; the flow must not be empty.
func (fl *flow) head() queuedItem {
	if len(fl.timely) > 0 {
		return fl.timely[0]
	}
	return fl.late[0]
}

// popHead removes and returns the next item to be served.
func (fl *flow) popHead() queuedItem {
	qi := fl.head()
	if len(fl.timely) > 0 {
		fl.timely = fl.timely[1:]
	} else {
		fl.late = fl.late[1:]
	}
	return qi
}

// fillSlots grants the free slots to waiting items and refuses items that are
// expired or would be. It returns out with the decisions appended.
func (qu *Queue) fillSlots(now time.Time, out []Decision) []Decision {
	out = qu.demoteLate(now, out)
	for qu.running < qu.limits.Slots {
		caller, fl := qu.next()
		if fl == nil {
			return out
		}
		isOverloaded := qu.isOverloaded()
		qi := fl.popHead()
		qu.total--
		if !now.Add(qu.minTimeLeft()).Before(qi.item.Deadline) {
			fl.uncharge(qi, nil)
			out = append(out, expired(qi.item))
			qu.removeIdleFlow(caller, fl)
			continue
		}
		if isOverloaded {
			qu.turns++
		}
		qu.grant(fl, qi.start)
		out = append(out, Decision{ID: qi.item.ID})
	}
	return out
}

// minTimeLeft returns the time before its deadline that a request must have left to
// be granted a slot. With less it would probably not finish in time, and only take
// the slot from another request.
func (qu *Queue) minTimeLeft() time.Duration {
	return seconds(qu.avgService * minServiceShare)
}

// next returns the flow to serve, or nil if no waiting item fits. Flows with timely
// items go first, then under overload those with the lowest priority number, then those that
// hold less than their share, then the head with the lowest start tag. Ties are broken by the caller's name, so that the order does not
// depend on map iteration.
func (qu *Queue) next() (string, *flow) {
	var bestName string
	var best *flow
	hasPriorities := qu.isOverloaded() && qu.turns%fairTurn != fairTurn-1
	totalWeight := -1.0
	isYielding := func(fl *flow) bool {
		if !fl.head().item.YieldsAboveShare {
			return false
		}
		if totalWeight < 0 {
			totalWeight = qu.totalWeight()
		}
		return fl.running >= qu.share(fl, totalWeight)
	}
	for name, fl := range qu.flows {
		if fl.length() == 0 || !qu.fits(fl.head().item, fl) {
			continue
		}
		if best == nil || fl.goesBefore(best, hasPriorities, isYielding, name, bestName) {
			bestName, best = name, fl
		}
	}
	return bestName, best
}

// totalWeight returns the sum of the weights of the flows that hold slots or wait.
func (qu *Queue) totalWeight() float64 {
	sum := 0.0
	for _, fl := range qu.flows {
		if fl.running > 0 || fl.length() > 0 {
			sum += fl.weight
		}
	}
	return sum
}

// share returns the flow's share of the slots, at least 1.
func (qu *Queue) share(fl *flow, totalWeight float64) int {
	return max(1, int(float64(qu.limits.Slots)*fl.weight/totalWeight))
}

// goesBefore reports whether the flow is served before the other; neither may be
// empty.
func (fl *flow) goesBefore(other *flow, hasPriorities bool, isYielding func(*flow) bool, name, otherName string) bool {
	if (len(fl.timely) > 0) != (len(other.timely) > 0) {
		return len(fl.timely) > 0
	}
	if priority, others := fl.head().item.Priority, other.head().item.Priority; hasPriorities && priority != others {
		return priority < others
	}
	if yields := isYielding(fl); yields != isYielding(other) {
		return !yields
	}
	start, otherStart := fl.head().start, other.head().start
	if start != otherStart {
		return start < otherStart
	}
	return name < otherName
}

func (qu *Queue) grant(fl *flow, start float64) {
	qu.running++
	fl.running++
	qu.virtualTime = max(qu.virtualTime, start)
}

func (qu *Queue) flowFor(caller string) *flow {
	fl := qu.flows[caller]
	if fl == nil {
		fl = &flow{finish: qu.virtualTime}
		qu.flows[caller] = fl
	}
	return fl
}

// removeIdleFlow removes a flow without waiting or running items once the virtual
// time has reached its finish tag, which then no longer affects later items.
func (qu *Queue) removeIdleFlow(caller string, fl *flow) {
	if fl.length() == 0 && fl.running == 0 && fl.finish <= qu.virtualTime {
		delete(qu.flows, caller)
	}
}

func expired(it Item) Decision {
	return Decision{ID: it.ID, Refusal: codes.Refuse(codes.DeadlineUnmet, "deadline passed in the queue")}
}
