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
	SuspectAfter:    800 * time.Millisecond,
	Stagger:         300 * time.Millisecond,
	MaxReportAge:    600 * time.Millisecond,
	MajorityTimeout: 2 * time.Second,
	RetryInterval:   200 * time.Millisecond,
}

var start = time.Unix(1_000_000, 0)

func term(number uint64, primary string) posn.Term {
	return posn.Term{Number: number, Primary: primary}
}

func entry(number uint64, primary string, offset uint64) posn.Position {
	return posn.Position{Term: term(number, primary), Offset: offset}
}

// observeAll feeds the guard reports of three healthy members.
func observeAll(gu *Guard, now time.Time) {
	for _, name := range []string{"a", "b", "c"} {
		gu.Observe(name, Report{Term: term(1, "a"), Entry: entry(1, "a", 5), Primary: name == "a", Received: now}, now)
	}
}

func newGuard(rank int) *Guard {
	gu := New([]string{"a", "b", "c"}, rank, timing, start)
	observeAll(gu, start)
	return gu
}

func TestPromotesTheMostAdvancedOfAMajority(t *testing.T) {
	gu := newGuard(0)
	require.Equal(t, Order{PrimaryTerm: term(1, "a"), Primary: "a"}, gu.Decide(start))
	gu.Decide(start.Add(500 * time.Millisecond))
	now := start.Add(time.Second)
	gu.Observe("b", Report{Term: term(1, "a"), Entry: entry(1, "a", 6), Received: start}, now)
	gu.Observe("c", Report{Term: term(1, "a"), Entry: entry(1, "a", 7), Received: start}, now)
	require.Equal(t, Order{Promote: "c", Expected: term(1, "a"), Claim: term(2, "c")}, gu.Decide(now))
	require.Equal(t, Promoting, gu.State())
	require.Empty(t, gu.Decide(now).Promote, "ordered twice")
}

func TestReplicaThatReceivesBlocksPromotion(t *testing.T) {
	gu := newGuard(0)
	now := start
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		gu.Observe("b", Report{Term: term(1, "a"), Entry: entry(1, "a", 5), Received: now}, now)
		gu.Observe("c", Report{Term: term(1, "a"), Entry: entry(1, "a", 5), Received: start}, now)
		require.Empty(t, gu.Decide(now).Promote)
	}
}

func TestNoPromotionWithoutAMajority(t *testing.T) {
	gu := newGuard(0)
	now := start.Add(time.Hour)
	gu.Observe("c", Report{Term: term(1, "a"), Entry: entry(1, "a", 7), Received: start}, now)
	require.Empty(t, gu.Decide(now).Promote)
	require.Equal(t, Suspected, gu.State())
}

func TestGuardsOfHigherRankNumberWaitLonger(t *testing.T) {
	first, second := newGuard(0), newGuard(1)
	now := start.Add(timing.SuspectAfter + 10*time.Millisecond)
	for _, gu := range []*Guard{first, second} {
		for _, name := range []string{"b", "c"} {
			gu.Observe(name, Report{Term: term(1, "a"), Entry: entry(1, "a", 5), Received: start}, now)
		}
	}
	require.NotEmpty(t, first.Decide(now).Promote)
	require.Empty(t, second.Decide(now).Promote)
}

// The guard is not called for a minute, so that the primary's last contact with its
// replicas is a minute old. Both timeouts must start again before a promotion.
func TestTimeoutsRestartAfterAPauseOfTheGuard(t *testing.T) {
	gu := newGuard(0)
	gu.Decide(start)
	now := start.Add(time.Minute)
	for _, name := range []string{"b", "c"} {
		gu.Observe(name, Report{Term: term(1, "a"), Entry: entry(1, "a", 7), Received: start}, now)
	}
	require.Empty(t, gu.Decide(now).Promote)
}

func TestMembersOfLowerTermsAreOrderedToFollow(t *testing.T) {
	gu := newGuard(0)
	now := start.Add(time.Second)
	gu.Observe("c", Report{Term: term(2, "c"), Entry: entry(1, "a", 7), Primary: true}, now)
	gu.Observe("b", Report{Term: term(1, "a"), Entry: entry(1, "a", 6), Received: start}, now)
	got := gu.Decide(now)
	require.Equal(t, "c", got.Primary)
	require.Equal(t, []string{"b"}, got.Follow)
	require.Empty(t, gu.Decide(now).Follow, "ordered again at once")
}

// The promoted member lacks an entry that both others hold, so that neither can
// join its term.
func TestTermThatNoMemberCanJoinIsReplaced(t *testing.T) {
	gu := newGuard(0)
	now := start
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
	require.Fail(t, "no promotion was ordered")
}

// TestDelayedProbesPromoteNobody runs for one hour of virtual time, in which 5% of
// the probes take one second longer. The primary is healthy: each replica was in
// contact with it within the 500 ms before a probe.
func TestDelayedProbesPromoteNobody(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	gu := newGuard(0)
	type answer struct {
		name      string
		report    Report
		asked, at time.Time
	}
	var inFlight []answer
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(200 * time.Millisecond) {
		for _, name := range []string{"a", "b", "c"} {
			took := time.Duration(rng.IntN(20)) * time.Millisecond
			if rng.Float64() < 0.05 {
				took += time.Second
			}
			heard := now.Add(-time.Duration(rng.IntN(500)) * time.Millisecond)
			re := Report{Term: term(1, "a"), Entry: entry(1, "a", 5), Primary: name == "a", Received: heard}
			inFlight = append(inFlight, answer{name: name, report: re, asked: now, at: now.Add(took)})
		}
		inFlight = slices.DeleteFunc(inFlight, func(an answer) bool {
			if an.at.After(now) {
				return false
			}
			gu.Observe(an.name, an.report, an.asked)
			return true
		})
		require.Empty(t, gu.Decide(now).Promote, "promoted after %v", now.Sub(start))
	}
}
