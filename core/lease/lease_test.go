package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanspring/core/lease"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func report(id string, askedMs int, term uint64) lease.Report {
	return lease.Report{ID: id, AskedAt: at(askedMs), Term: term}
}

func leads(re lease.Report) lease.Report {
	re.Leads = true
	return re
}

func frozen(re lease.Report) lease.Report {
	re.IsFrozen = true
	return re
}

func TestReplicaThatReceivesConfirmsTheLeader(t *testing.T) {
	fi, ok := lease.Judge(lease.Evidence{}, 3, []lease.Report{leads(report("a", 0, 4)), report("b", 5, 4)})
	require.True(t, ok)
	require.Equal(t, "a", fi.Leader)
	require.Equal(t, uint64(4), fi.Term)
	require.Equal(t, at(5), fi.ConfirmedAt)
	require.True(t, fi.AllowsReads("a", at(5).Add(lease.Duration-1)))
	require.False(t, fi.AllowsReads("a", at(5).Add(lease.Duration)))
	require.False(t, fi.AllowsReads("b", at(5)))
}

func TestNothingConfirmsALeader(t *testing.T) {
	held := lease.Evidence{Leader: "a", Term: 4}
	for name, reports := range map[string][]lease.Report{
		"no report":                   nil,
		"the leader alone":            {leads(report("a", 0, 4))},
		"a frozen replica":            {leads(report("a", 0, 4)), frozen(report("b", 0, 4))},
		"a replica of an older term":  {leads(report("a", 0, 4)), report("b", 0, 3)},
		"a newer term, leader silent": {leads(report("a", 0, 4)), report("b", 0, 5)},
		"two leaders":                 {leads(report("a", 0, 4)), leads(report("b", 0, 5))},
	} {
		_, ok := lease.Judge(held, 3, reports)
		require.False(t, ok, name)
	}
}

func TestOldLeaderThatGoesOnIsNotTheLeader(t *testing.T) {
	held := lease.Evidence{Leader: "a", Term: 4, ConfirmedAt: at(0)}
	fi, ok := lease.Judge(held, 3, []lease.Report{leads(report("a", 10, 4)), leads(report("b", 10, 5)), report("c", 10, 5)})
	require.True(t, ok)
	require.Equal(t, "b", fi.Leader)
	require.False(t, fi.IsOldStopped)
}

func TestWritesToANewLeaderWaitForLeasesOnTheOldOne(t *testing.T) {
	held := lease.Evidence{Leader: "a", Term: 4, ConfirmedAt: at(0)}
	next := []lease.Report{leads(report("b", 100, 5)), report("c", 100, 5)}
	observe := func(reports []lease.Report) lease.Evidence {
		tr := &lease.Track{}
		tr.Adopt(held)
		fi, ok := lease.Judge(tr.Held(), 3, reports)
		require.True(t, ok)
		tr.Observe(fi, at(110))
		return tr.Held()
	}
	ev := observe(next)
	require.True(t, ev.AllowsReads("b", at(110)))
	require.False(t, ev.AllowsWrites("b", at(110)))
	require.Equal(t, at(110).Add(lease.Duration), ev.WritesFrom)
	ev = observe(append(next, report("a", 100, 5)))
	require.True(t, ev.AllowsWrites("b", at(110)), "the old leader reports that it does not lead")
}

func TestWritesAtAStartNeedAllMembersOrTheWait(t *testing.T) {
	reports := []lease.Report{leads(report("a", 0, 4)), report("b", 0, 4)}
	tr := &lease.Track{}
	fi, _ := lease.Judge(tr.Held(), 3, reports)
	tr.Observe(fi, at(10))
	require.False(t, tr.Held().AllowsWrites("a", at(10)), "the third member may be an old leader")
	fi, _ = lease.Judge(lease.Evidence{}, 3, append(reports, report("c", 0, 4)))
	tr.Observe(fi, at(20))
	require.True(t, tr.Held().AllowsWrites("a", at(20)))
}

func TestRefutedLeaderStaysRefutedInItsTerm(t *testing.T) {
	tr := &lease.Track{}
	tr.Adopt(lease.Evidence{Leader: "a", Term: 4, ConfirmedAt: at(0)})
	require.False(t, tr.Refute("b"))
	require.True(t, tr.Refute("a"))
	require.False(t, tr.Refute("a"))
	tr.Adopt(lease.Evidence{Leader: "a", Term: 4, ConfirmedAt: at(50)})
	require.False(t, tr.Held().AllowsReads("a", at(60)))
	tr.Observe(lease.Finding{Evidence: lease.Evidence{Leader: "b", Term: 5, ConfirmedAt: at(100)}}, at(110))
	require.True(t, tr.Held().AllowsWrites("b", at(110)), "the leader of the term before has stopped")
}

