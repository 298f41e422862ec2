package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
	"banyanspring/core/stmt"
	"banyanspring/io/pool"
)

// transaction is one open transaction of a session. It takes a connection at
// its first statement and keeps it to its end.
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
	defer func() { tx.usedAt = tx.en.seams.Now() }()
	tx.statements++
	if tx.conn == nil {
		return tx.first(rq)
	}
	return tx.next(rq)
}

// first finds an upstream and runs the first statement there.
func (tx *transaction) first(rq *request) (stmt.Result, *codes.Refusal) {
	gr := tx.en.group(rq.session.target.Group)
	if gr == nil {
		return stmt.Result{}, codes.Refuse(codes.NoPrimary, "group %s has no upstreams", rq.session.target.Group)
	}
	tr := &try{en: tx.en, gr: gr, rq: rq}
	for {
		up, fl, ref := tx.pick(tr)
		if ref != nil {
			return stmt.Result{}, ref
		}
		res, ref := tx.firstAt(tr, up, fl)
		if ref == nil {
			return res, nil
		}
		// Nothing of the transaction is kept before its commit, so that its
		// first statement may run again elsewhere.
		if ref.Code == codes.Timeout || !tr.again(up, ref) {
			tr.noteCrowd(ref)
			return stmt.Result{}, ref
		}
	}
}

func (tx *transaction) pick(tr *try) (*upstream, floor, *codes.Refusal) {
	if tx.readOnly {
		return tr.pickForRead()
	}
	up, ref := tr.awaitLeader()
	return up, floor{atLeader: true}, ref
}

func (tx *transaction) firstAt(tr *try, up *upstream, fl floor) (stmt.Result, *codes.Refusal) {
	co, err := tr.acquire(up, fl)
	if err != nil {
		return stmt.Result{}, codes.From(err)
	}
	begin := stmt.Statement{Kind: stmt.Begin}
	if !fl.atLeader {
		begin = stmt.Statement{Kind: stmt.BeginRead, Floor: fl.position}
	}
	if _, ref := tr.open(up, co, begin); ref != nil {
		return stmt.Result{}, ref
	}
	results, ref := tr.run(up, co, tr.rq.batch(true, tr.rq.st))
	if ref != nil {
		return stmt.Result{}, ref
	}
	res := results[0]
	if res.Code != codes.OK {
		go rollBack(up, co, tx.en.seams.Now())
		return stmt.Result{}, tr.refusedAt(up, res)
	}
	if fl.atLeader {
		tx.en.Counts.Leader.Add(1)
	} else {
		tr.noteServed(up)
	}
	tx.conn, tx.up = co, up
	tx.wrote = tr.rq.st.IsWrite()
	tx.settle(tr.rq, res)
	return res, nil
}

// settle ends the transaction if the statement was its commit.
func (tx *transaction) settle(rq *request, res stmt.Result) {
	if rq.st.Kind != stmt.Commit || tx.conn == nil {
		return
	}
	tx.up.noteApplied(res.Position)
	if tx.wrote {
		tx.up.wroteAt.Store(tx.en.seams.Now().UnixNano())
	}
	co := tx.conn
	tx.conn = nil
	if res.State != stmt.Idle {
		tx.up.pool.Discard(co)
		return
	}
	tx.up.pool.Release(co)
}

// next runs a further statement on the transaction's connection.
func (tx *transaction) next(rq *request) (stmt.Result, *codes.Refusal) {
	wroteBefore := tx.wrote
	tx.wrote = tx.wrote || rq.st.IsWrite()
	for pause := busyPause; ; pause = min(2*pause, busyPauseMost) {
		done := tx.up.begin(tx.en.seams.Now)
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
			tx.up.blame(err, isInDoubt, tx.en.seams.Now())
			if isInDoubt {
				return stmt.Result{}, codes.Refuse(codes.OutcomeUnknown, "%s: %v", tx.up.id(), err)
			}
			return stmt.Result{}, codes.Refuse(codes.TransactionLost, "%s: %v", tx.up.id(), err)
		}
		res := results[0]
		if res.Code == codes.OK {
			tx.settle(rq, res)
			return res, nil
		}
		now := tx.en.seams.Now()
		isBusy := res.Code == codes.QueueFull && res.State == stmt.Open
		if isBusy && now.Add(pause).Before(rq.deadline) {
			time.Sleep(pause)
			continue
		}
		return stmt.Result{}, tx.refused(rq, res, now)
	}
}

// refused notes what the refusal of a further statement says of the upstream.
func (tx *transaction) refused(rq *request, res stmt.Result, now time.Time) *codes.Refusal {
	if res.Code == codes.NotPrimary {
		if gr := tx.en.group(rq.session.target.Group); gr != nil && !tx.readOnly {
			gr.denied(tx.up, now)
		}
	}
	return codes.Refuse(res.Code, "%s: %s", tx.up.id(), res.Detail)
}

// end rolls back what is open and gives the connection back; it does not wait.
func (tx *transaction) end() {
	if tx.conn == nil {
		return
	}
	co := tx.conn
	tx.conn = nil
	go rollBack(tx.up, co, tx.en.seams.Now())
}

// rollbackTimeout bounds a rollback, which takes no slot; a connection that
// does not answer is closed, which rolls back too.
const rollbackTimeout = time.Second

// giveUp returns a connection on which nothing more is to be run.
func giveUp(up *upstream, co *pool.Conn, now time.Time) {
	if co.IsOpen() {
		go rollBack(up, co, now)
		return
	}
	up.pool.Release(co)
}

func rollBack(up *upstream, co *pool.Conn, now time.Time) {
	ba := pool.Batch{Statements: []stmt.Statement{{Kind: stmt.Rollback}}, AnyVars: true}
	results, err := co.Run(ba, now.Add(rollbackTimeout))
	if err != nil || results[0].Code != codes.OK || results[0].State != stmt.Idle {
		up.pool.Discard(co)
		return
	}
	up.pool.Release(co)
}
