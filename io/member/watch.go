package member

import (
	"context"
	"sync/atomic"
	"time"

	"banyanspring/core/catlg"
	"banyanspring/core/elect"
	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/core/revn"
	"banyanspring/io/delay"
	"banyanspring/io/stall"
)

// storeWatcher keeps one kind of data from the store up to date. The coordinator
// watches the store on behalf of all members. The other members receive the data by
// exchanges with their source (see roster.source), and read the store themselves only
// once the store's last confirmation, passed on with the data, is older than freshFor.
type storeWatcher struct {
	me   *Member
	what string
	// confirmedAt is when the store last confirmed the local state.
	confirmedAt *instant
	// onConfirmed is called with each time at which the store confirmed the local state; may be nil.
	onConfirmed func(at time.Time)
	// since is the store's revision up to which the local state is complete; 0 if that is
	// not known.
	since *revision
	// mustRead is true if the next call must read everything. Without check, it is while
	// others keep the state up to date; else until a read succeeds.
	mustRead bool
	// read reads everything and returns the revision to wait from.
	read func(ctx context.Context) (uint64, error)
	// await waits for changes and returns the revision to wait from next.
	await func(ctx context.Context, since uint64) (uint64, error)
	// check applies the changes since a revision without waiting for any and returns the
	// revision to check from next; nil if the state is read instead.
	check func(ctx context.Context, since uint64) (uint64, error)
	// pause follows each successful call; zero if the next call follows at once.
	pause time.Duration
	// freshFor is how long a confirmation by the store counts as fresh. firstFreshFor is
	// the same for the first member of a failure domain, so that the others of the domain
	// receive from it what it reads.
	freshFor, firstFreshFor time.Duration
	// isExpected reports whether the data is about to arrive from the source; may be nil.
	isExpected func(now time.Time) bool
	// isOutdated reports whether the state must be read although it was confirmed lately; may
	// be nil.
	isOutdated func(now time.Time) bool
	// isReadFirst is true for the data from which sources follow, which a starting member
	// reads at once.
	isReadFirst bool
}

// revision is a revision of the store that never decreases. It is safe for concurrent
// use.
type revision struct{ number atomic.Uint64 }

// load returns the revision; 0 if there is none.
func (re *revision) load() uint64 { return re.number.Load() }

// advance sets the revision if the new one is higher.
func (re *revision) advance(number uint64) {
	for {
		old := re.number.Load()
		if number <= old || re.number.CompareAndSwap(old, number) {
			return
		}
	}
}

func (sw *storeWatcher) run(ctx context.Context) {
	he := &health{me: sw.me, what: sw.what}
	for ctx.Err() == nil {
		asked := sw.me.deps.Now()
		isCoordinator := sw.me.roster.isCoordinator()
		if !isCoordinator && sw.isFresh(asked) {
			sw.mustRead = sw.mustRead || sw.check == nil
			delay.Pause(ctx, sw.pollPause())
			continue
		}
		if !sw.me.pacer.allow() {
			delay.Pause(ctx, storePoll)
			continue
		}
		next, err := sw.call(ctx, isCoordinator)
		he.record(err)
		sw.me.pacer.record(err)
		// After a failed watch the coordinator reads everything: the store may have cut
		// it because changes were dropped from its history.
		sw.mustRead = err != nil && (isCoordinator || sw.mustRead || sw.check == nil || IsErrHistoryGone(err))
		if err == nil {
			sw.since.advance(next)
			// The store may have read its state at any time since the start of the
			// call, so no later time is confirmed.
			sw.confirmedAt.advance(asked)
			if sw.onConfirmed != nil {
				sw.onConfirmed(asked)
			}
		}
		delay.Pause(ctx, sw.pauseAfter(err))
	}
}

