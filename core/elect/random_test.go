package elect

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanspring/core/posn"
)

// The random test runs a group of upstreams of which databases are replaced all the time,
// while others crash, are cut off or vanish from the listing, and a coordinator that
// changes the leader as package member does and asks Change.Candidates whom to appoint.
// Whatever is appointed must hold every acknowledged write, and once all faults are over a
// leader that is shutting down must be replaced.
//
// The coordinator may start late: then it knows only the upstreams that are listed, and the bound of
// what the others may have received is the leader's next report. It sees each change of the listing at
// once, and no upstream joins or starts again between its last look at frozen replicas and the
// appointment: how those gaps are closed is up to package member.
//
//	ELECT_SEED first seed, ELECT_RUNS number of seeds

const (
	randomSchedules = 3000
	randomSteps     = 60
	// maxFinalChanges is how many changes may fail once all faults are over.
	maxFinalChanges = 10
)

// logWrite is a write in the logs of upstreams.
type logWrite struct {
	at posn.Position
	// isReceived is true once a replica has received it, and isAcked once the leader has
	// acknowledged it.
	isReceived, isAcked bool
}

// upstream is a simulated database.
type upstream struct {
	id   string
	log  []*logWrite
	term uint64
	// leads is true if it claims to lead term.
	leads, isFrozen bool
	// isDown is true while its process does not run, and hasEnded if it never will again.
	isDown, hasEnded bool
	isLeaving        bool
	isListed         bool
	// isCut is true while it and the leader do not reach each other, and isUnreachable
	// while the coordinator does not reach it.
	isCut, isUnreachable bool
}

func (up *upstream) received() posn.Position {
	if len(up.log) == 0 {
		return posn.Position{}
	}
	return up.log[len(up.log)-1].at
}

func (up *upstream) holds(wr *logWrite) bool { return slices.Contains(up.log, wr) }

// schedule is one run of the random test.
type schedule struct {
	rng    *rand.Rand
	ups    []*upstream
	leader *upstream
	term   uint64
	writes []*logWrite
	// isStable is true while no upstream joins or starts again.
	isStable bool
	// appointed counts the appointments.
	appointed int
	trace     []string
	// lost describes the first appointment that lost an acknowledged write.
	lost string

	// What the coordinator knows: the term whose leader has stopped on its order, and the
	// upstreams that have ended, with their bounds.
	stoppedTerm uint64
	ended       map[*upstream]bool
	bounds      map[*upstream]posn.Position
	// forgotten holds the upstreams that the coordinator does not know, since it has started after they
	// had left, and forgottenBound what they may have received; nil if that is not known.
	forgotten      map[*upstream]bool
	forgottenBound *posn.Position
	// starts counts the starts of the coordinator.
	starts int
	// known is what instances have seen and reported as a success, and belowKnown counts the changes
	// that it prevented.
	known      *Known
	belowKnown int
}

func newSchedule(seed uint64) *schedule {
	sc := &schedule{
		rng: rand.New(rand.NewPCG(seed, seed)), term: 1,
		ended: make(map[*upstream]bool), bounds: make(map[*upstream]posn.Position), known: NewKnown(),
		forgotten: make(map[*upstream]bool), forgottenBound: &posn.Position{},
	}
	for range 3 {
		sc.join()
	}
	sc.leader = sc.ups[0]
	sc.leader.leads = true
	return sc
}

func (sc *schedule) note(format string, args ...any) {
	sc.trace = append(sc.trace, fmt.Sprintf(format, args...))
}

// join adds an upstream, which receives the leader's log from now on.
func (sc *schedule) join() {
	up := &upstream{id: fmt.Sprint("u", len(sc.ups)), term: sc.term, isListed: true}
	sc.ups = append(sc.ups, up)
	if sc.leader != nil {
		sc.replicate(up)
	}
	sc.note("%s joins", up.id)
}

// replicate sends the leader's log to an upstream. A leader that has stopped still sends
// what it has.
func (sc *schedule) replicate(up *upstream) {
	le := sc.leader
	if up == le || up.isDown || le.isDown || up.isCut || le.isCut || up.isFrozen {
		return
	}
	up.term = sc.term
	up.log = slices.Clone(le.log)
	for _, wr := range up.log {
		wr.isReceived = true
	}
}

// promote makes an upstream the leader of the next term.
func (sc *schedule) promote(next *upstream) {
	sc.term++
	sc.appointed++
	sc.note("%s leads term %d with %v", next.id, sc.term, next.received())
	for _, wr := range sc.writes {
		if wr.isAcked && !next.holds(wr) && sc.lost == "" {
			sc.lost = fmt.Sprintf("%s is appointed without the acknowledged write %v", next.id, wr.at)
		}
	}
	for _, up := range sc.ups {
		up.leads, up.isFrozen = up == next, false
		common := 0
		for common < min(len(up.log), len(next.log)) && up.log[common] == next.log[common] {
			common++
		}
		up.log = slices.Clone(up.log[:common])
	}
	next.term, sc.leader = sc.term, next
}

