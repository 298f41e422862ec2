package pool

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"banyanspring/core/codes"
)

// connect returns an idle connection that is alive. If there is none it has one
// opened and takes whichever is free first. The opening is not bound to the
// request: what comes too late for it serves the next one.
func (po *Pool) connect(deadline time.Time) (*Conn, error) {
	for {
		co, tu, err := po.takeOrDial()
		if err != nil {
			return nil, err
		}
		if co == nil {
			if err := tu.wait(deadline.Sub(po.seams.Now())); err != nil {
				return nil, err
			}
			continue
		}
		if po.seams.Now().Sub(co.lastUsed) < po.settings.CheckAfter || co.isAlive(deadline) {
			return co, nil
		}
		po.drop(co)
	}
}

// dialsAtOnce bounds the connections that are being opened. Each takes one of the
// upstream's slots for a while: more of them at once are not ready sooner, and
// keep the statements out that the open ones could run.
const dialsAtOnce = 2

// takeOrDial returns the idle connection that was used last, or the turn to wait
// for while one is being opened.
func (po *Pool) takeOrDial() (*Conn, *turn, error) {
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
	if po.dialing < dialsAtOnce && !po.isFull(0) && !po.seams.Now().Before(po.fullUntil) {
		po.dialing++
		po.open.Add(1)
		go po.dialOne()
	}
	return nil, po.turn, nil
}

// dialOne opens a connection for whoever comes first.
func (po *Pool) dialOne() {
	co, err := po.dial()
	po.mu.Lock()
	defer po.mu.Unlock()
	po.dialing--
	if err == nil && po.keep(co) {
		return
	}
	if err == nil {
		_ = co.net.Close()
	}
	po.open.Add(-1)
	if codes.Is(err, codes.ConnectionsInUse) && po.open.Load() > 0 {
		// Those that are open serve the requests, one after the other.
		po.fullUntil = po.seams.Now().Add(fullPause)
		time.AfterFunc(fullPause, func() {
			po.mu.Lock()
			defer po.mu.Unlock()
			po.endTurn(nil)
		})
		return
	}
	po.endTurn(err)
}

// fullPause is kept before another connection is tried at an upstream that had no
// room. It drops the connections of instances that are gone after seconds.
const fullPause = 150 * time.Millisecond

// isFull reports whether there are as many connections as there may be, and more
// than that by so many; mu is held.
func (po *Pool) isFull(more int) bool { return int(po.open.Load()) >= max(1, po.share.Quota)+more }

// keep makes a connection idle, unless it is too many; mu is held.
func (po *Pool) keep(co *Conn) bool {
	if po.closed || po.isFull(1) {
		return false
	}
	co.lastUsed = po.seams.Now()
	po.idle = append(po.idle, co)
	po.endTurn(nil)
	return true
}

// endTurn lets those go on who wait; mu is held.
func (po *Pool) endTurn(err error) {
	po.turn.err = err
	close(po.turn.over)
	po.turn = newTurn()
}

// turn is a time for which requests wait together.
type turn struct {
	over chan struct{}
	// err is why the connection that was waited for could not be opened; it is
	// set before over is closed.
	err error
}

func newTurn() *turn { return &turn{over: make(chan struct{})} }

// wait waits for the end of the turn, for as long as given.
func (tu *turn) wait(left time.Duration) error {
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-tu.over:
		return tu.err
	case <-timer.C:
		return codes.Refuse(codes.DeadlineUnmet, "connecting takes longer")
	}
}

// dial opens a connection and checks that the expected upstream answers.
func (po *Pool) dial() (*Conn, error) {
	wait := po.settings.ConnectTimeout
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	asked := po.seams.Now()
	raw, err := po.seams.Dial(ctx, po.upstream.Address)
	if err != nil {
		return nil, codes.Refuse(codes.UpstreamUnreached, "%v", err)
	}
	po.noteRoundTrip(po.seams.Now().Sub(asked))
	limitSilence(raw, po.settings.ConnectTimeout)
	co := newConn(po, raw)
	res, err := co.hello(asked.Add(wait))
	if err != nil {
		_ = raw.Close()
		return nil, codes.Refuse(codes.UpstreamUnreached, "%v", err)
	}
	if res.Code != codes.OK {
		_ = raw.Close()
		return nil, codes.Refuse(res.Code, "%s", res.Detail)
	}
	return co, nil
}

func (po *Pool) noteRoundTrip(took time.Duration) {
	for {
		old := po.nearest.Load()
		if old != 0 && old <= int64(took) {
			return
		}
		if po.nearest.CompareAndSwap(old, int64(took)) {
			return
		}
	}
}

// limitSilence makes the kernel give a connection up whose far end no longer
// answers.
func limitSilence(raw net.Conn, limit time.Duration) {
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
