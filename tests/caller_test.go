package tests

import (
	"context"
	"database/sql"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jackc/pgx/v5/stdlib" // registers the "pgx" driver
	"github.com/stretchr/testify/require"

	"banyanspring/core/docum"
	"banyanspring/io/fleet"
)

// requireRefusal asserts that err is a refusal with the result code given, such as
// "BS202", and returns its message.
func requireRefusal(t *testing.T, err error, number string) string {
	t.Helper()
	var pe *pgconn.PgError
	require.ErrorAs(t, err, &pe)
	require.Contains(t, pe.Message, number+" ")
	return pe.Message
}

func createOrders(t *testing.T, pc *pgx.Conn) {
	t.Helper()
	_, err := pc.Exec(t.Context(), "CREATE TABLE orders (id BIGINT PRIMARY KEY, item TEXT)")
	require.NoError(t, err)
}

func countOrders(t *testing.T, pc *pgx.Conn) int64 {
	t.Helper()
	var count int64
	require.NoError(t, pc.QueryRow(t.Context(), "SELECT count(*) FROM orders").Scan(&count))
	return count
}

func TestPgxPoolAndDatabaseSQL(t *testing.T) {
	fl := startFleet(t, nil)
	da := fl.Daemons()[1]
	ctx := t.Context()
	createOrders(t, connect(t, fl, da, ""))

	pool, err := pgxpool.New(ctx, fl.URL(da, "printers", 0, 0))
	require.NoError(t, err)
	defer pool.Close()
	var wg sync.WaitGroup
	for id := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := pool.Exec(ctx, "INSERT INTO orders VALUES ($1, $2)", int64(id), fmt.Sprint("item ", id))
			require.NoError(t, err)
		}()
	}
	wg.Wait()

	db, err := sql.Open("pgx", fl.URL(da, "printers", 0, 0))
	require.NoError(t, err)
	defer func() { _ = db.Close() }()
	var item string
	require.NoError(t, db.QueryRowContext(ctx, "SELECT item FROM orders WHERE id = $1", 7).Scan(&item))
	require.Equal(t, "item 7", item)
	tx, err := db.BeginTx(ctx, &sql.TxOptions{ReadOnly: true})
	require.NoError(t, err)
	require.NoError(t, tx.QueryRowContext(ctx, "SELECT item FROM orders WHERE id = $1", 3).Scan(&item))
	_, err = tx.ExecContext(ctx, "DELETE FROM orders")
	require.Error(t, err)
	require.NoError(t, tx.Rollback())
}

func TestBatchesPortalsAndErrors(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[0], "")
	ctx := t.Context()
	createOrders(t, pc)

	batch := &pgx.Batch{}
	for id := range 10 {
		batch.Queue("INSERT INTO orders VALUES ($1, $2)", int64(id), "x")
	}
	batch.Queue("SELECT count(*) FROM orders")
	res := pc.SendBatch(ctx, batch)
	for range 10 {
		_, err := res.Exec()
		require.NoError(t, err)
	}
	var count int64
	require.NoError(t, res.QueryRow().Scan(&count))
	require.NoError(t, res.Close())
	require.Equal(t, int64(10), count)

	// A failed batch changes nothing and leaves the connection usable.
	failing := &pgx.Batch{}
	failing.Queue("INSERT INTO orders VALUES ($1, $2)", int64(100), "x")
	failing.Queue("INSERT INTO orders VALUES ($1, $2)", int64(1), "twice")
	require.Error(t, pc.SendBatch(ctx, failing).Close())
	require.Equal(t, int64(10), countOrders(t, pc))

	// A prepared statement runs inside an explicit transaction.
	pg := pc.PgConn()
	require.NoError(t, pg.Exec(ctx, "BEGIN").Close())
	_, err := pg.Prepare(ctx, "parts", "SELECT id FROM orders ORDER BY id", nil)
	require.NoError(t, err)
	got := pg.ExecPrepared(ctx, "parts", nil, nil, nil).Read()
	require.NoError(t, got.Err)
	require.Len(t, got.Rows, 10)
	require.NoError(t, pg.Exec(ctx, "COMMIT").Close())
	_, err = pc.Exec(ctx, "INSERT INTO nowhere VALUES (1)")
	require.Error(t, err)
	require.Equal(t, int64(10), countOrders(t, pc))
}

