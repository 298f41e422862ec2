package front

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"banyanspring/core/class"
	"banyanspring/core/codes"
	"banyanspring/core/docum"
	"banyanspring/core/event"
	"banyanspring/core/posn"
	"banyanspring/core/route"
	"banyanspring/io/delay"
	"banyanspring/io/metric"
	"banyanspring/io/peer"
	"banyanspring/io/store"
	"banyanspring/io/wire"
)

// request is one unit that is being routed and run.
type request struct {
	se        *session
	un        *unit
	target    docum.Target
	group     store.Group
	routes    *routingTable
	startedAt time.Time
	// deadline bounds the request, including waits and retries.
	deadline time.Time
	// key is the request key; empty if there is none.
	key string
	// class is the read class of the request.
	class docum.ReadClass
	// forwarded is true once a part of the reply was buffered for the caller, after
	// which the request cannot be retried.
	forwarded bool
	meter     *metric.Request
}

// run serves one unit. An error ends the session.
func (se *session) run(un *unit) error {
	if se.pinned != nil && se.pinned.lost {
		return se.runAfterLoss(un)
	}
	rq, err := se.newRequest(un)
	if err != nil {
		return se.refuseUnit(codes.From(err), un.expectsReady)
	}
	ctx, cancel := context.WithDeadline(context.Background(), rq.deadline.Add(homeReplyGrace))
	defer cancel()
	se.front.creditRetryBudget()
	err = rq.serve(ctx)
	rq.meter.Latency.RecordDuration(se.front.now().Sub(rq.startedAt))
	if err != nil {
		return rq.refuse(codes.From(err))
	}
	se.applyNameChanges(un)
	return se.finishReply(un.expectsReady)
}

// homeReplyGrace is added to the deadline of a request before its stream is
// closed, so that the home can report a missed deadline first.
const homeReplyGrace = 3 * time.Second

// newRequest resolves the target, group, deadline and options of a unit.
func (se *session) newRequest(un *unit) (*request, error) {
	fr := se.front
	target, err := fr.cluster.Document().Document.GetTargetByName(se.database)
	if err != nil {
		return nil, codes.Refuse(codes.UnknownDatabase, "%q", se.database)
	}
	caller, ok := target.Service.GetCallerByName(se.caller.Name)
	if !ok {
		return nil, codes.Refuse(codes.CallerNotListed, "%q", se.caller.Name)
	}
	se.caller = caller
	gr, ok := fr.cluster.Group(target.Database.Group)
	if !ok {
		return nil, codes.Refuse(codes.NoPrimary, "group %q is not known yet", target.Database.Group)
	}
	now := fr.now()
	rq := &request{
		se:        se,
		un:        un,
		target:    target,
		group:     gr,
		routes:    fr.routes.get(gr),
		startedAt: now,
		deadline:  now.Add(target.Service.Limits.StatementTimeout.Duration()),
	}
	return rq, rq.resolveOptions()
}

// resolveOptions sets the read class and the request key. Options in the
// statement's leading comment take precedence over the session's settings.
func (rq *request) resolveOptions() error {
	se := rq.se
	className := se.state.ReadClass
	if rq.un.options.ReadClass != "" {
		className = rq.un.options.ReadClass
	}
	cl, ok := rq.target.Service.GetClassByName(className)
	if !ok {
		return codes.Refuse(codes.BadSetting, "no read class %q", className)
	}
	rq.class = cl
	kind := "write"
	if rq.un.isRead() {
		kind = "read_" + cl.Name
	}
	rq.meter = se.front.metrics.GetRequest(rq.target.Service.Name, se.caller.Name, kind)
	if se.pinned != nil || !rq.un.hasEffect() {
		return nil
	}
	rq.key = rq.un.options.RequestKey
	if rq.key == "" {
		rq.key = se.state.RequestKey
		se.state = se.state.WithRequestKey("")
	}
	if rq.key != "" && len(rq.un.executedKinds) != 1 {
		return codes.Refuse(codes.RequestKeyInBatch, "%d statements", len(rq.un.executedKinds))
	}
	return nil
}

// serve runs the request on the pinned stream if there is one, and otherwise as a
// read or a write.
func (rq *request) serve(ctx context.Context) error {
	switch {
	case rq.se.pinned != nil:
		return rq.runPinned(ctx)
	case rq.un.isRead():
		return rq.read(ctx)
	default:
		return rq.write(ctx)
	}
}

// retryPause is the pause between two rounds of attempts.
const retryPause = 20 * time.Millisecond

// read repeats rounds of attempts until the read succeeds, cannot be retried or
// runs out of time.
func (rq *request) read(ctx context.Context) error {
	var last error
	for {
		minPos, err := rq.minPosition(ctx)
		if err != nil {
			last = err
		} else if last = rq.tryUpstreams(ctx, minPos); last == nil || !rq.isRetryable(last) {
			return last
		}
		if !rq.pauseBeforeRetry(ctx) {
			return last
		}
		rq.refreshGroup()
	}
}

