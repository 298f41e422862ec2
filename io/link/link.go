// Package link simulates network latency and connections that silently drop their
// bytes, for fleets that run on one machine.
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Path simulates the network path between two places. It is safe for concurrent
// use and may be changed while connections use it.
type Path struct {
	latency atomic.Int64
	silent  atomic.Bool
	// silenceCount counts the calls of SilenceOpenConns. Connections that were opened
	// at a lower count are silent.
	silenceCount atomic.Int64
}

// NewPath returns a working path with the given one-way latency.
func NewPath(latency time.Duration) *Path {
	pa := &Path{}
	pa.latency.Store(int64(latency))
	return pa
}

// SetSilent makes the path drop all bytes, or forward them again. Connections
// that lost bytes stay silent for good. It has no effect on connections that were
// wrapped while the path had no latency; see Wrap.
func (pa *Path) SetSilent(silent bool) { pa.silent.Store(silent) }

// SilenceOpenConns makes all connections that are open now silent for good, except
// those that were wrapped while the path had no latency. New ones work.
func (pa *Path) SilenceOpenConns() { pa.silenceCount.Add(1) }

// IsSilent reports whether the path drops all bytes.
func (pa *Path) IsSilent() bool { return pa.silent.Load() }

// Latency returns the one-way latency.
func (pa *Path) Latency() time.Duration { return time.Duration(pa.latency.Load()) }

// packet is data in flight, or the end of the connection.
type packet struct {
	// due is when the packet arrives.
	due  time.Time
	data []byte
	// closes is true for the packet that closes the connection; it has no data.
	closes bool
}

// Conn is a connection that delays its bytes by the path's latency in each
// direction.
type Conn struct {
	net.Conn
	path *Path
	// silenceCountAtOpen is the path's silenceCount when the connection was
	// opened.
	silenceCountAtOpen int64
	pending            chan packet
	received           chan packet
	// unread is the rest of a packet that Read has returned in part.
	unread   []byte
	lostData atomic.Bool
	done     chan struct{}
	once     sync.Once

	mu       sync.Mutex
	readErr  error
	deadline time.Time
	wake     chan struct{}
}

// maxPendingPackets limits the packets in flight in one direction. Write and Close
// block while it is reached.
const maxPendingPackets = 1024

// Wrap returns a connection whose traffic takes the path. A path without latency
// returns conn itself, which can't be silenced.
func Wrap(conn net.Conn, path *Path) net.Conn {
	if path.Latency() == 0 {
		return conn
	}
	co := &Conn{
		Conn:               conn,
		path:               path,
		silenceCountAtOpen: path.silenceCount.Load(),
		pending:            make(chan packet, maxPendingPackets),
		received:           make(chan packet, maxPendingPackets),
		done:               make(chan struct{}),
		wake:               make(chan struct{}, 1),
	}
	go co.send()
	go co.receive()
	return co
}

// Write queues the bytes and returns without waiting for the latency, unless
// maxPendingPackets are in flight.
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
			if pk.closes {
				close(co.done)
				_ = co.Conn.Close()
				return
			}
			if co.dropsData() {
				continue
			}
			// A failed write also fails the next Read; the loop goes on, as the
			// packet that closes the connection is still to come.
			_, _ = co.Conn.Write(pk.data)
		case <-co.done:
			return
		}
	}
}

// dropsData reports whether the connection drops its bytes. Once it has dropped
// any, it drops all later ones.
func (co *Conn) dropsData() bool {
	if co.path.IsSilent() || co.path.silenceCount.Load() != co.silenceCountAtOpen {
		co.lostData.Store(true)
	}
	return co.lostData.Load()
}

func (co *Conn) receive() {
	defer close(co.received)
	for {
		buf := make([]byte, 16*1024)
		num, err := co.Conn.Read(buf)
		if num > 0 && !co.dropsData() {
			co.queueReceived(buf[:num])
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

func (co *Conn) queueReceived(data []byte) {
	select {
	case co.received <- packet{due: time.Now().Add(co.path.Latency()), data: data}:
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

// Read returns received bytes after the path's latency.
func (co *Conn) Read(out []byte) (int, error) {
	for len(co.unread) == 0 {
		pk, err := co.nextPacket()
		if err != nil {
			return 0, err
		}
		time.Sleep(time.Until(pk.due))
		co.unread = pk.data
	}
	num := copy(out, co.unread)
	co.unread = co.unread[num:]
	return num, nil
}

func (co *Conn) nextPacket() (packet, error) {
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
		case pk, ok := <-co.received:
			if ok {
				return pk, nil
			}
			return packet{}, co.readError()
		case <-timeout:
			return packet{}, errTimeout
		case <-co.wake:
		case <-co.done:
			return packet{}, net.ErrClosed
		}
	}
}

func (co *Conn) readError() error {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.readErr != nil {
		return co.readErr
	}
	return errors.New("link closed")
}

// SetReadDeadline sets the deadline of Read, including one that is blocked.
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

// SetDeadline sets the deadline of Read. Writes have none, as they never block
// for long.
func (co *Conn) SetDeadline(at time.Time) error { return co.SetReadDeadline(at) }

// Close queues the end of the connection and returns, at once unless
// maxPendingPackets are in flight. The connection is closed after the queued bytes
// are sent.
func (co *Conn) Close() error {
	co.once.Do(func() {
		co.pending <- packet{due: time.Now().Add(co.path.Latency()), closes: true}
	})
	return nil
}

// timeoutError is the net.Error of a Read whose deadline has passed.
type timeoutError struct{}

func (timeoutError) Error() string   { return "i/o timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

var errTimeout net.Error = timeoutError{}
