package frame

import (
	"encoding/binary"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"banyanspring/core/codes"
	"banyanspring/tests/mutat"
)

func frameSeeds() [][]byte {
	var out [][]byte
	for _, msg := range []pgproto3.FrontendMessage{
		&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Parse{Name: "a", Query: "SELECT $1", ParameterOIDs: []uint32{23}},
		&pgproto3.Bind{PreparedStatement: "a", ParameterFormatCodes: []int16{1}, Parameters: [][]byte{{1, 2}, nil}, ResultFormatCodes: []int16{0}},
		&pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Execute{Portal: "p", MaxRows: 3}, &pgproto3.Close{ObjectType: 'P', Name: "p"},
		&pgproto3.Flush{}, &pgproto3.Sync{},
	} {
		raw, err := msg.Encode(nil)
		if err != nil {
			panic(err)
		}
		out = append(out, raw)
	}
	return append(out, nil, []byte{'Q', 0xff, 0xff, 0xff, 0xff}, []byte{'Q', 0, 0, 0, 3}, []byte{'B', 0, 0, 0, 11, 0, 0, 0xff, 0xff, 0, 0, 0})
}

// checkFrames checks that messages are refused, or have the size that their header gives
// and are encoded again as messages that are read the same.
func checkFrames(t *testing.T, raw []byte) {
	t.Helper()
	for len(raw) > 0 {
		msg, size, err := Decode(raw)
		if err != nil {
			require.True(t, codes.Is(err, codes.ProtocolViolation))
			return
		}
		require.EqualValues(t, size, 1+binary.BigEndian.Uint32(raw[1:]))
		require.GreaterOrEqual(t, size, headerBytes)
		require.LessOrEqual(t, size, len(raw))
		encoded, err := msg.Encode(nil)
		require.NoError(t, err)
		again, count, err := Decode(encoded)
		require.NoError(t, err)
		require.Len(t, encoded, count)
		require.Equal(t, msg, again)
		raw = raw[size:]
	}
}

func FuzzDecode(f *testing.F) {
	for _, raw := range frameSeeds() {
		f.Add(raw)
	}
	f.Fuzz(checkFrames)
}

func TestFramesOnFixedInputs(t *testing.T) {
	mutat.Inputs(frameSeeds(), func(raw []byte) { checkFrames(t, raw) })
}
