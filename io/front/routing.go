package front

import (
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/place"
	"banyanspring/core/posn"
	"banyanspring/core/route"
	"banyanspring/io/store"
)

// routingTables holds one routing table per group, by the name of the group.
type routingTables struct {
	groups sync.Map
}

// routingTable holds the state of one group's upstreams as this daemon last
// observed it. Readers load an immutable snapshot without a lock.
type routingTable struct {
	mu       sync.Mutex
	snapshot atomic.Pointer[[]route.Upstream]
	// group is the description from which the snapshot was built. It is stored
	// after the snapshot, so that a reader that sees the group also finds a snapshot.
	group atomic.Pointer[store.Group]
	// refreshAt is the earliest time at which the members may be asked for their
	// terms again.
	refreshAt time.Time
}

func newRoutingTables() *routingTables { return &routingTables{} }

// get returns the routing table of a group, updated if the group has changed.
func (rts *routingTables) get(gr store.Group) *routingTable {
	val, ok := rts.groups.Load(gr.Name)
	if !ok {
		val, _ = rts.groups.LoadOrStore(gr.Name, &routingTable{})
	}
	rt := val.(*routingTable)
	rt.update(gr)
	return rt
}

// update rebuilds the snapshot if the group has changed, and keeps the observed
// state of the remaining upstreams. Requests on an unchanged group take no lock.
func (rt *routingTable) update(gr store.Group) {
	if known := rt.group.Load(); known != nil && sameGroup(*known, gr) {
		return
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	old := make(map[string]route.Upstream)
	if ups := rt.snapshot.Load(); ups != nil {
		for _, up := range *ups {
			old[up.Name] = up
		}
	}
	ups := make([]route.Upstream, len(gr.Members))
	for pos, mem := range gr.Members {
		up := old[mem.Name]
		up.Name = mem.Name
		up.Site = place.Site{Domain: mem.Domain, Region: mem.Region}
		up.Primary = mem.Name == gr.Primary
		up.Leaving = mem.Leaving
		ups[pos] = up
	}
	rt.snapshot.Store(&ups)
	rt.group.Store(&gr)
}

// sameGroup reports whether term number, primary and members are equal.
func sameGroup(left, right store.Group) bool {
	if left.TermNumber != right.TermNumber || left.Primary != right.Primary || len(left.Members) != len(right.Members) {
		return false
	}
	for pos := range left.Members {
		if left.Members[pos] != right.Members[pos] {
			return false
		}
	}
	return true
}

// upstreams returns the current snapshot, which must not be modified.
func (rt *routingTable) upstreams() []route.Upstream { return *rt.snapshot.Load() }

// editUpstream stores a new snapshot in which edit has changed one upstream.
func (rt *routingTable) editUpstream(name string, edit func(*route.Upstream)) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	next := append([]route.Upstream(nil), *rt.snapshot.Load()...)
	for pos := range next {
		if next[pos].Name == name {
			edit(&next[pos])
		}
	}
	rt.snapshot.Store(&next)
}

const (
	// failedBackoff is how long an upstream that failed is ranked last for reads
	// and, if it is the primary, gets no writes.
	failedBackoff = 250 * time.Millisecond
	// minRefreshInterval is the minimum time between two requests for the members'
	// terms.
	minRefreshInterval = 100 * time.Millisecond
	// behindBackoff is how long a replica that was behind is ranked lower for
	// sessions whose minimum position is above the one it reported.
	behindBackoff = 50 * time.Millisecond
)

// refreshIfDue calls ask unless it was called within minRefreshInterval.
func (rt *routingTable) refreshIfDue(now time.Time, ask func()) {
	rt.mu.Lock()
	isDue := !now.Before(rt.refreshAt)
	if isDue {
		rt.refreshAt = now.Add(minRefreshInterval)
	}
	rt.mu.Unlock()
	if isDue {
		ask()
	}
}

// markFailed starts the backoff of an upstream that failed.
func (rt *routingTable) markFailed(name string, now time.Time) {
	rt.editUpstream(name, func(up *route.Upstream) { up.FailedUntil = now.Add(failedBackoff) })
}

// markBehind starts the backoff of a replica that was behind at the position.
func (rt *routingTable) markBehind(name string, at posn.Position, now time.Time) {
	rt.editUpstream(name, func(up *route.Upstream) {
		up.BehindUntil = now.Add(behindBackoff)
		up.Position = up.Position.Max(at)
	})
}

// clearFailed ends the backoff of an upstream that answered. It takes no lock if
// there is none.
func (rt *routingTable) clearFailed(name string) {
	for _, up := range rt.upstreams() {
		if up.Name == name && up.FailedUntil.IsZero() {
			return
		}
	}
	rt.editUpstream(name, func(up *route.Upstream) { up.FailedUntil = time.Time{} })
}
