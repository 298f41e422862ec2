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
	require.False(t, st.WithArrivalFloor(at(9), arrived.Add(-time.Second)).Settled, "a position requested before the session arrived")
	st = st.WithArrivalFloor(at(9), arrived)
	require.True(t, st.Settled)
	require.Equal(t, at(9), st.WithAcknowledged(at(3)).Floor)
	require.Equal(t, at(12), st.WithToken(at(12)).Floor)
	again := st.WithoutSettlement(arrived.Add(time.Second))
	require.False(t, again.Settled)
	require.Equal(t, at(9), again.Floor)
}
