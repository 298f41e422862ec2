package load

import (
	"context"
	"time"

	"banyanspring/core/docum"
	"banyanspring/core/route"
	"banyanspring/io/daemon"
	"banyanspring/io/standin/upstr"
)

func init() {
	scenarios = append(scenarios,
		Scenario{Name: "steady", Description: "no faults; 80% of the requests are reads"},
		Scenario{Name: "roam", Description: "sessions reconnect to a random daemon after every 8 requests", Roams: true},
		Scenario{Name: "lag", Description: "each replica in turn lags too far behind for reads, then both lag slightly, then both recover", InjectFaults: injectLag},
		Scenario{Name: "crowd", Description: "one caller opens ten times its sessions in the second half", InjectFaults: injectOverload},
		Scenario{Name: "drain", Description: "daemons restart one after another", InjectFaults: injectRollingRestart},
	)
	policies = append(policies,
		Policy{Name: "default", Description: "homes, replica reads, majority acknowledgement"},
		Policy{Name: "primary_only", Description: "every read goes to the primary", Prepare: preparePrimaryOnly},
		Policy{Name: "ack_primary", Description: "a write is acknowledged once the primary has committed it", Prepare: prepareAckPrimary},
		Policy{Name: "direct", Description: "a pool on every daemon, no homes", Prepare: prepareDirect},
	)
}

// initialReplicas returns the upstreams of one group that started as replicas; a
// promotion may have made one of them the primary since. With several groups, each
// call may return those of another group, as map order is random.
func (ru *Run) initialReplicas() []*upstr.Server {
	for _, ups := range ru.Fleet.Groups {
		return ups[1:]
	}
	return nil
}

const (
	// excessiveLag exceeds the 1 s that the fleet's default read class tolerates.
	excessiveLag = 3 * time.Second
	// moderateLag is shorter than the time that a write waits for its majority, so
	// a majority still confirms writes.
	moderateLag = 300 * time.Millisecond
)

// injectLag delays replication on the replicas, one at a time and then on both. It
// doesn't call RecordFault, so the run reports no failover gap.
func injectLag(ctx context.Context, ru *Run) error {
	lag := ru.Options.Fleet.Lag
	reps := ru.initialReplicas()
	ru.WaitUntilFraction(ctx, 0.2)
	reps[0].SetLag(excessiveLag)
	ru.WaitUntilFraction(ctx, 0.4)
	reps[0].SetLag(lag)
	reps[1].SetLag(excessiveLag)
	ru.WaitUntilFraction(ctx, 0.6)
	reps[0].SetLag(moderateLag)
	reps[1].SetLag(moderateLag)
	ru.WaitUntilFraction(ctx, 0.8)
	reps[0].SetLag(lag)
	reps[1].SetLag(lag)
	return nil
}

// overloadFactor multiplies the number of sessions of the overloading caller.
const overloadFactor = 10

// injectOverload starts the second phase of all workers and adds sessions of the
// first caller.
func injectOverload(ctx context.Context, ru *Run) error {
	ru.WaitUntilFraction(ctx, 0.5)
	ru.mu.Lock()
	for _, wo := range ru.workers {
		wo.nextPhase.Store(true)
	}
	ru.mu.Unlock()
	ru.AddWorkers(ctx, ru.Options.Fleet.Callers[0], ru.Options.Workers*(overloadFactor-1), 1)
	return nil
}

// injectRollingRestart replaces each daemon: it starts a new one in the same
// place and then shuts the old one down. It doesn't call RecordFault, so the run
// reports no failover gap.
func injectRollingRestart(ctx context.Context, ru *Run) error {
	for pos, old := range ru.Fleet.Daemons() {
		ru.WaitUntilFraction(ctx, 0.2*float64(pos+1))
		place := ru.Fleet.PlaceOf(old)
		if _, err := ru.Fleet.StartDaemon(ctx, place); err != nil {
			return err
		}
		if err := old.Shutdown(ctx); err != nil {
			return err
		}
		ru.Fleet.Remove(old)
	}
	return nil
}

func preparePrimaryOnly(opts *Options) {
	addDependencyEdit(opts, func(se *daemon.Dependencies) {
		se.RouteReads = func(ups []route.Upstream, rq route.Request, now time.Time) []route.Upstream {
			rq.PrimaryOnly = true
			return route.ReadCandidates(ups, rq, now)
		}
	})
}

func prepareAckPrimary(opts *Options) {
	opts.Fleet.EditDocument = func(doc *docum.Document) {
		for pos := range doc.Services {
			doc.Services[pos].Acknowledge = docum.AckPrimary
		}
	}
}

func prepareDirect(opts *Options) {
	daemons := len(opts.Fleet.Places) * opts.Fleet.DaemonsPerPlace
	addDependencyEdit(opts, func(se *daemon.Dependencies) {
		se.PoolEverywhere = true
		se.PoolDivisor = daemons
	})
}

// addDependencyEdit makes edit change the dependencies of each daemon, after any
// edit that the options already have.
func addDependencyEdit(opts *Options, edit func(*daemon.Dependencies)) {
	previous := opts.Fleet.EditDependencies
	opts.Fleet.EditDependencies = func(se *daemon.Dependencies) {
		if previous != nil {
			previous(se)
		}
		edit(se)
	}
}
