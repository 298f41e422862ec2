package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store, as PROTOCOL.md shows it.
type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		CreatedAt  int64    `json:"created-at"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// storeChange is one event of a watch.
type storeChange struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the platform's store. It is linearizable and keeps its history.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []storeChange
	changed  chan struct{}
}

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

func newStore() *store {
	st := &store{revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	ln := listen("127.0.0.1:0")
	st.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/banyanspring/objects/", st.handle)
	go func() { _ = http.Serve(ln, mux) }()
	return st
}

func listen(address string) net.Listener {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		giveUp("listen on %s: %v", address, err)
	}
	return ln
}

// put writes an object without a condition, as the operator and the databases do.
func (st *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		giveUp("encode %s/%s: %v", kind, name, err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	var obj object
	obj.Meta.Name, obj.Spec = name, raw
	st.write(kind, obj)
}

// drop removes an object if there is one.
func (st *store) drop(kind, name string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, ok := st.kinds[kind][name]; ok {
		st.remove(kind, name)
	}
}

// write stores an object; mu is held.
func (st *store) write(kind string, obj object) object {
	if st.kinds[kind] == nil {
		st.kinds[kind] = map[string]object{}
	}
	if obj.Meta.Finalizers == nil {
		obj.Meta.Finalizers = []string{}
	}
	st.revision++
	obj.Meta.Revision = st.revision
	st.kinds[kind][obj.Meta.Name] = obj
	st.publish(storeChange{kind: kind, revision: st.revision, Object: obj})
	return obj
}

// remove deletes an object; mu is held.
func (st *store) remove(kind, name string) {
	obj := st.kinds[kind][name]
	delete(st.kinds[kind], name)
	st.revision++
	st.publish(storeChange{kind: kind, revision: st.revision, Object: obj, Deleted: true})
}

func (st *store) publish(ch storeChange) {
	st.history = append(st.history, ch)
	close(st.changed)
	st.changed = make(chan struct{})
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (st *store) handle(rw http.ResponseWriter, rq *http.Request) {
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(rq.URL.Path, "/banyanspring/objects/"), "/")
	st.mu.Lock()
	defer st.mu.Unlock()
	if rq.Method == http.MethodGet {
		st.get(rw, rq, kind, name)
		return
	}
	var obj object
	_ = json.NewDecoder(rq.Body).Decode(&obj)
	condition := obj.Meta.Revision
	if text := rq.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	if name == "" {
		name = obj.Meta.Name
	}
	old, exists := st.kinds[kind][name]
	switch {
	case rq.Method == http.MethodPost && exists, exists && condition != 0 && condition != old.Meta.Revision:
		reply(rw, http.StatusConflict, old)
	case rq.Method == http.MethodPost:
		reply(rw, http.StatusOK, st.write(kind, obj))
	case !exists:
		reply(rw, http.StatusNotFound, map[string]string{})
	case rq.Method == http.MethodDelete:
		st.remove(kind, name)
		reply(rw, http.StatusOK, old)
	case string(old.Spec) == string(obj.Spec):
		reply(rw, http.StatusOK, old)
	default:
		reply(rw, http.StatusOK, st.write(kind, obj))
	}
}

// pageSize bounds the objects of one page of a list.
const pageSize = 500

// get serves a list, a watch or one object; mu is held.
func (st *store) get(rw http.ResponseWriter, rq *http.Request, kind, name string) {
	query := rq.URL.Query()
	if name != "" {
		obj, ok := st.kinds[kind][name]
		if !ok {
			reply(rw, http.StatusNotFound, map[string]string{})
			return
		}
		reply(rw, http.StatusOK, obj)
		return
	}
	if text := query.Get("watch"); text != "" {
		since, _ := strconv.ParseUint(text, 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		st.watch(rw, rq, kind, since, time.Duration(wait)*time.Millisecond)
		return
	}
	var names []string
	for each := range st.kinds[kind] {
		if each > query.Get("after") {
			names = append(names, each)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, each := range names[:min(len(names), pageSize)] {
		items = append(items, st.kinds[kind][each])
	}
	reply(rw, http.StatusOK, map[string]any{"items": items, "has-more": len(names) > pageSize, "current-rev": st.revision})
}

// watch answers as soon as there is an event; mu is held, except while it waits.
func (st *store) watch(rw http.ResponseWriter, rq *http.Request, kind string, since uint64, wait time.Duration) {
	until := time.After(wait)
	for {
		events := []storeChange{}
		for _, ch := range st.history {
			if ch.kind == kind && ch.revision > since {
				events = append(events, ch)
			}
		}
		isOver := false
		if len(events) == 0 {
			changed := st.changed
			st.mu.Unlock()
			select {
			case <-changed:
			case <-until:
				isOver = true
			case <-rq.Context().Done():
				isOver = true
			}
			st.mu.Lock()
		}
		if len(events) > 0 || isOver {
			reply(rw, http.StatusOK, map[string]any{"events": events, "current-rev": st.revision})
			return
		}
	}
}

// failover is a stand-in for the platform's failover call. It checks fences and promotes
// the database some time after it has accepted the call.
type failover struct {
	address string
	groups  map[string]*group

	mu     sync.Mutex
	fences map[string]uint64
}

func newFailover(groups []*group) *failover {
	fo := &failover{groups: map[string]*group{}, fences: map[string]uint64{}}
	for _, gr := range groups {
		fo.groups[gr.name] = gr
	}
	ln := listen("127.0.0.1:0")
	fo.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", fo.handle)
	go func() { _ = http.Serve(ln, mux) }()
	return fo
}

func (fo *failover) handle(rw http.ResponseWriter, rq *http.Request) {
	time.Sleep(storeDelay)
	body := struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}{}
	_ = json.NewDecoder(rq.Body).Decode(&body)
	fence, _ := strconv.ParseUint(rq.Header.Get("Fencing-Token"), 10, 64)
	holder := rq.Header.Get("Duty-Holder")
	fo.mu.Lock()
	defer fo.mu.Unlock()
	gr := fo.groups[body.Service]
	answer := http.StatusOK
	if gr == nil || fence < fo.fences[body.Service] || !gr.isRunning(body.ID) {
		answer = http.StatusConflict
	} else {
		fo.fences[body.Service] = fence
		gr.promoteLater(body.ID)
	}
	record("platform: POST /failover %s %s by %s with token %d: %d", body.Service, body.ID, holder, fence, answer)
	reply(rw, answer, map[string]string{})
}
