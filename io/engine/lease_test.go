package engine

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/catlg"
	"banyanspring/core/codes"
	"banyanspring/core/group"
	"banyanspring/core/lease"
	"banyanspring/core/share"
	"banyanspring/core/stmt"
	"banyanspring/io/pool"
)

// newLeasedEngine returns an engine with one group of an upstream "a", on a clock that
// the test sets.
func newLeasedEngine(now *time.Time) *Engine {
	clock := func() time.Time { return *now }
	en := New(Settings{LeasesRequired: true}, Dependencies{
		Now:   clock,
		Share: func(group.Upstream, catlg.Group) share.Share { return share.Share{Quota: 1, Holders: 1} },
		Pool:  pool.Dependencies{Now: clock},
	}, Dialect{}, catlg.NewKeeper(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	en.SetView(group.NewView(1, []group.Upstream{{ID: "a", Group: "g"}}), start)
	return en
}

// change_without_step_down: the new leader cannot be written to yet. What is known to be
// unservable before its deadline is refused on arrival, with the reason; reads are served.
func TestWriteThatMustOutwaitItsDeadlineIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	en := newLeasedEngine(&now)
	gr := en.group("g")
	en.AdoptLease("g", lease.Evidence{Leader: "a", Term: 2, ConfirmedAt: now, WritesFrom: now.Add(900 * time.Millisecond)})
	ex := &execution{en: en, gr: gr, rq: &request{session: &session{}, st: stmt.Statement{Kind: stmt.Write}, deadline: now.Add(800 * time.Millisecond)}}
	_, ref := ex.awaitLeader(true)
	require.NotNil(t, ref)
	require.Equal(t, codes.NoPrimary, ref.Code)
	require.True(t, ref.NotRun())
	require.Equal(t, "leader a of term 2 may be written to in 900 ms", ref.Detail)
	up, ref := ex.awaitLeader(false)
	require.Nil(t, ref)
	require.Equal(t, "a", up.id())
}

func TestObstacleNamesTheLease(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	en := newLeasedEngine(&now)
	gr := en.group("g")
	require.Equal(t, "no leader was found", gr.leaderObstacle(now))
	en.AdoptLease("g", lease.Evidence{Leader: "a", Term: 2, ConfirmedAt: now.Add(-1500 * time.Millisecond)})
	require.Equal(t, "leader a of term 2 was last confirmed 1500 ms ago", gr.leaderObstacle(now))
	gr.recordNotLeader(gr.allMembers()[0], now)
	require.Equal(t, "the leader of term 2 has stopped and no newer one was found", gr.leaderObstacle(now))
}