// call brings the local state up to date by the cheapest call, and returns the revision
// from which to go on. A configuration may have a megabyte, so that a fleet that reads it
// all at once fills its links; a check transfers it only if it has changed.
func (sw *storeWatcher) call(ctx context.Context, isCoordinator bool) (uint64, error) {
	since := sw.since.load()
	switch {
	case sw.mustRead || since == 0:
		return sw.read(ctx)
	case isCoordinator:
		return sw.await(ctx, since)
	case sw.check != nil:
		return sw.check(ctx, since)
	}
	return sw.read(ctx)
}

// pollPause returns the time between two checks of freshness.
func (sw *storeWatcher) pollPause() time.Duration {
	if sw.confirmedAt.load().IsZero() {
		return startupPoll
	}
	return freshPoll
}

// pauseAfter returns the pause after a call. After a call without an answer, the
// storePacer decides when to call again, and storePoll is only the interval at which
// it is asked. The storePacer does not delay calls after a negative answer, such as
// that there is no configuration yet, so these are followed by retryPause.
func (sw *storeWatcher) pauseAfter(err error) time.Duration {
	switch {
	case err == nil:
		return sw.pause
	case IsStoreAnswer(err):
		return retryPause
	}
	return storePoll
}

// isFresh reports whether a member other than the coordinator need not read the store.
func (sw *storeWatcher) isFresh(now time.Time) bool {
	at := sw.confirmedAt.load()
	if at.IsZero() {
		return sw.isStartupWait(now)
	}
	if sw.isOutdated != nil && sw.isOutdated(now) {
		return false
	}
	limit := sw.freshFor
	if sw.me.roster.isDomainFirst() {
		limit = sw.firstFreshFor
	}
	return now.Sub(at) < limit || sw.isExpected != nil && sw.isExpected(now)
}

// isStartupWait reports whether a starting member waits for the data from its source
// instead of reading the store. The first of a failure domain waits only for the answer
// to its first exchange, the others for it to read the store.
func (sw *storeWatcher) isStartupWait(now time.Time) bool {
	if sw.isReadFirst {
		return false
	}
	me := sw.me
	if !me.roster.hasList() {
		return now.Sub(me.startedAt) < startupListWait
	}
	if _, hasSource := me.roster.source(); !hasSource {
		return false
	}
	if sw.isExpected != nil && sw.isExpected(now) {
		return true
	}
	if me.roster.isDomainFirst() && me.peers.hasExchanged.Load() {
		return false
	}
	return now.Sub(me.startedAt) < startupSourceWait
}

// watchCatalog keeps the active configuration up to date.
func (me *Member) watchCatalog(ctx context.Context) {
	bound := me.settings.confirmBound()
	sw := &storeWatcher{
		me: me, what: "configuration", confirmedAt: &me.catalogAt, since: &me.catalogSince,
		freshFor: bound * freshPercent / 100, firstFreshFor: bound * firstFreshPercent / 100,
		isExpected: me.feed.isExpected,
	}
	sw.read = func(ctx context.Context) (uint64, error) {
		began, age := me.deps.Now(), ageMs(me.catalogAt.load(), me.deps.Now())
		ca, since, err := me.loadCatalog(ctx)
		event.Log(me.log, event.DocumentRead, "age_ms", age, "took_ms", me.deps.Now().Sub(began).Milliseconds(), "error", errText(err))
		if err == nil {
			me.adoptCatalog(ca, fromStore)
		}
		return since, err
	}
	sw.await = func(ctx context.Context, since uint64) (uint64, error) {
		_, next, err := me.awaitCatalog(ctx, since, bound*watchPercent/100)
		return next, err
	}
	sw.check = me.checkCatalog
	sw.run(ctx)
}

func (me *Member) loadCatalog(ctx context.Context) (*catlg.Catalog, uint64, error) {
	ctx, cancel := stall.WithTimeout(ctx, callTimeout, transferLimit, me.recordReceiving)
	defer cancel()
	defer me.feed.endReceiving()
	return me.deps.Store.LoadCatalog(ctx)
}

