package tests

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"banyanspring/core/conf"
	"banyanspring/core/docum"
	"banyanspring/core/place"
	"banyanspring/io/fleet"
	"banyanspring/io/home"
	"banyanspring/io/peer"
)

// retryUntilAcknowledged runs a statement until it is acknowledged, for at most a
// minute.
func retryUntilAcknowledged(t *testing.T, pc *pgx.Conn, query string, args ...any) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, err := pc.Exec(t.Context(), query, args...)
		return err == nil
	}, time.Minute, 50*time.Millisecond)
}

const upsertOrder = "INSERT INTO orders (id, item) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET item = excluded.item"

func TestFailoverKeepsAcknowledgedWrites(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[2], "")
	createOrders(t, pc)
	for id := range 10 {
		_, err := pc.Exec(t.Context(), "INSERT INTO orders VALUES ($1, 'a')", int64(id))
		require.NoError(t, err)
	}
	old := fl.Primary(0, 0)
	old.Close()
	retryUntilAcknowledged(t, pc, upsertOrder, int64(10), "b")
	require.Equal(t, int64(11), countOrders(t, pc))
	require.NotEqual(t, old.Name(), fl.Primary(0, 0).Name())
	require.Equal(t, uint64(2), fl.Primary(0, 0).Position().Term.Number)
}

func TestFailoverWhileStoreIsDown(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[1], "")
	createOrders(t, pc)
	fl.Platform.SetDown(true)
	fl.Primary(0, 0).Close()
	retryUntilAcknowledged(t, pc, upsertOrder, int64(1), "a")
	require.Equal(t, int64(1), countOrders(t, pc))
	require.Equal(t, int64(1), countOrders(t, connect(t, fl, fl.Daemons()[2], "")))
}

// TestIsolatedOldPrimaryServesNoStaleReads opens sessions in the failure domain of
// an isolated upstream that still considers itself primary. It guards against a home
// that confirms minimum positions by reports from before the isolation.
func TestIsolatedOldPrimaryServesNoStaleReads(t *testing.T) {
	fl := startFleet(t, func(opts *fleet.Options) {
		opts.EditDocument = func(doc *docum.Document) {
			doc.Services[0].Limits.StatementTimeout = docum.Duration(3 * time.Second)
		}
	})
	daemons := fl.Daemons()
	inside := connect(t, fl, daemons[0], "")
	outside := connect(t, fl, daemons[1], "")
	createOrders(t, outside)
	_, err := outside.Exec(t.Context(), "INSERT INTO orders VALUES (1, 'a')")
	require.NoError(t, err)
	require.Equal(t, int64(1), countOrders(t, inside))

	place := fl.PlaceOf(daemons[0])
	fl.SetIsolated(place, true)
	retryUntilAcknowledged(t, outside, upsertOrder, int64(2), "b")
	old := fl.Groups[fleet.GroupName(0, 0)][0]
	require.True(t, old.IsPrimary(), "the old primary should still consider itself primary")

	// A new session needs a minimum position, which no reachable majority confirms.
	newSession := connect(t, fl, daemons[0], "")
	var count int64
	err = newSession.QueryRow(t.Context(), "SELECT count(*) FROM orders").Scan(&count)
	require.Error(t, err, "read %d orders from the old primary", count)
	// An older session gets no data older than its read class tolerates.
	require.Eventually(t, func() bool {
		return inside.QueryRow(t.Context(), "SELECT count(*) FROM orders").Scan(&count) != nil
	}, time.Minute, 100*time.Millisecond)
	// Writes of the older session are never acknowledged.
	_, err = inside.Exec(t.Context(), "INSERT INTO orders VALUES (3, 'lost')")
	require.Error(t, err)

	fl.SetIsolated(place, false)
	require.Eventually(t, func() bool {
		reconnected, err := pgx.Connect(t.Context(), fl.URL(daemons[0], "printers", 0, 0))
		if err != nil {
			return false
		}
		defer func() { _ = reconnected.Close(context.Background()) }()
		err = reconnected.QueryRow(t.Context(), "SELECT count(*) FROM orders").Scan(&count)
		return err == nil && count == 2
	}, time.Minute, 100*time.Millisecond)
}

func TestIsolatedDomainServesOnlyAllowedReads(t *testing.T) {
	fl := startFleet(t, func(opts *fleet.Options) {
		opts.EditDocument = func(doc *docum.Document) {
			doc.Services[0].Limits.StatementTimeout = docum.Duration(3 * time.Second)
		}
	})
	daemons := fl.Daemons()
	createOrders(t, connect(t, fl, daemons[0], ""))
	inside := connect(t, fl, daemons[2], "")
	require.Equal(t, int64(0), countOrders(t, inside))
	fl.SetIsolated(fl.PlaceOf(daemons[2]), true)
	// The class "catalogue" tolerates an age of 30 s and sets serve_when_cut_off.
	newSession := connect(t, fl, daemons[2], "&banyanspring.read_class=catalogue")
	require.Equal(t, int64(0), countOrders(t, newSession))
	_, err := newSession.Exec(t.Context(), "INSERT INTO orders VALUES (1, 'a')")
	// The write was sent over an isolated path, so its outcome is unknown.
	var pe *pgconn.PgError
	require.ErrorAs(t, err, &pe)
	require.Equal(t, "08007", pe.Code)
}

