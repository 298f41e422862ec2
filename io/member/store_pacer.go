package member

import (
	"context"
	"math/rand/v2"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/life"
	"banyanspring/core/retry"
)

const (
	// storePauseMin and storePauseMax are the shortest and the longest pause after
	// failed calls to the store. The platform's time bounds begin some seconds
	// after the store is back.
	storePauseMin = 200 * time.Millisecond
	storePauseMax = 1600 * time.Millisecond
	// startupStorePauseMax is the longest pause of a member that cannot serve yet.
	startupStorePauseMax = 300 * time.Millisecond
	// startupFirstByte bounds the wait for the first byte of an answer in most calls of
	// a member that cannot serve yet: a hundred times the store's usual response time.
	startupFirstByte = 500 * time.Millisecond
	startupLongCall  = 6
	// storePoll is the time between two checks whether a call is allowed.
	storePoll = 50 * time.Millisecond
)

// errStorePaused is returned instead of calling a store that failed recently.
var errStorePaused = errors.New("calls to the store are paused after a failure")

// storePacer spaces this member's calls to a failing store, across all its
// components. It is safe for concurrent use.
type storePacer struct {
	me *Member

	mu    sync.Mutex
	pacer *retry.Pacer
	// failures counts the failed calls in a row.
	failures int
}

func newStorePacer(me *Member) *storePacer {
	return &storePacer{me: me, pacer: retry.NewPacer(storePauseMin, storePauseMax)}
}

// isStoreAnswer reports whether an error is a negative answer from the store.
func isStoreAnswer(err error) bool {
	return IsErrHistoryGone(err) || IsErrConflict(err) || IsErrObjectNotExist(err)
}

// allow reports whether the store may be called now.
func (sp *storePacer) allow() bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	return sp.pacer.Allow(sp.me.deps.Now())
}

// callContext returns the context of a call that is not a watch. A member that cannot
// serve yet gives up a call to which the store has sent nothing after startupFirstByte:
// a call to a silent store stays unanswered when the store is back. The answer itself may
// take longer, since the whole configuration may come over a slow link. Each
// startupLongCall-th call waits longer, in case the store is only slow.
func (sp *storePacer) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	sp.mu.Lock()
	isLong := sp.failures%startupLongCall == startupLongCall-1
	sp.mu.Unlock()
	if isLong || sp.me.life.State() != life.Starting {
		return ctx, cancel
	}
	timer := time.AfterFunc(startupFirstByte, cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { timer.Stop() }})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// record records how a call to the store ended. A negative answer is no failure.
func (sp *storePacer) record(err error) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	longest := storePauseMax
	if sp.me.life.State() == life.Starting {
		longest = startupStorePauseMax
	}
	sp.pacer.SetMaxPause(longest)
	if err == nil || isStoreAnswer(err) {
		sp.failures = 0
	} else {
		sp.failures++
	}
	sp.pacer.Record(err == nil || isStoreAnswer(err), sp.me.deps.Now(), rand.Float64())
}
