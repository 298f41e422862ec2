package front

import (
	"bytes"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"banyanspring/core/adopt"
	"banyanspring/core/conf"
	"banyanspring/core/docum"
	"banyanspring/core/posn"
	"banyanspring/core/route"
	"banyanspring/core/sessn"
	"banyanspring/io/metric"
	"banyanspring/io/peer"
	"banyanspring/io/store"
	"banyanspring/io/wire"
)

// stubStream returns a stream that answers each unit with an empty UnitEnd.
func stubStream() peer.Stream {
	ends := make(chan *wire.RunReply, 16)
	return peer.Stream{
		Send: func(rq *wire.RunRequest) error {
			if rq.GetUnit() != nil {
				ends <- &wire.RunReply{Kind: &wire.RunReply_End{End: &wire.UnitEnd{TransactionStatus: 'I'}}}
			}
			return nil
		},
		Recv:  func() (*wire.RunReply, error) { return <-ends, nil },
		Close: func() {},

		Release: func() {},
	}
}

// stubFront returns a front whose only upstream is a stubStream.
func stubFront(tb testing.TB, metrics *metric.Metrics) *Front {
	tb.Helper()
	doc := docum.Document{Services: []docum.Service{{
		Name:         "s",
		Databases:    []docum.Database{{Name: "d", Group: "g"}},
		Callers:      []docum.Caller{{Name: "c", Weight: 1}},
		Classes:      []docum.ReadClass{{Name: "standard", MaxAge: docum.Duration(time.Second), ServeWhenCutOff: true}},
		DefaultClass: "standard",
		Limits:       docum.Limits{StatementTimeout: docum.Duration(time.Second)},
	}}}
	settings := conf.Settings{
		Caller:   conf.Caller{MaxMessageBytes: 1 << 16, StatementCache: 100},
		Shutdown: conf.Shutdown{Deadline: time.Second, IdleGrace: time.Millisecond},
	}
	gr := store.Group{Name: "g", Primary: "u", Members: []store.Member{{Name: "u"}}}
	fr, err := New(settings, slog.New(slog.DiscardHandler), time.Now, Cluster{
		Document:     func() *adopt.Snapshot { return &adopt.Snapshot{Version: 1, Document: doc} },
		Group:        func(string) (store.Group, bool) { return gr, true },
		OpenStream:   func(store.Member, bool) (peer.Stream, error) { return stubStream(), nil },
		RankForRead:  route.ReadCandidates,
		SuspectHome:  func(store.Member) {},
		LearnTerm:    func(string, posn.Term) {},
		RefreshTerms: func(store.Group) {},
	}, metrics, nil)
	require.NoError(tb, err)
	return fr
}

// memoryConn is an in-memory connection that returns io.EOF after the bytes in in
// and collects everything written in out.
type memoryConn struct {
	net.Conn
	in  *bytes.Reader
	out bytes.Buffer
}

func (mc *memoryConn) Read(buf []byte) (int, error)     { return mc.in.Read(buf) }
func (mc *memoryConn) Write(buf []byte) (int, error)    { return mc.out.Write(buf) }
func (mc *memoryConn) Close() error                     { return nil }
func (mc *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (mc *memoryConn) SetDeadline(time.Time) error      { return nil }
func (mc *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// runSession feeds raw to a session past the login and returns its output.
func runSession(fr *Front, raw []byte) []byte {
	mc := &memoryConn{in: bytes.NewReader(raw)}
	se := &session{
		front:    fr,
		net:      mc,
		backend:  newBackend(mc, mc, fr.settings.MaxMessageBytes),
		database: "s.d",
		caller:   docum.Caller{Name: "c", Weight: 1},
		state:    sessn.New(time.Now()).WithToken(sessn.State{}.MinPosition),
	}
	se.loop()
	return mc.out.Bytes()
}

func encode(tb testing.TB, msgs ...pgproto3.FrontendMessage) []byte {
	tb.Helper()
	var raw []byte
	for _, msg := range msgs {
		var err error
		raw, err = msg.Encode(raw)
		require.NoError(tb, err)
	}
	return raw
}

// FuzzSession checks that a session neither panics nor hangs on arbitrary input.
// It may refuse messages and end.
func FuzzSession(f *testing.F) {
	seeds := [][]byte{
		encode(f, &pgproto3.Query{String: "SELECT 1"}),
		encode(f, &pgproto3.Parse{Query: "SELECT $1"}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Sync{}),
		encode(f, &pgproto3.Parse{Name: "a", Query: "INSERT INTO t VALUES (1)"}, &pgproto3.Bind{PreparedStatement: "a"},
			&pgproto3.Execute{}, &pgproto3.Flush{}, &pgproto3.Sync{}),
		encode(f, &pgproto3.Query{String: "SET banyanspring.read_class = 'standard'"}, &pgproto3.Query{String: "LISTEN x"}),
		encode(f, &pgproto3.Parse{Query: "SHOW banyanspring.token"}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'},
			&pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'P'}, &pgproto3.Sync{}),
		encode(f, &pgproto3.Execute{Portal: "none"}, &pgproto3.Sync{}, &pgproto3.Sync{}, &pgproto3.Terminate{}),
		encode(f, &pgproto3.CopyData{Data: []byte("x")}),
		{'Q', 0, 0, 0, 3},
		{0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	}
	for _, seed := range seeds {
		f.Add(seed)
	}
	metrics := metric.New()
	f.Cleanup(metrics.Close)
	fr := stubFront(f, metrics)
	f.Fuzz(func(_ *testing.T, raw []byte) { runSession(fr, raw) })
}

// TestEachSyncAndQueryGetsOneReadyForQuery guards against a missing or an extra
// ReadyForQuery after errors and Flush, after which a driver assigns replies to the
// wrong requests.
func TestEachSyncAndQueryGetsOneReadyForQuery(t *testing.T) {
	metrics := metric.New()
	defer metrics.Close()
	fr := stubFront(t, metrics)
	raw := encode(t,
		&pgproto3.Query{String: "SELECT 1"},
		&pgproto3.Execute{Portal: "none"}, &pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Sync{},
		&pgproto3.Sync{},
		&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Flush{}, &pgproto3.Sync{},
		&pgproto3.Query{String: "LISTEN x"},
		&pgproto3.Terminate{},
	)
	fe := pgproto3.NewFrontend(bytes.NewReader(runSession(fr, raw)), nil)
	ready := 0
	for {
		msg, err := fe.Receive()
		if err != nil {
			break
		}
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			ready++
		}
	}
	require.Equal(t, 5, ready)
}
