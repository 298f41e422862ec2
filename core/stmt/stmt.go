// Package stmt holds statements, results and transaction states apart from any
// wire format.
package stmt

import (
	"banyanspring/core/codes"
	"banyanspring/core/posn"
)

// Kind is what a statement does.
type Kind uint8

// Kinds of statements.
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
	// Discard clears the values and prepared statements of a connection.
	Discard
)

// kindNames holds the names used in logs and metrics.
var kindNames = [...]string{
	Begin: "begin", BeginRead: "begin_read", Commit: "commit", Rollback: "rollback", Read: "read",
	Write: "write", Set: "set", Prepare: "prepare", Execute: "execute", Deallocate: "deallocate",
	Discard: "discard",
}

// String returns the name used in logs and metrics.
func (ki Kind) String() string {
	if int(ki) < len(kindNames) {
		return kindNames[ki]
	}
	return ""
}

// Statement is one statement of a caller or of the system itself.
type Statement struct {
	// RequestID is the caller's; empty for a statement that the system issues.
	RequestID string
	Kind      Kind
	// Text is the statement as the caller sent it; empty for a statement that
	// the system issues.
	Text string
	// Name is that of a value or of a prepared statement.
	Name string
	// Argument is what follows the name: a value, a shape or parameters.
	Argument string
	// Writes is set for Prepare, and for Execute once its name is resolved.
	Writes bool
	// Floor is the lowest log position at which the statement may run; zero if
	// any will do.
	Floor posn.Position
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

// States of a transaction.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open.
	Open
	// Failed means that the open transaction can only be rolled back.
	Failed
)

// Result is an upstream's whole answer to one statement.
type Result struct {
	// Rows holds the encoded rows in order.
	Rows []byte
	// Receipt is the upstream's proof that it ran the statement.
	Receipt string
	// Code is codes.OK for success.
	Code codes.Code
	// Detail explains a code other than OK; may be empty.
	Detail string
	State  State
	// Position is how far the upstream has applied its log; zero if unknown.
	Position posn.Position
}
