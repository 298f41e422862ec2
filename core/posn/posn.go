// Package posn defines log positions of database groups and their order.
package posn

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Term identifies one period of leadership in a database group. Terms are totally
// ordered by number, then by the name of the upstream that claimed the number.
type Term struct {
	// Number grows by one with each change of primary.
	Number uint64
	// Primary is the name of the upstream that claimed the number.
	Primary string
}

// Compare returns -1, 0 or 1 as te is below, equal to or above other.
func (te Term) Compare(other Term) int {
	if ord := cmp.Compare(te.Number, other.Number); ord != 0 {
		return ord
	}
	return cmp.Compare(te.Primary, other.Primary)
}

// Position is a position in the log of a database group.
type Position struct {
	// Term is the term in which the log entry was written.
	Term Term
	// Offset counts log entries or bytes. Offsets of different terms are not
	// comparable.
	Offset uint64
}

// IsZero reports whether po is the zero position, which precedes every write.
func (po Position) IsZero() bool { return po == Position{} }

// Compare orders positions by term first, then by offset.
func (po Position) Compare(other Position) int {
	if ord := po.Term.Compare(other.Term); ord != 0 {
		return ord
	}
	return cmp.Compare(po.Offset, other.Offset)
}

// Max returns the higher of po and other.
func (po Position) Max(other Position) Position {
	if po.Compare(other) >= 0 {
		return po
	}
	return other
}

// Covers reports whether data at po includes every write up to the minimum
// position; inService is whether the term of po is in service. A position of a
// higher term covers the minimum only if that term is in service, because a newly
// promoted replica may lack acknowledged writes.
func (po Position) Covers(minimum Position, inService bool) bool {
	if minimum.IsZero() {
		return true
	}
	switch ord := po.Term.Compare(minimum.Term); {
	case ord < 0:
		return false
	case ord == 0:
		return po.Offset >= minimum.Offset
	default:
		return inService
	}
}

// Behind returns 0 if po covers the minimum position, 1 if it does not and the terms
// differ, and otherwise how far its offset is below that of the minimum.
func (po Position) Behind(minimum Position, inService bool) uint64 {
	if po.Covers(minimum, inService) {
		return 0
	}
	if po.Term != minimum.Term {
		return 1
	}
	return minimum.Offset - po.Offset
}

// ErrBadToken is returned by Parse for a malformed session token.
var ErrBadToken = errors.New("malformed session token")

// String returns the position as a session token, "number:offset:primary".
func (po Position) String() string {
	num := strconv.FormatUint(po.Term.Number, 10)
	off := strconv.FormatUint(po.Offset, 10)
	return num + ":" + off + ":" + po.Term.Primary
}

// Parse parses a session token that String returned. The error is ErrBadToken.
func Parse(token string) (Position, error) {
	parts := strings.SplitN(token, ":", 3)
	if len(parts) != 3 {
		return Position{}, ErrBadToken
	}
	num, err := strconv.ParseUint(parts[0], 10, 64)
	if err != nil {
		return Position{}, ErrBadToken
	}
	off, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Position{}, ErrBadToken
	}
	return Position{Term: Term{Number: num, Primary: parts[2]}, Offset: off}, nil
}
