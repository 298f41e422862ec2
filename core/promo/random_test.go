package promo

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanspring/core/confm"
	"banyanspring/core/posn"
)

// logEntry is one write in a member's log.
type logEntry struct {
	term  posn.Term
	value int
}

// member is a simulated upstream.
type member struct {
	name  string
	term  posn.Term
	log   []logEntry
	leads bool
	// follow is the index of the member from which this one replicates, unless it leads.
	follow int
	// primarySeen is when the member last received from its primary.
	primarySeen time.Time
	// tracker is the confirmation state in the member's home while it is primary.
	tracker   *confm.Tracker
	inService bool
	paused    bool
}

// position returns the length of the log together with the member's current term.
func (me *member) position() posn.Position {
	return posn.Position{Term: me.term, Offset: uint64(len(me.log))}
}

// entry returns the position of the newest log entry, with the term in which it was
// written; zero if the log is empty.
func (me *member) entry() posn.Position {
	if len(me.log) == 0 {
		return posn.Position{}
	}
	return posn.Position{Term: me.log[len(me.log)-1].term, Offset: uint64(len(me.log))}
}

func (me *member) value() int {
	if len(me.log) == 0 {
		return 0
	}
	return me.log[len(me.log)-1].value
}

// delayedAction is a message delivery or retry that is due at a time.
type delayedAction struct {
	at time.Time
	do func()
}

// simulation runs three upstreams, each with a guard at the same site, and their
// callers under a virtual clock. It can partition any two sites, pause any member
// and delay any message.
type simulation struct {
	rt      *rapid.T
	now     time.Time
	members [3]*member
	guards  [3]*Guard
	cut     [3][3]bool
	pending []delayedAction
	history []porcupine.Operation
	// acked are the writes that were acknowledged.
	acked  []logEntry
	writes int
}

func newSimulation(rt *rapid.T) *simulation {
	sim := &simulation{rt: rt, now: start}
	names := []string{"a", "b", "c"}
	for pos, name := range names {
		sim.members[pos] = &member{name: name, term: term(1, "a"), primarySeen: start, tracker: confm.New(3)}
		// The guard at the primary a has rank 2, so that it orders a promotion last;
		// those at b and c have the ranks 0 and 1.
		sim.guards[pos] = New(names, (pos+2)%3, timing, start)
	}
	sim.members[0].leads = true
	return sim
}

func (sim *simulation) canReach(from, to int) bool {
	return !sim.cut[from][to] && !sim.members[to].paused
}

func (sim *simulation) schedule(longest int, what string, do func()) {
	delay := time.Duration(rapid.IntRange(0, longest).Draw(sim.rt, what)) * time.Millisecond
	sim.pending = append(sim.pending, delayedAction{at: sim.now.Add(delay), do: do})
}

// tick advances the clock by 50 ms and runs the actions that are due.
func (sim *simulation) tick() {
	sim.now = sim.now.Add(50 * time.Millisecond)
	due := sim.pending
	sim.pending = nil
	for _, da := range due {
		if sim.now.Before(da.at) {
			sim.pending = append(sim.pending, da)
			continue
		}
		da.do()
	}
	for pos := range sim.members {
		sim.replicate(pos)
		sim.confirm(pos)
	}
}

// replicate lets a replica join its primary's term and receive log entries.
func (sim *simulation) replicate(pos int) {
	me, from := sim.members[pos], sim.members[sim.members[pos].follow]
	if me.leads || me.paused || !from.leads || !sim.canReach(pos, me.follow) || from.term.Compare(me.term) < 0 {
		return
	}
	if len(me.log) > len(from.log) || !slices.Equal(me.log, from.log[:len(me.log)]) {
		return
	}
	me.term = from.term
	me.primarySeen = sim.now
	count := rapid.IntRange(0, 2).Draw(sim.rt, "entries")
	for range min(count, len(from.log)-len(me.log)) {
		me.log = append(me.log, from.log[len(me.log)])
	}
}

