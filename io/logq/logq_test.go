package logq

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter is a log output that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (bl blockedWriter) Write(line []byte) (int, error) {
	<-bl.release
	return len(line), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	bl := blockedWriter{release: make(chan struct{})}
	wr := NewWriter(bl)
	lg := slog.New(slog.NewJSONHandler(wr, nil))
	for range 20000 {
		lg.Info("line", "text", strings.Repeat("x", 100))
	}
	require.Positive(t, wr.Dropped())
	close(bl.release)
	wr.Close(time.Minute)
}

func TestConcurrentLinesArriveWhole(t *testing.T) {
	var out bytes.Buffer
	wr := NewWriter(&out)
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 100 {
				_, _ = io.WriteString(wr, "a line\n")
			}
		}()
	}
	wg.Wait()
	wr.Close(time.Minute)
	require.Equal(t, strings.Repeat("a line\n", 400), out.String())
}

func TestHandlerLimitsLinesPerMessageAndCountsSuppressed(t *testing.T) {
	var out bytes.Buffer
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	lg := slog.New(NewHandler(slog.NewTextHandler(&out, nil), func() time.Time { return now }))
	for range 1000 {
		lg.Info("common")
		lg.Warn("refused")
	}
	lg.Info("rare")
	require.Equal(t, maxLinesPerPeriod, strings.Count(out.String(), "msg=common"))
	require.Equal(t, maxWarningsPerPeriod, strings.Count(out.String(), "msg=refused"))
	require.Equal(t, 1, strings.Count(out.String(), "msg=rare"))
	now = now.Add(time.Second)
	lg.Info("common")
	require.Contains(t, out.String(), `counts="common=980 refused=900"`)
}
