package member

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/elect"
	"banyanspring/core/group"
	"banyanspring/core/posn"
	"banyanspring/io/engine"
	"banyanspring/io/pool"
)

func pos2(offset uint64) posn.Position {
	return posn.Position{Term: posn.Term{Number: 2}, Offset: offset}
}

// leavingGroup is a group whose leader L was cut off from all replicas but R, which is leaving as a
// and b are.
type leavingGroup struct {
	*testMember
	mo      *monitor
	listing uint64
	ups     []group.Upstream
}

const testDrain = 10 * time.Second

func newLeavingGroup() *leavingGroup {
	lg := &leavingGroup{testMember: newTestMember()}
	lg.settings.DrainBound = testDrain
	for pos, id := range []string{"L", "R", "a", "b"} {
		lg.ups = append(lg.ups, group.Upstream{ID: id, Address: "127.0.0.1:" + string(rune('1'+pos)), Group: "g", Incarnation: 1, Leaving: id != "L"})
	}
	lg.list(lg.ups...)
	lg.mo = lg.monitors.get("g", lg.now)
	lg.mo.leader = "L"
	return lg
}

func (lg *leavingGroup) list(ups ...group.Upstream) {
	lg.listing++
	lg.updateView(func(group.View) group.View { return group.NewView(lg.listing, ups) })
}

// survey applies reports in term 2 with the positions given; the other upstreams do not answer.
func (lg *leavingGroup) survey(received map[string]uint64, frozenTerm uint64) *leaderChange {
	ch := lg.mo.newChange(elect.Dead, 7)
	ch.term, ch.leaderResult, ch.results = 2, orderResult{err: errNoRelay}, make(map[string]orderResult)
	for _, up := range ch.replicas {
		ch.results[up.ID] = orderResult{err: errNoRelay}
		if offset, ok := received[up.ID]; ok {
			ch.results[up.ID] = orderResult{report: pool.Report{Term: 2, Received: pos2(offset), FrozenTerm: frozenTerm}}
		}
	}
	lg.mo.recordEnded(ch, ch.results)
	return ch
}

// surveySilent surveys twice, so that R has been silent for long, with a and b at 2.183.
func (lg *leavingGroup) surveySilent() *leaderChange {
	lg.survey(map[string]uint64{"a": 183, "b": 183}, 0)
	lg.now = lg.now.Add(longSilence)
	return lg.survey(map[string]uint64{"a": 183, "b": 183}, 3)
}

// LOST, former-leader-leaves seed 9226: a coordinator that had seen a leaving replica at 2.231
// appointed one with 2.183 as the last resort while the old leader might come back.
func TestLastResortDoesNotGoBelowWhatTheCoordinatorHasSeen(t *testing.T) {
	lg := newLeavingGroup()
	lg.survey(map[string]uint64{"R": 231, "a": 183, "b": 183}, 0)
	lg.now = lg.now.Add(testDrain - handoverTime)
	ch := lg.surveySilent()
	candidates, obstacle := lg.mo.state(ch).Candidates()
	require.Empty(t, candidates)
	require.Equal(t, elect.BelowKnown, obstacle)
}

// The group waits by default, and logs for what; the operator's setting gives the position up.
func TestLastResortIsLoggedWithThePositions(t *testing.T) {
	lg := newLeavingGroup()
	var lines bytes.Buffer
	lg.log = slog.New(slog.NewTextHandler(&lines, nil))
	lg.survey(map[string]uint64{"R": 231, "a": 183, "b": 183}, 0)
	lg.now = lg.now.Add(testDrain - handoverTime)
	ch := lg.surveySilent()
	_, err := lg.mo.choose(ch, lg.mo.state(ch))
	require.ErrorContains(t, err, string(elect.BelowKnown))
	require.Contains(t, lines.String(), "known_awaited")
	require.Contains(t, lines.String(), "received=2.183 silent=\"[R L]\" known=2.231 upstream=R seen_by=self")
	require.NotContains(t, lines.String(), "last_resort")

	lg.settings.BelowKnownAllowed = true
	candidate, err := lg.mo.choose(ch, lg.mo.state(ch))
	require.NoError(t, err)
	require.Equal(t, "a", candidate.ID)
	require.Contains(t, lines.String(), "msg=last_resort event=319")
	require.Contains(t, lines.String(), "may_return=true")
}

// Guards against a group without a leader for ever: R is past its drain, and the leader's entry has been
// missing for so long that its log counts as lost.
func TestKnownPositionIsGivenUpOnceNobodyCanComeBackWithIt(t *testing.T) {
	lg := newLeavingGroup()
	lg.survey(map[string]uint64{"R": 231, "a": 183, "b": 183}, 0)
	lg.now = lg.now.Add(testDrain)
	lg.surveySilent()
	lg.list(lg.ups[1:]...)
	ch := lg.surveySilent()
	_, obstacle := lg.mo.state(ch).Candidates()
	require.Equal(t, elect.BelowKnown, obstacle, "the leader may come back")
	lg.now = lg.now.Add(goneAfter)
	ch = lg.surveySilent()
	_, obstacle = lg.mo.state(ch).Candidates()
	require.Equal(t, elect.BelowKnown, obstacle, "the store was away, so that the leader may be back without an entry")
	lg.pass(goneAfter)
	ch = lg.surveySilent()
	candidates, obstacle := lg.mo.state(ch).Candidates()
	require.Equal(t, elect.NoObstacle, obstacle)
	require.Equal(t, "a", candidates[0].ID)
}

