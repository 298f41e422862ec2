package elect

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var seenAt = time.Unix(1_000_000, 0)

// seen returns a position that an upstream was seen to hold in term 1.
func seen(id string, offset uint64) Holding {
	return Holding{Upstream: id, Term: 1, At: at(1, offset), SeenBy: "edge-1", SeenAt: seenAt}
}

// acked returns a position of term 1 that was reported as a success.
func acked(offset uint64) Holding { return seen("", offset) }

func endsSoon(re Replica) Replica {
	re.IsLeaving, re.EndsSoon = true, true
	return re
}

func (ch Change) withKnown(all ...Holding) Change {
	ch.Known, ch.Now = all, seenAt
	return ch
}

// LOST, the last resort took the highest position among the upstreams that answered for the highest
// that existed, although a silent one had been seen with more.
func TestNobodyIsAppointedBelowWhatASilentUpstreamWasSeenToHold(t *testing.T) {
	quiet := Replica{ID: "R", IsListed: true, IsLeaving: true, IsLongSilent: true}
	ch := silent(endsSoon(frozen("a", 183)), quiet)
	requireCandidates(t, ch.withKnown(seen("R", 183)), "a")
	requireObstacle(t, BelowKnown, ch.withKnown(seen("R", 231)))
	requireObstacle(t, BelowKnown, ch.withKnown(acked(184)))

	given := ch.withKnown(seen("R", 231))
	given.IsBelowKnownAllowed = true
	requireCandidates(t, given, "a")
	require.True(t, given.IsLastResort())

	// A position of an earlier term says nothing of the present one.
	later := ch.withKnown(seen("R", 231))
	later.Term = 2
	requireCandidates(t, later, "a")
}

// Guards against a group that waits for ever for a log that is gone: neither the leader nor the upstream
// that was seen with more can come back.
func TestUpstreamsThatCannotComeBackAreNotWaitedFor(t *testing.T) {
	quiet := Replica{ID: "R", IsLeaving: true, IsLongSilent: true}
	ch := silent(endsSoon(frozen("a", 183)), quiet).withKnown(seen("R", 231), acked(190))
	ch.Leader.HasEnded = true
	requireObstacle(t, BelowKnown, ch)
	for _, end := range []func(re *Replica){
		func(re *Replica) { re.IsPastDrain = true },
		func(re *Replica) { re.HasEnded = true },
	} {
		ch.Replicas[1] = quiet
		end(&ch.Replicas[1])
		requireCandidates(t, ch, "a")
		highest, mayReturn, ok := ch.KnownAbove(at(1, 183))
		require.True(t, ok)
		require.False(t, mayReturn)
		require.Equal(t, "R", highest.Upstream)
	}
	// The leader held all of it.
	ch.Leader.HasEnded = false
	requireObstacle(t, BelowKnown, ch)
	ch.Leader.IsLeaving, ch.Leader.IsPastDrain = true, true
	requireCandidates(t, ch, "a")
}

// A coordinator that has just started does not know the upstream that another member saw: it waits until
// that one's entry would have lapsed and it would count as ended.
func TestUnknownHolderIsWaitedForUntilItWouldCountAsEnded(t *testing.T) {
	ch := silent(frozen("a", 20)).withKnown(seen("gone", 21))
	ch.Leader.HasEnded = true
	requireObstacle(t, BelowKnown, ch)
	ch.Now = seenAt.Add(unlistedHolderWait)
	requireObstacle(t, BelowKnown, ch)
	ch.Listing = Listing{ConfirmedSince: seenAt, ConfirmedAt: ch.Now.Add(-time.Millisecond)}
	requireObstacle(t, BelowKnown, ch)
	ch.Listing.ConfirmedAt = ch.Now
	requireCandidates(t, ch, "a")
	// The store was away: the upstream may be back without an entry.
	ch.Listing.ConfirmedSince = seenAt.Add(time.Millisecond)
	requireObstacle(t, BelowKnown, ch)

	// Another incarnation runs under its ID.
	next := frozen("gone", 20)
	next.Incarnation = 2
	reborn := silent(frozen("a", 20), next).withKnown(seen("gone", 21))
	reborn.Leader.HasEnded = true
	requireCandidates(t, reborn, "a", "gone")
	// One that answers with less has lost its log.
	blank := silent(frozen("a", 20), frozen("b", 0)).withKnown(seen("b", 21))
	requireObstacle(t, BelowKnown, blank)
	blank.Leader.HasEnded = true
	requireCandidates(t, blank, "a")
}

