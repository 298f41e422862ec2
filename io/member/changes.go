package member

import (
	"encoding/json"
	"slices"

	"banyanspring/core/event"
	"banyanspring/core/revn"
)

// memberChanges is what has changed in the list of members since the revision that the
// asking member has.
type memberChanges struct {
	// At is the revision after the changes.
	At uint64 `json:"at"`
	// IsWhole is true if Objects is the complete list.
	IsWhole bool      `json:"whole,omitempty"`
	Objects []Object  `json:"objects,omitempty"`
	Removed []removal `json:"removed,omitempty"`
}

// removal is a member that was removed from the store, and a revision at which it was
// missing.
type removal struct {
	Name string `json:"name"`
	At   uint64 `json:"at"`
}

// maxRemovals bounds the removals that are kept. A member that lacks older ones gets the
// complete list.
const maxRemovals = 512

// removeAt removes a member and records at which revision it was missing; mu is held.
func (ro *roster) removeAt(name string, revision uint64) {
	ro.remove(name)
	ro.removals = append(ro.removals, removal{Name: name, At: revision})
	if len(ro.removals) > maxRemovals {
		half := len(ro.removals) / 2
		ro.historySince = ro.removals[half-1].At
		ro.removals = append(ro.removals[:0], ro.removals[half:]...)
	}
}

// changesSince returns the changes of the list of members since the revision, or the
// complete list if they are not known; nil if there are none.
func (ro *roster) changesSince(since uint64) *memberChanges {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.listRevision <= since {
		return nil
	}
	ch := &memberChanges{At: ro.listRevision, IsWhole: since == 0 || since < ro.historySince}
	for name, kn := range ro.members {
		// Each member decides itself on those that a restored store may have lost.
		if ro.missing[name] || (!ch.IsWhole && kn.token <= since) {
			continue
		}
		raw, err := json.Marshal(kn.entry)
		if err != nil {
			event.Log(ro.me.log, event.EntrySkipped, "kind", kindMember, "name", name, "error", err.Error())
			continue
		}
		ch.Objects = append(ch.Objects, Object{Name: name, Revision: kn.token, Value: raw})
	}
	if !ch.IsWhole {
		first := slices.IndexFunc(ro.removals, func(re removal) bool { return re.At > since })
		if first >= 0 {
			ch.Removed = slices.Clone(ro.removals[first:])
		}
	}
	return ch
}

// apply applies the changes that another member has sent.
func (ro *roster) apply(ch memberChanges) {
	if ch.IsWhole {
		ro.replaceBy(ch.Objects, ch.At, false)
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if revn.EraOf(ch.At) != revn.EraOf(ro.listRevision) {
		// Changes apply to a list of their own era only.
		return
	}
	for _, re := range ch.Removed {
		// A member with a higher token has joined again since.
		if kn := ro.members[re.Name]; kn != nil && kn.token <= re.At {
			ro.removeAt(re.Name, re.At)
		}
	}
	isChanged := len(ch.Removed) > 0
	for _, obj := range ch.Objects {
		isChanged = ro.put(obj) || isChanged
	}
	ro.listRevision = max(ro.listRevision, ch.At)
	if isChanged {
		ro.membersChanged()
	}
}
