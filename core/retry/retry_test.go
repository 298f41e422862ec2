package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRetriesAreAFixedShareOfRequests(t *testing.T) {
	bu := New(0.2, 10)
	allowed := 0
	for range 1000 {
		bu.RecordRequest()
		if bu.Take() {
			allowed++
		}
	}
	require.InDelta(t, 210, allowed, 2)
}
