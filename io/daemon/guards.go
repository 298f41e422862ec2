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
		Start: func(_ context.Context, ho *Daemon) error {
			ho.guards = newGuards(ho)
			go ho.guards.loop()
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
	// claimTimeout limits the write of a claimed term to the store; a promotion
	// goes on without the store after that.
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
	// leaderTaskInterval is the minimum time between two leader tasks: writing
	// to the store a term that was claimed without it, and handing over a
	// primary that is leaving.
	leaderTaskInterval = 5 * time.Second
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

// guards monitors the groups that have a member homed here and starts
// failovers.
type guards struct {
	ho     *Daemon
	mu     sync.Mutex
	groups map[string]*groupGuard
}

// groupGuard monitors one group.
type groupGuard struct {
	ho   *Daemon
	name string

	mu    sync.Mutex
	guard *promo.Guard
	rank  int
	// probing counts the probes in flight by member.
	probing map[string]int
	// roundTrip is the moving average of a probe's round trip.
	roundTrip time.Duration
	state     promo.State
	rounds    int
	// busy is true while a promotion, a round of follow orders or a handover
	// runs.
	busy bool
	// nextLeaderTask is the earliest time of the next leader task.
	nextLeaderTask time.Time
}

func newGuards(ho *Daemon) *guards { return &guards{ho: ho, groups: make(map[string]*groupGuard)} }

func (gs *guards) loop() {
	for delay.Pause(gs.ho.background, gs.ho.probeInterval()) {
		for _, gr := range gs.ho.groups.List() {
			gs.check(gr)
		}
	}
}

// probeInterval returns the time between two rounds of probes.
func (ho *Daemon) probeInterval() time.Duration {
	if ho.deps.ProbeInterval > 0 {
		return ho.deps.ProbeInterval
	}
	return probeInterval
}

// check runs one round for a group if this daemon is one of its guards, and
// drops the group's guard otherwise.
func (gs *guards) check(gr store.Group) {
	rank, ok := gs.ho.guardRank(gr)
	gs.mu.Lock()
	gd := gs.groups[gr.Name]
	if !ok {
		delete(gs.groups, gr.Name)
		gs.mu.Unlock()
		return
	}
	if gd == nil {
		gd = newGroupGuard(gs.ho, gr, rank)
		gs.groups[gr.Name] = gd
	}
	gs.mu.Unlock()
	gd.check(gr, rank)
}

// guardRank returns the rank of this daemon among the guards of a group, from
// 0, and false if it is none. The homes of replicas come first, in the order of
// the members, and the home of the primary last.
func (ho *Daemon) guardRank(gr store.Group) (int, bool) {
	rank := 0
	homesPrimary := false
	for _, mem := range gr.Members {
		isHome := ho.isSelf(ho.homeOf(mem))
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

func newGroupGuard(ho *Daemon, gr store.Group, rank int) *groupGuard {
	gd := &groupGuard{ho: ho, name: gr.Name, rank: rank, probing: make(map[string]int), state: promo.Healthy}
	gd.guard = promo.New(memberNames(gr), rank, ho.timing(), ho.deps.Now())
	return gd
}

// timing returns the timing of a guard; a baseline may replace it.
func (ho *Daemon) timing() promo.Timing {
	if ho.deps.GuardTiming != nil {
		return *ho.deps.GuardTiming
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
	now := gd.ho.deps.Now()
	gd.guard.SetTiming(gd.ho.timing().WithRoundTrip(gd.roundTrip), rank)
	if gd.busy {
		return
	}
	or := gd.guard.Decide(now)
	gd.updateState()
	gd.execute(gr, or, now)
}

// shouldProbe reports whether this round probes. While the primary is healthy,
// guards of a lower rank probe less often; that is still soon enough to take
// over if the first guard fails.
func (gd *groupGuard) shouldProbe(rank int) bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.rounds++
	isAlive := gd.guard.IsLeaderAlive(gd.ho.deps.Now(), primaryAliveWithin)
	return rank == 0 || !isAlive || gd.rounds%standbyRounds == 0
}

func (gd *groupGuard) updateState() {
	state := gd.guard.State()
	if state == promo.Suspected && gd.state == promo.Healthy {
		event.Log(gd.ho.Log, event.PrimarySuspected, "group", gd.name)
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
	ctx, cancel := context.WithTimeout(gd.ho.background, probeTimeout)
	defer cancel()
	sentAt := gd.ho.deps.Now()
	re, err := gd.ho.probe(ctx, gr, mem)
	took := gd.ho.deps.Now().Sub(sentAt)
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.probing[mem.Name]--
	if err != nil {
		return
	}
	gd.roundTrip += time.Duration(roundTripWeight * float64(took-gd.roundTrip))
	gd.guard.Observe(mem.Name, re, sentAt)
	gd.ho.learnTerm(gr.Name, re.Term)
}

// probe returns the report of a member from its home.
func (ho *Daemon) probe(ctx context.Context, gr store.Group, mem store.Member) (promo.Report, error) {
	at := ho.homeOf(mem)
	if ho.isSelf(at) {
		re, _, err := ho.homes.Probe(ctx, gr.Name, mem.Name)
		return re, err
	}
	re, err := ho.client.Probe(ctx, at, gr.Name, mem.Name)
	if codes.Is(err, codes.PeerUnreached) && ctx.Err() == nil {
		ho.members.Suspect(at.ID, ho.deps.Now())
	}
	return re, err
}

// learnTerm records a term that a member or a peer reported.
func (ho *Daemon) learnTerm(group string, te posn.Term) {
	if ho.groups.learnTerm(group, te) {
		event.Log(ho.Log, event.TermLearned, "group", group, "term", te.Number, "primary", te.Primary)
	}
}

// refreshGroup asks the members of a group for their terms, after a request
// found no primary. It doesn't wait for the answers.
func (ho *Daemon) refreshGroup(gr store.Group) {
	for _, mem := range gr.Members {
		go func() {
			ctx, cancel := context.WithTimeout(ho.background, probeTimeout)
			defer cancel()
			if re, err := ho.probe(ctx, gr, mem); err == nil {
				ho.learnTerm(gr.Name, re.Term)
			}
		}()
	}
}

// execute carries out the guard's decision in the background; mu is held.
func (gd *groupGuard) execute(gr store.Group, or promo.Order, now time.Time) {
	switch {
	case or.Promote != "":
		gd.busy = true
		event.Log(gd.ho.Log, event.PromotionBegun, "group", gd.name, "candidate", or.Promote, "term", or.Claim.Number)
		go gd.promoteCandidate(gr, or)
	case len(or.Follow) > 0:
		gd.busy = true
		go gd.orderFollowers(gr, or)
	case or.Leader != "" && gd.rank == 0 && gd.isStoreBehind(gr, or) && now.After(gd.nextLeaderTask):
		gd.nextLeaderTask = now.Add(leaderTaskInterval)
		go gd.writeTerm(gr, or.LeaderTerm)
	}
	if or.Leader != "" && gd.rank == 0 {
		gd.handOverLeavingPrimary(gr, or, now)
	}
}

// isStoreBehind reports whether the store holds a lower term than the leader's.
func (gd *groupGuard) isStoreBehind(gr store.Group, or promo.Order) bool {
	kn, ok := gd.ho.groups.lookup(gr.Name)
	return ok && or.LeaderTerm.Compare(kn.storedTerm) > 0
}

func (gd *groupGuard) clearBusy() {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.busy = false
}

// promoteCandidate claims the term and orders the candidate to lead it.
func (gd *groupGuard) promoteCandidate(gr store.Group, or promo.Order) {
	defer gd.clearBusy()
	err := gd.ho.changePrimary(gd.ho.background, gr, or.Promote, or.Expected, or.Claim)
	if err == nil {
		return
	}
	event.Log(gd.ho.Log, event.PromotionFailed, "group", gd.name, "candidate", or.Promote, "error", err)
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.guard.PromotionFailed(gd.ho.deps.Now())
}

func (gd *groupGuard) orderFollowers(gr store.Group, or promo.Order) {
	defer gd.clearBusy()
	var wg sync.WaitGroup
	for _, name := range or.Follow {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = gd.ho.orderFollow(gd.ho.background, gr, name, or.LeaderTerm)
		}()
	}
	wg.Wait()
}

// writeTerm writes to the store a term that was claimed without it.
func (gd *groupGuard) writeTerm(gr store.Group, te posn.Term) {
	ctx, cancel := context.WithTimeout(gd.ho.background, claimTimeout)
	defer cancel()
	_ = gd.ho.claimTerm(ctx, gr, te)
}

// handOverLeavingPrimary starts a handover from a primary that is leaving to
// the member with the most advanced log in the same term that is not leaving;
// mu is held.
func (gd *groupGuard) handOverLeavingPrimary(gr store.Group, or promo.Order, now time.Time) {
	leader, ok := gr.GetMemberByName(or.Leader)
	if !ok || !leader.Leaving || gd.busy || now.Before(gd.nextLeaderTask) {
		return
	}
	target := ""
	var best posn.Position
	for _, mem := range gd.guard.Members() {
		got, _ := gr.GetMemberByName(mem.Name)
		if !got.Leaving && mem.Report.Term == or.LeaderTerm && mem.Report.Entry.Compare(best) >= 0 {
			target, best = mem.Name, mem.Report.Entry
		}
	}
	if target == "" {
		return
	}
	gd.busy = true
	gd.nextLeaderTask = now.Add(leaderTaskInterval)
	go func() {
		defer gd.clearBusy()
		_ = gd.ho.Handover(gd.ho.background, gr.Name, target)
	}()
}