// A leader that is replaced soon after it was appointed may leave leases on the leader
// before it.
func TestWaitOfAnEarlierChangeIsKept(t *testing.T) {
	tr := &lease.Track{}
	tr.Adopt(lease.Evidence{Leader: "b", Term: 5, ConfirmedAt: at(0), WritesFrom: at(900)})
	require.True(t, tr.Refute("b"))
	tr.Observe(lease.Finding{Evidence: lease.Evidence{Leader: "c", Term: 6, ConfirmedAt: at(100)}}, at(110))
	require.Equal(t, at(900), tr.Held().WritesFrom)
}

// A leader that crashed may be listed again under a new ID, with its log and its term.
func TestLeaderThatIsNoLongerListedMayBeReplacedInItsTerm(t *testing.T) {
	tr := &lease.Track{}
	tr.Adopt(lease.Evidence{Leader: "a", Term: 4, ConfirmedAt: at(0)})
	again := lease.Finding{Evidence: lease.Evidence{Leader: "d", Term: 4, ConfirmedAt: at(100)}}
	tr.Observe(again, at(100))
	require.Equal(t, "a", tr.Held().Leader, "a is listed")
	tr.SetListed(func(id string) bool { return id != "a" })
	require.Empty(t, tr.Held().Leader)
	tr.Observe(again, at(110))
	require.True(t, tr.Held().AllowsReads("d", at(110)))
	require.False(t, tr.Held().AllowsWrites("d", at(110)))
}

// A listing may lack the leader for a while, such as during an outage of the store.
func TestLeaderThatIsListedAgainNeedsNoWait(t *testing.T) {
	tr := &lease.Track{}
	tr.Adopt(lease.Evidence{Leader: "a", Term: 4, ConfirmedAt: at(0)})
	tr.SetListed(func(string) bool { return false })
	tr.SetListed(func(string) bool { return true })
	require.True(t, tr.Held().AllowsWrites("a", at(10)))
}

func TestEvidenceNeverGoesBack(t *testing.T) {
	tr := &lease.Track{}
	tr.Adopt(lease.Evidence{Leader: "b", Term: 5, ConfirmedAt: at(100), WritesFrom: at(200)})
	tr.Adopt(lease.Evidence{Leader: "a", Term: 4, ConfirmedAt: at(500)})
	tr.Adopt(lease.Evidence{Leader: "b", Term: 5, ConfirmedAt: at(50), WritesFrom: at(150)})
	require.Equal(t, lease.Evidence{Leader: "b", Term: 5, ConfirmedAt: at(100), WritesFrom: at(150)}, tr.Held())
}

// Instances and a coordinator run at random against a group whose old leader goes on.
// No instance may read at the old leader after one has written to the new one.
func TestNoReadAtTheOldLeaderAfterAWriteAtTheNewOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const instances, stepMs = 3, 40
		group := []lease.Report{leads(report("a", 0, 1)), report("b", 0, 1), report("c", 0, 1)}
		tracks := make([]*lease.Track, instances)
		for pos := range tracks {
			tracks[pos] = &lease.Track{}
		}
		freezeAt := rapid.IntRange(0, 60).Draw(rt, "freeze")
		promoteAt := freezeAt + rapid.IntRange(0, 40).Draw(rt, "promotion")
		isWritten := false
		for step := range 160 {
			now := at(step * stepMs)
			if step == freezeAt {
				group[1].IsFrozen, group[2].IsFrozen = true, true
			}
			if step == promoteAt {
				group[1] = leads(report("b", 0, 2))
				group[2] = report("c", 0, 2)
				if rapid.Bool().Draw(rt, "coordinator") {
					tracks[0].Adopt(lease.Evidence{
						Leader: "b", Term: 2, ConfirmedAt: now, WritesFrom: at(freezeAt * stepMs).Add(lease.Duration),
					})
				}
			}
			for pos, tr := range tracks {
				switch rapid.IntRange(0, 3).Draw(rt, "event") {
				case 1:
					// The answers to requests sent now arrive some steps later; the
					// instance reaches any of the members.
					var reports []lease.Report
					for _, re := range group {
						if rapid.Bool().Draw(rt, "answers") {
							re.AskedAt = now
							reports = append(reports, re)
						}
					}
					if fi, ok := lease.Judge(tr.Held(), len(group), reports); ok {
						tr.Observe(fi, now)
					}
				case 2:
					tr.Adopt(tracks[(pos+1)%instances].Held())
				}
				held := tr.Held()
				isWritten = isWritten || held.AllowsWrites("b", now)
				require.False(rt, isWritten && held.AllowsReads("a", now), "step %d", step)
			}
		}
	})
}
