package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"google.golang.org/protobuf/types/known/durationpb"

	"banyanspring/core/class"
	"banyanspring/core/codes"
	"banyanspring/core/docum"
	"banyanspring/io/peer"
	"banyanspring/io/wire"
)

// completion returns what the home must wait for or report when the unit ends.
// It is unspecified for units that cannot commit a write.
func (rq *request) completion() wire.Completion {
	ps := rq.se.pinned
	switch {
	case ps != nil && ps.readOnly, ps == nil && rq.un.isRead():
		return wire.Completion_COMPLETION_UNSPECIFIED
	case ps != nil && ps.status != statusOpenBatch && !rq.mayCommit():
		return wire.Completion_COMPLETION_UNSPECIFIED
	case ps == nil && rq.un.isSingle(class.Begin), len(rq.un.executedKinds) == 0 && !rq.un.followsFlush:
		return wire.Completion_COMPLETION_UNSPECIFIED
	case rq.target.Service.Acknowledge == docum.AckPrimary:
		return wire.Completion_COMPLETION_POSITION
	}
	return wire.Completion_COMPLETION_MAJORITY
}

// mayCommit reports whether the unit may commit the open transaction.
func (rq *request) mayCommit() bool { return rq.un.hasKind(class.Commit) }

// unitRequest returns the unit as a message of the Run stream.
func (rq *request) unitRequest(now time.Time) *wire.RunRequest {
	return &wire.RunRequest{Kind: &wire.RunRequest_Unit{Unit: &wire.Unit{
		Messages:      rq.un.messages,
		Statements:    rq.un.wireStatements(),
		Remaining:     wire.Remaining(rq.deadline, now),
		Completion:    rq.completion(),
		RequestKey:    rq.key,
		RequestKeyAge: durationpb.New(rq.target.Service.Limits.RequestKeyAge.Duration()),
		Begin:         rq.un.isSingle(class.Begin),
	}}}
}

// exchange sends the unit to the home, after op if it is not nil, and forwards
// the reply to the caller. The error is a *codes.Refusal or that of a write to the
// caller.
func (rq *request) exchange(ctx context.Context, st *peer.Stream, op *wire.Open) (*wire.UnitEnd, error) {
	se := rq.se
	if op != nil {
		if err := st.Send(&wire.RunRequest{Kind: &wire.RunRequest_Open{Open: op}}); err != nil {
			return nil, codes.Refuse(codes.PeerUnreached, "%v", err)
		}
	}
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	se.setCurrentStream(st)
	defer se.setCurrentStream(nil)
	// If the send fails because the home ended the stream, its reply with the
	// reason can still be received below.
	sendErr := se.send(st, rq.unitRequest(se.front.now()))
	for {
		re, err := st.Recv()
		if err != nil {
			return nil, rq.classifyStreamError(errors.CombineErrors(sendErr, err))
		}
		if raw := re.GetMessages(); raw != nil {
			if err := rq.forward(raw); err != nil {
				return nil, err
			}
			continue
		}
		if !stop() {
			// The deadline has just passed and the stream is closing, so it
			// must not be reused.
			st.Release = st.Close
		}
		return re.GetEnd(), rq.handleEnd(re.GetEnd())
	}
}

// handleEnd returns the refusal in the end of a unit, if any. Otherwise it raises
// the session's minimum position to that of an acknowledged write.
func (rq *request) handleEnd(end *wire.UnitEnd) error {
	se := rq.se
	if ref := wire.ToRefusal(end, se.front.now()); ref != nil {
		return ref
	}
	if end.Position == nil {
		return nil
	}
	se.state = se.state.WithAcknowledged(wire.ToPosition(end.Position))
	if se.reportToken {
		se.bufferMessage(&pgproto3.ParameterStatus{Name: settingToken, Value: se.state.MinPosition.String()})
	}
	return nil
}

// classifyStreamError returns the refusal for a broken stream. The home may have
// run the whole unit, so the outcome of a possible commit is unknown.
func (rq *request) classifyStreamError(err error) error {
	ps := rq.se.pinned
	switch {
	case ps == nil && rq.un.isRead(), ps != nil && ps.readOnly:
		return codes.Refuse(codes.PeerUnreached, "%v", err)
	case rq.completion() != wire.Completion_COMPLETION_UNSPECIFIED:
		return codes.Refuse(codes.OutcomeUnknown, "%v", err)
	case ps != nil:
		return codes.Refuse(codes.TransactionLost, "%v", err)
	default:
		return codes.Refuse(codes.PeerUnreached, "%v", err)
	}
}
