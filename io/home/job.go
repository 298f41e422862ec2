package home

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
	"banyanspring/io/wire"
)

// errStreamEnd is accepted by readRequests as the regular end of a stream, like
// io.EOF. isEOF does not cover it. Nothing in this package returns it.
var errStreamEnd = errors.New("stream ended")

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// unitJob runs one unit on the connection that its stream holds.
type unitJob struct {
	ru       *runStream
	un       *wire.Unit
	si       *sink
	deadline time.Time
	// inTransaction is true if a transaction was open before the unit.
	inTransaction bool
}

// unitResult is the result of a unit that ran.
type unitResult struct {
	// failed is true if the upstream answered with an error.
	failed bool
	// committed is true if a COMMIT completed within the unit. Without a request key
	// it is set only if the sink's holdCompletion is.
	committed bool
	// complete is false while an extended-query batch lacks its Sync.
	complete  bool
	hasReport bool
	report    positionReport
}

// run executes the unit. The error is a refusal.
func (jo *unitJob) run(ctx context.Context) (unitResult, error) {
	if jo.un.RequestKey == "" {
		return jo.runMessages(ctx, jo.si, jo.un.Completion != wire.Completion_COMPLETION_UNSPECIFIED)
	}
	return jo.runKeyed(ctx)
}

// runMessages runs the unit's messages without a request key, and the position
// query after them if withPosition is set.
func (jo *unitJob) runMessages(ctx context.Context, si *sink, withPosition bool) (unitResult, error) {
	co := jo.ru.co
	pl := newPlan(co, jo.un.Statements)
	if err := pl.translate(jo.un.Messages); err != nil {
		co.inDoubt = true
		return unitResult{}, err
	}
	if withPosition && pl.isComplete {
		pl.askPosition()
	}
	ex := &execution{up: jo.ru.up, co: co, pl: pl, si: si, deadline: jo.deadline}
	err := ex.run(ctx)
	if err != nil {
		co.inDoubt = true
		return unitResult{}, jo.connectionLost(err)
	}
	if err := si.flush(); err != nil {
		return unitResult{}, codes.Refuse(codes.OutcomeUnknown, "%v", err)
	}
	return unitResult{
		failed:    ex.failed,
		committed: si.committed,
		complete:  pl.isComplete,
		hasReport: withPosition && pl.isComplete && !ex.noReport,
		report:    ex.report,
	}, nil
}

func (jo *unitJob) connectionLost(err error) error {
	mayCommit := jo.un.Completion != wire.Completion_COMPLETION_UNSPECIFIED
	if jo.si.committed {
		mayCommit = true
	}
	return codes.Refuse(connectionLostCode(mayCommit, jo.inTransaction), "%v", err)
}
