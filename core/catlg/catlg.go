// Package catlg holds the catalog: which databases callers may name, which
// group serves each, and how consistent its reads are. A catalog is immutable.
package catlg

import (
	"sync/atomic"
	"time"
)

// Consistency is what the reads of a target may miss.
type Consistency uint8

// Consistencies of reads.
const (
	// Strict reads miss no acknowledged write.
	Strict Consistency = iota
	// Bounded reads miss no write acknowledged longer ago than the target's
	// MaxAge.
	Bounded
	// Session reads are Bounded reads that see the session's own writes.
	Session
)

// String returns the name used in metrics.
func (co Consistency) String() string {
	switch co {
	case Strict:
		return "strict"
	case Bounded:
		return "bounded"
	}
	return "session"
}

// Target is what stands behind one database name.
type Target struct {
	// Database is the name that callers use; unique in a catalog.
	Database string `json:"database"`
	// Group is the database group that serves it.
	Group       string      `json:"group"`
	Consistency Consistency `json:"consistency"`
	// MaxAge bounds the age of reads that are not Strict.
	MaxAge time.Duration `json:"max_age"`
	// StatementTimeout bounds one statement, waits included.
	StatementTimeout time.Duration `json:"statement_timeout"`
	// Objective is the latency that callers hope for.
	Objective time.Duration `json:"objective"`
	// Priority orders targets under load; 0 goes first.
	Priority int `json:"priority"`
}

// Group is what the catalog says of a database group.
type Group struct {
	Name string `json:"name"`
	// Connections bounds the connections of all callers to one upstream.
	Connections int `json:"connections"`
	// SyncReplicas is how many replicas receive a write before it is
	// acknowledged.
	SyncReplicas int `json:"sync_replicas"`
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version grows with each change; 0 for no catalog yet.
	Version uint64
	// TransactionIdle bounds the time between statements of a transaction.
	TransactionIdle time.Duration

	targets map[string]Target
	groups  map[string]Group
}

// New returns a catalog of the targets and groups.
func New(version uint64, idle time.Duration, targets []Target, groups []Group) *Catalog {
	ca := &Catalog{
		Version:         version,
		TransactionIdle: idle,
		targets:         make(map[string]Target, len(targets)),
		groups:          make(map[string]Group, len(groups)),
	}
	for _, ta := range targets {
		ca.targets[ta.Database] = ta
	}
	for _, gr := range groups {
		ca.groups[gr.Name] = gr
	}
	return ca
}

// Document is a catalog as instances hand it to each other.
type Document struct {
	Version         uint64        `json:"version"`
	TransactionIdle time.Duration `json:"transaction_idle"`
	Targets         []Target      `json:"targets"`
	Groups          []Group       `json:"groups"`
}

// Document returns the catalog for another instance.
func (ca *Catalog) Document() Document {
	doc := Document{Version: ca.Version, TransactionIdle: ca.TransactionIdle, Groups: ca.Groups()}
	for _, ta := range ca.targets {
		doc.Targets = append(doc.Targets, ta)
	}
	return doc
}

// FromDocument returns the catalog that another instance handed over.
func FromDocument(doc Document) *Catalog {
	return New(doc.Version, doc.TransactionIdle, doc.Targets, doc.Groups)
}

// GetTargetByDatabase finds what stands behind a database name.
func (ca *Catalog) GetTargetByDatabase(name string) (Target, bool) {
	ta, ok := ca.targets[name]
	return ta, ok
}

// GetGroupByName finds a group.
func (ca *Catalog) GetGroupByName(name string) (Group, bool) {
	gr, ok := ca.groups[name]
	return gr, ok
}

// Groups returns all groups in no order.
func (ca *Catalog) Groups() []Group {
	out := make([]Group, 0, len(ca.groups))
	for _, gr := range ca.groups {
		out = append(out, gr)
	}
	return out
}

// Keeper holds the catalog in force; it never goes back to a lower version. It
// is safe for concurrent use.
type Keeper struct {
	current atomic.Pointer[Catalog]
}

// NewKeeper returns a keeper of an empty catalog.
func NewKeeper() *Keeper {
	ke := &Keeper{}
	ke.current.Store(New(0, 0, nil, nil))
	return ke
}

// Current returns the catalog in force.
func (ke *Keeper) Current() *Catalog { return ke.current.Load() }

// Offer adopts the catalog if its version is higher than the one in force, and
// reports whether it did.
func (ke *Keeper) Offer(ca *Catalog) bool {
	for {
		old := ke.current.Load()
		if ca.Version <= old.Version {
			return false
		}
		if ke.current.CompareAndSwap(old, ca) {
			return true
		}
	}
}
