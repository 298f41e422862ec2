package daemon

import (
	"context"
	"sync"
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/posn"
	"banyanspring/core/promo"
	"banyanspring/io/delay"
	"banyanspring/io/store"
)

func init() {
	registry.Register(plugin{
		Name:  "guards",
		Stage: stageAnnounce,
		Start: func(_ context.Context, da *Daemon) error {
			da.guards = newGuards(da)
			go da.guards.loop()
			return nil
		},
	})
}

const (
	// probeInterval is the time between two rounds of probes of a group.
	probeInterval = 200 * time.Millisecond
	// probeTimeout limits one probe.
	probeTimeout = 1500 * time.Millisecond
	// maxProbesPerMember limits the probes in flight to one member.
	maxProbesPerMember = 8
	// claimTimeout limits the write of a claimed term to the store. A promotion
	// then goes on without the store: the candidate refuses it unless its term is
	// still the expected one, so safety doesn't need the write.
	claimTimeout = 500 * time.Millisecond
	// roundTripWeight is the weight of a new sample in the moving average of the
	// probes' round trip.
	roundTripWeight = 0.125
	// standbyRounds is the number of rounds from one probe to the next for a
	// guard of a rank above 0 while the primary is healthy.
	standbyRounds = 3
	// primaryAliveWithin is how recently the primary must have been heard from
	// for the guards of a rank above 0 to skip rounds.
	primaryAliveWithin = 900 * time.Millisecond
	// firstGuardTaskInterval is the minimum time between two tasks that only the
	// guard of rank 0 does: writing to the store a term that was claimed while
	// the store did not answer, and handing over a primary that is leaving.
	firstGuardTaskInterval = 5 * time.Second
)

// defaultTiming suits a group whose members are close to each other; a multiple
// of the probes' round trip is added to it.
var defaultTiming = promo.Timing{
	SuspectAfter:    800 * time.Millisecond,
	Stagger:         400 * time.Millisecond,
	MaxReportAge:    600 * time.Millisecond,
	MajorityTimeout: 2 * time.Second,
	RetryInterval:   200 * time.Millisecond,
}

// guards monitors the groups that have a member homed here, detects failed
// primaries and starts failovers. A daemon that monitors a group is one of the
// group's guards.
type guards struct {
	da     *Daemon
	mu     sync.Mutex
	groups map[string]*groupGuard
}

// groupGuard monitors one group: it sends the probes and carries out the
// decisions of a promo.Guard, which does no I/O.
type groupGuard struct {
	da   *Daemon
	name string

	mu    sync.Mutex
	guard *promo.Guard
	// rank is the daemon's rank among the guards when it became one; check gets
	// the current rank.
	rank int
	// probing counts the probes in flight by member.
	probing map[string]int
	// roundTrip is the moving average of a probe's round trip.
	roundTrip time.Duration
	state     promo.State
	rounds    int
	// busy is true while a promotion, a round of follow orders or a handover
	// runs.
	busy bool
	// nextFirstGuardTask is the earliest time of the next task that only the guard
	// of rank 0 does.
	nextFirstGuardTask time.Time
}

func newGuards(da *Daemon) *guards { return &guards{da: da, groups: make(map[string]*groupGuard)} }

func (gs *guards) loop() {
	for delay.Pause(gs.da.background, gs.da.probeInterval()) {
		for _, gr := range gs.da.groups.List() {
			gs.check(gr)
		}
	}
}

// probeInterval returns the time between two rounds of probes.
func (da *Daemon) probeInterval() time.Duration {
	if da.deps.ProbeInterval > 0 {
		return da.deps.ProbeInterval
	}
	return probeInterval
}

// check runs one round for a group if this daemon is one of its guards, and
// drops the group's guard otherwise.
func (gs *guards) check(gr store.Group) {
	rank, ok := gs.da.guardRank(gr)
	gs.mu.Lock()
	gd := gs.groups[gr.Name]
	if !ok {
		delete(gs.groups, gr.Name)
		gs.mu.Unlock()
		return
	}
	if gd == nil {
		gd = newGroupGuard(gs.da, gr, rank)
		gs.groups[gr.Name] = gd
	}
	gs.mu.Unlock()
	gd.check(gr, rank)
}

