package pool

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"banyanspring/core/stmt"
)

// runOverLink runs a batch of two statements over a link to a home that answers with the
// message.
func runOverLink(t *testing.T, answer any) ([]stmt.Result, error) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	go func() {
		var msg any
		_ = cbor.NewDecoder(far).Decode(&msg)
		_ = cbor.NewEncoder(far).Encode(answer)
	}()
	codec := Codec{CheckResult: func(res stmt.Result) error {
		if string(res.Rows) == "forged" {
			return errors.New("forged rows")
		}
		return nil
	}}
	rs := NewRelays(time.Now, nil)
	po := &Pool{deps: Dependencies{Codec: codec}}
	co := &Conn{pool: po, link: &link{rs: rs, address: "home", net: near, enc: cbor.NewEncoder(near), dec: cbor.NewDecoder(near)}}
	batch := Batch{Statements: []stmt.Statement{{Kind: stmt.Begin}, {Kind: stmt.Read, Text: "READ k"}}}
	return co.Run(batch, time.Now().Add(time.Minute))
}

func results(rows ...string) []any {
	out := []any{}
	for _, row := range rows {
		out = append(out, []any{[]byte(row), "receipt", 0, "", 0, 0, 0})
	}
	return out
}

// The engine relies on one result for each statement, and callers are sent the rows as
// they are.
func TestInvalidAnswerOfAHomeIsItsFailure(t *testing.T) {
	got, err := runOverLink(t, []any{0, "", "", false, false, results("one", "two")})
	require.NoError(t, err)
	require.Len(t, got, 2)
	for name, answer := range map[string]any{
		"no result":       []any{0, "", "", false, false, []any{}},
		"one result":      []any{0, "", "", false, false, results("one")},
		"three results":   []any{0, "", "", false, false, results("one", "two", "three")},
		"rejected result": []any{0, "", "", false, false, results("one", "forged")},
		"other type":      7,
		"no array":        "text",
	} {
		_, err := runOverLink(t, answer)
		require.True(t, errors.Is(err, ErrHomeFailed), name)
		require.False(t, errors.Is(err, ErrNotSent), name)
	}
	_, err = runOverLink(t, []any{104, "no statement", "", false, false, []any{}})
	require.True(t, errors.Is(err, ErrHomeFailed))
	require.True(t, errors.Is(err, ErrNotSent))
}
