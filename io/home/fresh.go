package home

import (
	"context"
	"sync"
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/posn"
	"banyanspring/io/batch"
	"banyanspring/io/delay"
)

// sample is a position of the primary that a majority confirmed.
type sample struct {
	// taken is from before the question was sent.
	taken    time.Time
	position posn.Position
}

// freshness bounds the age of a replica's data: a replica at or past a sample
// is at most as old as the sample.
type freshness struct {
	up    *Upstream
	asker *batch.Asker[posn.Position]

	mu sync.Mutex
	// samples are in the order of their time and at most maxSamples.
	samples []sample
	// asking is true while a sample is being taken ahead of need.
	asking bool
}

const maxSamples = 64

func newFreshness(up *Upstream) *freshness {
	fr := &freshness{up: up}
	fr.asker = batch.New(questionTimeout, codes.NoMajority, func(ctx context.Context) (posn.Position, error) {
		taken := up.now()
		gr, ok := up.view()
		if !ok {
			return posn.Position{}, codes.Refuse(codes.NoPrimary, "group %s is not known", up.group)
		}
		at, err := up.peers.ConfirmFloor(ctx, gr, questionTimeout)
		if err == nil {
			fr.add(sample{taken: taken, position: at})
		}
		return at, err
	})
	return fr
}

func (fr *freshness) add(sa sample) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.samples = append(fr.samples, sa)
	if len(fr.samples) > maxSamples {
		fr.samples = fr.samples[1:]
	}
}

// asOf returns the time of the newest sample that the position includes.
func (fr *freshness) asOf(at posn.Position) time.Time {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	for pos := len(fr.samples) - 1; pos >= 0; pos-- {
		if at.Covers(fr.samples[pos].position, false) {
			return fr.samples[pos].taken
		}
	}
	return time.Time{}
}

// refresh takes a sample ahead of need.
func (fr *freshness) refresh() {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.asking {
		return
	}
	fr.asking = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), questionTimeout)
		defer cancel()
		_, _, _ = fr.asker.Ask(ctx)
		fr.mu.Lock()
		fr.asking = false
		fr.mu.Unlock()
	}()
}

const (
	// minPoll and maxPoll bound the pause between two looks at a replica that
	// is behind.
	minPoll = 500 * time.Microsecond
	maxPoll = 4 * time.Millisecond
	// refreshShare is the share of the tolerated age after which the next
	// sample is taken.
	refreshShare = 3
)

// lead returns the upstream's report if it leads its group in a term that is
// in service. The error is a refusal.
func (up *Upstream) lead(ctx context.Context) (report, error) {
	if up.handing.Load() {
		return report{}, codes.Refuse(codes.NotPrimary, "%s hands over", up.member.Name)
	}
	got, err := up.leadReport(ctx)
	if err != nil {
		return got, err
	}
	return got, up.inService(ctx, got)
}

// inService returns nil once a majority has joined the upstream's term. Until
// then it takes no writes: what it wrote alone could pass for more advanced
// than what others acknowledged.
func (up *Upstream) inService(ctx context.Context, got report) error {
	te := got.position.Term
	if newest := up.newestTerm(); newest.Compare(te) > 0 {
		return codes.Refuse(codes.NotPrimary, "term %d of %s is newer", newest.Number, newest.Primary)
	}
	if served := up.served.Load(); served != nil && *served == te {
		return nil
	}
	deadline := up.now().Add(serviceWait)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	if err := up.confirm.await(ctx, got.position, deadline); err != nil {
		return codes.Refuse(codes.NoMajority, "term %d is not in service", te.Number)
	}
	up.served.Store(&te)
	return nil
}

// newestTerm returns the newest term of the group that is known here.
func (up *Upstream) newestTerm() posn.Term {
	newest := up.confirm.highest()
	gr, ok := up.view()
	if !ok {
		return newest
	}
	known := posn.Term{Number: gr.TermNumber, Primary: gr.Primary}
	if known.Compare(newest) > 0 {
		return known
	}
	return newest
}

// serviceWait bounds the wait for a majority to join a term.
const serviceWait = 500 * time.Millisecond

// leadReport returns the upstream's report if it says that it leads.
func (up *Upstream) leadReport(ctx context.Context) (report, error) {
	got := up.known.Load()
	if got == nil || !got.primary {
		fresh, _, err := up.reports.Ask(ctx)
		if err != nil {
			return report{}, codes.From(err)
		}
		got = &fresh
	}
	if !got.primary {
		return *got, codes.Refuse(codes.NotPrimary, "%s", up.member.Name)
	}
	return *got, nil
}

// awaitFloor returns nil once the upstream includes the floor.
func (up *Upstream) awaitFloor(ctx context.Context, floor posn.Position, limit time.Time) (posn.Position, error) {
	at, err := up.awaitPosition(ctx, floor, limit)
	if err != nil {
		return at, err
	}
	if !at.Covers(floor, false) {
		return at, codes.Refuse(codes.Behind, "%s is behind by %d", up.member.Name, at.Behind(floor, false))
	}
	return at, nil
}

// awaitFresh returns nil once the replica includes the floor and is no older
// than the age given. The error is a refusal, with the last known position.
func (up *Upstream) awaitFresh(ctx context.Context, floor posn.Position, maxAge time.Duration, limit time.Time) (posn.Position, error) {
	at, err := up.awaitFloor(ctx, floor, limit)
	if err != nil {
		return at, err
	}
	return up.awaitAge(ctx, at, maxAge, limit)
}

// awaitAge returns nil once data at the position is known to be no older than
// the age given.
func (up *Upstream) awaitAge(ctx context.Context, at posn.Position, maxAge time.Duration, limit time.Time) (posn.Position, error) {
	age := up.now().Sub(up.fresh.asOf(at))
	if age*refreshShare > maxAge {
		up.fresh.refresh()
	}
	if age <= maxAge {
		return at, nil
	}
	return up.awaitSample(ctx, maxAge, limit)
}

// awaitSample takes a new sample and waits for the replica to reach it.
func (up *Upstream) awaitSample(ctx context.Context, maxAge time.Duration, limit time.Time) (posn.Position, error) {
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	want, _, err := up.fresh.asker.Ask(ctx)
	if err != nil {
		want = posn.Position{}
	}
	at, err := up.awaitPosition(ctx, want, limit)
	if err != nil {
		return at, err
	}
	age := up.now().Sub(up.fresh.asOf(at))
	if age > maxAge {
		return at, codes.Refuse(codes.TooStale, "%s cannot prove an age under %v", up.member.Name, maxAge)
	}
	return at, nil
}

// awaitPosition returns the upstream's position, as soon as it covers the one
// given or the limit has passed. It polls only while somebody waits.
func (up *Upstream) awaitPosition(ctx context.Context, want posn.Position, limit time.Time) (posn.Position, error) {
	if got := up.known.Load(); got != nil && got.position.Covers(want, false) {
		return got.position, nil
	}
	wait := minPoll
	for {
		got, _, err := up.reports.Ask(ctx)
		if err != nil {
			return posn.Position{}, codes.From(err)
		}
		isPast := got.position.Term.Compare(want.Term) > 0
		if isPast || got.position.Covers(want, false) || !up.now().Add(wait).Before(limit) {
			return got.position, nil
		}
		if !delay.Pause(ctx, wait) {
			return got.position, nil
		}
		wait = min(2*wait, maxPoll)
	}
}
