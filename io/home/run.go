package home

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/admit"
	"banyanspring/core/codes"
	"banyanspring/core/posn"
	"banyanspring/io/wire"
)

// statusOpenBatch is the status of a connection on which an extended-query batch
// was sent without its Sync.
const statusOpenBatch = 'P'

// runStream serves one Run stream, which carries one request or all units of a
// transaction.
type runStream struct {
	ma *Manager
	up *Upstream
	st Stream
	// open is the most recent Open message of the stream.
	open *wire.Open
	// co is held from the first unit to the end of the transaction.
	co       *conn
	release  func()
	requests chan *wire.RunRequest
	// mu guards co, which readRequests reads concurrently.
	mu sync.Mutex
}

// Run serves a stream from the daemon that the caller is connected to.
func (ma *Manager) Run(ctx context.Context, st Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ru := &runStream{ma: ma, st: st, requests: make(chan *wire.RunRequest)}
	defer func() { ru.releaseConn() }()
	go ru.readRequests(ctx, cancel)
	for {
		rq, err := ru.nextRequest(ctx)
		if err != nil || rq == nil {
			return err
		}
		if op := rq.GetOpen(); op != nil {
			ru.open = op
			continue
		}
		end := ru.runUnit(ctx, rq.GetUnit())
		if err := st.Send(&wire.RunReply{Kind: &wire.RunReply_End{End: end}}); err != nil {
			return err
		}
	}
}

// readRequests passes messages on to nextRequest and handles interrupts at
// once.
func (ru *runStream) readRequests(ctx context.Context, cancel context.CancelFunc) {
	defer close(ru.requests)
	for {
		rq, err := ru.st.Recv()
		if err != nil {
			if !errors.Is(err, errStreamEnd) && !isEOF(err) {
				cancel()
			}
			return
		}
		if rq.GetInterrupt() != nil {
			if co := ru.currentConn(); co != nil {
				ru.up.cancelAsync(co)
			}
			continue
		}
		select {
		case ru.requests <- rq:
		case <-ctx.Done():
			return
		}
	}
}

// nextRequest returns the next message, or nil at the end of the stream. If a
// transaction was idle for too long, it sends a refusal and returns nil.
func (ru *runStream) nextRequest(ctx context.Context) (*wire.RunRequest, error) {
	var idle <-chan time.Time
	if ru.co != nil && ru.open.GetTransactionIdle() != nil {
		timer := time.NewTimer(ru.open.TransactionIdle.AsDuration())
		defer timer.Stop()
		idle = timer.C
	}
	select {
	case rq := <-ru.requests:
		return rq, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-idle:
		ru.releaseConn()
		ref := codes.Refuse(codes.TransactionIdle, "idle for %v", ru.open.TransactionIdle.AsDuration())
		return nil, ru.st.Send(&wire.RunReply{Kind: &wire.RunReply_End{End: wire.FromRefusal(ref, ru.ma.now())}})
	}
}

func (ru *runStream) releaseConn() {
	if ru.co == nil {
		return
	}
	co := ru.co
	switch {
	case co.status == statusOpenBatch:
		co.inDoubt = true
	case co.status != 'I' && !co.inDoubt:
		ru.rollback(co)
	}
	ru.setConn(nil)
	ru.release()
}

// rollback ends an abandoned transaction so that the connection can be reused.
func (ru *runStream) rollback(co *conn) {
	_ = co.net.SetDeadline(ru.ma.now().Add(ru.ma.settings.CancelGrace))
	if _, _, err := co.queryRows("ROLLBACK"); err != nil {
		co.inDoubt = true
		return
	}
	_ = co.net.SetDeadline(time.Time{})
}

// runUnit runs one unit and returns its UnitEnd.
func (ru *runStream) runUnit(ctx context.Context, un *wire.Unit) *wire.UnitEnd {
	now := ru.ma.now()
	deadline := wire.Deadline(un.GetRemaining(), now)
	if ru.co == nil {
		if at, err := ru.acquireConn(ctx, deadline); err != nil {
			end := wire.FromRefusal(codes.From(err), ru.ma.now())
			end.Position = wire.FromPosition(ru.withNewestTerm(at))
			end.TransactionStatus = 'I'
			return end
		}
	}
	end, err := ru.execute(ctx, un, deadline)
	if err != nil {
		end = wire.FromRefusal(codes.From(err), ru.ma.now())
		end.TransactionStatus = 'I'
	}
	return end
}

// withNewestTerm returns at, or the newest term known to this daemon if it is
// higher, so that the sender learns of a change of primary from the refusal.
func (ru *runStream) withNewestTerm(at posn.Position) posn.Position {
	if ru.up == nil {
		return at
	}
	if newest := ru.up.newestTerm(); newest.Compare(at.Term) > 0 {
		return posn.Position{Term: newest}
	}
	return at
}

