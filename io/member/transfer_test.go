package member

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/catlg"
	"banyanspring/core/group"
	"banyanspring/core/place"
	"banyanspring/io/delay"
	"banyanspring/io/stall"
)

// sharedLink is a link whose capacity is divided equally among the transfers under way.
type sharedLink struct {
	bytesPerSecond float64
	active         atomic.Int64
}

// transfer returns once size bytes have passed the link, or with the context's error.
func (sl *sharedLink) transfer(ctx context.Context, size float64) error {
	const step = 20 * time.Millisecond
	sl.active.Add(1)
	defer sl.active.Add(-1)
	for left := size; left > 0; {
		if !delay.Pause(ctx, step) {
			return context.Cause(ctx)
		}
		left -= sl.bytesPerSecond * step.Seconds() / float64(sl.active.Load())
		stall.Progress(ctx)
	}
	return nil
}

// restart_behind_a_region_link: guards against instances that never receive a large
// configuration, because reads of the store that share a link all end at a fixed timeout
// and begin again.
func TestLargeConfigurationIsReadOverASharedLink(t *testing.T) {
	const (
		members = 44
		size    = 1e6
	)
	link := &sharedLink{bytesPerSecond: 60e6 / 8}
	store := Store{
		LoadCatalog: func(ctx context.Context) (*catlg.Catalog, uint64, error) {
			err := link.transfer(ctx, size)
			return catlg.New(7, time.Second, nil, nil), 1, err
		},
		AwaitCatalog: func(_ context.Context, since uint64, _ time.Duration) (*catlg.Catalog, uint64, error) {
			return nil, since, nil
		},
	}
	// Metrics report in a goroutine that never ends, so members are made outside the bubble.
	var fleet []*Member
	for range members {
		fleet = append(fleet, New(Settings{Name: "self", Site: place.Site{Domain: "here"}, ApplyBound: 5 * time.Second},
			Dependencies{Now: time.Now, Store: store}, slog.New(slog.NewTextHandler(io.Discard, nil))))
	}
	synctest.Test(t, func(t *testing.T) {
		for _, me := range fleet {
			me.startedAt = time.Now()
			go me.watchCatalog(t.Context())
		}
		whole := time.Duration(members * size / link.bytesPerSecond * float64(time.Second))
		time.Sleep(whole + 2*time.Second)
		for _, me := range fleet {
			require.Equal(t, uint64(7), me.catalog.Current().Version)
		}
	})
}

// Guards against instances that keep an older configuration, because they take over the
// confirmation of a newer one that they have not received and so do not read the store.
func TestConfirmationIsNotTakenOverWithoutTheConfiguration(t *testing.T) {
	tm := newTestMember()
	tm.adoptCatalog(catlg.New(3, time.Second, nil, nil), fromStore)
	tm.applyReply(exchangeReply{CatalogMs: 10}, "source", tm.now)
	confirmed := tm.catalogAt.load()
	require.Equal(t, tm.now.Add(-10*time.Millisecond).UnixNano(), confirmed.UnixNano())

	tm.now = tm.now.Add(time.Second)
	tm.applyReply(exchangeReply{CatalogVersion: 4, CatalogMs: 10}, "source", tm.now)
	require.Equal(t, confirmed, tm.catalogAt.load())

	tm.adoptCatalog(catlg.New(4, time.Second, nil, nil), "source")
	tm.applyReply(exchangeReply{CatalogMs: 10}, "source", tm.now)
	require.True(t, tm.catalogAt.load().After(confirmed))
}

// catalogStore is a store that holds one configuration and counts the calls for it. It is
// safe for concurrent use.
type catalogStore struct {
	mu sync.Mutex
	// version is the configuration's, and changedAt is its revision.
	version, changedAt uint64
	// oldest is the revision from which changes are known.
	oldest        uint64
	reads, checks int
}

// set replaces the configuration.
func (cs *catalogStore) set(version, changedAt, oldest uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.version, cs.changedAt, cs.oldest = version, changedAt, oldest
}

// calls returns the numbers of reads and checks.
func (cs *catalogStore) calls() (int, int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.reads, cs.checks
}

func (cs *catalogStore) load(context.Context) (*catlg.Catalog, uint64, error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.reads++
	return catlg.New(cs.version, time.Second, nil, nil), cs.changedAt, nil
}

