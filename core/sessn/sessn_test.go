package sessn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/posn"
)

func TestMinPositionNeverDecreases(t *testing.T) {
	arrived := time.Unix(1000, 0)
	at := func(offset uint64) posn.Position { return posn.Position{Offset: offset} }
	st := New(arrived)
	require.False(t, st.WithConfirmedPosition(at(9), arrived.Add(-time.Second)).MinPositionKnown, "a position requested before the session arrived")
	st = st.WithConfirmedPosition(at(9), arrived)
	require.True(t, st.MinPositionKnown)
	require.Equal(t, at(9), st.WithAcknowledged(at(3)).MinPosition)
	require.Equal(t, at(12), st.WithToken(at(12)).MinPosition)
	again := st.WithMinPositionUnknown(arrived.Add(time.Second))
	require.False(t, again.MinPositionKnown)
	require.Equal(t, at(9), again.MinPosition)
}
