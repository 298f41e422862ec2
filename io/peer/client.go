// Package peer is the gRPC API between daemons: a server that exposes a daemon's
// homes to its peers, and a client for the homes of other daemons.
package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/types/known/durationpb"

	"banyanspring/core/codes"
	"banyanspring/core/place"
	"banyanspring/core/posn"
	"banyanspring/core/promo"
	"banyanspring/io/store"
	"banyanspring/io/wire"
)

// Stream is the client side of a Run stream.
type Stream struct {
	Send func(*wire.RunRequest) error
	Recv func() (*wire.RunReply, error)
	// Close ends the stream and unblocks a pending Recv. It is idempotent. It must
	// not be called during Send, nor Send after it: on a local stream that Send
	// may panic.
	Close func()
	// Release makes the stream available to another request. It may be called
	// only after an answer that left no transaction open.
	Release func()
}

const (
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 5 * time.Minute
	// maxMessageBytes limits the size of one gRPC message.
	maxMessageBytes = 32 << 20
	// windowBytes is the flow-control window of a stream. It limits the memory
	// that one large answer takes on each side.
	windowBytes = 256 << 10
)

// Client calls other daemons over one multiplexed connection each. It is safe
// for concurrent use.
type Client struct {
	creds credentials.TransportCredentials
	dial  func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*link
	// idle holds the released streams by peer address, the most recently used
	// last.
	idle map[string][]idleStream
}

// idleStream is a released stream and the time of its release.
type idleStream struct {
	stream Stream
	since  time.Time
}

const (
	// maxIdleStreams limits the idle streams kept per peer.
	maxIdleStreams = 32
	// maxStreamIdle is how long an idle stream is kept.
	maxStreamIdle = 5 * time.Second
)

// NewClient returns a client that connects to peers on first use.
func NewClient(
	creds credentials.TransportCredentials,
	dial func(ctx context.Context, address string) (net.Conn, error),
) *Client {
	return &Client{creds: creds, dial: dial, conns: make(map[string]*link), idle: make(map[string][]idleStream)}
}

// link is the connection to one peer.
type link struct {
	conn *grpc.ClientConn
	// openStreams counts the open streams, idle ones included.
	openStreams atomic.Int64
	// pinging is true while checkConnection runs for the connection.
	pinging atomic.Bool
}

func (cl *Client) newConn(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(cl.creds),
		grpc.WithContextDialer(cl.dial),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(4*windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(connectParams()),
	)
}

func (cl *Client) link(address string) (*link, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if li := cl.conns[address]; li != nil {
		return li, nil
	}
	cc, err := cl.newConn(address)
	if err != nil {
		return nil, err
	}
	li := &link{conn: cc}
	cl.conns[address] = li
	return li, nil
}

func (cl *Client) peerClient(address string) (wire.PeerClient, error) {
	li, err := cl.link(address)
	if err != nil {
		return nil, err
	}
	return wire.NewPeerClient(li.conn), nil
}

// Connections returns the number of peers that the client has a connection for.
func (cl *Client) Connections() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.conns)
}

// Close closes all connections.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, li := range cl.conns {
		_ = li.conn.Close()
	}
}

// unreached converts a gRPC error to a PeerUnreached refusal, whose text says that
// nothing was run. That need not hold for Order, Handover and Cancel: if their
// answer is lost, the peer may have carried them out.
func unreached(mem place.Member, err error) error {
	return codes.Refuse(codes.PeerUnreached, "%s: %v", mem.ID, err)
}

