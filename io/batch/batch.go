// Package batch coalesces concurrent calls of a function.
package batch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
)

// Coalescer coalesces concurrent calls. One call of the function runs at a time; all
// who ask while it runs share the result of the next one, so that no result is
// older than the request for it. It is safe for concurrent use.
type Coalescer[T any] struct {
	ask func(ctx context.Context) (T, error)
	// timeout bounds one call of ask.
	timeout time.Duration
	// timeoutCode is the code of the refusal if a call times out.
	timeoutCode codes.Code

	mu      sync.Mutex
	running *call[T]
	next    *call[T]
}

type call[T any] struct {
	// done is closed once the fields below are set, at the end of the call.
	done      chan struct{}
	val       T
	err       error
	startedAt time.Time
}

// New returns an asker that calls ask with a context of the timeout given.
// timeoutCode is the code of the refusal if a call times out.
func New[T any](timeout time.Duration, timeoutCode codes.Code, ask func(ctx context.Context) (T, error)) *Coalescer[T] {
	return &Coalescer[T]{ask: ask, timeout: timeout, timeoutCode: timeoutCode}
}

// Do returns the result of a call that began after Do was called, and when that
// call began. If the call times out or ctx ends first, the error is a
// *codes.Refusal with the code given to New.
func (as *Coalescer[T]) Do(ctx context.Context) (T, time.Time, error) {
	ca := as.join()
	select {
	case <-ca.done:
		return ca.val, ca.startedAt, as.timeoutRefusal(ca.err)
	case <-ctx.Done():
		var zero T
		return zero, time.Time{}, as.timeoutRefusal(ctx.Err())
	}
}

// timeoutRefusal turns the end of a context into a refusal; other errors stay.
func (as *Coalescer[T]) timeoutRefusal(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return codes.Refuse(as.timeoutCode, "no answer in time")
	}
	return err
}

func (as *Coalescer[T]) join() *call[T] {
	as.mu.Lock()
	defer as.mu.Unlock()
	if as.running == nil {
		as.running = newCall[T]()
		go as.run(as.running)
		return as.running
	}
	if as.next == nil {
		as.next = newCall[T]()
	}
	return as.next
}

func newCall[T any]() *call[T] { return &call[T]{done: make(chan struct{})} }

func (as *Coalescer[T]) run(ca *call[T]) {
	for ca != nil {
		ca.startedAt = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), as.timeout)
		ca.val, ca.err = as.ask(ctx)
		cancel()
		close(ca.done)
		ca = as.advance()
	}
}

func (as *Coalescer[T]) advance() *call[T] {
	as.mu.Lock()
	defer as.mu.Unlock()
	as.running = as.next
	as.next = nil
	return as.running
}
