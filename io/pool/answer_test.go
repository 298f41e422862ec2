package pool

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/budget"
	"banyanspring/core/codes"
	"banyanspring/core/stmt"
)

// MIXED, a refusal that came from reading the answer was taken for one from before the statement was sent: the
// connection went back to the pool in the middle of the answer, and the statement ran again (review/6).
func TestAnswerThatCannotBeReadIsNoRefusal(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	codec := Codec{
		AppendStatement: func(buf []byte, _ stmt.Statement) []byte { return append(buf, "READ k\r\n"...) },
		ReadResult: func(*bufio.Reader, budget.Reserve) (stmt.Result, error) {
			return stmt.Result{}, codes.Refuse(codes.MessageTooLarge, "more than 9 bytes")
		},
	}
	co := newConn(&Pool{deps: Dependencies{Codec: codec, Now: time.Now}}, near)
	_, err := co.Run(Batch{IgnoreVars: true, Statements: []stmt.Statement{{Kind: stmt.Status}}}, time.Now().Add(time.Minute))
	require.ErrorContains(t, err, "more than 9 bytes")
	var ref *codes.Refusal
	require.NotErrorAs(t, err, &ref)
	require.NotErrorIs(t, err, ErrNotSent)
}
