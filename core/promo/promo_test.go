package promo

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/posn"
)

var timing = Timing{
	Suspect: 800 * time.Millisecond,
	Stagger: 300 * time.Millisecond,
	Fresh:   600 * time.Millisecond,
	Stuck:   2 * time.Second,
	Retry:   200 * time.Millisecond,
}

var began = time.Unix(1_000_000, 0)

func term(number uint64, primary string) posn.Term {
	return posn.Term{Number: number, Primary: primary}
}

func entry(number uint64, primary string, offset uint64) posn.Position {
	return posn.Position{Term: term(number, primary), Offset: offset}
}

// observeAll reports three healthy members.
func observeAll(gu *Guard, now time.Time) {
	for _, name := range []string{"a", "b", "c"} {
		gu.Observe(name, Report{Term: term(1, "a"), Entry: entry(1, "a", 5), Primary: name == "a", Received: now}, now)
	}
}

func newGuard(rank int) *Guard {
	gu := New([]string{"a", "b", "c"}, rank, timing, began)
	observeAll(gu, began)
	return gu
}

func TestPromotesTheMostAdvancedOfAMajority(t *testing.T) {
	gu := newGuard(0)
	require.Equal(t, Order{LeaderTerm: term(1, "a"), Leader: "a"}, gu.Decide(began))
	gu.Decide(began.Add(500 * time.Millisecond))
	now := began.Add(time.Second)
	gu.Observe("b", Report{Term: term(1, "a"), Entry: entry(1, "a", 6), Received: began}, now)
	gu.Observe("c", Report{Term: term(1, "a"), Entry: entry(1, "a", 7), Received: began}, now)
	require.Equal(t, Order{Promote: "c", Expected: term(1, "a"), Claim: term(2, "c")}, gu.Decide(now))
	require.Equal(t, Promoting, gu.State())
	require.Empty(t, gu.Decide(now).Promote, "ordered twice")
}

func TestAReplicaThatReceivesVetoes(t *testing.T) {
	gu := newGuard(0)
	now := began
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		gu.Observe("b", Report{Term: term(1, "a"), Entry: entry(1, "a", 5), Received: now}, now)
		gu.Observe("c", Report{Term: term(1, "a"), Entry: entry(1, "a", 5), Received: began}, now)
		require.Empty(t, gu.Decide(now).Promote)
	}
}

func TestWithoutAMajorityNobodyIsPromoted(t *testing.T) {
	gu := newGuard(0)
	now := began.Add(time.Hour)
	gu.Observe("c", Report{Term: term(1, "a"), Entry: entry(1, "a", 7), Received: began}, now)
	require.Empty(t, gu.Decide(now).Promote)
	require.Equal(t, Suspected, gu.State())
}

func TestGuardsOfLowerRankWait(t *testing.T) {
	first, second := newGuard(0), newGuard(1)
	now := began.Add(timing.Suspect + 10*time.Millisecond)
	for _, gu := range []*Guard{first, second} {
		for _, name := range []string{"b", "c"} {
			gu.Observe(name, Report{Term: term(1, "a"), Entry: entry(1, "a", 5), Received: began}, now)
		}
	}
	require.NotEmpty(t, first.Decide(now).Promote)
	require.Empty(t, second.Decide(now).Promote)
}

func TestAPausedGuardDoesNotJudgeByOldReports(t *testing.T) {
	gu := newGuard(0)
	gu.Decide(began)
	now := began.Add(time.Minute)
	for _, name := range []string{"b", "c"} {
		gu.Observe(name, Report{Term: term(1, "a"), Entry: entry(1, "a", 7), Received: began}, now)
	}
	require.Empty(t, gu.Decide(now).Promote)
}

func TestMembersOfLowerTermsAreOrderedToFollow(t *testing.T) {
	gu := newGuard(0)
	now := began.Add(time.Second)
	gu.Observe("c", Report{Term: term(2, "c"), Entry: entry(1, "a", 7), Primary: true}, now)
	gu.Observe("b", Report{Term: term(1, "a"), Entry: entry(1, "a", 6), Received: began}, now)
	got := gu.Decide(now)
	require.Equal(t, "c", got.Leader)
	require.Equal(t, []string{"b"}, got.Follow)
	require.Empty(t, gu.Decide(now).Follow, "ordered again at once")
}

// TestAForkedTermIsReplaced has a promoted member that nobody can join, since
// the others hold an entry that it lacks.
func TestAForkedTermIsReplaced(t *testing.T) {
	gu := newGuard(0)
	now := began
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		gu.Observe("a", Report{Term: term(1, "a"), Entry: entry(1, "a", 8), Primary: true}, now)
		gu.Observe("b", Report{Term: term(2, "b"), Entry: entry(1, "a", 6), Primary: true}, now)
		gu.Observe("c", Report{Term: term(1, "a"), Entry: entry(1, "a", 8), Received: now}, now)
		if or := gu.Decide(now); or.Promote != "" {
			require.Equal(t, "a", or.Promote)
			require.Equal(t, term(3, "a"), or.Claim)
			return
		}
	}
	require.Fail(t, "the group stayed stuck")
}

// TestDelayedProbesPromoteNobody delays 5% of the probes by a second for an
// hour. A replica whose primary is well has heard of it within half a second.
func TestDelayedProbesPromoteNobody(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	gu := newGuard(0)
	type answer struct {
		name      string
		report    Report
		asked, at time.Time
	}
	var under []answer
	for now := began; now.Before(began.Add(time.Hour)); now = now.Add(200 * time.Millisecond) {
		for _, name := range []string{"a", "b", "c"} {
			took := time.Duration(rng.IntN(20)) * time.Millisecond
			if rng.Float64() < 0.05 {
				took += time.Second
			}
			heard := now.Add(-time.Duration(rng.IntN(500)) * time.Millisecond)
			re := Report{Term: term(1, "a"), Entry: entry(1, "a", 5), Primary: name == "a", Received: heard}
			under = append(under, answer{name: name, report: re, asked: now, at: now.Add(took)})
		}
		under = slices.DeleteFunc(under, func(an answer) bool {
			if an.at.After(now) {
				return false
			}
			gu.Observe(an.name, an.report, an.asked)
			return true
		})
		require.Empty(t, gu.Decide(now).Promote, "promoted after %v", now.Sub(began))
	}
}
