package daemon

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"banyanspring/core/posn"
	"banyanspring/io/store"
)

// groupCache holds the database groups as last read from the platform's store,
// with the newest term known for each. Readers load a snapshot without a lock.
type groupCache struct {
	mu     sync.Mutex
	groups atomic.Pointer[map[string]knownGroup]
}

// knownGroup is the newest known state of one group, which may be ahead of the
// store.
type knownGroup struct {
	// Group carries the newest known term, from the store, a peer or an upstream.
	Group store.Group
	// version is the version of the store's object; it never decreases.
	version uint64
	// storedTerm is the term in the store's object.
	storedTerm posn.Term
}

func newGroupCache() *groupCache {
	gc := &groupCache{}
	gc.groups.Store(&map[string]knownGroup{})
	return gc
}

// Get returns a group by name.
func (gc *groupCache) Get(name string) (store.Group, bool) {
	kn, ok := (*gc.groups.Load())[name]
	return kn.Group, ok
}

// lookup returns a group with the store's version and term.
func (gc *groupCache) lookup(name string) (knownGroup, bool) {
	kn, ok := (*gc.groups.Load())[name]
	return kn, ok
}

// List returns all groups.
func (gc *groupCache) List() []store.Group {
	all := *gc.groups.Load()
	out := make([]store.Group, 0, len(all))
	for _, kn := range all {
		out = append(out, kn.Group)
	}
	return out
}

// update replaces a group by an object of a higher version. A term that is
// newer than the object's is kept.
func (gc *groupCache) update(obj store.Object) error {
	var gr store.Group
	if err := json.Unmarshal(obj.Value, &gr); err != nil {
		return err
	}
	gc.mu.Lock()
	defer gc.mu.Unlock()
	old := (*gc.groups.Load())[gr.Name]
	if obj.Version <= old.version {
		return nil
	}
	next := knownGroup{Group: gr, version: obj.Version, storedTerm: termOf(gr)}
	if old.version > 0 && termOf(old.Group).Compare(next.storedTerm) > 0 {
		next.Group = withTerm(gr, termOf(old.Group))
	}
	gc.put(next)
	return nil
}

// learnTerm records a term that a peer or an upstream reported and reports
// whether it was newer. A term whose primary is not in the group is ignored.
func (gc *groupCache) learnTerm(name string, te posn.Term) bool {
	kn, ok := gc.lookup(name)
	if !ok || te.Compare(termOf(kn.Group)) <= 0 {
		return false
	}
	gc.mu.Lock()
	defer gc.mu.Unlock()
	kn = (*gc.groups.Load())[name]
	if _, isMember := kn.Group.GetMemberByName(te.Primary); !isMember || te.Compare(termOf(kn.Group)) <= 0 {
		return false
	}
	kn.Group = withTerm(kn.Group, te)
	gc.put(kn)
	return true
}

// put publishes a new snapshot in which one group is replaced; mu is held.
func (gc *groupCache) put(kn knownGroup) {
	next := make(map[string]knownGroup)
	for name, old := range *gc.groups.Load() {
		next[name] = old
	}
	next[kn.Group.Name] = kn
	gc.groups.Store(&next)
}

func termOf(gr store.Group) posn.Term {
	return posn.Term{Number: gr.TermNumber, Primary: gr.Primary}
}

func withTerm(gr store.Group, te posn.Term) store.Group {
	gr.TermNumber = te.Number
	gr.Primary = te.Primary
	return gr
}
