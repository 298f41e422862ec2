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

// statusOpenBatch is the status of a connection whose extended batch waits for
// more messages or a Sync.
const statusOpenBatch = 'P'

// run is one Run stream: a request, or all units of a transaction.
type run struct {
	ma *Manager
	up *Upstream
	st Stream
	// open is the newest Open of the stream.
	open *wire.Open
	// co is held from the first unit to the end of the transaction.
	co      *conn
	release func()
	units   chan *wire.RunRequest
	mu      sync.Mutex
}

// Run serves a stream from an entry.
func (ma *Manager) Run(ctx context.Context, st Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ru := &run{ma: ma, st: st, units: make(chan *wire.RunRequest)}
	defer func() { ru.giveBack() }()
	go ru.read(ctx, cancel)
	for {
		rq, err := ru.next(ctx)
		if err != nil || rq == nil {
			return err
		}
		if op := rq.GetOpen(); op != nil {
			ru.open = op
			continue
		}
		end := ru.unit(ctx, rq.GetUnit())
		if err := st.Send(&wire.RunReply{Kind: &wire.RunReply_End{End: end}}); err != nil {
			return err
		}
	}
}

// read hands units on and acts on interrupts at once.
func (ru *run) read(ctx context.Context, cancel context.CancelFunc) {
	defer close(ru.units)
	for {
		rq, err := ru.st.Recv()
		if err != nil {
			if !errors.Is(err, errStreamEnd) && !isEOF(err) {
				cancel()
			}
			return
		}
		if rq.GetInterrupt() != nil {
			if co := ru.current(); co != nil {
				ru.up.cancelAsync(co)
			}
			continue
		}
		select {
		case ru.units <- rq:
		case <-ctx.Done():
			return
		}
	}
}

// next returns the next message, nil at the end of the stream, or a refusal
// if a transaction was idle for too long.
func (ru *run) next(ctx context.Context) (*wire.RunRequest, error) {
	var idle <-chan time.Time
	if ru.co != nil && ru.open.GetTransactionIdle() != nil {
		timer := time.NewTimer(ru.open.TransactionIdle.AsDuration())
		defer timer.Stop()
		idle = timer.C
	}
	select {
	case rq := <-ru.units:
		return rq, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-idle:
		ru.giveBack()
		ref := codes.Refuse(codes.TransactionIdle, "idle for %v", ru.open.TransactionIdle.AsDuration())
		return nil, ru.st.Send(&wire.RunReply{Kind: &wire.RunReply_End{End: wire.EndOf(ref, ru.ma.now())}})
	}
}

func (ru *run) giveBack() {
	if ru.co == nil {
		return
	}
	co := ru.co
	switch {
	case co.status == statusOpenBatch:
		co.doubt = true
	case co.status != 'I' && !co.doubt:
		ru.rollback(co)
	}
	ru.setCurrent(nil)
	ru.release()
}

// rollback ends an abandoned transaction so that the connection can be reused.
func (ru *run) rollback(co *conn) {
	_ = co.net.SetDeadline(ru.ma.now().Add(ru.ma.settings.CancelGrace))
	if _, _, err := co.rowsOf("ROLLBACK"); err != nil {
		co.doubt = true
		return
	}
	_ = co.net.SetDeadline(time.Time{})
}

// unit runs one unit and returns its end.
func (ru *run) unit(ctx context.Context, un *wire.Unit) *wire.UnitEnd {
	now := ru.ma.now()
	deadline := wire.Deadline(un.GetRemaining(), now)
	if ru.co == nil {
		if at, err := ru.begin(ctx, deadline); err != nil {
			end := wire.EndOf(codes.From(err), ru.ma.now())
			end.Position = wire.FromPosition(ru.hint(at))
			end.TransactionStatus = 'I'
			return end
		}
	}
	end, err := ru.execute(ctx, un, deadline)
	if err != nil {
		end = wire.EndOf(codes.From(err), ru.ma.now())
		end.TransactionStatus = 'I'
	}
	return end
}

// hint raises a position to the newest term known here, so that the entry
// learns of a change of primary with the refusal.
func (ru *run) hint(at posn.Position) posn.Position {
	if ru.up == nil {
		return at
	}
	if newest := ru.up.newestTerm(); newest.Compare(at.Term) > 0 {
		return posn.Position{Term: newest}
	}
	return at
}

