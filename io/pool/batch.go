package pool

import (
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
	"banyanspring/core/stmt"
	"banyanspring/core/vars"
)

// Batch is a run of statements for one connection.
type Batch struct {
	// Vars are the session's values; the connection is given them first.
	Vars vars.Session
	// Plan is what executions among the statements execute.
	Plan vars.Plan
	// Statements is not empty.
	Statements []stmt.Statement
	// AnyVars is true if the session's values do not matter.
	AnyVars bool
	// Keep is true if the connection must stay with this caller afterwards,
	// because a transaction is or will be open on it.
	Keep bool
}

// Run gives the connection the batch's values and plan and runs its statements
// in one write. On an error the connection must be discarded.
func (co *Conn) Run(ba Batch, deadline time.Time) ([]stmt.Result, error) {
	if co.relay != nil {
		return co.relay.run(co, ba, deadline)
	}
	var sts []stmt.Statement
	if !ba.AnyVars {
		sts = co.vars.Align(ba.Vars)
	}
	wanted := make([]int, 0, len(ba.Statements))
	for _, st := range ba.Statements {
		if st.Kind == stmt.Execute {
			bound, lacking := co.vars.Bind(st, ba.Plan)
			sts = append(sts, lacking...)
			st = bound
		}
		wanted = append(wanted, len(sts))
		sts = append(sts, st)
	}
	results, err := co.Exchange(sts, deadline)
	if err != nil {
		return nil, err
	}
	return pick(results, wanted)
}

// pick returns the results of the wanted statements. What went before them must
// have succeeded.
func pick(results []stmt.Result, wanted []int) ([]stmt.Result, error) {
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
