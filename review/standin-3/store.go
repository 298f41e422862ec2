package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedAt  int64    `json:"created-at"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store and for its call that appoints a
// database.
type store struct {
	address string
	rec     *recorder
	group   *group

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
	// fence is the highest token of a call that was carried out.
	fence uint64
}

func newStore(gr *group, rec *recorder) *store {
	st := &store{rec: rec, group: gr, revision: 100, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	st.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/banyanspring/objects/", st.serve)
	mux.HandleFunc("POST /failover", st.failover)
	go func() { _ = http.Serve(ln, mux) }()
	return st
}

// notify wakes the waiting watches; mu is held.
func (st *store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// put writes an object as the operator or a database does.
func (st *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	must(err)
	st.mu.Lock()
	defer st.mu.Unlock()
	if old, ok := st.kinds[kind][name]; ok && string(old.Spec) == string(raw) {
		return
	}
	st.write(kind, object{Meta: meta{Name: name}, Spec: raw})
}

// write stores an object; mu is held.
func (st *store) write(kind string, obj object) object {
	if st.kinds[kind] == nil {
		st.kinds[kind] = make(map[string]object)
	}
	if obj.Meta.Finalizers == nil {
		obj.Meta.Finalizers = []string{}
	}
	if len(obj.Status) == 0 {
		obj.Status = json.RawMessage("{}")
	}
	st.revision++
	obj.Meta.Revision, obj.Meta.CreatedAt = st.revision, time.Now().UnixMilli()
	st.kinds[kind][obj.Meta.Name] = obj
	st.history = append(st.history, change{kind: kind, revision: st.revision, Object: obj})
	st.notify()
	return obj
}

// remove deletes an object; mu is held.
func (st *store) remove(kind, name string) {
	obj := st.kinds[kind][name]
	delete(st.kinds[kind], name)
	st.revision++
	obj.Meta.Revision = st.revision
	st.history = append(st.history, change{kind: kind, revision: st.revision, Object: obj, Deleted: true})
	st.notify()
}

func answer(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (st *store) serve(rw http.ResponseWriter, rq *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(rq.URL.Path, "/banyanspring/objects/"), "/")
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case rq.Method == http.MethodGet && name != "":
		if obj, ok := st.kinds[kind][name]; ok {
			answer(rw, http.StatusOK, obj)
			return
		}
		rw.WriteHeader(http.StatusNotFound)
	case rq.Method == http.MethodGet && rq.URL.Query().Get("watch") != "":
		st.watch(rw, rq, kind)
	case rq.Method == http.MethodGet:
		st.list(rw, kind, rq.URL.Query().Get("after"))
	default:
		st.modify(rw, rq, kind, name)
	}
}

// modify serves POST, PUT and DELETE; mu is held.
func (st *store) modify(rw http.ResponseWriter, rq *http.Request, kind, name string) {
	var obj object
	_ = json.NewDecoder(rq.Body).Decode(&obj)
	wanted := obj.Meta.Revision
	if text := rq.URL.Query().Get("revision"); text != "" {
		wanted, _ = strconv.ParseUint(text, 10, 64)
	}
	if rq.Method == http.MethodPost {
		name = obj.Meta.Name
	}
	obj.Meta.Name = name
	old, exists := st.kinds[kind][name]
	isOther := exists && wanted != 0 && wanted != old.Meta.Revision
	switch {
	case rq.Method == http.MethodPost && exists, isOther:
		answer(rw, http.StatusConflict, old)
	case rq.Method != http.MethodPost && !exists:
		rw.WriteHeader(http.StatusNotFound)
	case rq.Method == http.MethodDelete:
		st.remove(kind, name)
		answer(rw, http.StatusOK, old)
	case rq.Method == http.MethodPut && string(old.Spec) == string(obj.Spec):
		answer(rw, http.StatusOK, old)
	default:
		answer(rw, http.StatusOK, st.write(kind, obj))
	}
}

// list serves a page; mu is held.
func (st *store) list(rw http.ResponseWriter, kind, after string) {
	const page = 500
	items := []object{}
	hasMore := false
	for _, name := range slices.Sorted(maps.Keys(st.kinds[kind])) {
		if name <= after {
			continue
		}
		if len(items) == page {
			hasMore = true
			break
		}
		items = append(items, st.kinds[kind][name])
	}
	answer(rw, http.StatusOK, map[string]any{"items": items, "has-more": hasMore, "current-rev": st.revision})
}

// watch serves a watch; mu is held, and released while it waits.
func (st *store) watch(rw http.ResponseWriter, rq *http.Request, kind string) {
	since, _ := strconv.ParseUint(rq.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(rq.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		events := []change{}
		for _, ch := range st.history {
			if ch.kind == kind && ch.revision > since {
				events = append(events, ch)
			}
		}
		if len(events) > 0 || isOver {
			answer(rw, http.StatusOK, map[string]any{"events": events, "current-rev": st.revision})
			return
		}
		changed := st.changed
		st.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-rq.Context().Done():
			isOver = true
		}
		st.mu.Lock()
	}
}

// failover appoints a database. Its fence is checked when it is carried out.
func (st *store) failover(rw http.ResponseWriter, rq *http.Request) {
	body := struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}{}
	_ = json.NewDecoder(rq.Body).Decode(&body)
	token, _ := strconv.ParseUint(rq.Header.Get("Fencing-Token"), 10, 64)
	holder := rq.Header.Get("Duty-Holder")
	st.rec.add("platform: call of %s with token %d for %s", holder, token, body.ID)
	if !st.execute(holder, body.ID, token) {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	answer(rw, http.StatusOK, struct{}{})
}

func (st *store) execute(holder, id string, token uint64) bool {
	st.mu.Lock()
	isOld := token < st.fence
	if !isOld && st.group.isUp(id) {
		st.fence = token
	} else {
		isOld = true
	}
	st.mu.Unlock()
	st.rec.add("platform: call of %s with token %d for %s is carried out: %t", holder, token, id, !isOld)
	if isOld {
		return false
	}
	if !st.group.isLeader(id) {
		time.AfterFunc(promoteTime, func() { st.group.promote(id) })
	}
	return true
}
