package peer

import (
	"context"
	"time"

	"banyanspring/io/wire"
)

// pingTimeout limits one ping.
const pingTimeout = 400 * time.Millisecond

// CheckConnections pings the peers that have open streams, in the background. A
// connection that does not answer while a new one to the same peer does is
// replaced: something on the path, such as a firewall, has lost the connection's
// state.
func (cl *Client) CheckConnections(ctx context.Context) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for address, li := range cl.conns {
		if li.openStreams.Load() > 0 && li.pinging.CompareAndSwap(false, true) {
			go cl.checkConnection(ctx, address, li)
		}
	}
}

func (cl *Client) checkConnection(ctx context.Context, address string, li *link) {
	defer li.pinging.Store(false)
	if ping(ctx, wire.NewPeerClient(li.conn)) {
		return
	}
	fresh, err := cl.newConn(address)
	if err != nil {
		return
	}
	if !ping(ctx, wire.NewPeerClient(fresh)) {
		// The peer may be slow or unreachable, which doesn't show that the old
		// connection is broken.
		_ = fresh.Close()
		return
	}
	cl.replaceConnection(address, li, &link{conn: fresh})
}

func ping(ctx context.Context, pc wire.PeerClient) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := pc.Ping(ctx, &wire.PingRequest{})
	return err == nil
}

// replaceConnection replaces a connection that does not answer; its streams
// fail.
func (cl *Client) replaceConnection(address string, old, next *link) {
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
