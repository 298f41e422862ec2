// Package upstr is a stand-in for an upstream: a database that speaks the
// Postgres protocol on top of in-memory SQLite, ships its log to its replicas,
// and injects faults on request. Tests, the demo and the load tool use it.
package upstr

import (
	"sync"
	"time"

	"banyanspring/core/posn"
)

// Entry is one committed transaction in the log.
type Entry struct {
	// Offset is the entry's position in the log, starting at 1.
	Offset uint64 `json:"offset"`
	// TermNumber and TermPrimary identify the term of the entry.
	TermNumber  uint64 `json:"term_number"`
	TermPrimary string `json:"term_primary"`
	// Committed is the time of the commit on the primary.
	Committed time.Time `json:"committed"`
	// Statements are in execution order.
	Statements []LoggedStatement `json:"statements"`
}

func (en Entry) term() posn.Term {
	return posn.Term{Number: en.TermNumber, Primary: en.TermPrimary}
}

// LoggedStatement is one statement with its arguments in text form.
type LoggedStatement struct {
	SQL  string    `json:"sql"`
	Args []*string `json:"args"`
}

// entryLog is the replication log of an upstream, in memory and never compacted.
type entryLog struct {
	mu      sync.Mutex
	entries []Entry
	// appended is closed and replaced whenever an entry is appended.
	appended chan struct{}
}

func newEntryLog() *entryLog { return &entryLog{appended: make(chan struct{})} }

// append adds an entry and returns its offset, which it sets.
func (lo *entryLog) append(en Entry) uint64 {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	en.Offset = uint64(len(lo.entries)) + 1
	lo.entries = append(lo.entries, en)
	close(lo.appended)
	lo.appended = make(chan struct{})
	return en.Offset
}

// term returns the term of the entry at the offset, and false if there is no
// such entry.
func (lo *entryLog) term(offset uint64) (posn.Term, bool) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if offset == 0 || offset > uint64(len(lo.entries)) {
		return posn.Term{}, false
	}
	return lo.entries[offset-1].term(), true
}

// truncate removes the entries after the offset.
func (lo *entryLog) truncate(offset uint64) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.entries = lo.entries[:offset:offset]
}

// last returns the offset of the newest entry; 0 if there is none.
func (lo *entryLog) last() uint64 {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return uint64(len(lo.entries))
}

// after returns the entries after the offset and a channel that is closed when
// the next entry is appended.
func (lo *entryLog) after(offset uint64) ([]Entry, <-chan struct{}) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if offset >= uint64(len(lo.entries)) {
		return nil, lo.appended
	}
	return lo.entries[offset:], lo.appended
}
