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

// shares holds this member's shares of the upstreams' connections, which are
// worked out from all members and change with them alone. It is safe for
// concurrent use.
type shares struct {
	mu sync.Mutex
	// members is what the shares were worked out from.
	members []share.Member
	held    map[shareOf]share.Share
}

// shareOf names what a share depends on besides the members.
type shareOf struct {
	upstream    string
	at          place.Site
	connections int
}

// get returns a share, worked out by workOut if it is not held for the members.
func (sh *shares) get(of shareOf, members []share.Member, workOut func() share.Share) share.Share {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !isSameList(sh.members, members) || sh.held == nil {
		sh.members, sh.held = members, map[shareOf]share.Share{}
	}
	got, ok := sh.held[of]
	if !ok {
		got = workOut()
		sh.held[of] = got
	}
	return got
}

// isSameList reports whether both are one list; lists of members are never
// changed in place.
func isSameList(left, right []share.Member) bool {
	if len(left) == 0 || len(right) == 0 {
		return len(left) == len(right)
	}
	return len(left) == len(right) && &left[0] == &right[0]
}

// share returns this member's share of an upstream's connections.
func (me *Member) share(up group.Upstream, gr catlg.Group) share.Share {
	of := shareOf{
		upstream: up.ID, at: place.Site{Domain: up.Domain, Region: me.settings.RegionOf[up.Domain]}, connections: gr.Connections,
	}
	members := me.roster.sharers()
	return me.shares.get(of, members, func() share.Share {
		return share.Of(of.upstream, of.at, of.connections, members, me.settings.Name)
	})
}

// sharers returns all members, by name. Those that do not answer are among
// them until they are taken out of the store, so that all members agree.
func (ro *roster) sharers() []share.Member {
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
