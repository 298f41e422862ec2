package pool

import (
	"math"
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/posn"
	"banyanspring/core/stmt"
	"banyanspring/core/vars"
)

// batchMessage asks a home to run a batch.
type batchMessage struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Caller   string
	// PatienceMs bounds the wait for a turn, and WaitMs the whole. AimMs is the
	// time in which the statement should be answered; noAim if there is none.
	PatienceMs int64
	WaitMs     int64
	AimMs      int64
	Values     []string
	PlanWrites bool
	PlanShape  string
	AnyVars    bool
	Keep       bool
	Statements []statementMessage
}

type statementMessage struct {
	_           struct{} `cbor:",toarray"`
	RequestID   string
	Kind        uint8
	Text        string
	Name        string
	Argument    string
	Writes      bool
	FloorTerm   uint64
	FloorOffset uint64
}

// resultsMessage is a home's answer.
type resultsMessage struct {
	_ struct{} `cbor:",toarray"`
	// Refusal is a code if the batch was not run, and 0 if it was.
	Refusal uint32
	Detail  string
	// Broken tells why the upstream's connection broke; empty if it did not.
	Broken string
	// NotSent is true if it broke before anything was sent, and TimedOut if the
	// upstream did not answer by the deadline.
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

// noAim stands for a statement that is worth as much whenever it is answered.
const noAim = math.MinInt64

func aimMs(aim, now time.Time) int64 {
	if aim.IsZero() {
		return noAim
	}
	return aim.Sub(now).Milliseconds()
}

// ask returns what the batch asks of a home.
func (msg batchMessage) ask(now time.Time) Ask {
	after := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	as := Ask{Caller: msg.Caller, Patience: after(msg.PatienceMs), Deadline: after(msg.WaitMs)}
	if msg.AimMs != noAim {
		as.Aim = after(msg.AimMs)
	}
	return as
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
		Vars:    vars.FromValues(msg.Values),
		Plan:    vars.Plan{Writes: msg.PlanWrites, Shape: msg.PlanShape},
		AnyVars: msg.AnyVars,
		Keep:    msg.Keep,
	}
	for _, sm := range msg.Statements {
		ba.Statements = append(ba.Statements, stmt.Statement{
			RequestID: sm.RequestID, Kind: stmt.Kind(sm.Kind), Text: sm.Text, Name: sm.Name, Argument: sm.Argument,
			Writes: sm.Writes, Floor: posn.Position{Term: posn.Term{Number: sm.FloorTerm}, Offset: sm.FloorOffset},
		})
	}
	return ba
}
