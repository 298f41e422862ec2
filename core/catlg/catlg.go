// Package catlg holds the catalog: the databases that callers may open, the
// group that serves each of them, and the consistency of their reads.
package catlg

import (
	"sync/atomic"
	"time"
)

// Consistency is the consistency level of a target's reads.
type Consistency uint8

// Consistency levels.
const (
	// Strict reads see every acknowledged write.
	Strict Consistency = iota
	// Bounded reads may miss only writes that were acknowledged less than the
	// target's MaxAge ago.
	Bounded
	// Session reads are Bounded reads that also see the session's own writes.
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

// Target defines how the requests to one database are served.
type Target struct {
	// Database is the name that callers use; unique in a catalog.
	Database string `json:"database"`
	// Group is the name of the database group that serves the database.
	Group       string      `json:"group"`
	Consistency Consistency `json:"consistency"`
	// MaxAge is the maximum staleness of reads that are not Strict.
	MaxAge time.Duration `json:"max_age"`
	// StatementTimeout limits the time of one statement, including waits.
	StatementTimeout time.Duration `json:"statement_timeout"`
	// LatencyObjective is the target latency of a statement; none if not positive.
	LatencyObjective time.Duration `json:"objective"`
	// Priority orders targets under load; 0 is served first.
	Priority int `json:"priority"`
	// IsPublic is true if callers need no key.
	IsPublic bool `json:"public,omitempty"`
}

// Group holds the settings of a database group.
type Group struct {
	Name string `json:"name"`
	// Connections limits the connections of all callers to one upstream.
	Connections int `json:"connections"`
	// SyncReplicas is the number of replicas that must receive a write before
	// it is acknowledged.
	SyncReplicas int `json:"sync_replicas"`
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	// Version grows with each change; 0 for the empty catalog before the first.
	Version uint64
	// TransactionIdle limits the time between statements of a transaction.
	TransactionIdle time.Duration
	// Skipped describes the entries of the configuration that were left out because they are
	// invalid. It is known only where the configuration was decoded.
	Skipped []error

	targets map[string]Target
	groups  map[string]Group
	// workspaces is nil if workspaces are not in use.
	workspaces *Workspaces
}

// New returns a catalog of the targets and groups; idle is its TransactionIdle.
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

// GetTargetByDatabase finds the target of a database.
func (ca *Catalog) GetTargetByDatabase(name string) (Target, bool) {
	ta, ok := ca.targets[name]
	return ta, ok
}

// GetGroupByName finds a group.
func (ca *Catalog) GetGroupByName(name string) (Group, bool) {
	gr, ok := ca.groups[name]
	return gr, ok
}

// Groups returns all groups in no particular order.
func (ca *Catalog) Groups() []Group {
	out := make([]Group, 0, len(ca.groups))
	for _, gr := range ca.groups {
		out = append(out, gr)
	}
	return out
}

// Keeper holds the current catalog; its version never decreases. It is safe for
// concurrent use.
type Keeper struct {
	current atomic.Pointer[Catalog]
}

// NewKeeper returns a keeper that holds an empty catalog.
func NewKeeper() *Keeper {
	ke := &Keeper{}
	ke.current.Store(New(0, 0, nil, nil))
	return ke
}

// Current returns the current catalog.
func (ke *Keeper) Current() *Catalog { return ke.current.Load() }

// Offer replaces the current catalog if the given one has a higher version, and
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
