package pool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/admit"
	"banyanspring/core/budget"
	"banyanspring/core/codes"
	"banyanspring/core/stmt"
	"banyanspring/core/vars"
)

// Batch is a sequence of statements for one connection.
type Batch struct {
	// Vars holds the session variables, which are set on the connection first.
	Vars vars.Session
	// Prepared is the statement that the batch's Execute statements run.
	Prepared vars.Prepared
	// Statements must not be empty.
	Statements []stmt.Statement
	// IgnoreVars is true if the statements do not depend on the session variables,
	// so that these need not be set.
	IgnoreVars bool
	// Keep is true if the connection must stay with this caller after the batch,
	// because a transaction is or will be open on it.
	Keep bool
	// Reserve reserves the answers while they are read; nil if there is no budget.
	Reserve budget.Reserve
}

// Run sets the batch's session variables on the connection, prepares its statement
// there if necessary, and runs its statements, all in one write. A *codes.Refusal means that nothing was run and the
// connection is unchanged; after any other error it must be discarded.
func (co *Conn) Run(ba Batch, deadline time.Time) ([]stmt.Result, error) {
	if co.link != nil {
		return co.link.run(co, ba, deadline)
	}
	if !ba.takesSlot() {
		return co.run(ba, deadline)
	}
	if co.releaseStatement == nil {
		// A further statement of a transaction is urgent: the transaction holds a
		// connection, and perhaps locks that other statements wait for.
		releaseStatement, err := co.pool.statementGate.Acquire(context.Background(), admit.Item{
			Caller: co.flow, Weight: co.weight, Limit: co.pool.settings.Waiting, Deadline: deadline, Urgent: true,
		})
		if err != nil {
			return nil, err
		}
		co.releaseStatement = releaseStatement
	}
	results, err := co.run(ba, deadline)
	if co.outstanding == 0 {
		co.leaveStatementGate()
	}
	return results, err
}

// leaveStatementGate gives back the connection's place in statementGate, if it has
// one.
func (co *Conn) leaveStatementGate() {
	if co.releaseStatement != nil {
		co.releaseStatement()
		co.releaseStatement = nil
	}
}

// takesSlot reports whether the batch takes a slot at the upstream.
func (ba Batch) takesSlot() bool {
	for _, st := range ba.Statements {
		if st.IsData() || st.Kind == stmt.Commit {
			return true
		}
	}
	return false
}

// isSystem reports whether the batch is of this system itself and changes nothing on its
// connection.
func (ba Batch) isSystem() bool { return ba.IgnoreVars && !ba.Keep && !ba.takesSlot() }

func (co *Conn) run(ba Batch, deadline time.Time) ([]stmt.Result, error) {
	var sts []stmt.Statement
	if !ba.IgnoreVars {
		sts = co.vars.Align(ba.Vars)
	}
	wanted := make([]int, 0, len(ba.Statements))
	for _, st := range ba.Statements {
		if st.Kind == stmt.Execute {
			bound, missing := co.vars.ResolvePrepared(st, ba.Prepared)
			sts = append(sts, missing...)
			st = bound
		}
		wanted = append(wanted, len(sts))
		sts = append(sts, st)
	}
	results, err := co.exchangeReserved(sts, deadline, ba.Reserve)
	if err != nil {
		return nil, err
	}
	co.state = results[len(results)-1].State
	return selectResults(results, wanted)
}

// selectResults returns the results at the wanted indexes. The other results, of
// setting session variables and preparing statements, must be successes.
func selectResults(results []stmt.Result, wanted []int) ([]stmt.Result, error) {
	out := make([]stmt.Result, 0, len(wanted))
	next := 0
	for pos, res := range results {
		if next < len(wanted) && wanted[next] == pos {
			out = append(out, res)
			next++
			continue
		}
		if res.Code != codes.OK {
			return nil, errors.Newf("session values were refused: %s", res.Detail)
		}
	}
	return out, nil
}