// OpenRun opens a Run stream to a member, which stays open until Close. An error
// is a PeerUnreached refusal: nothing was run.
func (cl *Client) OpenRun(mem place.Member) (Stream, error) {
	li, err := cl.link(mem.Address)
	if err != nil {
		return Stream{}, unreached(mem, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	st, err := wire.NewPeerClient(li.conn).Run(ctx)
	if err != nil {
		cancel()
		return Stream{}, unreached(mem, err)
	}
	li.openStreams.Add(1)
	closeStream := sync.OnceFunc(func() {
		li.openStreams.Add(-1)
		_ = st.CloseSend()
		cancel()
	})
	out := Stream{Send: st.Send, Recv: st.Recv, Close: closeStream}
	out.Release = func() { cl.release(mem.Address, out) }
	return out, nil
}

// ReuseOrOpenRun returns an idle stream if there is one and opens one otherwise. It
// is for idempotent requests only, as the connection of an idle stream may have
// failed since it was last used.
func (cl *Client) ReuseOrOpenRun(mem place.Member) (Stream, error) {
	cl.mu.Lock()
	idle := cl.idle[mem.Address]
	if len(idle) > 0 {
		last := idle[len(idle)-1]
		cl.idle[mem.Address] = idle[:len(idle)-1]
		cl.mu.Unlock()
		return last.stream, nil
	}
	cl.mu.Unlock()
	return cl.OpenRun(mem)
}

func (cl *Client) release(address string, st Stream) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.idle[address]) >= maxIdleStreams {
		st.Close()
		return
	}
	st.Release = func() { cl.release(address, st) }
	cl.idle[address] = append(cl.idle[address], idleStream{stream: st, since: time.Now()})
}

// CloseIdleStreams closes the streams that have been idle for more than
// maxStreamIdle.
func (cl *Client) CloseIdleStreams(now time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for address, idle := range cl.idle {
		for len(idle) > 0 && now.Sub(idle[0].since) > maxStreamIdle {
			idle[0].stream.Close()
			idle = idle[1:]
		}
		cl.idle[address] = idle
		if len(idle) == 0 {
			delete(cl.idle, address)
		}
	}
}

// AwaitPosition asks a member for the position of an upstream, which is returned
// once it covers the requested one, or after the wait.
func (cl *Client) AwaitPosition(ctx context.Context, mem place.Member, rq *wire.AwaitPositionRequest) (posn.Position, error) {
	pc, err := cl.peerClient(mem.Address)
	if err != nil {
		return posn.Position{}, unreached(mem, err)
	}
	re, err := pc.AwaitPosition(ctx, rq)
	return positionResult(mem, re, err)
}

// ConfirmFloor asks a member, the home of a primary, for a position of the primary
// that a majority of the group confirms after the member got the request. The
// position covers every write that a majority had confirmed before the call, so it
// is a valid minimum position for reads that arrived before the call.
func (cl *Client) ConfirmFloor(ctx context.Context, mem place.Member, rq *wire.ConfirmFloorRequest) (posn.Position, error) {
	pc, err := cl.peerClient(mem.Address)
	if err != nil {
		return posn.Position{}, unreached(mem, err)
	}
	re, err := pc.ConfirmFloor(ctx, rq)
	return positionResult(mem, re, err)
}

func positionResult(mem place.Member, re *wire.PositionReply, err error) (posn.Position, error) {
	if err != nil {
		return posn.Position{}, unreached(mem, err)
	}
	at := wire.ToPosition(re.Position)
	if re.Code != 0 {
		return at, &codes.Refusal{Code: codes.Code(re.Code), Detail: re.Detail}
	}
	return at, nil
}

// Cancel forwards a caller's cancel request and reports whether the member holds
// the session.
func (cl *Client) Cancel(ctx context.Context, mem place.Member, pid, secret uint32) (bool, error) {
	pc, err := cl.peerClient(mem.Address)
	if err != nil {
		return false, unreached(mem, err)
	}
	re, err := pc.Cancel(ctx, &wire.CancelRequest{ProcessId: pid, SecretKey: secret})
	if err != nil {
		return false, unreached(mem, err)
	}
	return re.Found, nil
}

// AskPosition asks a member for the position of an upstream. The member reads it
// from the upstream after it got the request.
func (cl *Client) AskPosition(ctx context.Context, mem place.Member, group, upstream string) (posn.Position, error) {
	re, err := cl.probe(ctx, mem, group, upstream)
	return wire.ToPosition(re.GetPosition()), err
}

