package home

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
	"banyanspring/io/wire"
)

// errStreamEnd ends a local stream.
var errStreamEnd = errors.New("stream ended")

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// unitJob runs one unit on the connection that its run holds.
type unitJob struct {
	ru       *run
	un       *wire.Unit
	si       *sink
	deadline time.Time
	// inTransaction is true if a transaction was open before the unit.
	inTransaction bool
}

// unitDone is what a unit left behind.
type unitDone struct {
	// failed is true if the upstream answered with an error.
	failed bool
	// committed is true if a COMMIT completed within the unit.
	committed bool
	// complete is false while an extended batch waits for its Sync.
	complete  bool
	hasReport bool
	report    report
}

// run executes the unit. The error is a refusal.
func (jo *unitJob) run(ctx context.Context) (unitDone, error) {
	if jo.un.RequestKey == "" {
		return jo.plain(ctx, jo.si, jo.un.Completion != wire.Completion_COMPLETION_UNSPECIFIED)
	}
	return jo.keyed(ctx)
}

// plain runs the unit's messages as they are.
func (jo *unitJob) plain(ctx context.Context, si *sink, withPosition bool) (unitDone, error) {
	co := jo.ru.co
	pl := newPlan(co, jo.un.Statements)
	if err := pl.translate(jo.un.Messages); err != nil {
		co.doubt = true
		return unitDone{}, err
	}
	if withPosition && pl.ends {
		pl.askPosition()
	}
	ex := &execution{up: jo.ru.up, co: co, pl: pl, si: si, deadline: jo.deadline}
	err := ex.run(ctx)
	if err != nil {
		co.doubt = true
		return unitDone{}, jo.lost(err)
	}
	if err := si.flush(); err != nil {
		return unitDone{}, codes.Refuse(codes.OutcomeUnknown, "%v", err)
	}
	return unitDone{
		failed:    ex.failed,
		committed: si.committed,
		complete:  pl.ends,
		hasReport: withPosition && pl.ends && !ex.noReport,
		report:    ex.report,
	}, nil
}

func (jo *unitJob) lost(err error) error {
	mayCommit := jo.un.Completion != wire.Completion_COMPLETION_UNSPECIFIED
	if jo.si.committed {
		mayCommit = true
	}
	return codes.Refuse(lostCode(mayCommit, jo.inTransaction), "%v", err)
}
