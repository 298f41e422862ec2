package engine

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/catlg"
	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/stmt"
	"banyanspring/io/pool"
)

// executeSingle serves a statement outside a transaction.
func (en *Engine) executeSingle(rq *request) (stmt.Result, *codes.Refusal) {
	gr := en.group(rq.session.target.Group)
	if gr == nil {
		return stmt.Result{}, codes.Refuse(codes.NoPrimary, "group %s has no upstreams", rq.session.target.Group)
	}
	ex := &execution{en: en, gr: gr, rq: rq}
	en.retries.recordRequest(rq.session.workspace)
	if rq.st.IsWrite() {
		return ex.write()
	}
	return ex.read()
}

// execution is the state of serving one statement, over all attempts at the
// upstreams of its group.
type execution struct {
	en *Engine
	gr *groupState
	rq *request
	// attempts counts the failed attempts by upstream.
	attempts map[*upstream]int
	// lastRefusal is the refusal of the latest failed attempt; nil if there was
	// none.
	lastRefusal *codes.Refusal
	// isLastRound is true once a read has tried every member that may serve it;
	// each may then be tried a second time.
	isLastRound bool
	// wasBehind is true once a replica has refused the read because it was
	// behind.
	wasBehind bool
	// isCounted is true if any member may serve the attempt, so that it counts for the
	// weight of the upstream.
	isCounted bool
}

const (
	// leaderPollInterval is the time between two checks for a leader; a change of
	// the leader ends it early.
	leaderPollInterval = 50 * time.Millisecond
	// minBusyPause is the pause before an upstream is tried again that had no free
	// capacity, or whose home failed or refused the batch with NotHome; it doubles
	// with each further attempt, up to maxBusyPause.
	minBusyPause = 10 * time.Millisecond
	maxBusyPause = 80 * time.Millisecond
	// maxAttempts bounds the attempts of one statement.
	maxAttempts = 12
)

func (ex *execution) countAttempt(up *upstream) int {
	if ex.attempts == nil {
		ex.attempts = make(map[*upstream]int, 2)
	}
	ex.attempts[up]++
	return ex.attempts[up]
}

func (ex *execution) totalAttempts() int {
	sum := 0
	for _, n := range ex.attempts {
		sum += n
	}
	return sum
}

// recordRetry records and logs a failed attempt that may be repeated, whether or
// not a retry follows. isAllowed is false if the workspace has used up its retries.
func (ex *execution) recordRetry(up *upstream, ref *codes.Refusal, isAllowed bool) {
	ex.lastRefusal = ref
	ex.en.Counts.Retried.Add(1)
	args := []any{
		"request_id", ex.rq.st.RequestID, "group", ex.gr.name, "upstream", up.id(),
		"code", int(ref.Code), "detail", ref.Detail, "attempts", ex.totalAttempts(), "kind", ex.rq.st.Kind.String(),
		"consistency", ex.rq.session.target.Consistency.String(), "last_round", ex.isLastRound,
	}
	if fa := ex.rq.session.fairness(); fa.Weight > 0 {
		args = append(args, "workspace", ex.rq.session.workspace, "weight", fa.Weight, "priority", fa.Priority, "retries_left", isAllowed)
	}
	event.Log(ex.en.log, event.RequestRetried, args...)
}

