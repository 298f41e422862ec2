// Package load runs a fleet under a seeded workload of real Postgres callers,
// causes the faults of a scenario, and checks what callers were promised.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/io/fleet"
)

// Options says what to run.
type Options struct {
	// Scenario is the name of a registered scenario.
	Scenario string
	// Policy is the name of a registered policy.
	Policy string
	// Seed drives every choice of the workload.
	Seed uint64
	// Length is how long callers send requests.
	Length time.Duration
	// Workers is the number of sessions of each caller.
	Workers int
	// Fleet describes the system.
	Fleet fleet.Options
}

// Run is one run of a scenario.
type Run struct {
	Options  Options
	Fleet    *fleet.Fleet
	scenario Scenario
	began    time.Time
	deadline time.Time

	// FaultNames are the faults that the seed chose.
	FaultNames []string

	mu sync.Mutex
	// faultAt is when the scenario made the primary fail; zero if it did not.
	faultAt  time.Time
	workers  []*worker
	wg       sync.WaitGroup
	timeline *timeline
}

// Scenario is a workload with its faults. Scenarios register themselves.
type Scenario struct {
	Name string
	// Text says what happens, for the help of the command line.
	Text string
	// Prepare edits the fleet's options; it may be nil.
	Prepare func(*Options)
	// Drive causes the faults; it returns when it has, and may be nil.
	Drive func(ctx context.Context, ru *Run) error
	// Roams makes sessions change daemon between requests.
	Roams bool
}

// Policy is a way to treat requests; all but the first are baselines.
type Policy struct {
	Name string
	// Text says what is different, for the help of the command line.
	Text string
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
	return Scenario{}, errors.Newf("no scenario %q", name)
}

func findPolicy(name string) (Policy, error) {
	for _, po := range policies {
		if po.Name == name {
			return po, nil
		}
	}
	return Policy{}, errors.Newf("no policy %q", name)
}

// Execute runs a scenario to its end and returns what was measured.
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
	if err := ru.Fleet.Settle(ctx); err != nil {
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
	var driveErr error
	if ru.scenario.Drive != nil {
		driveErr = ru.scenario.Drive(ctx, ru)
	}
	ru.wg.Wait()
	if driveErr != nil {
		return nil, errors.Wrap(driveErr, "scenario")
	}
	return ru.result(ctx)
}

// AddWorkers starts sessions of a caller; phase tags their measurements.
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

// At waits until a share of the run's length has passed.
func (ru *Run) At(ctx context.Context, share float64) {
	until := ru.began.Add(time.Duration(share * float64(ru.Options.Length)))
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// NoteFault remembers when the primary failed.
func (ru *Run) NoteFault() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.faultAt = time.Now()
}

func (ru *Run) fault() time.Time {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.faultAt
}
