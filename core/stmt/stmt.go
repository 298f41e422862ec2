// Package stmt defines statements, their results and transaction states,
// independent of any wire format.
package stmt

import (
	"banyanspring/core/codes"
	"banyanspring/core/posn"
)

// Kind is the kind of a statement.
type Kind uint8

// Statement kinds.
const (
	// Begin opens a transaction that may write.
	Begin Kind = iota + 1
	// BeginRead opens a transaction that only reads.
	BeginRead
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
	// Discard resets the session variables of a connection and removes its
	// prepared statements.
	Discard
	// Status asks an upstream for a report of its own state.
	Status
)

// kindNames maps kinds to the names used in logs and metrics.
var kindNames = [...]string{
	Begin: "begin", BeginRead: "begin_read", Commit: "commit", Rollback: "rollback", Read: "read",
	Write: "write", Set: "set", Prepare: "prepare", Execute: "execute", Deallocate: "deallocate",
	Discard: "discard", Status: "status",
}

// String returns the name used in logs and metrics, or "" for an unknown kind.
func (ki Kind) String() string {
	if int(ki) < len(kindNames) {
		return kindNames[ki]
	}
	return ""
}

// Statement is one statement of a caller or of the system itself.
type Statement struct {
	// RequestID is the ID that the caller gave; empty for a statement that the
	// system issues.
	RequestID string
	Kind      Kind
	// Text is the statement as the caller sent it; empty for a statement that
	// the system issues.
	Text string
	// Name is the name of a session variable or of a prepared statement.
	Name string
	// Argument follows Name: the value for Set, the text to prepare for Prepare,
	// and the parameters for Execute.
	Argument string
	// Writes reports whether a prepared statement changes data. It is set for
	// Prepare, and for Execute once the name is resolved.
	Writes bool
	// MinPosition is the lowest log position of the upstream at which the statement
	// may run; zero for any position.
	MinPosition posn.Position
}

// IsWrite reports whether the statement changes data.
func (st Statement) IsWrite() bool {
	return st.Kind == Write || (st.Kind == Execute && st.Writes)
}

// IsData reports whether the statement reads or writes data.
func (st Statement) IsData() bool {
	return st.Kind == Read || st.Kind == Write || st.Kind == Execute
}

// State is the state of a transaction.
type State uint8

// Transaction states.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open and has not failed.
	Open
	// Failed means that a transaction is open and can only be rolled back.
	Failed
)

// Result is an upstream's complete answer to one statement.
type Result struct {
	// Rows holds the encoded rows in order.
	Rows []byte
	// Receipt is the text by which the upstream confirms that it ran the
	// statement.
	Receipt string
	// Code is codes.OK for success.
	Code codes.Code
	// Detail explains a code other than OK; may be empty.
	Detail string
	// State is the transaction state after the statement.
	State State
	// Position is the log position that the upstream has applied; zero if
	// unknown.
	Position posn.Position
}
