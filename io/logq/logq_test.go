package logq

import (
	"bytes"
	"errors"
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

// Values come from callers, databases and other instances. None may become a line of its
// own.
func TestValueCannotForgeALine(t *testing.T) {
	var forged []byte
	for char := range 256 {
		forged = append(forged, byte(char))
	}
	text := string(forged) + "\n{\"level\":\"INFO\",\"msg\":\"forged\"}\r\ntime=0 msg=forged\u2028\u2029\u0085"
	for _, newHandler := range []func(out io.Writer) slog.Handler{
		func(out io.Writer) slog.Handler { return slog.NewJSONHandler(out, nil) },
		func(out io.Writer) slog.Handler { return slog.NewTextHandler(out, nil) },
	} {
		var out bytes.Buffer
		wr := NewWriter(&out)
		lg := slog.New(NewHandler(newHandler(wr), time.Now))
		lg.Info("line", "value", text, "error", errors.New(text), "raw", []byte(text), text, text)
		lg.With(text, text).WithGroup(text).Info(text, text, text)
		wr.Close(time.Minute)
		require.Equal(t, 2, strings.Count(out.String(), "\n"))
		require.NotContains(t, out.String(), "\r")
		for _, line := range strings.Split(out.String(), "\n") {
			require.False(t, strings.HasPrefix(line, "{\"level\"") || strings.HasPrefix(line, "time=0"))
		}
	}
}
