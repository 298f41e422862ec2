package home

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/core/codes"
	"banyanspring/io/frame"
	"banyanspring/io/wire"
)

// answerKind determines which messages complete an expected answer.
type answerKind uint8

const (
	answerParse answerKind = iota
	answerBind
	answerDescribe
	answerExecute
	answerClose
	answerSync
	answerQuery
	// answerPosition is the answer to the position query after a unit.
	answerPosition
)

// expectedAnswer is one answer that the upstream still has to send, or that the
// home generates itself.
type expectedAnswer struct {
	kind answerKind
	// local is sent in place of an answer of the upstream; nil otherwise.
	local pgproto3.BackendMessage
	// hidden answers are not forwarded.
	hidden bool
	// key and name are added to the connection's statement cache once a Parse
	// completes.
	key, name string
}

// plan is a unit translated for one connection.
type plan struct {
	co *conn
	// statements maps the session's names to prepared statements.
	statements map[string]statement
	// preparing maps the statementKeys of the statements that this unit
	// prepares to their names on the connection.
	preparing map[string]string
	// answers is in the order in which the upstream answers.
	answers []expectedAnswer
	// isComplete is true if the last message is a Query or a Sync.
	isComplete bool
}

type statement struct {
	key   string
	query string
	oids  []uint32
}

func newPlan(co *conn, statements []*wire.Statement) *plan {
	pl := &plan{
		co:         co,
		statements: make(map[string]statement, len(statements)),
		preparing:  make(map[string]string),
	}
	for _, st := range statements {
		pl.defineStatement(st.Name, st.Query, st.ParameterOids)
	}
	return pl
}

func (pl *plan) defineStatement(name, query string, oids []uint32) statement {
	pr := statement{key: statementKey(query, oids), query: query, oids: oids}
	pl.statements[name] = pr
	return pr
}

func (pl *plan) expect(ex expectedAnswer) { pl.answers = append(pl.answers, ex) }

// translate queues the unit's messages on the connection.
func (pl *plan) translate(raw []byte) error {
	pl.closeEvicted()
	for len(raw) > 0 {
		msg, size, err := frame.Decode(raw)
		if err != nil {
			return err
		}
		raw = raw[size:]
		if err := pl.translateMessage(msg); err != nil {
			return err
		}
	}
	return nil
}

func (pl *plan) closeEvicted() {
	for _, name := range pl.co.evicted {
		pl.co.fe.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
		pl.expect(expectedAnswer{kind: answerClose, hidden: true})
	}
	pl.co.evicted = nil
}

func (pl *plan) translateMessage(msg pgproto3.FrontendMessage) error {
	fe := pl.co.fe
	pl.isComplete = false
	switch msg := msg.(type) {
	case *pgproto3.Query:
		fe.Send(msg)
		pl.expect(expectedAnswer{kind: answerQuery})
		pl.isComplete = true
	case *pgproto3.Sync:
		fe.Send(msg)
		pl.expect(expectedAnswer{kind: answerSync})
		pl.isComplete = true
	case *pgproto3.Parse:
		pl.parse(msg)
	case *pgproto3.Bind:
		name, err := pl.upstreamStatement(msg.PreparedStatement)
		if err != nil {
			return err
		}
		msg.PreparedStatement = name
		fe.Send(msg)
		pl.expect(expectedAnswer{kind: answerBind})
	case *pgproto3.Describe:
		return pl.describe(msg)
	case *pgproto3.Execute:
		fe.Send(msg)
		pl.expect(expectedAnswer{kind: answerExecute})
	case *pgproto3.Close:
		pl.closeObject(msg)
	case *pgproto3.Flush:
		fe.Send(msg)
	default:
		return codes.Refuse(codes.ProtocolViolation, "unexpected %T", msg)
	}
	return nil
}

func (pl *plan) parse(msg *pgproto3.Parse) {
	pr := pl.defineStatement(msg.Name, msg.Query, append([]uint32(nil), msg.ParameterOIDs...))
	if _, ok := pl.lookup(pr.key); ok {
		pl.expect(expectedAnswer{kind: answerParse, local: &pgproto3.ParseComplete{}})
		return
	}
	pl.prepare(pr, false)
}

