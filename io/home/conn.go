package home

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/core/codes"
	"banyanspring/core/posn"
)

// positionQuery asks an upstream for its term, log position and role, the term
// of its newest log entry, and the milliseconds since its last contact with its
// primary.
const positionQuery = "SELECT term_number, term_primary, log_offset, is_primary, " +
	"entry_number, entry_primary, received_ms FROM platform_position()"

// positionReport is an upstream's answer to positionQuery.
type positionReport struct {
	position posn.Position
	primary  bool
	// lastEntry holds the term in which the newest log entry was written, and the
	// same offset as position.
	lastEntry posn.Position
	// lastContact is when the upstream, if it is a replica, was last in contact
	// with its primary, on the local clock.
	lastContact time.Time
}

// conn is one upstream connection. One goroutine uses it at a time.
type conn struct {
	net net.Conn
	fe  *pgproto3.Frontend
	// pid and secret identify the connection in a cancel request.
	pid    uint32
	secret []byte
	// statements maps the statementKey of a prepared statement to its name.
	statements *lru.LRU[string, string]
	// evicted names the prepared statements to close before the next unit.
	evicted         []string
	nextStatementID int
	// busy is true while a request uses the connection.
	busy atomic.Bool
	// inDoubt is set when the protocol state of the connection is unknown. Such
	// a connection is closed and not reused.
	inDoubt bool
	// status is the transaction status of the last ReadyForQuery.
	status byte
	// cancelled is set when a cancel request is sent. The request may arrive
	// late, so the connection must not serve another request.
	cancelled atomic.Bool
	// idleSince is when the connection was returned to the pool.
	idleSince time.Time
}

// dialer opens connections to one upstream.
type dialer struct {
	address        string
	user, password string
	// statementCacheSize is the number of prepared statements cached on each
	// connection.
	statementCacheSize int
	dial               func(ctx context.Context, address string) (net.Conn, error)
}

// open returns a connection that is ready for queries. The error is a refusal,
// except for a statementCacheSize below 1, which the settings do not allow.
func (di *dialer) open(ctx context.Context) (*conn, error) {
	nc, err := di.dial(ctx, di.address)
	if err != nil {
		return nil, codes.Refuse(codes.UpstreamUnreached, "%v", err)
	}
	co := &conn{net: nc, fe: pgproto3.NewFrontend(nc, nc), status: 'I'}
	if err := co.initStatementCache(di.statementCacheSize); err != nil {
		_ = nc.Close()
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = nc.SetDeadline(deadline)
	}
	if err := co.login(di); err != nil {
		_ = nc.Close()
		return nil, err
	}
	_ = nc.SetDeadline(time.Time{})
	return co, nil
}

func (co *conn) initStatementCache(size int) error {
	cache, err := lru.NewLRU(size, func(_, name string) { co.evicted = append(co.evicted, name) })
	co.statements = cache
	return err
}

