package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/catlg"
	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/stmt"
	"banyanspring/io/pool"
)

// single serves a statement outside a transaction. The position of the result
// is zero if it says nothing of the session's writes.
func (en *Engine) single(rq *request) (stmt.Result, *codes.Refusal) {
	gr := en.group(rq.session.target.Group)
	if gr == nil {
		return stmt.Result{}, codes.Refuse(codes.NoPrimary, "group %s has no upstreams", rq.session.target.Group)
	}
	tr := &try{en: en, gr: gr, rq: rq}
	if rq.st.IsWrite() {
		return tr.write()
	}
	return tr.read()
}

// try is the way of one statement through the upstreams of its group.
type try struct {
	en *Engine
	gr *groupState
	rq *request
	// attempts counts the attempts by upstream.
	attempts map[*upstream]int
	// last is why the newest attempt was not run; nil before the first.
	last *codes.Refusal
	// isLastRound is true once a read has tried each member that may serve it.
	isLastRound bool
	// wasBehind is true once a replica has refused the read as behind.
	wasBehind bool
}

const (
	// leaderPoll is the pause between two looks for a leader; finding one ends
	// it early.
	leaderPoll = 50 * time.Millisecond
	// busyPause is the first pause before an upstream that had no room is asked
	// again; it doubles with each further one.
	busyPause = 10 * time.Millisecond
	// busyPauseMost bounds the pause.
	busyPauseMost = 80 * time.Millisecond
	// maxAttempts bounds the attempts of one statement.
	maxAttempts = 12
)

func (tr *try) count(up *upstream) int {
	if tr.attempts == nil {
		tr.attempts = make(map[*upstream]int, 2)
	}
	tr.attempts[up]++
	return tr.attempts[up]
}

func (tr *try) total() int {
	sum := 0
	for _, n := range tr.attempts {
		sum += n
	}
	return sum
}

// retried notes that an attempt was not run and another follows.
func (tr *try) retried(up *upstream, ref *codes.Refusal) {
	tr.last = ref
	tr.en.Counts.Retried.Add(1)
	event.Log(tr.en.log, event.RequestRetried, "request_id", tr.rq.st.RequestID, "group", tr.gr.name, "upstream", up.id(),
		"code", int(ref.Code), "detail", ref.Detail, "attempts", tr.total(), "kind", tr.rq.st.Kind.String(),
		"consistency", tr.rq.session.target.Consistency.String(), "last_round", tr.isLastRound)
}