// acquireConn checks the conditions of the Open and takes a connection. The
// error is a refusal, and the unit was not run.
func (ru *runStream) acquireConn(ctx context.Context, deadline time.Time) (posn.Position, error) {
	op := ru.open
	if op == nil {
		return posn.Position{}, codes.Refuse(codes.ProtocolViolation, "unit without open")
	}
	if ru.ma.leaving.Load() {
		return posn.Position{}, codes.Refuse(codes.ShuttingDown, "home is leaving")
	}
	up, err := ru.ma.upstream(op.Group, op.Upstream)
	if err != nil {
		return posn.Position{}, err
	}
	ru.up = up
	if up.isLeaving() {
		return posn.Position{}, codes.Refuse(codes.UpstreamLeaving, "%s", op.Upstream)
	}
	if at, err := ru.checkConditions(ctx, deadline); err != nil {
		return at, err
	}
	co, release, err := up.acquire(ctx, ru.queueItem(deadline))
	if err != nil {
		return posn.Position{}, err
	}
	ma := ru.ma
	ma.inFlight.Add(1)
	isLeading := op.Primary
	if isLeading {
		up.primaryInFlight.Add(1)
	}
	ru.release = func() {
		release()
		if isLeading {
			up.primaryInFlight.Add(-1)
		}
		ma.inFlight.Done()
	}
	if isLeading && up.handingOver.Load() {
		// The handover began between the check and the increment of
		// primaryInFlight.
		ru.setConn(co)
		ru.releaseConn()
		return posn.Position{}, codes.Refuse(codes.NotPrimary, "%s hands over", op.Upstream)
	}
	ru.setConn(co)
	return posn.Position{}, nil
}

// checkConditions waits until the upstream covers the session's minimum
// position and, if MaxAge is set or the upstream is read as a replica, its data
// is no older than MaxAge.
func (ru *runStream) checkConditions(ctx context.Context, deadline time.Time) (posn.Position, error) {
	op := ru.open
	floor := wire.ToPosition(op.Floor)
	limit := wire.Deadline(op.FloorWait, ru.ma.now())
	if deadline.Before(limit) {
		limit = deadline
	}
	if !op.Primary {
		return ru.up.awaitFresh(ctx, floor, op.MaxAge.AsDuration(), limit)
	}
	got, err := ru.up.primaryInService(ctx)
	if err != nil {
		return got.position, err
	}
	if !got.position.Covers(floor, true) {
		return ru.up.awaitMinPosition(ctx, floor, limit)
	}
	if op.MaxAge == nil {
		return got.position, nil
	}
	// A former primary that is cut off from its group must not serve data older
	// than MaxAge.
	return ru.up.awaitMaxAge(ctx, got.position, op.MaxAge.AsDuration(), limit)
}

func (ru *runStream) queueItem(deadline time.Time) admit.Item {
	return admit.Item{
		Caller:   ru.open.Service + "/" + ru.open.Caller,
		Weight:   ru.open.Weight,
		Limit:    max(1, int(ru.open.QueueLimit)),
		Deadline: deadline,
	}
}

// execute runs the unit in a slot, returns the connection to the pool if no
// transaction or batch is open then, and waits for the confirmation that the unit
// requires.
func (ru *runStream) execute(ctx context.Context, un *wire.Unit, deadline time.Time) (*wire.UnitEnd, error) {
	inTransaction := ru.co.status != 'I'
	item := ru.queueItem(deadline)
	item.Urgent = inTransaction
	unlock, err := ru.up.slots.Acquire(ctx, item)
	if err != nil {
		ru.releaseConn()
		if inTransaction {
			return nil, codes.Refuse(codes.TransactionLost, "%v", err)
		}
		return nil, err
	}
	if ru.open.Primary && !inTransaction && ru.up.isSuperseded() {
		// The primary changed while the unit waited for its slot.
		unlock()
		ru.releaseConn()
		return nil, codes.Refuse(codes.NotPrimary, "%s no longer leads", ru.up.member.Name)
	}
	si := &sink{send: ru.st.Send, holdCompletion: un.Completion == wire.Completion_COMPLETION_MAJORITY}
	job := &unitJob{ru: ru, un: un, si: si, deadline: deadline, inTransaction: inTransaction}
	if err := ru.up.markBusy(ru.co); err != nil {
		unlock()
		ru.releaseConn()
		return nil, err
	}
	done, err := job.run(ctx)
	ru.co.busy.Store(false)
	unlock()
	if err != nil {
		ru.releaseConn()
		return nil, err
	}
	if !done.complete {
		ru.co.status = statusOpenBatch
	}
	end := &wire.UnitEnd{TransactionStatus: uint32(ru.co.status)}
	ended := ru.co.status == 'I'
	if ended {
		ru.releaseConn()
	}
	if done.hasReport {
		ru.up.recordReport(done.report)
	}
	if err := ru.confirmCommit(ctx, un, done, ended, end); err != nil {
		return nil, err
	}
	return end, si.finish()
}

// confirmCommit sets the position of a unit that committed something and, if the
// unit requires it, waits until a majority holds that position.
func (ru *runStream) confirmCommit(ctx context.Context, un *wire.Unit, done unitResult, ended bool, end *wire.UnitEnd) error {
	if !done.hasReport || !ended || (done.failed && !done.committed) {
		return nil
	}
	at := done.report.position
	end.Position = wire.FromPosition(at)
	if un.Completion != wire.Completion_COMPLETION_MAJORITY {
		return nil
	}
	limit := ru.ma.now().Add(ru.ma.settings.ConfirmTimeout)
	if err := ru.up.confirm.awaitMajority(context.WithoutCancel(ctx), at, limit); err != nil {
		return err
	}
	return ru.up.checkAcknowledged(at)
}

// setConn sets the connection in use.
func (ru *runStream) setConn(co *conn) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.co = co
}

func (ru *runStream) currentConn() *conn {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.co
}
