package member

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/elect"
	"banyanspring/core/evid"
	"banyanspring/core/group"
	"banyanspring/core/posn"
	"banyanspring/io/pool"
)

func at(offset uint64) posn.Position {
	return posn.Position{Term: posn.Term{Number: 1}, Offset: offset}
}

// listUpstreams applies a listing of upstreams of group g.
func (tm *testMember) listUpstreams(revision uint64, ups ...group.Upstream) {
	for pos := range ups {
		ups[pos].Group, ups[pos].Slots = "g", 1
	}
	tm.updateView(func(group.View) group.View { return group.NewView(revision, ups) })
}

func TestUpstreamThatLosesItsEntryIsRemembered(t *testing.T) {
	tm := newTestMember()
	one, two := group.Upstream{ID: "one", Address: "127.0.0.1:1"}, group.Upstream{ID: "two", Address: "127.0.0.1:2"}
	tm.listUpstreams(1, one, two)
	require.Empty(t, tm.formers.ofGroup("g"))
	tm.listUpstreams(2, one)
	two.Group = "g"
	require.True(t, tm.formers.mayRun(two))
	require.True(t, tm.formers.mayRunByID("g", "two"))
	tm.listUpstreams(3, one, two)
	require.False(t, tm.formers.mayRun(two))
	require.Empty(t, tm.formers.ofGroup("g"))
}

// Another incarnation under its ID or at its address shows that an upstream has ended.
func TestFormerUpstreamEndsWhenAnotherOneTakesItsPlace(t *testing.T) {
	for _, next := range []group.Upstream{{ID: "two", Address: "127.0.0.1:2", Incarnation: 2}, {ID: "three", Address: "127.0.0.1:2"}} {
		tm := newTestMember()
		two := group.Upstream{ID: "two", Address: "127.0.0.1:2", Incarnation: 1, Group: "g"}
		tm.listUpstreams(1, two)
		tm.listUpstreams(2, next)
		require.False(t, tm.formers.mayRun(two))
		require.Len(t, tm.formers.ofGroup("g"), 1)
	}
}

// A sample that was asked for before the upstream ended does not bound what it may have
// received.
func TestBoundOfAnEndedUpstreamIsALaterSample(t *testing.T) {
	tm := newTestMember()
	two := group.Upstream{ID: "two", Address: "127.0.0.1:2", Group: "g"}
	tm.listUpstreams(1, two)
	tm.listUpstreams(2)
	ended := tm.now
	tm.formers.observe("g", evid.Sample{Asked: ended.Add(time.Second), Position: at(1)}, time.Time{}, tm.now)
	require.False(t, tm.formers.ofGroup("g")[0].hasBound)
	tm.formers.markEnded(two, ended)
	tm.formers.observe("g", evid.Sample{Asked: ended, Position: at(2)}, time.Time{}, tm.now)
	require.False(t, tm.formers.ofGroup("g")[0].hasBound)
	sent := tm.formers.toSend(tm.now)
	require.Len(t, sent, 1)
	require.True(t, sent[0].HasEnded)
	require.Nil(t, sent[0].Bound)
	tm.formers.observe("g", evid.Sample{Asked: ended.Add(time.Millisecond), Position: at(3)}, time.Time{}, tm.now)
	tm.formers.observe("g", evid.Sample{Asked: ended.Add(time.Second), Position: at(4)}, time.Time{}, tm.now)
	require.Equal(t, at(3), tm.formers.ofGroup("g")[0].bound)
	tm.formers.observe("g", evid.Sample{Asked: tm.now, Position: at(5)}, time.Time{}, ended.Add(formerKeep+time.Second))
	require.Empty(t, tm.formers.ofGroup("g"))
}

// The successor of a coordinator may not reach the leader whose position it would need.
func TestBoundsReachTheOtherMembers(t *testing.T) {
	two := group.Upstream{ID: "two", Address: "127.0.0.1:2", Incarnation: 7, Group: "g"}
	sender, receiver := newTestMember(), newTestMember()
	for _, tm := range []*testMember{sender, receiver} {
		tm.listUpstreams(1, two)
		tm.listUpstreams(2)
	}
	sender.formers.markEnded(two, sender.now)
	sender.formers.observe("g", evid.Sample{Asked: sender.now.Add(time.Millisecond), Position: at(9)}, time.Time{}, sender.now)
	receiver.applyReply(sender.makeReply(exchangeQuery{}, sender.now), "sender", receiver.now)
	require.False(t, receiver.formers.mayRun(two))
	require.Equal(t, at(9), receiver.formers.ofGroup("g")[0].bound)
}

