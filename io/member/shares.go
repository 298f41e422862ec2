package member

import (
	"cmp"
	"slices"
	"sync"

	"banyanspring/core/catlg"
	"banyanspring/core/group"
	"banyanspring/core/place"
	"banyanspring/core/share"
)

// shares caches this member's shares of the upstreams' connections, which are
// computed from all members and change only with them. It is safe for concurrent
// use.
type shares struct {
	mu sync.Mutex
	// members is the list from which the cached shares were computed.
	members []share.Member
	cached  map[shareKey]share.Share
}

// shareKey holds what a share depends on besides the members.
type shareKey struct {
	upstream    string
	at          place.Site
	connections int
}

// get returns the share that is cached for the members, or else computes it.
func (sh *shares) get(ke shareKey, members []share.Member, compute func() share.Share) share.Share {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !isSameList(sh.members, members) || sh.cached == nil {
		sh.members, sh.cached = members, map[shareKey]share.Share{}
	}
	got, ok := sh.cached[ke]
	if !ok {
		got = compute()
		sh.cached[ke] = got
	}
	return got
}

// isSameList reports whether both are the same slice; lists of members are never
// changed in place.
func isSameList(left, right []share.Member) bool {
	if len(left) == 0 || len(right) == 0 {
		return len(left) == len(right)
	}
	return len(left) == len(right) && &left[0] == &right[0]
}

// share returns this member's share of an upstream's connections.
func (me *Member) share(up group.Upstream, gr catlg.Group) share.Share {
	ke := shareKey{
		upstream: up.ID, at: place.Site{Domain: up.Domain, Region: me.settings.RegionOf[up.Domain]}, connections: gr.Connections,
	}
	members := me.roster.shareMembers()
	return me.shares.get(ke, members, func() share.Share {
		return share.Compute(ke.upstream, ke.at, ke.connections, members, me.settings.Name)
	})
}

// shareMembers returns all members, sorted by name. Unreachable members are
// included until they are removed from the store, so that all members compute the
// same shares.
func (ro *roster) shareMembers() []share.Member {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.shared == nil {
		ro.shared = make([]share.Member, 0, len(ro.members))
		for _, kn := range ro.members {
			ro.shared = append(ro.shared, share.Member{
				Name: kn.entry.Name, Address: kn.entry.Relay, Weight: kn.entry.Weight,
				Site: place.Site{Domain: kn.entry.Domain, Region: kn.entry.Region},
			})
		}
		slices.SortFunc(ro.shared, func(left, right share.Member) int { return cmp.Compare(left.Name, right.Name) })
	}
	return ro.shared
}