// guardRank returns the rank of this daemon among the guards of a group; rank 0
// acts first. It returns false if this daemon is no guard of the group. The homes
// of replicas come first, in the order of the members, and the home of the
// primary last.
func (da *Daemon) guardRank(gr store.Group) (int, bool) {
	rank := 0
	homesPrimary := false
	for _, mem := range gr.Members {
		isHome := da.isSelf(da.homeOf(mem))
		if mem.Name == gr.Primary {
			homesPrimary = isHome
			continue
		}
		if isHome {
			return rank, true
		}
		rank++
	}
	return rank, homesPrimary
}

func newGroupGuard(da *Daemon, gr store.Group, rank int) *groupGuard {
	gd := &groupGuard{da: da, name: gr.Name, rank: rank, probing: make(map[string]int), state: promo.Healthy}
	gd.guard = promo.New(memberNames(gr), rank, da.timing(), da.deps.Now())
	return gd
}

// timing returns the timing of a guard. The baseline policies of the load tool
// replace it through Dependencies.GuardTiming.
func (da *Daemon) timing() promo.Timing {
	if da.deps.GuardTiming != nil {
		return *da.deps.GuardTiming
	}
	return defaultTiming
}

func memberNames(gr store.Group) []string {
	names := make([]string, len(gr.Members))
	for pos, mem := range gr.Members {
		names[pos] = mem.Name
	}
	return names
}

// check starts probes of all members and acts on the reports received so far,
// without waiting for the new ones.
func (gd *groupGuard) check(gr store.Group, rank int) {
	if gd.shouldProbe(rank) {
		for _, mem := range gr.Members {
			gd.startProbe(gr, mem)
		}
	}
	gd.mu.Lock()
	defer gd.mu.Unlock()
	now := gd.da.deps.Now()
	gd.guard.SetTiming(gd.da.timing().WithRoundTrip(gd.roundTrip), rank)
	if gd.busy {
		return
	}
	or := gd.guard.Decide(now)
	gd.updateState()
	gd.execute(gr, or, now)
}

// shouldProbe reports whether this round probes. While the primary is healthy,
// guards of a rank above 0 probe only every standbyRounds rounds; that is still
// soon enough to take over if the guard of rank 0 fails.
func (gd *groupGuard) shouldProbe(rank int) bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.rounds++
	isAlive := gd.guard.IsPrimaryAlive(gd.da.deps.Now(), primaryAliveWithin)
	return rank == 0 || !isAlive || gd.rounds%standbyRounds == 0
}

func (gd *groupGuard) updateState() {
	state := gd.guard.State()
	if state == promo.Suspected && gd.state == promo.Healthy {
		event.Log(gd.da.Log, event.PrimarySuspected, "group", gd.name)
	}
	gd.state = state
}

// startProbe probes a member in the background, unless too many probes of it
// are in flight.
func (gd *groupGuard) startProbe(gr store.Group, mem store.Member) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if gd.probing[mem.Name] >= maxProbesPerMember {
		return
	}
	gd.probing[mem.Name]++
	go gd.runProbe(gr, mem)
}

func (gd *groupGuard) runProbe(gr store.Group, mem store.Member) {
	ctx, cancel := context.WithTimeout(gd.da.background, probeTimeout)
	defer cancel()
	sentAt := gd.da.deps.Now()
	re, err := gd.da.probe(ctx, gr, mem)
	took := gd.da.deps.Now().Sub(sentAt)
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.probing[mem.Name]--
	if err != nil {
		return
	}
	gd.roundTrip += time.Duration(roundTripWeight * float64(took-gd.roundTrip))
	gd.guard.Observe(mem.Name, re, sentAt)
	gd.da.learnTerm(gr.Name, re.Term)
}

// probe returns the report of a member from its home.
func (da *Daemon) probe(ctx context.Context, gr store.Group, mem store.Member) (promo.Report, error) {
	at := da.homeOf(mem)
	if da.isSelf(at) {
		re, _, err := da.homes.Probe(ctx, gr.Name, mem.Name)
		return re, err
	}
	re, err := da.client.Probe(ctx, at, gr.Name, mem.Name)
	if codes.Is(err, codes.PeerUnreached) && ctx.Err() == nil {
		da.members.Suspect(at.ID, da.deps.Now())
	}
	return re, err
}

