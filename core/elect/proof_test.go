package elect

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanspring/core/posn"
)

func at(term, offset uint64) posn.Position {
	return posn.Position{Term: posn.Term{Number: term}, Offset: offset}
}

// received returns a listed replica that answered in term 1 and is not frozen.
func received(id string, offset uint64) Replica {
	return Replica{ID: id, Answered: true, IsListed: true, Received: at(1, offset), Term: 1}
}

func frozen(id string, offset uint64) Replica {
	re := received(id, offset)
	re.IsFrozen = true
	return re
}

func leaving(re Replica) Replica {
	re.IsLeaving = true
	return re
}

func unlisted(re Replica) Replica {
	re.IsListed = false
	return re
}

// stopped returns a change of a leader in term 1 that has stopped at the offset.
func stopped(offset uint64, reps ...Replica) Change {
	return Change{Term: 1, Leader: received("old", offset), IsStopped: true, Replicas: reps}
}

// silent returns a change of a leader in term 1 that does not answer.
func silent(reps ...Replica) Change {
	return Change{Term: 1, Leader: Replica{ID: "old", IsListed: true}, Replicas: reps}
}

func requireCandidates(t *testing.T, ch Change, ids ...string) {
	t.Helper()
	got, obstacle := ch.Candidates()
	require.Equal(t, NoObstacle, obstacle)
	var names []string
	for _, re := range got {
		names = append(names, re.ID)
	}
	require.Equal(t, ids, names)
}

func requireObstacle(t *testing.T, want Obstacle, ch Change) {
	t.Helper()
	got, obstacle := ch.Candidates()
	require.Equal(t, want, obstacle)
	require.Empty(t, got)
}

func TestLogOfAStoppedLeaderBoundsWhatWasAcknowledged(t *testing.T) {
	requireCandidates(t, stopped(20, received("a", 20), received("b", 19), Replica{ID: "c", IsListed: true}), "a", "old")
	requireCandidates(t, stopped(20, received("a", 19)), "old")
}

// A leader that answers but has not stopped may acknowledge more at any time.
func TestLeaderThatGoesOnBoundsNothing(t *testing.T) {
	ch := stopped(20, received("a", 20))
	ch.IsStopped, ch.Leader.ClaimsLead = false, true
	requireObstacle(t, Unfrozen, ch)
	ch.Replicas = []Replica{frozen("a", 20)}
	requireCandidates(t, ch, "a")
}

// LOST, a leader that held everything was replaced by a replica that was behind it, since all replicas
// that the coordinator knew were behind and frozen. It had just started, and did not know the one that
// had received the rest and had left (review/7).
func TestEntriesThatNoKnownReplicaReceivedAreRequired(t *testing.T) {
	requireCandidates(t, stopped(30, frozen("a", 20), frozen("b", 18)), "old")
	requireCandidates(t, stopped(30, frozen("a", 20), received("b", 18)), "old")
	requireCandidates(t, stopped(30, frozen("a", 20), Replica{ID: "b", IsListed: true}), "old")
	requireCandidates(t, stopped(30, frozen("a", 30), frozen("b", 18)), "a", "old")
	requireCandidates(t, stopped(30), "old")
	left := Replica{ID: "c", HasEnded: true, HasBound: true, Bound: at(1, 20)}
	requireCandidates(t, stopped(30, frozen("a", 20), left), "old")
}

func TestProofIsNamed(t *testing.T) {
	required, proof, obstacle := stopped(30, frozen("a", 20)).Required()
	require.Equal(t, NoObstacle, obstacle)
	require.Equal(t, StoppedLeader, proof)
	require.Equal(t, at(1, 30), required)
	required, proof, obstacle = silent(frozen("a", 20), frozen("b", 18)).Required()
	require.Equal(t, NoObstacle, obstacle)
	require.Equal(t, FrozenReplicas, proof)
	require.Equal(t, at(1, 20), required)
	_, _, obstacle = silent(received("a", 20)).Required()
	require.Equal(t, Unfrozen, obstacle)
}

func TestLogOfALeaderThatNoLongerAnswersBoundsNothing(t *testing.T) {
	ch := stopped(0, received("a", 20), Replica{ID: "b", IsListed: true})
	ch.Leader = Replica{ID: "old", IsListed: true}
	requireObstacle(t, Unfrozen, ch)
}

