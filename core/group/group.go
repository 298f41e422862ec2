// Package group holds the upstreams of all database groups as the platform
// lists them. A view is immutable.
package group

import (
	"slices"
)

// Upstream is one member of a database group.
type Upstream struct {
	// ID is unique in the platform, but may be born again.
	ID string `json:"id"`
	// Born tells the lives of one ID apart.
	Born int64 `json:"born"`
	// Group is the database group that it belongs to.
	Group string `json:"group"`
	// Address serves statements, "ip:port".
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Slots is how many statements it runs at once.
	Slots int `json:"slots"`
	// Leaving upstreams get no new work.
	Leaving bool `json:"leaving"`
	// ClaimsLead is true if it takes itself for the leader.
	ClaimsLead bool `json:"claims_lead"`
	// Revision is that of the listing's entry.
	Revision uint64 `json:"revision"`
}

// SameLife reports whether both describe one life of one upstream.
func (up Upstream) SameLife(other Upstream) bool {
	return up.ID == other.ID && up.Born == other.Born && up.Address == other.Address && up.Group == other.Group
}

// View is the listing of all upstreams at one revision.
type View struct {
	// Revision is that of the newest change included.
	Revision uint64
	// Changed is a revision at which the listing held the same, as far as it
	// matters: upstreams write every second that they are there.
	Changed uint64
	byID    map[string]Upstream
}

// NewView returns a view of the upstreams.
func NewView(revision uint64, ups []Upstream) View {
	vi := View{Revision: revision, Changed: revision, byID: make(map[string]Upstream, len(ups))}
	for _, up := range ups {
		vi.byID[up.ID] = up
	}
	return vi
}

// Change is one change of a listing.
type Change struct {
	Upstream Upstream
	// Gone is true if the entry, named by Upstream.ID, was removed or can no
	// longer be read.
	Gone bool
	// Fault is why the entry could not be read; nil if it was removed.
	Fault error
}

// With returns a view with the changes made, at the revision given.
func (vi View) With(revision uint64, changes []Change) View {
	next := View{Revision: max(vi.Revision, revision), Changed: max(vi.Revision, revision), byID: make(map[string]Upstream, len(vi.byID))}
	for id, up := range vi.byID {
		next.byID[id] = up
	}
	for _, ch := range changes {
		if ch.Gone {
			delete(next.byID, ch.Upstream.ID)
			continue
		}
		next.byID[ch.Upstream.ID] = ch.Upstream
	}
	return next
}

// Differences returns the upstreams that are new or otherwise than in the older
// view, and those that are gone.
func (vi View) Differences(old View) (changed, gone []Upstream) {
	for id, up := range vi.byID {
		if was, ok := old.byID[id]; !ok || !was.sameAs(up) {
			changed = append(changed, up)
		}
	}
	for id, up := range old.byID {
		if _, ok := vi.byID[id]; !ok {
			gone = append(gone, up)
		}
	}
	return changed, gone
}

// sameAs reports whether two entries of one upstream say the same.
func (up Upstream) sameAs(other Upstream) bool {
	other.Revision = up.Revision
	return up == other
}

// WithChanged returns the view as one that holds the same since the revision.
func (vi View) WithChanged(revision uint64) View {
	vi.Changed = revision
	return vi
}

// Members returns the upstreams of a group, by ID.
func (vi View) Members(group string) []Upstream {
	var out []Upstream
	for _, up := range vi.byID {
		if up.Group == group {
			out = append(out, up)
		}
	}
	slices.SortFunc(out, func(left, right Upstream) int {
		if left.ID < right.ID {
			return -1
		}
		return 1
	})
	return out
}

// All returns all upstreams in no order.
func (vi View) All() []Upstream {
	out := make([]Upstream, 0, len(vi.byID))
	for _, up := range vi.byID {
		out = append(out, up)
	}
	return out
}

// GetUpstreamByID finds an upstream.
func (vi View) GetUpstreamByID(id string) (Upstream, bool) {
	up, ok := vi.byID[id]
	return up, ok
}
