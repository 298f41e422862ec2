package member

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/core/revn"
)

const (
	// restoreGrace is how long after the first answer of a new era an upstream that is missing
	// in the store stays in use: upstreams write their entries again within it. A missing
	// member stays for maxSilence as a silent one does, since it may only not reach the
	// store, and majorities are counted among the members.
	restoreGrace = 2500 * time.Millisecond
	// restoreSpread is the time over which the members write their objects again, so that
	// they do not call a store that has just returned all at once.
	restoreSpread = time.Second
	// promptWriters is how many members, the first in rank, write at once: the coordinator
	// and its successor need a token.
	promptWriters = 2
)

// storeEra holds the newest era of the store that this member knows of. It is safe for
// concurrent use.
type storeEra struct {
	mu  sync.Mutex
	era uint64
	// learnedAt is when the era was learned, and writeFrom when the own object may be
	// written in it.
	learnedAt, writeFrom time.Time
	// graceUntil is the time until which what is missing in the store stays in use; zero if
	// the store was not restored since this member first heard of it.
	graceUntil time.Time
}

// advance sets the era, and returns false if it is not newer.
func (se *storeEra) advance(era uint64, now, writeFrom, graceUntil time.Time) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if era <= se.era {
		return false
	}
	se.era, se.learnedAt, se.writeFrom, se.graceUntil = era, now, writeFrom, graceUntil
	return true
}

func (se *storeEra) load() uint64 {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.era
}

// graceEnd returns the time until which what is missing in the store stays in use.
func (se *storeEra) graceEnd() time.Time {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.graceUntil
}

// isKnownFor reports whether there is an era and it was learned at least the duration ago.
func (se *storeEra) isKnownFor(du time.Duration, now time.Time) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return !se.learnedAt.IsZero() && now.Sub(se.learnedAt) >= du
}

// mayWrite reports whether the own object may be written.
func (se *storeEra) mayWrite(now time.Time) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return !now.Before(se.writeFrom)
}

// learnEra records the era of a number that the store has assigned. from is the member that
// sent it, or fromStore.
func (me *Member) learnEra(number uint64, from string) {
	next := revn.FromNumber(number)
	if next.Era <= me.era.load() {
		return
	}
	known := revn.FromNumber(max(me.sharedListing().Revision, me.roster.knownRevision()))
	now := me.deps.Now()
	writeFrom, graceUntil := now, time.Time{}
	isRestored := known.Revision > 0
	if isRestored {
		graceUntil = now.Add(restoreGrace)
	}
	if isRestored && !me.roster.isAmongFirst(promptWriters) {
		writeFrom = now.Add(rand.N(restoreSpread))
	}
	if !me.era.advance(next.Era, now, writeFrom, graceUntil) {
		return
	}
	if isRestored {
		event.Log(me.log, event.StoreRestored, "era", next.Era, "revision", next.Revision, "old_era", known.Era,
			"old_revision", known.Revision, "from", from)
	}
	me.roster.beginEra(next.Era)
}

// checkEra returns an error for an era that numbers cannot hold.
func checkEra(era uint64) error { return revn.Version{Era: era}.Check() }

// learnPeerEra records the era that another member has sent.
func (me *Member) learnPeerEra(era uint64, from string) {
	if number, err := (revn.Version{Era: era}).Number(); err == nil && era > 0 {
		me.learnEra(number, from)
	}
}

var (
	errEraUnread = errors.New("the list of members of the store's new era was not read yet")
	errEraSpread = errors.New("the own object is written later in the store's new era")
	errTokenEra  = errors.New("the token is of an earlier era of the store")
)

