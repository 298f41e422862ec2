package member

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"banyanspring/core/catlg"
	"banyanspring/core/elect"
	"banyanspring/core/group"
	"banyanspring/core/place"
	"banyanspring/core/share"
	"banyanspring/io/pool"
)

// testMember is a member with a manual clock.
type testMember struct {
	*Member
	now time.Time
	// listed is the revision of the list of members.
	listed uint64
}

func newTestMember() *testMember {
	tm := &testMember{now: time.Unix(1_000_000, 0), listed: 1000}
	tm.Member = New(Settings{Name: "self", Site: place.Site{Domain: "here"}}, Dependencies{Now: func() time.Time { return tm.now }},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	return tm
}

// pass lets time pass in which the store confirms the listing.
func (tm *testMember) pass(du time.Duration) {
	const step = 500 * time.Millisecond
	tm.recordListingConfirmed(tm.now)
	for end := tm.now.Add(du); tm.now.Before(end); {
		tm.now = tm.now.Add(min(step, end.Sub(tm.now)))
		tm.recordListingConfirmed(tm.now)
	}
}

// loadAllButMembers makes the listing and the configuration available.
func (tm *testMember) loadAllButMembers() {
	tm.hasListing.Store(true)
	tm.adoptCatalog(catlg.New(1, time.Second, nil, nil), fromStore)
}

// Guards against instances that serve before they have the list of members: when a
// whole fleet starts at once, each would open as many connections as if it were the
// only one.
func TestMemberWaitsForTheListOfMembers(t *testing.T) {
	tm := newTestMember()
	tm.loadAllButMembers()
	tm.now = tm.now.Add(startupMembersWait - time.Millisecond)
	tm.checkReady()
	require.False(t, tm.IsReady())
	tm.roster.replace(nil, 5)
	tm.checkReady()
	require.True(t, tm.IsReady())
}

func TestMemberServesWithoutTheListOfMembersAfterTheTimeout(t *testing.T) {
	tm := newTestMember()
	tm.now = tm.now.Add(time.Hour)
	tm.loadAllButMembers()
	require.False(t, tm.IsReady())
	tm.now = tm.now.Add(startupMembersWait)
	tm.checkReady()
	require.True(t, tm.IsReady())
}

// list applies a list of members: this one and the named ones of the given domain.
func (tm *testMember) list(domain string, names ...string) {
	objs := []Object{{Name: "self", Revision: 1, Value: []byte(`{"name":"self","domain":"here"}`)}}
	for _, name := range names {
		value := fmt.Sprintf(`{"name":%q,"domain":%q}`, name, domain)
		objs = append(objs, Object{Name: name, Revision: uint64(name[0]), Value: []byte(value)})
	}
	tm.listed++
	tm.roster.replace(objs, tm.listed)
}

// Guards against removing the members of a failure domain when its first member leaves:
// the first member of all has never heard from them, since they exchanged only with the
// one that has left.
func TestMembersAreKeptWhenTheFirstOfTheirDomainLeaves(t *testing.T) {
	tm := newTestMember()
	tm.list("there", "first", "second", "third")
	require.Empty(t, tm.roster.silentMembers(tm.now))
	for range 30 {
		tm.now = tm.now.Add(maxSilence / 5)
		tm.roster.recordContact("first", true, tm.now)
		require.Empty(t, tm.roster.silentMembers(tm.now))
	}
	tm.list("there", "second", "third")
	tm.now = tm.now.Add(maxSilence)
	require.Empty(t, tm.roster.silentMembers(tm.now))
	tm.now = tm.now.Add(maxSilence + time.Second)
	require.Len(t, tm.roster.silentMembers(tm.now), 2)
}

// Guards against sending the listing to every member on each heartbeat of an
// upstream, which writes its entry again without a change.
func TestListingIsSentOnlyWhenItChanged(t *testing.T) {
	tm := newTestMember()
	upstreams := []group.Upstream{{ID: "a", Group: "g", Address: "10.0.0.1:1", Slots: 1}, {ID: "b", Group: "g", Address: "10.0.0.1:2", Slots: 1}}
	set := func(vi group.View) { tm.updateView(func(group.View) group.View { return vi }) }
	set(group.NewView(10, upstreams))
	require.NotNil(t, tm.makeReply(exchangeQuery{}, tm.now).Listing)
	seen := exchangeQuery{Listing: tm.listing().ContentRevision}
	for revision := uint64(11); revision < 15; revision++ {
		tm.updateView(func(vi group.View) group.View {
			return vi.With(revision, []group.Change{{Upstream: group.Upstream{ID: "a", Group: "g", Address: "10.0.0.1:1", Slots: 1, Revision: revision}}})
		})
		require.Nil(t, tm.makeReply(seen, tm.now).Listing)
	}
	require.Equal(t, uint64(14), tm.listing().Revision)
	tm.updateView(func(vi group.View) group.View {
		return vi.With(16, []group.Change{{Upstream: group.Upstream{ID: "a", Group: "g", Address: "10.0.0.1:1", Slots: 1, Leaving: true}}})
	})
	re := tm.makeReply(seen, tm.now)
	require.Equal(t, uint64(16), re.Listing.Revision)

	// A member with the newer listing must not go back to an older one.
	late := newTestMember()
	late.applyReply(re, "source", late.now)
	late.applyReply(exchangeReply{Listing: &listingSnapshot{Revision: 10, Upstreams: upstreams}}, "source", late.now)
	got, _ := late.listing().GetUpstreamByID("a")
	require.True(t, got.Leaving)
}

func TestEntriesSkippedByAWatchAreLogged(t *testing.T) {
	tm := newTestMember()
	var lines bytes.Buffer
	tm.log = slog.New(slog.NewTextHandler(&lines, nil))
	good := group.Upstream{ID: "i-a", Group: "orders"}
	tm.deps.Store.AwaitUpstreams = func(context.Context, uint64, time.Duration) ([]group.Change, uint64, error) {
		odd := group.Change{Upstream: group.Upstream{ID: "i-odd"}, IsRemoved: true, Err: errors.New("entry i-odd is odd")}
		return []group.Change{odd, {Upstream: good}, {Upstream: group.Upstream{ID: "i-gone"}, IsRemoved: true}}, 7, nil
	}
	next, err := tm.awaitListing(context.Background(), 1)
	require.NoError(t, err)
	require.EqualValues(t, 7, next)
	require.Equal(t, []group.Upstream{good}, tm.listing().All())
	require.Equal(t, 1, strings.Count(lines.String(), "entry_skipped"))
	require.Contains(t, lines.String(), "entry i-odd is odd")
}

func TestSharesAreCachedPerListOfMembers(t *testing.T) {
	var sh shares
	members := []share.Member{{Name: "a"}, {Name: "b"}}
	count := 0
	get := func(ke shareKey, members []share.Member) {
		sh.get(ke, members, func() share.Share { count++; return share.Share{} })
	}
	for range 3 {
		get(shareKey{upstream: "one"}, members)
		get(shareKey{upstream: "two"}, members)
	}
	require.Equal(t, 2, count)
	get(shareKey{upstream: "one", connections: 5}, members)
	require.Equal(t, 3, count)
	get(shareKey{upstream: "one"}, slices.Clone(members))
	require.Equal(t, 4, count)
	get(shareKey{upstream: "one"}, nil)
	require.Equal(t, 5, count)
}

// Checks the rules of spec/handover.pml that a monitor follows.
func TestChangeWaitsForUnansweredCalls(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ap := appointments{spentToken: 5, lateCallUntil: now.Add(time.Second), lateUnfreezeUntil: now.Add(time.Second)}
	// A call with token 5 was not answered and may still be carried out.
	require.ErrorIs(t, ap.checkToken(5, elect.Leaving, now), errTokenSpent)
	require.ErrorIs(t, ap.checkToken(5, elect.Dead, now), errTokenSpent)
	require.NoError(t, ap.checkToken(6, elect.Leaving, now))
	require.ErrorIs(t, ap.checkToken(5, elect.Leaving, now.Add(time.Second)), errTokenSpent)
	require.NoError(t, ap.checkToken(5, elect.Dead, now.Add(time.Second)))
	// An order to unfreeze was not answered and may still be carried out.
	for _, reason := range []elect.Reason{elect.Crowded, elect.Leaving, elect.Dead} {
		require.ErrorIs(t, ap.checkFreeze(reason, false, now), errUnconfirmedUnfreeze)
		require.NoError(t, ap.checkFreeze(reason, false, now.Add(time.Second)))
	}

	later := now.Add(time.Second)
	require.ErrorIs(t, ap.checkFreeze(elect.Leaving, true, later), errForeignFreeze)
	require.NoError(t, ap.checkFreeze(elect.Dead, true, later))
	require.NoError(t, ap.checkFreeze(elect.Leaving, false, later))
	// A change whose appointment was not answered is continued.
	ap.pendingCandidate = "b"
	require.NoError(t, ap.checkToken(5, elect.Unfinished, now))
	require.NoError(t, ap.checkFreeze(elect.Unfinished, true, later))
}

// LOST, the only holder of writes ended while its change waited for another coordinator's freeze,
// since the silent leader was to be replaced as one that is leaving.
func TestLeaderThatDoesNotAnswerCountsAsDeadBesideAForeignFreeze(t *testing.T) {
	tm := newTestMember()
	mo := tm.monitors.get("g", tm.now)
	for _, reason := range []elect.Reason{elect.Leaving, elect.Unreached, elect.Stalled, elect.Dead} {
		ch := &leaderChange{
			reason: reason, isSilent: true, leaderResult: orderResult{err: errNoRelay},
			results: map[string]orderResult{"a": {report: pool.Report{FrozenTerm: 3}}},
		}
		require.NoError(t, mo.checkFreeze(ch))
		ch.leaderResult.err = nil
		require.Equal(t, reason != elect.Dead, mo.checkFreeze(ch) != nil)
		ch.leaderResult.err, ch.isSilent = errNoRelay, false
		require.Equal(t, reason != elect.Dead, mo.checkFreeze(ch) != nil)
	}
}

// A replica counts as frozen by another coordinator unless this member has ordered it.
func TestForeignFreezeIsOneThatThisMemberHasNotOrdered(t *testing.T) {
	tm := newTestMember()
	mo := tm.monitors.get("g", tm.now)
	results := map[string]orderResult{"a": {report: pool.Report{FrozenTerm: 3}}, "b": {}, "c": {err: errNoRelay}}
	require.True(t, mo.hasForeignFreeze(results, time.Time{}))
	mo.recordFreeze([]group.Upstream{{ID: "a"}})
	require.False(t, mo.hasForeignFreeze(results, time.Time{}))
	require.True(t, mo.hasForeignFreeze(results, tm.now.Add(time.Second)))
	require.False(t, mo.hasForeignFreeze(map[string]orderResult{"a": {}, "b": {err: errNoRelay}}, time.Time{}))
}

// Guards against polling without a pause: while there was no configuration, each
// member asked for it 150 times a second, since the store did answer.
func TestStoreIsNotPolledWithoutPause(t *testing.T) {
	sw := &storeWatcher{pause: time.Second}
	require.Equal(t, time.Second, sw.pauseAfter(nil))
	require.Equal(t, retryPause, sw.pauseAfter(ErrObjectNotExist{}))
	require.Equal(t, retryPause, sw.pauseAfter(ErrHistoryGone{}))
	require.Equal(t, storePoll, sw.pauseAfter(errors.New("no answer")))
}

// Guards against members that read the store themselves because the coordinator's
// state, which reaches them through their source, is no longer fresh on arrival.
func TestCoordinatorStateIsFreshWhenItReachesAllMembers(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second} {
		oldest := 2*bound*watchPercent/100 + crossRegionInterval + exchangeInterval
		require.Less(t, oldest, bound*freshPercent/100)
		// The first of a failure domain exchanges with the coordinator itself.
		require.Less(t, oldest-exchangeInterval, bound*firstFreshPercent/100)
	}
}