// A leader that leads has entries that no replica has received, and a replica that has learned of a new
// term may still have entries of an earlier one that are to be truncated.
func TestOnlyWhatReplicasReceivedInTheTermIsKnown(t *testing.T) {
	lg := newLeavingGroup()
	ch := lg.survey(map[string]uint64{"a": 183}, 0)
	lg.mo.recordEnded(ch, map[string]orderResult{
		"R": {report: pool.Report{Term: 2, Received: pos2(231), ClaimsLead: true}},
		"b": {report: pool.Report{Term: 2, Received: at(400)}, via: "edge-3"},
	})
	require.Len(t, lg.knownOf("g"), 1)
	lg.mo.recordEnded(ch, map[string]orderResult{"b": {report: pool.Report{Term: 2, Received: pos2(184)}, via: "edge-3"}})
	require.Equal(t, "edge-3", lg.knownOf("g")[0].SeenBy)
}

// positionsOf returns the positions without their times, which are rounded on the wire.
func positionsOf(all []elect.Holding) []elect.Holding {
	out := slices.Clone(all)
	for pos := range out {
		out[pos].SeenAt = time.Time{}
	}
	return out
}

// The coordinator that has seen a position may be replaced before the change is made.
func TestExchangesCarryKnownPositions(t *testing.T) {
	lg, below, above := newLeavingGroup(), newTestMember(), newTestMember()
	lg.survey(map[string]uint64{"R": 231, "a": 183}, 0)
	lg.known.recordSuccesses([]engine.Opinion{{Group: "h", Reported: pos2(7), ReportedAt: lg.now}})
	below.applyReply(lg.makeReply(exchangeQuery{}, lg.now), "self", below.now)
	require.Equal(t, positionsOf(lg.knownOf("g")), positionsOf(below.knownOf("g")))
	require.Empty(t, below.knownOf("h"), "successes go to the coordinator only")
	qu := lg.makeQuery(lg.now)
	require.NoError(t, qu.check())
	above.known.adopt(qu.Known, above.now)
	require.Equal(t, positionsOf(lg.knownOf("g")), positionsOf(above.knownOf("g")))
	require.Equal(t, pos2(7), above.knownOf("h")[0].At)
	require.Len(t, lg.known.toReport(lg.now), 2, "once in reportInterval")

	// Only groups with recent writes are part of exchanges.
	lg.now = lg.now.Add(reportInterval)
	require.Len(t, lg.known.toReport(lg.now), 3)
	lg.now = lg.now.Add(shareReported)
	require.Len(t, lg.known.toReport(lg.now), 2)
	lg.now = lg.now.Add(shareSeen)
	require.Empty(t, lg.known.toSend(lg.now))
}

// 1,300 groups with writes at the design size: each exchange has a bounded part of them.
func TestKnownPositionsInAnExchangeAreBounded(t *testing.T) {
	tm := newTestMember()
	var ops []engine.Opinion
	for num := range 1300 {
		ops = append(ops, engine.Opinion{Group: fmt.Sprint("orders-", num), Reported: pos2(1 << 40), ReportedAt: tm.now})
	}
	tm.known.recordSuccesses(ops)
	require.Empty(t, tm.known.toSend(tm.now))
	sent := tm.known.toReport(tm.now)
	require.Len(t, sent, maxReported)
	raw, err := json.Marshal(sent)
	require.NoError(t, err)
	require.Less(t, len(raw), 500)
	require.NoError(t, checkHoldings(slices.Repeat(sent, 2), maxHoldings))
	require.Error(t, checkHoldings(slices.Repeat(sent, 3), maxHoldings))
	for _, odd := range []wireHolding{
		{}, {Group: "g", AgeMs: -1}, {Group: "g", Term: 2, Known: 1}, {Group: "g", By: string(make([]byte, maxNameBytes+1))},
	} {
		require.Error(t, (&exchangeQuery{Known: []wireHolding{odd}}).check())
		require.Error(t, (&exchangeReply{Known: []wireHolding{odd}}).check())
		require.Error(t, (&suspendReply{Known: []wireHolding{odd}}).check())
	}
}

// The coordinator may have started after another member saw the position or reported it as a success.
func TestAnswersToSuspensionsCarryKnownPositions(t *testing.T) {
	tm, other := newCutOffMember(t), newTestMember()
	other.known.recordSuccesses([]engine.Opinion{{Group: "g", Reported: pos2(7), ReportedAt: other.now}})
	tm.addPeer(t, "other", other.peers.serveSuspension)
	mo := tm.monitors.get("g", time.Now())
	ch := mo.newChange(elect.Dead, 7)
	mo.beginSuspension(ch)
	require.NoError(t, mo.awaitAnswer(context.Background(), ch, time.Minute))
	require.Equal(t, pos2(7), tm.knownOf("g")[0].At)
}
