// Package gate lets goroutines wait for slots that an admission queue grants.
package gate

import (
	"context"
	"sync"
	"time"

	"banyanspring/core/admit"
	"banyanspring/core/codes"
)

// Gate lets goroutines wait for slots that an admission queue grants. It adds the
// clock, the lock and the blocking that admit.Queue leaves out. It is safe for
// concurrent use.
type Gate struct {
	now func() time.Time

	mu     sync.Mutex
	queue  *admit.Queue
	nextID uint64
	// waiting holds, by the ID of each waiting item, the channel that delivers its
	// decision. The channel has a buffer of one, so that sending never blocks.
	waiting map[uint64]chan admit.Decision
}

// New returns a gate with the given number of slots, at which at most total items
// may wait.
func New(slots, total int, now func() time.Time) *Gate {
	return &Gate{
		now:     now,
		queue:   admit.New(admit.Limits{Slots: slots, Total: total}),
		waiting: make(map[uint64]chan admit.Decision),
	}
}

// Acquire waits for a slot until the item's deadline or the end of the context.
// The error is a *codes.Refusal. The function returned releases the slot.
func (ga *Gate) Acquire(ctx context.Context, it admit.Item) (func(), error) {
	ga.mu.Lock()
	ga.nextID++
	it.ID = ga.nextID
	dec := ga.queue.Offer(ga.now(), it)
	var ready chan admit.Decision
	if dec == nil {
		ready = make(chan admit.Decision, 1)
		ga.waiting[it.ID] = ready
	}
	ga.mu.Unlock()
	if dec == nil {
		got, err := ga.wait(ctx, it, ready)
		if err != nil {
			return nil, err
		}
		dec = &got
	}
	if dec.Refusal != nil {
		return nil, dec.Refusal
	}
	since := ga.now()
	return func() { ga.release(it.Caller, since) }, nil
}

// wait waits for the decision on an item that is in the queue.
func (ga *Gate) wait(ctx context.Context, it admit.Item, ready chan admit.Decision) (admit.Decision, error) {
	timer := time.NewTimer(it.Deadline.Sub(ga.now()))
	defer timer.Stop()
	select {
	case dec := <-ready:
		return dec, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	delete(ga.waiting, it.ID)
	if ga.queue.Cancel(it.Caller, it.ID) {
		return admit.Decision{}, codes.Refuse(codes.DeadlineUnmet, "gave up in the queue")
	}
	// The item is no longer in the queue: its decision is in the channel already.
	return <-ready, nil
}

// release frees the slot that the caller has held since the given time, and
// delivers the decisions that follow.
func (ga *Gate) release(caller string, since time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for _, dec := range ga.queue.Release(ga.now(), caller, since) {
		ga.waiting[dec.ID] <- dec
		delete(ga.waiting, dec.ID)
	}
}

// Load returns the number of slots in use and the number of waiting items.
func (ga *Gate) Load() (running, waiting int) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.queue.Running(), ga.queue.Waiting()
}

// IsExhausted reports whether an item waits for which no slot is free.
func (ga *Gate) IsExhausted() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.queue.IsExhausted()
}

// SetSlots changes the number of slots, grants free ones to waiting items, and
// refuses the items whose deadline has passed. Slots in use are not revoked.
func (ga *Gate) SetSlots(slots int) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.queue.SetSlots(slots)
	for _, dec := range ga.queue.Expire(ga.now()) {
		ga.waiting[dec.ID] <- dec
		delete(ga.waiting, dec.ID)
	}
}
