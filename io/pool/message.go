package pool

import (
	"math"
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/posn"
	"banyanspring/core/stmt"
	"banyanspring/core/vars"
)

// batchMessage is the request to a home to run a batch.
type batchMessage struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Caller   string
	// QueueWaitMs bounds the wait in the queue, and TotalWaitMs the whole
	// request. SoftDeadlineMs is the time in which the statement should be
	// answered; noSoftDeadline if there is none. All count in milliseconds from
	// the message's arrival.
	QueueWaitMs    int64
	TotalWaitMs    int64
	SoftDeadlineMs int64
	Values         []string
	PreparedWrites bool
	PreparedText   string
	IgnoreVars     bool
	Keep           bool
	Statements     []statementMessage
}

type statementMessage struct {
	_                 struct{} `cbor:",toarray"`
	RequestID         string
	Kind              uint8
	Text              string
	Name              string
	Argument          string
	Writes            bool
	MinPositionTerm   uint64
	MinPositionOffset uint64
}

// resultsMessage is a home's answer to a batchMessage.
type resultsMessage struct {
	_ struct{} `cbor:",toarray"`
	// Refusal is the code of the refusal if the batch was not run; 0 otherwise.
	Refusal uint32
	Detail  string
	// Broken is the error of the upstream's connection; empty if there was none.
	Broken string
	// NotSent is true if the connection failed before a statement was sent in
	// full, and TimedOut if the upstream did not answer by the deadline.
	NotSent, TimedOut bool
	Results           []resultMessage
}

type resultMessage struct {
	_       struct{} `cbor:",toarray"`
	Rows    []byte
	Receipt string
	Code    uint32
	Detail  string
	State   uint8
	Term    uint64
	Offset  uint64
}

// noSoftDeadline is the SoftDeadlineMs of a statement without a latency objective.
const noSoftDeadline = math.MinInt64

func softDeadlineMs(softDeadline, now time.Time) int64 {
	if softDeadline.IsZero() {
		return noSoftDeadline
	}
	return softDeadline.Sub(now).Milliseconds()
}

// connRequest returns the request for a connection for the batch.
func (msg batchMessage) connRequest(now time.Time) ConnRequest {
	after := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	cr := ConnRequest{Caller: msg.Caller, QueueDeadline: after(msg.QueueWaitMs), Deadline: after(msg.TotalWaitMs)}
	if msg.SoftDeadlineMs != noSoftDeadline {
		cr.SoftDeadline = after(msg.SoftDeadlineMs)
	}
	return cr
}

func fromMessages(msgs []resultMessage) []stmt.Result {
	out := make([]stmt.Result, 0, len(msgs))
	for _, msg := range msgs {
		out = append(out, stmt.Result{
			Rows: msg.Rows, Receipt: msg.Receipt, Code: codes.Code(msg.Code), Detail: msg.Detail, State: stmt.State(msg.State),
			Position: posn.Position{Term: posn.Term{Number: msg.Term}, Offset: msg.Offset},
		})
	}
	return out
}

func toMessages(results []stmt.Result) []resultMessage {
	out := make([]resultMessage, 0, len(results))
	for _, res := range results {
		out = append(out, resultMessage{
			Rows: res.Rows, Receipt: res.Receipt, Code: uint32(res.Code), Detail: res.Detail, State: uint8(res.State),
			Term: res.Position.Term.Number, Offset: res.Position.Offset,
		})
	}
	return out
}

func toBatch(msg batchMessage) Batch {
	ba := Batch{
		Vars:       vars.FromValues(msg.Values),
		Prepared:   vars.Prepared{Writes: msg.PreparedWrites, Text: msg.PreparedText},
		IgnoreVars: msg.IgnoreVars,
		Keep:       msg.Keep,
	}
	for _, sm := range msg.Statements {
		ba.Statements = append(ba.Statements, stmt.Statement{
			RequestID: sm.RequestID, Kind: stmt.Kind(sm.Kind), Text: sm.Text, Name: sm.Name, Argument: sm.Argument,
			Writes: sm.Writes, MinPosition: posn.Position{Term: posn.Term{Number: sm.MinPositionTerm}, Offset: sm.MinPositionOffset},
		})
	}
	return ba
}
