// Package batch lets many askers share one question in flight.
package batch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
)

// Asker shares each question between all who came before it was sent. One
// question is in flight at a time; those who come later share the next one.
type Asker[T any] struct {
	ask func(ctx context.Context) (T, error)
	// timeout bounds one question.
	timeout time.Duration
	// late is the code of a question that was not answered in time.
	late codes.Code

	mu      sync.Mutex
	running *round[T]
	next    *round[T]
}

type round[T any] struct {
	// done is closed once the fields below are set.
	done  chan struct{}
	val   T
	err   error
	asked time.Time
}

// New returns an asker for the question; late is the code of the refusal if no
// answer comes in time.
func New[T any](timeout time.Duration, late codes.Code, ask func(ctx context.Context) (T, error)) *Asker[T] {
	return &Asker[T]{ask: ask, timeout: timeout, late: late}
}

// Ask returns an answer to a question that was sent after Ask was called, and
// when it was sent.
func (as *Asker[T]) Ask(ctx context.Context) (T, time.Time, error) {
	ro := as.join()
	select {
	case <-ro.done:
		return ro.val, ro.asked, as.named(ro.err)
	case <-ctx.Done():
		var zero T
		return zero, time.Time{}, as.named(ctx.Err())
	}
}

// named turns the end of a context into a refusal.
func (as *Asker[T]) named(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return codes.Refuse(as.late, "no answer in time")
	}
	return err
}

func (as *Asker[T]) join() *round[T] {
	as.mu.Lock()
	defer as.mu.Unlock()
	if as.running == nil {
		as.running = newRound[T]()
		go as.run(as.running)
		return as.running
	}
	if as.next == nil {
		as.next = newRound[T]()
	}
	return as.next
}

func newRound[T any]() *round[T] { return &round[T]{done: make(chan struct{})} }

func (as *Asker[T]) run(ro *round[T]) {
	for ro != nil {
		ro.asked = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), as.timeout)
		ro.val, ro.err = as.ask(ctx)
		cancel()
		close(ro.done)
		ro = as.advance()
	}
}

func (as *Asker[T]) advance() *round[T] {
	as.mu.Lock()
	defer as.mu.Unlock()
	as.running = as.next
	as.next = nil
	return as.running
}
