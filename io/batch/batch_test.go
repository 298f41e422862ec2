package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/codes"
)

func TestConcurrentCallsShareOneLaterCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		co := New(time.Minute, codes.NoMajority, func(context.Context) (int, error) {
			calls++
			time.Sleep(time.Second)
			return calls, nil
		})
		answers := make(chan int, 20)
		for range 10 {
			go func() {
				askedAt := time.Now()
				got, startedAt, err := co.Do(t.Context())
				require.NoError(t, err)
				require.False(t, startedAt.Before(askedAt), "the call began before Do was called")
				answers <- got
			}()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		require.Len(t, answers, 10)
		require.Equal(t, 2, calls)
	})
}

func TestTimeoutIsRefusedWithTheGivenCode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		co := New(time.Second, codes.NoMajority, func(ctx context.Context) (int, error) {
			<-ctx.Done()
			return 0, ctx.Err()
		})
		_, _, err := co.Do(t.Context())
		require.True(t, codes.Is(err, codes.NoMajority))
	})
}