// Probe asks a member for the report of an upstream.
func (cl *Client) Probe(ctx context.Context, mem place.Member, group, upstream string) (promo.Report, error) {
	re, err := cl.probe(ctx, mem, group, upstream)
	if err != nil {
		return promo.Report{}, err
	}
	return promo.Report{
		Term:     wire.ToPosition(re.Position).Term,
		Entry:    wire.ToPosition(re.Entry),
		Primary:  re.Primary,
		Received: time.Now().Add(-re.ReceivedAge.AsDuration()),
	}, nil
}

func (cl *Client) probe(ctx context.Context, mem place.Member, group, upstream string) (*wire.ProbeReply, error) {
	pc, err := cl.peerClient(mem.Address)
	if err != nil {
		return nil, unreached(mem, err)
	}
	re, err := pc.Probe(ctx, &wire.ProbeRequest{Group: group, Upstream: upstream})
	if err != nil {
		return nil, unreached(mem, err)
	}
	if re.Code != 0 {
		return nil, &codes.Refusal{Code: codes.Code(re.Code), Detail: re.Detail}
	}
	return re, nil
}

// Order orders an upstream, through its home, to become primary or to follow one.
func (cl *Client) Order(ctx context.Context, mem place.Member, rq *wire.OrderRequest) error {
	pc, err := cl.peerClient(mem.Address)
	if err != nil {
		return unreached(mem, err)
	}
	return callOrder(mem, pc.Order, ctx, rq)
}

// Handover asks a member, the home of a primary, to make another upstream of the
// group the primary.
func (cl *Client) Handover(ctx context.Context, mem place.Member, rq *wire.HandoverRequest) error {
	pc, err := cl.peerClient(mem.Address)
	if err != nil {
		return unreached(mem, err)
	}
	return callOrder(mem, pc.Handover, ctx, rq)
}

func callOrder[Request any](
	mem place.Member,
	call func(context.Context, *Request, ...grpc.CallOption) (*wire.OrderReply, error),
	ctx context.Context, //nolint:revive // the call it belongs to comes first
	rq *Request,
) error {
	re, err := call(ctx, rq)
	if err != nil {
		return unreached(mem, err)
	}
	if re.Code != 0 {
		return &codes.Refusal{Code: codes.Code(re.Code), Detail: re.Detail}
	}
	return nil
}

// Watch waits for objects of a kind with a version above after. It returns a
// NotHome refusal if the member does not read the kind from the platform itself,
// because another daemon is the delegate of its failure domain.
func (cl *Client) Watch(ctx context.Context, mem place.Member, kind string, after uint64, wait time.Duration) ([]store.Object, error) {
	pc, err := cl.peerClient(mem.Address)
	if err != nil {
		return nil, unreached(mem, err)
	}
	return callWatch(mem, pc, ctx, &wire.WatchRequest{Kind: kind, After: after, Wait: durationpb.New(wait)})
}

// Snapshot returns a member's copy of all objects of a kind.
func (cl *Client) Snapshot(ctx context.Context, mem place.Member, kind string) ([]store.Object, error) {
	pc, err := cl.peerClient(mem.Address)
	if err != nil {
		return nil, unreached(mem, err)
	}
	return callWatch(mem, pc, ctx, &wire.WatchRequest{Kind: kind, Snapshot: true})
}

func callWatch(
	mem place.Member,
	pc wire.PeerClient,
	ctx context.Context, //nolint:revive // the peer it belongs to comes first
	rq *wire.WatchRequest,
) ([]store.Object, error) {
	re, err := pc.Watch(ctx, rq)
	if err != nil {
		return nil, unreached(mem, err)
	}
	if !re.Known {
		return nil, codes.Refuse(codes.NotHome, "%s does not follow the platform", mem.ID)
	}
	objs := make([]store.Object, len(re.Objects))
	for pos, obj := range re.Objects {
		objs[pos] = store.Object{Kind: obj.Kind, Name: obj.Name, Version: obj.Version, Value: obj.Value}
	}
	return objs, nil
}

// Leave tells a member that the sending daemon is leaving.
func (cl *Client) Leave(ctx context.Context, mem place.Member, sender string) error {
	pc, err := cl.peerClient(mem.Address)
	if err != nil {
		return unreached(mem, err)
	}
	_, err = pc.Leave(ctx, &wire.LeaveRequest{Member: sender})
	return err
}
