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

// membership merges the platform's list with what the daemon has seen itself.
type membership struct {
	view atomic.Pointer[place.View]
	log  *slog.Logger

	mu sync.Mutex
	// listed is the platform's list as last read.
	listed []place.Member
	// leaving holds members that said so themselves, until the list agrees.
	leaving map[string]time.Time
	// suspects holds members that failed, until they are worth another try.
	suspects map[string]time.Time
	self     place.Member
}

const (
	// suspectPause is how long a failed member takes no role.
	suspectPause = 2 * time.Second
	// leavingPause is how long a member's own word outweighs the list.
	leavingPause = 30 * time.Second
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

// View returns the members; it is rebuilt once a suspicion has passed.
func (ms *membership) View(now time.Time) place.View {
	ms.expire(now)
	return *ms.view.Load()
}

// SetListed takes the platform's list.
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

// SetSelf changes what the daemon says of itself.
func (ms *membership) SetSelf(self place.Member) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.self = self
	ms.rebuild()
}

// SetLeaving notes that a member said that it is leaving.
func (ms *membership) SetLeaving(id string, now time.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.leaving[id] = now.Add(leavingPause)
	ms.rebuild()
}

// Suspect notes that a member did not answer.
func (ms *membership) Suspect(id string, now time.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if _, isKnown := ms.suspects[id]; !isKnown {
		event.Log(ms.log, event.PeerUnreached, "member", id)
	}
	ms.suspects[id] = now.Add(suspectPause)
	ms.rebuild()
}

func (ms *membership) expire(now time.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	changed := dropPast(ms.suspects, now)
	if dropPast(ms.leaving, now) || changed {
		ms.rebuild()
	}
}

func dropPast(until map[string]time.Time, now time.Time) bool {
	dropped := false
	for id, at := range until {
		if !now.Before(at) {
			delete(until, id)
			dropped = true
		}
	}
	return dropped
}

// rebuild makes the view. A suspect counts as leaving; if that left nobody the
// suspicion would be worth nothing, and place falls back to other domains.
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
