package vars

import (
	"encoding/hex"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanspring/core/stmt"
)

func TestAlignSendsOnlyDifferences(t *testing.T) {
	var co Conn
	se := Session{}.WithValue("b", "2").WithValue("a", "1")
	require.Equal(t, []stmt.Statement{
		{Kind: stmt.Set, Name: "a", Argument: "1"}, {Kind: stmt.Set, Name: "b", Argument: "2"},
	}, co.Align(se))
	require.Empty(t, co.Align(se))
	require.Equal(t, []stmt.Statement{{Kind: stmt.Set, Name: "b", Argument: "3"}}, co.Align(se.WithValue("b", "3")))
	other := Session{}.WithValue("c", "4")
	require.Equal(t, []stmt.Statement{{Kind: stmt.Discard}, {Kind: stmt.Set, Name: "c", Argument: "4"}}, co.Align(other))
}

func TestPreparedStatementsAreSharedByContentNotName(t *testing.T) {
	var co Conn
	first := Prepared{Name: "p", Text: "one"}
	second := Prepared{Name: "p", Text: "two"}
	one, prepare := co.ResolvePrepared(stmt.Statement{Kind: stmt.Execute, Name: "p", Argument: "k"}, first)
	require.Len(t, prepare, 1)
	two, prepare := co.ResolvePrepared(stmt.Statement{Kind: stmt.Execute, Name: "p", Argument: "k"}, second)
	require.Len(t, prepare, 1)
	require.NotEqual(t, one.Name, two.Name)
	again, prepare := co.ResolvePrepared(stmt.Statement{Kind: stmt.Execute, Name: "q", Argument: "k"}, Prepared{Name: "q", Text: "one"})
	require.Empty(t, prepare)
	require.Equal(t, one.Name, again.Name)
	writes, _ := co.ResolvePrepared(stmt.Statement{Kind: stmt.Execute}, Prepared{Name: "p", Text: "one", Writes: true})
	require.NotEqual(t, one.Name, writes.Name)
}

// TestConnectionAlwaysHoldsTheSessionsValues guards against variables of an
// earlier session that leak into a later one on the same connection: after the
// statements of Align the upstream must have exactly the variables of the last
// session.
func TestConnectionAlwaysHoldsTheSessionsValues(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var co Conn
		upstream := map[string]string{}
		for range rapid.IntRange(1, 12).Draw(rt, "sessions") {
			se := Session{}
			want := map[string]string{}
			for range rapid.IntRange(0, 4).Draw(rt, "values") {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name")
				val := rapid.SampledFrom([]string{"1", "2", strings.Repeat("3", maxHeldBytes/2), strings.Repeat("4", maxHeldBytes)}).Draw(rt, "value")
				se = se.WithValue(name, val)
				want[name] = val
			}
			again, ok := FromValues(se.Values())
			require.True(rt, ok)
			require.Equal(rt, se, again)
			for _, st := range co.Align(se) {
				if st.Kind == stmt.Discard {
					upstream = map[string]string{}
					continue
				}
				upstream[st.Name] = st.Argument
			}
			require.Equal(rt, want, upstream)
		}
	})
}

// A process exceeded its memory by the values of sessions that had ended, which its connections kept.
func TestConnectionKeepsNoLargeValues(t *testing.T) {
	var co Conn
	small := Session{}.WithValue("a", "1")
	se := small.WithValue("b", strings.Repeat("x", maxHeldBytes))
	kept := func() int { return Session{variables: co.variables}.Bytes() }
	require.Len(t, co.Align(se), 2)
	require.Zero(t, kept())
	require.Empty(t, co.Align(se), "the same values are not set again")
	other := small.WithValue("b", strings.Repeat("y", maxHeldBytes))
	require.Equal(t, stmt.Discard, co.Align(other)[0].Kind)
	require.Equal(t, []stmt.Statement{{Kind: stmt.Discard}, {Kind: stmt.Set, Name: "a", Argument: "1"}}, co.Align(small))
	require.Equal(t, 2, kept())
	// A name and a value that are joined differently are others.
	long := strings.Repeat("z", maxHeldBytes)
	co.Align(Session{}.WithValue("a"+long, "b"))
	require.NotEmpty(t, co.Align(Session{}.WithValue("a", long+"b")))
}

func TestSessionsDoNotShareState(t *testing.T) {
	base := Session{}.WithPrepared(Prepared{Name: "p", Text: "one"})
	changed := base.WithPrepared(Prepared{Name: "p", Text: "two"})
	removed, ok := base.WithoutPrepared("p")
	require.True(t, ok)
	pr, ok := base.GetPreparedByName("p")
	require.True(t, ok)
	require.Equal(t, "one", pr.Text)
	pr, _ = changed.GetPreparedByName("p")
	require.Equal(t, "two", pr.Text)
	_, ok = removed.GetPreparedByName("p")
	require.False(t, ok)
}

// Callers choose the texts, so that one of them could give another's statement a name that
// the connection knows for a different text.
func TestPreparedStatementsCannotBeMadeToShareAName(t *testing.T) {
	// Both texts have the same 64-bit xxHash behind an "r".
	one, err := hex.DecodeString("326a294130615a2e492322237567212e492322237567212e492322237567216f207b5a437e3e6d2e" +
		"492322237567212e492322237567212e49232223756721")
	require.NoError(t, err)
	two, err := hex.DecodeString("75513b2d6023522e492322237567212e492322237567212e492322237567216f4e26d7c6880f922e" +
		"492322237567212e492322237567212e49232223756721")
	require.NoError(t, err)
	var co Conn
	first, prepare := co.ResolvePrepared(stmt.Statement{Kind: stmt.Execute, Name: "p", Argument: "k"}, Prepared{Name: "p", Text: string(one)})
	require.Len(t, prepare, 1)
	second, prepare := co.ResolvePrepared(stmt.Statement{Kind: stmt.Execute, Name: "p", Argument: "k"}, Prepared{Name: "p", Text: string(two)})
	require.Len(t, prepare, 1)
	require.Equal(t, string(two), prepare[0].Argument)
	require.NotEqual(t, first.Name, second.Name)
	require.Equal(t, second.Name, prepare[0].Name)
}
