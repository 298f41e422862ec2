package pool

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"banyanspring/core/codes"
	"banyanspring/core/posn"
	"banyanspring/core/stmt"
	"banyanspring/core/vars"
)

// batchMessage is the request to a home to run a batch. Its last elements are absent if they
// are empty, as in messages of instances that know no workspaces (11 elements) or know them
// without Fairness (12).
type batchMessage struct {
	_ struct{} `cbor:",toarray"`
	batchFields
	// Workspace is the workspace whose connection the batch needs; empty if there is none.
	Workspace string
	Fairness  fairnessMessage
}

// workspaceBatch is a batchMessage without Fairness.
type workspaceBatch struct {
	_ struct{} `cbor:",toarray"`
	batchFields
	Workspace string
}

// fairnessMessage is a Fairness; its zero value is that of an absent one.
type fairnessMessage struct {
	_                struct{} `cbor:",toarray"`
	Weight, Priority uint32
}

// batchFields holds the elements of a batchMessage that are always present.
type batchFields struct {
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

// The first byte of a batchMessage without a workspace and of one without Fairness: an array of
// 11 or 12 elements. The library decodes no array whose length is not the number of fields.
const (
	shortBatchHead     = 0x80 + 11
	workspaceBatchHead = 0x80 + 12
)

// MarshalCBOR implements cbor.Marshaler.
func (msg batchMessage) MarshalCBOR() ([]byte, error) {
	switch {
	case msg.Fairness.Weight > 0:
		type plain batchMessage
		return cbor.Marshal(plain(msg))
	case msg.Workspace != "":
		return cbor.Marshal(workspaceBatch{batchFields: msg.batchFields, Workspace: msg.Workspace})
	}
	return cbor.Marshal(msg.batchFields)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (msg *batchMessage) UnmarshalCBOR(raw []byte) error {
	*msg = batchMessage{}
	if len(raw) > 0 && raw[0] == shortBatchHead {
		return cbor.Unmarshal(raw, &msg.batchFields)
	}
	if len(raw) > 0 && raw[0] == workspaceBatchHead {
		var got workspaceBatch
		if err := cbor.Unmarshal(raw, &got); err != nil {
			return err
		}
		msg.batchFields, msg.Workspace = got.batchFields, got.Workspace
		return nil
	}
	type plain batchMessage
	if err := cbor.Unmarshal(raw, (*plain)(msg)); err != nil {
		return err
	}
	if !msg.Fairness.fairness().isValid() {
		return errors.Newf("weight %d or priority %d is out of range", msg.Fairness.Weight, msg.Fairness.Priority)
	}
	return nil
}

func (fm fairnessMessage) fairness() Fairness {
	return Fairness{Weight: fm.Weight, Priority: fm.Priority}
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

// maxWaitMs bounds the waits in a message, so that none overflows a time.Duration.
const maxWaitMs = int64(time.Hour / time.Millisecond)

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
	after := func(ms int64) time.Time {
		return now.Add(time.Duration(min(max(ms, -maxWaitMs), maxWaitMs)) * time.Millisecond)
	}
	cr := ConnRequest{Caller: msg.Caller, Workspace: msg.Workspace, Fairness: msg.Fairness.fairness(), QueueDeadline: after(msg.QueueWaitMs), Deadline: after(msg.TotalWaitMs)}
	if msg.SoftDeadlineMs != noSoftDeadline {
		cr.SoftDeadline = after(msg.SoftDeadlineMs)
	}
	return cr
}

// fromMessages returns the results of a home, of which there must be count.
func fromMessages(msgs []resultMessage, count int, co Codec) ([]stmt.Result, error) {
	if len(msgs) != count {
		return nil, errors.Newf("%d results for %d statements", len(msgs), count)
	}
	out := make([]stmt.Result, 0, len(msgs))
	for _, msg := range msgs {
		res := stmt.Result{
			Rows: msg.Rows, Receipt: msg.Receipt, Code: codes.Code(msg.Code), Detail: msg.Detail, State: stmt.State(msg.State),
			Position: posn.Position{Term: posn.Term{Number: msg.Term}, Offset: msg.Offset},
		}
		if err := co.CheckResult(res); err != nil {
			return nil, err
		}
		out = append(out, res)
	}
	return out, nil
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

// toBatch returns the batch of a message. The error says why it must not be run.
func toBatch(msg batchMessage, co Codec) (Batch, error) {
	session, ok := vars.FromValues(msg.Values)
	if !ok {
		return Batch{}, errors.New("session values are not in order")
	}
	ba := Batch{
		Vars:       session,
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
	return ba, ba.check(co)
}

// check returns an error unless each statement of the batch, with those that set the
// session variables and prepare its statement, is encoded as exactly one message.
func (ba Batch) check(co Codec) error {
	if len(ba.Statements) == 0 {
		return errors.New("no statement")
	}
	sts := slices.Clone(ba.Statements)
	values := ba.Vars.Values()
	for pos := 0; pos < len(values); pos += 2 {
		sts = append(sts, stmt.Statement{Kind: stmt.Set, Name: values[pos], Argument: values[pos+1]})
	}
	isExecute := func(st stmt.Statement) bool { return st.Kind == stmt.Execute }
	if ba.Prepared.Text != "" || slices.ContainsFunc(ba.Statements, isExecute) {
		sts = append(sts, stmt.Statement{Kind: stmt.Prepare, Name: "p", Writes: ba.Prepared.Writes, Argument: ba.Prepared.Text})
	}
	for _, st := range sts {
		if err := co.CheckStatement(st); err != nil {
			return err
		}
	}
	return nil
}
