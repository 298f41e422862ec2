// Package wire holds the protocol between daemons: the generated gRPC messages
// and their conversion to and from the core types.
package wire

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"banyanspring/core/codes"
	"banyanspring/core/posn"
)

// FromPosition converts a position to its message.
func FromPosition(po posn.Position) *Position {
	return &Position{TermNumber: po.Term.Number, TermPrimary: po.Term.Primary, Offset: po.Offset}
}

// ToPosition converts a message to a position; nil becomes the zero position.
func ToPosition(msg *Position) posn.Position {
	te := posn.Term{Number: msg.GetTermNumber(), Primary: msg.GetTermPrimary()}
	return posn.Position{Term: te, Offset: msg.GetOffset()}
}

// Remaining converts a deadline to the time until it, 0 if it has passed.
// Durations are sent instead of deadlines because the clocks of daemons differ.
func Remaining(deadline, now time.Time) *durationpb.Duration {
	return durationpb.New(max(0, deadline.Sub(now)))
}

// Deadline converts the remaining time back to a deadline on the local clock.
func Deadline(left *durationpb.Duration, now time.Time) time.Time {
	return now.Add(left.AsDuration())
}

// FromRefusal converts a refusal to the end of a unit.
func FromRefusal(ref *codes.Refusal, now time.Time) *UnitEnd {
	end := &UnitEnd{Code: uint32(ref.Code), Detail: ref.Detail}
	if !ref.RetryAt.IsZero() {
		end.RetryAfter = Remaining(ref.RetryAt, now)
	}
	return end
}

// ToRefusal converts the end of a unit to a refusal, or nil if the unit was not
// refused.
func ToRefusal(end *UnitEnd, now time.Time) *codes.Refusal {
	if end.GetCode() == 0 {
		return nil
	}
	ref := &codes.Refusal{Code: codes.Code(end.Code), Detail: end.Detail}
	if end.RetryAfter != nil {
		ref = ref.WithRetryAt(Deadline(end.RetryAfter, now))
	}
	return ref
}
