package home

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"banyanspring/core/codes"
	"banyanspring/core/conf"
	"banyanspring/core/posn"
	"banyanspring/io/gate"
	"banyanspring/io/store"
	"banyanspring/io/wire"
)

// fakeUpstream is an upstream that answers positionQuery itself and every other
// query by calling answer.
type fakeUpstream struct {
	listener net.Listener
	opened   atomic.Int64
	// answer sends the answer to one query and returns false to close the
	// connection.
	answer func(be *pgproto3.Backend, query string) bool
}

func startFakeUpstream(t *testing.T, answer func(be *pgproto3.Backend, query string) bool) *fakeUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	fu := &fakeUpstream{listener: ln, answer: answer}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go fu.serve(nc)
		}
	}()
	return fu
}

func (fu *fakeUpstream) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	be := pgproto3.NewBackend(nc, nc)
	if msg, err := be.ReceiveStartupMessage(); err != nil || !isStartup(msg) {
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = be.Flush()
	fu.opened.Add(1)
	for {
		msg, err := be.Receive()
		if err != nil {
			return
		}
		query, ok := msg.(*pgproto3.Query)
		if !ok {
			continue
		}
		if query.String == positionQuery {
			// Term 1 of u, offset 7, primary, newest entry in term 1 of u, last
			// contact 0 ms ago.
			sendRow(be, "1", "u", "7", "t", "1", "u", "0")
		} else if !fu.answer(be, query.String) {
			return
		}
		_ = be.Flush()
	}
}

func isStartup(msg pgproto3.FrontendMessage) bool {
	_, ok := msg.(*pgproto3.StartupMessage)
	return ok
}

func sendRow(be *pgproto3.Backend, values ...string) {
	row := &pgproto3.DataRow{}
	for _, val := range values {
		row.Values = append(row.Values, []byte(val))
	}
	be.Send(&pgproto3.RowDescription{})
	be.Send(row)
	be.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

func newManager(fu *fakeUpstream) *Manager {
	gr := store.Group{Name: "g", Primary: "u", Members: []store.Member{{
		Name: "u", Address: fu.listener.Addr().String(), Connections: 4, Slots: 2,
	}}}
	settings := conf.Home{
		DialTimeout:             5 * time.Second,
		SilentAfter:             5 * time.Second,
		CancelGrace:             time.Second,
		ConfirmTimeout:          5 * time.Second,
		IdleConnection:          time.Hour,
		QueueTotal:              10,
		StatementsPerConnection: 10,
	}
	return New(settings, slog.New(slog.DiscardHandler), time.Now, DialTCP,
		func(string) (store.Group, bool) { return gr, true }, Peers{}, 1)
}

// runQuery runs one query on a stream of its own, and returns the backend messages
// of the reply in the wire format and its UnitEnd.
func runQuery(t *testing.T, ma *Manager, query string, completion wire.Completion) (string, *wire.UnitEnd) {
	t.Helper()
	raw, err := (&pgproto3.Query{String: query}).Encode(nil)
	require.NoError(t, err)
	requests := []*wire.RunRequest{
		{Kind: &wire.RunRequest_Open{Open: &wire.Open{
			Group: "g", Upstream: "u", Caller: "c", Weight: 1, QueueLimit: 10, Primary: true,
			FloorWait: durationpb.New(time.Second),
		}}},
		{Kind: &wire.RunRequest_Unit{Unit: &wire.Unit{
			Messages: raw, Remaining: durationpb.New(10 * time.Second), Completion: completion,
		}}},
	}
	var answer []byte
	var end *wire.UnitEnd
	next := 0
	err = ma.Run(t.Context(), Stream{
		Recv: func() (*wire.RunRequest, error) {
			if next == len(requests) {
				return nil, io.EOF
			}
			next++
			return requests[next-1], nil
		},
		Send: func(re *wire.RunReply) error {
			answer = append(answer, re.GetMessages()...)
			if re.GetEnd() != nil {
				end = re.GetEnd()
			}
			return nil
		},
	})
	require.NoError(t, err)
	return string(answer), end
}

// TestIncompleteOrInvalidAnswersAreNotForwarded guards against a write that is
// reported as completed, or as not run, though its connection failed before the
// answer was complete or sent a message that does not belong to it.
func TestIncompleteOrInvalidAnswersAreNotForwarded(t *testing.T) {
	cases := map[string]struct {
		answer func(be *pgproto3.Backend, query string) bool
		want   codes.Code
	}{
		"unexpected message": {func(be *pgproto3.Backend, _ string) bool {
			be.Send(&pgproto3.BindComplete{})
			sendRow(be, "of another request")
			return true
		}, codes.ConnectionLost},
		"closed connection": {func(be *pgproto3.Backend, _ string) bool {
			be.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
			_ = be.Flush()
			return false
		}, codes.ConnectionLost},
		"fatal error": {func(be *pgproto3.Backend, _ string) bool {
			be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01", Message: "going down"})
			_ = be.Flush()
			return false
		}, codes.ConnectionLost},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			fu := startFakeUpstream(t, ca.answer)
			ma := newManager(fu)
			defer ma.Close()
			answer, end := runQuery(t, ma, "INSERT", wire.Completion_COMPLETION_MAJORITY)
			require.Equal(t, uint32(ca.want), end.Code)
			require.False(t, codes.Code(end.Code).Info().NotRun)
			require.NotContains(t, answer, "INSERT 0 1", "an unconfirmed completion was passed on")
			require.NotContains(t, answer, "another request")
		})
	}
}