// tryUpstreams tries the upstreams that may serve the read, best first.
func (rq *request) tryUpstreams(ctx context.Context, minPos posn.Position) error {
	now := rq.se.front.now()
	ups := rq.se.front.cluster.RankForRead(rq.routes.upstreams(), route.Request{
		From:         rq.se.front.site,
		MinPosition:  minPos,
		PrimaryOnly:  rq.class.MaxAge == 0,
		TieBreakSeed: uint64(rq.se.pid),
	}, now)
	var last error = codes.Refuse(codes.NoPrimary, "no upstream takes reads")
	for pos, up := range ups {
		last = rq.tryUpstream(ctx, up, minPos)
		if last == nil || !rq.isRetryable(last) {
			return last
		}
		if pos+1 < len(ups) && !rq.takeRetry(last) {
			return codes.Refuse(codes.RetryBudgetSpent, "%v", last)
		}
	}
	return last
}

// minPosition returns the lowest position that the read may see. It queries the
// primary if the session's own minimum may lack earlier writes, as in a new session,
// or if the read class tolerates no staleness. If the query fails, a class with
// ServeWhenCutOff uses the session's own minimum.
func (rq *request) minPosition(ctx context.Context) (posn.Position, error) {
	se := rq.se
	if se.state.MinPositionKnown && rq.class.MaxAge > 0 {
		return se.state.MinPosition, nil
	}
	at, requestedAt, err := se.front.cluster.ConfirmedPosition(ctx, rq.group)
	if err == nil {
		se.state = se.state.WithConfirmedPosition(at, requestedAt)
		return se.state.MinPosition, nil
	}
	if rq.class.ServeWhenCutOff {
		return se.state.MinPosition, nil
	}
	return posn.Position{}, err
}

// write runs the request at the primary. It retries only if nothing was run, or
// if a request key makes a repeat safe.
func (rq *request) write(ctx context.Context) error {
	for {
		err := rq.tryPrimary(ctx)
		if err == nil || !rq.isRetryable(err) {
			return err
		}
		if !rq.takeRetry(err) {
			return rq.retryBudgetRefusal(err)
		}
		if !rq.pauseBeforeRetry(ctx) {
			return err
		}
		rq.refreshGroup()
	}
}

// retryBudgetRefusal returns RetryBudgetSpent if nothing was run, and otherwise
// err itself, which says that the outcome is unknown.
func (rq *request) retryBudgetRefusal(err error) error {
	if !codes.From(err).NotRun() {
		return err
	}
	return codes.Refuse(codes.RetryBudgetSpent, "%v", err)
}

// tryPrimary makes one attempt at the known primary.
func (rq *request) tryPrimary(ctx context.Context) error {
	up, ok := route.Primary(rq.routes.upstreams())
	if !ok {
		return codes.Refuse(codes.NoPrimary, "group %q", rq.group.Name)
	}
	if rq.se.front.now().Before(up.FailedUntil) {
		// Another request has just failed here: wait until a new primary is
		// known instead of trying the failed one again.
		return codes.Refuse(codes.NoPrimary, "%s failed a moment ago", up.Name)
	}
	minPos := rq.se.state.MinPosition
	if rq.un.hasKind(class.Begin) && !rq.se.state.MinPositionKnown {
		var err error
		if minPos, err = rq.minPosition(ctx); err != nil {
			return err
		}
	}
	return rq.tryUpstream(ctx, up, minPos)
}

// refreshGroup loads the newest known description of the group.
func (rq *request) refreshGroup() {
	if gr, ok := rq.se.front.cluster.Group(rq.group.Name); ok {
		rq.group = gr
		rq.routes = rq.se.front.routes.get(gr)
	}
}

// isRetryable reports whether another attempt is safe and may succeed.
func (rq *request) isRetryable(err error) bool {
	ref := codes.From(err)
	if rq.forwarded {
		return false
	}
	switch ref.Code {
	case codes.QueueFull, codes.DeadlineUnmet, codes.TransactionLost, codes.TransactionIdle:
		return false
	case codes.ConnectionLost, codes.OutcomeUnknown, codes.UpstreamSilent, codes.Unconfirmed:
		return rq.key != ""
	}
	return ref.NotRun() && ref.Code.Info().Retryable
}

// takeRetry records a retry and reports whether the retry budget allows it. A
// refusal that cost the upstream no work does not draw on the budget.
func (rq *request) takeRetry(err error) bool {
	co := codes.From(err).Code
	rq.meter.Retried.Inc(1)
	event.Log(rq.se.front.log, event.RequestRetried, "code", uint32(co), "caller", rq.se.caller.Name)
	switch co {
	case codes.Behind, codes.TooStale, codes.NotHome, codes.ShuttingDown, codes.NotPrimary, codes.NoPrimary:
		return true
	}
	return rq.se.front.drawRetryBudget()
}

