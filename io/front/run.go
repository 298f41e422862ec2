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

// request is one unit on its way.
type request struct {
	se     *session
	un     *unit
	target docum.Target
	group  store.Group
	board  *board
	began  time.Time
	// deadline bounds the request, waits and retries included.
	deadline time.Time
	// key is the request key in force; empty if there is none.
	key string
	// class is the read class in force.
	class docum.ReadClass
	// forwarded is true once a part of the answer went to the caller.
	forwarded bool
	meter     *metric.Request
}

// run serves one unit. An error ends the session.
func (se *session) run(un *unit) error {
	if se.held != nil && se.held.dead {
		return se.runDead(un)
	}
	rq, err := se.newRequest(un)
	if err != nil {
		return se.refuseUnit(codes.From(err), un.syncs)
	}
	ctx, cancel := context.WithDeadline(context.Background(), rq.deadline.Add(hopGrace))
	defer cancel()
	se.front.noteRequest()
	err = rq.serve(ctx)
	rq.meter.Latency.RecordDuration(se.front.now().Sub(rq.began))
	if err != nil {
		return rq.refuse(codes.From(err))
	}
	se.remember(un)
	return se.finish(un.syncs)
}

// hopGrace lets a home report a deadline before the entry gives up on it.
const hopGrace = 3 * time.Second

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
		se:       se,
		un:       un,
		target:   target,
		group:    gr,
		board:    fr.boards.of(gr),
		began:    now,
		deadline: now.Add(target.Service.Limits.StatementTimeout.Duration()),
	}
	return rq, rq.takeOptions()
}

// takeOptions settles the request key and the read class.
func (rq *request) takeOptions() error {
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
	if se.held != nil || !rq.un.hasEffect() {
		return nil
	}
	rq.key = rq.un.options.RequestKey
	if rq.key == "" {
		rq.key = se.state.RequestKey
		se.state = se.state.WithRequestKey("")
	}
	if rq.key != "" && len(rq.un.kinds) != 1 {
		return codes.Refuse(codes.RequestKeyInBatch, "%d statements", len(rq.un.kinds))
	}
	return nil
}

// serve sends the request to the right place.
func (rq *request) serve(ctx context.Context) error {
	switch {
	case rq.se.held != nil:
		return rq.continueHeld(ctx)
	case rq.un.isRead():
		return rq.read(ctx)
	default:
		return rq.write(ctx)
	}
}

// retryPause is the pause between two rounds of tries.
const retryPause = 20 * time.Millisecond

// read tries the upstreams that may serve the read, best first.
func (rq *request) read(ctx context.Context) error {
	var last error
	for {
		floor, err := rq.floor(ctx)
		if err != nil {
			last = err
		} else if last = rq.readOnce(ctx, floor); last == nil || !rq.mayRetry(last) {
			return last
		}
		if !rq.pause(ctx) {
			return last
		}
		rq.refresh()
	}
}

func (rq *request) readOnce(ctx context.Context, floor posn.Position) error {
	now := rq.se.front.now()
	ups := rq.se.front.cluster.Reads(rq.board.upstreams(), route.Request{
		From:        rq.se.front.site,
		Floor:       floor,
		PrimaryOnly: rq.class.MaxAge == 0,
		Spread:      uint64(rq.se.pid),
	}, now)
	var last error = codes.Refuse(codes.NoPrimary, "no upstream takes reads")
	for pos, up := range ups {
		last = rq.try(ctx, up, floor)
		if last == nil || !rq.mayRetry(last) {
			return last
		}
		if pos+1 < len(ups) && !rq.spend(last) {
			return codes.Refuse(codes.RetryBudgetSpent, "%v", last)
		}
	}
	return last
}

// floor returns the lowest position that the read may see. A session that has
// just arrived asks for one; reads without staleness always ask.
func (rq *request) floor(ctx context.Context) (posn.Position, error) {
	se := rq.se
	if se.state.Settled && rq.class.MaxAge > 0 {
		return se.state.Floor, nil
	}
	at, asked, err := se.front.cluster.Floor(ctx, rq.group)
	if err == nil {
		se.state = se.state.WithArrivalFloor(at, asked)
		return se.state.Floor, nil
	}
	if rq.class.ServeWhenCutOff {
		return se.state.Floor, nil
	}
	return posn.Position{}, err
}

// write runs the request at the primary. It tries again only if nothing was
// run, or if a request key makes a repeat safe.
func (rq *request) write(ctx context.Context) error {
	for {
		err := rq.writeOnce(ctx)
		if err == nil || !rq.mayRetry(err) {
			return err
		}
		if !rq.spend(err) {
			return rq.budgetSpent(err)
		}
		if !rq.pause(ctx) {
			return err
		}
		rq.refresh()
	}
}

// budgetSpent tells of the budget if nothing was run; what may have run stays
// unknown.
func (rq *request) budgetSpent(err error) error {
	if !codes.From(err).NotRun() {
		return err
	}
	return codes.Refuse(codes.RetryBudgetSpent, "%v", err)
}