func (cs *catalogStore) await(ctx context.Context, since uint64, wait time.Duration) (*catlg.Catalog, uint64, error) {
	time.Sleep(wait)
	// Each answer is data that arrives, also one that the history is gone.
	stall.Progress(ctx)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.checks++
	if since < cs.oldest {
		return nil, since, ErrHistoryGone{}
	}
	if since < cs.changedAt {
		return catlg.New(cs.version, time.Second, nil, nil), cs.changedAt, nil
	}
	return nil, since, nil
}

// coordinator_lost_with_a_large_configuration: guards against a fleet whose members all
// read a large configuration again and again, each time that it is no longer confirmed,
// although it has not changed.
func TestUnchangedConfigurationIsNotReadAgain(t *testing.T) {
	store := &catalogStore{version: 7, changedAt: 40}
	me := New(Settings{Name: "self", Site: place.Site{Domain: "here"}, ApplyBound: 5 * time.Second},
		Dependencies{Now: time.Now, Store: Store{LoadCatalog: store.load, AwaitCatalog: store.await}},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	synctest.Test(t, func(t *testing.T) {
		me.startedAt = time.Now()
		go me.watchCatalog(t.Context())
		time.Sleep(30 * time.Second)
		require.Equal(t, uint64(7), me.catalog.Current().Version)
		reads, checks := store.calls()
		require.Equal(t, 1, reads)
		require.Greater(t, checks, 5)

		// A change is found, also if the store no longer holds the changes since.
		store.set(9, 80, 0)
		time.Sleep(5 * time.Second)
		require.Equal(t, uint64(9), me.catalog.Current().Version)
		store.set(12, 120, 100)
		time.Sleep(5 * time.Second)
		require.Equal(t, uint64(12), me.catalog.Current().Version)
		reads, _ = store.calls()
		require.Equal(t, 2, reads)
	})
}

// A member that receives the configuration from others checks for changes from the
// revision at which it was confirmed for them.
func TestConfirmedRevisionIsPassedOn(t *testing.T) {
	source, asker := newTestMember(), newTestMember()
	source.adoptCatalog(catlg.New(3, time.Second, nil, nil), fromStore)
	source.catalogSince.advance(55)
	exchange := func() {
		have := asker.catalog.Current().Version
		asker.applyReply(source.makeReply(exchangeQuery{Catalog: have}, source.now), "source", asker.now)
	}
	exchange()
	require.Equal(t, uint64(3), asker.catalog.Current().Version)
	require.Equal(t, uint64(55), asker.catalogSince.load())
	asker.applyReply(exchangeReply{CatalogVersion: 5, CatalogSince: 90}, "source", asker.now)
	require.Equal(t, uint64(55), asker.catalogSince.load(), "version 5 has not been received")
}

// rolling_restart_with_a_large_configuration: guards against instances that read it from
// the store at their start, though their source has it or is reading it.
func TestStartingMemberTakesTheConfigurationFromItsSource(t *testing.T) {
	tm := newTestMember()
	sw := &storeWatcher{me: tm.Member, confirmedAt: &tm.catalogAt, isExpected: tm.feed.isExpected}
	require.True(t, sw.isFresh(tm.now), "the source is not known yet")
	require.False(t, sw.isFresh(tm.now.Add(startupListWait)))

	tm.list("here", "a")
	started := tm.now
	tm.now = started.Add(startupSourceWait - time.Millisecond)
	require.True(t, sw.isFresh(tm.now))
	tm.applyReply(exchangeReply{IsReceiving: true}, "a", tm.now)
	tm.now = started.Add(startupSourceWait)
	require.True(t, sw.isFresh(tm.now), "the source is receiving it")
	tm.recordReceiving()
	tm.now = tm.now.Add(receivingFor - time.Millisecond)
	require.True(t, sw.isFresh(tm.now), "it is arriving here")
	tm.now = tm.now.Add(sourceReceivingFor)
	require.False(t, sw.isFresh(tm.now))
}

// Guards against a failure domain in which nobody reads the store at a start of all,
// because each member waits for the first one.
func TestFirstOfADomainReadsTheStoreAfterItsFirstExchange(t *testing.T) {
	tm := newTestMember()
	sw := &storeWatcher{me: tm.Member, confirmedAt: &tm.catalogAt, isExpected: tm.feed.isExpected}
	tm.list("there", "a")
	require.True(t, sw.isFresh(tm.now))
	tm.peers.hasExchanged.Store(true)
	require.False(t, sw.isFresh(tm.now))
}

// Guards against a member that logs all others as unreachable because its own shutdown
// ended its exchanges.
func TestShutdownDoesNotMarkOthersAsUnreachable(t *testing.T) {
	tm := newTestMember()
	tm.list("here", "a")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range unreachedAfter {
		require.False(t, tm.peers.exchange(ctx, entry{Name: "a", Address: "127.0.0.1:1"}))
	}
	_, hasSource := tm.roster.source()
	require.True(t, hasSource)
}

// ask sends a query to a member's handler and returns the reply and its size in bytes.
func (tm *testMember) ask(t *testing.T, qu exchangeQuery) (exchangeReply, int) {
	t.Helper()
	body, err := json.Marshal(qu)
	require.NoError(t, err)
	rec := httptest.NewRecorder()
	tm.peers.handle(rec, httptest.NewRequest(http.MethodPost, exchangePath, bytes.NewReader(body)))
	var re exchangeReply
	size := rec.Body.Len()
	require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &re))
	return re, size
}

