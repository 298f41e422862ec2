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

// entryOf is one write in a member's log.
type entryOf struct {
	term  posn.Term
	value int
}

// member is an upstream of the randomised run.
type member struct {
	name   string
	term   posn.Term
	log    []entryOf
	leads  bool
	follow int
	// heard is when the member last heard of its primary.
	heard time.Time
	// tracker is the memory of the member's home while it leads.
	tracker *confm.Tracker
	served  bool
	asleep  bool
}

func (me *member) position() posn.Position {
	return posn.Position{Term: me.term, Offset: uint64(len(me.log))}
}

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

// late is something that happens after a delay.
type late struct {
	at time.Time
	do func()
}

// world is three upstreams, a guard beside each, and callers, under a virtual
// clock. Any pair of places may be cut, any member asleep, any message late.
type world struct {
	rt      *rapid.T
	now     time.Time
	members [3]*member
	guards  [3]*Guard
	cut     [3][3]bool
	late    []late
	history []porcupine.Operation
	// acked are the writes that were acknowledged.
	acked  []entryOf
	writes int
}

func newWorld(rt *rapid.T) *world {
	wo := &world{rt: rt, now: began}
	names := []string{"a", "b", "c"}
	for pos, name := range names {
		wo.members[pos] = &member{name: name, term: term(1, "a"), heard: began, tracker: confm.New(3)}
		wo.guards[pos] = New(names, (pos+2)%3, timing, began)
	}
	wo.members[0].leads = true
	return wo
}

func (wo *world) reaches(from, to int) bool {
	return !wo.cut[from][to] && !wo.members[to].asleep
}

func (wo *world) after(longest int, what string, do func()) {
	delay := time.Duration(rapid.IntRange(0, longest).Draw(wo.rt, what)) * time.Millisecond
	wo.late = append(wo.late, late{at: wo.now.Add(delay), do: do})
}

// tick advances the clock and runs what is due.
func (wo *world) tick() {
	wo.now = wo.now.Add(50 * time.Millisecond)
	due := wo.late
	wo.late = nil
	for _, la := range due {
		if wo.now.Before(la.at) {
			wo.late = append(wo.late, la)
			continue
		}
		la.do()
	}
	for pos := range wo.members {
		wo.replicate(pos)
		wo.confirm(pos)
	}
}

// replicate lets a follower join its primary's term and take entries.
func (wo *world) replicate(pos int) {
	me, from := wo.members[pos], wo.members[wo.members[pos].follow]
	if me.leads || me.asleep || !from.leads || !wo.reaches(pos, me.follow) || from.term.Compare(me.term) < 0 {
		return
	}
	if len(me.log) > len(from.log) || !slices.Equal(me.log, from.log[:len(me.log)]) {
		return
	}
	me.term = from.term
	me.heard = wo.now
	count := rapid.IntRange(0, 2).Draw(wo.rt, "entries")
	for range min(count, len(from.log)-len(me.log)) {
		me.log = append(me.log, from.log[len(me.log)])
	}
}

// confirm reports the members in reach to the home of a primary.
func (wo *world) confirm(pos int) {
	me := wo.members[pos]
	if !me.leads || me.asleep {
		return
	}
	me.tracker.Report(me.name, me.position())
	for other := range wo.members {
		if other != pos && wo.reaches(pos, other) {
			me.tracker.Report(wo.members[other].name, wo.members[other].position())
		}
	}
	inService := posn.Position{Term: me.term}
	if !me.served && me.tracker.Await(math.MaxUint64, inService) == confm.Confirmed {
		me.served = true
		wo.checkService(me)
	}
	me.tracker.Forget(math.MaxUint64)
}

// checkService asserts that a term comes into service with all that was
// acknowledged in lower terms.
func (wo *world) checkService(me *member) {
	for _, en := range wo.acked {
		if en.term.Compare(me.term) < 0 {
			require.Contains(wo.rt, me.log, en, "term %v lost a write", me.term)
		}
	}
}

// guard runs one round of the guard beside a member.
func (wo *world) guard(pos int) {
	gu := wo.guards[pos]
	for other, me := range wo.members {
		if other != pos && !wo.reaches(pos, other) || me.asleep {
			continue
		}
		re := Report{Term: me.term, Entry: me.entry(), Primary: me.leads, Received: me.heard}
		asked := wo.now
		wo.after(400, "probe", func() { gu.Observe(me.name, re, asked) })
	}
	or := gu.Decide(wo.now)
	if or.Promote != "" {
		// The promoter may pause for long between its decision and the order.
		wo.after(4000, "order", func() { wo.promote(pos, or) })
	}
	for _, name := range or.Follow {
		wo.after(1000, "follow", func() { wo.follow(pos, name, or) })
	}
}

func (wo *world) index(name string) int {
	return slices.IndexFunc(wo.members[:], func(me *member) bool { return me.name == name })
}

func (wo *world) promote(from int, or Order) {
	pos := wo.index(or.Promote)
	me := wo.members[pos]
	if pos != from && !wo.reaches(from, pos) || me.asleep || me.term != or.Expected {
		return
	}
	require.Positive(wo.rt, or.Claim.Compare(me.term), "a term fell")
	me.term, me.leads, me.served = or.Claim, true, false
	me.tracker = confm.New(3)
}

