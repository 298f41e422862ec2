package engine

import (
	"sync"
	"time"

	"banyanspring/core/catlg"
	"banyanspring/core/retry"
	"banyanspring/io/pool"
)

// maxPartPriority bounds the priority of a target and of a workspace, as the configuration does
// for the latter.
const maxPartPriority = pool.MaxPriority / 2

// fairness returns how the session's requests count in the queues; its zero value if workspaces
// are not in use.
func (se *session) fairness() pool.Fairness {
	ca := se.en.catalog.Current()
	if !ca.HasWorkspaces() || se.en.deps.Weight == nil {
		return pool.Fairness{}
	}
	wo, _ := ca.GetWorkspaceByName(se.workspace)
	return pool.Fairness{
		Weight: se.en.deps.Weight(se.workspace), Priority: boundPriority(se.target.Priority) + boundPriority(wo.Priority),
	}
}

func boundPriority(priority int) uint32 { return uint32(min(max(priority, 0), maxPartPriority)) }

// restLimit returns how long a transaction may rest while others wait for its connection; 0 if
// they wait as long as it rests.
func restLimit(ca *catlg.Catalog) time.Duration {
	if !ca.HasWorkspaces() {
		return 0
	}
	return ca.TransactionIdle / 2
}

// RestLimit is restLimit for the current catalog.
func (en *Engine) RestLimit() time.Duration { return restLimit(en.catalog.Current()) }

const (
	// workspaceRetryRatio is the number of retries that each request of a workspace adds to its
	// budget: over time, a workspace takes at most twice its requests in attempts.
	workspaceRetryRatio = 1
	// workspaceRetryBurst is the maximum of a budget. It lets five requests make all their
	// attempts after a failure, without which small workspaces have no retries.
	workspaceRetryBurst = 5 * maxAttempts
)

// retryBudgets bounds the retries of each workspace. It is safe for concurrent use.
type retryBudgets struct {
	mu sync.Mutex
	// byWorkspace holds budgets of workspaces of the catalog only, apart from those that were
	// removed since the last call of retain.
	byWorkspace map[string]*retry.Budget
}

// recordRequest records a request of a workspace; empty if it has none.
func (rb *retryBudgets) recordRequest(workspace string) {
	if workspace == "" {
		return
	}
	rb.mu.Lock()
	defer rb.mu.Unlock()
	if rb.byWorkspace == nil {
		rb.byWorkspace = make(map[string]*retry.Budget)
	}
	bu := rb.byWorkspace[workspace]
	if bu == nil {
		bu = retry.New(workspaceRetryRatio, workspaceRetryBurst)
		rb.byWorkspace[workspace] = bu
	}
	bu.RecordRequest()
}

// take reports whether a request of the workspace may be retried, and takes the retry from its
// budget. Requests without a workspace always may.
func (rb *retryBudgets) take(workspace string) bool {
	if workspace == "" {
		return true
	}
	rb.mu.Lock()
	defer rb.mu.Unlock()
	bu := rb.byWorkspace[workspace]
	return bu == nil || bu.Take()
}

// retain removes the budgets of workspaces that the catalog does not have.
func (rb *retryBudgets) retain(ca *catlg.Catalog) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	for name := range rb.byWorkspace {
		if _, ok := ca.GetWorkspaceByName(name); !ok {
			delete(rb.byWorkspace, name)
		}
	}
}
