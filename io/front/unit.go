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

// isConnClosed reports whether err says that either side closed the connection.
func isConnClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// unit is a sequence of the caller's messages that is routed and answered as a
// whole: one Query, or the part of a batch up to a Flush or Sync.
type unit struct {
	// messages are in the Postgres wire format.
	messages []byte
	// referenced holds the session's statements that the messages use, by name.
	referenced map[string]*prepared
	// parsed holds the statements that the messages parse, by name.
	parsed map[string]*prepared
	// executedKinds are the kinds of the statements that the messages execute.
	executedKinds []class.Kind
	// describedKinds are the kinds of the statements that the messages parse or
	// describe.
	describedKinds []class.Kind
	// localMessages and otherMessages count the messages that refer to local and
	// to other statements.
	localMessages, otherMessages int
	// closedPortals holds the portals that the messages close, by name.
	closedPortals map[string]*prepared
	// options are those of the first executed query text that has any.
	options class.Options
	// expectsReady is true if the unit ends in Query or Sync, so that the reply
	// ends in ReadyForQuery.
	expectsReady bool
	// followsFlush is true if an earlier part of the same batch was sent with Flush.
	followsFlush bool
}

func newUnit() *unit {
	return &unit{
		referenced:    make(map[string]*prepared),
		parsed:        make(map[string]*prepared),
		closedPortals: make(map[string]*prepared),
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

// addExecuted records the kinds and options of an executed query text.
func (un *unit) addExecuted(ba class.Batch) {
	for _, st := range ba.Statements {
		un.executedKinds = append(un.executedKinds, st.Kind)
	}
	if un.options == (class.Options{}) {
		un.options = ba.Options
	}
}

// countMessage counts a message that refers to the query text.
func (un *unit) countMessage(ba class.Batch) {
	if ba.Kind() == class.Local {
		un.localMessages++
		return
	}
	un.otherMessages++
}

// isLocal reports whether this daemon answers the whole unit itself.
func (un *unit) isLocal() bool { return un.localMessages > 0 && un.otherMessages == 0 }

// routingKinds returns the kinds that decide where the unit is routed: those of
// the executed statements, or of the described ones if none is executed.
func (un *unit) routingKinds() []class.Kind {
	if len(un.executedKinds) > 0 {
		return un.executedKinds
	}
	return un.describedKinds
}

// isRead reports whether the unit may run on a replica.
func (un *unit) isRead() bool {
	if !un.expectsReady || un.followsFlush {
		return false
	}
	kinds := un.routingKinds()
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
	return len(un.executedKinds) == 1 && un.executedKinds[0] == ki
}

func (un *unit) hasKind(ki class.Kind) bool {
	for _, kind := range un.executedKinds {
		if kind == ki {
			return true
		}
	}
	return false
}

// hasEffect reports whether the unit executes anything but reads.
func (un *unit) hasEffect() bool { return len(un.executedKinds) > 0 && !un.isRead() }

// wireStatements returns the referenced statements in the form of the peer
// protocol.
func (un *unit) wireStatements() []*wire.Statement {
	out := make([]*wire.Statement, 0, len(un.referenced))
	for name, pr := range un.referenced {
		out = append(out, &wire.Statement{Name: name, Query: pr.query, ParameterOids: pr.paramOIDs})
	}
	return out
}

// handleQuery handles a message of the simple query protocol.
func (se *session) handleQuery(msg *pgproto3.Query) error {
	if se.unit != nil {
		return codes.Refuse(codes.ProtocolViolation, "query inside an extended batch")
	}
	ba, err := se.front.classifier.Classify(msg.String)
	if err == nil && ba.Refusal() != nil {
		err = ba.Refusal()
	}
	if err != nil {
		return se.refuseUnit(codes.From(err), true)
	}
	if ba.Kind() == class.Empty {
		se.bufferMessage(&pgproto3.EmptyQueryResponse{})
		return se.sendReady()
	}
	if ba.Kind() == class.Local {
		return se.localQuery(ba.Statements[0].Setting)
	}
	un := newUnit()
	un.expectsReady = true
	un.addExecuted(ba)
	if err := un.append(msg); err != nil {
		return err
	}
	return se.run(un)
}

// currentUnit returns the unit that collects the open batch, and begins one if there
// is none.
func (se *session) currentUnit() *unit {
	if se.unit == nil {
		se.unit = newUnit()
		se.unit.followsFlush = se.pinned != nil && se.pinned.status == statusOpenBatch
	}
	return se.unit
}

// statusOpenBatch is the status of a stream on which a part of a batch was sent
// with Flush and the Sync was not yet sent.
const statusOpenBatch = 'P'

// addToUnit adds one message of a batch to the current unit. A refusal is answered
// immediately, and the rest of the batch is skipped.
func (se *session) addToUnit(msg pgproto3.FrontendMessage) error {
	un := se.currentUnit()
	if err := se.trackNames(un, msg); err != nil {
		var ref *codes.Refusal
		if !errors.As(err, &ref) {
			return err
		}
		se.unit = nil
		se.skipUntilSync = true
		return se.refuseUnit(ref, false)
	}
	return un.append(msg)
}

// trackNames updates the names of statements and portals from one message, and
// records in the unit which statements it refers to.
func (se *session) trackNames(un *unit, msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return se.trackParse(un, msg)
	case *pgproto3.Bind:
		pr, err := se.findStatement(un, msg.PreparedStatement)
		if err != nil {
			return err
		}
		un.countMessage(pr.classified)
		if se.portals == nil {
			se.portals = make(map[string]*prepared)
		}
		se.portals[msg.DestinationPortal] = pr
	case *pgproto3.Describe:
		return se.trackDescribe(un, msg)
	case *pgproto3.Execute:
		pr := se.portals[msg.Portal]
		if pr == nil {
			return codes.Refuse(codes.UnknownStatement, "portal %q", msg.Portal)
		}
		un.countMessage(pr.classified)
		un.addExecuted(pr.classified)
	case *pgproto3.Close:
		return se.trackClose(un, msg)
	}
	return nil
}

func (se *session) trackParse(un *unit, msg *pgproto3.Parse) error {
	ba, err := se.front.classifier.Classify(msg.Query)
	if err != nil {
		return err
	}
	if ref := ba.Refusal(); ref != nil {
		return ref
	}
	pr := &prepared{query: msg.Query, paramOIDs: append([]uint32(nil), msg.ParameterOIDs...), classified: ba}
	un.parsed[msg.Name] = pr
	un.countMessage(ba)
	for _, st := range ba.Statements {
		un.describedKinds = append(un.describedKinds, st.Kind)
	}
	return nil
}

func (se *session) trackDescribe(un *unit, msg *pgproto3.Describe) error {
	if msg.ObjectType == 'P' {
		if pr := se.portals[msg.Name]; pr != nil {
			un.countMessage(pr.classified)
		}
		return nil
	}
	pr, err := se.findStatement(un, msg.Name)
	if err != nil {
		return err
	}
	un.countMessage(pr.classified)
	for _, st := range pr.classified.Statements {
		un.describedKinds = append(un.describedKinds, st.Kind)
	}
	return nil
}

func (se *session) trackClose(un *unit, msg *pgproto3.Close) error {
	if msg.ObjectType == 'P' {
		if pr := se.portals[msg.Name]; pr != nil {
			un.countMessage(pr.classified)
			un.closedPortals[msg.Name] = pr
		}
		return nil
	}
	delete(se.statements, msg.Name)
	return nil
}

// findStatement finds a statement that the unit parses or the session holds, and
// records a use of the latter in the unit.
func (se *session) findStatement(un *unit, name string) (*prepared, error) {
	if pr := un.parsed[name]; pr != nil {
		return pr, nil
	}
	pr := se.statements[name]
	if pr == nil {
		return nil, codes.Refuse(codes.UnknownStatement, "%q", name)
	}
	un.referenced[name] = pr
	return pr, nil
}

// applyNameChanges adds the statements that a unit has parsed to the session and
// removes the portals that it has closed.
func (se *session) applyNameChanges(un *unit) {
	for name, pr := range un.closedPortals {
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

// handleSync ends the batch and runs what was not yet sent.
func (se *session) handleSync(msg *pgproto3.Sync) error {
	un := se.unit
	se.unit = nil
	if se.skipUntilSync {
		se.skipUntilSync = false
		if se.pinned == nil || se.pinned.status != statusOpenBatch {
			return se.sendReady()
		}
		un = nil
	}
	if un == nil {
		if se.pinned == nil || se.pinned.status != statusOpenBatch {
			return se.sendReady()
		}
		un = newUnit()
		un.followsFlush = true
	}
	if un.localMessages > 0 && un.otherMessages > 0 {
		return se.refuseUnit(codes.Refuse(codes.LocalInBatch, ""), true)
	}
	un.expectsReady = true
	if un.isLocal() {
		se.applyNameChanges(un)
		return se.localBatch(un)
	}
	if len(un.messages) == 0 && !un.followsFlush {
		return se.sendReady()
	}
	if err := un.append(msg); err != nil {
		return err
	}
	return se.run(un)
}

// handleFlush runs the messages collected so far and leaves the batch open. A
// batch with local statements waits for its Sync instead.
func (se *session) handleFlush(msg *pgproto3.Flush) error {
	un := se.unit
	if se.skipUntilSync || un == nil || un.localMessages > 0 {
		return nil
	}
	se.unit = nil
	if err := un.append(msg); err != nil {
		return err
	}
	return se.run(un)
}
