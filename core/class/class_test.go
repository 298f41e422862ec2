package class

import (
	"testing"

	"github.com/stretchr/testify/require"

	"banyanspring/core/codes"
)

func TestQueryTextsAreClassified(t *testing.T) {
	cl, err := New(100)
	require.NoError(t, err)
	cases := []struct {
		text string
		want Kind
	}{
		{"SELECT 1", Read},
		{"SELECT count(*), max(x) FROM t WHERE lower(y) = $1", Read},
		{"VALUES (1), (2)", Read},
		{"WITH a AS (SELECT 1) SELECT * FROM a", Read},
		{"EXPLAIN SELECT 1", Read},
		{"EXPLAIN ANALYZE SELECT 1", Write},
		{"SELECT 1; SELECT 2", Read},
		{"SELECT * FROM t FOR UPDATE", Write},
		{"SELECT * INTO u FROM t", Write},
		{"SELECT nextval('s')", Write},
		{"SELECT my_function(1)", Write},
		{"SELECT other.lower('x')", Write},
		{"WITH a AS (INSERT INTO t VALUES (1) RETURNING x) SELECT * FROM a", Write},
		{"SELECT * FROM t WHERE x IN (SELECT pg_advisory_xact_lock(1))", Write},
		{"INSERT INTO t VALUES (1)", Write},
		{"CREATE TABLE t (x INT)", Write},
		{"SET LOCAL statement_timeout = 5", Write},
		{"SELECT 1; DELETE FROM t", Write},
		{"BEGIN", Begin},
		{"BEGIN READ ONLY", BeginReadOnly},
		{"START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY", BeginReadOnly},
		{"BEGIN READ WRITE", Begin},
		{"COMMIT", Commit},
		{"ROLLBACK", Rollback},
		{"SAVEPOINT a", Write},
		{"-- nothing", Empty},
		{"SET banyanspring.read_class = 'x'", Local},
		{"SHOW banyanspring.token", Local},
		{"SET client_encoding = 'UTF8'", Local},
		{"DISCARD ALL", Local},
	}
	for _, ca := range cases {
		ba, err := cl.Classify(ca.text)
		require.NoError(t, err, ca.text)
		require.Equal(t, ca.want, ba.Kind(), ca.text)
	}
}

func TestStatementsThatBreakPoolingAreRefused(t *testing.T) {
	cl, err := New(100)
	require.NoError(t, err)
	cases := map[string]codes.Code{
		"SELECT pg_advisory_lock(1)":                       codes.SessionLock,
		"SELECT 1 WHERE pg_try_advisory_lock(2)":           codes.SessionLock,
		"LISTEN x":                                         codes.Listen,
		"UNLISTEN *":                                       codes.Listen,
		"CREATE TEMP TABLE t (x INT)":                      codes.TemporaryTable,
		"CREATE TEMP TABLE t AS SELECT 1":                  codes.TemporaryTable,
		"SELECT 1 INTO TEMP t":                             codes.TemporaryTable,
		"COPY t FROM STDIN":                                codes.Copy,
		"SET search_path = x":                              codes.UnknownSet,
		"SET timezone = 'Asia/Almaty'":                     codes.UnknownSet,
		"SELECT set_config('a.b', 'c', false)":             codes.UnknownSet,
		"PREPARE p AS SELECT 1":                            codes.SQLPrepare,
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1":          codes.HoldCursor,
		"PREPARE TRANSACTION 'x'":                          codes.TwoPhase,
		"COMMIT AND CHAIN":                                 codes.TwoPhase,
		"SET banyanspring.read_class = 'x'; DELETE FROM t": codes.LocalInBatch,
		"BEGIN; SELECT pg_advisory_lock(1); COMMIT":        codes.SessionLock,
		"DO $$ BEGIN PERFORM 1; END $$; LISTEN x":          codes.Listen,
	}
	for text, want := range cases {
		ba, err := cl.Classify(text)
		require.NoError(t, err, text)
		ref := ba.Refusal()
		require.NotNil(t, ref, text)
		require.Equal(t, want, ref.Code, text)
		require.True(t, ref.NotRun(), text)
	}
	_, err = cl.Classify("SELEC 1")
	require.True(t, codes.Is(err, codes.SyntaxError))
}

func TestOptionsComeFromALeadingComment(t *testing.T) {
	cl, err := New(100)
	require.NoError(t, err)
	ba, err := cl.Classify("/* banyanspring request_key=abc read_class=fast */ INSERT INTO t VALUES (1)")
	require.NoError(t, err)
	require.Equal(t, Options{RequestKey: "abc", ReadClass: "fast"}, ba.Options)
}

func BenchmarkClassify(b *testing.B) {
	cl, err := New(100)
	require.NoError(b, err)
	const text = "SELECT id, item FROM orders WHERE id = $1"
	b.Run("cached", func(b *testing.B) {
		for b.Loop() {
			_, _ = cl.Classify(text)
		}
	})
	b.Run("parsed", func(b *testing.B) {
		for b.Loop() {
			_, _ = classify(text)
		}
	})
}
