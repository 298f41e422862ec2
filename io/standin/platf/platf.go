// Package platf is a stand-in for the platform's object API over HTTP: versioned
// objects, conditional updates, watches and a delayed list of instances. It can
// simulate an outage, slow responses and lost responses.
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
	// listLag is the delay with which the list of instances shows changes.
	listLag time.Duration

	mu      sync.Mutex
	version uint64
	objects map[key]store.Object
	// changed is closed and replaced at each change, to wake the watches.
	changed chan struct{}
	// snapshots holds past lists of instances, oldest first.
	snapshots []listSnapshot

	down            atomic.Bool
	delay           atomic.Int64
	responsesToDrop atomic.Int64
	callCount       atomic.Int64
}

// key identifies an object.
type key struct{ kind, name string }

// listSnapshot is the list of instances at a point in time.
type listSnapshot struct {
	takenAt time.Time
	list    []store.Instance
}

// maxValueBytes limits the value of an object.
const maxValueBytes = 1 << 20

// Start listens on an "ip:port" address and returns a running stand-in. The list
// of instances shows changes after listLag.
func Start(listen string, listLag time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	se := &Server{
		listener: ln,
		listLag:  listLag,
		objects:  make(map[key]store.Object),
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", se.get)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", se.put)
	mux.HandleFunc("GET /v1/objects/{kind}", se.list)
	mux.HandleFunc("GET /v1/watch/{kind}", se.watch)
	mux.HandleFunc("GET /v1/instances", se.instances)
	se.http = &http.Server{Handler: se.injectFaults(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = se.http.Serve(ln) }()
	return se, nil
}

// Address returns the address of the API.
func (se *Server) Address() string { return se.listener.Addr().String() }

// SetDown starts or ends an outage, in which every call fails with status 503.
// Watches that are waiting fail too.
func (se *Server) SetDown(down bool) {
	se.down.Store(down)
	se.mu.Lock()
	defer se.mu.Unlock()
	se.notifyWatchers()
}

// SetDelay delays the handling of every call.
func (se *Server) SetDelay(delay time.Duration) { se.delay.Store(int64(delay)) }

// DropResponses makes the server close the connection without a response after
// each of the next count update calls. Valid updates are applied all the same.
func (se *Server) DropResponses(count int64) { se.responsesToDrop.Store(count) }

// Calls returns the number of calls received, including watches that are waiting.
func (se *Server) Calls() int64 { return se.callCount.Load() }

// RemoveInstance removes an instance, as the platform does after it has detected
// that the instance is gone.
func (se *Server) RemoveInstance(id string) {
	se.mu.Lock()
	defer se.mu.Unlock()
	delete(se.objects, key{store.KindInstance, id})
	se.snapshots = append(se.snapshots, listSnapshot{takenAt: time.Now(), list: se.listInstances()})
}

// Close stops the stand-in.
func (se *Server) Close() { _ = se.http.Close() }

// injectFaults counts, delays and, during an outage, rejects calls.
func (se *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		se.callCount.Add(1)
		time.Sleep(time.Duration(se.delay.Load()))
		if se.down.Load() {
			http.Error(wr, "outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(wr, rq)
	})
}

func writeJSON(wr http.ResponseWriter, status int, val any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(val)
}

func (se *Server) get(wr http.ResponseWriter, rq *http.Request) {
	se.mu.Lock()
	obj, ok := se.objects[key{rq.PathValue("kind"), rq.PathValue("name")}]
	se.mu.Unlock()
	if !ok {
		writeJSON(wr, http.StatusNotFound, obj)
		return
	}
	writeJSON(wr, http.StatusOK, obj)
}

func (se *Server) list(wr http.ResponseWriter, rq *http.Request) {
	writeJSON(wr, http.StatusOK, se.objectsAfter(rq.PathValue("kind"), 0))
}

// objectsAfter returns the objects of a kind whose version is above the given
// one, ordered by version.
func (se *Server) objectsAfter(kind string, after uint64) []store.Object {
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
	raw, err := io.ReadAll(io.LimitReader(rq.Body, maxValueBytes+1))
	if err != nil || len(raw) > maxValueBytes {
		http.Error(wr, "value exceeds a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	obj, ok := se.update(key{rq.PathValue("kind"), rq.PathValue("name")}, rq.Header.Get("If-Match"), raw)
	if se.responsesToDrop.Load() > 0 && se.responsesToDrop.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		writeJSON(wr, http.StatusConflict, obj)
		return
	}
	writeJSON(wr, http.StatusOK, obj)
}

// update stores the value if match is "*" or the object's current version. It
// returns the object as it is afterwards, and whether it was updated.
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
		se.snapshots = append(se.snapshots, listSnapshot{takenAt: time.Now(), list: se.listInstances()})
	}
	se.notifyWatchers()
	return obj, true
}

// listInstances returns the current instances by ID; the caller holds mu.
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

// notifyWatchers wakes all waiting watches; the caller holds mu.
func (se *Server) notifyWatchers() {
	close(se.changed)
	se.changed = make(chan struct{})
}

// watch responds with the objects above a version. If there are none it waits for
// a change, up to the wait time of the request.
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
		changed := se.changed
		se.mu.Unlock()
		objs := se.objectsAfter(rq.PathValue("kind"), after)
		if len(objs) > 0 {
			writeJSON(wr, http.StatusOK, objs)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(wr, http.StatusOK, objs)
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

// instances responds with the list of instances as it was listLag ago.
func (se *Server) instances(wr http.ResponseWriter, _ *http.Request) {
	se.mu.Lock()
	defer se.mu.Unlock()
	cutoff := time.Now().Add(-se.listLag)
	for len(se.snapshots) > 1 && !se.snapshots[1].takenAt.After(cutoff) {
		se.snapshots = se.snapshots[1:]
	}
	list := []store.Instance{}
	if len(se.snapshots) > 0 {
		list = se.snapshots[0].list
	}
	writeJSON(wr, http.StatusOK, list)
}