func TestPipelineWithFlushKeepsConnection(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[0], "")
	createOrders(t, pc)
	pipe := pc.PgConn().StartPipeline(t.Context())
	pipe.SendQueryParams("INSERT INTO orders VALUES (1, 'a')", nil, nil, nil, nil)
	pipe.SendFlushRequest()
	require.NoError(t, pipe.Flush())
	res, err := pipe.GetResults()
	require.NoError(t, err)
	require.NoError(t, res.(*pgconn.ResultReader).Read().Err)
	pipe.SendQueryParams("INSERT INTO orders VALUES (2, 'b')", nil, nil, nil, nil)
	require.NoError(t, pipe.Sync())
	res, err = pipe.GetResults()
	require.NoError(t, err)
	require.NoError(t, res.(*pgconn.ResultReader).Read().Err)
	require.NoError(t, pipe.Close())
	require.Equal(t, int64(2), countOrders(t, pc))
}

func TestPreparedStatementsSurviveUpstreamReconnects(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[0], "")
	createOrders(t, pc)
	ctx := t.Context()
	_, err := pc.Prepare(ctx, "find", "SELECT count(*) FROM orders WHERE id = $1")
	require.NoError(t, err)
	for range 3 {
		var count int64
		require.NoError(t, pc.QueryRow(ctx, "find", int64(1)).Scan(&count))
		for _, ups := range fl.Groups {
			for _, up := range ups {
				up.DropConnections()
			}
		}
	}
}

func TestRefusalsSayNotRunAndKeepSessionUsable(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[0], "")
	createOrders(t, pc)
	ctx := t.Context()
	for query, number := range map[string]string{
		"LISTEN x":                             "BS202",
		"SELECT pg_advisory_lock(1)":           "BS201",
		"CREATE TEMP TABLE t (x INT)":          "BS203",
		"SET search_path = y":                  "BS205",
		"SELEC 1":                              "BS109",
		"SET banyanspring.nope = '1'":          "BS205",
		"SET banyanspring.read_class = 'nope'": "BS105",
	} {
		_, err := pc.Exec(ctx, query)
		require.Contains(t, requireRefusal(t, err, number), "(not run)", query)
	}
	require.Equal(t, int64(0), countOrders(t, pc))
}

func TestRefusalInTransactionAbortsIt(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[0], "")
	createOrders(t, pc)
	pg := pc.PgConn()
	ctx := t.Context()
	require.NoError(t, pg.Exec(ctx, "BEGIN").Close())
	require.NoError(t, pg.Exec(ctx, "INSERT INTO orders VALUES (1, 'a')").Close())
	requireRefusal(t, pg.Exec(ctx, "LISTEN x").Close(), "BS202")
	require.Equal(t, byte('E'), pg.TxStatus())
	requireRefusal(t, pg.Exec(ctx, "INSERT INTO orders VALUES (2, 'b')").Close(), "BS313")
	res, err := pg.Exec(ctx, "COMMIT").ReadAll()
	require.NoError(t, err)
	require.Equal(t, "ROLLBACK", res[0].CommandTag.String())
	require.Equal(t, byte('I'), pg.TxStatus())
	require.Equal(t, int64(0), countOrders(t, pc))
}

