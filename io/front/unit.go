package front

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/core/class"
	"banyanspring/core/codes"
	"banyanspring/io/wire"
)

func isEOF(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// unit is a run of the caller's messages that is answered as a whole.
type unit struct {
	// messages are in the Postgres wire format.
	messages []byte
	// statements are those that the messages use but do not parse.
	statements map[string]*prepared
	// parsed are the statements that the messages parse.
	parsed map[string]*prepared
	// kinds are those of the statements that the messages execute.
	kinds []class.Kind
	// described are the kinds of statements that are only parsed or described.
	described []class.Kind
	// locals and others count messages on local and on other statements.
	locals, others int
	// closed are the portals that the messages close, by name.
	closed map[string]*prepared
	// options are those of the first statement that has any.
	options class.Options
	// syncs is true if the unit ends in Query or Sync.
	syncs bool
	// sticky is true if part of the unit was sent before, with Flush.
	sticky bool
}

func newUnit() *unit {
	return &unit{
		statements: make(map[string]*prepared),
		parsed:     make(map[string]*prepared),
		closed:     make(map[string]*prepared),
	}
}

func (un *unit) append(msg pgproto3.FrontendMessage) error {
	raw, err := msg.Encode(un.messages)
	if err != nil {
		return codes.Refuse(codes.ProtocolViolation, "%v", err)
	}
	un.messages = raw
	return nil
}

func (un *unit) execute(ba class.Batch) {
	for _, st := range ba.Statements {
		un.kinds = append(un.kinds, st.Kind)
	}
	if un.options == (class.Options{}) {
		un.options = ba.Options
	}
}

func (un *unit) count(ba class.Batch) {
	if ba.Kind() == class.Local {
		un.locals++
		return
	}
	un.others++
}

// isLocal reports whether the entry answers the unit itself.
func (un *unit) isLocal() bool { return un.locals > 0 && un.others == 0 }

// deciding returns the kinds that decide where the unit goes.
func (un *unit) deciding() []class.Kind {
	if len(un.kinds) > 0 {
		return un.kinds
	}
	return un.described
}

// isRead reports whether the unit may leave the primary.
func (un *unit) isRead() bool {
	if !un.syncs || un.sticky {
		return false
	}
	kinds := un.deciding()
	if len(kinds) == 1 && kinds[0] == class.BeginReadOnly {
		return true
	}
	for _, ki := range kinds {
		if ki != class.Read && ki != class.Empty && ki != class.Rollback && ki != class.Commit {
			return false
		}
	}
	return true
}

func (un *unit) isSingle(ki class.Kind) bool {
	return len(un.kinds) == 1 && un.kinds[0] == ki
}

func (un *unit) has(ki class.Kind) bool {
	for _, kind := range un.kinds {
		if kind == ki {
			return true
		}
	}
	return false
}

// hasEffect reports whether the unit executes anything but reads.
func (un *unit) hasEffect() bool { return len(un.kinds) > 0 && !un.isRead() }

func (un *unit) wireStatements() []*wire.Statement {
	out := make([]*wire.Statement, 0, len(un.statements))
	for name, pr := range un.statements {
		out = append(out, &wire.Statement{Name: name, Query: pr.query, ParameterOids: pr.oids})
	}
	return out
}

// query runs a simple query.
func (se *session) query(msg *pgproto3.Query) error {
	if se.batch != nil {
		return codes.Refuse(codes.ProtocolViolation, "query inside an extended batch")
	}
	ba, err := se.front.classes.Classify(msg.String)
	if err == nil && ba.Refusal() != nil {
		err = ba.Refusal()
	}
	if err != nil {
		return se.refuseUnit(codes.From(err), true)
	}
	if ba.Kind() == class.Empty {
		se.put(&pgproto3.EmptyQueryResponse{})
		return se.ready()
	}
	if ba.Kind() == class.Local {
		return se.localQuery(ba.Statements[0].Setting)
	}
	un := newUnit()
	un.syncs = true
	un.execute(ba)
	if err := un.append(msg); err != nil {
		return err
	}
	return se.run(un)
}

func (se *session) pending() *unit {
	if se.batch == nil {
		se.batch = newUnit()
		se.batch.sticky = se.held != nil && se.held.status == statusOpenBatch
	}
	return se.batch
}

// statusOpenBatch marks a stream whose extended batch waits for its Sync.
const statusOpenBatch = 'P'

// extend adds one message to the batch. A refusal is answered at once, and the
// rest of the batch is skipped.
func (se *session) extend(msg pgproto3.FrontendMessage) error {
	un := se.pending()
	if err := se.note(un, msg); err != nil {
		var ref *codes.Refusal
		if !errors.As(err, &ref) {
			return err
		}
		se.batch = nil
		se.skipping = true
		return se.refuseUnit(ref, false)
	}
	return un.append(msg)
}

// note keeps track of statements and portals.
func (se *session) note(un *unit, msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return se.noteParse(un, msg)
	case *pgproto3.Bind:
		pr, err := se.lookup(un, msg.PreparedStatement)
		if err != nil {
			return err
		}
		un.count(pr.batch)
		if se.portals == nil {
			se.portals = make(map[string]*prepared)
		}
		se.portals[msg.DestinationPortal] = pr
	case *pgproto3.Describe:
		return se.noteDescribe(un, msg)
	case *pgproto3.Execute:
		pr := se.portals[msg.Portal]
		if pr == nil {
			return codes.Refuse(codes.UnknownStatement, "portal %q", msg.Portal)
		}
		un.count(pr.batch)
		un.execute(pr.batch)
	case *pgproto3.Close:
		return se.noteClose(un, msg)
	}
	return nil
}

