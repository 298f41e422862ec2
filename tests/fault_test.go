package tests

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"banyanspring/core/conf"
	"banyanspring/core/docum"
	"banyanspring/io/fleet"
)

// sendCancelRequest sends the cancel request of pc's session to an address.
func sendCancelRequest(t *testing.T, pc *pgx.Conn, address string) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	msg := &pgproto3.CancelRequest{ProcessID: pc.PgConn().PID(), SecretKey: pc.PgConn().SecretKey()}
	raw, err := msg.Encode(nil)
	require.NoError(t, err)
	_, err = nc.Write(raw)
	require.NoError(t, err)
	_, _ = io.ReadAll(nc)
}

func TestShutdownWaitsForOpenTransactions(t *testing.T) {
	fl := startFleet(t, nil)
	daemons := fl.Daemons()
	pc := connect(t, fl, daemons[0], "")
	createOrders(t, pc)
	tx, err := pc.Begin(t.Context())
	require.NoError(t, err)
	_, err = tx.Exec(t.Context(), "INSERT INTO orders VALUES (1, 'a')")
	require.NoError(t, err)

	done := make(chan error, 1)
	go func() { done <- daemons[0].Shutdown(context.WithoutCancel(t.Context())) }()
	require.Eventually(t, func() bool {
		_, err := pgx.Connect(t.Context(), fl.URL(daemons[0], "printers", 0, 0))
		return err != nil
	}, 10*time.Second, 10*time.Millisecond)
	_, err = tx.Exec(t.Context(), "INSERT INTO orders VALUES (2, 'b')")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(t.Context()))
	require.NoError(t, <-done)
	require.Equal(t, int64(2), countOrders(t, connect(t, fl, daemons[1], "")))
}

func TestWriteIsNotAcknowledgedWithoutMajority(t *testing.T) {
	fl := startFleet(t, func(opts *fleet.Options) {
		opts.EditSettings = func(se *conf.Settings) { se.Home.ConfirmTimeout = 300 * time.Millisecond }
	})
	pc := connect(t, fl, fl.Daemons()[0], "")
	createOrders(t, pc)
	ups := fl.Groups[fleet.GroupName(0, 0)]
	ups[1].SetReplicationStopped(true)
	ups[2].SetReplicationStopped(true)
	_, err := pc.Exec(t.Context(), "INSERT INTO orders VALUES (1, 'a')")
	var pe *pgconn.PgError
	require.ErrorAs(t, err, &pe)
	require.Equal(t, "08007", pe.Code)
	require.NotContains(t, pe.Message, "not run")
	ups[1].SetReplicationStopped(false)
	_, err = pc.Exec(t.Context(), "INSERT INTO orders VALUES (2, 'b')")
	require.NoError(t, err)
	require.Equal(t, int64(2), countOrders(t, pc))
}

func TestReadsAvoidLaggingReplica(t *testing.T) {
	fl := startFleet(t, nil)
	daemons := fl.Daemons()
	pc := connect(t, fl, daemons[2], "")
	createOrders(t, pc)
	fl.Groups[fleet.GroupName(0, 0)][2].SetReplicationStopped(true)
	for id := range 5 {
		_, err := pc.Exec(t.Context(), "INSERT INTO orders VALUES ($1, 'a')", int64(id))
		require.NoError(t, err)
		require.Equal(t, int64(id+1), countOrders(t, pc))
		require.Equal(t, int64(id+1), countOrders(t, connect(t, fl, daemons[2], "")))
	}
}

func TestReadsSurviveSilentConnections(t *testing.T) {
	fl := startFleet(t, func(opts *fleet.Options) {
		opts.EditSettings = func(se *conf.Settings) { se.Home.SilentAfter = 100 * time.Millisecond }
	})
	pc := connect(t, fl, fl.Daemons()[1], "")
	createOrders(t, pc)
	require.Equal(t, int64(0), countOrders(t, pc))
	for _, up := range fl.Groups[fleet.GroupName(0, 0)] {
		up.SilenceConnections()
	}
	// The read is retried on a new connection. The silent ones run nothing, so nothing
	// runs twice.
	require.Equal(t, int64(0), countOrders(t, pc))
}

