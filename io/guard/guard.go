// Package guard bounds the memory and the sockets that callers of a process take.
package guard

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/budget"
	"banyanspring/core/codes"
	"banyanspring/core/event"
)

// Settings configures a guard.
type Settings struct {
	// Bytes is the budget of bytes; 0 if there is none.
	Bytes int64
	// Sockets are the bounds of sockets; zero values if there are none.
	Sockets budget.Descriptors
	// Stall is how long a caller that is in the middle of a message or of an answer may
	// take for progressBytes.
	Stall time.Duration
}

// DefaultStall is the default of Settings.Stall.
const DefaultStall = 4 * time.Second

const (
	// logInterval is the time between two log events about the same resource.
	logInterval = 5 * time.Second
	// retryInterval bounds the time between two attempts of a waiting reservation, so
	// that callers that have stalled meanwhile are evicted.
	retryInterval = 50 * time.Millisecond
	// loggedHolders is how many holders an event names.
	loggedHolders = 3
)

// Guard is the budget of a process. It is safe for concurrent use. A nil guard has no
// bounds.
type Guard struct {
	settings Settings
	now      func() time.Time
	log      *slog.Logger
	// Refused counts the reservations and sockets that were refused, and Evicted the
	// accounts that were.
	Refused, Evicted atomic.Int64

	mu     sync.Mutex
	ledger *budget.Ledger
	// changed is closed and replaced after a release if waiting is above 0.
	changed chan struct{}
	waiting int
	// evictions holds the functions that end the sessions of accounts.
	evictions map[*budget.Account]func()
	// loggedAt holds when an event was last logged, by resource, and unlogged how many
	// refusals there were since.
	loggedAt map[string]time.Time
	unlogged map[string]int
}

// New returns a guard.
func New(se Settings, now func() time.Time, lg *slog.Logger) *Guard {
	gu := &Guard{
		settings: se, now: now, log: lg, changed: make(chan struct{}), evictions: make(map[*budget.Account]func()),
		loggedAt: make(map[string]time.Time), unlogged: make(map[string]int),
	}
	if se.Bytes > 0 {
		gu.ledger = budget.New(se.Bytes)
	}
	return gu
}

// Stall returns Settings.Stall.
func (gu *Guard) Stall() time.Duration {
	if gu == nil || gu.settings.Stall <= 0 {
		return DefaultStall
	}
	return gu.settings.Stall
}

// Sockets returns the bounds of sockets; zero values stand for no bound.
func (gu *Guard) Sockets() budget.Descriptors {
	if gu == nil {
		return budget.Descriptors{}
	}
	return gu.settings.Sockets
}

// Account is what one session or link holds. It is used by one goroutine at a time. A
// nil account has no bounds.
type Account struct {
	gu *Guard
	// budget's fields are changed with gu.mu held.
	budget budget.Account
}

// Open returns an account of the holder that holds nothing. evict ends the session; it is
// called at most once, by another goroutine. Open returns nil if there is no budget.
func (gu *Guard) Open(holder string, evict func()) *Account {
	if gu == nil || gu.ledger == nil {
		return nil
	}
	ac := &Account{gu: gu, budget: budget.Account{Holder: holder}}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.evictions[&ac.budget] = evict
	return ac
}

// Close releases all that the account holds.
func (ac *Account) Close() {
	if ac == nil {
		return
	}
	ac.Release(0)
	ac.gu.mu.Lock()
	defer ac.gu.mu.Unlock()
	delete(ac.gu.evictions, &ac.budget)
}

// Reserve raises what the account holds to total. It waits until that fits, at most until
// the deadline, and refuses it then.
func (ac *Account) Reserve(total int64, until time.Time) error {
	if ac == nil || total <= ac.budget.Held {
		return nil
	}
	gu := ac.gu
	for {
		gu.mu.Lock()
		now := gu.now()
		if gu.ledger.Reserve(&ac.budget, total) {
			gu.mu.Unlock()
			return nil
		}
		since := ac.budget.WaitsSince
		// An account that waits for the budget does not wait for its caller.
		ac.budget.WaitsSince = time.Time{}
		evict := gu.evictions[gu.ledger.Victim(now)]
		changed := gu.changed
		gu.waiting++
		gu.mu.Unlock()
		if evict != nil {
			gu.Evicted.Add(1)
			evict()
		}
		timer := time.NewTimer(min(max(until.Sub(now), 0), retryInterval))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		gu.mu.Lock()
		gu.waiting--
		if !since.IsZero() {
			ac.budget.WaitsSince = gu.now()
		}
		gu.mu.Unlock()
		if !gu.now().Before(until) {
			gu.recordRefusal("bytes")
			return codes.Refuse(codes.MemoryFull, "%d bytes for %s do not fit", total, ac.budget.Holder)
		}
	}
}

// Release lowers what the account holds to total.
func (ac *Account) Release(total int64) {
	if ac == nil || ac.budget.Held <= total {
		return
	}
	gu := ac.gu
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.ledger.Release(&ac.budget, total)
	if gu.waiting > 0 {
		close(gu.changed)
		gu.changed = make(chan struct{})
	}
}

// SetWaiting records that the account begins or ceases to wait for its caller, or that
// the caller made progress.
func (ac *Account) SetWaiting(isWaiting bool) {
	if ac == nil || ac.budget.Held == 0 {
		return
	}
	ac.gu.mu.Lock()
	defer ac.gu.mu.Unlock()
	ac.budget.WaitsSince = time.Time{}
	if isWaiting {
		ac.budget.WaitsSince = ac.gu.now()
	}
}

// Held returns what the account holds.
func (ac *Account) Held() int64 {
	if ac == nil {
		return 0
	}
	return ac.budget.Held
}

// recordRefusal counts a refusal for want of the resource and logs it, at most once in
// logInterval.
func (gu *Guard) recordRefusal(resource string, args ...any) {
	gu.Refused.Add(1)
	gu.mu.Lock()
	now := gu.now()
	gu.unlogged[resource]++
	count := gu.unlogged[resource]
	if at := gu.loggedAt[resource]; !at.IsZero() && now.Sub(at) < logInterval {
		gu.mu.Unlock()
		return
	}
	gu.loggedAt[resource], gu.unlogged[resource] = now, 0
	args = append([]any{"resource", resource, "refused", count, "evicted", gu.Evicted.Load()}, args...)
	if gu.ledger != nil {
		args = append(args, "bytes_used", gu.ledger.Used(), "bytes_limit", gu.ledger.Limit(), "holders", gu.ledger.Largest(loggedHolders))
	}
	gu.mu.Unlock()
	event.Log(gu.log, event.BudgetReached, args...)
}

// Usage returns the bytes in use and the largest amount of one holder.
func (gu *Guard) Usage() (used, largest int64) {
	if gu == nil || gu.ledger == nil {
		return 0, 0
	}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if top := gu.ledger.Largest(1); len(top) > 0 {
		largest = top[0].Held
	}
	return gu.ledger.Used(), largest
}