func TestDaemonStartsFromPeersWhileStoreIsDown(t *testing.T) {
	var seed string
	fl := startFleet(t, func(opts *fleet.Options) {
		opts.EditSettings = func(se *conf.Settings) {
			if seed != "" {
				se.Peer.Seeds = []string{"127.0.0.1:1", seed}
			}
		}
	})
	daemons := fl.Daemons()
	createOrders(t, connect(t, fl, daemons[0], ""))
	seed = daemons[1].PeerAddress()
	fl.Platform.SetDown(true)
	started, err := fl.StartDaemon(t.Context(), fl.PlaceOf(daemons[2]))
	require.NoError(t, err)
	require.Equal(t, daemons[0].DocumentVersion(), started.DocumentVersion())
	require.Equal(t, int64(0), countOrders(t, connect(t, fl, started, "")))
}

func TestLeavingUpstreamsGetNoStatements(t *testing.T) {
	fl := startFleet(t, nil)
	daemons := fl.Daemons()
	pc := connect(t, fl, daemons[1], "")
	createOrders(t, pc)
	group := fleet.GroupName(0, 0)
	replica, primary := fl.Groups[group][1], fl.Groups[group][0]
	require.NoError(t, fl.SetLeaving(t.Context(), group, replica.Name()))
	require.NoError(t, fl.SetLeaving(t.Context(), group, primary.Name()))
	require.Eventually(t, func() bool {
		return fl.Primary(0, 0) == fl.Groups[group][2]
	}, time.Minute, 20*time.Millisecond, "the leaving primary did not hand over")
	retryUntilAcknowledged(t, pc, upsertOrder, int64(1), "a")
	// CallerStatements doesn't count the position queries of the homes, which need
	// no slot.
	require.Equal(t, int64(1), countOrders(t, pc))
	before := replica.CallerStatements()
	for range 20 {
		require.Equal(t, int64(1), countOrders(t, pc))
	}
	require.Equal(t, before, replica.CallerStatements())
}

func TestPeersRequireCertificateOfAuthority(t *testing.T) {
	cert, key := writeCertificate(t)
	fl := startFleet(t, func(opts *fleet.Options) {
		opts.EditSettings = func(se *conf.Settings) {
			se.Peer.TLSCert, se.Peer.TLSKey, se.Peer.TLSAuthority = cert, key, cert
		}
	})
	pc := connect(t, fl, fl.Daemons()[2], "")
	createOrders(t, pc)
	require.Equal(t, int64(0), countOrders(t, pc))

	mem := place.Member{ID: "target", Address: fl.Daemons()[0].PeerAddress()}
	sendCancel := func(creds credentials.TransportCredentials) error {
		cl := peer.NewClient(creds, home.DialTCP)
		defer cl.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := cl.Cancel(ctx, mem, 0, 0)
		return err
	}
	trusted, err := peer.NewIdentity(cert, key, cert)
	require.NoError(t, err)
	require.NoError(t, sendCancel(trusted.Credentials()))
	otherCert, otherKey := writeCertificate(t)
	untrusted, err := peer.NewIdentity(otherCert, otherKey, cert)
	require.NoError(t, err)
	require.Error(t, sendCancel(untrusted.Credentials()))
	require.Error(t, sendCancel(insecure.NewCredentials()))

	// Replaced certificate files are used from the next connection on.
	for from, to := range map[string]string{cert: otherCert, key: otherKey} {
		raw, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(to, raw, 0o600))
		later := time.Now().Add(time.Minute)
		require.NoError(t, os.Chtimes(to, later, later))
	}
	require.NoError(t, sendCancel(untrusted.Credentials()))
}

func TestHandoverKeepsAllWrites(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[0], "")
	createOrders(t, pc)
	group := fleet.GroupName(0, 0)
	for round, target := range []int{1, 2, 0} {
		_, err := pc.Exec(t.Context(), upsertOrder, int64(round), "a")
		require.NoError(t, err)
		name := fl.Groups[group][target].Name()
		require.NoError(t, fl.Daemons()[0].Handover(t.Context(), group, name))
		require.Equal(t, name, fl.Primary(0, 0).Name())
		require.Equal(t, int64(round+1), countOrders(t, pc))
	}
	_, err := pc.Exec(t.Context(), upsertOrder, int64(9), "a")
	require.NoError(t, err)
}
