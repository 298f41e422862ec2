package tests

import (
	"net"
	"runtime"
	"syscall"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"
	"google.golang.org/grpc/credentials/insecure"

	"banyanspring/core/place"
	"banyanspring/io/daemon"
	"banyanspring/io/fleet"
	"banyanspring/io/home"
	"banyanspring/io/peer"
)

// benchFleet starts a fleet without simulated latencies and statement costs, so that
// only the time of the daemons is measured.
func benchFleet(b *testing.B, perPlace int, edit func(*daemon.Dependencies)) *fleet.Fleet {
	b.Helper()
	opts := fleet.QalamBirligi()
	opts.DaemonsPerPlace = perPlace
	opts.DomainLatency, opts.RegionLatency, opts.CallerLatency = 0, 0, 0
	opts.StatementCost = 0
	opts.EditDependencies = edit
	fl, err := fleet.Start(b.Context(), opts)
	require.NoError(b, err)
	b.Cleanup(fl.Close)
	require.NoError(b, fl.AwaitMembership(b.Context()))
	return fl
}

func benchRead(b *testing.B, fl *fleet.Fleet, da *daemon.Daemon) {
	b.Helper()
	pc, err := pgx.Connect(b.Context(), fl.URL(da, "stationers", 0, 0))
	require.NoError(b, err)
	defer func() { _ = pc.Close(b.Context()) }()
	var count int64
	for b.Loop() {
		if err := pc.QueryRow(b.Context(), "SELECT count(*) FROM orders").Scan(&count); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRead reads from a replica in the caller's failure domain: through the
// replica's home, through another daemon of the domain, and with a pool on every
// daemon.
func BenchmarkRead(b *testing.B) {
	run := func(name string, perPlace int, selectDaemon func(*fleet.Fleet) *daemon.Daemon, edit func(*daemon.Dependencies)) {
		b.Run(name, func(b *testing.B) {
			fl := benchFleet(b, perPlace, edit)
			pc, err := pgx.Connect(b.Context(), fl.URL(fl.Daemons()[0], "stationers", 0, 0))
			require.NoError(b, err)
			_, err = pc.Exec(b.Context(), "CREATE TABLE orders (id BIGINT PRIMARY KEY, item TEXT)")
			require.NoError(b, err)
			benchRead(b, fl, selectDaemon(fl))
		})
	}
	daemonInSecondDomain := func(isHome bool) func(*fleet.Fleet) *daemon.Daemon {
		return func(fl *fleet.Fleet) *daemon.Daemon {
			replica := fl.Groups[fleet.GroupName(0, 0)][1].Name()
			for _, da := range fl.Daemons() {
				inDomain := da.Settings.Daemon.Domain == fl.PlaceOf(fl.Daemons()[2]).Domain
				if inDomain && da.IsHomeOf(replica) == isHome {
					return da
				}
			}
			return nil
		}
	}
	firstInSecondDomain := func(fl *fleet.Fleet) *daemon.Daemon { return fl.Daemons()[2] }
	run("direct", 2, firstInSecondDomain, func(se *daemon.Dependencies) {
		se.PoolEverywhere = true
		se.PoolDivisor = 6
	})
	run("home", 2, daemonInSecondDomain(true), nil)
	run("through_peer", 2, daemonInSecondDomain(false), nil)
}

// openIdleSession logs in a session without a driver, so that the test keeps only
// the socket.
func openIdleSession(b *testing.B, address string) net.Conn {
	b.Helper()
	nc, err := net.Dial("tcp", address)
	require.NoError(b, err)
	fe := pgproto3.NewFrontend(nc, nc)
	fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "stationers", "database": "service-1.db1"},
	})
	require.NoError(b, fe.Flush())
	cl, err := scram.SHA256.NewClient("", fleet.Password, "")
	require.NoError(b, err)
	conv := cl.NewConversation()
	for {
		msg, err := fe.Receive()
		require.NoError(b, err)
		switch msg := msg.(type) {
		case *pgproto3.AuthenticationSASL:
			first, err := conv.Step("")
			require.NoError(b, err)
			fe.Send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)})
			require.NoError(b, fe.Flush())
		case *pgproto3.AuthenticationSASLContinue:
			final, err := conv.Step(string(msg.Data))
			require.NoError(b, err)
			fe.Send(&pgproto3.SASLResponse{Data: []byte(final)})
			require.NoError(b, fe.Flush())
		case *pgproto3.ReadyForQuery:
			return nc
		}
	}
}

// memoryInUse returns the bytes of heap and stack in use after garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapInuse + ms.StackInuse
}

// BenchmarkIdleSession reports the memory of an idle session, including the test's
// end of the socket.
func BenchmarkIdleSession(b *testing.B) {
	for _, count := range []int{250, 1000} {
		b.Run("", func(b *testing.B) {
			fl := benchFleet(b, 1, nil)
			address := fl.Daemons()[0].CallerAddress()
			// The first session allocates memory that later ones share.
			openIdleSession(b, address)
			for b.Loop() {
				before := memoryInUse()
				conns := make([]net.Conn, count)
				for pos := range conns {
					conns[pos] = openIdleSession(b, address)
				}
				b.ReportMetric(float64(memoryInUse()-before)/float64(count), "B/session")
				for _, nc := range conns {
					_ = nc.Close()
				}
			}
		})
	}
}

// BenchmarkPeerConnection reports the memory of one gRPC connection between daemons,
// including both ends.
func BenchmarkPeerConnection(b *testing.B) {
	for _, count := range []int{50, 200} {
		b.Run("", func(b *testing.B) {
			fl := benchFleet(b, 1, nil)
			mem := place.Member{ID: "peer", Address: fl.Daemons()[0].PeerAddress()}
			for b.Loop() {
				before := memoryInUse()
				clients := make([]*peer.Client, count)
				for pos := range clients {
					clients[pos] = peer.NewClient(insecure.NewCredentials(), home.DialTCP)
					// A client connects on its first call.
					_, err := clients[pos].Cancel(b.Context(), mem, 0, 0)
					require.NoError(b, err)
				}
				b.ReportMetric(float64(memoryInUse()-before)/float64(count), "B/connection")
				for _, cl := range clients {
					cl.Close()
				}
			}
		})
	}
}

// BenchmarkStatement runs reads from many sessions at once and reports the CPU time
// per statement, including the caller, the daemons and the stand-in.
func BenchmarkStatement(b *testing.B) {
	fl := benchFleet(b, 1, nil)
	da := fl.Daemons()[1]
	first, err := pgx.Connect(b.Context(), fl.URL(da, "stationers", 0, 0))
	require.NoError(b, err)
	defer func() { _ = first.Close(b.Context()) }()
	_, err = first.Exec(b.Context(), "CREATE TABLE orders (id BIGINT PRIMARY KEY, item TEXT)")
	require.NoError(b, err)
	var before, after syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	b.RunParallel(func(pb *testing.PB) {
		pc, err := pgx.Connect(b.Context(), fl.URL(da, "stationers", 0, 0))
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = pc.Close(b.Context()) }()
		var count int64
		for pb.Next() {
			if err := pc.QueryRow(b.Context(), "SELECT count(*) FROM orders").Scan(&count); err != nil {
				b.Error(err)
				return
			}
		}
	})
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	used := after.Utime.Nano() - before.Utime.Nano() + after.Stime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(used)/float64(b.N)/1000, "cpu-us/op")
}