// Guards against a leader that has restarted without its log.
func TestLogOfAStoppedLeaderThatIsBehindAReplicaBoundsNothing(t *testing.T) {
	requireObstacle(t, Unfrozen, stopped(3, received("a", 20), received("b", 18)))
	requireCandidates(t, stopped(3, frozen("a", 20), frozen("b", 18)), "a")
}

func TestEveryReplicaOfASilentLeaderMustBeFrozen(t *testing.T) {
	requireCandidates(t, silent(frozen("a", 20), frozen("b", 20)), "a", "b")
	requireCandidates(t, silent(frozen("a", 20), frozen("b", 21)), "b")
	requireObstacle(t, Unfrozen, silent(frozen("a", 20), received("b", 20)))
	requireObstacle(t, Unanswered, silent(frozen("a", 20), Replica{ID: "b", IsListed: true}))
	requireObstacle(t, Unanswered, silent(frozen("a", 20), Replica{ID: "b"}))
}

// leaving_replica_alone_has_it: a leaving replica, or one that is not listed, that alone
// has acknowledged writes is appointed.
func TestReplicaThatAloneHasAcknowledgedWritesIsAppointed(t *testing.T) {
	requireCandidates(t, silent(frozen("a", 20), leaving(frozen("b", 21))), "b")
	requireCandidates(t, silent(frozen("a", 20), unlisted(frozen("b", 21))), "b")
	requireCandidates(t, stopped(21, received("a", 20), leaving(received("b", 21))), "old", "b")
}

func TestStayingReplicaIsPreferred(t *testing.T) {
	near := frozen("near", 20)
	near.Preference = 1
	requireCandidates(t, silent(leaving(frozen("a", 20)), frozen("far", 20), near), "near", "far", "a")
	ch := stopped(20, unlisted(received("a", 20)), received("b", 20))
	requireCandidates(t, ch, "b", "old", "a")
	require.True(t, ch.IsStaying(ch.Replicas[1]))
	require.False(t, ch.IsStaying(ch.Replicas[0]))
	require.False(t, ch.IsStaying(ch.Leader))
	ch.Leader = leaving(ch.Leader)
	requireCandidates(t, ch, "b", "a", "old")
}

// LOST, a leaving replica was appointed and ended before its promotion took effect, although
// the leader, which had stopped and was not leaving, had the same log.
func TestReplicaThatMayEndSoonIsTheLastChoice(t *testing.T) {
	soon := leaving(frozen("soon", 20))
	soon.EndsSoon = true
	requireCandidates(t, silent(soon, leaving(frozen("a", 20)), unlisted(frozen("b", 20))), "b", "a", "soon")
	ch := stopped(20, soon, leaving(frozen("a", 20)), frozen("c", 10))
	ch.Leader = unlisted(ch.Leader)
	requireCandidates(t, ch, "old", "a", "soon")
	ch.Leader = leaving(ch.Leader)
	requireCandidates(t, ch, "a", "old", "soon")
	ch.Leader.EndsSoon = true
	requireCandidates(t, ch, "a", "soon", "old")
	requireCandidates(t, silent(soon, frozen("c", 10)), "soon")
}

// LOST, a change waited for an upstream that had ended, until the leaving replica that alone had
// acknowledged writes had ended too.
func TestUpstreamThatAloneHasWritesAndEndsSoonIsNotKeptWaiting(t *testing.T) {
	soon := leaving(frozen("soon", 21))
	soon.EndsSoon = true
	ended, quiet := Replica{ID: "c", HasEnded: true}, Replica{ID: "d", IsListed: true}
	requireObstacle(t, Unanswered, silent(frozen("a", 20), leaving(frozen("b", 21)), ended))
	requireObstacle(t, Unanswered, silent(frozen("a", 20), soon, ended, quiet))
	quiet.IsLongSilent = true
	ch := silent(frozen("a", 20), soon, ended, quiet)
	requireCandidates(t, ch, "soon")
	require.True(t, ch.IsLastResort())
	requireObstacle(t, Unanswered, silent(frozen("a", 21), soon, ended, quiet))
	requireObstacle(t, Unfrozen, silent(received("a", 20), soon, ended, quiet))
	bounded := Replica{ID: "e", HasEnded: true, HasBound: true, Bound: at(1, 22)}
	requireObstacle(t, Unanswered, silent(frozen("a", 20), soon, bounded, ended))

	require.True(t, ch.IsOnlyHeldByEnding())
	require.False(t, silent(frozen("a", 21), soon).IsOnlyHeldByEnding())
	require.False(t, silent(quiet).IsOnlyHeldByEnding())

	resigned := silent(frozen("a", 20), quiet)
	resigned.Leader = leaving(frozen("old", 21))
	requireObstacle(t, Unanswered, resigned)
	resigned.Leader.EndsSoon = true
	requireCandidates(t, resigned, "old")

	known := silent(frozen("a", 20), Replica{ID: "b", HasEnded: true, HasBound: true, Bound: at(1, 19)})
	requireCandidates(t, known, "a")
	require.False(t, known.IsLastResort())
}

