package home

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/core/codes"
	"banyanspring/io/frame"
	"banyanspring/io/wire"
)

// answerKind says which messages complete an expected answer.
type answerKind uint8

const (
	answerParse answerKind = iota
	answerBind
	answerDescribe
	answerExecute
	answerClose
	answerSync
	answerQuery
	// answerPosition is the answer to the position query behind a unit.
	answerPosition
)

// expected is one answer that the upstream owes, or that the home gives itself.
type expected struct {
	kind answerKind
	// local is sent in place of an upstream's answer; nil otherwise.
	local pgproto3.BackendMessage
	// hidden answers are not passed on.
	hidden bool
	// key is remembered as prepared under name once a Parse completes.
	key, name string
}

// plan is a unit translated for one connection.
type plan struct {
	co *conn
	// keys maps the session's statement names to statement keys.
	keys map[string]prepared
	// sent holds the statements that this unit prepares.
	sent map[string]string
	// answers are in the order of the upstream's answers.
	answers []expected
	// ends is true if the last message is a Query or a Sync.
	ends bool
}

type prepared struct {
	key   string
	query string
	oids  []uint32
}

func newPlan(co *conn, statements []*wire.Statement) *plan {
	pl := &plan{
		co:   co,
		keys: make(map[string]prepared, len(statements)),
		sent: make(map[string]string),
	}
	for _, st := range statements {
		pl.define(st.Name, st.Query, st.ParameterOids)
	}
	return pl
}

func (pl *plan) define(name, query string, oids []uint32) prepared {
	pr := prepared{key: statementKey(query, oids), query: query, oids: oids}
	pl.keys[name] = pr
	return pr
}

func (pl *plan) expect(ex expected) { pl.answers = append(pl.answers, ex) }

// translate queues the unit's messages on the connection.
func (pl *plan) translate(raw []byte) error {
	pl.closeEvicted()
	for len(raw) > 0 {
		msg, size, err := frame.Decode(raw)
		if err != nil {
			return err
		}
		raw = raw[size:]
		if err := pl.message(msg); err != nil {
			return err
		}
	}
	return nil
}

func (pl *plan) closeEvicted() {
	for _, name := range pl.co.evicted {
		pl.co.fe.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
		pl.expect(expected{kind: answerClose, hidden: true})
	}
	pl.co.evicted = nil
}

func (pl *plan) message(msg pgproto3.FrontendMessage) error {
	fe := pl.co.fe
	pl.ends = false
	switch msg := msg.(type) {
	case *pgproto3.Query:
		fe.Send(msg)
		pl.expect(expected{kind: answerQuery})
		pl.ends = true
	case *pgproto3.Sync:
		fe.Send(msg)
		pl.expect(expected{kind: answerSync})
		pl.ends = true
	case *pgproto3.Parse:
		pl.parse(msg)
	case *pgproto3.Bind:
		name, err := pl.physical(msg.PreparedStatement)
		if err != nil {
			return err
		}
		msg.PreparedStatement = name
		fe.Send(msg)
		pl.expect(expected{kind: answerBind})
	case *pgproto3.Describe:
		return pl.describe(msg)
	case *pgproto3.Execute:
		fe.Send(msg)
		pl.expect(expected{kind: answerExecute})
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
	pr := pl.define(msg.Name, msg.Query, append([]uint32(nil), msg.ParameterOIDs...))
	if _, ok := pl.lookup(pr.key); ok {
		pl.expect(expected{kind: answerParse, local: &pgproto3.ParseComplete{}})
		return
	}
	pl.prepare(pr, false)
}

func (pl *plan) lookup(key string) (string, bool) {
	if name, ok := pl.sent[key]; ok {
		return name, true
	}
	return pl.co.statements.Get(key)
}

func (pl *plan) prepare(pr prepared, hidden bool) string {
	pl.co.nextID++
	name := "bs_" + strconv.Itoa(pl.co.nextID)
	pl.co.fe.Send(&pgproto3.Parse{Name: name, Query: pr.query, ParameterOIDs: pr.oids})
	pl.sent[pr.key] = name
	pl.expect(expected{kind: answerParse, hidden: hidden, key: pr.key, name: name})
	return name
}

// physical returns the connection's name of a session's statement and prepares
// it there if it is not.
func (pl *plan) physical(name string) (string, error) {
	pr, ok := pl.keys[name]
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
		name, err := pl.physical(msg.Name)
		if err != nil {
			return err
		}
		msg.Name = name
	}
	pl.co.fe.Send(msg)
	pl.expect(expected{kind: answerDescribe})
	return nil
}

func (pl *plan) closeObject(msg *pgproto3.Close) {
	if msg.ObjectType == 'S' {
		// The connection keeps the statement for other sessions.
		pl.expect(expected{kind: answerClose, local: &pgproto3.CloseComplete{}})
		return
	}
	pl.co.fe.Send(msg)
	pl.expect(expected{kind: answerClose})
}

// askPosition queues the position query behind the unit.
func (pl *plan) askPosition() {
	pl.co.fe.Send(&pgproto3.Query{String: positionQuery})
	pl.expect(expected{kind: answerPosition})
}

// errCrossed says that an answer does not match what was asked.
var errCrossed = errors.New("answer does not match the request")

// completes reports whether the message completes the expected answer. The
// error is errCrossed if the message cannot be part of it.
func (ex expected) completes(msg pgproto3.BackendMessage) (bool, error) {
	switch msg.(type) {
	case *pgproto3.ParseComplete:
		return ex.only(answerParse)
	case *pgproto3.BindComplete:
		return ex.only(answerBind)
	case *pgproto3.CloseComplete:
		return ex.only(answerClose)
	case *pgproto3.NoData:
		return ex.only(answerDescribe)
	case *pgproto3.RowDescription:
		if ex.kind == answerQuery || ex.kind == answerPosition {
			return false, nil
		}
		return ex.only(answerDescribe)
	case *pgproto3.ParameterDescription:
		_, err := ex.only(answerDescribe)
		return false, err
	case *pgproto3.DataRow:
		if ex.kind == answerQuery || ex.kind == answerPosition {
			return false, nil
		}
		_, err := ex.only(answerExecute)
		return false, err
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		if ex.kind == answerQuery || ex.kind == answerPosition {
			return false, nil
		}
		return ex.only(answerExecute)
	case *pgproto3.ReadyForQuery:
		if ex.kind == answerQuery || ex.kind == answerPosition {
			return true, nil
		}
		return ex.only(answerSync)
	}
	return false, errCrossed
}

func (ex expected) only(kind answerKind) (bool, error) {
	if ex.kind != kind {
		return false, errCrossed
	}
	return true, nil
}
