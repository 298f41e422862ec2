package peer

import (
	"context"
	"io"
	"sync"

	"banyanspring/io/home"
	"banyanspring/io/wire"
)

// NewLocalStream opens an in-process Run stream to the daemon's own homes.
func NewLocalStream(homes *home.Manager) Stream {
	ctx, cancel := context.WithCancel(context.Background())
	requests := make(chan *wire.RunRequest, 2)
	replies := make(chan *wire.RunReply, 2)
	ended := make(chan struct{})
	server := home.Stream{
		Recv: func() (*wire.RunRequest, error) {
			select {
			case rq, ok := <-requests:
				if !ok {
					return nil, io.EOF
				}
				return rq, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
		Send: func(re *wire.RunReply) error {
			select {
			case replies <- re:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		},
	}
	go func() {
		defer close(ended)
		_ = homes.Run(ctx, server)
	}()
	st := Stream{
		Send: func(rq *wire.RunRequest) error {
			select {
			case requests <- rq:
				return nil
			case <-ended:
				return io.EOF
			}
		},
		Recv: func() (*wire.RunReply, error) { return receive(replies, ended) },
		Close: sync.OnceFunc(func() {
			close(requests)
			cancel()
		}),
	}
	st.Release = st.Close
	return st
}

// receive returns the next reply, or io.EOF once the stream has ended and all
// queued replies are received.
func receive(replies <-chan *wire.RunReply, ended <-chan struct{}) (*wire.RunReply, error) {
	select {
	case re := <-replies:
		return re, nil
	case <-ended:
	}
	select {
	case re := <-replies:
		return re, nil
	default:
		return nil, io.EOF
	}
}
