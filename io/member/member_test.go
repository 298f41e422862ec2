package member

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
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

// clocked is a member whose clock the test moves.
type clocked struct {
	*Member
	now time.Time
	// listed is the revision of the list of members.
	listed uint64
}

func newClocked() *clocked {
	cl := &clocked{now: time.Unix(1_000_000, 0), listed: 1000}
	cl.Member = New(Settings{Name: "self", Site: place.Site{Domain: "here"}}, Seams{Now: func() time.Time { return cl.now }},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	return cl
}

// equip makes all known but the members.
func (cl *clocked) equip() {
	cl.isListed.Store(true)
	cl.offerCatalog(catlg.New(1, time.Second, nil, nil))
}

// The pattern cold_start_of_a_whole_fleet: instances that know the upstreams and
// not each other would each take the connections of a fleet of one.
func TestMemberWaitsForTheListOfMembers(t *testing.T) {
	cl := newClocked()
	cl.equip()
	cl.now = cl.now.Add(membersPatience - time.Millisecond)
	cl.noteReady()
	require.False(t, cl.IsReady())
	cl.roster.replace(nil, 5)
	cl.noteReady()
	require.True(t, cl.IsReady())
}

func TestMemberServesWithoutTheListOfMembersInTheEnd(t *testing.T) {
	cl := newClocked()
	cl.now = cl.now.Add(time.Hour)
	cl.equip()
	require.False(t, cl.IsReady())
	cl.now = cl.now.Add(membersPatience)
	cl.noteReady()
	require.True(t, cl.IsReady())
}

// list makes members known: the first is this one, the others are of the domain
// given.
func (cl *clocked) list(domain string, names ...string) {
	objs := []Object{{Name: "self", Revision: 1, Value: []byte(`{"name":"self","domain":"here"}`)}}
	for _, name := range names {
		value := fmt.Sprintf(`{"name":%q,"domain":%q}`, name, domain)
		objs = append(objs, Object{Name: name, Revision: uint64(name[0]), Value: []byte(value)})
	}
	cl.listed++
	cl.roster.replace(objs, cl.listed)
}

// The pattern first_of_a_domain_leaves: the others of the domain were never heard
// by the first of all, since they exchange with the one that has left.
func TestMembersAreKeptWhenTheFirstOfTheirDomainLeaves(t *testing.T) {
	cl := newClocked()
	cl.list("there", "first", "second", "third")
	require.Empty(t, cl.roster.silent(cl.now))
	for range 30 {
		cl.now = cl.now.Add(silentFor / 5)
		cl.roster.heard("first", cl.now)
		require.Empty(t, cl.roster.silent(cl.now))
	}
	cl.list("there", "second", "third")
	cl.now = cl.now.Add(silentFor)
	require.Empty(t, cl.roster.silent(cl.now))
	cl.now = cl.now.Add(silentFor + time.Second)
	require.Len(t, cl.roster.silent(cl.now), 2)
}

// The pattern heartbeats_of_all_upstreams: entries that say the same again must
// not have the listing sent to every member.
func TestListingIsSentWhenItChanged(t *testing.T) {
	cl := newClocked()
	upstreams := []group.Upstream{{ID: "a", Group: "g"}, {ID: "b", Group: "g"}}
	set := func(vi group.View) { cl.setView(func(group.View) group.View { return vi }) }
	set(group.NewView(10, upstreams))
	require.NotNil(t, cl.reply(question{}, cl.now).Listing)
	seen := question{Listing: cl.listing().Changed}
	for revision := uint64(11); revision < 15; revision++ {
		cl.setView(func(vi group.View) group.View {
			return vi.With(revision, []group.Change{{Upstream: group.Upstream{ID: "a", Group: "g", Revision: revision}}})
		})
		require.Nil(t, cl.reply(seen, cl.now).Listing)
	}
	require.Equal(t, uint64(14), cl.listing().Revision)
	cl.setView(func(vi group.View) group.View {
		return vi.With(16, []group.Change{{Upstream: group.Upstream{ID: "a", Group: "g", Leaving: true}}})
	})
	re := cl.reply(seen, cl.now)
	require.Equal(t, uint64(16), re.Listing.Revision)

	// A peer that was told so does not go back to what it knew before.
	late := newClocked()
	late.learn(re, late.now)
	late.learn(reply{Listing: &listing{Revision: 10, Upstreams: upstreams}}, late.now)
	got, _ := late.listing().GetUpstreamByID("a")
	require.True(t, got.Leaving)
}

func TestSharesAreWorkedOutOnceForTheMembers(t *testing.T) {
	var sh shares
	members := []share.Member{{Name: "a"}, {Name: "b"}}
	count := 0
	get := func(of shareOf, members []share.Member) {
		sh.get(of, members, func() share.Share { count++; return share.Share{} })
	}
	for range 3 {
		get(shareOf{upstream: "one"}, members)
		get(shareOf{upstream: "two"}, members)
	}
	require.Equal(t, 2, count)
	get(shareOf{upstream: "one", connections: 5}, members)
	require.Equal(t, 3, count)
	get(shareOf{upstream: "one"}, slices.Clone(members))
	require.Equal(t, 4, count)
	get(shareOf{upstream: "one"}, nil)
	require.Equal(t, 5, count)
}

// The rules of spec/handover.pml that a guard keeps.
func TestChangeWaitsForWhatIsUnderWay(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fe := fence{spent: 5, unsureUntil: now.Add(time.Second)}
	// A call with the token was not answered.
	require.ErrorIs(t, fe.mayChange(5, elect.Leaving, now), errTokenSpent)
	require.NoError(t, fe.mayChange(6, elect.Leaving, now))
	// An order to receive again was not answered.
	require.ErrorIs(t, fe.mayChange(6, elect.Crowded, now), errUnsureOrder)
	require.NoError(t, fe.mayChange(6, elect.Crowded, now.Add(time.Second)))
	// A dead leader acknowledges nothing more.
	require.NoError(t, fe.mayChange(5, elect.Dead, now))

	frozen := map[string]answer{"a": {report: pool.Report{Frozen: 3}}, "b": {}}
	require.ErrorIs(t, fe.mayUse(frozen, elect.Leaving), errForeignFreeze)
	require.NoError(t, fe.mayUse(frozen, elect.Dead))
	require.NoError(t, fe.mayUse(map[string]answer{"a": {}, "b": {err: errBehind}}, elect.Leaving))
	// A change whose call was not answered is carried on as it was begun.
	fe.pending = "b"
	require.NoError(t, fe.mayChange(5, elect.Unfinished, now))
	require.NoError(t, fe.mayUse(frozen, elect.Unfinished))
}

// A configuration that is not there yet was asked for 150 times a second by each
// member, since the store did answer.
func TestStoreIsNotAskedAgainAtOnce(t *testing.T) {
	fo := &follower{pause: time.Second}
	require.Equal(t, time.Second, fo.pauseAfter(nil))
	require.Equal(t, retryPause, fo.pauseAfter(ErrObjectNotExist{}))
	require.Equal(t, retryPause, fo.pauseAfter(ErrHistoryGone{}))
	require.Equal(t, storePoll, fo.pauseAfter(errors.New("no answer")))
}

// The pattern word_that_is_never_fresh: members whose source hears from the first of
// all asked the store themselves, since its word was too old when it reached them.
func TestWordOfTheFirstReachesAllWhileItIsFresh(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second} {
		oldest := 2*bound*confirmShare/100 + exchangeAcross + exchangeEvery
		require.Less(t, oldest, bound*freshShare/100)
	}
}