// confirm reports the positions of the reachable members to a primary's home.
func (sim *simulation) confirm(pos int) {
	me := sim.members[pos]
	if !me.leads || me.paused {
		return
	}
	me.tracker.Report(me.name, me.position())
	for other := range sim.members {
		if other != pos && sim.canReach(pos, other) {
			me.tracker.Report(sim.members[other].name, sim.members[other].position())
		}
	}
	inService := posn.Position{Term: me.term}
	if !me.inService && me.tracker.Register(math.MaxUint64, inService) == confm.Confirmed {
		me.inService = true
		sim.checkService(me)
	}
	me.tracker.Forget(math.MaxUint64)
}

// checkService asserts that a primary that comes into service has every write
// that was acknowledged in lower terms.
func (sim *simulation) checkService(me *member) {
	for _, en := range sim.acked {
		if en.term.Compare(me.term) < 0 {
			require.Contains(sim.rt, me.log, en, "term %v lost a write", me.term)
		}
	}
}

// runGuard runs one round of the guard at a member's site.
func (sim *simulation) runGuard(pos int) {
	gu := sim.guards[pos]
	for other, me := range sim.members {
		if other != pos && !sim.canReach(pos, other) || me.paused {
			continue
		}
		re := Report{Term: me.term, Entry: me.entry(), Primary: me.leads, Received: me.primarySeen}
		asked := sim.now
		sim.schedule(400, "probe", func() { gu.Observe(me.name, re, asked) })
	}
	or := gu.Decide(sim.now)
	if or.Promote != "" {
		// The process may be paused for seconds between decision and order.
		sim.schedule(4000, "order", func() { sim.promote(pos, or) })
	}
	for _, name := range or.Follow {
		sim.schedule(1000, "follow", func() { sim.follow(pos, name, or) })
	}
}

func (sim *simulation) index(name string) int {
	return slices.IndexFunc(sim.members[:], func(me *member) bool { return me.name == name })
}

func (sim *simulation) promote(from int, or Order) {
	pos := sim.index(or.Promote)
	me := sim.members[pos]
	if pos != from && !sim.canReach(from, pos) || me.paused || me.term != or.Expected {
		return
	}
	require.Positive(sim.rt, or.Claim.Compare(me.term), "promotion to a lower term")
	me.term, me.leads, me.inService = or.Claim, true, false
	me.tracker = confm.New(3)
}

func (sim *simulation) follow(from int, name string, or Order) {
	pos := sim.index(name)
	me := sim.members[pos]
	if pos != from && !sim.canReach(from, pos) || me.paused || or.PrimaryTerm.Compare(me.term) <= 0 {
		return
	}
	me.leads, me.inService = false, false
	me.follow = sim.index(or.Primary)
}

// write appends an entry at a member that acts as primary in service, which may be
// an old primary. The write is acknowledged once the tracker of the member's home
// confirms it.
func (sim *simulation) write(pos int) {
	me := sim.members[pos]
	if !me.leads || me.paused || !me.inService {
		return
	}
	sim.writes++
	en := logEntry{term: me.term, value: sim.writes}
	op := len(sim.history)
	sim.history = append(sim.history, porcupine.Operation{
		ClientId: op, Input: registerInput{write: true, value: en.value}, Call: sim.now.UnixNano(), Return: math.MaxInt64,
	})
	me.log = append(me.log, en)
	at := me.position()
	tracker := me.tracker
	tracker.Report(me.name, at)
	sim.awaitAck(tracker, at, en, op, 40)
}

// awaitAck acknowledges the write once the tracker confirms it, and otherwise tries
// again until tries is used up or the write is superseded.
func (sim *simulation) awaitAck(tracker *confm.Tracker, at posn.Position, en logEntry, op, tries int) {
	id := uint64(op)
	out := tracker.Register(id, at)
	tracker.Forget(id)
	if out == confm.Confirmed {
		sim.acked = append(sim.acked, en)
		sim.history[op].Return = sim.now.UnixNano()
		for _, me := range sim.members {
			if me.leads && me.inService && me.term.Compare(en.term) > 0 {
				require.Contains(sim.rt, me.log, en, "an old primary acknowledged a write")
			}
		}
		return
	}
	if out == confm.Waiting && tries > 0 {
		sim.schedule(200, "ack", func() { sim.awaitAck(tracker, at, en, op, tries-1) })
	}
}

