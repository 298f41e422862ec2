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

// mirror holds the platform's objects that this daemon follows, and passes them
// on to the daemons that take them from here.
type mirror struct {
	mu      sync.Mutex
	objects map[string]map[string]store.Object
	// following holds the kinds that the daemon reads from the store itself.
	following map[string]bool
	// grown is closed and replaced at each change.
	grown chan struct{}
	// listVersion numbers the lists of daemons; it starts from the clock, so
	// that the lists of a later delegate are newer.
	listVersion uint64
}

func newMirror(now time.Time) *mirror {
	return &mirror{
		objects:     make(map[string]map[string]store.Object),
		following:   make(map[string]bool),
		grown:       make(chan struct{}),
		listVersion: uint64(now.UnixNano()),
	}
}

// SetFollowing notes whether the daemon reads a kind from the store itself.
func (mi *mirror) SetFollowing(kind string, follows bool) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	if mi.following[kind] == follows {
		return
	}
	mi.following[kind] = follows
	mi.wake()
}

func (mi *mirror) wake() {
	close(mi.grown)
	mi.grown = make(chan struct{})
}

// Put takes an object of a higher version.
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
	mi.wake()
}

// PutList takes the platform's list of daemons if it differs from the last.
func (mi *mirror) PutList(raw []byte) {
	mi.mu.Lock()
	last := mi.objects[store.KindInstanceList][store.KindInstanceList]
	isSame := bytes.Equal(last.Value, raw)
	// A list taken from an earlier delegate may carry a higher number.
	mi.listVersion = max(mi.listVersion, last.Version) + 1
	version := mi.listVersion
	mi.mu.Unlock()
	if !isSame {
		mi.Put(store.Object{Kind: store.KindInstanceList, Name: store.KindInstanceList, Version: version, Value: raw})
	}
}

// Watch waits for objects of a kind past the version. It reports false if the
// daemon does not follow the kind itself.
func (mi *mirror) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]store.Object, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		objs, follows, grown := mi.past(kind, after)
		if !follows || len(objs) > 0 {
			return objs, follows
		}
		select {
		case <-grown:
		case <-timer.C:
			return nil, true
		case <-ctx.Done():
			return nil, true
		}
	}
}

// Snapshot returns the objects of a kind that the daemon has.
func (mi *mirror) Snapshot(kind string) []store.Object {
	objs, _, _ := mi.past(kind, 0)
	return objs
}

func (mi *mirror) past(kind string, after uint64) ([]store.Object, bool, <-chan struct{}) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	var objs []store.Object
	for _, obj := range mi.objects[kind] {
		if obj.Version > after {
			objs = append(objs, obj)
		}
	}
	slices.SortFunc(objs, func(left, right store.Object) int { return cmp.Compare(left.Version, right.Version) })
	return objs, mi.following[kind], mi.grown
}
