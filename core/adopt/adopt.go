// Package adopt decides which configuration document a daemon uses. A daemon
// never returns to a lower version.
package adopt

import (
	"sync/atomic"

	"banyanspring/core/docum"
)

// Snapshot is the document in force.
type Snapshot struct {
	// Version is the store's version of the document; 0 if none was adopted yet.
	Version uint64
	// Document is valid if Version is not 0.
	Document docum.Document
}

// Outcome is the result of offering a document.
type Outcome int

const (
	// Adopted means that the document is now in force.
	Adopted Outcome = iota
	// Stale means that the version is not above the one in force.
	Stale
	// Invalid means that the document failed validation.
	Invalid
)

// Keeper holds the document in force. It is safe for concurrent use, and readers
// take no lock.
type Keeper struct {
	current atomic.Pointer[Snapshot]
}

// New returns a keeper without a document.
func New() *Keeper {
	ke := &Keeper{}
	ke.current.Store(&Snapshot{})
	return ke
}

// Current returns the document in force. Its Version is 0 if none was adopted yet.
func (ke *Keeper) Current() *Snapshot { return ke.current.Load() }

// Offer parses the document and adopts it if it is valid and its version is higher
// than the one in force. The error is non-nil only for Invalid; the document in
// force then stays.
func (ke *Keeper) Offer(version uint64, raw []byte) (Outcome, error) {
	if version <= ke.Current().Version {
		return Stale, nil
	}
	doc, err := docum.Parse(raw)
	if err != nil {
		return Invalid, err
	}
	next := &Snapshot{Version: version, Document: doc}
	for {
		old := ke.current.Load()
		if version <= old.Version {
			return Stale, nil
		}
		if ke.current.CompareAndSwap(old, next) {
			return Adopted, nil
		}
	}
}
