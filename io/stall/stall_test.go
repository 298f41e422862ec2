package stall

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestContextEndsWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := WithTimeout(t.Context(), time.Second, time.Minute, nil)
		defer cancel()
		<-ctx.Done()
		require.Equal(t, time.Second, time.Since(began))
		require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	})
}

func TestProgressKeepsTheContextUntilTheTotalTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := WithTimeout(t.Context(), time.Second, 10*time.Second, nil)
		defer cancel()
		child, cancelChild := context.WithCancel(ctx)
		defer cancelChild()
		for child.Err() == nil {
			Progress(child)
			time.Sleep(900 * time.Millisecond)
		}
		require.InDelta(t, 10, time.Since(began).Seconds(), 1)
		require.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
	})
}

func TestProgressAfterTheEndHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithTimeout(t.Context(), time.Second, time.Minute, nil)
		defer cancel()
		time.Sleep(time.Second)
		synctest.Wait()
		Progress(ctx)
		require.ErrorIs(t, ctx.Err(), context.Canceled)
		Progress(t.Context())
	})
}

func TestReaderReportsData(t *testing.T) {
	count := 0
	ctx, cancel := WithTimeout(t.Context(), time.Minute, time.Minute, func() { count++ })
	defer cancel()
	re := NewReader(ctx, strings.NewReader("abc"))
	buf := make([]byte, 2)
	for {
		if _, err := re.Read(buf); err != nil {
			break
		}
	}
	require.Equal(t, 2, count)
}

func TestProgressReachesTheOuterContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, cancelOuter := WithTimeout(t.Context(), time.Second, time.Minute, nil)
		defer cancelOuter()
		inner, cancelInner := WithTimeout(outer, 5*time.Second, time.Minute, nil)
		defer cancelInner()
		for range 3 {
			time.Sleep(900 * time.Millisecond)
			Progress(inner)
		}
		require.NoError(t, outer.Err())
		time.Sleep(2 * time.Second)
		require.ErrorIs(t, context.Cause(inner), context.DeadlineExceeded)
	})
}
