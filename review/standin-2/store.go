package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in of the platform's object store and of its failover API.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]*stored
	events  []storeEvent
	changed chan struct{}
	// address serves both the store and the failover API.
	address  string
	failover func(service, id string, token uint64) int
	rec      *recorder
	// isAway is true while the store is down for everybody.
	isAway atomic.Bool
}

type stored struct {
	rev    uint64
	spec   json.RawMessage
	status json.RawMessage
}

type storeEvent struct {
	rev     uint64
	kind    string
	name    string
	deleted bool
	spec    json.RawMessage
}

type wireMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedAt  int64    `json:"created-at"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type wireObject struct {
	Meta   wireMeta        `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

func toWire(name string, rev uint64, spec json.RawMessage) wireObject {
	return wireObject{Meta: wireMeta{Name: name, Revision: rev, Finalizers: []string{}}, Spec: spec}
}

func newStore(rec *recorder) *store {
	st := &store{rev: 1, objects: map[string]map[string]*stored{}, changed: make(chan struct{}), rec: rec}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	st.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/banyanspring/objects/", st.serve)
	mux.HandleFunc("POST /failover", st.serveFailover)
	go func() { _ = http.Serve(ln, mux) }()
	return st
}

// door is an address of the store for one machine, which the store may turn away.
type door struct {
	address string
	isShut  atomic.Bool
}

func (st *store) openDoor() *door {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	dr := &door{address: ln.Addr().String()}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
			if dr.isShut.Load() || st.isAway.Load() {
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			st.serve(rw, rq)
		}))
	}()
	return dr
}

// oldest returns the names of the objects of a kind, the one that was written first first.
func (st *store) oldest(kind string) []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	var names []string
	for name := range st.objects[kind] {
		names = append(names, name)
	}
	sort.Slice(names, func(left, right int) bool {
		return st.objects[kind][names[left]].rev < st.objects[kind][names[right]].rev
	})
	return names
}

func (st *store) serveFailover(rw http.ResponseWriter, rq *http.Request) {
	var body struct{ Service, ID string }
	raw, _ := io.ReadAll(rq.Body)
	_ = json.Unmarshal(raw, &body)
	token, _ := strconv.ParseUint(rq.Header.Get("Fencing-Token"), 10, 64)
	status := st.failover(body.Service, body.ID, token)
	st.rec.add("platform: failover of %s to %s by %s with token %d answered %d", body.Service, body.ID, rq.Header.Get("Duty-Holder"), token, status)
	rw.WriteHeader(status)
}

// put writes an object without a condition, as the operator and the databases do.
func (st *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	must(err)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.set(kind, name, raw)
}

// remove deletes an object, if it is there.
func (st *store) remove(kind, name string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.objects[kind][name] != nil {
		st.drop(kind, name)
	}
}

// set writes an object; mu is held.
func (st *store) set(kind, name string, raw json.RawMessage) *stored {
	if st.objects[kind] == nil {
		st.objects[kind] = map[string]*stored{}
	}
	if old := st.objects[kind][name]; old != nil && string(old.spec) == string(raw) {
		return old
	}
	st.rev++
	ob := &stored{rev: st.rev, spec: raw}
	st.objects[kind][name] = ob
	st.publish(storeEvent{rev: st.rev, kind: kind, name: name, spec: raw})
	return ob
}

// drop deletes an object; mu is held.
func (st *store) drop(kind, name string) {
	st.rev++
	old := st.objects[kind][name]
	delete(st.objects[kind], name)
	st.publish(storeEvent{rev: st.rev, kind: kind, name: name, deleted: true, spec: old.spec})
}

func (st *store) publish(ev storeEvent) {
	st.events = append(st.events, ev)
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) serve(rw http.ResponseWriter, rq *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(rq.URL.Path, "/banyanspring/objects/"), "/")
	name = strings.TrimSuffix(name, "/status")
	body, _ := io.ReadAll(rq.Body)
	var ob wireObject
	_ = json.Unmarshal(body, &ob)
	query := rq.URL.Query()
	rw.Header().Set("Content-Type", "application/json")
	if rq.Method == http.MethodGet && query.Has("watch") {
		since, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		st.watch(rw, rq, kind, since, time.Duration(wait)*time.Millisecond)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	answer := func(status int, body any) {
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body)
	}
	old := st.objects[kind][name]
	switch {
	case rq.Method == http.MethodGet && name == "":
		items := []wireObject{}
		for key, one := range st.objects[kind] {
			items = append(items, toWire(key, one.rev, one.spec))
		}
		sort.Slice(items, func(left, right int) bool { return items[left].Meta.Name < items[right].Meta.Name })
		answer(http.StatusOK, map[string]any{"items": items, "has-more": false, "current-rev": st.rev})
	case rq.Method == http.MethodPost:
		if old := st.objects[kind][ob.Meta.Name]; old != nil {
			answer(http.StatusConflict, toWire(ob.Meta.Name, old.rev, old.spec))
			return
		}
		made := st.set(kind, ob.Meta.Name, ob.Spec)
		answer(http.StatusCreated, toWire(ob.Meta.Name, made.rev, made.spec))
	case old == nil:
		answer(http.StatusNotFound, map[string]any{})
	case rq.Method == http.MethodGet:
		answer(http.StatusOK, toWire(name, old.rev, old.spec))
	case rq.Method == http.MethodPut:
		if ob.Meta.Revision != 0 && ob.Meta.Revision != old.rev {
			answer(http.StatusConflict, toWire(name, old.rev, old.spec))
			return
		}
		made := st.set(kind, name, ob.Spec)
		answer(http.StatusOK, toWire(name, made.rev, made.spec))
	case rq.Method == http.MethodDelete:
		if rev, _ := strconv.ParseUint(query.Get("revision"), 10, 64); rev != 0 && rev != old.rev {
			answer(http.StatusConflict, toWire(name, old.rev, old.spec))
			return
		}
		st.drop(kind, name)
		answer(http.StatusOK, map[string]any{})
	default:
		rw.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (st *store) watch(rw http.ResponseWriter, rq *http.Request, kind string, since uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	type wireEvent struct {
		Object  wireObject `json:"object"`
		Deleted bool       `json:"deleted"`
	}
	for isLast := false; ; {
		st.mu.Lock()
		events := []wireEvent{}
		for _, ev := range st.events {
			if ev.rev > since && ev.kind == kind {
				events = append(events, wireEvent{toWire(ev.name, ev.rev, ev.spec), ev.deleted})
			}
		}
		rev, changed := st.rev, st.changed
		st.mu.Unlock()
		if len(events) > 0 || isLast {
			_ = json.NewEncoder(rw).Encode(map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isLast = true
		case <-rq.Context().Done():
			return
		}
	}
}