// start_at_design_size: guards against sources that count as unreachable because their
// replies, with the whole listing and list of members, do not arrive within the timeout of
// an exchange.
func TestLargeListsAreNotPartOfAnExchange(t *testing.T) {
	const (
		upstreams = 3900
		members   = 790
	)
	source, asker := newTestMember(), newTestMember()
	var ups []group.Upstream
	for num := range upstreams {
		ups = append(ups, group.Upstream{ID: fmt.Sprint("i", num), Group: fmt.Sprint("g", num/3), Address: "10.2.64.20:8323", Slots: 2})
	}
	source.updateView(func(group.View) group.View { return group.NewView(10, ups) })
	source.listingAt.advance(source.now.Add(-time.Second))
	var objs []Object
	for num := range members {
		objs = append(objs, memberObject(fmt.Sprint("m", num), uint64(num+1)))
	}
	source.roster.replace(objs, members)

	re, size := source.ask(t, exchangeQuery{From: "m1"})
	require.Less(t, size, maxListBytes)
	require.True(t, re.IsPartial)
	asker.applyReply(re, "source", asker.now)
	require.False(t, asker.hasListing.Load())
	require.True(t, asker.listingAt.load().IsZero(), "the listing has not been received")

	re, _ = source.ask(t, exchangeQuery{From: "m1", IsTransfer: true})
	require.False(t, re.IsPartial)
	asker.applyReply(re, "source", asker.now)
	require.Len(t, asker.listing().All(), upstreams)
	require.Equal(t, source.names(), asker.names())
	require.False(t, asker.listingAt.load().IsZero())

	re, _ = source.ask(t, asker.makeQuery(asker.now))
	require.False(t, re.IsPartial, "there is nothing more to send")
}

// Evidence on many groups is part of each reply. It must not make each exchange of a large
// deployment end in a transfer.
func TestEvidenceOnManyGroupsIsNoReasonForATransfer(t *testing.T) {
	evidence := make([]wireOpinion, 1300)
	require.False(t, exchangeReply{Evidence: evidence}.hasLargeLists())
	changes := &memberChanges{At: 7, Objects: []Object{memberObject("a", 7)}}
	require.False(t, exchangeReply{Evidence: evidence, Members: changes}.hasLargeLists())
}

// Guards against members that read a large change from the store while their source does,
// because it neither waits for a reply of a peer nor reads everything.
func TestRequestedConfigurationIsExpected(t *testing.T) {
	tm := newTestMember()
	tm.deps.Store.AwaitCatalog = func(ctx context.Context, since uint64, _ time.Duration) (*catlg.Catalog, uint64, error) {
		stall.Progress(ctx)
		require.True(t, tm.makeReply(exchangeQuery{}, tm.now).IsReceiving)
		return nil, since, nil
	}
	_, err := tm.checkCatalog(t.Context(), 5)
	require.NoError(t, err)
	require.False(t, tm.makeReply(exchangeQuery{}, tm.now).IsReceiving, "the call has ended")

	tm.deps.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	tm.peers.fetchCatalog(ctx, entry{Name: "a", Address: "127.0.0.1:1"}, 9)
	require.True(t, tm.feed.isExpected(tm.now))
}