// awaitCatalog waits for a newer configuration and activates it. It reports whether one
// came, and the revision to wait from next.
func (me *Member) awaitCatalog(ctx context.Context, since uint64, wait time.Duration) (bool, uint64, error) {
	ca, next, err := me.deps.Store.AwaitCatalog(ctx, since, wait)
	if err != nil {
		return false, since, err
	}
	if ca != nil {
		me.adoptCatalog(ca, fromStore)
	}
	return ca != nil, next, nil
}

// checkCatalog activates a configuration that is newer than the one at the revision, and
// returns the revision to check from next.
func (me *Member) checkCatalog(ctx context.Context, since uint64) (uint64, error) {
	ctx, cancel := stall.WithTimeout(ctx, transferLimit, transferLimit, me.recordReceiving)
	defer cancel()
	defer me.feed.endReceiving()
	hasChanged, next, err := me.awaitCatalog(ctx, since, checkWait)
	if !hasChanged {
		// A store that is about to drop its history may hold back a change. The next check
		// then finds it, or is told that the history is gone.
		return since, err
	}
	return next, err
}

// fromStore names the store in log lines, as the origin of a configuration.
const fromStore = "store"

// adoptCatalog activates a configuration unless it is older than the active one. from is
// the member that it came from, or fromStore.
func (me *Member) adoptCatalog(ca *catlg.Catalog, from string) {
	old := me.catalog.Current()
	if !me.catalog.Offer(ca) {
		return
	}
	me.feed.remember(old)
	event.Log(me.log, event.DocumentAdopted, "catalog_version", ca.Version, "from", from,
		"announced_ms", me.feed.announcedFor(ca.Version, me.deps.Now()).Milliseconds())
	for _, fault := range ca.Skipped {
		event.Log(me.log, event.EntrySkipped, "catalog_version", ca.Version, "error", fault.Error())
	}
	me.rates.apply(ca)
	me.engine.ApplyCatalog()
	me.checkReady()
}

// watchListing keeps the listing of upstreams up to date.
func (me *Member) watchListing(ctx context.Context) {
	sw := &storeWatcher{
		me: me, what: "listing", confirmedAt: &me.listingAt, since: &revision{}, read: me.readListing, await: me.awaitListing,
		pause: listingPause, onConfirmed: me.recordListingConfirmed,
		freshFor: me.settings.DrainBound * freshPercent / 100, firstFreshFor: me.settings.DrainBound * firstFreshPercent / 100,
	}
	sw.run(ctx)
}

// confirmSlack is how much longer than planned the time between two confirmations may be without a
// doubt that the store was there all the while.
const confirmSlack = 500 * time.Millisecond

// maxConfirmGap returns the longest time between two confirmations by a store that is there. An entry
// that is missing for goneAfter must not have been so because of an outage in between, and its return.
func (me *Member) maxConfirmGap() time.Duration {
	return min(me.settings.ApplyBound*watchPercent/100+listingPause+confirmSlack, goneAfter-entryReturn)
}

// recordListingConfirmed records that the listing was that of the store at the time given.
func (me *Member) recordListingConfirmed(at time.Time) {
	me.listingAt.advance(at)
	me.followedSince.setOnce(me.deps.Now())
	me.mu.Lock()
	defer me.mu.Unlock()
	me.confirmed = me.confirmed.WithConfirmation(at, me.maxConfirmGap())
}

// confirmedListing returns since when the store has confirmed the listing.
func (me *Member) confirmedListing() elect.Listing {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.confirmed
}

func (me *Member) readListing(ctx context.Context) (uint64, error) {
	ctx, cancel := stall.WithTimeout(ctx, callTimeout, transferLimit, nil)
	defer cancel()
	vi, skipped, err := me.deps.Store.ListUpstreams(ctx)
	if err != nil {
		return 0, err
	}
	for _, fault := range skipped {
		event.Log(me.log, event.EntrySkipped, "error", fault.Error())
	}
	event.Log(me.log, event.ListingRead, "upstreams", len(vi.All()), "revision", vi.Revision)
	me.updateReadView(func(group.View) group.View { return vi })
	me.hasListing.Store(true)
	me.checkReady()
	return vi.Revision, nil
}

