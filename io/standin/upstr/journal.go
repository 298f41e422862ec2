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

// journal is the replication log of an upstream, in memory and never compacted.
type journal struct {
	mu      sync.Mutex
	entries []Entry
	// appended is closed and replaced whenever an entry is appended.
	appended chan struct{}
}

func newJournal() *journal { return &journal{appended: make(chan struct{})} }

// append adds an entry and returns its offset, which it sets.
func (jo *journal) append(en Entry) uint64 {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	en.Offset = uint64(len(jo.entries)) + 1
	jo.entries = append(jo.entries, en)
	close(jo.appended)
	jo.appended = make(chan struct{})
	return en.Offset
}

// term returns the term of the entry at the offset, and false if there is no
// such entry.
func (jo *journal) term(offset uint64) (posn.Term, bool) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if offset == 0 || offset > uint64(len(jo.entries)) {
		return posn.Term{}, false
	}
	return jo.entries[offset-1].term(), true
}

// truncate removes the entries after the offset.
func (jo *journal) truncate(offset uint64) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.entries = jo.entries[:offset:offset]
}

// last returns the offset of the newest entry; 0 if there is none.
func (jo *journal) last() uint64 {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	return uint64(len(jo.entries))
}

// after returns the entries after the offset and a channel that is closed when
// the next entry is appended.
func (jo *journal) after(offset uint64) ([]Entry, <-chan struct{}) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if offset >= uint64(len(jo.entries)) {
		return nil, jo.appended
	}
	return jo.entries[offset:], jo.appended
}
