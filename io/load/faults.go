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
		Scenario{Name: "failover", Text: "the primary is killed", Drive: driveFailover},
		Scenario{Name: "isolate", Text: "the primary's failure domain is cut off, with callers on both sides", Drive: driveIsolate},
		Scenario{Name: "planned", Text: "an operator orders a change of primary", Drive: drivePlanned},
		Scenario{Name: "store_down", Text: "the platform's store is out before and through a failover", Drive: driveStoreDown},
		Scenario{Name: "silent", Text: "open connections fall silent for good while new ones work", Drive: driveSilent},
		Scenario{Name: "paused", Text: "the primary freezes for 5 s and wakes believing that it leads", Drive: drivePaused},
		Scenario{Name: "pair", Text: "two faults chosen by the seed, the second in the middle of the first", Drive: drivePair},
	)
	policies = append(policies,
		Policy{Name: "fixed_timeout", Text: "a primary is replaced after a ttl of 30 s, checked every 10 s", Prepare: prepareFixedTimeout},
	)
}

func driveFailover(ctx context.Context, ru *Run) error {
	ru.At(ctx, 0.4)
	ru.NoteFault()
	ru.Fleet.Primary(0, 0).Close()
	return nil
}

func driveIsolate(ctx context.Context, ru *Run) error {
	ru.At(ctx, 0.3)
	place := ru.Fleet.PlaceOfUpstream(ru.Fleet.Primary(0, 0))
	ru.NoteFault()
	ru.Fleet.CutOff(place, true)
	ru.At(ctx, 0.7)
	ru.Fleet.CutOff(place, false)
	return nil
}

func drivePlanned(ctx context.Context, ru *Run) error {
	ru.At(ctx, 0.5)
	group := fleet.GroupName(0, 0)
	target := ru.Fleet.Groups[group][1].Name()
	ru.NoteFault()
	return ru.Fleet.Daemons()[0].Handover(ctx, group, target)
}

func driveStoreDown(ctx context.Context, ru *Run) error {
	ru.At(ctx, 0.2)
	ru.Fleet.Platform.SetDown(true)
	ru.At(ctx, 0.4)
	ru.NoteFault()
	ru.Fleet.Primary(0, 0).Close()
	ru.At(ctx, 0.9)
	ru.Fleet.Platform.SetDown(false)
	return nil
}

func driveSilent(ctx context.Context, ru *Run) error {
	ru.At(ctx, 0.4)
	ru.silence()
	return nil
}

func (ru *Run) silence() {
	ru.Fleet.SilencePaths()
	for _, ups := range ru.Fleet.Groups {
		for _, up := range ups {
			up.SilenceConnections()
		}
	}
}

// pauseLength is how long a frozen primary stays frozen.
const pauseLength = 5 * time.Second

func drivePaused(ctx context.Context, ru *Run) error {
	ru.At(ctx, 0.3)
	up := ru.Fleet.Primary(0, 0)
	ru.NoteFault()
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

// fault is one fault and its end.
type fault struct {
	name  string
	begin func(ctx context.Context, ru *Run)
	end   func(ru *Run)
}

func faults() []fault {
	nothing := func(*Run) {}
	return []fault{
		{"kill_primary", func(_ context.Context, ru *Run) { ru.Fleet.Primary(0, 0).Close() }, nothing},
		{"cut_first", cutPlace(0, true), endCut(0)},
		{"cut_second", cutPlace(1, true), endCut(1)},
		{"cut_third", cutPlace(2, true), endCut(2)},
		{"store_down", func(_ context.Context, ru *Run) { ru.Fleet.Platform.SetDown(true) }, func(ru *Run) { ru.Fleet.Platform.SetDown(false) }},
		{"store_loses", func(_ context.Context, ru *Run) { ru.Fleet.Platform.LoseAnswers(3) }, nothing},
		{"silent", func(_ context.Context, ru *Run) { ru.silence() }, nothing},
		{"kill_daemon", killDaemon, nothing},
		{"handover", func(ctx context.Context, ru *Run) {
			group := fleet.GroupName(0, 0)
			_ = ru.Fleet.Daemons()[0].Handover(ctx, group, ru.Fleet.Groups[group][1].Name())
		}, nothing},
		{"replica_stops", func(_ context.Context, ru *Run) { ru.replicas()[0].SetReplicationStopped(true) },
			func(ru *Run) { ru.replicas()[0].SetReplicationStopped(false) }},
	}
}

func cutPlace(pos int, isCut bool) func(context.Context, *Run) {
	return func(_ context.Context, ru *Run) { ru.Fleet.CutOff(ru.Options.Fleet.Places[pos], isCut) }
}

func endCut(pos int) func(*Run) {
	return func(ru *Run) { ru.Fleet.CutOff(ru.Options.Fleet.Places[pos], false) }
}

func killDaemon(_ context.Context, ru *Run) {
	ru.Fleet.KillDaemon(ru.Fleet.Daemons()[0])
}

// drivePair begins a second fault a short time into the first.
func drivePair(ctx context.Context, ru *Run) error {
	rng := rand.New(rand.NewPCG(ru.Options.Seed, 0))
	all := faults()
	first := all[rng.IntN(len(all))]
	second := all[rng.IntN(len(all))]
	for second.name == first.name {
		second = all[rng.IntN(len(all))]
	}
	ru.FaultNames = []string{first.name, second.name}
	ru.At(ctx, 0.25)
	ru.NoteFault()
	first.begin(ctx, ru)
	ru.At(ctx, 0.25+0.2*rng.Float64())
	second.begin(ctx, ru)
	ru.At(ctx, 0.6)
	first.end(ru)
	second.end(ru)
	return nil
}

func prepareFixedTimeout(opts *Options) {
	const (
		ttl   = 30 * time.Second
		check = 10 * time.Second
	)
	addSeams(opts, func(se *daemon.Seams) {
		se.GuardEvery = check
		se.Timing = &promo.Timing{Suspect: ttl, Fresh: 2 * check, Stuck: ttl, Retry: check}
	})
}
