package member

import (
	"context"
	"time"

	"banyanspring/core/catlg"
	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/io/delay"
)

// followCatalog keeps the configuration in force up to date.
func (me *Member) followCatalog(ctx context.Context) {
	var since uint64
	known := false
	he := &health{me: me, what: "configuration"}
	for ctx.Err() == nil {
		var ca *catlg.Catalog
		var err error
		if known {
			ca, since, err = me.seams.Store.AwaitCatalog(ctx, since, watchWait)
		} else {
			ca, since, err = me.loadCatalog(ctx)
		}
		he.note(err)
		known = err == nil
		if err != nil {
			delay.Pause(ctx, retryPause)
			continue
		}
		if ca != nil {
			me.offerCatalog(ca)
		}
	}
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
	var since uint64
	known := false
	he := &health{me: me, what: "listing"}
	for ctx.Err() == nil {
		var err error
		if known {
			since, err = me.awaitListing(ctx, since)
		} else {
			since, err = me.readListing(ctx)
		}
		he.note(err)
		known = err == nil
		pause := listingPause
		if err != nil {
			pause = retryPause
		}
		delay.Pause(ctx, pause)
	}
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
	changes, revision, err := me.seams.Store.AwaitUpstreams(ctx, since, watchWait)
	if err != nil {
		return since, err
	}
	me.setView(func(vi group.View) group.View { return vi.With(revision, changes) })
	return revision, nil
}

// setView replaces the listing and logs what changed.
func (me *Member) setView(change func(group.View) group.View) {
	me.mu.Lock()
	defer me.mu.Unlock()
	old := me.view
	next := change(old)
	me.view = next
	differs := false
	for _, up := range next.All() {
		was, ok := old.GetUpstreamByID(up.ID)
		if ok && was.SameLife(up) && was.Leaving == up.Leaving && was.ClaimsLead == up.ClaimsLead {
			continue
		}
		differs = true
		event.Log(me.log, event.UpstreamListed, "upstream", up.ID, "group", up.Group, "address", up.Address,
			"domain", up.Domain, "leads", up.ClaimsLead, "leaving", up.Leaving, "revision", up.Revision)
	}
	for _, up := range old.All() {
		if _, ok := next.GetUpstreamByID(up.ID); !ok {
			differs = true
			event.Log(me.log, event.UpstreamListed, "upstream", up.ID, "group", up.Group, "gone", true)
		}
	}
	if differs {
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