// happen lets random events happen.
func (sc *schedule) happen(count int) {
	for range sc.rng.IntN(count + 1) {
		up := sc.ups[sc.rng.IntN(len(sc.ups))]
		switch sc.rng.IntN(16) {
		case 0, 1, 2:
			sc.write()
		case 3, 4, 5:
			sc.replicate(up)
		case 6, 7:
			sc.acknowledge()
		case 8:
			sc.release(up)
		case 9:
			sc.end(up)
		case 10:
			sc.crash(up)
		case 11:
			if !sc.isStable {
				sc.restart(up)
			}
		case 12:
			up.isCut = !up.isCut
			sc.note("%s cut off from the leader: %v", up.id, up.isCut)
		case 13:
			up.isUnreachable = !up.isUnreachable
			sc.note("%s unreachable: %v", up.id, up.isUnreachable)
		case 14:
			if !up.hasEnded {
				sc.list(up, !up.isListed)
				sc.note("%s listed: %v", up.id, up.isListed)
			}
		case 15:
			sc.observe()
		}
	}
}

// release adds an upstream, and another one begins to leave.
func (sc *schedule) release(up *upstream) {
	if !sc.isStable && !up.isLeaving && !up.isDown && sc.present() < 6 {
		sc.join()
		up.isLeaving = true
		sc.note("%s is leaving", up.id)
	}
}

func (sc *schedule) crash(up *upstream) {
	if !up.isDown {
		up.isDown = true
		sc.note("%s crashes", up.id)
	}
}

func (sc *schedule) present() int {
	count := 0
	for _, up := range sc.ups {
		if !up.hasEnded {
			count++
		}
	}
	return count
}

func (sc *schedule) write() {
	if le := sc.leader; le.leads && !le.isDown {
		at := posn.Position{Term: posn.Term{Number: sc.term}, Offset: le.received().Offset + 1}
		wr := &logWrite{at: at}
		le.log, sc.writes = append(le.log, wr), append(sc.writes, wr)
	}
}

// acknowledge acknowledges the leader's writes that a replica has received.
func (sc *schedule) acknowledge() {
	if sc.leader.isDown {
		return
	}
	for _, wr := range sc.leader.log {
		if wr.isReceived && !wr.isAcked {
			wr.isAcked = true
			// Some of the instances that report successes reach the coordinator.
			if sc.rng.IntN(2) == 0 {
				sc.known.Add("g", Holding{Term: sc.term, At: wr.at})
			}
			sc.note("%v is acknowledged", wr.at)
		}
	}
}

// end ends an upstream that is leaving for good. The leader is replaced first, and whatever
// alone holds a write stays: it could be lost whoever is appointed.
func (sc *schedule) end(up *upstream) {
	if !up.isLeaving || up.hasEnded || up == sc.leader {
		return
	}
	if sc.isHeldWithout(up) {
		up.isDown, up.hasEnded, up.isListed, up.log = true, true, false, nil
		sc.note("%s ends", up.id)
	}
}

// isHeldWithout reports whether another upstream has the log of this one.
func (sc *schedule) isHeldWithout(up *upstream) bool {
	return slices.ContainsFunc(sc.ups, func(other *upstream) bool {
		return other != up && !other.hasEnded && (len(up.log) == 0 || other.holds(up.log[len(up.log)-1]))
	})
}

// restart starts a crashed upstream with its log; it is no longer frozen.
func (sc *schedule) restart(up *upstream) {
	if up.isDown && !up.hasEnded {
		up.isDown, up.isFrozen, up.term = false, false, max(up.term, sc.term)
		sc.list(up, true)
		delete(sc.ended, up)
		delete(sc.bounds, up)
		sc.note("%s starts again", up.id)
	}
}

// observe asks the leader for its position: a bound of what was acknowledged because of the
// upstreams that had ended before.
func (sc *schedule) observe() {
	if le := sc.leader; sc.answers(le) && le.leads {
		for up := range sc.ended {
			if _, ok := sc.bounds[up]; !ok {
				sc.bounds[up] = le.received()
			}
		}
		if sc.forgottenBound == nil {
			at := le.received()
			sc.forgottenBound = &at
		}
	}
}

// startCoordinator makes the coordinator one that has just started and knows what is listed. Upstreams
// that run without an entry write it meanwhile.
func (sc *schedule) startCoordinator() {
	sc.starts++
	sc.stoppedTerm, sc.forgottenBound, sc.known = 0, nil, NewKnown()
	clear(sc.ended)
	clear(sc.bounds)
	for _, up := range sc.ups {
		sc.list(up, up.isListed || !up.isDown)
		if !up.isListed {
			sc.forgotten[up] = true
		}
	}
	sc.note("the coordinator starts")
}

