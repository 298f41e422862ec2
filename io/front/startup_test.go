package front

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"banyanspring/core/codes"
	"banyanspring/io/metric"
	"banyanspring/tests/mutat"
)

func startupFront(tb testing.TB) *Front {
	tb.Helper()
	metrics := metric.New()
	tb.Cleanup(metrics.Close)
	fr := stubFront(tb, metrics)
	fr.settings.LoginTimeout = time.Minute
	fr.cluster.ForwardCancel = func(context.Context, uint32, uint32) {}
	return fr
}

func startupSeeds(tb testing.TB) [][]byte {
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "c", "database": "nowhere.d"},
	}
	return [][]byte{
		encode(tb, startup), encode(tb, &pgproto3.SSLRequest{}), encode(tb, &pgproto3.GSSEncRequest{}),
		encode(tb, &pgproto3.CancelRequest{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}}),
		encode(tb, &pgproto3.StartupMessage{ProtocolVersion: 7, Parameters: map[string]string{}}),
		{0, 0, 0, 3}, {0, 0, 0, 4}, {0, 0, 0, 7, 0, 3, 0}, {0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0}, {0, 0, 0x27, 0x11, 0, 3, 0, 0},
		{0, 0, 0, 9, 0, 3, 0, 0, 'a'}, {0, 0, 0, 12, 0, 3, 0, 0, 'a', 0, 'b', 'c'}, nil,
	}
}

// checkStartup checks that the first bytes of a connection are refused with a number, or
// end it without a session.
func checkStartup(t *testing.T, fr *Front, raw []byte) {
	t.Helper()
	var nc net.Conn = &memoryConn{in: bytes.NewReader(raw)}
	se, err := fr.login(&nc)
	require.Nil(t, se)
	if err != nil {
		require.NotEqual(t, codes.Internal, codes.From(err).Code, "%v", err)
	}
}

func FuzzStartup(f *testing.F) {
	for _, raw := range startupSeeds(f) {
		f.Add(raw)
	}
	fr := startupFront(f)
	f.Fuzz(func(t *testing.T, raw []byte) { checkStartup(t, fr, raw) })
}

func TestStartupsOnFixedInputs(t *testing.T) {
	fr := startupFront(t)
	mutat.Inputs(startupSeeds(t), func(raw []byte) { checkStartup(t, fr, raw) })
}

// What a caller sends behind a request for encryption, before the answer, is not part of
// the encrypted session: someone else may have put it there.
func TestDataBehindARequestForEncryptionIsRefused(t *testing.T) {
	fr := startupFront(t)
	seeds := startupSeeds(t)
	for _, request := range seeds[1:3] {
		for _, behind := range [][]byte{seeds[0], {0}, request} {
			var nc net.Conn = &memoryConn{in: bytes.NewReader(append(bytes.Clone(request), behind...))}
			_, err := fr.login(&nc)
			require.True(t, codes.Is(err, codes.ProtocolViolation), "%v", err)
			require.ErrorContains(t, err, "behind")
		}
	}
}

// A caller that waits for the answer may go on without encryption, but not ask again.
func TestRequestForEncryptionIsAnsweredOnce(t *testing.T) {
	for _, again := range []bool{false, true} {
		fr := startupFront(t)
		seeds := startupSeeds(t)
		near, far := net.Pipe()
		go fr.serveConn(far)
		require.NoError(t, near.SetDeadline(time.Now().Add(time.Minute)))
		_, err := near.Write(seeds[1])
		require.NoError(t, err)
		answer := make([]byte, 1)
		_, err = near.Read(answer)
		require.NoError(t, err)
		require.Equal(t, "N", string(answer))
		want, next := codes.UnknownDatabase, seeds[0]
		if again {
			want, next = codes.ProtocolViolation, seeds[1]
		}
		_, err = near.Write(next)
		require.NoError(t, err)
		msg, err := pgproto3.NewFrontend(near, near).Receive()
		require.NoError(t, err)
		require.Equal(t, want.Info().SQLState, msg.(*pgproto3.ErrorResponse).Code)
		require.NoError(t, near.Close())
	}
}

// A length that does not fit must not cost memory.
func TestStartupOfAnyLengthIsRefused(t *testing.T) {
	fr := startupFront(t)
	for _, size := range []uint32{0, 3, 4, 7, 10001, 1 << 20, 1 << 31, 1<<32 - 1} {
		raw := binary.BigEndian.AppendUint32(nil, size)
		raw = append(raw, 0, 3, 0, 0)
		var nc net.Conn = &memoryConn{in: bytes.NewReader(raw)}
		allocated := testing.AllocsPerRun(1, func() {
			_, err := fr.login(&nc)
			require.True(t, codes.Is(err, codes.ProtocolViolation), "%d: %v", size, err)
		})
		require.Less(t, allocated, 1000.0)
	}
}
