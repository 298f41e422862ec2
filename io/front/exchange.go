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

// completion says what the unit's completion waits for.
func (rq *request) completion() wire.Completion {
	held := rq.se.held
	switch {
	case held != nil && held.readOnly, held == nil && rq.un.isRead():
		return wire.Completion_COMPLETION_UNSPECIFIED
	case held != nil && held.status != statusOpenBatch && !rq.mayEnd():
		return wire.Completion_COMPLETION_UNSPECIFIED
	case held == nil && rq.un.isSingle(class.Begin), len(rq.un.kinds) == 0 && !rq.un.sticky:
		return wire.Completion_COMPLETION_UNSPECIFIED
	case rq.target.Service.Acknowledge == docum.AckPrimary:
		return wire.Completion_COMPLETION_POSITION
	}
	return wire.Completion_COMPLETION_MAJORITY
}

// mayEnd reports whether the unit may commit the open transaction.
func (rq *request) mayEnd() bool { return rq.un.has(class.Commit) }

func (rq *request) unitMessage(now time.Time) *wire.RunRequest {
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

// exchange sends the unit and passes the answer on. The error is a refusal.
func (rq *request) exchange(ctx context.Context, st *peer.Stream, op *wire.Open) (*wire.UnitEnd, error) {
	se := rq.se
	if op != nil {
		if err := st.Send(&wire.RunRequest{Kind: &wire.RunRequest_Open{Open: op}}); err != nil {
			return nil, codes.Refuse(codes.PeerUnreached, "%v", err)
		}
	}
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	se.setCurrent(st)
	defer se.setCurrent(nil)
	// A home that ended the stream has said why; the answer is read below.
	sendErr := se.send(st, rq.unitMessage(se.front.now()))
	for {
		re, err := st.Recv()
		if err != nil {
			return nil, rq.streamLost(errors.CombineErrors(sendErr, err))
		}
		if raw := re.GetMessages(); raw != nil {
			if err := rq.forward(raw); err != nil {
				return nil, err
			}
			continue
		}
		if !stop() {
			// The deadline passed just now and the stream is closing.
			st.Release = st.Close
		}
		return re.GetEnd(), rq.ended(re.GetEnd())
	}
}

// ended turns the end of a unit into a refusal, or notes what was written.
func (rq *request) ended(end *wire.UnitEnd) error {
	se := rq.se
	if ref := wire.RefusalOf(end, se.front.now()); ref != nil {
		return ref
	}
	if end.Position == nil {
		return nil
	}
	se.state = se.state.WithAcknowledged(wire.ToPosition(end.Position))
	if se.reportToken {
		se.put(&pgproto3.ParameterStatus{Name: settingToken, Value: se.state.Floor.String()})
	}
	return nil
}

// streamLost tells what a broken stream means for the request. The home may
// have run all of it.
func (rq *request) streamLost(err error) error {
	held := rq.se.held
	switch {
	case held == nil && rq.un.isRead(), held != nil && held.readOnly:
		return codes.Refuse(codes.PeerUnreached, "%v", err)
	case rq.completion() != wire.Completion_COMPLETION_UNSPECIFIED:
		return codes.Refuse(codes.OutcomeUnknown, "%v", err)
	case held != nil:
		return codes.Refuse(codes.TransactionLost, "%v", err)
	default:
		return codes.Refuse(codes.PeerUnreached, "%v", err)
	}
}