// TestTransactionInOneSimpleQuery guards against a lost connection. A failed simple
// query leaves its transaction aborted, so the position query that the home sends
// after it fails as well. The home must not treat that as a lost connection to the
// upstream.
func TestTransactionInOneSimpleQuery(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[0], "")
	createOrders(t, pc)
	pg := pc.PgConn()
	require.NoError(t, pg.Exec(t.Context(), "BEGIN; INSERT INTO orders VALUES (1, 'a'); COMMIT").Close())
	err := pg.Exec(t.Context(), "BEGIN; INSERT INTO orders VALUES (1, 'twice'); COMMIT").Close()
	var pe *pgconn.PgError
	require.ErrorAs(t, err, &pe)
	require.Equal(t, "23505", pe.Code)
	require.NoError(t, pg.Exec(t.Context(), "ROLLBACK").Close())
	require.Equal(t, int64(1), countOrders(t, pc))
}

func TestLoginRefusals(t *testing.T) {
	fl := startFleet(t, func(opts *fleet.Options) {
		opts.EditDocument = func(doc *docum.Document) {
			doc.Services[0].Limits.SessionsPerCaller = 2
		}
	})
	da := fl.Daemons()[0]
	good := fl.URL(da, "stationers", 0, 0)
	for url, number := range map[string]string{
		strings.Replace(good, fleet.Password, "wrong", 1):          "BS101",
		strings.Replace(good, "stationers:", "strangers:", 1):      "BS103",
		strings.Replace(good, "service-1.db1", "service-9.db1", 1): "BS102",
		good + "&search_path=x":                                    "BS205",
		good + "&banyanspring.token=x":                             "BS107",
		good + "&banyanspring.read_class=x":                        "BS105",
	} {
		_, err := pgx.Connect(t.Context(), url)
		requireRefusal(t, err, number)
	}
	connect(t, fl, da, "")
	connect(t, fl, da, "")
	_, err := pgx.Connect(t.Context(), good)
	requireRefusal(t, err, "BS303")
}

func TestCancelRequestToAnyDaemon(t *testing.T) {
	fl := startFleet(t, nil)
	daemons := fl.Daemons()
	for _, via := range daemons[:2] {
		pc := connect(t, fl, daemons[0], "")
		began := make(chan struct{})
		failed := make(chan error, 1)
		go func() {
			close(began)
			_, err := pc.Exec(context.WithoutCancel(t.Context()), "SELECT pg_sleep(30)")
			failed <- err
		}()
		<-began
		for done := false; !done; {
			sendCancelRequest(t, pc, via.CallerAddress())
			select {
			case err := <-failed:
				var pe *pgconn.PgError
				require.ErrorAs(t, err, &pe)
				require.Equal(t, "57014", pe.Code)
				done = true
			case <-time.After(20 * time.Millisecond):
			}
		}
		require.NoError(t, pc.Ping(t.Context()))
	}
}

func TestTokenCarriesMinPosition(t *testing.T) {
	fl := startFleet(t, nil)
	daemons := fl.Daemons()
	first := connect(t, fl, daemons[0], "")
	createOrders(t, first)
	var token string
	require.NoError(t, first.QueryRow(t.Context(), "SHOW banyanspring.token").Scan(&token))
	require.NotEmpty(t, token)
	roamed := connect(t, fl, daemons[2], "&banyanspring.token="+token)
	var carried string
	require.NoError(t, roamed.QueryRow(t.Context(), "SHOW banyanspring.token").Scan(&carried))
	require.Equal(t, token, carried)
	require.Equal(t, int64(0), countOrders(t, roamed))
}

// TestSettingsInBatch sends a batch in which all statements use the unnamed portal.
// Each Execute must apply the setting bound last before it, not the last of the batch.
func TestSettingsInBatch(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[0], "")
	batch := &pgx.Batch{}
	batch.Queue("SET banyanspring.read_class = 'catalogue'")
	batch.Queue("SET banyanspring.report_token = 'on'")
	batch.Queue("SHOW banyanspring.read_class")
	res := pc.SendBatch(t.Context(), batch)
	_, err := res.Exec()
	require.NoError(t, err)
	_, err = res.Exec()
	require.NoError(t, err)
	var name string
	require.NoError(t, res.QueryRow().Scan(&name))
	require.NoError(t, res.Close())
	require.Equal(t, "catalogue", name)
}

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	require.NoError(t, err)
	return key.String()
}