// begin checks the conditions of the Open and takes a connection. The error
// is a refusal that is not run.
func (ru *run) begin(ctx context.Context, deadline time.Time) (posn.Position, error) {
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
	if at, err := ru.check(ctx, deadline); err != nil {
		return at, err
	}
	co, release, err := up.acquire(ctx, ru.item(deadline))
	if err != nil {
		return posn.Position{}, err
	}
	ma := ru.ma
	ma.work.Add(1)
	isLeading := op.Primary
	if isLeading {
		up.leading.Add(1)
	}
	ru.release = func() {
		release()
		if isLeading {
			up.leading.Add(-1)
		}
		ma.work.Done()
	}
	if isLeading && up.handing.Load() {
		// The hand-over began between the check and the count.
		ru.setCurrent(co)
		ru.giveBack()
		return posn.Position{}, codes.Refuse(codes.NotPrimary, "%s hands over", op.Upstream)
	}
	ru.setCurrent(co)
	return posn.Position{}, nil
}

// check waits until the upstream includes the session's floor and, if it is
// read as a replica, is no older than tolerated.
func (ru *run) check(ctx context.Context, deadline time.Time) (posn.Position, error) {
	op := ru.open
	floor := wire.ToPosition(op.Floor)
	limit := wire.Deadline(op.FloorWait, ru.ma.now())
	if deadline.Before(limit) {
		limit = deadline
	}
	if !op.Primary {
		return ru.up.awaitFresh(ctx, floor, op.MaxAge.AsDuration(), limit)
	}
	got, err := ru.up.lead(ctx)
	if err != nil {
		return got.position, err
	}
	if !got.position.Covers(floor, true) {
		return ru.up.awaitFloor(ctx, floor, limit)
	}
	if op.MaxAge == nil {
		return got.position, nil
	}
	// An isolated old primary must not serve reads older than tolerated.
	return ru.up.awaitAge(ctx, got.position, op.MaxAge.AsDuration(), limit)
}

func (ru *run) item(deadline time.Time) admit.Item {
	return admit.Item{
		Caller:   ru.open.Service + "/" + ru.open.Caller,
		Weight:   ru.open.Weight,
		Limit:    max(1, int(ru.open.QueueLimit)),
		Deadline: deadline,
	}
}

// execute runs the unit under a slot, gives the connection back if no
// transaction is open, and waits for the confirmation asked for.
func (ru *run) execute(ctx context.Context, un *wire.Unit, deadline time.Time) (*wire.UnitEnd, error) {
	inTransaction := ru.co.status != 'I'
	item := ru.item(deadline)
	item.Urgent = inTransaction
	unlock, err := ru.up.slots.Acquire(ctx, item)
	if err != nil {
		ru.giveBack()
		if inTransaction {
			return nil, codes.Refuse(codes.TransactionLost, "%v", err)
		}
		return nil, err
	}
	if ru.open.Primary && !inTransaction && ru.up.isSuperseded() {
		// The change of primary came while the unit waited for its slot.
		unlock()
		ru.giveBack()
		return nil, codes.Refuse(codes.NotPrimary, "%s no longer leads", ru.up.member.Name)
	}
	si := &sink{send: ru.st.Send, hold: un.Completion == wire.Completion_COMPLETION_MAJORITY}
	job := &unitJob{ru: ru, un: un, si: si, deadline: deadline, inTransaction: inTransaction}
	if err := ru.up.begin(ru.co); err != nil {
		unlock()
		ru.giveBack()
		return nil, err
	}
	done, err := job.run(ctx)
	ru.co.busy.Store(false)
	unlock()
	if err != nil {
		ru.giveBack()
		return nil, err
	}
	if !done.complete {
		ru.co.status = statusOpenBatch
	}
	end := &wire.UnitEnd{TransactionStatus: uint32(ru.co.status)}
	ended := ru.co.status == 'I'
	if ended {
		ru.giveBack()
	}
	if done.hasReport {
		ru.up.note(done.report)
	}
	if err := ru.settle(ctx, un, done, ended, end); err != nil {
		return nil, err
	}
	return end, si.finish()
}

// settle waits for a majority if the unit committed something.
func (ru *run) settle(ctx context.Context, un *wire.Unit, done unitDone, ended bool, end *wire.UnitEnd) error {
	if !done.hasReport || !ended || (done.failed && !done.committed) {
		return nil
	}
	at := done.report.position
	end.Position = wire.FromPosition(at)
	if un.Completion != wire.Completion_COMPLETION_MAJORITY {
		return nil
	}
	limit := ru.ma.now().Add(ru.ma.settings.ConfirmTimeout)
	if err := ru.up.confirm.await(context.WithoutCancel(ctx), at, limit); err != nil {
		return err
	}
	return ru.up.checkAcknowledged(at)
}

// setCurrent changes the connection in use; read looks at it concurrently.
func (ru *run) setCurrent(co *conn) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.co = co
}

func (ru *run) current() *conn {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.co
}
