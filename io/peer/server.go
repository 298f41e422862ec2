package peer

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/types/known/durationpb"

	"banyanspring/core/codes"
	"banyanspring/core/posn"
	"banyanspring/io/home"
	"banyanspring/io/store"
	"banyanspring/io/wire"
)

func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay:  50 * time.Millisecond,
			Multiplier: 1.6,
			Jitter:     0.2,
			MaxDelay:   2 * time.Second,
		},
		MinConnectTimeout: 2 * time.Second,
	}
}

// Handlers are the parts of the daemon that a server calls.
type Handlers struct {
	// Homes are the daemon's own homes.
	Homes *home.Manager
	// Cancel cancels a session held here and reports whether it was found.
	Cancel func(pid, secret uint32) bool
	// Order promotes an upstream that is homed here, or makes it follow.
	Order func(ctx context.Context, rq *wire.OrderRequest) error
	// Handover runs a planned change of a primary that is homed here.
	Handover func(ctx context.Context, rq *wire.HandoverRequest) error
	// Watch waits for objects of a kind with a version above after. It reports
	// false if the daemon is not the delegate, which reads the kind from the
	// store itself.
	Watch func(ctx context.Context, kind string, after uint64, wait time.Duration) ([]store.Object, bool)
	// Snapshot returns the daemon's copy of all objects of a kind.
	Snapshot func(kind string) []store.Object
	// Leave records that a member is leaving.
	Leave func(member string)
}

// Server serves the Peer service to other daemons.
type Server struct {
	wire.UnimplementedPeerServer
	handlers Handlers
	grpc     *grpc.Server
}

// NewServer returns a server; Serve starts it.
func NewServer(creds credentials.TransportCredentials, ha Handlers) *Server {
	se := &Server{handlers: ha}
	se.grpc = grpc.NewServer(
		grpc.Creds(creds),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(4*windowBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	)
	wire.RegisterPeerServer(se.grpc, se)
	return se
}

// Serve accepts connections of peers until Stop.
func (se *Server) Serve(ln net.Listener) error { return se.grpc.Serve(ln) }

// Stop closes all connections without waiting for calls in flight.
func (se *Server) Stop() { se.grpc.Stop() }

// Run implements wire.PeerServer.
func (se *Server) Run(st grpc.BidiStreamingServer[wire.RunRequest, wire.RunReply]) error {
	return se.handlers.Homes.Run(st.Context(), home.Stream{Recv: st.Recv, Send: st.Send})
}

// AwaitPosition implements wire.PeerServer.
func (se *Server) AwaitPosition(ctx context.Context, rq *wire.AwaitPositionRequest) (*wire.PositionReply, error) {
	want := wire.ToPosition(rq.Position)
	at, err := se.handlers.Homes.AwaitPosition(ctx, rq.Group, rq.Upstream, want, rq.Wait.AsDuration())
	return positionReply(at, err), nil
}

// ConfirmFloor implements wire.PeerServer.
func (se *Server) ConfirmFloor(ctx context.Context, rq *wire.ConfirmFloorRequest) (*wire.PositionReply, error) {
	ctx, cancel := context.WithTimeout(ctx, rq.Wait.AsDuration())
	defer cancel()
	at, err := se.handlers.Homes.ConfirmFloor(ctx, rq.Group, rq.Upstream)
	return positionReply(at, err), nil
}

func positionReply(at posn.Position, err error) *wire.PositionReply {
	re := &wire.PositionReply{Position: wire.FromPosition(at)}
	if err != nil {
		ref := codes.From(err)
		re.Code = uint32(ref.Code)
		re.Detail = ref.Detail
	}
	return re
}

// Cancel implements wire.PeerServer.
func (se *Server) Cancel(_ context.Context, rq *wire.CancelRequest) (*wire.CancelReply, error) {
	return &wire.CancelReply{Found: se.handlers.Cancel(rq.ProcessId, rq.SecretKey)}, nil
}

// Probe implements wire.PeerServer.
func (se *Server) Probe(ctx context.Context, rq *wire.ProbeRequest) (*wire.ProbeReply, error) {
	re, at, err := se.handlers.Homes.Probe(ctx, rq.Group, rq.Upstream)
	if err != nil {
		ref := codes.From(err)
		return &wire.ProbeReply{Code: uint32(ref.Code), Detail: ref.Detail}, nil
	}
	return &wire.ProbeReply{
		Position:    wire.FromPosition(at),
		Entry:       wire.FromPosition(re.Entry),
		Primary:     re.Primary,
		ReceivedAge: durationpb.New(time.Since(re.Received)),
	}, nil
}

// Order implements wire.PeerServer.
func (se *Server) Order(ctx context.Context, rq *wire.OrderRequest) (*wire.OrderReply, error) {
	return orderReply(se.handlers.Order(ctx, rq)), nil
}

// Handover implements wire.PeerServer.
func (se *Server) Handover(ctx context.Context, rq *wire.HandoverRequest) (*wire.OrderReply, error) {
	return orderReply(se.handlers.Handover(ctx, rq)), nil
}

func orderReply(err error) *wire.OrderReply {
	if err == nil {
		return &wire.OrderReply{}
	}
	ref := codes.From(err)
	return &wire.OrderReply{Code: uint32(ref.Code), Detail: ref.Detail}
}

// Ping implements wire.PeerServer.
func (se *Server) Ping(context.Context, *wire.PingRequest) (*wire.PingReply, error) {
	return &wire.PingReply{}, nil
}

// Watch implements wire.PeerServer.
func (se *Server) Watch(ctx context.Context, rq *wire.WatchRequest) (*wire.WatchReply, error) {
	var objs []store.Object
	known := true
	if rq.Snapshot {
		objs = se.handlers.Snapshot(rq.Kind)
	} else {
		objs, known = se.handlers.Watch(ctx, rq.Kind, rq.After, rq.Wait.AsDuration())
	}
	re := &wire.WatchReply{Known: known}
	for _, obj := range objs {
		re.Objects = append(re.Objects, &wire.Object{Kind: obj.Kind, Name: obj.Name, Version: obj.Version, Value: obj.Value})
	}
	return re, nil
}

// Leave implements wire.PeerServer.
func (se *Server) Leave(_ context.Context, rq *wire.LeaveRequest) (*wire.LeaveReply, error) {
	se.handlers.Leave(rq.Member)
	return &wire.LeaveReply{}, nil
}