// learnTerm records a term that a member or a peer reported.
func (da *Daemon) learnTerm(group string, te posn.Term) {
	if da.groups.learnTerm(group, te) {
		event.Log(da.Log, event.TermLearned, "group", group, "term", te.Number, "primary", te.Primary)
	}
}

// refreshGroup asks the members of a group for their terms, after a request
// found no primary. It doesn't wait for the answers.
func (da *Daemon) refreshGroup(gr store.Group) {
	for _, mem := range gr.Members {
		go func() {
			ctx, cancel := context.WithTimeout(da.background, probeTimeout)
			defer cancel()
			if re, err := da.probe(ctx, gr, mem); err == nil {
				da.learnTerm(gr.Name, re.Term)
			}
		}()
	}
}

// execute carries out the guard's decision in the background; mu is held.
func (gd *groupGuard) execute(gr store.Group, or promo.Order, now time.Time) {
	switch {
	case or.Promote != "":
		gd.busy = true
		event.Log(gd.da.Log, event.PromotionBegun, "group", gd.name, "candidate", or.Promote, "term", or.Claim.Number)
		go gd.promoteCandidate(gr, or)
	case len(or.Follow) > 0:
		gd.busy = true
		go gd.orderFollowers(gr, or)
	case or.Primary != "" && gd.rank == 0 && gd.isStoreBehind(gr, or) && now.After(gd.nextFirstGuardTask):
		gd.nextFirstGuardTask = now.Add(firstGuardTaskInterval)
		go gd.writeTerm(gr, or.PrimaryTerm)
	}
	if or.Primary != "" && gd.rank == 0 {
		gd.handOverLeavingPrimary(gr, or, now)
	}
}

// isStoreBehind reports whether the store holds a lower term than the primary's.
func (gd *groupGuard) isStoreBehind(gr store.Group, or promo.Order) bool {
	kn, ok := gd.da.groups.lookup(gr.Name)
	return ok && or.PrimaryTerm.Compare(kn.storedTerm) > 0
}

func (gd *groupGuard) clearBusy() {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.busy = false
}

// promoteCandidate claims the term and orders the candidate to lead it.
func (gd *groupGuard) promoteCandidate(gr store.Group, or promo.Order) {
	defer gd.clearBusy()
	err := gd.da.changePrimary(gd.da.background, gr, or.Promote, or.Expected, or.Claim)
	if err == nil {
		return
	}
	event.Log(gd.da.Log, event.PromotionFailed, "group", gd.name, "candidate", or.Promote, "error", err)
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.guard.PromotionFailed(gd.da.deps.Now())
}

func (gd *groupGuard) orderFollowers(gr store.Group, or promo.Order) {
	defer gd.clearBusy()
	var wg sync.WaitGroup
	for _, name := range or.Follow {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = gd.da.orderFollow(gd.da.background, gr, name, or.PrimaryTerm)
		}()
	}
	wg.Wait()
}

// writeTerm writes to the store a term that was claimed while the store did not
// answer.
func (gd *groupGuard) writeTerm(gr store.Group, te posn.Term) {
	ctx, cancel := context.WithTimeout(gd.da.background, claimTimeout)
	defer cancel()
	_ = gd.da.claimTerm(ctx, gr, te)
}

// handOverLeavingPrimary starts a handover from a primary that is leaving to
// the member with the most advanced log in the same term that is not leaving;
// mu is held.
func (gd *groupGuard) handOverLeavingPrimary(gr store.Group, or promo.Order, now time.Time) {
	primary, ok := gr.GetMemberByName(or.Primary)
	if !ok || !primary.Leaving || gd.busy || now.Before(gd.nextFirstGuardTask) {
		return
	}
	target := ""
	var best posn.Position
	for _, mem := range gd.guard.Members() {
		got, _ := gr.GetMemberByName(mem.Name)
		if !got.Leaving && mem.Report.Term == or.PrimaryTerm && mem.Report.Entry.Compare(best) >= 0 {
			target, best = mem.Name, mem.Report.Entry
		}
	}
	if target == "" {
		return
	}
	gd.busy = true
	gd.nextFirstGuardTask = now.Add(firstGuardTaskInterval)
	go func() {
		defer gd.clearBusy()
		_ = gd.da.Handover(gd.da.background, gr.Name, target)
	}()
}
