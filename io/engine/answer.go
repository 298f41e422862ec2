package engine

import (
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/posn"
	"banyanspring/core/stmt"
	"banyanspring/core/vars"
)

// answer serves one statement according to the session's transaction state.
func (se *session) answer(st stmt.Statement) stmt.Result {
	if se.isRevoked() {
		if ref := se.findTarget(); ref != nil {
			return se.refused(st, ref)
		}
	}
	switch {
	case se.state == stmt.Failed:
		return se.answerFailed(st)
	case st.Kind == stmt.Set:
		return se.keep(se.vars.WithValue(se.detach(st.Name), se.detach(st.Argument)))
	case st.Kind == stmt.Prepare:
		return se.keep(se.vars.WithPrepared(vars.Prepared{Name: se.detach(st.Name), Writes: st.Writes, Text: se.detach(st.Argument)}))
	case st.Kind == stmt.Deallocate:
		return se.deallocate(st)
	case se.state == stmt.Open:
		return se.answerOpen(st)
	}
	return se.answerIdle(st)
}

func (se *session) deallocate(st stmt.Statement) stmt.Result {
	next, ok := se.vars.WithoutPrepared(st.Name)
	if !ok {
		return se.refuseAndAbort(codes.Refuse(codes.UnknownStatement, "%s", st.Name))
	}
	se.vars = next
	return se.success()
}

// answerFailed serves a statement in a failed transaction: only Rollback or
// Commit ends it.
func (se *session) answerFailed(st stmt.Statement) stmt.Result {
	lost := se.pendingRefusal
	se.pendingRefusal = nil
	switch st.Kind {
	case stmt.Rollback:
		se.state = stmt.Idle
		return se.success()
	case stmt.Commit:
		se.state = stmt.Idle
		if lost == nil {
			lost = codes.Refuse(codes.TransactionLost, "the transaction had failed before")
		}
	}
	if lost != nil {
		return se.refusal(lost)
	}
	return se.refusal(codes.Refuse(codes.TransactionFailed, "end the transaction first"))
}

// answerIdle serves a statement outside a transaction.
func (se *session) answerIdle(st stmt.Statement) stmt.Result {
	if ref := se.findTarget(); ref != nil {
		return se.refused(st, ref)
	}
	switch st.Kind {
	case stmt.Begin, stmt.BeginRead:
		if ref := se.admit(); ref != nil {
			return se.refused(st, ref)
		}
		se.tx = &transaction{en: se.en, readOnly: st.Kind == stmt.BeginRead}
		se.state = stmt.Open
		return se.success()
	case stmt.Commit, stmt.Rollback:
		return se.refused(st, codes.Refuse(codes.ProtocolViolation, "no transaction is open"))
	}
	rq, ref := se.request(st)
	if ref == nil {
		ref = se.admit()
	}
	if ref != nil {
		return se.refused(st, ref)
	}
	res, ref := se.en.executeSingle(rq)
	if ref != nil {
		return se.refused(st, ref)
	}
	if rq.st.IsWrite() {
		se.recordWrite(res.Position)
	}
	res.State = stmt.Idle
	return res
}

// admit returns the refusal of an operation that exceeds the workspace's limits.
func (se *session) admit() *codes.Refusal {
	if se.workspace == "" || se.en.deps.Admit == nil {
		return nil
	}
	return se.en.deps.Admit(se.workspace)
}

// answerOpen serves a statement inside a transaction.
func (se *session) answerOpen(st stmt.Statement) stmt.Result {
	tx := se.tx
	switch st.Kind {
	case stmt.Begin, stmt.BeginRead:
		return se.refuseAndAbort(codes.Refuse(codes.ProtocolViolation, "a transaction is open already"))
	case stmt.Rollback:
		tx.end()
		se.tx, se.state = nil, stmt.Idle
		return se.success()
	}
	rq, ref := se.request(st)
	if ref == nil && tx.readOnly && rq.st.IsWrite() {
		ref = codes.Refuse(codes.NotPrimary, "the transaction only reads")
	}
	var res stmt.Result
	if ref == nil {
		res, ref = tx.run(rq)
	}
	if ref != nil {
		return se.refusedInTransaction(st, ref)
	}
	if st.Kind == stmt.Commit {
		if tx.wrote {
			se.recordWrite(res.Position)
		}
		se.tx, se.state = nil, stmt.Idle
	}
	res.State = se.state
	return res
}

