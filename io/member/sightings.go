package member

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/group"
)

// sightings holds when this member first saw the entries of upstreams, and that they are shutting
// down. It is safe for concurrent use.
type sightings struct {
	mu    sync.Mutex
	byKey map[incarnation]sighting
}

// incarnation identifies an incarnation of an upstream.
type incarnation struct {
	id   string
	born int64
}

type sighting struct {
	listedAt time.Time
	// leavingAt is when the entry was first seen to say that the upstream is shutting down;
	// zero if it was not.
	leavingAt time.Time
}

// logGrace is how long a replica may be listed without having received a log: most have
// received one when their entry is read.
const logGrace = 500 * time.Millisecond

func newSightings() *sightings { return &sightings{byKey: make(map[incarnation]sighting)} }

func incarnationOf(up group.Upstream) incarnation {
	return incarnation{id: up.ID, born: up.Incarnation}
}

// update records the entries of a listing and forgets the upstreams that were seen long ago
// and are not listed.
func (si *sightings) update(vi group.View, now time.Time) {
	si.mu.Lock()
	defer si.mu.Unlock()
	listed := make(map[incarnation]bool)
	for _, up := range vi.All() {
		ke := incarnationOf(up)
		listed[ke] = true
		of, ok := si.byKey[ke]
		if !ok {
			of.listedAt = now
		}
		if up.Leaving && of.leavingAt.IsZero() {
			of.leavingAt = now
		}
		si.byKey[ke] = of
	}
	for ke, of := range si.byKey {
		if !listed[ke] && now.Sub(of.listedAt) > formerMaxAge {
			delete(si.byKey, ke)
		}
	}
}

// endsBefore reports whether the upstream is shutting down and may end before the time given,
// if it serves for drain after its announcement.
func (si *sightings) endsBefore(up group.Upstream, limit time.Time, drain time.Duration) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	of := si.byKey[incarnationOf(up)]
	return drain > 0 && !of.leavingAt.IsZero() && of.leavingAt.Add(drain).Before(limit)
}

// isListedFor reports whether the upstream was first listed at least the duration ago.
func (si *sightings) isListedFor(up group.Upstream, du time.Duration, now time.Time) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	of, ok := si.byKey[incarnationOf(up)]
	return ok && now.Sub(of.listedAt) >= du
}

// maxDrains bounds the drains in an exchange.
const maxDrains = 4

// wireDrain is the shutdown of an upstream on the wire between members.
type wireDrain struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
	// AgeMs is how long ago it was first seen.
	AgeMs int64 `json:"age"`
}

func checkDrains(drains []wireDrain) error {
	if len(drains) > maxDrains {
		return errors.Newf("%d drains in an exchange", len(drains))
	}
	for _, wd := range drains {
		if err := checkAges(wd.AgeMs); err != nil {
			return err
		}
	}
	return nil
}

// drains returns drains that have begun no longer ago than the duration, for other members: one
// that was cut off from the store learns of an upstream's shutdown late, and would overestimate the
// time that is left. If there are more than maxDrains, successive calls return different ones.
func (si *sightings) drains(keep time.Duration, now time.Time) []wireDrain {
	si.mu.Lock()
	defer si.mu.Unlock()
	var out []wireDrain
	// The order of a map differs each time.
	for ke, of := range si.byKey {
		if len(out) < maxDrains && !of.leavingAt.IsZero() && now.Sub(of.leavingAt) <= keep {
			out = append(out, wireDrain{ID: ke.id, Born: ke.born, AgeMs: ageMs(of.leavingAt, now)})
		}
	}
	return out
}

// adopt records when another member has first seen that upstreams are shutting down.
func (si *sightings) adopt(drains []wireDrain, now time.Time) {
	si.mu.Lock()
	defer si.mu.Unlock()
	for _, wd := range drains {
		ke, at := incarnation{id: wd.ID, born: wd.Born}, now.Add(-millis(wd.AgeMs))
		of, ok := si.byKey[ke]
		if !ok {
			of.listedAt = at
		}
		if of.leavingAt.IsZero() || at.Before(of.leavingAt) {
			of.leavingAt = at
		}
		si.byKey[ke] = of
	}
}