// applyListing replaces the listing by the one that change returns, and reports whether it
// did; it does not for one of an earlier era. isRead is true if it was read from the store
// as a whole, and may hold entries of the copy. mu is held.
func (me *Member) applyListing(change func(group.View) group.View, isRead bool) bool {
	old := me.base
	next := change(old)
	if revn.EraOf(next.Revision) < revn.EraOf(old.Revision) {
		return false
	}
	now := me.deps.Now()
	isNewEra := old.Revision > 0 && revn.EraOf(next.Revision) > revn.EraOf(old.Revision)
	until := me.era.graceEnd()
	// This member may have received the listing of the new era from another one first.
	isFirstRead := isRead && !me.restoration.IsRead() && now.Before(until) && old.Revision > 0
	if isNewEra || isFirstRead {
		me.restoration = group.NewRestoration(me.view, until)
	}
	if isRead {
		if isNewEra || me.restoration.IsRead() || isFirstRead {
			next, me.restoration = me.restoration.Filter(next)
		}
	}
	changed, gone := next.Differences(old)
	if len(changed)+len(gone) == 0 && !isNewEra {
		// Upstreams write their entries again every second without a change, which
		// advances both revisions. Peers are sent the listing only if ContentRevision
		// has advanced, so it is set back.
		next = next.WithContentRevision(old.ContentRevision)
	}
	me.base = next
	return true
}

// sharedListing returns the listing for other members: without the upstreams that are only in use
// because the store may have lost their entries, since each member decides on these itself.
func (me *Member) sharedListing() group.View {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.base
}

// endGrace stops the use of upstreams and removes the members that are still missing in the
// store some time after it was restored.
func (me *Member) endGrace(now time.Time) {
	until := me.era.graceEnd()
	if now.Before(until) {
		return
	}
	me.mu.Lock()
	hasMissing := me.restoration.HasMissing()
	me.mu.Unlock()
	if hasMissing {
		me.updateView(func(vi group.View) group.View { return vi })
	}
	if me.era.isKnownFor(maxSilence, now) {
		me.roster.removeMissing()
	}
}

// beginEra gives up the token, which is of an earlier era of the store. The own object is
// written again once the list of members of the new era tells whether the store still has it.
func (ro *roster) beginEra(era uint64) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.revision == 0 || revn.EraOf(ro.revision) >= era {
		return
	}
	ro.isEraWrite = ro.hasJoined
	if ro.self.Rank == 0 && ro.hasJoined {
		ro.self.Rank = ro.revision
	}
	if !ro.hasJoined {
		// The revision is that of an earlier process.
		ro.revision = 0
	}
	ro.self.TokenRequests++
	ro.isWritten, ro.lastToken = false, 0
	ro.wakeWriter()
}

// beginList prepares for the first list of members of a new era of the store. The members
// that it lacks stay for a while. If it was read from the store, those that were not known
// before, or are of an earlier process than the known one, are passed over until they write
// again; mu is held.
func (ro *roster) beginList(objs []Object, revision uint64, isRead bool) {
	now := ro.me.deps.Now()
	ro.removals, ro.historySince = nil, revision
	clear(ro.suspects)
	for name := range ro.members {
		ro.missing[name] = true
	}
	for _, obj := range objs {
		en, err := decodeEntry(obj)
		known := ro.members[obj.Name]
		isStale := known == nil || err == nil && en.Started < known.entry.Started
		if isRead && isStale && obj.Name != ro.self.Name {
			ro.suspects[obj.Name] = suspect{token: obj.Revision, since: now}
			continue
		}
		delete(ro.missing, obj.Name)
	}
	if ro.missing[ro.self.Name] && revn.EraOf(ro.revision) < revn.EraOf(revision) {
		ro.isWritten, ro.revision, ro.lastToken = false, 0, 0
		ro.wakeWriter()
	}
}

// removeMissing removes the members that a restored store has not listed until now.
func (ro *roster) removeMissing() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if len(ro.missing) == 0 {
		return
	}
	for name := range ro.missing {
		if name != ro.self.Name {
			ro.removeAt(name, ro.listRevision)
		}
	}
	clear(ro.missing)
	ro.membersChanged()
}
