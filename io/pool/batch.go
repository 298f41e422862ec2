package pool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/admit"
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
// in one write. A *codes.Refusal means that nothing was run and the connection
// is as before; after any other error it must be discarded.
func (co *Conn) Run(ba Batch, deadline time.Time) ([]stmt.Result, error) {
	if co.relay != nil {
		return co.relay.run(co, ba, deadline)
	}
	if !ba.takesSlot() {
		return co.run(ba, deadline)
	}
	if co.slot == nil {
		// A further statement of a transaction goes first: it holds a connection,
		// and perhaps locks that the others wait for.
		slot, err := co.pool.slots.Acquire(context.Background(), admit.Item{
			Caller: co.caller, Weight: 1, Limit: co.pool.settings.Waiting, Deadline: deadline, Urgent: true,
		})
		if err != nil {
			return nil, err
		}
		co.slot = slot
	}
	results, err := co.run(ba, deadline)
	if co.outstanding == 0 {
		co.freeSlot()
	}
	return results, err
}

// freeSlot gives back the slot that the connection was acquired with.
func (co *Conn) freeSlot() {
	if co.slot != nil {
		co.slot()
		co.slot = nil
	}
}

// takesSlot reports whether the upstream needs a slot for the batch.
func (ba Batch) takesSlot() bool {
	for _, st := range ba.Statements {
		if st.IsData() || st.Kind == stmt.Commit {
			return true
		}
	}
	return false
}

func (co *Conn) run(ba Batch, deadline time.Time) ([]stmt.Result, error) {
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
	co.state = results[len(results)-1].State
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