// refusedInTransaction rolls the open transaction back and answers the statement
// whose refusal ended it.
func (se *session) refusedInTransaction(st stmt.Statement, ref *codes.Refusal) stmt.Result {
	tx := se.tx
	tx.end()
	se.tx, se.state = nil, stmt.Failed
	if st.Kind == stmt.Commit {
		se.state = stmt.Idle
	}
	return se.refused(st, ref)
}

// refused logs and counts the refusal of a statement and returns the answer.
func (se *session) refused(st stmt.Statement, ref *codes.Refusal) stmt.Result {
	id := event.RequestRefused
	if ref.NotRun() {
		se.en.Counts.Refused.Add(1)
	} else {
		id = event.OutcomeInDoubt
		se.en.Counts.InDoubt.Add(1)
	}
	event.Log(se.en.log, id, "request_id", st.RequestID, "database", se.database, "group", se.target.Group,
		"kind", st.Kind.String(), "code", int(ref.Code), "name", ref.Code.Info().Name, "detail", ref.Detail,
		"catalog_version", se.en.catalog.Current().Version)
	return se.refusal(ref)
}

// recordWrite raises the minimum position of the session's later reads. Reads do
// not raise it: after a read at the leader, no replica could serve the session's
// next reads before it has caught up.
func (se *session) recordWrite(po posn.Position) { se.lastWrite = se.lastWrite.Max(po) }

// request is one statement that is being served.
type request struct {
	session *session
	st      stmt.Statement
	// prepared is the statement that Execute runs; empty for other kinds.
	prepared vars.Prepared
	arrived  time.Time
	// softDeadline is when the statement should be answered; zero if its target
	// has no latency objective.
	softDeadline time.Time
	// deadline is when the statement is refused if it has not been served.
	deadline time.Time
}

// deadlineShare is the fraction of the statement timeout after which a statement
// is refused, so that the refusal reaches the caller before the timeout.
const deadlineShare = 0.95

const (
	// softDeadlineShare is the fraction of the latency objective in which a
	// statement should be answered; the rest is for the network to the caller.
	softDeadlineShare = 0.9
	// transactionSoftDeadlineShare is the same inside a transaction. Only the first
	// statement, which is followed by others, uses its soft deadline: it alone
	// acquires a connection.
	transactionSoftDeadlineShare = 0.5
	// connectAndQueryWindow is the time after the opening of a session in which
	// a first statement suggests that the caller connected in order to run it.
	// Its objective then counts from the connect, since the caller has waited
	// for the opening too.
	connectAndQueryWindow = 100 * time.Millisecond
)

// softDeadline returns when a statement that arrives now should be answered;
// zero if the target has no latency objective.
func (se *session) softDeadline(now time.Time) time.Time {
	if se.target.LatencyObjective <= 0 {
		return time.Time{}
	}
	since := now
	if se.answered == 0 && now.Sub(se.readyAt) < connectAndQueryWindow {
		since = se.connectedAt
	}
	fraction := softDeadlineShare
	if se.state == stmt.Open {
		fraction = transactionSoftDeadlineShare
	}
	return since.Add(time.Duration(fraction * float64(se.target.LatencyObjective)))
}

// request returns the statement with its deadlines. For Execute it looks up the
// prepared statement.
func (se *session) request(st stmt.Statement) (*request, *codes.Refusal) {
	now := se.en.deps.Now()
	timeout := time.Duration(float64(se.target.StatementTimeout) * deadlineShare)
	rq := &request{session: se, st: st, arrived: now, softDeadline: se.softDeadline(now), deadline: now.Add(timeout)}
	if ld := se.en.leaving.Load(); ld != nil && ld.answerBy.Before(rq.deadline) {
		rq.deadline = ld.answerBy
	}
	if st.Kind != stmt.Execute {
		return rq, nil
	}
	pr, ok := se.vars.GetPreparedByName(st.Name)
	if !ok {
		return nil, codes.Refuse(codes.UnknownStatement, "%s", st.Name)
	}
	rq.prepared = pr
	rq.st.Writes = pr.Writes
	return rq, nil
}