func (pl *plan) lookup(key string) (string, bool) {
	if name, ok := pl.preparing[key]; ok {
		return name, true
	}
	return pl.co.statements.Get(key)
}

func (pl *plan) prepare(pr statement, hidden bool) string {
	pl.co.nextStatementID++
	name := "bs_" + strconv.Itoa(pl.co.nextStatementID)
	pl.co.fe.Send(&pgproto3.Parse{Name: name, Query: pr.query, ParameterOIDs: pr.oids})
	pl.preparing[pr.key] = name
	pl.expect(expectedAnswer{kind: answerParse, hidden: hidden, key: pr.key, name: name})
	return name
}

// upstreamStatement returns the name on the connection of a session's prepared
// statement, and prepares it there if necessary.
func (pl *plan) upstreamStatement(name string) (string, error) {
	pr, ok := pl.statements[name]
	if !ok {
		return "", codes.Refuse(codes.UnknownStatement, "%q", name)
	}
	if have, ok := pl.lookup(pr.key); ok {
		return have, nil
	}
	return pl.prepare(pr, true), nil
}

func (pl *plan) describe(msg *pgproto3.Describe) error {
	if msg.ObjectType == 'S' {
		name, err := pl.upstreamStatement(msg.Name)
		if err != nil {
			return err
		}
		msg.Name = name
	}
	pl.co.fe.Send(msg)
	pl.expect(expectedAnswer{kind: answerDescribe})
	return nil
}

func (pl *plan) closeObject(msg *pgproto3.Close) {
	if msg.ObjectType == 'S' {
		// The connection keeps the statement for other sessions.
		pl.expect(expectedAnswer{kind: answerClose, local: &pgproto3.CloseComplete{}})
		return
	}
	pl.co.fe.Send(msg)
	pl.expect(expectedAnswer{kind: answerClose})
}

// askPosition queues the position query after the unit.
func (pl *plan) askPosition() {
	pl.co.fe.Send(&pgproto3.Query{String: positionQuery})
	pl.expect(expectedAnswer{kind: answerPosition})
}

// errUnexpectedAnswer is returned for a message that does not belong to the
// expected answer.
var errUnexpectedAnswer = errors.New("answer does not match the request")

// completes reports whether the message completes the expected answer. The
// error is errUnexpectedAnswer if the message cannot be part of it.
func (ex expectedAnswer) completes(msg pgproto3.BackendMessage) (bool, error) {
	switch msg.(type) {
	case *pgproto3.ParseComplete:
		return ex.completesOnly(answerParse)
	case *pgproto3.BindComplete:
		return ex.completesOnly(answerBind)
	case *pgproto3.CloseComplete:
		return ex.completesOnly(answerClose)
	case *pgproto3.NoData:
		return ex.completesOnly(answerDescribe)
	case *pgproto3.RowDescription:
		if ex.kind == answerQuery || ex.kind == answerPosition {
			return false, nil
		}
		return ex.completesOnly(answerDescribe)
	case *pgproto3.ParameterDescription:
		_, err := ex.completesOnly(answerDescribe)
		return false, err
	case *pgproto3.DataRow:
		if ex.kind == answerQuery || ex.kind == answerPosition {
			return false, nil
		}
		_, err := ex.completesOnly(answerExecute)
		return false, err
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		if ex.kind == answerQuery || ex.kind == answerPosition {
			return false, nil
		}
		return ex.completesOnly(answerExecute)
	case *pgproto3.ReadyForQuery:
		if ex.kind == answerQuery || ex.kind == answerPosition {
			return true, nil
		}
		return ex.completesOnly(answerSync)
	}
	return false, errUnexpectedAnswer
}

func (ex expectedAnswer) completesOnly(kind answerKind) (bool, error) {
	if ex.kind != kind {
		return false, errUnexpectedAnswer
	}
	return true, nil
}
