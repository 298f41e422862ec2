// Package logq writes log lines without ever blocking the code that logs. Lines
// are queued in a bounded buffer, each event is limited to a number of lines a
// second, and a separate line counts what was left out.
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
	// maxLinesPerSecond limits the lines a second with one message;
	// maxWarningsPerSecond applies instead to warnings and errors.
	maxLinesPerSecond    = 20
	maxWarningsPerSecond = 100
	// summaryInterval is the length of a counting period, and so the minimum time
	// between two summaries of what was left out.
	summaryInterval = time.Second
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
	next   slog.Handler
	now    func() time.Time
	budget *budget
}

// budget counts the lines of the current period by message.
type budget struct {
	mu      sync.Mutex
	since   time.Time
	written map[string]int
	leftOut map[string]int
}

// NewHandler returns a handler that forwards lines to next within their limit.
func NewHandler(next slog.Handler, now func() time.Time) *Handler {
	return &Handler{next: next, now: now, budget: &budget{written: make(map[string]int), leftOut: make(map[string]int)}}
}

// Enabled implements slog.Handler.
func (ha *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return ha.next.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (ha *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: ha.next.WithAttrs(attrs), now: ha.now, budget: ha.budget}
}

// WithGroup implements slog.Handler.
func (ha *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: ha.next.WithGroup(name), now: ha.now, budget: ha.budget}
}

// Handle implements slog.Handler.
func (ha *Handler) Handle(ctx context.Context, rec slog.Record) error {
	limit := maxLinesPerSecond
	if rec.Level >= slog.LevelWarn {
		limit = maxWarningsPerSecond
	}
	allowed, summary := ha.budget.take(rec.Message, limit, ha.now())
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

// take counts a line and reports whether it may be written. At the start of a
// new period it returns the summary of the last one, empty if no lines were left
// out.
func (bu *budget) take(kind string, limit int, now time.Time) (allowed bool, summary string) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if now.Sub(bu.since) >= summaryInterval {
		summary = summarize(bu.leftOut)
		bu.since = now
		clear(bu.written)
		clear(bu.leftOut)
	}
	bu.written[kind]++
	if bu.written[kind] > limit {
		bu.leftOut[kind]++
		return false, summary
	}
	return true, summary
}

func summarize(counts map[string]int) string {
	kinds := make([]string, 0, len(counts))
	for kind := range counts {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	parts := make([]string, 0, len(kinds))
	for _, kind := range kinds {
		parts = append(parts, fmt.Sprintf("%s=%d", kind, counts[kind]))
	}
	return strings.Join(parts, " ")
}
