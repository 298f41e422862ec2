// Package place computes which daemon is home of an upstream, by rendezvous
// hashing over a membership view and without an election.
package place

import (
	"github.com/cespare/xxhash/v2"
)

// Member is one daemon in a membership view.
type Member struct {
	// ID is unique in the fleet.
	ID string
	// Address is where the daemon serves its peers, "ip:port".
	Address string
	// Domain is the daemon's failure domain.
	Domain string
	// Region is the region of the failure domain.
	Region string
	// Leaving members take no new roles.
	Leaving bool
}

// Site names where an upstream stands.
type Site struct {
	// Domain is the upstream's failure domain.
	Domain string
	// Region is the region of the failure domain.
	Region string
}

// View is an immutable set of members.
type View struct {
	members []Member
}

// New returns a view of the members given; the slice is copied.
func New(members []Member) View {
	return View{members: append([]Member(nil), members...)}
}

// Members returns all members; the result must not be changed.
func (vi View) Members() []Member { return vi.members }

// GetMemberByID finds a member.
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
// failure domain if there is any, else in its region, else anywhere. It
// reports false if no member may take the role.
func (vi View) Home(upstream string, at Site) (Member, bool) {
	inDomain := func(mem Member) bool { return mem.Domain == at.Domain }
	inRegion := func(mem Member) bool { return mem.Region == at.Region }
	anywhere := func(Member) bool { return true }
	for _, fits := range []func(Member) bool{inDomain, inRegion, anywhere} {
		if mem, ok := vi.highest(upstream, fits); ok {
			return mem, true
		}
	}
	return Member{}, false
}

// Delegate returns the daemon that follows the platform for a failure domain.
func (vi View) Delegate(domain string) (Member, bool) {
	return vi.highest("delegate/"+domain, func(mem Member) bool { return mem.Domain == domain })
}

func (vi View) highest(key string, fits func(Member) bool) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, mem := range vi.members {
		if mem.Leaving || !fits(mem) {
			continue
		}
		score := score(key, mem.ID)
		if !found || score > bestScore || (score == bestScore && mem.ID < best.ID) {
			best, bestScore, found = mem, score, true
		}
	}
	return best, found
}

func score(key, member string) uint64 {
	dig := xxhash.New()
	_, _ = dig.WriteString(key)
	_, _ = dig.Write([]byte{0})
	_, _ = dig.WriteString(member)
	return dig.Sum64()
}
