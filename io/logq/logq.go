// Package logq writes log lines without ever blocking the code that logs. Lines
// are queued in a bounded buffer and dropped if it is full; Writer.Dropped counts
// them. Each message is limited to a number of lines a second; the lines above the
// limit are suppressed, and a line "lines_left_out" counts them by message.
package logq

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// maxQueuedBytes limits the bytes that are queued for a slow output.
	maxQueuedBytes = 256 << 10
	// maxLinesPerPeriod limits the lines with one message in a countingPeriod;
	// maxWarningsPerPeriod applies instead to warnings and errors.
	maxLinesPerPeriod    = 20
	maxWarningsPerPeriod = 100
	// countingPeriod is the time over which lines are counted. The suppressed ones
	// of a period are reported before the first line after it, so not before
	// another line is logged.
	countingPeriod = time.Second
)

// Writer is an io.Writer that queues whole lines. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	cond    *sync.Cond
	pending []byte
	// dropped counts the lines that were dropped because the queue was full or
	// the writer closed.
	dropped int
	closed  bool
	done    chan struct{}
}

// NewWriter returns a writer that writes its lines to out from a goroutine of
// its own. It must be closed.
func NewWriter(out io.Writer) *Writer {
	wr := &Writer{out: out, done: make(chan struct{})}
	wr.cond = sync.NewCond(&wr.mu)
	go wr.run()
	return wr
}

// Write queues a line, or drops it if the queue is full or the writer is closed.
// It never fails.
func (wr *Writer) Write(line []byte) (int, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.closed || len(wr.pending)+len(line) > maxQueuedBytes {
		wr.dropped++
		return len(line), nil
	}
	wr.pending = append(wr.pending, line...)
	wr.cond.Signal()
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (wr *Writer) Dropped() int {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.dropped
}

func (wr *Writer) run() {
	defer close(wr.done)
	var batch []byte
	for {
		wr.mu.Lock()
		for len(wr.pending) == 0 && !wr.closed {
			wr.cond.Wait()
		}
		batch, wr.pending = wr.pending, batch[:0]
		closed := wr.closed
		wr.mu.Unlock()
		if len(batch) > 0 {
			_, _ = wr.out.Write(batch)
		}
		if closed {
			return
		}
	}
}

// Close stops taking lines and waits until the queued ones are written, at most
// for the limit.
func (wr *Writer) Close(limit time.Duration) {
	wr.mu.Lock()
	wr.closed = true
	wr.cond.Signal()
	wr.mu.Unlock()
	select {
	case <-wr.done:
	case <-time.After(limit):
	}
}

// Handler limits the lines a second with the same message. It is safe for
// concurrent use.
type Handler struct {
	next    slog.Handler
	now     func() time.Time
	limiter *rateLimiter
}

// rateLimiter counts the lines of the current period by message.
type rateLimiter struct {
	mu         sync.Mutex
	since      time.Time
	written    map[string]int
	suppressed map[string]int
}

// NewHandler returns a handler that forwards lines to next within their limit.
func NewHandler(next slog.Handler, now func() time.Time) *Handler {
	return &Handler{next: next, now: now, limiter: &rateLimiter{written: make(map[string]int), suppressed: make(map[string]int)}}
}

// Enabled implements slog.Handler.
func (ha *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return ha.next.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (ha *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: ha.next.WithAttrs(attrs), now: ha.now, limiter: ha.limiter}
}

// WithGroup implements slog.Handler.
func (ha *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: ha.next.WithGroup(name), now: ha.now, limiter: ha.limiter}
}

// Handle implements slog.Handler.
func (ha *Handler) Handle(ctx context.Context, rec slog.Record) error {
	limit := maxLinesPerPeriod
	if rec.Level >= slog.LevelWarn {
		limit = maxWarningsPerPeriod
	}
	allowed, summary := ha.limiter.allow(rec.Message, limit, ha.now())
	if summary != "" {
		summaryRec := slog.NewRecord(rec.Time, slog.LevelWarn, "lines_left_out", 0)
		summaryRec.AddAttrs(slog.String("counts", summary))
		if err := ha.next.Handle(ctx, summaryRec); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return ha.next.Handle(ctx, rec)
}

// allow counts a line and reports whether it may be written. At the start of a
// new period it returns the summary of the last one, empty if no lines were
// suppressed.
func (li *rateLimiter) allow(message string, limit int, now time.Time) (allowed bool, summary string) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if now.Sub(li.since) >= countingPeriod {
		summary = summarize(li.suppressed)
		li.since = now
		clear(li.written)
		clear(li.suppressed)
	}
	li.written[message]++
	if li.written[message] > limit {
		li.suppressed[message]++
		return false, summary
	}
	return true, summary
}

func summarize(counts map[string]int) string {
	messages := make([]string, 0, len(counts))
	for message := range counts {
		messages = append(messages, message)
	}
	sort.Strings(messages)
	parts := make([]string, 0, len(messages))
	for _, message := range messages {
		parts = append(parts, fmt.Sprintf("%s=%d", message, counts[message]))
	}
	return strings.Join(parts, " ")
}
