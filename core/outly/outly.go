// Package outly finds the members of a database group that fail reads, or serve them slowly,
// markedly more than the other members do, and decides which share of the reads such an outlier
// still gets. The package does no I/O and reads no clock.
package outly

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// cells and cellLength make up the time over which reads are counted: two periods of an
	// upstream that goes down and up every 1.5 s.
	cells      = 6
	cellLength = 500 * time.Millisecond
	// WindowLength is the time over which reads are counted.
	WindowLength = cells * cellLength
)

// Counts holds what became of the reads at one upstream.
type Counts struct {
	// Answered and Failed count the reads. One that an upstream refuses by right is neither.
	Answered, Failed int64
	// Took is the sum of the service times of the answered reads, without round trips.
	Took time.Duration
}

// With returns the sum of both.
func (co Counts) With(other Counts) Counts {
	return Counts{Answered: co.Answered + other.Answered, Failed: co.Failed + other.Failed, Took: co.Took + other.Took}
}

// Total returns the number of reads.
func (co Counts) Total() int64 { return co.Answered + co.Failed }

// FailedShare returns the share of the reads that failed; zero if there was none.
func (co Counts) FailedShare() float64 { return float64(co.Failed) / float64(max(co.Total(), 1)) }

// Mean returns the mean service time; zero if no read was answered.
func (co Counts) Mean() time.Duration { return co.Took / time.Duration(max(co.Answered, 1)) }

// Window counts the reads of the last WindowLength.
type Window struct {
	counts [cells]Counts
	// newest is the number of the newest cell since the Unix epoch.
	newest int64
}

// advance drops the cells that are older than WindowLength.
func (wi *Window) advance(now time.Time) {
	newest := now.UnixNano() / int64(cellLength)
	if newest-wi.newest >= cells {
		wi.counts = [cells]Counts{}
		wi.newest = newest
	}
	for wi.newest < newest {
		wi.newest++
		wi.counts[wi.newest%cells] = Counts{}
	}
}

// Add counts reads.
func (wi *Window) Add(co Counts, now time.Time) {
	wi.advance(now)
	cell := &wi.counts[wi.newest%cells]
	*cell = cell.With(co)
}

// Sum returns the counts of the last WindowLength.
func (wi *Window) Sum(now time.Time) Counts {
	wi.advance(now)
	var sum Counts
	for _, co := range wi.counts {
		sum = sum.With(co)
	}
	return sum
}

const (
	// MinWeight is the share of the reads by which the recovery of an outlier is noticed.
	MinWeight = 0.05
	// minReads is how many reads of a member with full weight decide on it, and minFailed how many
	// of them must have failed.
	minReads  = 12
	minFailed = 4
	// minReadsReduced and minFailedReduced are the same for a member with a reduced weight, which
	// gets few reads.
	minReadsReduced  = 5
	minFailedReduced = 2
	// failedAbove is by how much the share of failed reads must exceed that of the others for a
	// member to be an outlier, and failedNear up to which it counts as recovered.
	failedAbove = 0.2
	failedNear  = 0.08
	// sureErrors is how many standard errors of it the same must exceed for a member with full
	// weight. With none, and with 3, 30% of failures at all members made one an outlier within 40 s.
	sureErrors = 4
	// slowFactor and slowExcess are the same for the service time: both must be exceeded. Members
	// of one group differ by a factor of 2 in calm operation, because of caches and queues.
	slowFactor = 3
	slowExcess = 15 * time.Millisecond
	// A member counts as recovered if it is below nearFactor or nearExcess.
	nearFactor = 2
	nearExcess = 8 * time.Millisecond
	// fallTime is the time in which the weight of an outlier halves, and riseTime that in which the
	// weight of a recovered one doubles: from MinWeight to 1 in 4.3 s.
	fallTime = 250 * time.Millisecond
	riseTime = time.Second
	// maxStep bounds the time that one decision covers, for an instance that was suspended.
	maxStep = 500 * time.Millisecond
	// undecidedFor is how long a reduced weight stays without enough reads to decide on. It then
	// rises, which brings reads.
	undecidedFor = 3 * time.Second
)

type verdict int

const (
	undecided verdict = iota
	between
	outlier
	recovered
)

// readsToDecide returns how many reads of a member decide on it.
func readsToDecide(isReduced bool) int64 {
	if isReduced {
		return minReadsReduced
	}
	return minReads
}

// judge compares a member with the worst of the better half.
func judge(co Counts, share float64, mean time.Duration, isReduced bool) verdict {
	reads, failed := readsToDecide(isReduced), int64(minFailed)
	if isReduced {
		failed = minFailedReduced
	}
	if co.Total() < reads {
		return undecided
	}
	excess := co.Mean() - mean
	isSlow := co.Answered*2 >= reads && co.Mean() > slowFactor*mean && excess > slowExcess
	isFailing := co.Failed >= failed && co.FailedShare() > share+failedAbove
	if isSlow || (isFailing && (isReduced || co.isSurelyAbove(share))) {
		return outlier
	}
	isNear := co.Mean() < nearFactor*mean || excess < nearExcess
	if isNear && co.FailedShare() <= share+failedNear {
		return recovered
	}
	return between
}

// isSurelyAbove reports whether the share of failed reads exceeds another member's, which is taken to
// be of as many reads, by more than chance explains.
func (co Counts) isSurelyAbove(share float64) bool {
	own := co.FailedShare()
	variance := (own*(1-own) + share*(1-share)) / float64(max(co.Total(), 1))
	return own-share > sureErrors*math.Sqrt(variance)
}