// left returns what the coordinator knows of the upstreams that had left before it started.
func (sc *schedule) left() Unknown {
	if sc.forgottenBound == nil {
		return Unknown{IsUnbounded: true}
	}
	return Unknown{Bound: *sc.forgottenBound}
}

// isKnown reports whether the coordinator knows an upstream.
func (sc *schedule) isKnown(up *upstream) bool { return !sc.forgotten[up] }

// list writes or removes the entry of an upstream. The coordinator sees both.
func (sc *schedule) list(up *upstream, isListed bool) {
	up.isListed = isListed
	if isListed {
		delete(sc.forgotten, up)
	}
}

func (sc *schedule) answers(up *upstream) bool { return !up.isDown && !up.isUnreachable }

// report returns what the coordinator learns by asking an upstream.
func (sc *schedule) report(up *upstream) Replica {
	if up.isDown && !up.isUnreachable && !up.isListed {
		sc.ended[up] = true
	}
	if up.isListed {
		delete(sc.ended, up)
		delete(sc.bounds, up)
	}
	re := Replica{ID: up.id, IsLeaving: up.isLeaving, IsListed: up.isListed}
	if sc.answers(up) {
		re.Answered, re.ClaimsLead, re.IsFrozen = true, up.leads, up.isFrozen
		re.Received, re.Term = up.received(), up.term
		if up != sc.leader && re.Received.Term.Number == up.term && !up.leads {
			sc.known.Add("g", Holding{Upstream: up.id, Term: up.term, At: re.Received})
		}
	} else if sc.ended[up] {
		re.HasEnded = true
		re.Bound, re.HasBound = sc.bounds[up]
	}
	return re
}

// reportLeader returns what the coordinator learns by asking the leader; zero if it does not know it.
func (sc *schedule) reportLeader() Replica {
	if !sc.isKnown(sc.leader) {
		return Replica{}
	}
	return sc.report(sc.leader)
}

// survey returns the change as the coordinator knows it, with random events between any
// two answers of replicas.
func (sc *schedule) survey(leader Replica, isStopped bool) Change {
	ch := Change{Term: sc.term, IsStopped: isStopped, Leader: leader}
	for _, up := range slices.Clone(sc.ups) {
		if up != sc.leader && sc.isKnown(up) {
			ch.Replicas = append(ch.Replicas, sc.report(up))
		}
		sc.happen(1)
	}
	ch.Forgotten = sc.left()
	return ch
}

// changeLeader tries to replace the leader, as package member does.
func (sc *schedule) changeLeader() {
	sc.note("change of %s", sc.leader.id)
	before := sc.appointed
	defer func() {
		if sc.appointed == before && sc.answers(sc.leader) && sc.leader.leads {
			sc.unfreeze()
		}
	}()
	if sc.rng.IntN(8) == 0 {
		sc.startCoordinator()
	}
	sc.observe()
	leader := sc.reportLeader()
	isStopped := leader.Answered && !leader.ClaimsLead && sc.stoppedTerm == sc.term
	sc.happen(3)
	if leader.ClaimsLead && sc.answers(sc.leader) && sc.rng.IntN(4) > 0 {
		sc.leader.leads = false
		sc.note("%s stops", sc.leader.id)
		// The answer to the order may be lost.
		if sc.rng.IntN(4) > 0 {
			isStopped, leader, sc.stoppedTerm = true, sc.reportLeader(), sc.term
		}
	}
	sc.happen(4)
	if isStopped {
		if next, ok := sc.choose(sc.survey(leader, true)); ok {
			sc.happen(6)
			sc.call(next)
			return
		}
	}
	for _, up := range slices.Clone(sc.ups) {
		sc.freeze(up)
		sc.happen(1)
	}
	sc.happen(4)
	sc.isStable = true
	defer func() { sc.isStable = false }()
	for _, up := range sc.ups {
		if sc.rng.IntN(4) > 0 {
			sc.freeze(up)
		}
	}
	if !isStopped {
		leader = sc.reportLeader()
	}
	if next, ok := sc.choose(sc.survey(leader, isStopped)); ok {
		sc.happen(3)
		sc.call(next)
	}
}

// choose returns one of the candidates, mostly the best.
func (sc *schedule) choose(ch Change) (*upstream, bool) {
	ch.Known = sc.known.OfGroup("g")
	candidates, obstacle := ch.Candidates()
	if obstacle != NoObstacle {
		sc.note("obstacle: %s", obstacle)
		if obstacle == BelowKnown {
			sc.belowKnown++
		}
		return nil, false
	}
	best := candidates[0]
	if sc.rng.IntN(4) == 0 {
		best = candidates[sc.rng.IntN(len(candidates))]
	}
	pos := slices.IndexFunc(sc.ups, func(up *upstream) bool { return up.id == best.ID })
	return sc.ups[pos], true
}

