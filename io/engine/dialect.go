// Package engine serves callers' sessions from groups of replicated databases.
// It handles statements, transactions, positions and connections; a Dialect
// converts them from and to the callers' wire format.
package engine

import (
	"bufio"

	"banyanspring/core/budget"
	"banyanspring/core/catlg"
	"banyanspring/core/codes"
	"banyanspring/core/posn"
	"banyanspring/core/stmt"
)

// RequestKind is the kind of a caller's message.
type RequestKind uint8

// The kinds of requests.
const (
	// Hello opens a session on a database.
	Hello RequestKind = iota + 1
	// Query carries a statement.
	Query
	// Terminate ends a session.
	Terminate
)

// Request is one message of a caller.
type Request struct {
	Kind RequestKind
	// Database is set for Hello. Key is the hash of the caller's key; not used if HasKey is
	// false.
	Database string
	HasKey   bool
	Key      catlg.KeyHash
	// Statement is set for Query.
	Statement stmt.Statement
	// Fault is set if the message was complete but cannot be served. The message
	// is answered with it, an open transaction is rolled back, and the session
	// continues.
	Fault *codes.Refusal
}

// Dialect is a wire format for callers. ReadRequest blocks until a message has
// arrived; the other functions only encode.
type Dialect struct {
	// ReadRequest reads a caller's next message. An error ends the session; if it
	// is a *codes.Refusal, the caller is sent it first by AppendRefusal.
	// Before it holds more of the message than rd does, it calls reserve, whose error it
	// returns.
	ReadRequest func(rd *bufio.Reader, reserve budget.Reserve) (Request, error)
	// AppendReady encodes the answer to a Hello that is accepted.
	AppendReady func(buf []byte, state stmt.State, po posn.Position) []byte
	// AppendResult encodes the complete answer to a statement.
	AppendResult func(buf []byte, res stmt.Result) []byte
	// AppendRefusal encodes a refusal that ends the session: the answer to a
	// Hello that is refused, or to a malformed message.
	AppendRefusal func(buf []byte, ref *codes.Refusal) []byte
}
