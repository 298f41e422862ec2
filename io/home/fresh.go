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

// sample is a position of the primary that a majority has confirmed.
type sample struct {
	// takenAt is a time before the position was requested.
	takenAt  time.Time
	position posn.Position
}

// freshness bounds the age of a replica's data: data that covers a sample's
// position is at most as old as the sample.
type freshness struct {
	up          *Upstream
	sampleQuery *batch.Coalescer[posn.Position]

	mu sync.Mutex
	// samples is ordered by time, oldest first, and holds at most maxSamples.
	samples []sample
	// refreshing is true while refresh takes a sample in the background.
	refreshing bool
}

const maxSamples = 64

func newFreshness(up *Upstream) *freshness {
	fr := &freshness{up: up}
	fr.sampleQuery = batch.New(queryTimeout, codes.NoMajority, func(ctx context.Context) (posn.Position, error) {
		taken := up.now()
		gr, ok := up.currentGroup()
		if !ok {
			return posn.Position{}, codes.Refuse(codes.NoPrimary, "group %s is not known", up.group)
		}
		at, err := up.peers.ConfirmFloor(ctx, gr, queryTimeout)
		if err == nil {
			fr.add(sample{takenAt: taken, position: at})
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

// newestCoveredTime returns the time of the newest sample that the position
// covers, or the zero time.
func (fr *freshness) newestCoveredTime(at posn.Position) time.Time {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	for pos := len(fr.samples) - 1; pos >= 0; pos-- {
		if at.Covers(fr.samples[pos].position, false) {
			return fr.samples[pos].takenAt
		}
	}
	return time.Time{}
}

// refresh takes a sample in the background before one is needed, unless it is
// doing so already.
func (fr *freshness) refresh() {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.refreshing {
		return
	}
	fr.refreshing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		_, _, _ = fr.sampleQuery.Do(ctx)
		fr.mu.Lock()
		fr.refreshing = false
		fr.mu.Unlock()
	}()
}

const (
	// minPollInterval and maxPollInterval bound the pause between two polls of
	// a replica that lags behind.
	minPollInterval = 500 * time.Microsecond
	maxPollInterval = 4 * time.Millisecond
	// refreshDivisor is the divisor of the tolerated age: data older than the
	// quotient triggers a background refresh.
	refreshDivisor = 3
)

// primaryInService returns the upstream's report if the upstream is the primary
// of its group, its term is in service and no handover is running. The error is
// a refusal.
func (up *Upstream) primaryInService(ctx context.Context) (positionReport, error) {
	if up.handingOver.Load() {
		return positionReport{}, codes.Refuse(codes.NotPrimary, "%s hands over", up.member.Name)
	}
	got, err := up.primaryReport(ctx)
	if err != nil {
		return got, err
	}
	return got, up.awaitInService(ctx, got)
}

// awaitInService returns nil once a majority has joined the upstream's term.
// Until then the upstream takes no writes, because writes that it alone holds
// could compare as more advanced than those that other members acknowledged.
func (up *Upstream) awaitInService(ctx context.Context, got positionReport) error {
	te := got.position.Term
	if newest := up.newestTerm(); newest.Compare(te) > 0 {
		return codes.Refuse(codes.NotPrimary, "term %d of %s is newer", newest.Number, newest.Primary)
	}
	if served := up.termInService.Load(); served != nil && *served == te {
		return nil
	}
	deadline := up.now().Add(inServiceTimeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	if err := up.confirm.awaitMajority(ctx, got.position, deadline); err != nil {
		return codes.Refuse(codes.NoMajority, "term %d is not in service", te.Number)
	}
	up.termInService.Store(&te)
	return nil
}

// newestTerm returns the newest term of the group known to this daemon, from
// member reports or from the platform.
func (up *Upstream) newestTerm() posn.Term {
	newest := up.confirm.highestTerm()
	gr, ok := up.currentGroup()
	if !ok {
		return newest
	}
	known := posn.Term{Number: gr.TermNumber, Primary: gr.Primary}
	if known.Compare(newest) > 0 {
		return known
	}
	return newest
}

// inServiceTimeout bounds the wait for a majority to join a term.
const inServiceTimeout = 500 * time.Millisecond

// primaryReport returns the upstream's report if the upstream reports itself as
// primary.
func (up *Upstream) primaryReport(ctx context.Context) (positionReport, error) {
	got := up.highestReport.Load()
	if got == nil || !got.primary {
		fresh, _, err := up.reportQuery.Do(ctx)
		if err != nil {
			return positionReport{}, codes.From(err)
		}
		got = &fresh
	}
	if !got.primary {
		return *got, codes.Refuse(codes.NotPrimary, "%s", up.member.Name)
	}
	return *got, nil
}

// awaitMinPosition waits until the upstream covers the minimum position floor
// and returns the upstream's position. It returns a refusal if the limit passes
// first.
func (up *Upstream) awaitMinPosition(ctx context.Context, floor posn.Position, limit time.Time) (posn.Position, error) {
	at, err := up.awaitPosition(ctx, floor, limit)
	if err != nil {
		return at, err
	}
	if !at.Covers(floor, false) {
		return at, codes.Refuse(codes.Behind, "%s is behind by %d", up.member.Name, at.Behind(floor, false))
	}
	return at, nil
}

// awaitFresh waits until the replica covers the minimum position floor and its
// data is no older than maxAge. The error is a refusal; the position is the
// last known one.
func (up *Upstream) awaitFresh(ctx context.Context, floor posn.Position, maxAge time.Duration, limit time.Time) (posn.Position, error) {
	at, err := up.awaitMinPosition(ctx, floor, limit)
	if err != nil {
		return at, err
	}
	return up.awaitMaxAge(ctx, at, maxAge, limit)
}

// awaitMaxAge waits until the data at the position is known to be no older than
// maxAge.
func (up *Upstream) awaitMaxAge(ctx context.Context, at posn.Position, maxAge time.Duration, limit time.Time) (posn.Position, error) {
	age := up.now().Sub(up.freshness.newestCoveredTime(at))
	if age*refreshDivisor > maxAge {
		up.freshness.refresh()
	}
	if age <= maxAge {
		return at, nil
	}
	return up.awaitNewSample(ctx, maxAge, limit)
}

// awaitNewSample takes a new sample and waits for the replica to reach it.
func (up *Upstream) awaitNewSample(ctx context.Context, maxAge time.Duration, limit time.Time) (posn.Position, error) {
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	want, _, err := up.freshness.sampleQuery.Do(ctx)
	if err != nil {
		// Without a new sample, the samples taken so far decide.
		want = posn.Position{}
	}
	at, err := up.awaitPosition(ctx, want, limit)
	if err != nil {
		return at, err
	}
	age := up.now().Sub(up.freshness.newestCoveredTime(at))
	if age > maxAge {
		return at, codes.Refuse(codes.TooStale, "%s cannot prove an age under %v", up.member.Name, maxAge)
	}
	return at, nil
}

// awaitPosition returns the upstream's position as soon as it covers want or is
// in a higher term, or once the limit has passed. The upstream is polled only
// during such calls.
func (up *Upstream) awaitPosition(ctx context.Context, want posn.Position, limit time.Time) (posn.Position, error) {
	if got := up.highestReport.Load(); got != nil && got.position.Covers(want, false) {
		return got.position, nil
	}
	wait := minPollInterval
	for {
		got, _, err := up.reportQuery.Do(ctx)
		if err != nil {
			return posn.Position{}, codes.From(err)
		}
		inHigherTerm := got.position.Term.Compare(want.Term) > 0
		if inHigherTerm || got.position.Covers(want, false) || !up.now().Add(wait).Before(limit) {
			return got.position, nil
		}
		if !delay.Pause(ctx, wait) {
			return got.position, nil
		}
		wait = min(2*wait, maxPollInterval)
	}
}
