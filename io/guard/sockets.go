package guard

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Sockets bounds the sockets of one kind. It is safe for concurrent use.
type Sockets struct {
	gu   *Guard
	kind string
	// limit is 0 if there is no bound.
	limit int32
	open  atomic.Int32
}

// NewSockets returns a bound of sockets; limit 0 stands for none.
func (gu *Guard) NewSockets(kind string, limit int) *Sockets {
	return &Sockets{gu: gu, kind: kind, limit: int32(limit)}
}

// Enter counts one more socket and reports whether it is within the bound.
func (so *Sockets) Enter() bool {
	if open := so.open.Add(1); so.limit <= 0 || open <= so.limit {
		return true
	}
	so.open.Add(-1)
	return false
}

// Force counts one more socket in place of one that is being closed.
func (so *Sockets) Force() { so.open.Add(1) }

// Leave counts one socket less.
func (so *Sockets) Leave() { so.open.Add(-1) }

// Open returns how many sockets are open.
func (so *Sockets) Open() int { return int(so.open.Load()) }

// RecordRefusal counts and logs a socket that was refused.
func (so *Sockets) RecordRefusal(address string) {
	so.gu.recordRefusal(so.kind, "open", so.Open(), "sockets", so.limit, "address", address)
}

const (
	// headerTimeout bounds the time from the opening of an HTTP connection, or from the
	// first byte of a further request, to the end of its headers.
	headerTimeout = 5 * time.Second
	// httpIdleTimeout is above the interval of all periodic requests of other instances.
	httpIdleTimeout = 2 * time.Minute
)

// httpServer serves HTTP on a bounded number of connections.
type httpServer struct {
	sockets *Sockets

	mu sync.Mutex
	// unused holds the connections that have sent no request, or none since the last
	// answer, with the time since when.
	unused map[net.Conn]time.Time
}

// ServeHTTP serves HTTP on the listener until it is closed. If the sockets reach their
// bound, the connection that has been without a request for the longest time is closed,
// so that connections without a word do not keep others out.
func ServeHTTP(ln net.Listener, so *Sockets, ha http.Handler) error {
	hs := &httpServer{sockets: so, unused: make(map[net.Conn]time.Time)}
	server := &http.Server{Handler: ha, ReadHeaderTimeout: headerTimeout, IdleTimeout: httpIdleTimeout, ConnState: hs.setState}
	return server.Serve(ln)
}

// setState counts the connections. It is called by the server, for a new connection
// before the next one is accepted.
func (hs *httpServer) setState(raw net.Conn, state http.ConnState) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	switch state {
	case http.StateNew:
		isWithin := hs.sockets.Enter()
		if !isWithin {
			hs.sockets.RecordRefusal(raw.RemoteAddr().String())
			// The one that is closed is counted until the server has seen it.
			hs.sockets.Force()
		}
		hs.unused[raw] = time.Now()
		if !isWithin {
			hs.closeLongestUnused()
		}
	case http.StateIdle:
		hs.unused[raw] = time.Now()
	case http.StateActive:
		delete(hs.unused, raw)
	case http.StateClosed, http.StateHijacked:
		delete(hs.unused, raw)
		hs.sockets.Leave()
	}
}

func (hs *httpServer) closeLongestUnused() {
	var worst net.Conn
	for raw, since := range hs.unused {
		if worst == nil || since.Before(hs.unused[worst]) {
			worst = raw
		}
	}
	if worst != nil {
		delete(hs.unused, worst)
		_ = worst.Close()
	}
}