func (rq *request) writeOnce(ctx context.Context) error {
	up, ok := route.Primary(rq.board.upstreams())
	if !ok {
		return codes.Refuse(codes.NoPrimary, "group %q", rq.group.Name)
	}
	if rq.se.front.now().Before(up.FailedUntil) {
		// Others have just tried; wait for word of a new primary.
		return codes.Refuse(codes.NoPrimary, "%s failed a moment ago", up.Name)
	}
	floor := rq.se.state.Floor
	if rq.un.has(class.Begin) && !rq.se.state.Settled {
		var err error
		if floor, err = rq.floor(ctx); err != nil {
			return err
		}
	}
	return rq.try(ctx, up, floor)
}

// refresh takes the newest description of the group.
func (rq *request) refresh() {
	if gr, ok := rq.se.front.cluster.Group(rq.group.Name); ok {
		rq.group = gr
		rq.board = rq.se.front.boards.of(gr)
	}
}

// mayRetry reports whether another try is safe and of use.
func (rq *request) mayRetry(err error) bool {
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

// spend draws on the retry budget; answers that cost an upstream nothing are
// free.
func (rq *request) spend(err error) bool {
	co := codes.From(err).Code
	rq.meter.Retried.Inc(1)
	event.Log(rq.se.front.log, event.RequestRetried, "code", uint32(co), "caller", rq.se.caller.Name)
	switch co {
	case codes.Behind, codes.TooStale, codes.NotHome, codes.ShuttingDown, codes.NotPrimary, codes.NoPrimary:
		return true
	}
	return rq.se.front.takeRetry()
}

func (rq *request) pause(ctx context.Context) bool {
	if !rq.se.front.now().Add(retryPause).Before(rq.deadline) {
		return false
	}
	return delay.Pause(ctx, retryPause)
}

// try runs the request at one upstream and learns from what comes back.
func (rq *request) try(ctx context.Context, up route.Upstream, floor posn.Position) error {
	mem, ok := rq.group.GetMemberByName(up.Name)
	if !ok {
		return codes.Refuse(codes.NoPrimary, "upstream %q left the group", up.Name)
	}
	st, err := rq.se.front.cluster.Run(mem, rq.un.isRead())
	if err != nil {
		rq.learn(up, mem, nil, err)
		return err
	}
	end, err := rq.exchange(ctx, &st, rq.open(mem, floor, up.Primary))
	rq.learn(up, mem, end, err)
	if err != nil {
		st.Close()
		return err
	}
	rq.countServed(up)
	rq.keepOrClose(st, mem, end)
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

func (rq *request) keepOrClose(st peer.Stream, mem store.Member, end *wire.UnitEnd) {
	status := byte(end.TransactionStatus)
	if status == 'I' {
		st.Release()
		return
	}
	rq.se.held = &heldStream{
		stream:   st,
		status:   status,
		readOnly: rq.un.isSingle(class.BeginReadOnly),
	}
}

// learn updates what the entry knows of the upstream and of its home.
func (rq *request) learn(up route.Upstream, mem store.Member, end *wire.UnitEnd, err error) {
	now := rq.se.front.now()
	if err == nil {
		rq.board.noteGood(up.Name)
		return
	}
	if te := wire.ToPosition(end.GetPosition()).Term; te != (posn.Term{}) {
		rq.se.front.cluster.Learn(rq.group.Name, te)
		if te.Compare(rq.se.state.Floor.Term) > 0 {
			rq.se.state = rq.se.state.WithoutSettlement(now)
		}
	}
	if up.Primary {
		rq.board.refresh(now, func() { rq.se.front.cluster.Refresh(rq.group) })
	}
	switch codes.From(err).Code {
	case codes.Behind, codes.TooStale:
		rq.board.noteBehind(up.Name, wire.ToPosition(end.GetPosition()), now)
	case codes.UpstreamUnreached, codes.UpstreamSilent, codes.ConnectionLost:
		rq.board.noteFailed(up.Name, now)
	case codes.PeerUnreached, codes.ShuttingDown, codes.NotHome, codes.OutcomeUnknown:
		rq.se.front.cluster.Avoid(mem)
	}
}

func (rq *request) open(mem store.Member, floor posn.Position, primary bool) *wire.Open {
	lim := rq.target.Service.Limits
	op := &wire.Open{
		Group:           rq.group.Name,
		Upstream:        mem.Name,
		Caller:          rq.se.caller.Name,
		Weight:          rq.se.caller.Weight,
		Service:         rq.target.Service.Name,
		Floor:           wire.FromPosition(floor),
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

// continueHeld runs the unit on the stream of the open transaction.
func (rq *request) continueHeld(ctx context.Context) error {
	se := rq.se
	held := se.held
	end, err := rq.exchange(ctx, &held.stream, nil)
	if err != nil && rq.endsTransaction() {
		se.dropHeld()
		return err
	}
	if err != nil {
		se.killHeld()
		return err
	}
	held.status = byte(end.TransactionStatus)
	if held.status == 'I' {
		se.dropHeld()
	}
	return nil
}

// endsTransaction reports whether the transaction is over whatever came of the
// unit.
func (rq *request) endsTransaction() bool {
	return rq.un.has(class.Commit) || rq.un.has(class.Rollback)
}
