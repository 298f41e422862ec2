package daemon

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"banyanspring/io/store"
)

// mirror holds this daemon's copy of the platform's objects and serves it to
// the daemons of its failure domain while this daemon is their delegate.
type mirror struct {
	mu      sync.Mutex
	objects map[string]map[string]store.Object
	// readsStore is true for the kinds that the daemon reads from the store itself.
	readsStore map[string]bool
	// changed is closed and replaced at each change, to wake the watchers.
	changed chan struct{}
	// listVersion numbers the lists of daemons, which have no version in the
	// store. It starts from the clock in nanoseconds, so that the lists of a
	// later delegate have higher numbers.
	listVersion uint64
}

func newMirror(now time.Time) *mirror {
	return &mirror{
		objects:     make(map[string]map[string]store.Object),
		readsStore:  make(map[string]bool),
		changed:     make(chan struct{}),
		listVersion: uint64(now.UnixNano()),
	}
}

// SetReadsStore sets whether the daemon reads a kind from the store itself.
func (mi *mirror) SetReadsStore(kind string, reads bool) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	if mi.readsStore[kind] == reads {
		return
	}
	mi.readsStore[kind] = reads
	mi.notifyWatchers()
}

func (mi *mirror) notifyWatchers() {
	close(mi.changed)
	mi.changed = make(chan struct{})
}

// Put stores an object unless the mirror holds the same or a higher version.
func (mi *mirror) Put(obj store.Object) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	kind := mi.objects[obj.Kind]
	if kind == nil {
		kind = make(map[string]store.Object)
		mi.objects[obj.Kind] = kind
	}
	if obj.Version <= kind[obj.Name].Version {
		return
	}
	kind[obj.Name] = obj
	mi.notifyWatchers()
}

// PutList stores the platform's list of daemons, as JSON, if it differs from
// the last one.
func (mi *mirror) PutList(raw []byte) {
	mi.mu.Lock()
	last := mi.objects[store.KindInstanceList][store.KindInstanceList]
	isSame := bytes.Equal(last.Value, raw)
	// A list that was received from an earlier delegate may have a higher number.
	mi.listVersion = max(mi.listVersion, last.Version) + 1
	version := mi.listVersion
	mi.mu.Unlock()
	if !isSame {
		mi.Put(store.Object{Kind: store.KindInstanceList, Name: store.KindInstanceList, Version: version, Value: raw})
	}
}

// Watch waits for objects of a kind with a version above after and returns none
// when the wait has passed. It reports false if the daemon does not read the
// kind from the store itself, and so may not serve it as a delegate.
func (mi *mirror) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]store.Object, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		objs, readsStore, changed := mi.newerThan(kind, after)
		if !readsStore || len(objs) > 0 {
			return objs, readsStore
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, true
		case <-ctx.Done():
			return nil, true
		}
	}
}

// Snapshot returns the daemon's copy of all objects of a kind.
func (mi *mirror) Snapshot(kind string) []store.Object {
	objs, _, _ := mi.newerThan(kind, 0)
	return objs
}

func (mi *mirror) newerThan(kind string, after uint64) ([]store.Object, bool, <-chan struct{}) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	var objs []store.Object
	for _, obj := range mi.objects[kind] {
		if obj.Version > after {
			objs = append(objs, obj)
		}
	}
	slices.SortFunc(objs, func(left, right store.Object) int { return cmp.Compare(left.Version, right.Version) })
	return objs, mi.readsStore[kind], mi.changed
}
