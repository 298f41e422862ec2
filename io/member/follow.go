package member

import (
	"context"
	"time"

	"banyanspring/core/catlg"
	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/io/delay"
)

// follower keeps one thing that the store holds up to date. The first member
// watches the store for all; another one asks the store itself once the word of
// the first is no longer fresh.
type follower struct {
	me   *Member
	what string
	// confirmedAt is when the store last confirmed what is known.
	confirmedAt *instant
	// read reads anew and returns the revision to wait from.
	read func(ctx context.Context) (uint64, error)
	// await waits for changes.
	await func(ctx context.Context, since uint64) (uint64, error)
	// pause is kept after each answer.
	pause time.Duration
	// freshFor is how long what the store confirmed counts as fresh.
	freshFor time.Duration
}

func (fo *follower) run(ctx context.Context) {
	var since uint64
	isKnown := false
	he := &health{me: fo.me, what: fo.what}
	for ctx.Err() == nil {
		asked := fo.me.seams.Now()
		isFirst := fo.me.roster.isHolder()
		if !isFirst && fo.isFresh(asked) {
			isKnown = false
			delay.Pause(ctx, freshTick)
			continue
		}
		if !fo.me.pacer.may() {
			delay.Pause(ctx, storePoll)
			continue
		}
		var err error
		if isKnown && isFirst {
			since, err = fo.await(ctx, since)
		} else {
			since, err = fo.read(ctx)
		}
		he.note(err)
		fo.me.pacer.note(err)
		isKnown = err == nil
		if err == nil {
			fo.confirmedAt.raise(asked)
		}
		delay.Pause(ctx, fo.pauseAfter(err))
	}
}

// pauseAfter returns the pause after a call. Calls that got no answer are spaced by
// the pacer; an answer that says no, such as that there is no configuration yet,
// stays the same for a while.
func (fo *follower) pauseAfter(err error) time.Duration {
	switch {
	case err == nil:
		return fo.pause
	case isAnswer(err):
		return retryPause
	}
	return storePoll
}

// isFresh reports whether the store need not be asked. At the start the word of
// another member is waited for, if one is known.
func (fo *follower) isFresh(now time.Time) bool {
	at := fo.confirmedAt.load()
	if !at.IsZero() {
		return now.Sub(at) < fo.freshFor
	}
	_, hasSource := fo.me.roster.source()
	return hasSource && now.Sub(fo.me.started) < startWait
}

// followCatalog keeps the configuration in force up to date.
func (me *Member) followCatalog(ctx context.Context) {
	fo := &follower{me: me, what: "configuration", confirmedAt: &me.catalogAt, freshFor: me.settings.ApplyBound * freshShare / 100}
	fo.read = func(ctx context.Context) (uint64, error) {
		ca, since, err := me.loadCatalog(ctx)
		if err == nil {
			me.offerCatalog(ca)
		}
		return since, err
	}
	fo.await = func(ctx context.Context, since uint64) (uint64, error) {
		ca, since, err := me.seams.Store.AwaitCatalog(ctx, since, me.settings.ApplyBound*confirmShare/100)
		if err == nil && ca != nil {
			me.offerCatalog(ca)
		}
		return since, err
	}
	fo.run(ctx)
}

func (me *Member) loadCatalog(ctx context.Context) (*catlg.Catalog, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return me.seams.Store.LoadCatalog(ctx)
}

// offerCatalog puts a configuration in force unless it is older.
func (me *Member) offerCatalog(ca *catlg.Catalog) {
	if !me.catalog.Offer(ca) {
		return
	}
	event.Log(me.log, event.DocumentAdopted, "catalog_version", ca.Version)
	me.noteReady()
}

// followListing keeps the listing of upstreams up to date.
func (me *Member) followListing(ctx context.Context) {
	fo := &follower{
		me: me, what: "listing", confirmedAt: &me.listingAt, read: me.readListing, await: me.awaitListing,
		pause: listingPause, freshFor: me.settings.DrainBound * freshShare / 100,
	}
	fo.run(ctx)
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
	me.setView(func(group.View) group.View { return vi })
	me.isListed.Store(true)
	me.noteReady()
	return vi.Revision, nil
}

func (me *Member) awaitListing(ctx context.Context, since uint64) (uint64, error) {
	changes, revision, err := me.seams.Store.AwaitUpstreams(ctx, since, me.settings.ApplyBound*confirmShare/100)
	if err != nil {
		return since, err
	}
	me.setView(func(vi group.View) group.View { return vi.With(revision, changes) })
	return revision, nil
}

// listing returns the listing of upstreams as last known.
func (me *Member) listing() group.View {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.view
}

// setView replaces the listing and logs what changed.
func (me *Member) setView(change func(group.View) group.View) {
	me.mu.Lock()
	defer me.mu.Unlock()
	old := me.view
	next := change(old)
	changed, gone := next.Differences(old)
	for _, up := range changed {
		event.Log(me.log, event.UpstreamListed, "upstream", up.ID, "group", up.Group, "address", up.Address,
			"domain", up.Domain, "leads", up.ClaimsLead, "leaving", up.Leaving, "revision", up.Revision)
	}
	for _, up := range gone {
		event.Log(me.log, event.UpstreamListed, "upstream", up.ID, "group", up.Group, "gone", true)
	}
	if len(changed)+len(gone) == 0 {
		// Members are told of changes alone.
		next = next.WithChanged(old.Changed)
	}
	me.view = next
	if len(changed)+len(gone) > 0 {
		me.engine.SetView(next)
	}
}

// health logs when a dependency is lost and regained.
type health struct {
	me   *Member
	what string
	lost time.Time
}

func (he *health) note(err error) {
	now := he.me.seams.Now()
	switch {
	case err != nil && he.lost.IsZero():
		he.lost = now
		event.Log(he.me.log, event.PlatformDown, "what", he.what, "error", err.Error())
	case err == nil && !he.lost.IsZero():
		event.Log(he.me.log, event.PlatformUp, "what", he.what, "lost_for", now.Sub(he.lost).String())
		he.lost = time.Time{}
	}
}
