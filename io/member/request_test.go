package member

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/catlg"
	"banyanspring/core/group"
	"banyanspring/core/place"
)

// Guards against keys that nobody knows and that cause an exchange each, and against
// waiting for a configuration that will not come.
func TestConfigurationIsRequestedOnlyIfOneMayCome(t *testing.T) {
	tm := newTestMember()
	connected := tm.now
	require.False(t, tm.requestCatalog(connected), "there is no source")
	tm.list("here", "first")
	require.True(t, tm.requestCatalog(connected))
	require.True(t, tm.requestCatalog(connected))
	require.Len(t, tm.peers.wanted, 1)
	tm.catalogAt.advance(connected)
	require.True(t, tm.requestCatalog(connected), "confirmed when the caller connected")
	tm.catalogAt.advance(connected.Add(time.Millisecond))
	require.False(t, tm.requestCatalog(connected))
}

func TestWantedExchangeFollowsSoonButNotAtOnce(t *testing.T) {
	tm := newTestMember()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ps := &peers{me: tm.Member, wanted: make(chan struct{}, 1)}
		took := func(wait time.Duration) time.Duration {
			began := time.Now()
			require.True(t, ps.pause(ctx, wait))
			return time.Since(began)
		}
		require.Equal(t, crossRegionInterval, took(crossRegionInterval))
		require.Zero(t, took(0))
		ps.wanted <- struct{}{}
		require.Equal(t, wantedInterval, took(crossRegionInterval))
		require.Equal(t, crossRegionInterval, took(crossRegionInterval))
		time.AfterFunc(300*time.Millisecond, func() { ps.wanted <- struct{}{} })
		require.Equal(t, 300*time.Millisecond, took(crossRegionInterval))
		cancel()
		require.False(t, ps.pause(ctx, crossRegionInterval))
	})
}

// CONFIG, two members that the store turned away and that were each other's source kept the former
// configuration, although others asked them that had the new one (review/10).
func TestMemberTakesNewerDataFromOneThatAsksIt(t *testing.T) {
	next := newTestMember()
	next.adoptCatalog(catlg.New(9, time.Second, nil, nil), fromStore)
	next.listUpstreams(12, group.Upstream{ID: "one", Address: "127.0.0.1:1"})
	next.settings.Name = "next"
	tm := newCutOffMember(t)
	tm.addPeer(t, "next", next.peers.handle)
	tm.adoptCatalog(catlg.New(5, time.Second, nil, nil), fromStore)
	ask := func() {
		raw, err := json.Marshal(next.makeQuery(next.now))
		require.NoError(t, err)
		rec := httptest.NewRecorder()
		tm.peers.handle(rec, httptest.NewRequest(http.MethodPost, exchangePath, bytes.NewReader(raw)))
		require.Equal(t, http.StatusOK, rec.Code)
	}
	hasAll := func() bool { return tm.catalog.Current().Version == 9 && tm.listing().ContentRevision == 12 }

	tm.catalogAt.advance(time.Now())
	tm.listingAt.advance(time.Now())
	ask()
	require.Never(t, hasAll, 100*time.Millisecond, 10*time.Millisecond, "the store tells it soon")
	tm.catalogAt.reset()
	ask()
	require.Eventually(t, hasAll, 10*time.Second, time.Millisecond)
}

// Guards against refusals between two confirmations while the store answers, if RevokeBound
// is well below ApplyBound.
func TestConfigurationIsConfirmedWithinTheRevokeBound(t *testing.T) {
	store := &catalogStore{version: 7, changedAt: 40}
	const bound = time.Second
	me := New(Settings{Name: "self", Site: place.Site{Domain: "here"}, ApplyBound: 5 * time.Second, RevokeBound: bound},
		Dependencies{Now: time.Now, Store: Store{LoadCatalog: store.load, AwaitCatalog: store.await}},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	synctest.Test(t, func(t *testing.T) {
		me.startedAt = time.Now()
		go me.watchCatalog(t.Context())
		time.Sleep(bound)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(me.catalogAt.load()), bound)
		}
	})
	require.Equal(t, 5*time.Second, Settings{ApplyBound: 5 * time.Second}.confirmBound())
	require.Equal(t, 5*time.Second, Settings{ApplyBound: 5 * time.Second, RevokeBound: time.Minute}.confirmBound())
}

// An instance never goes back to keys of an older configuration.
func TestOlderKeysDoNotReturn(t *testing.T) {
	tm := newTestMember()
	with := func(version uint64, key byte) *catlg.Catalog {
		return catlg.New(version, time.Second, nil, nil).
			WithWorkspaces(catlg.NewWorkspaces([]catlg.Workspace{{Name: "ws"}}, map[catlg.KeyHash]string{{key}: "ws"}))
	}
	tm.adoptCatalog(with(5, 2), fromStore)
	raw, err := encodePatch(with(4, 1).PatchFrom(nil))
	require.NoError(t, err)
	tm.applyPatch(raw, "source")
	_, ok := tm.catalog.Current().GetWorkspaceByKey(catlg.KeyHash{1})
	require.False(t, ok)
	_, ok = tm.catalog.Current().GetWorkspaceByKey(catlg.KeyHash{2})
	require.True(t, ok)
}