// awaitLeader returns the leader, for a read or for a transaction that may write. If
// there is none that can be used, it probes the members and waits for one until the
// deadline. If it is known that none can be written to before the deadline, or by this
// instance, it refuses at once.
func (ex *execution) awaitLeader(mayWrite bool) (*upstream, *codes.Refusal) {
	for {
		now := ex.en.deps.Now()
		up, changed := ex.gr.usableLeader(now, mayWrite)
		var obstacle Obstacle
		if up != nil && mayWrite {
			obstacle = ex.en.deps.WriteObstacle(ex.gr.name, up.id())
		}
		if up != nil && !up.isAvoided(now) && obstacle.Reason == "" {
			return up, nil
		}
		left := ex.rq.deadline.Sub(now)
		if left <= 0 || obstacle.IsFinal || (mayWrite && ex.gr.writesFrom().After(ex.rq.deadline)) {
			return nil, ex.noUpstream(cmp.Or(obstacle.Reason, ex.gr.leaderObstacle(now)))
		}
		ex.en.probeMembers(ex.gr)
		timer := time.NewTimer(min(left, leaderPollInterval))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// noUpstream returns the refusal of a statement for which no upstream was found:
// the refusal of the latest attempt, or NoPrimary.
func (ex *execution) noUpstream(detail string) *codes.Refusal {
	if ex.lastRefusal != nil {
		return ex.lastRefusal
	}
	return codes.Refuse(codes.NoPrimary, "%s", detail)
}

// prepareRetry records the failed attempt and reports whether another may
// follow. If the refusal calls for a pause, it sleeps first.
func (ex *execution) prepareRetry(up *upstream, ref *codes.Refusal) bool {
	times := ex.countAttempt(up)
	if ex.totalAttempts() >= maxAttempts {
		ex.recordRetry(up, ref, true)
		return false
	}
	isAllowed := ex.en.retries.take(ex.rq.session.workspace)
	ex.recordRetry(up, ref, isAllowed)
	if !isAllowed {
		return false
	}
	pause := time.Duration(0)
	switch ref.Code {
	case codes.MemoryFull:
		return false
	case codes.QueueFull, codes.ConnectionsInUse, codes.PeerUnreached, codes.NotHome:
		pause = min(minBusyPause<<(times-1), maxBusyPause)
	case codes.UpstreamUnreached, codes.UpstreamReplaced:
		up.recordFailure(ex.en.deps.Now())
	case codes.DeadlineUnmet:
		// Another member may be less loaded, but only the leader accepts a write.
		now := ex.en.deps.Now()
		up.recordLatency(ex.rq.deadline.Sub(now), now)
		if ex.rq.st.IsWrite() || ex.isLastRound {
			return false
		}
	}
	if ex.en.deps.Now().Add(pause).After(ex.rq.deadline) {
		return false
	}
	time.Sleep(pause)
	return true
}

// write runs a write at the leader, outside a transaction.
func (ex *execution) write() (stmt.Result, *codes.Refusal) {
	for {
		up, ref := ex.awaitLeader(true)
		if ref != nil {
			return stmt.Result{}, ref
		}
		res, ref := ex.writeAt(up)
		if ref == nil {
			ex.en.Counts.Leader.Add(1)
			return res, nil
		}
		if !ref.NotRun() || !ex.prepareRetry(up, ref) {
			return stmt.Result{}, ref
		}
	}
}

func (ex *execution) writeAt(up *upstream) (stmt.Result, *codes.Refusal) {
	co, err := ex.acquire(up, readConstraint{leaderOnly: true})
	if err != nil {
		return stmt.Result{}, codes.From(err)
	}
	sentAt, before := ex.en.deps.Now(), up.appliedPosition()
	done := up.startStatement(ex.en.deps.Now)
	results, err := co.Run(ex.rq.batch(false, ex.rq.st), ex.rq.deadline)
	done()
	if err != nil {
		return stmt.Result{}, ex.handleError(up, co, err, false)
	}
	up.recordSuccess()
	res := results[0]
	ex.returnConn(up, co, res)
	if res.Code != codes.OK {
		return stmt.Result{}, ex.recordRefusal(up, res)
	}
	up.recordApplied(res.Position)
	up.wroteAt.Store(ex.en.deps.Now().UnixNano())
	ex.gr.recordLeaderProof(up, sentAt, res.Position)
	ex.gr.recordReported(before, res.Position, ex.en.deps.Now())
	if ref := ex.en.checkSuccess(ex.gr.name, up); ref != nil {
		return stmt.Result{}, ref
	}
	return res, nil
}

// checkSuccess returns the refusal of a write that its leader has acknowledged if this
// instance may not report a success: the leader may have been replaced by one without it.
func (en *Engine) checkSuccess(name string, up *upstream) *codes.Refusal {
	if ob := en.deps.WriteObstacle(name, up.id()); ob.Reason != "" {
		return codes.Refuse(codes.OutcomeUnknown, "%s has acknowledged it, but %s", up.id(), ob.Reason)
	}
	return nil
}

// firstQueueTimeout limits how long a read queues at one upstream before it tries
// the next one: a few times the duration of a statement. An instance sees too
// little of each upstream's load to avoid the overloaded ones in advance.
const firstQueueTimeout = 40 * time.Millisecond

// acquire returns a connection to the upstream for the statement.
func (ex *execution) acquire(up *upstream, rc readConstraint) (*pool.Conn, error) {
	queueDeadline := ex.rq.deadline
	if !rc.leaderOnly && !ex.isLastRound {
		if early := ex.en.deps.Now().Add(firstQueueTimeout); early.Before(queueDeadline) {
			queueDeadline = early
		}
	}
	ex.isCounted = !rc.leaderOnly
	co, err := up.pool.Acquire(pool.ConnRequest{
		Caller: ex.rq.session.database, Workspace: ex.rq.session.workspace, Fairness: ex.rq.session.fairness(),
		SoftDeadline: ex.rq.softDeadline, QueueDeadline: queueDeadline, Deadline: ex.rq.deadline,
	})
	if err != nil {
		ex.countRefused(up, codes.From(err))
	}
	return co, err
}

// batch returns the statements with the session variables and the request's
// prepared statement. keep is true if a transaction stays open after them.
func (rq *request) batch(keep bool, sts ...stmt.Statement) pool.Batch {
	return pool.Batch{Vars: rq.session.vars, Prepared: rq.prepared, Statements: sts, Keep: keep, Reserve: rq.session.answerReserve()}
}

// handleError turns the error of a batch into a refusal, and releases or discards
// the connection. isRetryable is true if the statements may safely run again: reads,
// or a BEGIN and the first statement after it, which the upstream rolls back when
// the connection is discarded.
func (ex *execution) handleError(up *upstream, co *pool.Conn, err error, isRetryable bool) *codes.Refusal {
	var ref *codes.Refusal
	if errors.As(err, &ref) {
		// Nothing was run, and the upstream did not fail.
		releaseUnused(up, co, ex.en.deps.Now())
		return ref
	}
	up.pool.Discard(co)
	isNotRun := isRetryable || errors.Is(err, pool.ErrNotSent)
	if isNotRun && errors.Is(err, pool.ErrHomeFailed) {
		return codes.Refuse(codes.PeerUnreached, "%s: %v", up.id(), err)
	}
	switch {
	case errors.Is(err, pool.ErrNoMemory) && isNotRun:
		return codes.Refuse(codes.MemoryFull, "%v", err)
	case errors.Is(err, pool.ErrNoMemory):
		return codes.Refuse(codes.OutcomeUnknown, "%v", err)
	}
	up.recordError(err, !isNotRun, ex.en.deps.Now())
	if isNotRun {
		return codes.Refuse(codes.UpstreamUnreached, "%s: %v", up.id(), err)
	}
	return codes.Refuse(codes.OutcomeUnknown, "%s: %v", up.id(), err)
}

// returnConn releases a connection after the last answer of its batch. It
// discards the connection if a transaction is still open or a prepared statement
// was missing.
func (ex *execution) returnConn(up *upstream, co *pool.Conn, last stmt.Result) {
	if last.State != stmt.Idle || last.Code == codes.UnknownStatement {
		up.pool.Discard(co)
		return
	}
	up.pool.Release(co)
}

// recordRead counts a read under a minimum position, by the role of the member
// that served it.
func (ex *execution) recordRead(up *upstream) {
	if leader, _ := ex.gr.currentLeader(); leader == up {
		ex.en.Counts.Leader.Add(1)
		return
	}
	ex.en.Counts.Replica.Add(1)
	ex.gr.recordReplicaRead(ex.en.deps.Now())
}

// recordCrowdedRead counts the read for the group if it was refused because its
// deadline would have passed, after a replica had refused it as behind.
func (ex *execution) recordCrowdedRead(ref *codes.Refusal) {
	if ref.Code == codes.DeadlineUnmet && ex.wasBehind {
		ex.gr.recordCrowdedRead(ex.en.deps.Now())
	}
}

// recordRefusal records what an upstream's refusal shows about its role or its
// position, and returns the refusal for the caller.
func (ex *execution) recordRefusal(up *upstream, res stmt.Result) *codes.Refusal {
	now := ex.en.deps.Now()
	switch res.Code {
	case codes.NotPrimary:
		ex.gr.recordNotLeader(up, now)
	case codes.Behind:
		up.recordBehind(now)
		ex.wasBehind = true
	}
	return codes.Refuse(res.Code, "%s: %s", up.id(), res.Detail)
}

// read runs a read outside a transaction, at any member that the target's
// consistency allows.
func (ex *execution) read() (stmt.Result, *codes.Refusal) {
	for {
		up, rc, ref := ex.pickForRead()
		if ref != nil {
			return stmt.Result{}, ref
		}
		res, ref := ex.readAt(up, rc)
		if ref == nil {
			return res, nil
		}
		// A read has no lasting effect, so that it may run again.
		if ref.Code == codes.Timeout || !ex.prepareRetry(up, ref) {
			ex.recordCrowdedRead(ref)
			return stmt.Result{}, ref
		}
	}
}

// readAt runs the read at an upstream: with a minimum position at any member, or
// in a read-write transaction, which an upstream opens only if it leads.
func (ex *execution) readAt(up *upstream, rc readConstraint) (stmt.Result, *codes.Refusal) {
	co, err := ex.acquire(up, rc)
	if err != nil {
		return stmt.Result{}, codes.From(err)
	}
	if rc.leaderOnly {
		return ex.readInTransaction(up, co)
	}
	st := ex.rq.st
	st.MinPosition = rc.minPosition
	results, ref := ex.run(up, co, ex.rq.batch(false, st))
	if ref != nil {
		return stmt.Result{}, ref
	}
	ex.returnConn(up, co, results[0])
	if results[0].Code != codes.OK {
		return stmt.Result{}, ex.recordRefusal(up, results[0])
	}
	up.recordApplied(results[0].Position)
	ex.recordRead(up)
	return results[0], nil
}

// run runs statements that may be run again at another upstream. After a refusal
// the connection has been released or discarded.
func (ex *execution) run(up *upstream, co *pool.Conn, ba pool.Batch) ([]stmt.Result, *codes.Refusal) {
	done := up.startStatement(ex.en.deps.Now)
	sentAt := ex.en.deps.Now()
	results, err := co.Run(ba, ex.readDeadline(sentAt))
	done()
	if err != nil {
		ref := ex.handleError(up, co, err, true)
		ex.countRefused(up, ref)
		return nil, ref
	}
	up.recordSuccess()
	ex.countAnswered(up, results[0].Code, sentAt)
	return results, nil
}

// begin opens a transaction at an upstream and waits for the answer: statements
// sent after a BEGIN that failed would run outside a transaction. After a refusal
// the connection has been released or discarded.
func (ex *execution) begin(up *upstream, co *pool.Conn, begin stmt.Statement) (stmt.Result, *codes.Refusal) {
	sentAt := ex.en.deps.Now()
	results, err := co.Run(ex.rq.batch(true, begin), ex.readDeadline(sentAt))
	if err != nil {
		ref := ex.handleError(up, co, err, true)
		ex.countRefused(up, ref)
		return stmt.Result{}, ref
	}
	up.recordSuccess()
	res := results[0]
	if res.Code != codes.OK {
		ex.countAnswered(up, res.Code, sentAt)
		ex.returnConn(up, co, res)
		return res, ex.recordRefusal(up, res)
	}
	up.recordApplied(res.Position)
	if begin.Kind == stmt.Begin {
		ex.gr.recordLeaderProof(up, sentAt, res.Position)
	}
	return res, nil
}

// readInTransaction runs the read in a transaction of its own at the leader.
func (ex *execution) readInTransaction(up *upstream, co *pool.Conn) (stmt.Result, *codes.Refusal) {
	opened, ref := ex.begin(up, co, stmt.Statement{Kind: stmt.Begin})
	if ref != nil {
		return stmt.Result{}, ref
	}
	results, ref := ex.run(up, co, ex.rq.batch(false, ex.rq.st, stmt.Statement{Kind: stmt.Rollback}))
	if ref != nil {
		return stmt.Result{}, ref
	}
	res := results[0]
	ex.returnConn(up, co, results[1])
	if res.Code != codes.OK {
		return stmt.Result{}, ex.recordRefusal(up, res)
	}
	ex.en.Counts.Leader.Add(1)
	res.Position = opened.Position
	return res, nil
}

// readDeadline returns the deadline of one attempt. The first attempt in a group
// of several members gets half of the time left, so that another upstream can
// still answer.
func (ex *execution) readDeadline(now time.Time) time.Time {
	left := ex.rq.deadline.Sub(now)
	if len(ex.gr.allMembers()) < 2 || ex.totalAttempts() > 0 {
		return ex.rq.deadline
	}
	return now.Add(left / 2)
}

// isStrict reports whether reads must run at the leader.
func (rq *request) isStrict() bool { return rq.session.target.Consistency == catlg.Strict }
