package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
	"banyanspring/core/stmt"
	"banyanspring/io/pool"
)

// transaction is an open transaction of a session. It acquires a connection at
// its first statement and keeps it until it ends.
type transaction struct {
	en       *Engine
	readOnly bool
	// conn is nil before the first statement and after the end.
	conn *pool.Conn
	up   *upstream
	// wrote is true once a write may have run.
	wrote      bool
	statements int
	// usedAt is when the last statement was answered.
	usedAt time.Time
}

func (tx *transaction) upstreamID() string {
	if tx.up == nil {
		return ""
	}
	return tx.up.id()
}

// run runs one statement of the transaction. After a refusal the transaction
// must be ended.
func (tx *transaction) run(rq *request) (stmt.Result, *codes.Refusal) {
	defer func() { tx.usedAt = tx.en.deps.Now() }()
	tx.statements++
	if tx.conn == nil {
		return tx.runFirst(rq)
	}
	return tx.runNext(rq)
}

// runFirst opens the transaction at an upstream and runs its first statement,
// with retries.
func (tx *transaction) runFirst(rq *request) (stmt.Result, *codes.Refusal) {
	gr := tx.en.group(rq.session.target.Group)
	if gr == nil {
		return stmt.Result{}, codes.Refuse(codes.NoPrimary, "group %s has no upstreams", rq.session.target.Group)
	}
	ex := &execution{en: tx.en, gr: gr, rq: rq}
	tx.en.retries.recordRequest(rq.session.workspace)
	for {
		up, rc, ref := tx.pickUpstream(ex)
		if ref != nil {
			return stmt.Result{}, ref
		}
		res, ref := tx.runFirstAt(ex, up, rc)
		if ref == nil {
			return res, nil
		}
		// The transaction has no lasting effect before its commit, so that its
		// first statement may run again at another upstream.
		if ref.Code == codes.Timeout || !ex.prepareRetry(up, ref) {
			ex.recordCrowdedRead(ref)
			return stmt.Result{}, ref
		}
	}
}

func (tx *transaction) pickUpstream(ex *execution) (*upstream, readConstraint, *codes.Refusal) {
	if tx.readOnly {
		return ex.pickForRead()
	}
	up, ref := ex.awaitLeader(true)
	return up, readConstraint{leaderOnly: true}, ref
}

func (tx *transaction) runFirstAt(ex *execution, up *upstream, rc readConstraint) (stmt.Result, *codes.Refusal) {
	co, err := ex.acquire(up, rc)
	if err != nil {
		return stmt.Result{}, codes.From(err)
	}
	begin := stmt.Statement{Kind: stmt.Begin}
	if !rc.leaderOnly {
		begin = stmt.Statement{Kind: stmt.BeginRead, MinPosition: rc.minPosition}
	}
	if _, ref := ex.begin(up, co, begin); ref != nil {
		return stmt.Result{}, ref
	}
	results, ref := ex.run(up, co, ex.rq.batch(true, ex.rq.st))
	if ref != nil {
		return stmt.Result{}, ref
	}
	res := results[0]
	if res.Code != codes.OK {
		go rollBack(up, co, tx.en.deps.Now())
		return stmt.Result{}, ex.recordRefusal(up, res)
	}
	if rc.leaderOnly {
		tx.en.Counts.Leader.Add(1)
	} else {
		ex.recordRead(up)
	}
	tx.conn, tx.up = co, up
	tx.wrote = ex.rq.st.IsWrite()
	tx.finishCommit(ex.rq, res)
	return res, nil
}

// finishCommit releases the connection if the statement was the commit.
func (tx *transaction) finishCommit(rq *request, res stmt.Result) {
	if rq.st.Kind != stmt.Commit || tx.conn == nil {
		return
	}
	tx.up.recordApplied(res.Position)
	if tx.wrote {
		tx.up.wroteAt.Store(tx.en.deps.Now().UnixNano())
	}
	co := tx.conn
	tx.conn = nil
	if res.State != stmt.Idle {
		tx.up.pool.Discard(co)
		return
	}
	tx.up.pool.Release(co)
}

