package member

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/catlg"
)

func memberObject(name string, revision uint64) Object {
	return Object{Name: name, Revision: revision, Value: fmt.Appendf(nil, `{"name":%q,"domain":"there"}`, name)}
}

func (tm *testMember) names() map[string]uint64 {
	out := make(map[string]uint64)
	for name, kn := range tm.roster.members {
		out[name] = kn.token
	}
	return out
}

// rolling_restart: a fleet restarts one after the other. A member's list follows another
// one's, and each exchange carries only what has changed.
func TestMembersFollowARollingRestartByChanges(t *testing.T) {
	const fleet = 195
	source, asker := newTestMember(), newTestMember()
	var objs []Object
	for num := range fleet {
		objs = append(objs, memberObject(fmt.Sprint("m", num), uint64(num+1)))
	}
	source.roster.replace(objs, fleet)
	exchange := func() int {
		re := source.makeReply(exchangeQuery{Members: asker.roster.knownRevision()}, source.now)
		raw, err := json.Marshal(re.Members)
		require.NoError(t, err)
		if re.Members != nil {
			asker.roster.apply(*re.Members)
		}
		require.Equal(t, source.names(), asker.names())
		return len(raw)
	}
	whole := exchange()
	revision := uint64(fleet)
	for num := range fleet {
		name := fmt.Sprint("m", num)
		source.roster.mu.Lock()
		revision++
		source.roster.removeAt(name, revision)
		source.roster.listRevision = revision
		source.roster.mu.Unlock()
		require.Less(t, exchange(), whole/50)
		source.roster.mu.Lock()
		revision++
		source.roster.put(memberObject(name, revision))
		source.roster.listRevision = revision
		source.roster.mu.Unlock()
		require.Less(t, exchange(), whole/50)
	}
	// The store's revision grows with each heartbeat of an upstream: nothing to send.
	source.roster.listRevision += 100
	require.Less(t, exchange(), whole/50)
}

func TestMemberThatLacksOldRemovalsGetsTheWholeList(t *testing.T) {
	source, late := newTestMember(), newTestMember()
	source.roster.replace([]Object{memberObject("a", 1), memberObject("b", 2)}, 10)
	late.roster.replace([]Object{memberObject("a", 1), memberObject("c", 3)}, 5)
	re := source.makeReply(exchangeQuery{Members: 5}, source.now)
	require.True(t, re.Members.IsWhole)
	late.roster.apply(*re.Members)
	require.Equal(t, source.names(), late.names())
}

// An event of an older version of the own object may arrive after a newer one was
// written. The token of the newer one stays.
func TestOlderEventDoesNotTakeTheToken(t *testing.T) {
	tm := newTestMember()
	own := func(revision uint64, requests int) Object {
		en := tm.roster.self
		en.TokenRequests = requests
		raw, err := json.Marshal(en)
		require.NoError(t, err)
		return Object{Name: en.Name, Revision: revision, Value: raw}
	}
	tm.roster.self.TokenRequests = 1
	tm.roster.isWritten, tm.roster.revision = true, 9
	tm.roster.put(own(9, 1))
	tm.roster.put(own(7, 0))
	token, ok := tm.roster.Token()
	require.True(t, ok)
	require.Equal(t, uint64(9), token)
}

// A coordinator is killed while the store is away and starts again at once: its object is
// listed, but it has not joined, has no token and can replace no leader.
func TestMemberThatHasNotJoinedIsPassedOver(t *testing.T) {
	tm := newTestMember()
	tm.list("there", "a")
	tm.roster.isWritten, tm.roster.hasJoined, tm.roster.revision = true, true, 5
	tm.roster.members["self"].token = 200
	require.False(t, tm.roster.isCoordinator(), "a is first in rank")
	tm.roster.recordContact("a", false, tm.now)
	require.True(t, tm.roster.isCoordinator())
	tm.roster.recordContact("a", true, tm.now)
	require.False(t, tm.roster.isCoordinator())
	tm.roster.recordContact("a", false, tm.now)
	tm.roster.isWritten = false
	require.True(t, tm.roster.isCoordinator(), "a newer token is requested")
	tm.roster.hasJoined = false
	require.False(t, tm.roster.isCoordinator(), "this member has not joined either")
}

// big_config: a configuration of many routes is not part of an exchange, which must be
// answered in time; a change of one route is.
func TestLargePatchIsNotPartOfAnExchange(t *testing.T) {
	const routes = 1400
	source, asker := newTestMember(), newTestMember()
	var targets []catlg.Target
	for num := range routes {
		targets = append(targets, catlg.Target{Database: fmt.Sprintf("db%x", num*7919), Group: fmt.Sprint("g", num%20)})
	}
	source.adoptCatalog(catlg.New(3, time.Second, targets, nil), fromStore)
	re := source.makeReply(exchangeQuery{}, source.now)
	require.Equal(t, uint64(3), re.CatalogVersion)
	require.Empty(t, re.CatalogPatch)
	raw, err := source.feed.patch(source.catalog.Current(), 0)
	require.NoError(t, err)
	asker.applyPatch(raw, "source")
	require.Equal(t, source.catalog.Current(), asker.catalog.Current())

	targets[5].Priority = 2
	source.adoptCatalog(catlg.New(4, time.Second, targets, nil), fromStore)
	re = source.makeReply(exchangeQuery{Catalog: 3}, source.now)
	require.NotEmpty(t, re.CatalogPatch)
	require.Less(t, len(re.CatalogPatch), 300)
	asker.applyReply(re, "source", asker.now)
	require.Equal(t, source.catalog.Current(), asker.catalog.Current())
}
