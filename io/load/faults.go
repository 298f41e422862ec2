package load

import (
	"context"
	"math/rand/v2"
	"time"

	"banyanspring/core/promo"
	"banyanspring/io/daemon"
	"banyanspring/io/fleet"
)

func init() {
	scenarios = append(scenarios,
		Scenario{Name: "failover", Description: "the primary is killed", InjectFaults: injectFailover},
		Scenario{Name: "isolate", Description: "the primary's failure domain is cut off, with callers on both sides", InjectFaults: injectIsolation},
		Scenario{Name: "planned", Description: "an operator orders a change of primary", InjectFaults: injectHandover},
		Scenario{Name: "store_down", Description: "the platform's store is down before and during a failover", InjectFaults: injectStoreOutage},
		Scenario{Name: "silent", Description: "open connections stop responding for good while new ones work", InjectFaults: injectSilence},
		Scenario{Name: "paused", Description: "the primary freezes for 5 s and still claims to be primary when it resumes", InjectFaults: injectPause},
		Scenario{Name: "pair", Description: "two faults chosen by the seed, the second injected while the first lasts", InjectFaults: injectFaultPair},
	)
	policies = append(policies,
		Policy{Name: "fixed_timeout", Description: "a primary is replaced after a TTL of 30 s, checked every 10 s", Prepare: prepareFixedTimeout},
	)
}

func injectFailover(ctx context.Context, ru *Run) error {
	ru.WaitUntilFraction(ctx, 0.4)
	ru.RecordFault()
	ru.Fleet.Primary(0, 0).Close()
	return nil
}

func injectIsolation(ctx context.Context, ru *Run) error {
	ru.WaitUntilFraction(ctx, 0.3)
	place := ru.Fleet.PlaceOfUpstream(ru.Fleet.Primary(0, 0))
	ru.RecordFault()
	ru.Fleet.SetIsolated(place, true)
	ru.WaitUntilFraction(ctx, 0.7)
	ru.Fleet.SetIsolated(place, false)
	return nil
}

func injectHandover(ctx context.Context, ru *Run) error {
	ru.WaitUntilFraction(ctx, 0.5)
	group := fleet.GroupName(0, 0)
	target := ru.Fleet.Groups[group][1].Name()
	ru.RecordFault()
	return ru.Fleet.Daemons()[0].Handover(ctx, group, target)
}

func injectStoreOutage(ctx context.Context, ru *Run) error {
	ru.WaitUntilFraction(ctx, 0.2)
	ru.Fleet.Platform.SetDown(true)
	ru.WaitUntilFraction(ctx, 0.4)
	ru.RecordFault()
	ru.Fleet.Primary(0, 0).Close()
	ru.WaitUntilFraction(ctx, 0.9)
	ru.Fleet.Platform.SetDown(false)
	return nil
}

// injectSilence doesn't call RecordFault, so the run reports no failover gap.
func injectSilence(ctx context.Context, ru *Run) error {
	ru.WaitUntilFraction(ctx, 0.4)
	ru.silenceConnections()
	return nil
}

// silenceConnections makes all open connections between places and to upstreams
// stop responding for good; new ones work.
func (ru *Run) silenceConnections() {
	ru.Fleet.SilenceOpenConns()
	for _, ups := range ru.Fleet.Groups {
		for _, up := range ups {
			up.SilenceConnections()
		}
	}
}

// pauseLength is how long the primary stays frozen. It exceeds the time that a
// failover takes, so another primary exists when the frozen one resumes.
const pauseLength = 5 * time.Second

func injectPause(ctx context.Context, ru *Run) error {
	ru.WaitUntilFraction(ctx, 0.3)
	up := ru.Fleet.Primary(0, 0)
	ru.RecordFault()
	up.SetPaused(true)
	timer := time.NewTimer(pauseLength)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	up.SetPaused(false)
	return nil
}

// fault is a named fault with the functions that start and end it. The
// faults "cut_first" to "cut_third" isolate a place, and "store_loses" loses the
// responses to the next three updates of the platform's store.
type fault struct {
	name  string
	begin func(ctx context.Context, ru *Run)
	end   func(ru *Run)
}

func faults() []fault {
	noop := func(*Run) {}
	return []fault{
		{"kill_primary", func(_ context.Context, ru *Run) { ru.Fleet.Primary(0, 0).Close() }, noop},
		{"cut_first", isolatePlace(0, true), endIsolation(0)},
		{"cut_second", isolatePlace(1, true), endIsolation(1)},
		{"cut_third", isolatePlace(2, true), endIsolation(2)},
		{"store_down", func(_ context.Context, ru *Run) { ru.Fleet.Platform.SetDown(true) }, func(ru *Run) { ru.Fleet.Platform.SetDown(false) }},
		{"store_loses", func(_ context.Context, ru *Run) { ru.Fleet.Platform.DropResponses(3) }, noop},
		{"silent", func(_ context.Context, ru *Run) { ru.silenceConnections() }, noop},
		{"kill_daemon", killDaemon, noop},
		{"handover", func(ctx context.Context, ru *Run) {
			group := fleet.GroupName(0, 0)
			_ = ru.Fleet.Daemons()[0].Handover(ctx, group, ru.Fleet.Groups[group][1].Name())
		}, noop},
		{"replica_stops", func(_ context.Context, ru *Run) { ru.initialReplicas()[0].SetReplicationStopped(true) },
			func(ru *Run) { ru.initialReplicas()[0].SetReplicationStopped(false) }},
	}
}

func isolatePlace(pos int, isolated bool) func(context.Context, *Run) {
	return func(_ context.Context, ru *Run) { ru.Fleet.SetIsolated(ru.Options.Fleet.Places[pos], isolated) }
}

func endIsolation(pos int) func(*Run) {
	return func(ru *Run) { ru.Fleet.SetIsolated(ru.Options.Fleet.Places[pos], false) }
}

func killDaemon(_ context.Context, ru *Run) {
	ru.Fleet.KillDaemon(ru.Fleet.Daemons()[0])
}

// injectFaultPair starts two different faults chosen by the seed, the second while
// the first lasts, and then ends both.
func injectFaultPair(ctx context.Context, ru *Run) error {
	rng := rand.New(rand.NewPCG(ru.Options.Seed, 0))
	all := faults()
	first := all[rng.IntN(len(all))]
	second := all[rng.IntN(len(all))]
	for second.name == first.name {
		second = all[rng.IntN(len(all))]
	}
	ru.FaultNames = []string{first.name, second.name}
	ru.WaitUntilFraction(ctx, 0.25)
	ru.RecordFault()
	first.begin(ctx, ru)
	ru.WaitUntilFraction(ctx, 0.25+0.2*rng.Float64())
	second.begin(ctx, ru)
	ru.WaitUntilFraction(ctx, 0.6)
	first.end(ru)
	second.end(ru)
	return nil
}

// prepareFixedTimeout imitates a failover that starts when the primary has not been
// heard from for the TTL, which is checked at an interval.
func prepareFixedTimeout(opts *Options) {
	const (
		ttl   = 30 * time.Second
		check = 10 * time.Second
	)
	addDependencyEdit(opts, func(se *daemon.Dependencies) {
		se.ProbeInterval = check
		se.GuardTiming = &promo.Timing{SuspectAfter: ttl, MaxReportAge: 2 * check, MajorityTimeout: ttl, RetryInterval: check}
	})
}
