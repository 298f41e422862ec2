package home

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/core/codes"
	"banyanspring/core/event"
)

// execution runs one plan on a connection.
type execution struct {
	up *Upstream
	co *conn
	pl *plan
	si *sink
	// deadline is when the unit is cancelled.
	deadline time.Time
	// cancelled is when a cancel request was sent; zero before.
	cancelled time.Time
	// failed is true once an ErrorResponse was passed on.
	failed bool
	// report is set if the plan asked for the position and noReport is false.
	report   report
	noReport bool
}

// errLost says that the connection broke or fell silent.
var errLost = errors.New("upstream connection lost")

// run sends the plan and passes the answers on. It returns errLost if the
// connection is of no more use, and errors of the sink as they are.
func (ex *execution) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { ex.up.cancelAsync(ex.co) })
	defer stop()
	_ = ex.co.net.SetWriteDeadline(ex.deadline)
	if err := ex.co.fe.Flush(); err != nil {
		return ex.lose(err)
	}
	for len(ex.pl.answers) > 0 {
		head := ex.pl.answers[0]
		if head.local != nil {
			ex.pl.answers = ex.pl.answers[1:]
			if err := ex.si.put(head.local); err != nil {
				return err
			}
			continue
		}
		msg, err := ex.receive(ctx)
		if err != nil {
			return ex.lose(err)
		}
		if err := ex.answer(msg); err != nil {
			return err
		}
	}
	_ = ex.co.net.SetDeadline(time.Time{})
	return nil
}

func (ex *execution) lose(err error) error {
	ex.co.doubt = true
	return errors.Mark(err, errLost)
}

// receive waits for a message and tests the connection when it makes no
// progress.
func (ex *execution) receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	for {
		now := ex.up.now()
		_ = ex.co.net.SetReadDeadline(ex.nextCheck(now))
		msg, err := ex.co.fe.Receive()
		var ne net.Error
		if err == nil || !errors.As(err, &ne) || !ne.Timeout() {
			return msg, err
		}
		if err := ex.stalled(ctx, ex.up.now()); err != nil {
			return nil, err
		}
	}
}

func (ex *execution) nextCheck(now time.Time) time.Time {
	if !ex.cancelled.IsZero() {
		return ex.cancelled.Add(ex.up.settings.CancelGrace)
	}
	check := now.Add(ex.up.settings.SilentAfter)
	if ex.deadline.Before(check) {
		return ex.deadline
	}
	return check
}

// stalled decides what to do about a connection without progress: cancel at
// the deadline, give up past the grace, and test it before that.
func (ex *execution) stalled(ctx context.Context, now time.Time) error {
	if !ex.cancelled.IsZero() {
		return errors.New("no answer to a cancel request")
	}
	if !now.Before(ex.deadline) {
		ex.cancelled = now
		ex.up.cancelAsync(ex.co)
		return nil
	}
	if ex.up.isSuperseded() {
		return errors.New("upstream no longer leads and does not answer")
	}
	active, err := ex.up.isActive(ctx, ex.co.pid)
	if err != nil || active {
		// A whole upstream out of reach is no proof against this connection.
		return nil
	}
	event.Log(ex.up.log, event.ConnectionSilent, "upstream", ex.up.member.Name, "pid", ex.co.pid)
	// What cut this connection may have cut the idle ones as well.
	ex.up.dropIdle()
	return errors.New("connection fell silent")
}

// answer handles one message of the upstream.
func (ex *execution) answer(msg pgproto3.BackendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.NoticeResponse:
		return ex.si.put(msg)
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ErrorResponse:
		return ex.failure(msg)
	}
	head := ex.pl.answers[0]
	done, err := head.completes(msg)
	if err != nil {
		event.Log(ex.up.log, event.ConnectionDoubt, "upstream", ex.up.member.Name, "message", msg)
		return ex.lose(err)
	}
	if err := ex.pass(head, msg); err != nil {
		return err
	}
	if done {
		ex.complete(head)
	}
	return nil
}

func (ex *execution) pass(head expected, msg pgproto3.BackendMessage) error {
	if ready, ok := msg.(*pgproto3.ReadyForQuery); ok {
		ex.co.status = ready.TxStatus
		return nil
	}
	if head.kind == answerPosition {
		row, ok := msg.(*pgproto3.DataRow)
		if !ok {
			return nil
		}
		got, err := parseReport(textRow(row))
		if err != nil {
			return ex.lose(err)
		}
		ex.report = got
		return nil
	}
	if head.hidden {
		return nil
	}
	return ex.si.put(msg)
}

func (ex *execution) complete(head expected) {
	ex.pl.answers = ex.pl.answers[1:]
	if head.key != "" {
		ex.co.statements.Add(head.key, head.name)
	}
}

// sqlStates after which the prepared statements of a connection are in doubt.
const (
	sqlStatePlanChanged = "0A000"
	sqlStateNoStatement = "26000"
)

func (ex *execution) failure(msg *pgproto3.ErrorResponse) error {
	if msg.Severity == "FATAL" || msg.Severity == "PANIC" {
		return ex.lose(&upstreamError{state: msg.Code, text: msg.Message})
	}
	head := ex.pl.answers[0]
	if head.kind == answerPosition && ex.co.status == 'E' {
		// The transaction failed and is still open: nothing is to be confirmed.
		ex.noReport = true
		return nil
	}
	if head.kind == answerPosition {
		return ex.lose(&upstreamError{state: msg.Code, text: msg.Message})
	}
	if msg.Code == sqlStatePlanChanged || msg.Code == sqlStateNoStatement {
		ex.co.statements.Purge()
	}
	ex.failed = true
	if head.kind != answerQuery {
		ex.skipToSync()
	}
	return ex.si.put(msg)
}

// skipToSync drops the answers that an upstream omits after an error.
func (ex *execution) skipToSync() {
	for len(ex.pl.answers) > 0 && ex.pl.answers[0].kind != answerSync && ex.pl.answers[0].kind != answerQuery {
		ex.pl.answers = ex.pl.answers[1:]
	}
}

// lostCode tells what a lost connection means for the unit.
func lostCode(mayCommit, inTransaction bool) codes.Code {
	switch {
	case mayCommit:
		return codes.ConnectionLost
	case inTransaction:
		return codes.TransactionLost
	default:
		return codes.UpstreamUnreached
	}
}