// LOST, a member that had started later was not told of an upstream that had ended without a bound, and did not
// wait for the log that it might have had alone.
func TestEndedUpstreamWithoutABoundReachesTheOtherMembers(t *testing.T) {
	two := group.Upstream{ID: "two", Address: "127.0.0.1:2", Incarnation: 7, Group: "g"}
	sender, receiver := newTestMember(), newTestMember()
	sender.listUpstreams(1, two)
	sender.listUpstreams(2)
	sender.formers.markEnded(two, sender.now)
	receiver.applyReply(sender.makeReply(exchangeQuery{}, sender.now), "sender", receiver.now)
	require.True(t, receiver.formers.hasEnded(two))
	require.False(t, receiver.formers.ofGroup("g")[0].hasBound)
}

// LOST, all members had restarted after the replica with the last commits had left, and promoted another
// one while the leader was out of reach.
func TestUpstreamsThatLeftBeforeTheStartAreBoundedByALaterSample(t *testing.T) {
	tm := newTestMember()
	leader := group.Upstream{ID: "L", Address: "127.0.0.1:1", Group: "g", Incarnation: 1}
	replica := group.Upstream{ID: "a", Address: "127.0.0.1:2", Group: "g", Incarnation: 1}
	tm.listUpstreams(1, leader, replica)
	mo := tm.monitors.get("g", tm.now)
	mo.leader = "L"
	var answered []posn.Position
	obstacle := func() elect.Obstacle {
		ch := mo.newChange(elect.Dead, 7)
		ch.term, ch.leaderResult, ch.forgotten = 1, orderResult{err: errNoRelay}, answered
		ch.results = map[string]orderResult{"a": {report: pool.Report{Term: 1, FrozenTerm: 2, Received: at(4)}}}
		_, out := mo.state(ch).Candidates()
		return out
	}
	observe := func(sa evid.Sample) { tm.formers.observe("g", sa, tm.followedSince.load(), tm.now) }
	observe(evid.Sample{Asked: tm.now, Position: at(4)})
	require.Equal(t, elect.ForgottenUnbounded, obstacle(), "it may leave unseen until the listing is followed")
	tm.pass(time.Second)
	observe(evid.Sample{Asked: tm.followedSince.load(), Position: at(9)})
	require.Equal(t, elect.ForgottenUnbounded, obstacle(), "the sample may be older")
	observe(evid.Sample{Asked: tm.now.Add(time.Millisecond), Position: at(9)})
	require.Equal(t, elect.Behind, obstacle())
	observe(evid.Sample{Asked: tm.now.Add(time.Second), Position: at(12)})
	bound, ok := tm.formers.boundOfForgotten("g")
	require.True(t, ok)
	require.Equal(t, at(9), bound)

	// A member that has been there since before vouches for less.
	answered = []posn.Position{at(11), at(4), at(7)}
	require.Equal(t, elect.NoObstacle, obstacle())
}

// LOST, if the bound of an upstream went with the memory of it.
func TestBoundOfForgottenUpstreamsCoversThoseThatAreForgotten(t *testing.T) {
	tm := newTestMember()
	began := tm.now
	two := group.Upstream{ID: "two", Address: "127.0.0.1:2", Group: "g"}
	tm.formers.observe("g", evid.Sample{Asked: began.Add(time.Second), Position: at(1)}, began, tm.now)
	forgottenAt := func() (posn.Position, bool) { return tm.formers.boundOfForgotten("g") }
	leave := func(revision uint64) {
		two.Incarnation++
		tm.listUpstreams(revision, two)
		tm.listUpstreams(revision + 1)
	}
	leave(1)
	tm.formers.markEnded(two, tm.now)
	tm.formers.observe("g", evid.Sample{Asked: tm.now.Add(time.Second), Position: at(5)}, began, tm.now)
	bound, ok := forgottenAt()
	require.True(t, ok)
	require.Equal(t, at(1), bound)
	tm.now = tm.now.Add(formerKeep + time.Second)
	tm.formers.observe("g", evid.Sample{Asked: tm.now, Position: at(8)}, began, tm.now)
	require.Empty(t, tm.formers.ofGroup("g"))
	bound, ok = forgottenAt()
	require.True(t, ok)
	require.Equal(t, at(5), bound)

	// One without a bound is covered by what the leader reports later.
	leave(3)
	tm.now = tm.now.Add(formerMaxAge + time.Second)
	tm.formers.observe("g", evid.Sample{Asked: began, Position: at(8)}, began, tm.now)
	_, ok = forgottenAt()
	require.False(t, ok)
	tm.formers.observe("g", evid.Sample{Asked: tm.now, Position: at(20)}, began, tm.now)
	bound, ok = forgottenAt()
	require.True(t, ok)
	require.Equal(t, at(20), bound)
}

