// Package group holds immutable views of the upstreams that the platform lists,
// for all database groups.
package group

import (
	"net/netip"
	"slices"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
)

// Upstream is one member of a database group.
type Upstream struct {
	// ID is unique in the platform at any time; a new upstream may reuse the ID of
	// one that was removed.
	ID string `json:"id"`
	// Incarnation distinguishes successive upstreams with the same ID.
	Incarnation int64 `json:"born"`
	// Group is the database group that the upstream belongs to.
	Group string `json:"group"`
	// Address is the address that serves statements, "ip:port".
	Address string `json:"address"`
	// Domain is the upstream's failure domain.
	Domain string `json:"domain"`
	// Slots is the number of statements that the upstream runs concurrently.
	Slots int `json:"slots"`
	// Leaving upstreams get no new requests.
	Leaving bool `json:"leaving"`
	// ClaimsLeadership is true if the upstream's entry, which it writes itself, claims
	// leadership of the group.
	ClaimsLeadership bool `json:"claims_lead"`
	// Revision is the store's revision of the upstream's entry.
	Revision uint64 `json:"revision"`
	// Sequence grows with each write of the entry by the upstream; 0 if it is not known, as
	// in listings that other instances have sent.
	Sequence uint64 `json:"-"`
}

const (
	// maxSlots is the highest Slots that is accepted.
	maxSlots = 1 << 20
	// maxWordBytes bounds IDs and the names of groups and failure domains.
	maxWordBytes = 255
)

// Check returns an error if the upstream cannot be used. Its ID and its group are sent to
// it, so that they must be single words.
func (up Upstream) Check() error {
	isSeparator := func(char rune) bool { return unicode.IsSpace(char) || unicode.IsControl(char) }
	isWord := func(text string) bool {
		return text != "" && len(text) <= maxWordBytes && !strings.ContainsFunc(text, isSeparator)
	}
	address, err := netip.ParseAddrPort(up.Address)
	switch {
	case !isWord(up.ID):
		return errors.Newf("upstream ID %.100q is not a word", up.ID)
	case !isWord(up.Group):
		return errors.Newf("upstream %s: group %.100q is not a word", up.ID, up.Group)
	case len(up.Domain) > maxWordBytes || strings.ContainsFunc(up.Domain, unicode.IsControl):
		return errors.Newf("upstream %s: domain %.100q is not a word", up.ID, up.Domain)
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return errors.Newf("upstream %s: want ip:port as address, got %.100q", up.ID, up.Address)
	case up.Slots < 1 || up.Slots > maxSlots:
		return errors.Newf("upstream %s: slots %d out of range", up.ID, up.Slots)
	}
	return nil
}

// IsSameIncarnation reports whether both describe the same incarnation of an upstream.
func (up Upstream) IsSameIncarnation(other Upstream) bool {
	return up.ID == other.ID && up.Incarnation == other.Incarnation && up.Address == other.Address && up.Group == other.Group
}

// View is the listing of all upstreams at one revision.
type View struct {
	// Revision is the revision of the newest change included.
	Revision uint64
	// ContentRevision is the revision since which the listing has changed only by
	// heartbeats: upstreams rewrite their entries every second, which raises
	// Revision alone.
	ContentRevision uint64
	byID            map[string]Upstream
}

// NewView returns a view of the upstreams at the revision.
func NewView(revision uint64, ups []Upstream) View {
	vi := View{Revision: revision, ContentRevision: revision, byID: make(map[string]Upstream, len(ups))}
	for _, up := range ups {
		vi.byID[up.ID] = up
	}
	return vi
}

// Change is one change of a listing.
type Change struct {
	// Upstream is the new entry; if IsRemoved is true only its ID is used.
	Upstream Upstream
	// IsRemoved is true if the entry was removed or can no longer be decoded.
	IsRemoved bool
	// Err is why the entry could not be decoded; nil if it was removed.
	Err error
}

// With returns a view with the changes applied. Its revisions are the given one,
// unless that of vi is higher.
func (vi View) With(revision uint64, changes []Change) View {
	next := View{Revision: max(vi.Revision, revision), ContentRevision: max(vi.Revision, revision), byID: make(map[string]Upstream, len(vi.byID))}
	for id, up := range vi.byID {
		next.byID[id] = up
	}
	for _, ch := range changes {
		if ch.IsRemoved {
			delete(next.byID, ch.Upstream.ID)
			continue
		}
		next.byID[ch.Upstream.ID] = ch.Upstream
	}
	return next
}

// Differences returns the upstreams that were added or changed since the old view,
// and those that were removed. The revisions and sequence numbers of entries are ignored.
func (vi View) Differences(old View) (changed, removed []Upstream) {
	for id, up := range vi.byID {
		if before, ok := old.byID[id]; !ok || !before.equalIgnoringRevision(up) {
			changed = append(changed, up)
		}
	}
	for id, up := range old.byID {
		if _, ok := vi.byID[id]; !ok {
			removed = append(removed, up)
		}
	}
	return changed, removed
}

// equalIgnoringRevision reports whether both entries are equal apart from Revision and
// Sequence.
func (up Upstream) equalIgnoringRevision(other Upstream) bool {
	other.Revision, other.Sequence = up.Revision, up.Sequence
	return up == other
}

// WithContentRevision returns the view with ContentRevision set to the revision.
func (vi View) WithContentRevision(revision uint64) View {
	vi.ContentRevision = revision
	return vi
}

// Members returns the upstreams of a group, sorted by ID.
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

// All returns all upstreams in unspecified order.
func (vi View) All() []Upstream {
	out := make([]Upstream, 0, len(vi.byID))
	for _, up := range vi.byID {
		out = append(out, up)
	}
	return out
}

// GetUpstreamByID returns the upstream with the ID, and false if there is none.
func (vi View) GetUpstreamByID(id string) (Upstream, bool) {
	up, ok := vi.byID[id]
	return up, ok
}
