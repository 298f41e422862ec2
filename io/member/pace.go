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
	// storePause and storePauseMost are the least and the longest pause after
	// calls to the store that failed. The bounds that the platform sets begin
	// some seconds after the store is back.
	storePause     = 200 * time.Millisecond
	storePauseMost = 1600 * time.Millisecond
	// storePauseStart is the longest pause of a member that cannot serve yet.
	storePauseStart = 300 * time.Millisecond
	// storePoll is the time between two looks whether a call may be made.
	storePoll = 50 * time.Millisecond
)

// errStorePaused is returned by what would have called a store that failed
// lately.
var errStorePaused = errors.New("the store failed lately")

// pacer spaces this member's calls to a store that fails, those of all its parts
// together. It is safe for concurrent use.
type pacer struct {
	me *Member

	mu    sync.Mutex
	pacer *retry.Pacer
}

func newPacer(me *Member) *pacer {
	return &pacer{me: me, pacer: retry.NewPacer(storePause, storePauseMost)}
}

// isAnswer reports whether an error is the store's answer.
func isAnswer(err error) bool {
	return IsErrHistoryGone(err) || IsErrConflict(err) || IsErrObjectNotExist(err)
}

// may reports whether the store may be called now.
func (pa *pacer) may() bool {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return pa.pacer.May(pa.me.seams.Now())
}

// note notes how a call to the store ended. An answer that says no is one.
func (pa *pacer) note(err error) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	most := storePauseMost
	if pa.me.life.State() == life.Starting {
		most = storePauseStart
	}
	pa.pacer.SetMost(most)
	pa.pacer.Note(err == nil || isAnswer(err), pa.me.seams.Now(), rand.Float64())
}