// member is the state of one member.
type member struct {
	// weight is from MinWeight to 1.
	weight float64
	// isOutlier is true from the first verdict until the weight is 1 again.
	isOutlier bool
	// decidedAt is when there were last enough reads to decide on.
	decidedAt time.Time
}

// Change says that a member has become an outlier or has its full weight again.
type Change struct {
	ID        string
	IsOutlier bool
	Counts    Counts
	// Share and Mean are the share of failed reads and the mean service time that the counts were
	// compared with.
	Share float64
	Mean  time.Duration
}

// Group holds the weights of a group's members for reads. Its zero value has no members; all
// weights are 1.
type Group struct {
	// members holds those with a reduced weight.
	members   map[string]member
	weighedAt time.Time
}

// Weight returns the share of the reads that a member gets of those it would get otherwise.
func (gr *Group) Weight(id string) float64 {
	if me, ok := gr.members[id]; ok {
		return me.weight
	}
	return 1
}

// HasOutlier reports whether a member has a reduced weight.
func (gr *Group) HasOutlier() bool { return len(gr.members) > 0 }

// Weigh decides on the weights by the counts of all members, those of other instances included.
// Members that are missing are forgotten.
func (gr *Group) Weigh(counts map[string]Counts, now time.Time) []Change {
	step := min(max(now.Sub(gr.weighedAt), 0), maxStep)
	gr.weighedAt = now
	maps.DeleteFunc(gr.members, func(id string, _ member) bool { _, ok := counts[id]; return !ok })
	share, mean, ok := gr.betterHalf(counts)
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(counts)) {
		me, isReduced := gr.members[id]
		if !isReduced {
			me = member{weight: 1}
		}
		ve := undecided
		if ok {
			ve = judge(counts[id], share, mean, isReduced)
		}
		next := me.withVerdict(ve, step, now)
		if next.isOutlier != me.isOutlier {
			changes = append(changes, Change{ID: id, IsOutlier: next.isOutlier, Counts: counts[id], Share: share, Mean: mean})
		}
		if !next.isOutlier {
			delete(gr.members, id)
			continue
		}
		if gr.members == nil {
			gr.members = make(map[string]member)
		}
		gr.members[id] = next
	}
	return changes
}

// withVerdict returns the state after a verdict that is the first one for step.
func (me member) withVerdict(ve verdict, step time.Duration, now time.Time) member {
	if ve != undecided {
		me.decidedAt = now
	}
	isRising := ve == recovered || (ve == undecided && now.Sub(me.decidedAt) >= undecidedFor)
	switch {
	case ve == outlier:
		me.isOutlier = true
		me.weight = max(MinWeight, me.weight*math.Exp2(-float64(step)/float64(fallTime)))
	case isRising && me.isOutlier:
		me.weight = min(1, me.weight*math.Exp2(float64(step)/float64(riseTime)))
		me.isOutlier = me.weight < 1
	}
	return me
}

// betterHalf returns the highest share of failed reads and the highest mean service time of the
// better half of the members that have had enough reads, by each of both. These are what a member is
// compared with, so that what hits most of them makes none an outlier. It returns false if fewer than
// half of the members, or fewer than two, have had enough reads.
func (gr *Group) betterHalf(counts map[string]Counts) (float64, time.Duration, bool) {
	var shares []float64
	var means []time.Duration
	for id, co := range counts {
		if _, isReduced := gr.members[id]; co.Total() < readsToDecide(isReduced) {
			continue
		}
		shares = append(shares, co.FailedShare())
		// A member that answers nothing is the slowest.
		mean := time.Duration(math.MaxInt64 / slowFactor)
		if co.Answered > 0 {
			mean = co.Mean()
		}
		means = append(means, mean)
	}
	if len(shares) < max(FloorOf(len(counts)), 2) {
		return 0, 0, false
	}
	half := FloorOf(len(shares))
	slices.Sort(shares)
	slices.Sort(means)
	return shares[half-1], means[half-1], true
}

// FloorOf returns how many of a number of members stay in use whatever their counts are.
func FloorOf(members int) int { return (members + 1) / 2 }

// WithFloor returns the weights of the members that can serve a read, of which at least half are 1:
// those with the highest, in case of a tie the first.
func WithFloor(weights []float64) []float64 {
	order := make([]int, len(weights))
	for pos := range order {
		order[pos] = pos
	}
	slices.SortStableFunc(order, func(left, right int) int { return cmp.Compare(weights[right], weights[left]) })
	out := slices.Clone(weights)
	for _, pos := range order[:FloorOf(len(order))] {
		out[pos] = 1
	}
	return out
}

// suspectReads is how many reads of two members suffice to suspect the slower one.
const suspectReads = 2

// IsSuspect reports whether the counts give a reason to ask other instances for theirs: a failed
// read, or one member that is much slower than another.
func IsSuspect(counts map[string]Counts) bool {
	lowest, highest := time.Duration(math.MaxInt64), time.Duration(0)
	for _, co := range counts {
		if co.Failed > 0 {
			return true
		}
		if co.Answered >= suspectReads {
			lowest, highest = min(lowest, co.Mean()), max(highest, co.Mean())
		}
	}
	return highest > 0 && highest/slowFactor > lowest && highest-lowest > slowExcess
}
