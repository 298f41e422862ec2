package daemon

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"banyanspring/core/posn"
	"banyanspring/io/store"
)

// groupCache holds the database groups as the platform last described them,
// with the newest terms that the daemon has learned of. Readers load it without
// a lock.
type groupCache struct {
	mu     sync.Mutex
	groups atomic.Pointer[map[string]knownGroup]
}

// knownGroup is one group with what the store does not say yet.
type knownGroup struct {
	// Group leads the newest term known, whoever told of it.
	Group store.Group
	// version is that of the store's object; it never falls.
	version uint64
	// stored is the term that the store's object names.
	stored posn.Term
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

// known returns a group with the store's version and term.
func (gc *groupCache) known(name string) (knownGroup, bool) {
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

// offer takes a newer description of a group; a newer term known here stays.
func (gc *groupCache) offer(obj store.Object) error {
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
	next := knownGroup{Group: gr, version: obj.Version, stored: termOf(gr)}
	if old.version > 0 && termOf(old.Group).Compare(next.stored) > 0 {
		next.Group = withTerm(gr, termOf(old.Group))
	}
	gc.store(next)
	return nil
}

// learn takes a term that a peer or an upstream told of; it reports whether
// the term was new.
func (gc *groupCache) learn(name string, te posn.Term) bool {
	kn, ok := gc.known(name)
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
	gc.store(kn)
	return true
}

// store replaces one group in a new snapshot; mu is held.
func (gc *groupCache) store(kn knownGroup) {
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
