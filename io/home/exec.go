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
	// cancelled is when a cancel request was sent; zero if none was.
	cancelled time.Time
	// failed is true once an ErrorResponse was forwarded.
	failed bool
	// report is set if the plan contains the position query and noReport is
	// false.
	report   positionReport
	noReport bool
}

// errConnectionLost marks errors after which the connection is broken or
// silent.
var errConnectionLost = errors.New("upstream connection lost")

// run sends the plan and forwards the answers. Errors after which the
// connection is unusable are marked with errConnectionLost; errors of the sink
// are returned unchanged.
func (ex *execution) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { ex.up.cancelAsync(ex.co) })
	defer stop()
	_ = ex.co.net.SetWriteDeadline(ex.deadline)
	if err := ex.co.fe.Flush(); err != nil {
		return ex.markLost(err)
	}
	for len(ex.pl.answers) > 0 {
		head := ex.pl.answers[0]
		if head.local != nil {
			ex.pl.answers = ex.pl.answers[1:]
			if err := ex.si.write(head.local); err != nil {
				return err
			}
			continue
		}
		msg, err := ex.receive(ctx)
		if err != nil {
			return ex.markLost(err)
		}
		if err := ex.handleMessage(msg); err != nil {
			return err
		}
	}
	_ = ex.co.net.SetDeadline(time.Time{})
	return nil
}

func (ex *execution) markLost(err error) error {
	ex.co.inDoubt = true
	return errors.Mark(err, errConnectionLost)
}

// receive waits for a message and calls handleStall whenever a read times out.
func (ex *execution) receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	for {
		now := ex.up.now()
		_ = ex.co.net.SetReadDeadline(ex.nextReadDeadline(now))
		msg, err := ex.co.fe.Receive()
		var ne net.Error
		if err == nil || !errors.As(err, &ne) || !ne.Timeout() {
			return msg, err
		}
		if err := ex.handleStall(ctx, ex.up.now()); err != nil {
			return nil, err
		}
	}
}

func (ex *execution) nextReadDeadline(now time.Time) time.Time {
	if !ex.cancelled.IsZero() {
		return ex.cancelled.Add(ex.up.settings.CancelGrace)
	}
	check := now.Add(ex.up.settings.SilentAfter)
	if ex.deadline.Before(check) {
		return ex.deadline
	}
	return check
}

// handleStall handles a read timeout: it sends a cancel request at the
// deadline, gives up once the cancel grace has passed, and before the deadline
// checks whether the upstream still works for the connection.
func (ex *execution) handleStall(ctx context.Context, now time.Time) error {
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
		// A failed check proves nothing about this connection: the whole
		// upstream may be unreachable.
		return nil
	}
	event.Log(ex.up.log, event.ConnectionSilent, "upstream", ex.up.member.Name, "pid", ex.co.pid)
	// The fault that broke this connection may have broken the idle ones too.
	ex.up.dropIdle()
	return errors.New("connection fell silent")
}

// handleMessage processes one message from the upstream.
func (ex *execution) handleMessage(msg pgproto3.BackendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.NoticeResponse:
		return ex.si.write(msg)
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ErrorResponse:
		return ex.handleError(msg)
	}
	head := ex.pl.answers[0]
	done, err := head.completes(msg)
	if err != nil {
		event.Log(ex.up.log, event.ConnectionDoubt, "upstream", ex.up.member.Name, "message", msg)
		return ex.markLost(err)
	}
	if err := ex.forward(head, msg); err != nil {
		return err
	}
	if done {
		ex.completeAnswer(head)
	}
	return nil
}

func (ex *execution) forward(head expectedAnswer, msg pgproto3.BackendMessage) error {
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
			return ex.markLost(err)
		}
		ex.report = got
		return nil
	}
	if head.hidden {
		return nil
	}
	return ex.si.write(msg)
}

func (ex *execution) completeAnswer(head expectedAnswer) {
	ex.pl.answers = ex.pl.answers[1:]
	if head.key != "" {
		ex.co.statements.Add(head.key, head.name)
	}
}

// SQLSTATEs after which the cached prepared statements of a connection may no
// longer be valid.
const (
	sqlStatePlanChanged = "0A000"
	sqlStateNoStatement = "26000"
)

func (ex *execution) handleError(msg *pgproto3.ErrorResponse) error {
	if msg.Severity == "FATAL" || msg.Severity == "PANIC" {
		return ex.markLost(&upstreamError{sqlState: msg.Code, message: msg.Message})
	}
	head := ex.pl.answers[0]
	if head.kind == answerPosition && ex.co.status == 'E' {
		// The transaction has failed and is still open, so there is nothing to
		// confirm.
		ex.noReport = true
		return nil
	}
	if head.kind == answerPosition {
		return ex.markLost(&upstreamError{sqlState: msg.Code, message: msg.Message})
	}
	if msg.Code == sqlStatePlanChanged || msg.Code == sqlStateNoStatement {
		ex.co.statements.Purge()
	}
	ex.failed = true
	if head.kind != answerQuery {
		ex.skipToSync()
	}
	return ex.si.write(msg)
}

// skipToSync drops the expected answers that an upstream omits after an error.
func (ex *execution) skipToSync() {
	for len(ex.pl.answers) > 0 && ex.pl.answers[0].kind != answerSync && ex.pl.answers[0].kind != answerQuery {
		ex.pl.answers = ex.pl.answers[1:]
	}
}

// connectionLostCode returns the result code of a unit whose connection was
// lost.
func connectionLostCode(mayCommit, inTransaction bool) codes.Code {
	switch {
	case mayCommit:
		return codes.ConnectionLost
	case inTransaction:
		return codes.TransactionLost
	default:
		return codes.UpstreamUnreached
	}
}
