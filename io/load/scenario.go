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
		Scenario{Name: "steady", Text: "no faults; 80% of the requests are reads"},
		Scenario{Name: "roam", Text: "sessions change daemon between requests", Roams: true},
		Scenario{Name: "lag", Text: "replicas fall far behind, one by one and both, and recover", Drive: driveLag},
		Scenario{Name: "crowd", Text: "one caller offers ten times its share in the second half", Drive: driveCrowd},
		Scenario{Name: "drain", Text: "daemons restart one after another", Drive: driveDrain},
	)
	policies = append(policies,
		Policy{Name: "default", Text: "homes, replica reads, majority acknowledgement"},
		Policy{Name: "primary_only", Text: "every read goes to the primary", Prepare: preparePrimaryOnly},
		Policy{Name: "ack_primary", Text: "a write is acknowledged once the primary has it", Prepare: prepareAckPrimary},
		Policy{Name: "direct", Text: "a pool on every daemon, no homes", Prepare: prepareDirect},
	)
}

// replicas returns the first group's replicas.
func (ru *Run) replicas() []*upstr.Server {
	for _, ups := range ru.Fleet.Groups {
		return ups[1:]
	}
	return nil
}

const (
	// farBehind is a lag that no read class of the fleet tolerates.
	farBehind = 3 * time.Second
	// behind is a lag that still lets a majority confirm.
	behind = 300 * time.Millisecond
)

func driveLag(ctx context.Context, ru *Run) error {
	lag := ru.Options.Fleet.Lag
	reps := ru.replicas()
	ru.At(ctx, 0.2)
	reps[0].SetLag(farBehind)
	ru.At(ctx, 0.4)
	reps[0].SetLag(lag)
	reps[1].SetLag(farBehind)
	ru.At(ctx, 0.6)
	reps[0].SetLag(behind)
	reps[1].SetLag(behind)
	ru.At(ctx, 0.8)
	reps[0].SetLag(lag)
	reps[1].SetLag(lag)
	return nil
}

// crowdFactor is how many times its share the crowd offers.
const crowdFactor = 10

func driveCrowd(ctx context.Context, ru *Run) error {
	ru.At(ctx, 0.5)
	ru.mu.Lock()
	for _, wo := range ru.workers {
		wo.nextPhase.Store(true)
	}
	ru.mu.Unlock()
	ru.AddWorkers(ctx, ru.Options.Fleet.Callers[0], ru.Options.Workers*(crowdFactor-1), 1)
	return nil
}

func driveDrain(ctx context.Context, ru *Run) error {
	for pos, old := range ru.Fleet.Daemons() {
		ru.At(ctx, 0.2*float64(pos+1))
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
	addSeams(opts, func(se *daemon.Seams) {
		se.RouteReads = func(ups []route.Upstream, rq route.Request, now time.Time) []route.Upstream {
			rq.PrimaryOnly = true
			return route.Reads(ups, rq, now)
		}
	})
}

func prepareAckPrimary(opts *Options) {
	opts.Fleet.Document = func(doc *docum.Document) {
		for pos := range doc.Services {
			doc.Services[pos].Acknowledge = docum.AckPrimary
		}
	}
}

func prepareDirect(opts *Options) {
	daemons := len(opts.Fleet.Places) * opts.Fleet.DaemonsPerPlace
	addSeams(opts, func(se *daemon.Seams) {
		se.PoolEverywhere = true
		se.Share = daemons
	})
}

func addSeams(opts *Options, edit func(*daemon.Seams)) {
	earlier := opts.Fleet.Seams
	opts.Fleet.Seams = func(se *daemon.Seams) {
		if earlier != nil {
			earlier(se)
		}
		edit(se)
	}
}
