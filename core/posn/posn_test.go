package posn

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawPosition() *rapid.Generator[Position] {
	return rapid.Custom(func(rt *rapid.T) Position {
		return Position{
			Term:   Term{Number: rapid.Uint64Range(0, 3).Draw(rt, "number"), Primary: rapid.SampledFrom([]string{"a", "b:c"}).Draw(rt, "primary")},
			Offset: rapid.Uint64Range(0, 5).Draw(rt, "offset"),
		}
	})
}

func TestOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		left, mid, right := drawPosition().Draw(rt, "left"), drawPosition().Draw(rt, "mid"), drawPosition().Draw(rt, "right")
		require.Equal(rt, -left.Compare(right), right.Compare(left))
		if left.Compare(mid) <= 0 && mid.Compare(right) <= 0 {
			require.LessOrEqual(rt, left.Compare(right), 0)
		}
	})
}

func TestHigherTermCoversOnlyInService(t *testing.T) {
	minimum := Position{Term: Term{Number: 1, Primary: "a"}, Offset: 9}
	promoted := Position{Term: Term{Number: 2, Primary: "b"}, Offset: 3}
	require.False(t, promoted.Covers(minimum, false))
	require.True(t, promoted.Covers(minimum, true))
	require.False(t, minimum.Covers(promoted, true))
	require.Equal(t, uint64(4), Position{Term: minimum.Term, Offset: 5}.Behind(minimum, false))
}

func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := drawPosition().Draw(rt, "position")
		got, err := Parse(want.String())
		require.NoError(rt, err)
		require.Equal(rt, want, got)
	})
	for _, bad := range []string{"", "1", "1:2", "x:2:a", "1:-2:a"} {
		_, err := Parse(bad)
		require.ErrorIs(t, err, ErrBadToken, bad)
	}
}
