// Package upstr is a stand-in for an upstream: a database that speaks the
// Postgres protocol over an in-memory SQLite, ships its log to its replicas,
// and can be told to fail. It serves tests, the demo and the load tool.
package upstr

import (
	"sync"
	"time"

	"banyanspring/core/posn"
)

// Entry is one committed transaction in the log.
type Entry struct {
	// Offset is the entry's place in the log, from 1.
	Offset uint64 `json:"offset"`
	// TermNumber and TermPrimary identify the term of the entry.
	TermNumber  uint64 `json:"term_number"`
	TermPrimary string `json:"term_primary"`
	// Committed is when the primary committed it.
	Committed time.Time `json:"committed"`
	// Statements are replayed in order.
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

// journal is an upstream's log. It only grows.
type journal struct {
	mu      sync.Mutex
	entries []Entry
	// grown is closed and replaced whenever entries are added.
	grown chan struct{}
}

func newJournal() *journal { return &journal{grown: make(chan struct{})} }

func (jo *journal) append(en Entry) uint64 {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	en.Offset = uint64(len(jo.entries)) + 1
	jo.entries = append(jo.entries, en)
	close(jo.grown)
	jo.grown = make(chan struct{})
	return en.Offset
}

// term returns the term of the entry at the offset; false if there is none.
func (jo *journal) term(offset uint64) (posn.Term, bool) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if offset == 0 || offset > uint64(len(jo.entries)) {
		return posn.Term{}, false
	}
	return jo.entries[offset-1].term(), true
}

// truncate drops the entries past the offset.
func (jo *journal) truncate(offset uint64) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.entries = jo.entries[:offset:offset]
}

func (jo *journal) last() uint64 {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	return uint64(len(jo.entries))
}

// after returns the entries past the offset and a channel that closes when
// there are more.
func (jo *journal) after(offset uint64) ([]Entry, <-chan struct{}) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if offset >= uint64(len(jo.entries)) {
		return nil, jo.grown
	}
	return jo.entries[offset:], jo.grown
}