// call has the platform appoint an upstream; it refuses one that is not running.
func (sc *schedule) call(next *upstream) {
	if !next.isDown {
		sc.promote(next)
	}
}

// freeze orders an upstream to receive nothing more; one that leads ignores it.
func (sc *schedule) freeze(up *upstream) {
	if sc.answers(up) && !up.leads && !up.isFrozen {
		up.isFrozen = true
		sc.note("%s is frozen", up.id)
	}
}

func (sc *schedule) unfreeze() {
	for _, up := range sc.ups {
		if sc.answers(up) {
			up.isFrozen = false
		}
	}
}

// endFaults ends all faults, and the leader begins to leave. Sometimes it has crashed for
// good, and the platform lists it no more: then nothing is to be waited for that has ended.
func (sc *schedule) endFaults() {
	sc.note("all faults are over")
	for _, up := range sc.ups {
		sc.restart(up)
		up.isCut, up.isUnreachable = false, false
		sc.list(up, !up.hasEnded)
	}
	sc.leader.isLeaving = true
	if le := sc.leader; sc.rng.IntN(2) == 0 && sc.isHeldWithout(le) {
		sc.note("%s has crashed for good", le.id)
		le.isDown, le.hasEnded, le.isListed, le.leads, le.log = true, true, false, false, nil
		for _, up := range sc.ups {
			if _, ok := sc.bounds[up]; up.hasEnded && !ok {
				sc.bounds[up] = posn.Position{}
			}
		}
		sc.forgottenBound = &posn.Position{}
	}
	sc.join()
}

// settle replicates and acknowledges everything.
func (sc *schedule) settle() {
	if sc.leader.leads {
		sc.unfreeze()
	}
	for _, up := range sc.ups {
		sc.replicate(up)
	}
	sc.acknowledge()
}

func (sc *schedule) run() string {
	for range randomSteps / 6 {
		sc.happen(6)
		sc.changeLeader()
	}
	sc.endFaults()
	old := sc.leader
	// From here on nothing happens but what the coordinator does.
	for range maxFinalChanges {
		sc.settle()
		sc.finalChange()
		if le := sc.leader; sc.lost != "" || (le != old && le.leads && !le.isLeaving) {
			return sc.lost
		}
	}
	return fmt.Sprintf("%s is not replaced after all faults are over", old.id)
}

// finalChange replaces the leader without faults.
func (sc *schedule) finalChange() {
	sc.observe()
	if sc.answers(sc.leader) && sc.leader.leads {
		sc.leader.leads, sc.stoppedTerm = false, sc.term
	}
	isStopped := sc.answers(sc.leader) && sc.stoppedTerm == sc.term
	if !isStopped {
		for _, up := range sc.ups {
			sc.freeze(up)
		}
	}
	ch := Change{Term: sc.term, IsStopped: isStopped, Leader: sc.reportLeader()}
	for _, up := range sc.ups {
		if up != sc.leader && sc.isKnown(up) {
			ch.Replicas = append(ch.Replicas, sc.report(up))
		}
	}
	ch.Forgotten = sc.left()
	ch.Known = sc.known.OfGroup("g")
	candidates, obstacle := ch.Candidates()
	if obstacle != NoObstacle {
		sc.note("obstacle: %s", obstacle)
		return
	}
	for _, up := range sc.ups {
		if up.id == candidates[0].ID {
			sc.call(up)
			return
		}
	}
}

func TestRandomReleases(t *testing.T) {
	first, count := uint64(1), uint64(randomSchedules)
	if text := os.Getenv("ELECT_SEED"); text != "" {
		var err error
		first, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		runs, _ := strconv.ParseUint(os.Getenv("ELECT_RUNS"), 10, 64)
		count = max(runs, 1)
	}
	appointed, acked, belowKnown, starts := 0, 0, 0, 0
	for seed := first; seed < first+count; seed++ {
		sc := newSchedule(seed)
		failure := sc.run()
		require.Empty(t, failure, "seed %d:\n%s", seed, strings.Join(sc.trace, "\n"))
		appointed += sc.appointed
		belowKnown += sc.belowKnown
		starts += sc.starts
		for _, wr := range sc.writes {
			if wr.isAcked {
				acked++
			}
		}
	}
	t.Logf("%d schedules, %d appointments, %d acknowledged writes, %d changes below a known position, %d starts of a coordinator",
		count, appointed, acked, belowKnown, starts)
	require.Greater(t, appointed, int(count))
	require.Greater(t, starts, int(count)/2)
	require.Greater(t, acked, int(count))
}
