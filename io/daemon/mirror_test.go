package daemon

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/place"
	"banyanspring/core/posn"
	"banyanspring/io/store"
)

// A daemon that becomes the delegate, which reads the platform for its failure
// domain, must not ignore the lists that it reads although the last list from the
// earlier delegate had a higher version.
func TestPutListReplacesHigherVersionFromEarlierDelegate(t *testing.T) {
	mi := newMirror(time.Unix(1, 0))
	mi.SetReadsStore(store.KindInstanceList, true)
	mi.Put(store.Object{Kind: store.KindInstanceList, Name: store.KindInstanceList, Version: 1 << 62, Value: []byte("old")})
	mi.PutList([]byte("new"))
	objs, readsStore := mi.Watch(t.Context(), store.KindInstanceList, 1<<62, time.Hour)
	require.True(t, readsStore)
	require.Equal(t, "new", string(objs[0].Value))
}

func TestMirrorIgnoresOlderVersions(t *testing.T) {
	mi := newMirror(time.Unix(1, 0))
	mi.SetReadsStore(store.KindDocument, true)
	mi.Put(store.Object{Kind: store.KindDocument, Name: "current", Version: 5, Value: []byte("5")})
	mi.Put(store.Object{Kind: store.KindDocument, Name: "current", Version: 4, Value: []byte("4")})
	objs, _ := mi.Watch(t.Context(), store.KindDocument, 0, time.Hour)
	require.Equal(t, uint64(5), objs[0].Version)
	_, readsStore := mi.Watch(t.Context(), store.KindGroup, 0, time.Hour)
	require.False(t, readsStore)
}

func TestMembershipMergesSuspectsAndLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	ms := newMembership(place.Member{ID: "a", Domain: "d"}, slog.New(slog.DiscardHandler))
	ms.SetListed([]store.Instance{{ID: "a"}, {ID: "b", Domain: "d"}, {ID: "c", Domain: "d"}})
	require.Len(t, ms.View(now).Members(), 3)
	ms.Suspect("b", now)
	ms.SetLeaving("c", now)
	mem, ok := ms.View(now).Home("u", place.Site{Domain: "d"})
	require.True(t, ok)
	require.Equal(t, "a", mem.ID)
	later := now.Add(suspectDuration)
	found, _ := ms.View(later).GetMemberByID("b")
	require.False(t, found.Leaving)
	found, _ = ms.View(later).GetMemberByID("c")
	require.True(t, found.Leaving)
}

func TestGroupTermsNeverDecrease(t *testing.T) {
	gc := newGroupCache()
	stored := []byte(`{"name":"g","term_number":1,"primary":"a","members":[{"name":"a"},{"name":"b"}]}`)
	require.NoError(t, gc.update(store.Object{Name: "g", Version: 3, Value: stored}))
	require.True(t, gc.learnTerm("g", posn.Term{Number: 2, Primary: "b"}))
	require.False(t, gc.learnTerm("g", posn.Term{Number: 1, Primary: "b"}))
	require.False(t, gc.learnTerm("g", posn.Term{Number: 9, Primary: "stranger"}))
	require.NoError(t, gc.update(store.Object{Name: "g", Version: 4, Value: stored}))
	gr, ok := gc.Get("g")
	require.True(t, ok)
	require.Equal(t, "b", gr.Primary)
	require.NoError(t, gc.update(store.Object{Name: "g", Version: 2, Value: []byte(`{"name":"g","term_number":7,"primary":"a"}`)}))
	gr, _ = gc.Get("g")
	require.Equal(t, uint64(2), gr.TermNumber)
}
