package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"banyanspring/core/docum"
	"banyanspring/io/daemon"
	"banyanspring/io/fleet"
	"banyanspring/io/home"
	"banyanspring/io/store"
)

// ControlOptions configures the measurement of a fleet without callers. Daemons and
// Databases are the totals of the fleet; Domains is the number of failure domains.
type ControlOptions struct {
	Daemons, Databases, Domains int
	// Length is how long the idle fleet is measured.
	Length time.Duration
}

// ControlResult holds the cost of a fleet's control traffic and the times in which
// changes reach all daemons.
type ControlResult struct {
	Scenario  string `json:"scenario"`
	Daemons   int    `json:"daemons"`
	Databases int    `json:"databases"`
	Domains   int    `json:"domains"`
	// BytesPerSecond is the mean of a daemon's peer traffic, sent and received.
	BytesPerSecond float64 `json:"control_bytes_per_s"`
	// CPUShare is the process's CPU time, stand-ins included, per second and
	// daemon; 1 is a whole core.
	CPUShare float64 `json:"control_cpu_share"`
	// BytesHeld is the process's heap and stack in use per daemon, stand-ins
	// included.
	BytesHeld           float64 `json:"control_bytes_held"`
	GoroutinesPerDaemon float64 `json:"goroutines"`
	// StoreCallsPerSec counts the calls of the whole fleet to the platform.
	StoreCallsPerSec float64 `json:"store_calls_per_s"`
	// InForceMillis and InForceWorstMillis are the median and the longest time
	// from the write of a document until every daemon uses it.
	InForceMillis      float64 `json:"config_in_force_ms"`
	InForceWorstMillis float64 `json:"config_in_force_worst_ms"`
	// JoinMillis and DeathMillis are the times until every daemon has added a
	// started daemon, and removed a killed one.
	JoinMillis  float64 `json:"view_converged_join_ms"`
	DeathMillis float64 `json:"view_converged_death_ms"`
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (cc *countingConn) Read(buf []byte) (int, error) {
	num, err := cc.Conn.Read(buf)
	cc.bytes.Add(int64(num))
	return num, err
}

func (cc *countingConn) Write(buf []byte) (int, error) {
	num, err := cc.Conn.Write(buf)
	cc.bytes.Add(int64(num))
	return num, err
}

// ExecuteControl starts a fleet and measures it without callers.
func ExecuteControl(ctx context.Context, opts ControlOptions) (*ControlResult, error) {
	var bytes atomic.Int64
	fl, err := fleet.Start(ctx, controlFleet(opts, &bytes))
	if err != nil {
		return nil, err
	}
	defer fl.Close()
	if err := fl.AwaitMembership(ctx); err != nil {
		return nil, err
	}
	re := &ControlResult{Scenario: "fleet", Daemons: opts.Daemons, Databases: opts.Databases, Domains: opts.Domains}
	re.measureIdle(fl, opts.Length, &bytes)
	if err := re.measureDocumentChanges(ctx, fl); err != nil {
		return nil, err
	}
	return re, re.measureViewConvergence(ctx, fl)
}

func controlFleet(opts ControlOptions, bytes *atomic.Int64) fleet.Options {
	out := fleet.QalamBirligi()
	out.Places = nil
	for pos := range opts.Domains {
		out.Places = append(out.Places, fleet.Place{
			Domain: fmt.Sprintf("domain-%d", pos),
			Region: fmt.Sprintf("region-%d", pos%2),
		})
	}
	out.DaemonsPerPlace = opts.Daemons / opts.Domains
	out.DatabasesPerService = opts.Databases
	out.DomainLatency, out.RegionLatency = 0, 0
	out.EditDependencies = func(se *daemon.Dependencies) {
		se.DialPeer = func(ctx context.Context, address string) (net.Conn, error) {
			nc, err := home.DialTCP(ctx, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: nc, bytes: bytes}, nil
		}
	}
	return out
}

// cpuTime returns the process's user and system CPU time, or 0 if it cannot be
// read.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

func (re *ControlResult) measureIdle(fl *fleet.Fleet, length time.Duration, bytes *atomic.Int64) {
	// warmUp keeps the traffic of the start out of the measurement.
	const warmUp = 3 * time.Second
	time.Sleep(warmUp)
	daemons := float64(len(fl.Daemons()))
	calls, sent, cpu := fl.Platform.Calls(), bytes.Load(), cpuTime()
	time.Sleep(length)
	seconds := length.Seconds()
	re.StoreCallsPerSec = float64(fl.Platform.Calls()-calls) / seconds
	// Only the dialling daemon counts a byte, but both ends transfer it.
	re.BytesPerSecond = 2 * float64(bytes.Load()-sent) / seconds / daemons
	re.CPUShare = (cpuTime() - cpu).Seconds() / seconds / daemons
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	re.BytesHeld = float64(ms.HeapInuse+ms.StackInuse) / daemons
	re.GoroutinesPerDaemon = float64(runtime.NumGoroutine()) / daemons
}

// documentChanges is the number of timed changes of the document.
const documentChanges = 9

func (re *ControlResult) measureDocumentChanges(ctx context.Context, fl *fleet.Fleet) error {
	cl := store.New(fl.Platform.Address(), http.DefaultTransport)
	var took []float64
	for round := range documentChanges {
		obj, err := cl.Get(ctx, store.KindDocument, store.CurrentDocument)
		if err != nil {
			return err
		}
		var doc docum.Document
		if err := json.Unmarshal(obj.Value, &doc); err != nil {
			return err
		}
		doc.Services[0].Limits.QueuePerCaller = round + 1
		began := time.Now()
		version, err := cl.Put(ctx, store.KindDocument, store.CurrentDocument, obj.Version, doc)
		if err != nil {
			return err
		}
		awaitAll(ctx, fl, func(da *daemon.Daemon) bool { return da.DocumentVersion() >= version })
		took = append(took, sinceMillis(began))
	}
	slices.Sort(took)
	re.InForceMillis, re.InForceWorstMillis = took[len(took)/2], took[len(took)-1]
	return nil
}

func (re *ControlResult) measureViewConvergence(ctx context.Context, fl *fleet.Fleet) error {
	began := time.Now()
	joined, err := fl.StartDaemon(ctx, fl.PlaceOf(fl.Daemons()[0]))
	if err != nil {
		return err
	}
	count := len(fl.Daemons())
	awaitAll(ctx, fl, func(da *daemon.Daemon) bool { return da.Members() == count })
	re.JoinMillis = sinceMillis(began)
	began = time.Now()
	fl.KillDaemon(joined)
	awaitAll(ctx, fl, func(da *daemon.Daemon) bool { return da.Members() == count-1 })
	re.DeathMillis = sinceMillis(began)
	return nil
}

// awaitAll polls until isDone holds for every daemon or the context is done.
func awaitAll(ctx context.Context, fl *fleet.Fleet, isDone func(*daemon.Daemon) bool) {
	const pollEvery = 5 * time.Millisecond
	for _, da := range fl.Daemons() {
		for !isDone(da) && ctx.Err() == nil {
			time.Sleep(pollEvery)
		}
	}
}

func sinceMillis(began time.Time) float64 {
	return float64(time.Since(began).Microseconds()) / 1000
}
