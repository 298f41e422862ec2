package daemon

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/event"
	"banyanspring/core/place"
	"banyanspring/io/store"
)

// membership merges the platform's list of daemons, which lags, with failures
// that the daemon observed and leave messages that it received. Its members are
// daemons, unlike those of a store.Group.
type membership struct {
	view atomic.Pointer[place.View]
	log  *slog.Logger

	mu sync.Mutex
	// listed is the platform's list as last read.
	listed []place.Member
	// leaving holds members that announced their shutdown, with the time from
	// which the platform's list decides again whether they are leaving.
	leaving map[string]time.Time
	// suspects holds members that failed, with the time after which they may
	// take roles again.
	suspects map[string]time.Time
	self     place.Member
}

const (
	// suspectDuration is how long a failed member takes no role.
	suspectDuration = 2 * time.Second
	// leavingDuration is how long a member's leave message overrides the list.
	leavingDuration = 30 * time.Second
)

func newMembership(self place.Member, log *slog.Logger) *membership {
	ms := &membership{
		log:      log,
		leaving:  make(map[string]time.Time),
		suspects: make(map[string]time.Time),
		self:     self,
	}
	ms.rebuild()
	return ms
}

// View returns the current members, after expired entries are removed.
func (ms *membership) View(now time.Time) place.View {
	ms.expire(now)
	return *ms.view.Load()
}

// SetListed replaces the platform's list.
func (ms *membership) SetListed(list []store.Instance) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.listed = ms.listed[:0]
	for _, ins := range list {
		ms.listed = append(ms.listed, place.Member{
			ID:      ins.ID,
			Address: ins.Address,
			Domain:  ins.Domain,
			Region:  ins.Region,
			Leaving: ins.Leaving,
		})
	}
	ms.rebuild()
}

// SetSelf replaces the daemon's own entry.
func (ms *membership) SetSelf(self place.Member) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.self = self
	ms.rebuild()
}

// SetLeaving records that a member announced its shutdown.
func (ms *membership) SetLeaving(id string, now time.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.leaving[id] = now.Add(leavingDuration)
	ms.rebuild()
}

// Suspect records that a member failed to answer; it takes no role for a while.
func (ms *membership) Suspect(id string, now time.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if _, isKnown := ms.suspects[id]; !isKnown {
		event.Log(ms.log, event.PeerUnreached, "member", id)
	}
	ms.suspects[id] = now.Add(suspectDuration)
	ms.rebuild()
}

func (ms *membership) expire(now time.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	changed := removeExpired(ms.suspects, now)
	if removeExpired(ms.leaving, now) || changed {
		ms.rebuild()
	}
}

func removeExpired(until map[string]time.Time, now time.Time) bool {
	dropped := false
	for id, at := range until {
		if !now.Before(at) {
			delete(until, id)
			dropped = true
		}
	}
	return dropped
}

// rebuild computes the view. A suspect counts as leaving; if that leaves no
// member in a failure domain, place falls back to other domains.
func (ms *membership) rebuild() {
	members := []place.Member{ms.self}
	for _, mem := range ms.listed {
		if mem.ID == ms.self.ID {
			continue
		}
		_, isSuspect := ms.suspects[mem.ID]
		_, isLeaving := ms.leaving[mem.ID]
		mem.Leaving = mem.Leaving || isSuspect || isLeaving
		members = append(members, mem)
	}
	vi := place.New(members)
	ms.view.Store(&vi)
}
