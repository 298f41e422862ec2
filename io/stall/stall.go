// Package stall cancels operations that make no progress. A fixed timeout does not suit
// a transfer: when many share a link, none of them ends in time, and if all begin again
// none ever ends.
package stall

import (
	"context"
	"io"
	"sync"
	"time"
)

// contextKey is the key of a context's watchdog.
type contextKey struct{}

// watchdog cancels a context unless it is reset in time. It is safe for concurrent use.
type watchdog struct {
	idle       time.Duration
	cancel     context.CancelCauseFunc
	onProgress func()
	// outer is that of the context from which the watchdog's was made; nil if none.
	outer *watchdog

	mu    sync.Mutex
	timer *time.Timer
}

// WithTimeout returns a context that is canceled, with context.DeadlineExceeded as its
// cause, once Progress was not called for idle, and in any case after total. Progress
// also calls onProgress, which may be nil.
func WithTimeout(ctx context.Context, idle, total time.Duration, onProgress func()) (context.Context, context.CancelFunc) {
	outer, _ := ctx.Value(contextKey{}).(*watchdog)
	ctx, cancelTotal := context.WithTimeout(ctx, total)
	ctx, cancel := context.WithCancelCause(ctx)
	wd := &watchdog{idle: idle, cancel: cancel, onProgress: onProgress, outer: outer}
	wd.timer = time.AfterFunc(idle, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, contextKey{}, wd), func() {
		wd.timer.Stop()
		cancel(nil)
		cancelTotal()
	}
}

// Progress restarts the time after which a context of WithTimeout, and those that it was
// made from, are canceled. It has no effect on other contexts.
func Progress(ctx context.Context) {
	wd, _ := ctx.Value(contextKey{}).(*watchdog)
	for ; wd != nil; wd = wd.outer {
		wd.restart()
	}
}

func (wd *watchdog) restart() {
	if wd.onProgress != nil {
		wd.onProgress()
	}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.timer.Stop() {
		wd.timer.Reset(wd.idle)
	}
}

// Reader reports data that is read as progress.
type Reader struct {
	ctx  context.Context
	from io.Reader
}

// NewReader returns a reader of from that calls Progress whenever data was read.
func NewReader(ctx context.Context, from io.Reader) *Reader {
	return &Reader{ctx: ctx, from: from}
}

// Read implements io.Reader.
func (re *Reader) Read(buf []byte) (int, error) {
	count, err := re.from.Read(buf)
	if count > 0 {
		Progress(re.ctx)
	}
	return count, err
}