// LOST, a replica restarts without its log under its ID, before the listing shows it, and
// counts as one through which nothing was acknowledged.
func TestReplicaThatHasLostItsLogProvesNothingBesideAStoppedLeader(t *testing.T) {
	blank := frozen("a", 0)
	for _, hasLostLog := range []bool{false, true} {
		blank.HasLostLog = hasLostLog
		requireCandidates(t, stopped(20, blank, frozen("b", 10)), "old")
		requireCandidates(t, stopped(20, blank, frozen("b", 20)), "b", "old")
	}
	requireCandidates(t, silent(blank, frozen("b", 10)), "b")
}

// An ended replica may have been the only one that had a write that the leader
// acknowledged before the replica ended.
func TestEndedReplicaCountsUpToItsBound(t *testing.T) {
	ended := Replica{ID: "b", HasEnded: true, HasBound: true, Bound: at(1, 20)}
	requireCandidates(t, silent(frozen("a", 20), ended), "a")
	requireObstacle(t, Behind, silent(frozen("a", 19), ended))
	ended.HasBound = false
	requireObstacle(t, Unanswered, silent(frozen("a", 20), ended))
	requireCandidates(t, stopped(20, received("a", 20), ended), "a", "old")
	requireCandidates(t, stopped(20, frozen("a", 19), ended), "old")
}

// A coordinator with an old listing took a replaced leader for the leader and did not freeze
// it, so that the new leader went on acknowledging through it.
func TestLeaderThatAnswersAsAReplicaMustBeFrozen(t *testing.T) {
	ch := silent(frozen("a", 20), frozen("b", 20))
	ch.Leader = received("old", 18)
	requireObstacle(t, Unfrozen, ch)
	ch.Leader = frozen("old", 18)
	requireCandidates(t, ch, "a", "b")
	ch.Leader = frozen("old", 21)
	requireCandidates(t, ch, "old")
}

// No upstream leads any more that could report a bound for a replica that has ended.
func TestEndedReplicaIsNoObstacleOnceTheLeaderAnswersAsAReplica(t *testing.T) {
	ch := silent(frozen("a", 20), Replica{ID: "b", HasEnded: true})
	requireObstacle(t, Unanswered, ch)
	ch.Leader = frozen("old", 21)
	requireCandidates(t, ch, "old")
	ch.Leader = frozen("old", 20)
	requireCandidates(t, ch, "a", "old")
}

// LOST, a coordinator that had just started took the replicas that it knew for all that had received the
// log of a silent leader.
func TestForgottenReplicaCountsUpToItsBound(t *testing.T) {
	ch := silent(frozen("a", 20), frozen("b", 18))
	ch.Forgotten = Unknown{IsUnbounded: true}
	requireObstacle(t, ForgottenUnbounded, ch)
	ch.Forgotten = Unknown{Bound: at(1, 21)}
	requireObstacle(t, Behind, ch)
	ch.Forgotten.Bound = at(1, 20)
	requireCandidates(t, ch, "a")

	// The log of the leader goes beyond that of any other.
	resigned := silent(frozen("a", 20))
	resigned.Leader, resigned.Forgotten = frozen("old", 21), Unknown{IsUnbounded: true}
	requireCandidates(t, resigned, "old")
	ch = stopped(20, received("a", 20))
	ch.Forgotten = Unknown{IsUnbounded: true}
	requireCandidates(t, ch, "a", "old")

	// Waiting would lose what is known.
	soon := leaving(frozen("soon", 21))
	soon.EndsSoon = true
	urgent := silent(frozen("a", 20), soon)
	urgent.Forgotten = Unknown{IsUnbounded: true}
	requireCandidates(t, urgent, "soon")
	require.True(t, urgent.IsLastResort())
}

