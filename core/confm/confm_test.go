package confm

import (
	"testing"

	"github.com/stretchr/testify/require"

	"banyanspring/core/posn"
)

func at(number uint64, primary string, offset uint64) posn.Position {
	return posn.Position{Term: posn.Term{Number: number, Primary: primary}, Offset: offset}
}

func TestMajorityInTheSameTermConfirms(t *testing.T) {
	tr := New(3)
	tr.Report("p", at(1, "p", 5))
	require.Equal(t, Waiting, tr.Register(1, at(1, "p", 5)))
	require.Empty(t, tr.Report("r", at(1, "p", 4)))
	require.Equal(t, []Decision{{ID: 1, Outcome: Confirmed}}, tr.Report("r", at(1, "p", 5)))
}

func TestHigherTermSupersedesAndNeverConfirms(t *testing.T) {
	tr := New(3)
	tr.Report("p", at(1, "p", 5))
	require.Equal(t, Waiting, tr.Register(1, at(1, "p", 5)))
	require.Equal(t, []Decision{{ID: 1, Outcome: Superseded}}, tr.Report("r", at(2, "r", 9)))
	require.Equal(t, Superseded, tr.Register(2, at(1, "p", 6)))
}

// Two upstreams claim term number 2. A report from one of these terms must not
// confirm a write of the other.
func TestEqualNumbersOfDifferentPrimariesAreDifferentTerms(t *testing.T) {
	tr := New(3)
	tr.Report("p", at(2, "p", 5))
	require.Equal(t, Waiting, tr.Register(1, at(2, "p", 5)))
	tr.Report("q", at(2, "a", 7))
	require.Equal(t, Waiting, tr.Register(2, at(2, "p", 5)))
}

func TestReportedPositionNeverDecreases(t *testing.T) {
	tr := New(3)
	tr.Report("r", at(1, "p", 9))
	tr.Report("r", at(1, "p", 3))
	require.Equal(t, at(1, "p", 9), tr.Reported("r"))
	tr.Register(1, at(1, "p", 12))
	want, lacks := tr.LowestMissing("r")
	require.True(t, lacks)
	require.Equal(t, at(1, "p", 12), want)
}
