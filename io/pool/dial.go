package pool

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"banyanspring/core/codes"
	"banyanspring/core/conns"
)

type action = conns.Action[*Conn]

// grant is the decision on a request for a connection.
type grant struct {
	conn *Conn
	// err is why there is no connection.
	err error
}

// connect returns a live connection for the request, which the table decides on. The opening
// of connections is independent of requests: one that is opened too late serves the next
// request of its workspace.
func (po *Pool) connect(cr ConnRequest) (*Conn, error) {
	for {
		co, err := po.waitForConn(cr)
		if err != nil {
			return nil, err
		}
		if po.deps.Now().Sub(co.lastUsed) < po.settings.CheckAfter || co.isAlive(cr.Deadline) {
			return co, nil
		}
		po.closeConn(co)
	}
}

// waitForConn waits until the request's deadline for a connection.
func (po *Pool) waitForConn(cr ConnRequest) (*Conn, error) {
	po.mu.Lock()
	po.nextID++
	id := po.nextID
	now := po.deps.Now()
	acts := po.table.Add(now, conns.Request{ID: id, Workspace: cr.Workspace, IsSystem: cr.IsSystem})
	if len(acts) == 1 && acts[0].Kind == conns.Grant {
		po.count()
		po.mu.Unlock()
		return acts[0].Conn, nil
	}
	ready := make(chan grant, 1)
	po.waiting[id] = ready
	po.finish(acts)
	timer := time.NewTimer(cr.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case got := <-ready:
		return got.conn, got.err
	case <-timer.C:
	}
	po.mu.Lock()
	isWaiting := po.table.Cancel(id)
	delete(po.waiting, id)
	po.mu.Unlock()
	if isWaiting {
		return nil, codes.Refuse(codes.DeadlineUnmet, "connecting takes longer")
	}
	// The decision is in the channel already.
	got := <-ready
	return got.conn, got.err
}

// finish carries out the table's actions. mu must be held; finish unlocks it, so that the
// connections are closed without it. They are closed before others are opened in their place.
func (po *Pool) finish(acts []action) { po.finishWith(acts, nil) }

// finishWith is like finish. Requests that fail get the error; if it is nil, the upstream is
// gone.
func (po *Pool) finishWith(acts []action, err error) {
	for _, ac := range acts {
		if ac.Kind != conns.Grant && ac.Kind != conns.Fail {
			continue
		}
		got := grant{conn: ac.Conn, err: err}
		switch {
		case ac.Kind == conns.Grant:
			got.err = nil
		case err == nil:
			got.err = codes.Refuse(codes.UpstreamReplaced, "%s is gone", po.upstream.ID)
		}
		po.waiting[ac.Request] <- got
		delete(po.waiting, ac.Request)
	}
	po.count()
	po.schedule()
	po.mu.Unlock()
	for _, ac := range acts {
		switch ac.Kind {
		case conns.Close:
			_ = ac.Conn.net.Close()
		case conns.Open:
			go po.dialOne(ac.Workspace)
		}
	}
}

// count adds the growth of the table's counters to deps.Counts; mu must be held.
func (po *Pool) count() {
	if po.deps.Counts == nil {
		return
	}
	now, before := po.table.Counts(), po.counted
	if now == before {
		return
	}
	po.counted = now
	po.deps.Counts.Opened.Add(now.Opened - before.Opened)
	po.deps.Counts.Replaced.Add(now.Replaced - before.Replaced)
	po.deps.Counts.Reused.Add(now.Reused - before.Reused)
}

// schedule sets a timer for the next time at which the table may decide otherwise; mu must be
// held.
func (po *Pool) schedule() {
	now := po.deps.Now()
	due := po.table.Due(now)
	if due.IsZero() || (!po.advanceAt.IsZero() && !due.Before(po.advanceAt)) {
		return
	}
	po.advanceAt = due
	time.AfterFunc(due.Sub(now), func() {
		po.mu.Lock()
		if po.advanceAt.Equal(due) {
			po.advanceAt = time.Time{}
		}
		po.finish(po.table.Advance(po.deps.Now()))
	})
}

// dialOne opens a connection for a workspace and passes it to the table.
func (po *Pool) dialOne(workspace string) {
	startedAt := po.deps.Now()
	co, err := po.dial(workspace)
	po.mu.Lock()
	now := po.deps.Now()
	if err != nil {
		isFull := codes.Is(err, codes.ConnectionsInUse)
		if isFull && po.deps.Counts != nil {
			po.deps.Counts.Full.Add(1)
		}
		po.finishWith(po.table.OpenFailed(now, workspace, isFull), err)
		return
	}
	co.lastUsed = now
	po.finish(po.table.Opened(now, workspace, co, now.Sub(startedAt)))
}

// ErrConnectionRefused marks the refusal of a request for a connection if nothing listens
// at the upstream's address.
var ErrConnectionRefused = errors.New("connection refused")

// ErrOtherUpstream marks the refusal of a request for a connection if another upstream
// answers at the address.
var ErrOtherUpstream = errors.New("another upstream answers at the address")

// dial opens a connection for a workspace and checks that the expected upstream answers.
func (po *Pool) dial(workspace string) (*Conn, error) {
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
	co.workspace = workspace
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
