// Package front serves callers: it accepts their sessions in the Postgres protocol,
// classifies their statements and sends these to the homes of the upstreams, the
// daemons that hold the connections to them.
//
// A batch is a sequence of extended-protocol messages up to a Sync. A unit is a
// sequence of messages that is routed and answered as a whole: one Query, or the
// part of a batch up to the next Flush or Sync. A request is a unit while it is
// routed and run.
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

// Cluster holds the dependencies of a Front on the rest of the daemon and on
// other daemons, as functions that tests can replace.
type Cluster struct {
	// Document returns the current configuration.
	Document func() *adopt.Snapshot
	// Group returns a database group as the platform last described it.
	Group func(name string) (store.Group, bool)
	// OpenStream opens a stream to the home of an upstream. Whoever opens it must
	// release it after a reply that left no transaction or batch open, and close
	// it otherwise. If repeatable is true, the stream may be an idle one whose
	// peer is gone, so it must be set only for reads, which can be sent again.
	OpenStream func(mem store.Member, repeatable bool) (peer.Stream, error)
	// ConfirmedPosition returns a position of the group's primary that a majority
	// has confirmed, and the start time of the query for it, which is never earlier
	// than the call.
	ConfirmedPosition func(ctx context.Context, gr store.Group) (posn.Position, time.Time, error)
	// ForwardCancel forwards a cancel request to the daemons that may hold the session.
	ForwardCancel func(ctx context.Context, pid, secret uint32)
	// LearnTerm records a term of a group that the reply of a home contained.
	LearnTerm func(group string, te posn.Term)
	// RefreshTerms asks the members of a group for their terms, without waiting.
	RefreshTerms func(gr store.Group)
	// RankForRead returns the upstreams that may serve a read, best first.
	RankForRead func(ups []route.Upstream, rq route.Request, now time.Time) []route.Upstream
	// SuspectHome marks the home of an upstream as suspect, because it failed or is
	// leaving.
	SuspectHome func(mem store.Member)
}

// Front accepts connections of callers and serves their sessions. It is safe
// for concurrent use.
type Front struct {
	settings   conf.Caller
	shutdown   conf.Shutdown
	site       place.Site
	log        *slog.Logger
	now        func() time.Time
	cluster    Cluster
	classifier *class.Classifier
	metrics    *metric.Metrics
	tls        *tls.Config
	routes     *routingTables

	// pidPrefix is the prefix of the process ids in this daemon's cancel keys.
	pidPrefix uint32
	// lastSequence is the sequence number of the last process id issued.
	lastSequence atomic.Uint32
	// replicaReads and primaryReads count the reads served by each role.
	replicaReads, primaryReads atomic.Int64

	mu       sync.Mutex
	sessions map[uint32]*session
	// sessionsPerCaller counts the open sessions by session.callerKey.
	sessionsPerCaller map[string]int
	listener          net.Listener
	wg                sync.WaitGroup

	retryBudgetMu sync.Mutex
	retryBudget   *retry.Budget

	// leaving is closed when the shutdown begins.
	leaving chan struct{}
	// refuseFrom is the time from which idle sessions may start no request, before
	// the end of the shutdown. It is set before leaving is closed, and read only
	// after.
	refuseFrom time.Time
}

const (
	// retryRatio is the number of retries that each request adds to the budget,
	// and so the share of requests that may be retries.
	retryRatio = 0.2
	// retryBurst is the capacity of the retry budget, that is the largest burst of
	// retries after a period with few failures.
	retryBurst = 100
	// pidPrefixBits and pidSequenceBits are the parts of a process id, which is
	// a positive signed 32-bit number.
	pidPrefixBits   = 11
	pidSequenceBits = 20
)

// New returns a front that accepts no connections until Serve is called.
func New(
	settings conf.Settings,
	log *slog.Logger,
	now func() time.Time,
	cluster Cluster,
	metrics *metric.Metrics,
	tlsConfig *tls.Config,
) (*Front, error) {
	cl, err := class.New(settings.Caller.StatementCache)
	if err != nil {
		return nil, errors.Wrap(err, "create statement cache")
	}
	return &Front{
		settings:          settings.Caller,
		shutdown:          settings.Shutdown,
		site:              place.Site{Domain: settings.Daemon.Domain, Region: settings.Daemon.Region},
		log:               log,
		now:               now,
		cluster:           cluster,
		classifier:        cl,
		metrics:           metrics,
		tls:               tlsConfig,
		routes:            newRoutingTables(),
		pidPrefix:         PIDPrefix(settings.Daemon.ID),
		sessions:          make(map[uint32]*session),
		sessionsPerCaller: make(map[string]int),
		retryBudget:       retry.New(retryRatio, retryBurst),
		leaving:           make(chan struct{}),
	}, nil
}

// PIDPrefix returns the prefix of the process ids that the daemon with this id puts
// into cancel keys. A daemon that receives a cancel request for another daemon's
// session forwards it to the daemons with the prefix. Daemons may share a prefix.
func PIDPrefix(daemon string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(daemon))
	return sum.Sum32() & (1<<pidPrefixBits - 1)
}

// PrefixOfPID extracts the daemon's PIDPrefix from a process id.
func PrefixOfPID(pid uint32) uint32 { return pid >> pidSequenceBits }

// Serve accepts connections until Accept fails, as it does once the listener is
// closed.
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
			fr.serveConn(nc)
		}()
	}
}

// ReadCounts returns the number of reads that replicas and primaries have served.
func (fr *Front) ReadCounts() (replica, primary int64) {
	return fr.replicaReads.Load(), fr.primaryReads.Load()
}

// Sessions returns the number of open sessions.
func (fr *Front) Sessions() int {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return len(fr.sessions)
}

// Cancel interrupts the session with the cancel key and reports whether this
// daemon holds it.
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

// Leave drains the front: it accepts no new sessions, and ends sessions once they
// have been idle for the idle grace. Sessions may start new requests until
// refuseFrom, and may finish transactions after it. Leave returns once all sessions
// have ended or the context is done, and leaves the remaining ones to Close.
func (fr *Front) Leave(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = fr.now().Add(fr.shutdown.Deadline)
	}
	fr.refuseFrom = deadline.Add(-fr.shutdown.LastCall)
	close(fr.leaving)
	fr.mu.Lock()
	if fr.listener != nil {
		_ = fr.listener.Close()
	}
	for _, se := range fr.sessions {
		se.startIdleGrace()
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

// Close closes the listener and all connections immediately.
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

// creditRetryBudget adds retryRatio retries to the budget for a new request.
func (fr *Front) creditRetryBudget() {
	fr.retryBudgetMu.Lock()
	defer fr.retryBudgetMu.Unlock()
	fr.retryBudget.RecordRequest()
}

// drawRetryBudget takes one retry from the budget and reports whether it had one.
func (fr *Front) drawRetryBudget() bool {
	fr.retryBudgetMu.Lock()
	defer fr.retryBudgetMu.Unlock()
	return fr.retryBudget.Take()
}

func (fr *Front) newPID() uint32 {
	seq := fr.lastSequence.Add(1) & (1<<pidSequenceBits - 1)
	return fr.pidPrefix<<pidSequenceBits | seq
}

func newSecret() uint32 { return rand.Uint32() }
