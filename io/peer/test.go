package peer

import (
	"context"
	"time"

	"banyanspring/io/wire"
)

// pingTimeout bounds one ping of a connection with streams in use.
const pingTimeout = 400 * time.Millisecond

// Test pings the peers that have streams in use. A connection that does not
// answer while a new one does is dropped: something between the two ends has
// lost track of it. It returns at once.
func (cl *Client) Test(ctx context.Context) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for address, li := range cl.conns {
		if li.active.Load() > 0 && li.testing.CompareAndSwap(false, true) {
			go cl.test(ctx, address, li)
		}
	}
}

func (cl *Client) test(ctx context.Context, address string, li *link) {
	defer li.testing.Store(false)
	if ping(ctx, wire.NewPeerClient(li.conn)) {
		return
	}
	fresh, err := cl.connect(address)
	if err != nil {
		return
	}
	if !ping(ctx, wire.NewPeerClient(fresh)) {
		// The peer itself may be out of reach or slow; nothing is proved.
		_ = fresh.Close()
		return
	}
	cl.replace(address, li, &link{conn: fresh})
}

func ping(ctx context.Context, pc wire.PeerClient) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := pc.Ping(ctx, &wire.PingRequest{})
	return err == nil
}

// replace puts a new connection in the place of a silent one, whose streams
// then fail.
func (cl *Client) replace(address string, old, next *link) {
	cl.mu.Lock()
	if cl.conns[address] != old {
		cl.mu.Unlock()
		_ = next.conn.Close()
		return
	}
	cl.conns[address] = next
	idle := cl.idle[address]
	delete(cl.idle, address)
	cl.mu.Unlock()
	for _, st := range idle {
		st.stream.Close()
	}
	_ = old.conn.Close()
}