func (se *session) noteParse(un *unit, msg *pgproto3.Parse) error {
	ba, err := se.front.classes.Classify(msg.Query)
	if err != nil {
		return err
	}
	if ref := ba.Refusal(); ref != nil {
		return ref
	}
	pr := &prepared{query: msg.Query, oids: append([]uint32(nil), msg.ParameterOIDs...), batch: ba}
	un.parsed[msg.Name] = pr
	un.count(ba)
	for _, st := range ba.Statements {
		un.described = append(un.described, st.Kind)
	}
	return nil
}

func (se *session) noteDescribe(un *unit, msg *pgproto3.Describe) error {
	if msg.ObjectType == 'P' {
		if pr := se.portals[msg.Name]; pr != nil {
			un.count(pr.batch)
		}
		return nil
	}
	pr, err := se.lookup(un, msg.Name)
	if err != nil {
		return err
	}
	un.count(pr.batch)
	for _, st := range pr.batch.Statements {
		un.described = append(un.described, st.Kind)
	}
	return nil
}

func (se *session) noteClose(un *unit, msg *pgproto3.Close) error {
	if msg.ObjectType == 'P' {
		if pr := se.portals[msg.Name]; pr != nil {
			un.count(pr.batch)
			un.closed[msg.Name] = pr
		}
		return nil
	}
	delete(se.statements, msg.Name)
	return nil
}

// lookup finds a statement of the batch or of the session.
func (se *session) lookup(un *unit, name string) (*prepared, error) {
	if pr := un.parsed[name]; pr != nil {
		return pr, nil
	}
	pr := se.statements[name]
	if pr == nil {
		return nil, codes.Refuse(codes.UnknownStatement, "%q", name)
	}
	un.statements[name] = pr
	return pr, nil
}

// remember keeps the statements that a batch has parsed, and forgets the
// portals that it has closed.
func (se *session) remember(un *unit) {
	for name, pr := range un.closed {
		if se.portals[name] == pr {
			delete(se.portals, name)
		}
	}
	if len(un.parsed) == 0 {
		return
	}
	if se.statements == nil {
		se.statements = make(map[string]*prepared, len(un.parsed))
	}
	for name, pr := range un.parsed {
		se.statements[name] = pr
	}
}

// sync ends the extended batch.
func (se *session) sync(msg *pgproto3.Sync) error {
	un := se.batch
	se.batch = nil
	if se.skipping {
		se.skipping = false
		if se.held == nil || se.held.status != statusOpenBatch {
			return se.ready()
		}
		un = nil
	}
	if un == nil {
		if se.held == nil || se.held.status != statusOpenBatch {
			return se.ready()
		}
		un = newUnit()
		un.sticky = true
	}
	if un.locals > 0 && un.others > 0 {
		return se.refuseUnit(codes.Refuse(codes.LocalInBatch, ""), true)
	}
	un.syncs = true
	if un.isLocal() {
		se.remember(un)
		return se.localBatch(un)
	}
	if len(un.messages) == 0 && !un.sticky {
		return se.ready()
	}
	if err := un.append(msg); err != nil {
		return err
	}
	return se.run(un)
}

// flushBatch sends what there is of the batch and leaves it open. A portal or
// statement of a local setting waits for the Sync.
func (se *session) flushBatch(msg *pgproto3.Flush) error {
	un := se.batch
	if se.skipping || un == nil || un.locals > 0 {
		return nil
	}
	se.batch = nil
	if err := un.append(msg); err != nil {
		return err
	}
	return se.run(un)
}