func TestConcurrentChangeIsAnObstacle(t *testing.T) {
	newer := received("b", 20)
	newer.Term = 2
	requireObstacle(t, TermChanged, stopped(20, received("a", 20), newer))
	newer.ClaimsLead = true
	requireObstacle(t, OtherLeads, stopped(20, received("a", 20), newer))
	newer.Term = 1
	requireObstacle(t, OtherLeads, stopped(20, received("a", 20), newer))
	ch := stopped(20, received("a", 20))
	ch.Leader.Term = 2
	requireObstacle(t, TermChanged, ch)
	requireObstacle(t, Unanswered, silent(Replica{ID: "b", Term: 2}))
}

// randomChange returns a change of a leader that does not answer, with replicas in any state.
func randomChange(rng *rand.Rand) Change {
	ch := silent()
	for pos := range 1 + rng.IntN(4) {
		re := Replica{ID: fmt.Sprint("r", pos), IsListed: rng.IntN(4) > 0, IsLeaving: rng.IntN(2) == 0}
		re.EndsSoon = re.IsLeaving && rng.IntN(3) > 0
		switch rng.IntN(6) {
		case 0, 1, 2:
			re.Answered, re.IsFrozen, re.Received, re.Term = true, rng.IntN(8) > 0, at(1, uint64(rng.IntN(4))), 1
		case 3:
			re.HasEnded = true
		case 4:
			re.HasEnded, re.HasBound, re.Bound = true, true, at(1, uint64(rng.IntN(4)))
		case 5:
			re.IsLongSilent = rng.IntN(2) == 0
		}
		ch.Replicas = append(ch.Replicas, re)
	}
	return ch
}

// knowledge is what a reference reading of a change of a silent leader finds.
type knowledge struct {
	// highest is the highest position that an upstream is known to hold or to have held.
	highest posn.Position
	// isMissing is true if an upstream may hold more, and isWaitedFor if one of those may
	// still answer.
	isMissing, isWaitedFor bool
	isReceiving            bool
	// isHeld is true if an upstream that answered holds highest, and isKept if one that does
	// not end soon does.
	isHeld, isKept bool
}

func readChange(ch Change) knowledge {
	var kn knowledge
	for _, re := range ch.Replicas {
		kn.highest = kn.highest.Max(re.Received).Max(re.Bound)
		kn.isMissing = kn.isMissing || (!re.Answered && !re.HasBound)
		kn.isWaitedFor = kn.isWaitedFor || (!re.Answered && !re.HasEnded && !re.IsLongSilent)
		kn.isReceiving = kn.isReceiving || (re.Answered && !re.IsFrozen)
	}
	for _, re := range ch.Replicas {
		isHolder := re.Answered && re.Received.Compare(kn.highest) >= 0
		kn.isHeld = kn.isHeld || isHolder
		kn.isKept = kn.isKept || (isHolder && !re.EndsSoon)
	}
	return kn
}

func (kn knowledge) mayAppoint() bool {
	return kn.isHeld && !kn.isReceiving && (!kn.isMissing || (!kn.isKept && !kn.isWaitedFor))
}

// LOST, whoever is appointed holds what any upstream is known to hold; upstreams that may hold more
// are passed over only if a wait would lose that, and then they are.
func TestWhatIsKnownToBeHeldIsKept(t *testing.T) {
	rng := rand.New(rand.NewPCG(35, 1))
	appointed, resorts := 0, 0
	for range 200_000 {
		ch := randomChange(rng)
		kn := readChange(ch)
		candidates, obstacle := ch.Candidates()
		require.Equal(t, kn.mayAppoint(), obstacle == NoObstacle, "%+v", ch)
		for _, re := range candidates {
			require.GreaterOrEqual(t, re.Received.Compare(kn.highest), 0, "%+v", ch)
			require.LessOrEqual(t, ch.tier(candidates[0]), ch.tier(re))
		}
		if obstacle != NoObstacle {
			continue
		}
		require.Equal(t, kn.isMissing, ch.IsLastResort(), "%+v", ch)
		appointed++
		if kn.isMissing {
			resorts++
		}
	}
	require.Greater(t, appointed, 20_000)
	require.Greater(t, resorts, 2_000)
}