// read uses the position of a member that acts as primary as the minimum position of
// a read. It first checks that a majority is in the primary's term, that is, the
// primary and one reachable member; otherwise nothing is read. Then it reads at a
// replica that has reached the position.
func (sim *simulation) read(pos, replica int) {
	me := sim.members[pos]
	if pos == replica || !me.leads || !me.inService || me.paused {
		return
	}
	minPosition := me.position()
	call := sim.now.UnixNano()
	for other := range sim.members {
		if other != pos && sim.canReach(pos, other) && sim.members[other].term == minPosition.Term {
			sim.schedule(500, "read", func() { sim.readAt(replica, minPosition, call, 20) })
			return
		}
	}
}

// readAt reads at the replica once it has reached the minimum position, and
// otherwise tries again until tries is used up.
func (sim *simulation) readAt(replica int, minPosition posn.Position, call int64, tries int) {
	me := sim.members[replica]
	if !me.paused && !me.leads && me.position().Covers(minPosition, false) {
		sim.history = append(sim.history, porcupine.Operation{
			ClientId: len(sim.history), Input: registerInput{}, Output: me.value(), Call: call, Return: sim.now.UnixNano(),
		})
		return
	}
	if tries > 0 {
		sim.schedule(100, "wait", func() { sim.readAt(replica, minPosition, call, tries-1) })
	}
}

type registerInput struct {
	write bool
	value int
}

var register = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output == state, state
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, " -> ", output) },
}

// step draws one event: a request, the start or end of one fault, the repair of all
// faults, or nothing.
func (sim *simulation) step() {
	pos := rapid.IntRange(0, 2).Draw(sim.rt, "member")
	other := rapid.IntRange(0, 2).Draw(sim.rt, "other")
	switch rapid.IntRange(0, 11).Draw(sim.rt, "step") {
	case 0, 1, 2:
		sim.write(pos)
	case 3, 4, 5:
		sim.read(pos, other)
	case 6:
		isCut := rapid.Bool().Draw(sim.rt, "cut")
		if pos != other {
			sim.cut[pos][other], sim.cut[other][pos] = isCut, isCut
		}
	case 7:
		sim.members[pos].paused = rapid.Bool().Draw(sim.rt, "asleep")
	case 8:
		sim.heal()
	}
}

func (sim *simulation) heal() {
	sim.cut = [3][3]bool{}
	for _, me := range sim.members {
		me.paused = false
	}
}

// TestRandomFaultsKeepLinearizability injects partitions, pauses and delays at random
// moments and checks that acknowledged writes survive and reads are linearizable.
// More runs: make soak SEED=n FOR=10m.
func TestRandomFaultsKeepLinearizability(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		rounds := rapid.IntRange(50, 400).Draw(rt, "rounds")
		for round := range rounds {
			sim.tick()
			sim.step()
			if round%4 == 0 {
				for pos := range sim.guards {
					if !sim.members[pos].paused {
						sim.runGuard(pos)
					}
				}
			}
		}
		outcome := porcupine.CheckOperationsTimeout(register, sim.history, 5*time.Second)
		require.NotEqual(rt, porcupine.Illegal, outcome, "reads and writes are not linearizable")
	})
}

// TestGroupsRecover repairs all faults after a random run and expects a primary in
// service within 18 s, the limit that the users set.
func TestGroupsRecover(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		for round := range rapid.IntRange(20, 200).Draw(rt, "rounds") {
			sim.tick()
			sim.step()
			if round%4 == 0 {
				for pos := range sim.guards {
					sim.runGuard(pos)
				}
			}
		}
		sim.heal()
		for round := range 18 * 20 {
			sim.tick()
			if round%4 == 0 {
				for pos := range sim.guards {
					sim.runGuard(pos)
				}
			}
		}
		top := posn.Term{}
		served := false
		for _, me := range sim.members {
			if me.leads && me.term.Compare(top) > 0 {
				top, served = me.term, me.inService
			}
		}
		require.True(rt, served, "no primary is in service, top term %v", top)
	})
}
