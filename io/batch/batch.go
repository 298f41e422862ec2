// Package batch coalesces concurrent calls of a function.
package batch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
)

// Coalescer coalesces concurrent calls of a function. One call runs at a time; all
// calls of Do that arrive meanwhile share the result of the next one, so that no
// result is older than the request for it. It is safe for concurrent use.
type Coalescer[T any] struct {
	fn func(ctx context.Context) (T, error)
	// timeout bounds one call of fn.
	timeout time.Duration
	// timeoutCode is the code of the refusal if a call times out.
	timeoutCode codes.Code

	mu sync.Mutex
	// running is the call in progress, and next the one that starts after it; nil
	// if there is none.
	running *call[T]
	next    *call[T]
}

// call is one call of the function, whose result its waiters share.
type call[T any] struct {
	// done is closed once the fields below are set, at the end of the call.
	done      chan struct{}
	val       T
	err       error
	startedAt time.Time
}

// New returns a coalescer that calls fn with a context of the timeout given.
// timeoutCode is the code of the refusal if a call times out.
func New[T any](timeout time.Duration, timeoutCode codes.Code, fn func(ctx context.Context) (T, error)) *Coalescer[T] {
	return &Coalescer[T]{fn: fn, timeout: timeout, timeoutCode: timeoutCode}
}

// Do returns the result of a call that began after Do was called, and when that
// call began. If the call times out or ctx ends first, the error is a
// *codes.Refusal with the code given to New.
func (co *Coalescer[T]) Do(ctx context.Context) (T, time.Time, error) {
	ca := co.join()
	select {
	case <-ca.done:
		return ca.val, ca.startedAt, co.timeoutRefusal(ca.err)
	case <-ctx.Done():
		var zero T
		return zero, time.Time{}, co.timeoutRefusal(ctx.Err())
	}
}

// timeoutRefusal turns the end of a context into a refusal; other errors stay.
func (co *Coalescer[T]) timeoutRefusal(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return codes.Refuse(co.timeoutCode, "no answer in time")
	}
	return err
}

// join returns the call whose result Do waits for: the next one if a call is
// running, or else a new one, which it starts.
func (co *Coalescer[T]) join() *call[T] {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.running == nil {
		co.running = newCall[T]()
		go co.run(co.running)
		return co.running
	}
	if co.next == nil {
		co.next = newCall[T]()
	}
	return co.next
}

func newCall[T any]() *call[T] { return &call[T]{done: make(chan struct{})} }

// run runs the call and then the next ones until there is none.
func (co *Coalescer[T]) run(ca *call[T]) {
	for ca != nil {
		ca.startedAt = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), co.timeout)
		ca.val, ca.err = co.fn(ctx)
		cancel()
		close(ca.done)
		ca = co.advance()
	}
}

// advance makes the next call the running one and returns it; nil if there is none.
func (co *Coalescer[T]) advance() *call[T] {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.running = co.next
	co.next = nil
	return co.running
}
