// Package logq writes log lines without ever blocking the work that logs: lines
// wait in a bounded queue, each event has a budget of lines a second, and what
// is left out is counted in a line of its own.
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
	// queued bounds the bytes that wait for a slow reader.
	queued = 256 << 10
	// linesEach is how many lines a second one kind of line may write; lines of
	// warnings and errors have warningsEach.
	linesEach    = 20
	warningsEach = 100
	// summaryEvery is the time between two summaries of what was left out.
	summaryEvery = time.Second
)

// Writer is an io.Writer that queues whole lines. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	cond    *sync.Cond
	pending []byte
	// dropped counts lines that found the queue full.
	dropped int
	closed  bool
	done    chan struct{}
}

// NewWriter returns a writer whose lines go to out. It must be closed.
func NewWriter(out io.Writer) *Writer {
	wr := &Writer{out: out, done: make(chan struct{})}
	wr.cond = sync.NewCond(&wr.mu)
	go wr.run()
	return wr
}

// Write queues a line; it drops the line if the queue is full.
func (wr *Writer) Write(line []byte) (int, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.closed || len(wr.pending)+len(line) > queued {
		wr.dropped++
		return len(line), nil
	}
	wr.pending = append(wr.pending, line...)
	wr.cond.Signal()
	return len(line), nil
}

// Dropped returns how many lines found the queue full.
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

// Close writes what is queued, for as long as given.
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

// Handler bounds the lines of each kind. It is safe for concurrent use.
type Handler struct {
	next   slog.Handler
	now    func() time.Time
	budget *budget
}

// budget counts the lines of the second that runs.
type budget struct {
	mu      sync.Mutex
	since   time.Time
	written map[string]int
	leftOut map[string]int
}

// NewHandler returns a handler that passes lines on to next within their budget.
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
	limit := linesEach
	if rec.Level >= slog.LevelWarn {
		limit = warningsEach
	}
	allowed, summary := ha.budget.take(rec.Message, limit, ha.now())
	if summary != "" {
		note := slog.NewRecord(rec.Time, slog.LevelWarn, "lines_left_out", 0)
		note.AddAttrs(slog.String("counts", summary))
		if err := ha.next.Handle(ctx, note); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return ha.next.Handle(ctx, rec)
}

// take reports whether a line may be written, and returns the summary of the
// second before if lines were left out in it.
func (bu *budget) take(kind string, limit int, now time.Time) (allowed bool, summary string) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if now.Sub(bu.since) >= summaryEvery {
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
