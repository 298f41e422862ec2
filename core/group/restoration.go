package group

import "time"

// Restoration decides which upstreams are used after the store was restored from an older
// copy, whose entries may be missing, of upstreams that have ended, or out of date. The zero
// value is that of a store that was not restored.
type Restoration struct {
	// used holds the upstreams in use when the restore was noticed, by ID.
	used map[string]Upstream
	// until is the time until which those missing in the copy are used.
	until time.Time
	// isRead is true once a listing read from the store was filtered, and first then holds
	// the revisions of its entries, which may be those of the copy.
	isRead bool
	first  map[string]uint64
	// missing holds those of used that have not been listed since the restore, by ID.
	missing map[string]Upstream
}

// NewRestoration returns the restoration that begins with the upstreams in use. Those missing
// in the copy are used until the time given.
func NewRestoration(used View, until time.Time) Restoration {
	return Restoration{used: used.byID, missing: used.byID, until: until}
}

// IsRead reports whether a listing read from the store was filtered.
func (re Restoration) IsRead() bool { return re.isRead }

// HasMissing reports whether upstreams are used that were not listed since the restore.
func (re Restoration) HasMissing() bool { return len(re.missing) > 0 }

// Filter returns the part of a listing read from the store that may be used: without the
// entries that were not known before the restore and have not been written since, and with the
// known entry in place of one that may be older.
func (re Restoration) Filter(listed View) (View, Restoration) {
	if !re.isRead {
		re.isRead, re.first = true, make(map[string]uint64, len(listed.byID))
		for id, up := range listed.byID {
			re.first[id] = up.Revision
		}
	}
	out := View{Revision: listed.Revision, ContentRevision: listed.ContentRevision, byID: make(map[string]Upstream, len(listed.byID))}
	for id, up := range listed.byID {
		if usable, ok := re.usable(up); ok {
			out.byID[id] = usable
		}
	}
	return out, re
}

// usable returns the entry to use for a listed one, and false if it must not be used.
func (re Restoration) usable(up Upstream) (Upstream, bool) {
	if first, isFirst := re.first[up.ID]; !isFirst || up.Revision > first {
		// It was written after the first listing.
		return up, true
	}
	known, isKnown := re.used[up.ID]
	isNewer := up.Incarnation > known.Incarnation ||
		up.IsSameIncarnation(known) && known.Sequence > 0 && up.Sequence >= known.Sequence
	if !isKnown || isNewer {
		return up, isKnown
	}
	known.Revision = up.Revision
	return known, true
}

// Use returns the upstreams to use at the time given: those of the listing, which Filter or
// another instance has returned, and those that are missing in the copy.
func (re Restoration) Use(listed View, now time.Time) (View, Restoration) {
	missing := make(map[string]Upstream)
	for id, up := range re.missing {
		if _, isListed := listed.byID[id]; !isListed && now.Before(re.until) {
			missing[id] = up
		}
	}
	re.missing = missing
	if !re.HasMissing() {
		return listed, re
	}
	out := listed
	out.byID = make(map[string]Upstream, len(listed.byID)+len(missing))
	for id, up := range listed.byID {
		out.byID[id] = up
	}
	for id, up := range missing {
		out.byID[id] = up
	}
	return out, re
}
