// Package front is the entry role: it holds callers' sessions, classifies
// their statements and sends them to the homes of the upstreams.
package front

import (
	"context"
	"crypto/tls"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/adopt"
	"banyanspring/core/class"
	"banyanspring/core/conf"
	"banyanspring/core/place"
	"banyanspring/core/posn"
	"banyanspring/core/retry"
	"banyanspring/core/route"
	"banyanspring/io/metric"
	"banyanspring/io/peer"
	"banyanspring/io/store"
)

// Cluster is what an entry needs of the rest of the fleet; its functions are
// seams.
type Cluster struct {
	// Document returns the configuration in force.
	Document func() *adopt.Snapshot
	// Group returns a database group as the platform last described it.
	Group func(name string) (store.Group, bool)
	// Run opens a stream to the home of an upstream; it lives until it is
	// closed or released. A repeatable request may get a stream whose peer is
	// gone.
	Run func(mem store.Member, repeatable bool) (peer.Stream, error)
	// Floor returns a confirmed position of a group that was asked for after
	// the call, and when.
	Floor func(ctx context.Context, gr store.Group) (posn.Position, time.Time, error)
	// Forward passes a cancel request on to other daemons.
	Forward func(ctx context.Context, pid, secret uint32)
	// Learn takes a term of a group that an answer told of.
	Learn func(group string, te posn.Term)
	// Refresh asks the members of a group for their terms.
	Refresh func(gr store.Group)
	// Reads orders the upstreams for a read.
	Reads func(ups []route.Upstream, rq route.Request, now time.Time) []route.Upstream
	// Avoid notes that the home of an upstream failed or is leaving.
	Avoid func(mem store.Member)
}

// Front accepts callers. It is safe for concurrent use.
type Front struct {
	settings conf.Caller
	shutdown conf.Shutdown
	site     place.Site
	log      *slog.Logger
	now      func() time.Time
	cluster  Cluster
	classes  *class.Classifier
	metrics  *metric.Metrics
	tls      *tls.Config
	boards   *boards

	// pidPrefix marks the cancel keys of this daemon.
	pidPrefix uint32
	nextPID   atomic.Uint32
	// replicaReads and primaryReads count the reads served.
	replicaReads, primaryReads atomic.Int64

	mu       sync.Mutex
	sessions map[uint32]*session
	// perCaller counts sessions by service and caller.
	perCaller map[string]int
	listener  net.Listener
	wg        sync.WaitGroup

	budgetMu sync.Mutex
	budget   *retry.Budget

	// leaving is closed once the daemon is to shut down.
	leaving chan struct{}
	// lastCall is when new requests are refused; set before leaving closes.
	lastCall time.Time
}

const (
	// retryRatio is the share of requests that may be retries.
	retryRatio = 0.2
	// retryBurst is how many retries a quiet time saves up.
	retryBurst = 100
	// pidPrefixBits and pidSequenceBits make up a process id, which is a
	// positive 32-bit number.
	pidPrefixBits   = 11
	pidSequenceBits = 20
)

// New returns a front that does not listen yet.
func New(
	settings conf.Settings,
	log *slog.Logger,
	now func() time.Time,
	cluster Cluster,
	metrics *metric.Metrics,
	tlsConfig *tls.Config,
) (*Front, error) {
	classes, err := class.New(settings.Caller.StatementCache)
	if err != nil {
		return nil, errors.Wrap(err, "statement cache")
	}
	return &Front{
		settings:  settings.Caller,
		shutdown:  settings.Shutdown,
		site:      place.Site{Domain: settings.Daemon.Domain, Region: settings.Daemon.Region},
		log:       log,
		now:       now,
		cluster:   cluster,
		classes:   classes,
		metrics:   metrics,
		tls:       tlsConfig,
		boards:    newBoards(),
		pidPrefix: PIDPrefix(settings.Daemon.ID),
		sessions:  make(map[uint32]*session),
		perCaller: make(map[string]int),
		budget:    retry.New(retryRatio, retryBurst),
		leaving:   make(chan struct{}),
	}, nil
}

// PIDPrefix returns the prefix of the cancel keys that a daemon gives out, so
// that a cancel request that reaches another daemon finds its way.
func PIDPrefix(daemon string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(daemon))
	return sum.Sum32() & (1<<pidPrefixBits - 1)
}

// PrefixOf returns the daemon's prefix in a process id.
func PrefixOf(pid uint32) uint32 { return pid >> pidSequenceBits }

// Serve accepts callers until the listener is closed.
func (fr *Front) Serve(ln net.Listener) {
	fr.mu.Lock()
	fr.listener = ln
	fr.mu.Unlock()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		fr.wg.Add(1)
		go func() {
			defer fr.wg.Done()
			fr.handle(nc)
		}()
	}
}

// Reads returns how many reads replicas and primaries have served.
func (fr *Front) Reads() (replica, primary int64) {
	return fr.replicaReads.Load(), fr.primaryReads.Load()
}

// Sessions returns how many sessions are open.
func (fr *Front) Sessions() int {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return len(fr.sessions)
}

// Cancel interrupts the session with the key; it reports whether it is here.
func (fr *Front) Cancel(pid, secret uint32) bool {
	fr.mu.Lock()
	se := fr.sessions[pid]
	fr.mu.Unlock()
	if se == nil || se.secret != secret {
		return false
	}
	se.interrupt()
	return true
}

// Leave takes no new sessions and closes idle ones; requests and transactions
// go on until the deadline. It returns once all sessions have ended or the
// context is done.
func (fr *Front) Leave(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = fr.now().Add(fr.shutdown.Deadline)
	}
	fr.lastCall = deadline.Add(-fr.shutdown.LastCall)
	close(fr.leaving)
	fr.mu.Lock()
	if fr.listener != nil {
		_ = fr.listener.Close()
	}
	for _, se := range fr.sessions {
		se.wake()
	}
	fr.mu.Unlock()
	done := make(chan struct{})
	go func() {
		fr.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close drops all sessions at once.
func (fr *Front) Close() {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.listener != nil {
		_ = fr.listener.Close()
	}
	for _, se := range fr.sessions {
		_ = se.net.Close()
	}
}

func (fr *Front) isLeaving() bool {
	select {
	case <-fr.leaving:
		return true
	default:
		return false
	}
}

// noteRequest fills the retry budget; takeRetry draws on it.
func (fr *Front) noteRequest() {
	fr.budgetMu.Lock()
	defer fr.budgetMu.Unlock()
	fr.budget.Request()
}

func (fr *Front) takeRetry() bool {
	fr.budgetMu.Lock()
	defer fr.budgetMu.Unlock()
	return fr.budget.Take()
}

func (fr *Front) newPID() uint32 {
	seq := fr.nextPID.Add(1) & (1<<pidSequenceBits - 1)
	return fr.pidPrefix<<pidSequenceBits | seq
}

func newSecret() uint32 { return rand.Uint32() }