func TestRequestKeyRunsOnce(t *testing.T) {
	fl := startFleet(t, nil)
	daemons := fl.Daemons()
	first := connect(t, fl, daemons[0], "")
	second := connect(t, fl, daemons[1], "")
	createOrders(t, first)
	ctx := t.Context()
	query := "/* banyanspring request_key=" + newKey(t) + " */ INSERT INTO orders VALUES (1, 'a') RETURNING id"
	for _, pc := range []*pgx.Conn{first, second, first} {
		var id int64
		require.NoError(t, pc.QueryRow(ctx, query, pgx.QueryExecModeSimpleProtocol).Scan(&id))
		require.Equal(t, int64(1), id)
	}
	require.Equal(t, int64(1), countOrders(t, second))

	changed := strings.Replace(query, "'a'", "'b'", 1)
	_, err := second.Exec(ctx, changed)
	requireRefusal(t, err, "BS312")
	old := uuid.MustParse("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
	_, err = second.Exec(ctx, "/* banyanspring request_key="+old.String()+" */ INSERT INTO orders VALUES (3, 'c')")
	requireRefusal(t, err, "BS310")
	_, err = second.Exec(ctx, "/* banyanspring request_key="+uuid.NewString()+" */ INSERT INTO orders VALUES (3, 'c')")
	requireRefusal(t, err, "BS108")
	require.Equal(t, int64(1), countOrders(t, second))
}

func TestTransactionWithRequestKeyCommitsOnce(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[0], "")
	createOrders(t, pc)
	key := newKey(t)
	book := func() error {
		_, err := pc.Exec(t.Context(), "SET banyanspring.request_key = '"+key+"'")
		require.NoError(t, err)
		return pgx.BeginFunc(t.Context(), pc, func(tx pgx.Tx) error {
			_, err := tx.Exec(t.Context(), "INSERT INTO orders VALUES ((SELECT count(*) FROM orders), 'x')")
			return err
		})
	}
	require.NoError(t, book())
	requireRefusal(t, book(), "BS311")
	require.Equal(t, int64(1), countOrders(t, pc))
}

// TestConcurrentRequestsWithOneKeyRunOnce sends a write with one request key from
// nine sessions at the same time.
func TestConcurrentRequestsWithOneKeyRunOnce(t *testing.T) {
	fl := startFleet(t, nil)
	daemons := fl.Daemons()
	createOrders(t, connect(t, fl, daemons[0], ""))
	query := "/* banyanspring request_key=" + newKey(t) + " */ INSERT INTO orders VALUES ((SELECT count(*) FROM orders), 'x')"
	var wg sync.WaitGroup
	for pos := range 9 {
		pc := connect(t, fl, daemons[pos%len(daemons)], "")
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := pc.Exec(t.Context(), query)
			require.NoError(t, err)
		}()
	}
	wg.Wait()
	require.Equal(t, int64(1), countOrders(t, connect(t, fl, daemons[2], "")))
}

func TestLargeResultIsStreamed(t *testing.T) {
	fl := startFleet(t, nil)
	pc := connect(t, fl, fl.Daemons()[2], "")
	rows, err := pc.Query(t.Context(), "WITH RECURSIVE n(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM n WHERE x < 50000) SELECT x, 'a rather long filler text for each row' FROM n")
	require.NoError(t, err)
	var next int64
	for rows.Next() {
		var num int64
		var text string
		require.NoError(t, rows.Scan(&num, &text))
		next++
		require.Equal(t, next, num)
	}
	require.NoError(t, rows.Err())
	require.Equal(t, int64(50000), next)
}