// login supports upstreams that request no password or a cleartext one. It
// ignores requests for other kinds of authentication, and the login then fails at
// the deadline that open has set. The error is a refusal.
func (co *conn) login(di *dialer) error {
	co.fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user": di.user,
			// Postgres clients default to the database named like the user.
			"database":         di.user,
			"application_name": "banyanspring",
			"client_encoding":  "UTF8",
		},
	})
	if err := co.fe.Flush(); err != nil {
		return codes.Refuse(codes.UpstreamUnreached, "%v", err)
	}
	for {
		msg, err := co.fe.Receive()
		if err != nil {
			return codes.Refuse(codes.UpstreamUnreached, "%v", err)
		}
		switch msg := msg.(type) {
		case *pgproto3.ErrorResponse:
			return loginRefusal(msg)
		case *pgproto3.AuthenticationCleartextPassword:
			co.fe.Send(&pgproto3.PasswordMessage{Password: di.password})
			if err := co.fe.Flush(); err != nil {
				return codes.Refuse(codes.UpstreamUnreached, "%v", err)
			}
		case *pgproto3.BackendKeyData:
			co.pid = msg.ProcessID
			co.secret = append([]byte(nil), msg.SecretKey...)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// sqlStateTooManyConnections is the SQLSTATE of an upstream that has reached
// its connection limit.
const sqlStateTooManyConnections = "53300"

func loginRefusal(msg *pgproto3.ErrorResponse) error {
	if msg.Code == sqlStateTooManyConnections {
		return codes.Refuse(codes.ConnectionsInUse, "%s", msg.Message)
	}
	return codes.Refuse(codes.UpstreamUnreached, "login: %s", msg.Message)
}

func (co *conn) close() {
	_ = co.net.SetWriteDeadline(time.Now().Add(time.Second))
	if !co.inDoubt {
		co.fe.Send(&pgproto3.Terminate{})
		_ = co.fe.Flush()
	}
	_ = co.net.Close()
}

// isAlive reports whether an idle connection is open and has no unread bytes.
// Unsolicited bytes, buffered or not, mean that its protocol state is unknown.
func (co *conn) isAlive() bool {
	if co.fe.ReadBufferLen() > 0 {
		return false
	}
	var buf [1]byte
	// The deadline makes Read return at once if there is nothing to read.
	_ = co.net.SetReadDeadline(time.Now().Add(time.Microsecond))
	num, err := co.net.Read(buf[:])
	_ = co.net.SetReadDeadline(time.Time{})
	var ne net.Error
	return num == 0 && errors.As(err, &ne) && ne.Timeout()
}

// cancel asks the upstream, over a separate connection, to cancel the running
// statement. Errors are ignored: the protocol does not acknowledge cancel requests
// anyway, and a statement past its deadline is given up after CancelGrace.
func (di *dialer) cancel(ctx context.Context, pid uint32, secret []byte) {
	nc, err := di.dial(ctx, di.address)
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	msg := &pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}
	raw, err := msg.Encode(nil)
	if err != nil {
		return
	}
	_, _ = nc.Write(raw)
}

// queryRows runs a simple query on an otherwise idle connection and returns its
// rows and command tag. It serves the home's own statements, not those of
// callers.
func (co *conn) queryRows(query string) ([][]string, string, error) {
	co.fe.Send(&pgproto3.Query{String: query})
	if err := co.fe.Flush(); err != nil {
		co.inDoubt = true
		return nil, "", errors.Wrap(err, "send")
	}
	return co.readRows()
}

func (co *conn) readRows() ([][]string, string, error) {
	var rows [][]string
	var tag string
	var failure error
	for {
		msg, err := co.fe.Receive()
		if err != nil {
			co.inDoubt = true
			return nil, "", errors.Wrap(err, "receive")
		}
		switch msg := msg.(type) {
		case *pgproto3.DataRow:
			rows = append(rows, textRow(msg))
		case *pgproto3.CommandComplete:
			tag = string(msg.CommandTag)
		case *pgproto3.ErrorResponse:
			failure = &upstreamError{sqlState: msg.Code, message: msg.Message}
		case *pgproto3.ReadyForQuery:
			co.status = msg.TxStatus
			return rows, tag, failure
		}
	}
}

// upstreamError is an ErrorResponse to one of the home's own statements.
type upstreamError struct{ sqlState, message string }

func (er *upstreamError) Error() string { return er.sqlState + ": " + er.message }

func textRow(msg *pgproto3.DataRow) []string {
	row := make([]string, len(msg.Values))
	for pos, val := range msg.Values {
		row[pos] = string(val)
	}
	return row
}

// positionColumns is the number of columns of positionQuery.
const positionColumns = 7

func parseReport(row []string) (positionReport, error) {
	if len(row) != positionColumns {
		return positionReport{}, errors.Newf("position has %d columns", len(row))
	}
	var nums [positionColumns]uint64
	for _, col := range []int{0, 2, 4, 6} {
		num, err := strconv.ParseUint(row[col], 10, 64)
		if err != nil {
			return positionReport{}, errors.Wrapf(err, "position column %d", col)
		}
		nums[col] = num
	}
	age := time.Duration(nums[6]) * time.Millisecond
	return positionReport{
		// Upstreams return the boolean is_primary as t, true or 1.
		position:    posn.Position{Term: posn.Term{Number: nums[0], Primary: row[1]}, Offset: nums[2]},
		primary:     row[3] == "t" || row[3] == "true" || row[3] == "1",
		lastEntry:   posn.Position{Term: posn.Term{Number: nums[4], Primary: row[5]}, Offset: nums[2]},
		lastContact: time.Now().Add(-age),
	}, nil
}

// queryPosition runs positionQuery on an idle connection.
func (co *conn) queryPosition(deadline time.Time) (positionReport, error) {
	_ = co.net.SetDeadline(deadline)
	rows, _, err := co.queryRows(positionQuery)
	if err != nil {
		return positionReport{}, err
	}
	_ = co.net.SetDeadline(time.Time{})
	if len(rows) != 1 {
		return positionReport{}, errors.Newf("position has %d rows", len(rows))
	}
	return parseReport(rows[0])
}

// isActive reports whether the upstream's backend with the given pid is running
// a statement.
func (co *conn) isActive(pid uint32, deadline time.Time) (bool, error) {
	_ = co.net.SetDeadline(deadline)
	rows, _, err := co.queryRows(fmt.Sprintf("SELECT count(*) FROM pg_stat_activity WHERE pid = %d AND state = 'active'", pid))
	if err != nil {
		return false, err
	}
	return len(rows) == 1 && rows[0][0] != "0", nil
}

// statementKey identifies a prepared statement by its text and parameter types.
func statementKey(query string, oids []uint32) string {
	raw := make([]byte, 0, 4*len(oids)+len(query))
	for _, oid := range oids {
		raw = binary.BigEndian.AppendUint32(raw, oid)
	}
	return string(raw) + query
}