// LOST, a leader that answered and led on, but could not be stopped, held a position that had been reported as
// a success, and a replica below it was appointed since no silent upstream held it.
func TestKnownPositionThatALeaderHoldsIsWaitedFor(t *testing.T) {
	ch := silent(frozen("a", 20), frozen("b", 18)).withKnown(Holding{Term: 1, At: at(1, 25), SeenBy: "other", SeenAt: seenAt})
	ch.Leader = received("old", 27)
	ch.Leader.ClaimsLead = true
	requireObstacle(t, BelowKnown, ch)
	ch.IsStopped, ch.Leader.ClaimsLead = true, false
	requireCandidates(t, ch, "old")

	// A leader that has less has lost its log.
	ch.IsStopped, ch.Leader = false, received("old", 3)
	ch.Leader.ClaimsLead = true
	requireCandidates(t, ch, "a")
}

func TestKnownPositionDoesNotForbidAHolder(t *testing.T) {
	quiet := Replica{ID: "R", IsListed: true}
	requireCandidates(t, stopped(231, received("a", 183), quiet).withKnown(seen("R", 231)), "old")
	requireCandidates(t, stopped(231, received("a", 231), quiet).withKnown(acked(230)), "a", "old")
	requireCandidates(t, silent(frozen("a", 20), frozen("b", 21)).withKnown(seen("b", 21), acked(21)), "b")
}

// A known position only removes candidates, and only those below one that may come back.
func TestKnownPositionsOnlyRemoveCandidates(t *testing.T) {
	rng := rand.New(rand.NewPCG(36, 1))
	held, awaited := 0, 0
	for range 100_000 {
		ch := randomChange(rng)
		ch.Leader.HasEnded = rng.IntN(2) == 0
		before, obstacle := ch.Candidates()
		ids := []string{"", "r0", "r1", "r2", "gone"}
		kn := ch.withKnown(seen(ids[rng.IntN(len(ids))], uint64(rng.IntN(5))), seen(ids[rng.IntN(len(ids))], uint64(rng.IntN(5))))
		after, got := kn.Candidates()
		var want []Replica
		for _, re := range before {
			if _, mayReturn, _ := kn.KnownAbove(re.Received); !mayReturn {
				want = append(want, re)
			}
		}
		require.Equal(t, want, after)
		if obstacle != NoObstacle {
			require.Equal(t, obstacle, got)
			continue
		}
		held++
		if got == BelowKnown {
			awaited++
			require.Empty(t, after)
		}
	}
	require.Greater(t, held, 10_000)
	require.Greater(t, awaited, 1_000)
}

func TestOnlyTheHighestPositionsOfTheNewestTermAreKept(t *testing.T) {
	kn := NewKnown()
	kn.Add("g", seen("a", 5))
	kn.Add("g", seen("a", 4))
	kn.Add("g", acked(3))
	kn.Add("other", seen("a", 9))
	require.Equal(t, []Holding{seen("a", 5), acked(3)}, kn.OfGroup("g"))
	later := acked(3)
	later.SeenAt = seenAt.Add(time.Second)
	kn.Adopt("g", later)
	require.NotContains(t, kn.OfGroup("g"), later)
	kn.Add("g", later)
	require.Contains(t, kn.OfGroup("g"), later)
	for num := range 3 * maxHoldings {
		ho := seen("b", uint64(10+num))
		ho.Incarnation = int64(num)
		kn.Add("g", ho)
	}
	require.Len(t, kn.seen["g"], maxHoldings)
	require.Contains(t, kn.OfGroup("g"), later, "what was acknowledged is not displaced")
	require.Equal(t, at(1, 9+3*maxHoldings), kn.OfGroup("g")[0].At)
	next := Holding{Upstream: "c", Term: 2, At: at(2, 1), SeenAt: seenAt}
	kn.Add("g", next)
	kn.Add("g", seen("a", 99))
	require.Equal(t, []Holding{next}, kn.OfGroup("g"))
	kn.Forget(seenAt.Add(KnownFor))
	require.Len(t, kn.OfGroup("g"), 1)
	kn.Forget(seenAt.Add(KnownFor + 1))
	require.Empty(t, kn.OfGroup("g"))
	require.Empty(t, kn.seen)
	require.Empty(t, kn.acknowledged)
}
