// Package load runs a fleet under a seeded workload of real Postgres callers,
// injects the faults of a scenario, and checks the consistency guarantees.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/io/fleet"
)

// Options configures a run.
type Options struct {
	// Scenario is the name of a registered scenario.
	Scenario string
	// Policy is the name of a registered policy.
	Policy string
	// Seed seeds every random choice of the workload.
	Seed uint64
	// Length is how long callers send requests.
	Length time.Duration
	// Workers is the number of sessions of each caller.
	Workers int
	// Fleet configures the system under test.
	Fleet fleet.Options
}

// Run holds the state of one run of a scenario.
type Run struct {
	Options  Options
	Fleet    *fleet.Fleet
	scenario Scenario
	began    time.Time
	deadline time.Time

	// FaultNames lists the faults that the scenario "pair" chose by the seed.
	FaultNames []string

	mu sync.Mutex
	// faultAt is when the scenario injected its fault; zero if it did not.
	faultAt  time.Time
	workers  []*worker
	wg       sync.WaitGroup
	timeline *timeline
}

// Scenario is a workload with the faults that are injected into it.
type Scenario struct {
	Name string
	// Description describes the scenario in the help of the command line.
	Description string
	// Prepare edits the fleet's options; it may be nil.
	Prepare func(*Options)
	// InjectFaults causes the faults and changes the load while the workers run.
	// It returns after the last change; it may be nil.
	InjectFaults func(ctx context.Context, ru *Run) error
	// Roams makes sessions reconnect to a random daemon after every roamEvery
	// requests.
	Roams bool
}

// Policy configures how the daemons route and acknowledge requests. All policies
// except "default" are baselines for comparison.
type Policy struct {
	Name string
	// Description describes the policy in the help of the command line.
	Description string
	// Prepare edits the fleet's options; it may be nil.
	Prepare func(*Options)
}

var (
	scenarios []Scenario
	policies  []Policy
)

// Scenarios lists the registered scenarios.
func Scenarios() []Scenario { return scenarios }

// Policies lists the registered policies.
func Policies() []Policy { return policies }

func findScenario(name string) (Scenario, error) {
	for _, sc := range scenarios {
		if sc.Name == name {
			return sc, nil
		}
	}
	return Scenario{}, errors.Newf("unknown scenario %q", name)
}

func findPolicy(name string) (Policy, error) {
	for _, po := range policies {
		if po.Name == name {
			return po, nil
		}
	}
	return Policy{}, errors.Newf("unknown policy %q", name)
}

// Execute starts a fleet, runs a scenario on it and returns the measurements. The
// error says that the scenario or the policy is unknown, or that the run failed;
// violated guarantees are counted in the result instead.
func Execute(ctx context.Context, opts Options) (*Result, error) {
	sc, err := findScenario(opts.Scenario)
	if err != nil {
		return nil, err
	}
	po, err := findPolicy(opts.Policy)
	if err != nil {
		return nil, err
	}
	if sc.Prepare != nil {
		sc.Prepare(&opts)
	}
	if po.Prepare != nil {
		po.Prepare(&opts)
	}
	fl, err := fleet.Start(ctx, opts.Fleet)
	if err != nil {
		return nil, err
	}
	defer fl.Close()
	ru := &Run{Options: opts, Fleet: fl, scenario: sc}
	return ru.execute(ctx)
}

func (ru *Run) execute(ctx context.Context) (*Result, error) {
	if err := ru.Fleet.AwaitMembership(ctx); err != nil {
		return nil, err
	}
	if err := ru.createTables(ctx); err != nil {
		return nil, err
	}
	ru.began = time.Now()
	ru.deadline = ru.began.Add(ru.Options.Length)
	ru.timeline = newTimeline(ru.began)
	for _, caller := range ru.Options.Fleet.Callers {
		ru.AddWorkers(ctx, caller, ru.Options.Workers, 0)
	}
	var injectErr error
	if ru.scenario.InjectFaults != nil {
		injectErr = ru.scenario.InjectFaults(ctx, ru)
	}
	ru.wg.Wait()
	if injectErr != nil {
		return nil, errors.Wrap(injectErr, "inject faults")
	}
	return ru.collectResult(ctx)
}

// AddWorkers starts count sessions of a caller. Their measurements are reported
// under the phase given.
func (ru *Run) AddWorkers(ctx context.Context, caller string, count, phase int) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	for range count {
		wo := newWorker(ru, caller, len(ru.workers), phase)
		ru.workers = append(ru.workers, wo)
		ru.wg.Add(1)
		go func() {
			defer ru.wg.Done()
			wo.run(ctx)
		}()
	}
}

// WaitUntilFraction waits until the fraction of the run's length, from 0 to 1, has
// passed or the context is done.
func (ru *Run) WaitUntilFraction(ctx context.Context, fraction float64) {
	until := ru.began.Add(time.Duration(fraction * float64(ru.Options.Length)))
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// RecordFault records the current time as the time of the fault, from which the
// failover gap is measured.
func (ru *Run) RecordFault() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.faultAt = time.Now()
}

func (ru *Run) faultTime() time.Time {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.faultAt
}
