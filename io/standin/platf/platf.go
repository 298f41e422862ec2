// Package platf is a stand-in for the platform's object API: versioned
// objects, conditional updates, watches and a lagging list of instances, over
// HTTP. It can be down, slow, or lose its answers.
package platf

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/io/store"
)

// Server is a running platform stand-in.
type Server struct {
	listener net.Listener
	http     *http.Server
	// listLag is how far the list of instances lags.
	listLag time.Duration

	mu      sync.Mutex
	version uint64
	objects map[key]store.Object
	// grown is closed and replaced at each change.
	grown chan struct{}
	// lists holds past lists of instances, oldest first.
	lists []datedList

	down   atomic.Bool
	delay  atomic.Int64
	losing atomic.Int64
	calls  atomic.Int64
}

type key struct{ kind, name string }

type datedList struct {
	at   time.Time
	list []store.Instance
}

// maxValue is the largest value that an object holds, in bytes.
const maxValue = 1 << 20

// Start opens the port, "ip:port", and returns a running stand-in.
func Start(listen string, listLag time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	se := &Server{
		listener: ln,
		listLag:  listLag,
		objects:  make(map[key]store.Object),
		grown:    make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", se.get)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", se.put)
	mux.HandleFunc("GET /v1/objects/{kind}", se.list)
	mux.HandleFunc("GET /v1/watch/{kind}", se.watch)
	mux.HandleFunc("GET /v1/instances", se.instances)
	se.http = &http.Server{Handler: se.faults(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = se.http.Serve(ln) }()
	return se, nil
}

// Address returns the address of the API.
func (se *Server) Address() string { return se.listener.Addr().String() }

// SetDown makes every call fail, or ends the outage. Waiting watches fail too.
func (se *Server) SetDown(down bool) {
	se.down.Store(down)
	se.mu.Lock()
	defer se.mu.Unlock()
	se.wake()
}

// SetDelay delays every answer.
func (se *Server) SetDelay(delay time.Duration) { se.delay.Store(int64(delay)) }

// LoseAnswers applies the next updates but drops their answers.
func (se *Server) LoseAnswers(count int64) { se.losing.Store(count) }

// Calls returns how many calls arrived, waiting watches included.
func (se *Server) Calls() int64 { return se.calls.Load() }

// Forget removes an instance, as the platform does once it has noticed that it
// is gone.
func (se *Server) Forget(id string) {
	se.mu.Lock()
	defer se.mu.Unlock()
	delete(se.objects, key{store.KindInstance, id})
	se.lists = append(se.lists, datedList{at: time.Now(), list: se.listInstances()})
}

// Close stops the stand-in.
func (se *Server) Close() { _ = se.http.Close() }

func (se *Server) faults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		se.calls.Add(1)
		time.Sleep(time.Duration(se.delay.Load()))
		if se.down.Load() {
			http.Error(wr, "outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(wr, rq)
	})
}

func answer(wr http.ResponseWriter, status int, val any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(val)
}

func (se *Server) get(wr http.ResponseWriter, rq *http.Request) {
	se.mu.Lock()
	obj, ok := se.objects[key{rq.PathValue("kind"), rq.PathValue("name")}]
	se.mu.Unlock()
	if !ok {
		answer(wr, http.StatusNotFound, obj)
		return
	}
	answer(wr, http.StatusOK, obj)
}

func (se *Server) list(wr http.ResponseWriter, rq *http.Request) {
	answer(wr, http.StatusOK, se.changed(rq.PathValue("kind"), 0))
}

// changed returns the objects of a kind past the version, by version.
func (se *Server) changed(kind string, after uint64) []store.Object {
	se.mu.Lock()
	defer se.mu.Unlock()
	out := []store.Object{}
	for ke, obj := range se.objects {
		if ke.kind == kind && obj.Version > after {
			out = append(out, obj)
		}
	}
	sort.Slice(out, func(left, right int) bool { return out[left].Version < out[right].Version })
	return out
}

func (se *Server) put(wr http.ResponseWriter, rq *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(rq.Body, maxValue+1))
	if err != nil || len(raw) > maxValue {
		http.Error(wr, "value exceeds a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	obj, ok := se.update(key{rq.PathValue("kind"), rq.PathValue("name")}, rq.Header.Get("If-Match"), raw)
	if se.losing.Load() > 0 && se.losing.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		answer(wr, http.StatusConflict, obj)
		return
	}
	answer(wr, http.StatusOK, obj)
}

func (se *Server) update(ke key, match string, raw []byte) (store.Object, bool) {
	se.mu.Lock()
	defer se.mu.Unlock()
	old := se.objects[ke]
	if match != "*" && match != strconv.FormatUint(old.Version, 10) {
		return old, false
	}
	se.version++
	obj := store.Object{Kind: ke.kind, Name: ke.name, Version: se.version, Value: raw}
	se.objects[ke] = obj
	if ke.kind == store.KindInstance {
		se.lists = append(se.lists, datedList{at: time.Now(), list: se.listInstances()})
	}
	se.wake()
	return obj, true
}

func (se *Server) listInstances() []store.Instance {
	out := []store.Instance{}
	for ke, obj := range se.objects {
		var ins store.Instance
		if ke.kind != store.KindInstance || json.Unmarshal(obj.Value, &ins) != nil || ins.ID == "" {
			continue
		}
		out = append(out, ins)
	}
	sort.Slice(out, func(left, right int) bool { return out[left].ID < out[right].ID })
	return out
}

func (se *Server) wake() {
	close(se.grown)
	se.grown = make(chan struct{})
}

func (se *Server) watch(wr http.ResponseWriter, rq *http.Request) {
	after, err := strconv.ParseUint(rq.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(rq.FormValue("wait"))
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.After(wait)
	for {
		se.mu.Lock()
		grown := se.grown
		se.mu.Unlock()
		objs := se.changed(rq.PathValue("kind"), after)
		if len(objs) > 0 {
			answer(wr, http.StatusOK, objs)
			return
		}
		select {
		case <-grown:
		case <-timeout:
			answer(wr, http.StatusOK, objs)
			return
		case <-rq.Context().Done():
			return
		}
		if se.down.Load() {
			http.Error(wr, "outage", http.StatusServiceUnavailable)
			return
		}
	}
}

// instances answers with the list as it was before the lag.
func (se *Server) instances(wr http.ResponseWriter, _ *http.Request) {
	se.mu.Lock()
	defer se.mu.Unlock()
	horizon := time.Now().Add(-se.listLag)
	for len(se.lists) > 1 && !se.lists[1].at.After(horizon) {
		se.lists = se.lists[1:]
	}
	list := []store.Instance{}
	if len(se.lists) > 0 {
		list = se.lists[0].list
	}
	answer(wr, http.StatusOK, list)
}
