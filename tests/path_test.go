// Package tests holds end-to-end tests with Postgres drivers as callers, real
// daemons, and stand-ins for the upstreams and the platform.
package tests

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"banyanspring/io/daemon"
	"banyanspring/io/fleet"
)

// startFleet runs the fleet of Qalam Birligi until the test ends. edit changes its
// options first; it may be nil.
func startFleet(t *testing.T, edit func(*fleet.Options)) *fleet.Fleet {
	t.Helper()
	opts := fleet.QalamBirligi()
	if edit != nil {
		edit(&opts)
	}
	fl, err := fleet.Start(t.Context(), opts)
	require.NoError(t, err)
	t.Cleanup(fl.Close)
	return fl
}

// connect opens a session of the caller "stationers" at a daemon. params is appended
// to the URL, as "&name=value".
func connect(t *testing.T, fl *fleet.Fleet, da *daemon.Daemon, params string) *pgx.Conn {
	t.Helper()
	pc, err := pgx.Connect(t.Context(), fl.URL(da, "stationers", 0, 0)+params)
	require.NoError(t, err)
	t.Cleanup(func() { _ = pc.Close(context.Background()) })
	return pc
}

func TestReadYourWritesOnEveryDaemon(t *testing.T) {
	fl := startFleet(t, nil)
	daemons := fl.Daemons()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	first := connect(t, fl, daemons[0], "")
	_, err := first.Exec(ctx, "CREATE TABLE orders (id BIGINT PRIMARY KEY, item TEXT)")
	require.NoError(t, err)
	for id := range 5 {
		_, err = first.Exec(ctx, "INSERT INTO orders (id, item) VALUES ($1, $2)", int64(id), "paper")
		require.NoError(t, err)
		for _, da := range daemons {
			roamed := connect(t, fl, da, "")
			var count int64
			require.NoError(t, roamed.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&count))
			require.Equal(t, int64(id+1), count)
		}
	}
}
