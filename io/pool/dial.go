package pool

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"banyanspring/core/codes"
)

// connect returns a live idle connection. If there is none, it starts to open one
// and waits for the first connection that becomes idle. The opening is independent
// of the request: a connection that is opened too late serves the next request.
func (po *Pool) connect(deadline time.Time) (*Conn, error) {
	for {
		co, wu, err := po.takeOrDial()
		if err != nil {
			return nil, err
		}
		if co == nil {
			if err := wu.wait(deadline.Sub(po.deps.Now())); err != nil {
				return nil, err
			}
			continue
		}
		if po.deps.Now().Sub(co.lastUsed) < po.settings.CheckAfter || co.isAlive(deadline) {
			return co, nil
		}
		po.closeConn(co)
	}
}

// maxConcurrentDials bounds the connections that are being opened. Each occupies a
// slot of the upstream for a while: more of them at once are not ready sooner, and
// delay the statements that the open connections could run.
const maxConcurrentDials = 2

// takeOrDial returns the most recently used idle connection. If there is none, it
// starts to open one unless a limit forbids it, and returns the wakeup to wait
// for.
func (po *Pool) takeOrDial() (*Conn, *wakeup, error) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.closed {
		return nil, nil, codes.Refuse(codes.UpstreamReplaced, "%s is gone", po.upstream.ID)
	}
	if last := len(po.idle) - 1; last >= 0 {
		co := po.idle[last]
		po.idle = po.idle[:last]
		return co, nil, nil
	}
	if po.dialing < maxConcurrentDials && !po.isFull(0) && !po.deps.Now().Before(po.fullUntil) {
		po.dialing++
		po.open.Add(1)
		go po.dialOne()
	}
	return nil, po.wakeup, nil
}

// dialOne opens a connection and makes it idle, for whichever request takes it
// first.
func (po *Pool) dialOne() {
	co, err := po.dial()
	po.mu.Lock()
	defer po.mu.Unlock()
	po.dialing--
	if err == nil && po.makeIdle(co) {
		return
	}
	if err == nil {
		_ = co.net.Close()
	}
	po.open.Add(-1)
	if codes.Is(err, codes.ConnectionsInUse) && po.open.Load() > 0 {
		// The requests wait for the connections that are open.
		po.fullUntil = po.deps.Now().Add(fullPause)
		time.AfterFunc(fullPause, func() {
			po.mu.Lock()
			defer po.mu.Unlock()
			po.wakeWaiters(nil)
		})
		return
	}
	po.wakeWaiters(err)
}

// fullPause is the pause before another connection is opened to an upstream that
// refused one because its connection limit was reached. The upstream takes seconds
// to close the connections of instances that have stopped.
const fullPause = 150 * time.Millisecond

// isFull reports whether the open connections, those being opened included, have
// reached the quota plus extra; mu must be held.
func (po *Pool) isFull(extra int) bool { return int(po.open.Load()) >= max(1, po.share.Quota)+extra }

// makeIdle makes a connection idle and wakes the waiting requests. It reports false
// and does nothing if the pool is closed or over its quota; mu must be held.
func (po *Pool) makeIdle(co *Conn) bool {
	// The connection itself is among the open ones: over the quota means 1 more.
	if po.closed || po.isFull(1) {
		return false
	}
	co.lastUsed = po.deps.Now()
	po.idle = append(po.idle, co)
	po.wakeWaiters(nil)
	return true
}

// wakeWaiters wakes the requests that wait for a connection. They fail with err,
// or try again if it is nil; mu must be held.
func (po *Pool) wakeWaiters(err error) {
	po.wakeup.err = err
	close(po.wakeup.done)
	po.wakeup = newWakeup()
}

// wakeup is the next event that the requests without a connection wait for.
type wakeup struct {
	done chan struct{}
	// err is why a connection could not be opened; nil if the requests should try
	// again. It is set before done is closed.
	err error
}

func newWakeup() *wakeup { return &wakeup{done: make(chan struct{})} }

// wait waits for the wakeup for at most the time left.
func (wu *wakeup) wait(left time.Duration) error {
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-wu.done:
		return wu.err
	case <-timer.C:
		return codes.Refuse(codes.DeadlineUnmet, "connecting takes longer")
	}
}

// ErrConnectionRefused marks the refusal of a request for a connection if nothing listens
// at the upstream's address.
var ErrConnectionRefused = errors.New("connection refused")

// ErrOtherUpstream marks the refusal of a request for a connection if another upstream
// answers at the address.
var ErrOtherUpstream = errors.New("another upstream answers at the address")

// dial opens a connection and checks that the expected upstream answers.
func (po *Pool) dial() (*Conn, error) {
	wait := po.settings.ConnectTimeout
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	startedAt := po.deps.Now()
	raw, err := po.deps.Dial(ctx, po.upstream.Address)
	if err != nil {
		ref := codes.Refuse(codes.UpstreamUnreached, "%v", err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errors.Mark(ref, ErrConnectionRefused)
		}
		return nil, ref
	}
	po.recordConnectTime(po.deps.Now().Sub(startedAt))
	setUserTimeout(raw, po.settings.ConnectTimeout)
	co := newConn(po, raw)
	res, err := co.hello(startedAt.Add(wait))
	if err != nil {
		_ = raw.Close()
		return nil, codes.Refuse(codes.UpstreamUnreached, "%v", err)
	}
	if res.Code != codes.OK {
		_ = raw.Close()
		ref := codes.Refuse(res.Code, "%s", res.Detail)
		if res.Code == codes.UpstreamReplaced {
			return nil, errors.Mark(ref, ErrOtherUpstream)
		}
		return nil, ref
	}
	return co, nil
}

func (po *Pool) recordConnectTime(took time.Duration) {
	for {
		old := po.minConnectTime.Load()
		if old != 0 && old <= int64(took) {
			return
		}
		if po.minConnectTime.CompareAndSwap(old, int64(took)) {
			return
		}
	}
}

// setUserTimeout makes the kernel close a TCP connection whose remote end has not
// acknowledged sent data for as long as the limit.
func setUserTimeout(raw net.Conn, limit time.Duration) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	sc, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = sc.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
}
