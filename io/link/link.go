// Package link adds latency to connections and can cut them, for fleets that
// run on one machine.
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Path is the state of the way between two places. It is safe for concurrent
// use and may change while connections use it.
type Path struct {
	latency atomic.Int64
	silent  atomic.Bool
	// silenced counts SilenceOpen; connections opened before it are silent.
	silenced atomic.Int64
}

// NewPath returns an open path with a one-way latency.
func NewPath(latency time.Duration) *Path {
	pa := &Path{}
	pa.latency.Store(int64(latency))
	return pa
}

// SetSilent makes the path swallow all bytes, or pass them again. Connections
// that lost bytes stay silent for good.
func (pa *Path) SetSilent(silent bool) { pa.silent.Store(silent) }

// SilenceOpen makes the open connections silent for good; new ones work.
func (pa *Path) SilenceOpen() { pa.silenced.Add(1) }

// IsSilent reports whether the path swallows bytes.
func (pa *Path) IsSilent() bool { return pa.silent.Load() }

// Latency returns the one-way latency.
func (pa *Path) Latency() time.Duration { return time.Duration(pa.latency.Load()) }

type packet struct {
	due  time.Time
	data []byte
	// last is set on the packet behind which the connection is closed.
	last bool
}

// Conn delays the bytes of a connection by the path's latency each way.
type Conn struct {
	net.Conn
	path *Path
	// opened is the path's count of SilenceOpen when the connection was made.
	opened  int64
	pending chan packet
	arrived chan packet
	// rest is what a short Read left of a packet.
	rest []byte
	lost atomic.Bool
	done chan struct{}
	once sync.Once

	mu       sync.Mutex
	readErr  error
	deadline time.Time
	wake     chan struct{}
}

// maxPending bounds the packets under way in one direction.
const maxPending = 1024

// Wrap returns a connection whose traffic takes the path.
func Wrap(conn net.Conn, path *Path) net.Conn {
	if path.Latency() == 0 {
		return conn
	}
	co := &Conn{
		Conn:    conn,
		path:    path,
		opened:  path.silenced.Load(),
		pending: make(chan packet, maxPending),
		arrived: make(chan packet, maxPending),
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
	go co.send()
	go co.receive()
	return co
}

// Write queues the bytes and returns at once.
func (co *Conn) Write(data []byte) (int, error) {
	pk := packet{due: time.Now().Add(co.path.Latency()), data: append([]byte(nil), data...)}
	select {
	case co.pending <- pk:
		return len(data), nil
	case <-co.done:
		return 0, net.ErrClosed
	}
}

func (co *Conn) send() {
	for {
		select {
		case pk := <-co.pending:
			time.Sleep(time.Until(pk.due))
			if pk.last {
				close(co.done)
				_ = co.Conn.Close()
				return
			}
			if co.swallows() {
				continue
			}
			// A write that fails shows in Read; the close still has to come.
			_, _ = co.Conn.Write(pk.data)
		case <-co.done:
			return
		}
	}
}

// swallows reports whether the connection has lost bytes, now or before.
func (co *Conn) swallows() bool {
	if co.path.IsSilent() || co.path.silenced.Load() != co.opened {
		co.lost.Store(true)
	}
	return co.lost.Load()
}

func (co *Conn) receive() {
	defer close(co.arrived)
	for {
		buf := make([]byte, 16*1024)
		num, err := co.Conn.Read(buf)
		if num > 0 && !co.swallows() {
			co.deliver(buf[:num])
		}
		if err != nil {
			co.mu.Lock()
			co.readErr = err
			co.mu.Unlock()
			return
		}
		if co.isDone() {
			return
		}
	}
}

func (co *Conn) deliver(data []byte) {
	select {
	case co.arrived <- packet{due: time.Now().Add(co.path.Latency()), data: data}:
	case <-co.done:
	}
}

func (co *Conn) isDone() bool {
	select {
	case <-co.done:
		return true
	default:
		return false
	}
}

// Read returns bytes once they have taken the path.
func (co *Conn) Read(out []byte) (int, error) {
	for len(co.rest) == 0 {
		pk, err := co.next()
		if err != nil {
			return 0, err
		}
		time.Sleep(time.Until(pk.due))
		co.rest = pk.data
	}
	num := copy(out, co.rest)
	co.rest = co.rest[num:]
	return num, nil
}

func (co *Conn) next() (packet, error) {
	for {
		co.mu.Lock()
		deadline := co.deadline
		co.mu.Unlock()
		var timeout <-chan time.Time
		if !deadline.IsZero() {
			timer := time.NewTimer(time.Until(deadline))
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case pk, ok := <-co.arrived:
			if ok {
				return pk, nil
			}
			return packet{}, co.failure()
		case <-timeout:
			return packet{}, errTimeout
		case <-co.wake:
		case <-co.done:
			return packet{}, net.ErrClosed
		}
	}
}

func (co *Conn) failure() error {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.readErr != nil {
		return co.readErr
	}
	return errors.New("link closed")
}

// SetReadDeadline bounds a Read, also one that waits already.
func (co *Conn) SetReadDeadline(at time.Time) error {
	co.mu.Lock()
	co.deadline = at
	co.mu.Unlock()
	select {
	case co.wake <- struct{}{}:
	default:
	}
	return nil
}

// SetDeadline bounds a Read; writes never block for long.
func (co *Conn) SetDeadline(at time.Time) error { return co.SetReadDeadline(at) }

// Close sends what is queued and closes the connection.
func (co *Conn) Close() error {
	co.once.Do(func() {
		co.pending <- packet{due: time.Now().Add(co.path.Latency()), last: true}
	})
	return nil
}

type timeoutError struct{}

func (timeoutError) Error() string   { return "i/o timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

var errTimeout net.Error = timeoutError{}