// pauseBeforeRetry waits for the retry pause. It returns false if the deadline
// does not allow it.
func (rq *request) pauseBeforeRetry(ctx context.Context) bool {
	if !rq.se.front.now().Add(retryPause).Before(rq.deadline) {
		return false
	}
	return delay.Pause(ctx, retryPause)
}

// tryUpstream runs the request at one upstream and updates the routing state from
// the outcome.
func (rq *request) tryUpstream(ctx context.Context, up route.Upstream, minPos posn.Position) error {
	mem, ok := rq.group.GetMemberByName(up.Name)
	if !ok {
		return codes.Refuse(codes.NoPrimary, "upstream %q left the group", up.Name)
	}
	st, err := rq.se.front.cluster.OpenStream(mem, rq.un.isRead())
	if err != nil {
		rq.recordOutcome(up, mem, nil, err)
		return err
	}
	end, err := rq.exchange(ctx, &st, rq.openMessage(mem, minPos, up.Primary))
	rq.recordOutcome(up, mem, end, err)
	if err != nil {
		st.Close()
		return err
	}
	rq.countServed(up)
	rq.pinOrRelease(st, mem, end)
	return nil
}

func (rq *request) countServed(up route.Upstream) {
	fr := rq.se.front
	if up.Primary {
		rq.meter.Primary.Inc(1)
	} else {
		rq.meter.Replica.Inc(1)
	}
	switch {
	case !rq.un.isRead():
	case up.Primary:
		fr.primaryReads.Add(1)
	default:
		fr.replicaReads.Add(1)
	}
}

// pinOrRelease pins the stream if the unit left a transaction or batch open, and
// releases it otherwise.
func (rq *request) pinOrRelease(st peer.Stream, mem store.Member, end *wire.UnitEnd) {
	status := byte(end.TransactionStatus)
	if status == 'I' {
		st.Release()
		return
	}
	rq.se.pinned = &pinnedStream{
		stream:   st,
		status:   status,
		readOnly: rq.un.isSingle(class.BeginReadOnly),
	}
}

// recordOutcome updates the state of the upstream and of its home from the
// outcome of an attempt. A refusal that carries a newer term makes the session query
// for its minimum position again.
func (rq *request) recordOutcome(up route.Upstream, mem store.Member, end *wire.UnitEnd, err error) {
	now := rq.se.front.now()
	if err == nil {
		rq.routes.clearFailed(up.Name)
		return
	}
	if te := wire.ToPosition(end.GetPosition()).Term; te != (posn.Term{}) {
		rq.se.front.cluster.LearnTerm(rq.group.Name, te)
		if te.Compare(rq.se.state.MinPosition.Term) > 0 {
			rq.se.state = rq.se.state.WithMinPositionUnknown(now)
		}
	}
	if up.Primary {
		rq.routes.refreshIfDue(now, func() { rq.se.front.cluster.RefreshTerms(rq.group) })
	}
	switch codes.From(err).Code {
	case codes.Behind, codes.TooStale:
		rq.routes.markBehind(up.Name, wire.ToPosition(end.GetPosition()), now)
	case codes.UpstreamUnreached, codes.UpstreamSilent, codes.ConnectionLost:
		rq.routes.markFailed(up.Name, now)
	case codes.PeerUnreached, codes.ShuttingDown, codes.NotHome, codes.OutcomeUnknown:
		rq.se.front.cluster.SuspectHome(mem)
	}
}

// openMessage returns the message that opens a stream to the upstream.
func (rq *request) openMessage(mem store.Member, minPos posn.Position, primary bool) *wire.Open {
	lim := rq.target.Service.Limits
	op := &wire.Open{
		Group:           rq.group.Name,
		Upstream:        mem.Name,
		Caller:          rq.se.caller.Name,
		Weight:          rq.se.caller.Weight,
		Service:         rq.target.Service.Name,
		Floor:           wire.FromPosition(minPos),
		FloorWait:       durationpb.New(lim.FloorWait.Duration()),
		Primary:         primary,
		QueueLimit:      uint32(lim.QueuePerCaller),
		TransactionIdle: durationpb.New(lim.TransactionIdle.Duration()),
	}
	if rq.un.isRead() && rq.class.MaxAge > 0 {
		op.MaxAge = durationpb.New(rq.class.MaxAge.Duration())
	}
	return op
}

// runPinned runs the unit on the stream of the open transaction or batch.
func (rq *request) runPinned(ctx context.Context) error {
	se := rq.se
	ps := se.pinned
	end, err := rq.exchange(ctx, &ps.stream, nil)
	if err != nil && rq.endsTransaction() {
		se.unpin()
		return err
	}
	if err != nil {
		se.failTransaction()
		return err
	}
	ps.status = byte(end.TransactionStatus)
	if ps.status == 'I' {
		se.unpin()
	}
	return nil
}

// endsTransaction reports whether the transaction ends with the unit, whatever
// its outcome.
func (rq *request) endsTransaction() bool {
	return rq.un.hasKind(class.Commit) || rq.un.hasKind(class.Rollback)
}