// A group had no leader for the rest of a play: the coordinator had restarted and did not know
// who had led, so that an upstream that had ended could have no bound.
func TestEndedUpstreamIsNotWaitedForIfTheLeaderIsNotKnown(t *testing.T) {
	tm := newTestMember()
	answers := group.Upstream{ID: "a", Address: "127.0.0.1:1", Group: "g", Incarnation: 1}
	ended := group.Upstream{ID: "b", Address: "127.0.0.1:2", Group: "g", Incarnation: 1}
	list := func(ups ...group.Upstream) {
		tm.updateView(func(vi group.View) group.View { return group.NewView(vi.Revision+1, ups) })
	}
	list(answers, ended)
	list(answers)
	mo := tm.monitors.get("g", tm.now)
	candidates := func() []elect.Replica {
		ch := mo.newChange(elect.Dead, 7)
		ch.term, ch.leaderResult = 1, orderResult{err: errNoRelay}
		ch.results = map[string]orderResult{"a": {report: pool.Report{Term: 1, FrozenTerm: 2, Received: at(9)}}, "b": {err: errNoRelay}}
		out, _ := mo.state(ch).Candidates()
		return out
	}
	require.Empty(t, candidates(), "it may be the leader")
	tm.formers.markEnded(ended, tm.now)
	require.Empty(t, candidates(), "one that lost its entry before the start may be the leader and come back")
	tm.pass(goneAfter - time.Millisecond)
	require.Empty(t, candidates())
	tm.pass(time.Millisecond)
	require.Len(t, candidates(), 1)
	ended.Incarnation = 2
	list(answers, ended)
	require.Empty(t, candidates(), "one that is listed does not answer")
}

// LOST, a leader that had crashed came back with its log while the store was away, so that its entry could
// not come back, and counted as gone (review/8).
func TestFormerUpstreamIsGoneOnlyIfItCouldHaveWrittenItsEntry(t *testing.T) {
	tm := newTestMember()
	leader := group.Upstream{ID: "L", Address: "127.0.0.1:1", Group: "g", Incarnation: 1}
	replica := group.Upstream{ID: "a", Address: "127.0.0.1:2", Group: "g", Incarnation: 1}
	tm.listUpstreams(1, leader, replica)
	mo := tm.monitors.get("g", tm.now)
	mo.leader = "L"
	tm.pass(time.Second)
	tm.listUpstreams(2, replica)
	isGone := func() bool {
		ch := mo.newChange(elect.Dead, 7)
		ch.term, ch.leaderResult = 1, orderResult{err: errNoRelay}
		ch.results = map[string]orderResult{"a": {report: pool.Report{Term: 1, FrozenTerm: 2, Received: at(9)}}}
		return mo.state(ch).Leader.HasEnded
	}
	tm.pass(goneAfter - time.Millisecond)
	require.False(t, isGone())
	tm.now = tm.now.Add(goneAfter)
	require.False(t, isGone(), "the store is away")
	tm.pass(goneAfter - time.Millisecond)
	require.False(t, isGone(), "the store has been back for less")
	tm.pass(time.Millisecond)
	require.True(t, isGone())
	tm.now = tm.now.Add(goneAfter)
	require.True(t, isGone(), "it was gone before the store went away")
}

// Guards against outages of the store that are not noticed, since a configuration may take long to apply.
func TestGapBetweenConfirmationsIsBounded(t *testing.T) {
	for bound, gap := range map[time.Duration]time.Duration{5 * time.Second: 2200 * time.Millisecond, 19 * time.Second: goneAfter - entryReturn} {
		tm := newTestMember()
		tm.settings.ApplyBound = bound
		require.Equal(t, gap, tm.maxConfirmGap())
	}
}

// LOST, the coordinator had started after the entry of the replica through which the leader had
// acknowledged its last writes had disappeared, and promoted another one.
func TestFormersOfOtherMembersBlockAChange(t *testing.T) {
	two := group.Upstream{ID: "two", Address: "127.0.0.1:2", Incarnation: 7, Group: "g"}
	tm, other := newCutOffMember(t), newTestMember()
	other.listUpstreams(1, two)
	other.listUpstreams(2)
	tm.addPeer(t, "other", other.peers.serveSuspension)
	mo := tm.monitors.get("g", time.Now())
	ch := mo.newChange(elect.Dead, 7)
	require.Empty(t, ch.replicas)
	mo.beginSuspension(ch)
	require.NoError(t, mo.awaitAnswer(context.Background(), ch, time.Minute))
	ch.term, ch.freezeTerm = 1, 2
	mo.freezeJoined(ch)
	mo.freezeJoined(ch)
	require.Len(t, ch.replicas, 1)
	require.Len(t, ch.frozen, 1)
	_, obstacle := mo.state(ch).Candidates()
	require.Equal(t, elect.Unanswered, obstacle)
}
