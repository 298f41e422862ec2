package member

import (
	"math/rand/v2"
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
}

func newStorePacer(me *Member) *storePacer {
	return &storePacer{me: me, pacer: retry.NewPacer(storePauseMin, storePauseMax)}
}

// allow reports whether the store may be called now.
func (sp *storePacer) allow() bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	return sp.pacer.Allow(sp.me.deps.Now())
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
	sp.pacer.Record(err == nil || IsStoreAnswer(err), sp.me.deps.Now(), rand.Float64())
}
