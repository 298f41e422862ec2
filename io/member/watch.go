package member

import (
	"context"
	"time"

	"banyanspring/core/catlg"
	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/io/delay"
)

// storeWatcher keeps one kind of data from the store up to date. The coordinator
// watches the store for all members. Another member reads the store itself only if
// the state received from its source is no longer fresh.
type storeWatcher struct {
	me   *Member
	what string
	// confirmedAt is when the store last confirmed the local state.
	confirmedAt *instant
	// read reads everything and returns the revision to wait from.
	read func(ctx context.Context) (uint64, error)
	// await waits for changes and returns the revision to wait from next.
	await func(ctx context.Context, since uint64) (uint64, error)
	// pause follows each successful call.
	pause time.Duration
	// freshFor is how long a confirmation by the store counts as fresh.
	freshFor time.Duration
}

func (sw *storeWatcher) run(ctx context.Context) {
	var since uint64
	canWatch := false
	he := &health{me: sw.me, what: sw.what}
	for ctx.Err() == nil {
		asked := sw.me.seams.Now()
		isCoordinator := sw.me.roster.isCoordinator()
		if !isCoordinator && sw.isFresh(asked) {
			canWatch = false
			delay.Pause(ctx, freshPoll)
			continue
		}
		if !sw.me.pacer.allow() {
			delay.Pause(ctx, storePoll)
			continue
		}
		var err error
		if canWatch && isCoordinator {
			since, err = sw.await(ctx, since)
		} else {
			since, err = sw.read(ctx)
		}
		he.record(err)
		sw.me.pacer.record(err)
		canWatch = err == nil
		if err == nil {
			sw.confirmedAt.advance(asked)
		}
		delay.Pause(ctx, sw.pauseAfter(err))
	}
}

// pauseAfter returns the pause after a call. Unanswered calls are spaced by the
// storePacer. A negative answer, such as that there is no configuration yet, stays
// the same for a while.
func (sw *storeWatcher) pauseAfter(err error) time.Duration {
	switch {
	case err == nil:
		return sw.pause
	case isStoreAnswer(err):
		return retryPause
	}
	return storePoll
}

// isFresh reports whether the store need not be read. At startup, a member that
// knows another one first waits for that one's state.
func (sw *storeWatcher) isFresh(now time.Time) bool {
	at := sw.confirmedAt.load()
	if !at.IsZero() {
		return now.Sub(at) < sw.freshFor
	}
	_, hasSource := sw.me.roster.source()
	return hasSource && now.Sub(sw.me.startedAt) < startupSourceWait
}

// watchCatalog keeps the active configuration up to date.
func (me *Member) watchCatalog(ctx context.Context) {
	sw := &storeWatcher{me: me, what: "configuration", confirmedAt: &me.catalogAt, freshFor: me.settings.ApplyBound * freshPercent / 100}
	sw.read = func(ctx context.Context) (uint64, error) {
		ca, since, err := me.loadCatalog(ctx)
		if err == nil {
			me.adoptCatalog(ca)
		}
		return since, err
	}
	sw.await = func(ctx context.Context, since uint64) (uint64, error) {
		ca, since, err := me.seams.Store.AwaitCatalog(ctx, since, me.settings.ApplyBound*watchPercent/100)
		if err == nil && ca != nil {
			me.adoptCatalog(ca)
		}
		return since, err
	}
	sw.run(ctx)
}

func (me *Member) loadCatalog(ctx context.Context) (*catlg.Catalog, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return me.seams.Store.LoadCatalog(ctx)
}

// adoptCatalog activates a configuration unless it is older than the active one.
func (me *Member) adoptCatalog(ca *catlg.Catalog) {
	if !me.catalog.Offer(ca) {
		return
	}
	event.Log(me.log, event.DocumentAdopted, "catalog_version", ca.Version)
	me.checkReady()
}

// watchListing keeps the listing of upstreams up to date.
func (me *Member) watchListing(ctx context.Context) {
	sw := &storeWatcher{
		me: me, what: "listing", confirmedAt: &me.listingAt, read: me.readListing, await: me.awaitListing,
		pause: listingPause, freshFor: me.settings.DrainBound * freshPercent / 100,
	}
	sw.run(ctx)
}

func (me *Member) readListing(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vi, skipped, err := me.seams.Store.ListUpstreams(ctx)
	if err != nil {
		return 0, err
	}
	for _, fault := range skipped {
		event.Log(me.log, event.EntrySkipped, "error", fault.Error())
	}
	event.Log(me.log, event.ListingRead, "upstreams", len(vi.All()), "revision", vi.Revision)
	me.updateView(func(group.View) group.View { return vi })
	me.hasListing.Store(true)
	me.checkReady()
	return vi.Revision, nil
}

func (me *Member) awaitListing(ctx context.Context, since uint64) (uint64, error) {
	changes, revision, err := me.seams.Store.AwaitUpstreams(ctx, since, me.settings.ApplyBound*watchPercent/100)
	if err != nil {
		return since, err
	}
	me.updateView(func(vi group.View) group.View { return vi.With(revision, changes) })
	return revision, nil
}

// listing returns the last known listing of upstreams.
func (me *Member) listing() group.View {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.view
}

// updateView replaces the listing, logs the differences and passes a changed
// listing to the engine.
func (me *Member) updateView(change func(group.View) group.View) {
	me.mu.Lock()
	defer me.mu.Unlock()
	old := me.view
	next := change(old)
	changed, gone := next.Differences(old)
	for _, up := range changed {
		event.Log(me.log, event.UpstreamListed, "upstream", up.ID, "group", up.Group, "address", up.Address,
			"domain", up.Domain, "leads", up.ClaimsLeadership, "leaving", up.Leaving, "revision", up.Revision)
	}
	for _, up := range gone {
		event.Log(me.log, event.UpstreamListed, "upstream", up.ID, "group", up.Group, "gone", true)
	}
	if len(changed)+len(gone) == 0 {
		// Peers are sent the listing only when Changed has advanced.
		next = next.WithContentRevision(old.ContentRevision)
	}
	me.view = next
	if len(changed)+len(gone) > 0 {
		me.engine.SetView(next)
	}
}

// health logs when a dependency is lost and when it is back.
type health struct {
	me        *Member
	what      string
	lostSince time.Time
}

func (he *health) record(err error) {
	now := he.me.seams.Now()
	switch {
	case err != nil && he.lostSince.IsZero():
		he.lostSince = now
		event.Log(he.me.log, event.PlatformDown, "what", he.what, "error", err.Error())
	case err == nil && !he.lostSince.IsZero():
		event.Log(he.me.log, event.PlatformUp, "what", he.what, "lost_for", now.Sub(he.lostSince).String())
		he.lostSince = time.Time{}
	}
}
