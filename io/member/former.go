package member

import (
	"slices"
	"sync"
	"time"

	"banyanspring/core/evid"
	"banyanspring/core/group"
	"banyanspring/core/posn"
)

// former is an upstream that is no longer listed. It may still receive its leader's log,
// and the leader acknowledge writes because of that, until its process has ended.
type former struct {
	upstream group.Upstream
	// removedAt is when its entry disappeared from the listing.
	removedAt time.Time
	// endedAt is when its process was known to have ended; zero if it may be running.
	endedAt time.Time
	// bound is a position that the leader reported after endedAt: whatever was
	// acknowledged because of this upstream is at or below it. It is used only if hasBound
	// is true.
	bound    posn.Position
	hasBound bool
}

const (
	// goneAfter is how long an upstream that does not answer must have been missing from
	// the listing to count as ended: entries that lapsed while the store was away come back
	// within about two seconds.
	goneAfter = 5 * time.Second
	// formerKeep is how long one that has ended is remembered once it has a bound, and
	// formerMaxAge how long any other.
	formerKeep   = time.Minute
	formerMaxAge = 10 * time.Minute
)

// formers holds the upstreams that are no longer listed, by group. It is safe for
// concurrent use.
type formers struct {
	mu      sync.Mutex
	byGroup map[string][]former
}

func newFormers() *formers { return &formers{byGroup: make(map[string][]former)} }

// update applies a change of the listing from old to next.
func (fo *formers) update(old, next group.View, now time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, up := range old.All() {
		listed, ok := next.GetUpstreamByID(up.ID)
		if !ok || !listed.IsSameIncarnation(up) {
			fo.byGroup[up.Group] = append(fo.byGroup[up.Group], former{upstream: up, removedAt: now})
		}
	}
	for _, up := range next.All() {
		fo.applyListed(up, now)
	}
}

// applyListed drops an upstream that is listed again, and marks those as ended whose ID or
// address another incarnation has; mu is held.
func (fo *formers) applyListed(up group.Upstream, now time.Time) {
	for name, all := range fo.byGroup {
		all = slices.DeleteFunc(all, func(fr former) bool { return fr.upstream.IsSameIncarnation(up) })
		for pos := range all {
			if old := all[pos].upstream; (old.ID == up.ID || old.Address == up.Address) && all[pos].endedAt.IsZero() {
				all[pos].endedAt = now
			}
		}
		fo.byGroup[name] = all
	}
}

// ofGroup returns a copy of the group's former upstreams.
func (fo *formers) ofGroup(name string) []former {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return slices.Clone(fo.byGroup[name])
}

// get returns the former upstream, and false if it is listed.
func (fo *formers) get(up group.Upstream) (former, bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, fr := range fo.byGroup[up.Group] {
		if fr.upstream.IsSameIncarnation(up) {
			return fr, true
		}
	}
	return former{}, false
}

// mayRun reports whether the former upstream may still be running.
func (fo *formers) mayRun(up group.Upstream) bool {
	fr, ok := fo.get(up)
	return ok && fr.endedAt.IsZero()
}

// mayRunByID reports whether the group has a former upstream with the ID that may still be
// running.
func (fo *formers) mayRunByID(name, id string) bool {
	return slices.ContainsFunc(fo.ofGroup(name), func(fr former) bool { return fr.upstream.ID == id && fr.endedAt.IsZero() })
}

// markEnded records that the upstream's process has ended.
func (fo *formers) markEnded(up group.Upstream, now time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	all := fo.byGroup[up.Group]
	for pos := range all {
		if all[pos].upstream.IsSameIncarnation(up) && all[pos].endedAt.IsZero() {
			all[pos].endedAt = now
		}
	}
}

// observe sets the bounds of the upstreams that had ended when the sample was asked for, and
// forgets those that ended long ago.
func (fo *formers) observe(name string, sa evid.Sample, now time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	all, ok := fo.byGroup[name]
	if !ok {
		return
	}
	for pos := range all {
		if fr := &all[pos]; !fr.hasBound && !fr.endedAt.IsZero() && sa.Asked.After(fr.endedAt) {
			fr.bound, fr.hasBound = sa.Position, true
		}
	}
	fo.byGroup[name] = slices.DeleteFunc(all, func(fr former) bool {
		return (fr.hasBound && now.Sub(fr.endedAt) > formerKeep) || now.Sub(fr.removedAt) > formerMaxAge
	})
}

// wireEnded is a former upstream that has ended, on the wire between members.
type wireEnded struct {
	Group   string `json:"group"`
	ID      string `json:"id"`
	Address string `json:"address"`
	Born    int64  `json:"born"`
	// Term and Offset are its bound.
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// ended returns the former upstreams that have a bound, for other members.
func (fo *formers) ended() []wireEnded {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	var out []wireEnded
	for _, all := range fo.byGroup {
		for _, fr := range all {
			if !fr.hasBound {
				continue
			}
			up := fr.upstream
			out = append(out, wireEnded{
				Group: up.Group, ID: up.ID, Address: up.Address, Born: up.Incarnation, Term: fr.bound.Term.Number, Offset: fr.bound.Offset,
			})
		}
	}
	return out
}

// adoptEnded records what another member knows of former upstreams. Only the coordinator
// checks whether they have ended, and its successor may not reach their leader any more.
func (fo *formers) adoptEnded(ended []wireEnded, now time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, we := range ended {
		up := group.Upstream{ID: we.ID, Incarnation: we.Born, Address: we.Address, Group: we.Group}
		all := fo.byGroup[we.Group]
		for pos := range all {
			if fr := &all[pos]; fr.upstream.IsSameIncarnation(up) && !fr.hasBound {
				fr.bound, fr.hasBound = posn.Position{Term: posn.Term{Number: we.Term}, Offset: we.Offset}, true
				if fr.endedAt.IsZero() {
					fr.endedAt = now
				}
			}
		}
	}
}