func TestLongStatementIsNotTreatedAsSilent(t *testing.T) {
	fl := startFleet(t, func(opts *fleet.Options) {
		opts.EditSettings = func(se *conf.Settings) { se.Home.SilentAfter = 50 * time.Millisecond }
	})
	pc := connect(t, fl, fl.Daemons()[1], "")
	_, err := pc.Exec(t.Context(), "SELECT pg_sleep(0.5)")
	require.NoError(t, err)
}

func TestStatementAndIdleTransactionTimeouts(t *testing.T) {
	fl := startFleet(t, func(opts *fleet.Options) {
		opts.EditDocument = func(doc *docum.Document) {
			doc.Services[0].Limits.StatementTimeout = docum.Duration(200 * time.Millisecond)
			doc.Services[0].Limits.TransactionIdle = docum.Duration(200 * time.Millisecond)
		}
	})
	pc := connect(t, fl, fl.Daemons()[1], "")
	_, err := pc.Exec(t.Context(), "SELECT pg_sleep(30)")
	var pe *pgconn.PgError
	require.ErrorAs(t, err, &pe)
	require.Equal(t, "57014", pe.Code)

	// A transaction that is idle for too long is rolled back.
	require.NoError(t, pc.PgConn().Exec(t.Context(), "BEGIN").Close())
	time.Sleep(400 * time.Millisecond)
	requireRefusal(t, pc.PgConn().Exec(t.Context(), "SELECT 1").Close(), "BS308")
	require.NoError(t, pc.PgConn().Exec(t.Context(), "ROLLBACK").Close())
	require.NoError(t, pc.Ping(t.Context()))
}

func TestMalformedStartupDoesNotAffectOtherSessions(t *testing.T) {
	fl := startFleet(t, nil)
	da := fl.Daemons()[0]
	pc := connect(t, fl, da, "")
	for _, raw := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		{0, 0, 0, 8, 0, 0, 0, 0},
		binary.BigEndian.AppendUint32(nil, 1<<31),
		{0, 0, 0, 9, 0, 3, 0, 0, 0},
	} {
		nc, err := net.Dial("tcp", da.CallerAddress())
		require.NoError(t, err)
		_, err = nc.Write(raw)
		require.NoError(t, err)
		_ = nc.Close()
	}
	require.NoError(t, pc.Ping(t.Context()))
}

func TestProtocolViolationsEndOnlyTheirSession(t *testing.T) {
	fl := startFleet(t, nil)
	da := fl.Daemons()[0]
	other := connect(t, fl, da, "")
	for _, bad := range []pgproto3.FrontendMessage{
		&pgproto3.CopyDone{},
		&pgproto3.PasswordMessage{Password: "x"},
		&pgproto3.Query{String: string(make([]byte, 17<<20))},
	} {
		pc := connect(t, fl, da, "")
		pc.PgConn().Frontend().Send(bad)
		_ = pc.PgConn().Frontend().Flush()
		_, err := pc.PgConn().ReceiveMessage(t.Context())
		require.Error(t, err, "%T", bad)
	}
	require.NoError(t, other.Ping(t.Context()))
}

func TestTLSRequiredForCallers(t *testing.T) {
	cert, key := writeCertificate(t)
	fl := startFleet(t, func(opts *fleet.Options) {
		opts.EditSettings = func(se *conf.Settings) {
			se.Caller.TLSCert, se.Caller.TLSKey, se.Caller.TLSRequired = cert, key, true
		}
	})
	da := fl.Daemons()[0]
	_, err := pgx.Connect(t.Context(), fl.URL(da, "stationers", 0, 0))
	requireRefusal(t, err, "BS111")
	cfg, err := pgx.ParseConfig(fl.URL(da, "stationers", 0, 0))
	require.NoError(t, err)
	cfg.TLSConfig = &tls.Config{InsecureSkipVerify: true} //nolint:gosec // the test signed the certificate itself
	pc, err := pgx.ConnectConfig(t.Context(), cfg)
	require.NoError(t, err)
	defer func() { _ = pc.Close(context.Background()) }()
	createOrders(t, pc)
	require.Equal(t, int64(0), countOrders(t, pc))
}
