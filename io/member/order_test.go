package member

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"banyanspring/core/codes"
	"banyanspring/core/group"
	"banyanspring/io/pool"
)

// newCutOffMember returns a member that reaches other members but no upstream.
func newCutOffMember(t *testing.T) *testMember {
	t.Helper()
	tm := newTestMember()
	tm.deps.Now = time.Now
	tm.deps.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if strings.HasPrefix(address, "db") {
			return nil, errors.New("no route")
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return tm
}

// addRelay adds a member to the roster that answers orders with the reply.
func (tm *testMember) addRelay(t *testing.T, name string, re orderReply) *orderQuery {
	t.Helper()
	var got orderQuery
	tm.addPeer(t, name, func(rw http.ResponseWriter, rq *http.Request) {
		require.Equal(t, orderPath, rq.URL.Path)
		require.NoError(t, json.NewDecoder(rq.Body).Decode(&got))
		_ = json.NewEncoder(rw).Encode(re)
	})
	return &got
}

// addPeer makes a member that is served by the handler the only other one in the roster.
func (tm *testMember) addPeer(t *testing.T, name string, serve http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	value, err := json.Marshal(entry{Name: name, Address: server.Listener.Addr().String(), Domain: "there"})
	require.NoError(t, err)
	tm.listed++
	tm.roster.replace([]Object{{Name: name, Revision: 5, Value: value}}, tm.listed)
}

// The coordinator may be cut off from a leader that callers still reach through other
// members.
func TestOrderReachesAnUpstreamThroughAnotherMember(t *testing.T) {
	tm := newCutOffMember(t)
	got := tm.addRelay(t, "other", orderReply{Report: pool.Report{Term: 3, LedTerm: 3, Received: at(9)}})
	up := group.Upstream{ID: "db", Address: "db:1", Group: "g", Incarnation: 4}
	or := order{Kind: orderStepDown, Term: 4}
	res := tm.orders.runAnyhow(up, orderTimeout, 0, or)
	require.NoError(t, res.err)
	require.Equal(t, "other", res.via)
	require.Equal(t, pool.Report{Term: 3, LedTerm: 3, Received: at(9)}, res.report)
	require.Equal(t, up, got.Upstream)
	require.Equal(t, or, got.Order)
}

func TestOrderFailsIfNobodyReachesTheUpstream(t *testing.T) {
	tm := newCutOffMember(t)
	tm.addRelay(t, "other", orderReply{Error: "no route either"})
	res := tm.orders.runAnyhow(group.Upstream{ID: "db", Address: "db:1"}, 50*time.Millisecond, 0, order{Kind: orderStatus})
	require.Error(t, res.err)
	require.False(t, res.isOther() || res.isRefused())
}

// An order to unfreeze that is carried out twice could end a later freeze.
func TestOrderToUnfreezeIsNotPassedOn(t *testing.T) {
	tm := newCutOffMember(t)
	for _, body := range []string{
		`{"upstream":{"id":"db"},"order":{"kind":"unfreeze"}}`, `{"order":{"kind":"status"}}`, `{`, `{"order":"` + strings.Repeat("x", maxOrderBytes) + `"}`,
	} {
		rec := httptest.NewRecorder()
		tm.orders.serve(rec, httptest.NewRequest(http.MethodPost, orderPath, strings.NewReader(body)))
		require.Equal(t, http.StatusBadRequest, rec.Code)
	}
}

// A pool that was closed here says nothing of the upstream's address, and one that another upstream
// answers at is not refused.
func TestRefusalsOfTheUpstreamsAddressAreToldApart(t *testing.T) {
	refused := errors.Mark(codes.Refuse(codes.UpstreamUnreached, "refused"), pool.ErrConnectionRefused)
	other := errors.Mark(codes.Refuse(codes.UpstreamReplaced, "other"), pool.ErrOtherUpstream)
	for _, tc := range []struct {
		err                error
		isRefused, isOther bool
	}{
		{err: refused, isRefused: true},
		{err: other, isOther: true},
		{err: codes.Refuse(codes.UpstreamReplaced, "the pool is closed")},
		{err: codes.Refuse(codes.UpstreamUnreached, "timeout")},
		{},
	} {
		res := orderResult{err: tc.err}
		require.Equal(t, tc.isRefused, res.isRefused(), "%v", tc.err)
		require.Equal(t, tc.isOther, res.isOther(), "%v", tc.err)
	}
}

// LOST, another upstream at the address was taken for the end of the one before, also if another member
// found it. It may be the same database under a new ID, with its log, and without an entry while the
// store is away (review/8).
func TestOtherUpstreamAtTheAddressIsNoProofOfAnEnd(t *testing.T) {
	tm := newCutOffMember(t)
	tm.deps.Dial = func(context.Context, string) (net.Conn, error) {
		return nil, errors.Mark(errors.New("other"), pool.ErrOtherUpstream)
	}
	former := group.Upstream{ID: "one", Address: "127.0.0.1:1", Group: "g", Slots: 1, Incarnation: 1}
	list := func(revision uint64, ups ...group.Upstream) {
		tm.updateView(func(group.View) group.View { return group.NewView(revision, ups) })
	}
	list(1, former)
	list(2)
	mo := tm.monitors.get("g", time.Now())
	mo.checkFormer(tm.formers.ofGroup("g")[0])
	other := errors.Mark(codes.Refuse(codes.UpstreamReplaced, "other"), pool.ErrOtherUpstream)
	mo.recordEnded(&leaderChange{replicas: []group.Upstream{former}}, map[string]orderResult{"one": {err: other}})
	require.True(t, tm.formers.mayRun(former))
	require.True(t, orderResult{err: other}.isOther())

	// The one that another member finds there does not refuse connections.
	rec := httptest.NewRecorder()
	tm.orders.serve(rec, httptest.NewRequest(http.MethodPost, orderPath, strings.NewReader(
		`{"upstream":{"id":"one","address":"127.0.0.1:1","group":"g","slots":1},"order":{"kind":"status"},"timeout_ms":300}`)))
	require.NotContains(t, rec.Body.String(), `"refused":true`)

	// Once its entry is read, it is compared itself.
	list(3, group.Upstream{ID: "two", Address: "127.0.0.1:1", Group: "g", Slots: 1})
	require.False(t, tm.formers.mayRun(former))
}

// LOST, a replica that had crashed, and held writes that no other one had, counted as ended since it
// refused connections, and came back with its log.
func TestRefusedConnectionIsNoProofThatACrashedUpstreamHasEnded(t *testing.T) {
	tm := newCutOffMember(t)
	tm.settings.DrainBound = 7 * time.Second
	now := time.Now()
	tm.deps.Now = func() time.Time { return now }
	dialOthers := tm.deps.Dial
	tm.deps.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if address == "127.0.0.1:1" || address == "127.0.0.1:2" {
			return nil, syscall.ECONNREFUSED
		}
		return dialOthers(ctx, address)
	}
	tm.addRelay(t, "other", orderReply{Error: "refused", IsRefused: true})
	crashed := group.Upstream{ID: "crashed", Address: "127.0.0.1:1", Group: "g", Slots: 1, Incarnation: 1}
	left := group.Upstream{ID: "left", Address: "127.0.0.1:2", Group: "g", Slots: 1, Incarnation: 1, Leaving: true}
	list := func(revision uint64, ups ...group.Upstream) {
		tm.updateView(func(group.View) group.View { return group.NewView(revision, ups) })
	}
	list(1, crashed, left)
	now = now.Add(7 * time.Second)
	list(2)
	mo := tm.monitors.get("g", now)
	check := func() {
		for _, fr := range tm.formers.ofGroup("g") {
			mo.checkFormer(fr)
		}
	}
	check()
	require.True(t, tm.formers.mayRun(crashed))
	require.True(t, tm.formers.mayRun(left), "its drain may not be over")
	now = now.Add(time.Millisecond)
	check()
	require.True(t, tm.formers.mayRun(crashed))
	require.False(t, tm.formers.mayRun(left), "it has left as announced")
}

func TestRelaysAreTheUpstreamsNeighboursFirst(t *testing.T) {
	tm := newTestMember()
	tm.list("there", "a", "b", "c")
	names := func() []string {
		var out []string
		for _, en := range tm.roster.relays("there") {
			out = append(out, en.Name)
		}
		return out
	}
	require.Equal(t, []string{"a", "b", "c"}, names())
	tm.list("there", strings.Split("abcdefghijklmnop", "")...)
	require.Len(t, names(), maxDomainRelays)
}

// A coordinator that has just been cut off still holds the others' opinions of before.
func TestListingIsConfirmedOnlyByWhatIsHeardSince(t *testing.T) {
	tm := newTestMember()
	tm.list("there", "a", "b")
	mo := tm.monitors.get("g", tm.now)
	for _, name := range []string{"a", "b"} {
		tm.opinions.add(wireOpinion{From: name, Group: "g", Leader: "one"}, tm.now)
	}
	require.True(t, mo.hasHeardMajority(tm.now))
	require.False(t, mo.hasHeardMajority(tm.now.Add(time.Millisecond)))
	tm.newerListingAt.advance(tm.now)
	require.False(t, mo.hasHeardMajority(tm.now))
}