func (wo *world) follow(from int, name string, or Order) {
	pos := wo.index(name)
	me := wo.members[pos]
	if pos != from && !wo.reaches(from, pos) || me.asleep || or.LeaderTerm.Compare(me.term) <= 0 {
		return
	}
	me.leads, me.served = false, false
	me.follow = wo.index(or.Leader)
}

// write runs at any member that leads in service, old primaries included, and
// is acknowledged if its home's tracker ever says so.
func (wo *world) write(pos int) {
	me := wo.members[pos]
	if !me.leads || me.asleep || !me.served {
		return
	}
	wo.writes++
	en := entryOf{term: me.term, value: wo.writes}
	op := len(wo.history)
	wo.history = append(wo.history, porcupine.Operation{
		ClientId: op, Input: registerInput{write: true, value: en.value}, Call: wo.now.UnixNano(), Return: math.MaxInt64,
	})
	me.log = append(me.log, en)
	at := me.position()
	tracker := me.tracker
	tracker.Report(me.name, at)
	wo.awaitAck(tracker, at, en, op, 40)
}

func (wo *world) awaitAck(tracker *confm.Tracker, at posn.Position, en entryOf, op, tries int) {
	id := uint64(op)
	out := tracker.Await(id, at)
	tracker.Forget(id)
	if out == confm.Confirmed {
		wo.acked = append(wo.acked, en)
		wo.history[op].Return = wo.now.UnixNano()
		for _, me := range wo.members {
			if me.leads && me.served && me.term.Compare(en.term) > 0 {
				require.Contains(wo.rt, me.log, en, "an old primary acknowledged a write")
			}
		}
		return
	}
	if out == confm.Waiting && tries > 0 {
		wo.after(200, "ack", func() { wo.awaitAck(tracker, at, en, op, tries-1) })
	}
}

// read asks any member that leads for a floor, has a majority confirm its term
// after that, and reads at a replica that covers the floor.
func (wo *world) read(pos, replica int) {
	me := wo.members[pos]
	if pos == replica || !me.leads || !me.served || me.asleep {
		return
	}
	floor := me.position()
	call := wo.now.UnixNano()
	for other := range wo.members {
		if other != pos && wo.reaches(pos, other) && wo.members[other].term == floor.Term {
			wo.after(500, "read", func() { wo.readAt(replica, floor, call, 20) })
			return
		}
	}
}

func (wo *world) readAt(replica int, floor posn.Position, call int64, tries int) {
	me := wo.members[replica]
	if !me.asleep && !me.leads && me.position().Covers(floor, false) {
		wo.history = append(wo.history, porcupine.Operation{
			ClientId: len(wo.history), Input: registerInput{}, Output: me.value(), Call: call, Return: wo.now.UnixNano(),
		})
		return
	}
	if tries > 0 {
		wo.after(100, "wait", func() { wo.readAt(replica, floor, call, tries-1) })
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

// step draws one thing that happens: a request, or a fault.
func (wo *world) step() {
	pos := rapid.IntRange(0, 2).Draw(wo.rt, "member")
	other := rapid.IntRange(0, 2).Draw(wo.rt, "other")
	switch rapid.IntRange(0, 11).Draw(wo.rt, "step") {
	case 0, 1, 2:
		wo.write(pos)
	case 3, 4, 5:
		wo.read(pos, other)
	case 6:
		isCut := rapid.Bool().Draw(wo.rt, "cut")
		if pos != other {
			wo.cut[pos][other], wo.cut[other][pos] = isCut, isCut
		}
	case 7:
		wo.members[pos].asleep = rapid.Bool().Draw(wo.rt, "asleep")
	case 8:
		wo.heal()
	}
}

func (wo *world) heal() {
	wo.cut = [3][3]bool{}
	for _, me := range wo.members {
		me.asleep = false
	}
}

// TestRandomFaultsBreakNoPromise runs the decisions under faults at any moment.
// More runs: make soak SEED=n FOR=10m.
func TestRandomFaultsBreakNoPromise(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wo := newWorld(rt)
		rounds := rapid.IntRange(50, 400).Draw(rt, "rounds")
		for round := range rounds {
			wo.tick()
			wo.step()
			if round%4 == 0 {
				for pos := range wo.guards {
					if !wo.members[pos].asleep {
						wo.guard(pos)
					}
				}
			}
		}
		outcome := porcupine.CheckOperationsTimeout(register, wo.history, 5*time.Second)
		require.NotEqual(rt, porcupine.Illegal, outcome, "reads and writes are not linearizable")
	})
}

// TestGroupsRecover heals all faults after any run and wants a primary in
// service within the users' 18 s.
func TestGroupsRecover(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wo := newWorld(rt)
		for round := range rapid.IntRange(20, 200).Draw(rt, "rounds") {
			wo.tick()
			wo.step()
			if round%4 == 0 {
				for pos := range wo.guards {
					wo.guard(pos)
				}
			}
		}
		wo.heal()
		for round := range 18 * 20 {
			wo.tick()
			if round%4 == 0 {
				for pos := range wo.guards {
					wo.guard(pos)
				}
			}
		}
		top := posn.Term{}
		served := false
		for _, me := range wo.members {
			if me.leads && me.term.Compare(top) > 0 {
				top, served = me.term, me.served
			}
		}
		require.True(rt, served, "no primary is in service, top term %v", top)
	})
}
