// Package wire is what daemons say to each other: generated messages, and their
// conversion to the types of the core.
package wire

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"banyanspring/core/codes"
	"banyanspring/core/posn"
)

// FromPosition converts a position for the wire.
func FromPosition(po posn.Position) *Position {
	return &Position{TermNumber: po.Term.Number, TermPrimary: po.Term.Primary, Offset: po.Offset}
}

// ToPosition converts a position from the wire; nil is the zero position.
func ToPosition(msg *Position) posn.Position {
	te := posn.Term{Number: msg.GetTermNumber(), Primary: msg.GetTermPrimary()}
	return posn.Position{Term: te, Offset: msg.GetOffset()}
}

// Remaining converts a deadline to the time that is left. Clocks of two
// daemons differ, so no deadline crosses the wire.
func Remaining(deadline, now time.Time) *durationpb.Duration {
	return durationpb.New(max(0, deadline.Sub(now)))
}

// Deadline converts the time that is left to a deadline.
func Deadline(left *durationpb.Duration, now time.Time) time.Time {
	return now.Add(left.AsDuration())
}

// EndOf builds the end of a unit from a refusal.
func EndOf(ref *codes.Refusal, now time.Time) *UnitEnd {
	end := &UnitEnd{Code: uint32(ref.Code), Detail: ref.Detail}
	if !ref.RetryAt.IsZero() {
		end.RetryAfter = Remaining(ref.RetryAt, now)
	}
	return end
}

// RefusalOf rebuilds a refusal from the end of a unit; nil if it has none.
func RefusalOf(end *UnitEnd, now time.Time) *codes.Refusal {
	if end.GetCode() == 0 {
		return nil
	}
	ref := &codes.Refusal{Code: codes.Code(end.Code), Detail: end.Detail}
	if end.RetryAfter != nil {
		ref = ref.WithRetryAt(Deadline(end.RetryAfter, now))
	}
	return ref
}