// runNext runs a further statement on the transaction's connection.
func (tx *transaction) runNext(rq *request) (stmt.Result, *codes.Refusal) {
	wroteBefore := tx.wrote
	isWrite := rq.st.IsWrite() || (rq.st.Kind == stmt.Commit && wroteBefore)
	if ob := tx.writeObstacle(rq, isWrite); ob.Reason != "" {
		return stmt.Result{}, codes.Refuse(codes.TransactionLost, "%s: %s", tx.up.id(), ob.Reason)
	}
	tx.wrote = tx.wrote || rq.st.IsWrite()
	for pause := minBusyPause; ; pause = min(2*pause, maxBusyPause) {
		before := tx.up.appliedPosition()
		done := tx.up.startStatement(tx.en.deps.Now)
		results, err := tx.conn.Run(rq.batch(true, rq.st), rq.deadline)
		done()
		var ref *codes.Refusal
		if errors.As(err, &ref) {
			return stmt.Result{}, ref
		}
		if err != nil {
			tx.up.pool.Discard(tx.conn)
			tx.conn = nil
			isInDoubt := rq.st.Kind == stmt.Commit && wroteBefore
			tx.up.recordError(err, isInDoubt, tx.en.deps.Now())
			if isInDoubt {
				return stmt.Result{}, codes.Refuse(codes.OutcomeUnknown, "%s: %v", tx.up.id(), err)
			}
			return stmt.Result{}, codes.Refuse(codes.TransactionLost, "%s: %v", tx.up.id(), err)
		}
		res := results[0]
		if res.Code == codes.OK {
			tx.finishCommit(rq, res)
			if rq.st.Kind == stmt.Commit && wroteBefore {
				if gr := tx.en.group(rq.session.target.Group); gr != nil {
					gr.recordReported(before, res.Position, tx.en.deps.Now())
				}
				if ref := tx.en.checkSuccess(rq.session.target.Group, tx.up); ref != nil {
					return stmt.Result{}, ref
				}
			}
			return res, nil
		}
		now := tx.en.deps.Now()
		isBusy := res.Code == codes.QueueFull && res.State == stmt.Open
		if isBusy && now.Add(pause).Before(rq.deadline) {
			time.Sleep(pause)
			continue
		}
		return stmt.Result{}, tx.recordRefusal(rq, res, now)
	}
}

// writeObstacle returns why the statement must not be passed on if it writes or commits
// writes.
func (tx *transaction) writeObstacle(rq *request, isWrite bool) Obstacle {
	if !isWrite {
		return Obstacle{}
	}
	return tx.en.deps.WriteObstacle(rq.session.target.Group, tx.up.id())
}

// recordRefusal records the upstream as not leading if that is why it refused a
// further statement, and returns the refusal for the caller.
func (tx *transaction) recordRefusal(rq *request, res stmt.Result, now time.Time) *codes.Refusal {
	if res.Code == codes.NotPrimary {
		if gr := tx.en.group(rq.session.target.Group); gr != nil && !tx.readOnly {
			gr.recordNotLeader(tx.up, now)
		}
	}
	return codes.Refuse(res.Code, "%s: %s", tx.up.id(), res.Detail)
}

// end rolls the transaction back in the background, which releases the
// connection. It does nothing after the commit.
func (tx *transaction) end() {
	if tx.conn == nil {
		return
	}
	co := tx.conn
	tx.conn = nil
	go rollBack(tx.up, co, tx.en.deps.Now())
}

// rollbackTimeout bounds a rollback, which takes no slot at the upstream. If there
// is no answer in time, the connection is discarded: its transaction ends with the
// late answer, or when the connection is closed.
const rollbackTimeout = time.Second

// releaseUnused releases a connection on which the statement was not run. An open
// transaction is rolled back first.
func releaseUnused(up *upstream, co *pool.Conn, now time.Time) {
	if co.InTransaction() {
		go rollBack(up, co, now)
		return
	}
	up.pool.Release(co)
}

func rollBack(up *upstream, co *pool.Conn, now time.Time) {
	ba := pool.Batch{Statements: []stmt.Statement{{Kind: stmt.Rollback}}, IgnoreVars: true}
	results, err := co.Run(ba, now.Add(rollbackTimeout))
	if err != nil || results[0].Code != codes.OK || results[0].State != stmt.Idle {
		up.pool.Discard(co)
		return
	}
	up.pool.Release(co)
}