// awaitLeader returns the leader, waiting for one until the deadline.
func (tr *try) awaitLeader() (*upstream, *codes.Refusal) {
	for {
		now := tr.en.seams.Now()
		up, changed := tr.gr.currentLeader()
		if up != nil && !up.isAvoided(now) {
			return up, nil
		}
		left := tr.rq.deadline.Sub(now)
		if left <= 0 {
			return nil, tr.giveUp("no leader was found")
		}
		tr.en.seek(tr.gr)
		timer := time.NewTimer(min(left, leaderPoll))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// giveUp returns the refusal of a statement that found no upstream.
func (tr *try) giveUp(detail string) *codes.Refusal {
	if tr.last != nil {
		return tr.last
	}
	return codes.Refuse(codes.NoPrimary, "%s", detail)
}

// again reports whether another attempt may follow after the pause that the
// upstream's refusal asks for.
func (tr *try) again(up *upstream, ref *codes.Refusal) bool {
	times := tr.count(up)
	tr.retried(up, ref)
	if tr.total() >= maxAttempts {
		return false
	}
	pause := time.Duration(0)
	switch ref.Code {
	case codes.QueueFull, codes.ConnectionsInUse, codes.PeerUnreached, codes.NotHome:
		pause = min(busyPause<<(times-1), busyPauseMost)
	case codes.UpstreamUnreached, codes.UpstreamReplaced:
		up.failed(tr.en.seams.Now())
	case codes.DeadlineUnmet:
		// Another one may have no crowd.
		now := tr.en.seams.Now()
		up.observe(tr.rq.deadline.Sub(now), now)
		if tr.rq.st.IsWrite() || tr.isLastRound {
			return false
		}
	}
	if tr.en.seams.Now().Add(pause).After(tr.rq.deadline) {
		return false
	}
	time.Sleep(pause)
	return true
}

// write runs a write outside a transaction at the leader.
func (tr *try) write() (stmt.Result, *codes.Refusal) {
	for {
		up, ref := tr.awaitLeader()
		if ref != nil {
			return stmt.Result{}, ref
		}
		res, ref := tr.writeAt(up)
		if ref == nil {
			tr.en.Counts.Leader.Add(1)
			return res, nil
		}
		if !ref.NotRun() || !tr.again(up, ref) {
			return stmt.Result{}, ref
		}
	}
}

func (tr *try) writeAt(up *upstream) (stmt.Result, *codes.Refusal) {
	co, err := tr.acquire(up, floor{atLeader: true})
	if err != nil {
		return stmt.Result{}, codes.From(err)
	}
	asked := tr.en.seams.Now()
	done := up.begin(tr.en.seams.Now)
	results, err := co.Run(tr.rq.batch(false, tr.rq.st), tr.rq.deadline)
	done()
	if err != nil {
		return stmt.Result{}, tr.broken(up, co, err, false)
	}
	up.succeeded()
	res := results[0]
	tr.giveBack(up, co, res)
	if res.Code != codes.OK {
		return stmt.Result{}, tr.refusedAt(up, res)
	}
	up.noteApplied(res.Position)
	up.wroteAt.Store(tr.en.seams.Now().UnixNano())
	tr.gr.proved(up, asked, res.Position)
	return res, nil
}

// firstPatience is how long a read waits for its turn at an upstream while it
// has not tried the others: a few times what a statement takes. Instances see
// too little of each upstream to know where the crowd is.
const firstPatience = 40 * time.Millisecond

// acquire takes a connection for the statement.
func (tr *try) acquire(up *upstream, fl floor) (*pool.Conn, error) {
	patience := tr.rq.deadline
	if !fl.atLeader && !tr.isLastRound {
		if first := tr.en.seams.Now().Add(firstPatience); first.Before(patience) {
			patience = first
		}
	}
	return up.pool.Acquire(pool.Ask{Caller: tr.rq.session.database, Aim: tr.rq.aim, Patience: patience, Deadline: tr.rq.deadline})
}

// batch returns statements with the request's values and plan. Keep is true if
// a transaction stays open behind them.
func (rq *request) batch(keep bool, sts ...stmt.Statement) pool.Batch {
	return pool.Batch{Vars: rq.session.vars, Plan: rq.plan, Statements: sts, Keep: keep}
}

// broken turns an error of a batch into a refusal, and gives the connection back
// or closes it. isSafe is true if the statements leave nothing behind unless
// they are followed by others.
func (tr *try) broken(up *upstream, co *pool.Conn, err error, isSafe bool) *codes.Refusal {
	var ref *codes.Refusal
	if errors.As(err, &ref) {
		// Nothing was run, and the upstream is not to blame.
		giveUp(up, co, tr.en.seams.Now())
		return ref
	}
	up.pool.Discard(co)
	isNotRun := isSafe || errors.Is(err, pool.ErrNotSent)
	if isNotRun && errors.Is(err, pool.ErrHome) {
		return codes.Refuse(codes.PeerUnreached, "%s: %v", up.id(), err)
	}
	up.blame(err, !isNotRun, tr.en.seams.Now())
	if isNotRun {
		return codes.Refuse(codes.UpstreamUnreached, "%s: %v", up.id(), err)
	}
	return codes.Refuse(codes.OutcomeUnknown, "%s: %v", up.id(), err)
}

// giveBack returns a connection after its answers; it is closed if its state is
// not what it should be.
func (tr *try) giveBack(up *upstream, co *pool.Conn, last stmt.Result) {
	if last.State != stmt.Idle || last.Code == codes.UnknownStatement {
		up.pool.Discard(co)
		return
	}
	up.pool.Release(co)
}

// noteServed counts a read above a floor.
func (tr *try) noteServed(up *upstream) {
	if leader, _ := tr.gr.currentLeader(); leader == up {
		tr.en.Counts.Leader.Add(1)
		return
	}
	tr.en.Counts.Replica.Add(1)
	tr.gr.noteReplica(tr.en.seams.Now())
}

// noteCrowd notes a read that was refused for want of time after a replica had
// refused it as behind.
func (tr *try) noteCrowd(ref *codes.Refusal) {
	if ref.Code == codes.DeadlineUnmet && tr.wasBehind {
		tr.gr.noteCrowd(tr.en.seams.Now())
	}
}

// refusedAt notes what an upstream's refusal says of it.
func (tr *try) refusedAt(up *upstream, res stmt.Result) *codes.Refusal {
	now := tr.en.seams.Now()
	switch res.Code {
	case codes.NotPrimary:
		tr.gr.denied(up, now)
	case codes.Behind:
		up.noteBehind(now)
		tr.wasBehind = true
	}
	return codes.Refuse(res.Code, "%s: %s", up.id(), res.Detail)
}

// read runs a read outside a transaction wherever the target's consistency
// allows.
func (tr *try) read() (stmt.Result, *codes.Refusal) {
	for {
		up, floor, ref := tr.pickForRead()
		if ref != nil {
			return stmt.Result{}, ref
		}
		res, ref := tr.readAt(up, floor)
		if ref == nil {
			return res, nil
		}
		// A read leaves nothing behind, so that it may run again.
		if ref.Code == codes.Timeout || !tr.again(up, ref) {
			tr.noteCrowd(ref)
			return stmt.Result{}, ref
		}
	}
}

// readAt runs the read at an upstream: above a floor at any member, or inside a
// transaction at the leader, where the upstream itself proves that it leads.
func (tr *try) readAt(up *upstream, fl floor) (stmt.Result, *codes.Refusal) {
	co, err := tr.acquire(up, fl)
	if err != nil {
		return stmt.Result{}, codes.From(err)
	}
	if fl.atLeader {
		return tr.readInside(up, co)
	}
	st := tr.rq.st
	st.Floor = fl.position
	results, ref := tr.run(up, co, tr.rq.batch(false, st))
	if ref != nil {
		return stmt.Result{}, ref
	}
	tr.giveBack(up, co, results[0])
	if results[0].Code != codes.OK {
		return stmt.Result{}, tr.refusedAt(up, results[0])
	}
	up.noteApplied(results[0].Position)
	tr.noteServed(up)
	return results[0], nil
}

// run runs statements that may run again elsewhere. After a refusal the
// connection is closed.
func (tr *try) run(up *upstream, co *pool.Conn, ba pool.Batch) ([]stmt.Result, *codes.Refusal) {
	done := up.begin(tr.en.seams.Now)
	results, err := co.Run(ba, tr.readDeadline(tr.en.seams.Now()))
	done()
	if err != nil {
		return nil, tr.broken(up, co, err, true)
	}
	up.succeeded()
	return results, nil
}

// open opens a transaction at an upstream, and waits for the answer: what
// follows an opening that failed would run outside a transaction. After a
// refusal the connection is given back or closed.
func (tr *try) open(up *upstream, co *pool.Conn, begin stmt.Statement) (stmt.Result, *codes.Refusal) {
	asked := tr.en.seams.Now()
	results, err := co.Run(tr.rq.batch(true, begin), tr.readDeadline(asked))
	if err != nil {
		return stmt.Result{}, tr.broken(up, co, err, true)
	}
	up.succeeded()
	res := results[0]
	if res.Code != codes.OK {
		tr.giveBack(up, co, res)
		return res, tr.refusedAt(up, res)
	}
	up.noteApplied(res.Position)
	if begin.Kind == stmt.Begin {
		tr.gr.proved(up, asked, res.Position)
	}
	return res, nil
}

// readInside runs the read in a transaction of its own at the leader.
func (tr *try) readInside(up *upstream, co *pool.Conn) (stmt.Result, *codes.Refusal) {
	opened, ref := tr.open(up, co, stmt.Statement{Kind: stmt.Begin})
	if ref != nil {
		return stmt.Result{}, ref
	}
	results, ref := tr.run(up, co, tr.rq.batch(false, tr.rq.st, stmt.Statement{Kind: stmt.Rollback}))
	if ref != nil {
		return stmt.Result{}, ref
	}
	res := results[0]
	tr.giveBack(up, co, results[1])
	if res.Code != codes.OK {
		return stmt.Result{}, tr.refusedAt(up, res)
	}
	tr.en.Counts.Leader.Add(1)
	res.Position = opened.Position
	return res, nil
}

// readDeadline returns when one attempt of a read is given up: half of the time
// left, so that another upstream can still answer.
func (tr *try) readDeadline(now time.Time) time.Time {
	left := tr.rq.deadline.Sub(now)
	if len(tr.gr.all()) < 2 || tr.total() > 0 {
		return tr.rq.deadline
	}
	return now.Add(left / 2)
}

// isStrict reports whether reads must run at the leader.
func (rq *request) isStrict() bool { return rq.session.target.Consistency == catlg.Strict }
