// Package budget decides how the bytes of a process are divided among those that hold
// messages and answers for callers. It reads no clock and takes no lock.
//
// A holder is a workspace, or an address where no key is known yet. Under pressure a
// holder may hold as much as is left free for all others: one holder alone gets half of
// the budget, two a third each. So no holder can take all, and there is no fixed share
// that an ordinary one meets while others hold nothing.
package budget

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Reserve reserves bytes for a message that is read or an answer that is built. total is
// all that it takes so far. The message must be given up after an error. A nil Reserve
// stands for a process without a budget.
type Reserve func(total int) error

// Grow calls Reserve unless it is nil.
func (re Reserve) Grow(total int) error {
	if re == nil {
		return nil
	}
	return re(total)
}

// MinStall is how long the caller of an account must have made no progress before the
// account may be evicted.
const MinStall = 500 * time.Millisecond

// Account is what one session or link holds.
type Account struct {
	// Holder is the workspace or the address that the account belongs to.
	Holder string
	// Held is what the ledger has granted.
	Held int64
	// WaitsSince is when the account began to wait for its caller, who sends or
	// reads, or when the caller last made progress; zero if it does not wait for one.
	WaitsSince time.Time
	// IsEvicted is true once the account was chosen by Victim.
	IsEvicted bool
}

// Ledger holds the accounts of a budget.
type Ledger struct {
	// limit is constant and positive.
	limit int64
	// used is the sum of Held over accounts, and at most limit.
	used int64
	// accounts holds those with Held above 0.
	accounts map[*Account]struct{}
	// holders holds the sums of Held by holder, without zeros.
	holders map[string]int64
}

// New returns a ledger without accounts.
func New(limit int64) *Ledger {
	return &Ledger{limit: limit, accounts: make(map[*Account]struct{}), holders: make(map[string]int64)}
}

// Reserve raises what the account holds to total and reports whether that fits. Nothing
// changes if it does not.
func (le *Ledger) Reserve(ac *Account, total int64) bool {
	more := total - ac.Held
	if more <= 0 {
		return true
	}
	free := le.limit - le.used - more
	if free < 0 || le.holders[ac.Holder]+more > free {
		return false
	}
	le.set(ac, total)
	return true
}

// Release lowers what the account holds to total.
func (le *Ledger) Release(ac *Account, total int64) {
	if total < ac.Held {
		le.set(ac, total)
	}
}

func (le *Ledger) set(ac *Account, total int64) {
	change := total - ac.Held
	ac.Held = total
	le.used += change
	le.holders[ac.Holder] += change
	if le.holders[ac.Holder] == 0 {
		delete(le.holders, ac.Holder)
	}
	if total == 0 {
		delete(le.accounts, ac)
		return
	}
	le.accounts[ac] = struct{}{}
}

// Victim returns the account to evict so that others fit: of those whose callers have
// made no progress for MinStall, the one that holds the most for the longest time. It
// returns nil if there is none. Accounts that wait for an upstream or for the budget, and
// idle sessions, are never returned.
func (le *Ledger) Victim(now time.Time) *Account {
	var worst *Account
	score := 0.0
	for ac := range le.accounts {
		if ac.IsEvicted || ac.WaitsSince.IsZero() || now.Sub(ac.WaitsSince) < MinStall {
			continue
		}
		if got := float64(ac.Held) * now.Sub(ac.WaitsSince).Seconds(); got > score {
			worst, score = ac, got
		}
	}
	if worst != nil {
		worst.IsEvicted = true
	}
	return worst
}

// Used returns what all accounts hold.
func (le *Ledger) Used() int64 { return le.used }

// Limit returns the size of the budget.
func (le *Ledger) Limit() int64 { return le.limit }

// Holding is what one holder holds.
type Holding struct {
	Holder string
	Held   int64
}

// Largest returns the holders that hold the most, at most count.
func (le *Ledger) Largest(count int) []Holding {
	out := make([]Holding, 0, len(le.holders))
	for _, name := range slices.Sorted(maps.Keys(le.holders)) {
		out = append(out, Holding{Holder: name, Held: le.holders[name]})
	}
	slices.SortStableFunc(out, func(le, ri Holding) int { return cmp.Compare(ri.Held, le.Held) })
	return out[:min(count, len(out))]
}

const (
	// ownBytes is what the process needs without callers: 30 MB were measured, of which
	// 16 MB are the program.
	ownBytes = 36 << 20
	// programBytes is the part of the process's memory that Go's memory limit does not
	// count.
	programBytes = 18 << 20
	// SessionBytes is what an idle session takes, with its goroutine.
	SessionBytes = 10 << 10
	// garbagePercent is what of the rest is left for memory that is no longer used and
	// not yet collected.
	garbagePercent = 25
	// minBytes lets two messages of the maximum size be served at a time.
	minBytes = 12 << 20
)

// Default returns the budget of a process with the memory limit and the highest number
// of sessions.
func Default(memory, sessions int64) int64 {
	rest := memory - ownBytes - sessions*SessionBytes
	return max(rest*(100-garbagePercent)/100, minBytes)
}

// GoLimit returns the limit for Go's memory of a process with the memory limit.
func GoLimit(memory int64) int64 { return max(memory-programBytes, programBytes) }

const (
	callerPercent  = 65
	peerPercent    = 15
	controlPercent = 5
)

// Descriptors divides the sockets of a process. What is left is for connections to
// upstreams, to other instances and to the store, whose numbers do not depend on callers.
type Descriptors struct{ Callers, Peers, Control, Ready int }

// Divide divides the sockets.
func Divide(sockets int) Descriptors {
	part := func(percent int) int { return max(sockets*percent/100, 1) }
	return Descriptors{
		Callers: part(callerPercent), Peers: part(peerPercent), Control: part(controlPercent), Ready: part(controlPercent),
	}
}
