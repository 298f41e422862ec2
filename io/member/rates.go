package member

import (
	"sync/atomic"

	"banyanspring/core/catlg"
	"banyanspring/core/share"
)

// workspaceRates holds what follows from the rates of the workspaces of the current
// configuration. It is computed once for each configuration that is adopted, and is safe for
// concurrent use.
type workspaceRates struct {
	current atomic.Pointer[rateTable]
}

// rateTable is immutable.
type rateTable struct {
	// version is that of the catalog.
	version uint64
	// large holds the workspaces that use all homes of an upstream.
	large map[string]bool
	// weights are those of the workspaces in the queues.
	weights share.Weights
}

// apply computes the table of a catalog, unless there is one of a newer catalog.
func (wr *workspaceRates) apply(ca *catlg.Catalog) {
	rates := ca.LimitedRates()
	next := &rateTable{version: ca.Version, large: share.FindLarge(rates), weights: share.NewWeights(rates)}
	for {
		old := wr.current.Load()
		if old != nil && old.version >= next.version || wr.current.CompareAndSwap(old, next) {
			return
		}
	}
}

// isLarge reports whether a workspace uses all homes of an upstream.
func (wr *workspaceRates) isLarge(workspace string) bool {
	rt := wr.current.Load()
	return rt != nil && rt.large[workspace]
}

// weight returns the weight of a workspace in the queues.
func (wr *workspaceRates) weight(workspace string) uint32 {
	rt := wr.current.Load()
	if rt == nil {
		return share.MiddleWeight
	}
	return rt.weights.Get(workspace)
}