func TestUnsolicitedBytesDoNotReachTheNextRequest(t *testing.T) {
	fu := startFakeUpstream(t, func(be *pgproto3.Backend, query string) bool {
		sendRow(be, "answer to "+query)
		if query == "first" {
			// Unsolicited bytes follow the answer.
			sendRow(be, "late")
		}
		return true
	})
	ma := newManager(fu)
	defer ma.Close()
	answer, end := runQuery(t, ma, "first", wire.Completion_COMPLETION_UNSPECIFIED)
	require.Zero(t, end.Code)
	require.Contains(t, answer, "answer to first")
	before := fu.opened.Load()
	answer, end = runQuery(t, ma, "second", wire.Completion_COMPLETION_UNSPECIFIED)
	require.Zero(t, end.Code)
	require.Contains(t, answer, "answer to second")
	require.NotContains(t, answer, "late")
	require.Greater(t, fu.opened.Load(), before, "the connection in doubt was used again")
}

// In a test binary, failInvariant panics after it has counted the violation.
func TestInvariantViolationsPanicInTests(t *testing.T) {
	ma := newManager(startFakeUpstream(t, nil))
	defer ma.Close()
	up, err := ma.upstream("g", "u")
	require.NoError(t, err)
	co := &conn{}
	require.NoError(t, up.markBusy(co))
	require.Panics(t, func() { _ = up.markBusy(co) })
	require.True(t, co.inDoubt)
	old := &positionReport{position: posn.Position{Term: posn.Term{Number: 3}}}
	require.Panics(t, func() { _ = up.checkTermMonotonic(old, posn.Term{Number: 2}) })
	require.Equal(t, int64(2), up.violations.Load())
}

func TestGateAcquireFailsOnCancelledContext(t *testing.T) {
	ga := gate.New(1, 10, time.Now)
	it := (&runStream{open: &wire.Open{Caller: "c", Weight: 1, QueueLimit: 5}}).queueItem(time.Now().Add(time.Hour))
	release, err := ga.Acquire(t.Context(), it)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = ga.Acquire(ctx, it)
	// The gate returns the same code for a cancelled wait as for a missed deadline.
	require.True(t, codes.Is(err, codes.DeadlineUnmet))
	release()
	release, err = ga.Acquire(t.Context(), it)
	require.NoError(t, err)
	release()
}

func TestCheckRequestKey(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	require.True(t, codes.Is(CheckRequestKey("x", now, time.Hour), codes.BadRequestKey))
	require.True(t, codes.Is(CheckRequestKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", now, time.Hour), codes.RequestKeyTooOld))
	// The first 48 bits of the key are its time of creation, 1645557742000 ms since
	// 1970.
	require.NoError(t, CheckRequestKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", time.UnixMilli(1645557742000), time.Hour))
}
