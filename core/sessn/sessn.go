// Package sessn holds what a caller's session must remember to read its own
// writes.
package sessn

import (
	"time"

	"banyanspring/core/posn"
)

// State is the immutable consistency state of one session on one database.
type State struct {
	// Floor is the lowest position that a read of the session may see. It
	// never falls.
	Floor posn.Position
	// Arrived is when the session reached this daemon.
	Arrived time.Time
	// Settled is true once Floor includes all writes that the session made
	// before it arrived.
	Settled bool
	// ReadClass names the read class in use; empty for the service's default.
	ReadClass string
	// RequestKey is attached to the next statement or transaction; empty if
	// none.
	RequestKey string
}

// New returns the state of a session that arrived without a token.
func New(arrived time.Time) State { return State{Arrived: arrived} }

// WithToken returns a state whose floor the caller carried along.
func (st State) WithToken(floor posn.Position) State {
	st.Floor = st.Floor.Max(floor)
	st.Settled = true
	return st
}

// WithArrivalFloor returns a state with a floor that was asked for at the time
// given. A floor asked for before the session arrived does not settle it.
func (st State) WithArrivalFloor(floor posn.Position, asked time.Time) State {
	if asked.Before(st.Arrived) {
		return st
	}
	st.Floor = st.Floor.Max(floor)
	st.Settled = true
	return st
}

// WithAcknowledged returns a state after a write of the session was confirmed.
// It settles the session: the write follows everything acknowledged before.
func (st State) WithAcknowledged(at posn.Position) State {
	st.Floor = st.Floor.Max(at)
	st.Settled = true
	return st
}

// WithoutSettlement returns a state that asks for a floor again, since its own
// is of a term that has ended.
func (st State) WithoutSettlement(now time.Time) State {
	st.Settled = false
	st.Arrived = now
	return st
}

// WithReadClass returns a state that uses the read class.
func (st State) WithReadClass(name string) State {
	st.ReadClass = name
	return st
}

// WithRequestKey returns a state whose next request carries the key.
func (st State) WithRequestKey(key string) State {
	st.RequestKey = key
	return st
}
