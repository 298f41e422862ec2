// Package sessn holds the state of a caller's session that lets it read its own
// writes.
package sessn

import (
	"time"

	"banyanspring/core/posn"
)

// State is the immutable consistency state of one session on one database.
type State struct {
	// MinPosition is the lowest position at which a read of the session may run. It
	// never decreases.
	MinPosition posn.Position
	// ArrivedAt is when the session was opened on this daemon, or when it last
	// learned of a newer term. Only a position requested since then counts as
	// confirmed.
	ArrivedAt time.Time
	// MinPositionKnown is true once MinPosition includes all writes that the caller
	// made before ArrivedAt, in this session or an earlier one.
	MinPositionKnown bool
	// ReadClass is the name of the read class; empty for the service's default.
	ReadClass string
	// RequestKey is the idempotency key that the caller set for its next statement or
	// transaction; empty if none.
	RequestKey string
}

// New returns the state of a session that was opened without a token.
func New(arrived time.Time) State { return State{ArrivedAt: arrived} }

// WithToken returns a state with the position of a token that the caller sent.
func (st State) WithToken(at posn.Position) State {
	st.MinPosition = st.MinPosition.Max(at)
	st.MinPositionKnown = true
	return st
}

// WithConfirmedPosition returns a state with a confirmed position that was requested
// at the given time. A position requested before ArrivedAt is ignored, since it may
// precede writes that the caller made before ArrivedAt.
func (st State) WithConfirmedPosition(at posn.Position, requestedAt time.Time) State {
	if requestedAt.Before(st.ArrivedAt) {
		return st
	}
	st.MinPosition = st.MinPosition.Max(at)
	st.MinPositionKnown = true
	return st
}

// WithAcknowledged returns the state after a write of the session was
// acknowledged at a position. It sets MinPositionKnown, since this position follows
// all writes acknowledged before.
func (st State) WithAcknowledged(at posn.Position) State {
	st.MinPosition = st.MinPosition.Max(at)
	st.MinPositionKnown = true
	return st
}

// WithMinPositionUnknown returns a state that needs a confirmed position again,
// since the term of its MinPosition has ended. MinPosition itself stays.
func (st State) WithMinPositionUnknown(now time.Time) State {
	st.MinPositionKnown = false
	st.ArrivedAt = now
	return st
}

// WithReadClass returns a state with the read class.
func (st State) WithReadClass(name string) State {
	st.ReadClass = name
	return st
}

// WithRequestKey returns a state with the request key.
func (st State) WithRequestKey(key string) State {
	st.RequestKey = key
	return st
}
