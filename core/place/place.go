// Package place computes which daemon is the home of an upstream, that is, holds
// the connections to it. It uses rendezvous hashing over a membership view, so that
// no election is needed.
package place

import (
	"github.com/cespare/xxhash/v2"
)

// Member is a daemon in a membership view.
type Member struct {
	// ID is unique in the fleet.
	ID string
	// Address is where the daemon serves its peers, "ip:port".
	Address string
	// Domain is the daemon's failure domain.
	Domain string
	// Region is the region of the failure domain.
	Region string
	// Leaving members are given no roles.
	Leaving bool
}

// Site is a location in the topology.
type Site struct {
	// Domain is the failure domain.
	Domain string
	// Region is the region of the failure domain.
	Region string
}

// View is an immutable set of members.
type View struct {
	members []Member
}

// New returns a view of a copy of the members.
func New(members []Member) View {
	return View{members: append([]Member(nil), members...)}
}

// Members returns all members; the caller must not modify the result.
func (vi View) Members() []Member { return vi.members }

// GetMemberByID returns the member with the ID, and false if there is none.
func (vi View) GetMemberByID(id string) (Member, bool) {
	for _, mem := range vi.members {
		if mem.ID == id {
			return mem, true
		}
	}
	return Member{}, false
}

// WithLeaving returns a view in which the member is leaving.
func (vi View) WithLeaving(id string) View {
	next := New(vi.members)
	for pos := range next.members {
		if next.members[pos].ID == id {
			next.members[pos].Leaving = true
		}
	}
	return next
}

// Home returns the daemon that is home of the upstream: one in the upstream's
// failure domain if there is any, else in its region, else anywhere. It returns
// false if there are no members or all are leaving.
func (vi View) Home(upstream string, at Site) (Member, bool) {
	inDomain := func(mem Member) bool { return mem.Domain == at.Domain }
	inRegion := func(mem Member) bool { return mem.Region == at.Region }
	anywhere := func(Member) bool { return true }
	for _, isEligible := range []func(Member) bool{inDomain, inRegion, anywhere} {
		if mem, ok := vi.highestScored(upstream, isEligible); ok {
			return mem, true
		}
	}
	return Member{}, false
}

// Delegate returns the daemon that watches the platform for a failure domain, and
// false if the domain has no members or all are leaving.
func (vi View) Delegate(domain string) (Member, bool) {
	return vi.highestScored("delegate/"+domain, func(mem Member) bool { return mem.Domain == domain })
}

// highestScored returns the eligible member with the highest score for the key.
// Leaving members are skipped; equal scores go to the lower ID.
func (vi View) highestScored(key string, isEligible func(Member) bool) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, mem := range vi.members {
		if mem.Leaving || !isEligible(mem) {
			continue
		}
		score := rendezvousScore(key, mem.ID)
		if !found || score > bestScore || (score == bestScore && mem.ID < best.ID) {
			best, bestScore, found = mem, score, true
		}
	}
	return best, found
}

// rendezvousScore returns the hash of a key and a member.
func rendezvousScore(key, member string) uint64 {
	dig := xxhash.New()
	_, _ = dig.WriteString(key)
	_, _ = dig.Write([]byte{0})
	_, _ = dig.WriteString(member)
	return dig.Sum64()
}