// refreshListing reads the listing once for a decision that needs it up to date. It returns
// an error if the store does not answer soon.
func (me *Member) refreshListing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	asked := me.deps.Now()
	vi, _, err := me.deps.Store.ListUpstreams(ctx)
	if err != nil {
		return err
	}
	defer me.recordListingConfirmed(asked)
	me.updateReadView(func(old group.View) group.View {
		if vi.Revision < old.Revision {
			return old
		}
		return vi
	})
	return nil
}

// refreshTimeout bounds refreshListing, on which a change of leader waits.
const refreshTimeout = 150 * time.Millisecond

// awaitListing waits for changes of the listing and applies them. The wait depends on
// ApplyBound, as the configuration's does, although the listing's freshness depends on
// DrainBound: if DrainBound is much shorter than ApplyBound, the listing is no longer
// fresh on arrival and the other members read the store themselves.
func (me *Member) awaitListing(ctx context.Context, since uint64) (uint64, error) {
	changes, revision, err := me.deps.Store.AwaitUpstreams(ctx, since, me.settings.ApplyBound*watchPercent/100)
	if err != nil {
		return since, err
	}
	for _, ch := range changes {
		if ch.Err != nil {
			event.Log(me.log, event.EntrySkipped, "error", ch.Err.Error())
		}
	}
	isSameEra := true
	me.updateView(func(vi group.View) group.View {
		if isSameEra = revn.EraOf(revision) == revn.EraOf(vi.Revision) || vi.Revision == 0; !isSameEra {
			return vi
		}
		return vi.With(revision, changes)
	})
	if !isSameEra {
		// Another member has sent the listing of a newer era meanwhile.
		return since, ErrHistoryGone{}
	}
	return revision, nil
}

// listing returns the upstreams in use.
func (me *Member) listing() group.View {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.view
}

// updateView replaces the listing, logs the differences and passes a changed
// listing to the engine. A listing in which only revisions changed keeps its content
// revision.
func (me *Member) updateView(change func(group.View) group.View) { me.replaceView(change, false) }

// updateReadView is updateView for a listing that was read from the store.
func (me *Member) updateReadView(change func(group.View) group.View) { me.replaceView(change, true) }

func (me *Member) replaceView(change func(group.View) group.View, isRead bool) {
	me.mu.Lock()
	defer me.mu.Unlock()
	if !me.applyListing(change, isRead) {
		return
	}
	old := me.view
	var next group.View
	next, me.restoration = me.restoration.Use(me.base, me.deps.Now())
	changed, gone := next.Differences(old)
	for _, up := range changed {
		event.Log(me.log, event.UpstreamListed, "upstream", up.ID, "group", up.Group, "address", up.Address,
			"domain", up.Domain, "leads", up.ClaimsLeadership, "leaving", up.Leaving, "revision", up.Revision)
	}
	for _, up := range gone {
		event.Log(me.log, event.UpstreamListed, "upstream", up.ID, "group", up.Group, "gone", true)
	}
	me.view = next
	if len(changed)+len(gone) > 0 {
		me.formers.update(old, next, me.deps.Now())
		me.sightings.update(next, me.deps.Now())
		me.engine.SetView(next, me.listingAt.load())
	}
}

// health logs when the store's calls for one kind of data begin to fail, by any error,
// and when they succeed again.
type health struct {
	me   *Member
	what string
	// lostSince is when the calls began to fail; zero while they succeed.
	lostSince time.Time
}

func (he *health) record(err error) {
	now := he.me.deps.Now()
	switch {
	case err != nil && he.lostSince.IsZero():
		he.lostSince = now
		event.Log(he.me.log, event.PlatformDown, "what", he.what, "error", err.Error())
	case err == nil && !he.lostSince.IsZero():
		event.Log(he.me.log, event.PlatformUp, "what", he.what, "lost_for", now.Sub(he.lostSince).String())
		he.lostSince = time.Time{}
	}
}
