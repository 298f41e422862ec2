// Package engine serves callers' sessions from groups of replicated databases.
// It knows statements, transactions, positions and connections, but no wire
// format: a dialect translates.
package engine

import (
	"bufio"

	"banyanspring/core/codes"
	"banyanspring/core/posn"
	"banyanspring/core/stmt"
)

// RequestKind is what a caller's message asks for.
type RequestKind uint8

// Kinds of requests.
const (
	// Hello opens a session on a database.
	Hello RequestKind = iota + 1
	// Query carries a statement.
	Query
	// Goodbye ends a session.
	Goodbye
)

// Request is one message of a caller.
type Request struct {
	Kind RequestKind
	// Database is set for Hello.
	Database string
	// Statement is set for Query.
	Statement stmt.Statement
	// Fault is set if the message was whole but cannot be served.
	Fault *codes.Refusal
}

// Dialect is one wire format towards callers; its functions only translate.
type Dialect struct {
	// ReadRequest reads a caller's next message. After an error the session
	// cannot go on; a *codes.Refusal is told to the caller first.
	ReadRequest func(rd *bufio.Reader) (Request, error)
	// AppendReady encodes the answer to a Hello that was taken.
	AppendReady func(buf []byte, state stmt.State, po posn.Position) []byte
	// AppendResult encodes the whole answer to a statement.
	AppendResult func(buf []byte, res stmt.Result) []byte
	// AppendRefusal encodes the answer to a Hello that is refused.
	AppendRefusal func(buf []byte, ref *codes.Refusal) []byte
}
