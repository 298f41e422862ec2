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
		Start: func(_ context.Context, ho *Host) error {
			ho.guards = newGuards(ho)
			go ho.guards.loop()
			return nil
		},
	})
}

const (
	// guardEvery is the time between two rounds of probes.
	guardEvery = 200 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 1500 * time.Millisecond
	// maxProbes bounds the probes of one member under way.
	maxProbes = 8
	// claimTimeout bounds the claim in the store; it goes on without.
	claimTimeout = 500 * time.Millisecond
	// smoothing is the weight of a new sample of the round trip.
	smoothing = 0.125
	// quietRounds is how many rounds a guard of a lower rank lets pass between
	// probes while all is well.
	quietRounds = 3
	// quietWithin is how lately the primary must have been heard of for that.
	quietWithin = 900 * time.Millisecond
	// rewriteEvery is the time between two tries to write a term that was
	// claimed without the store.
	rewriteEvery = 5 * time.Second
)

// defaultTiming is that of a group whose members are near.
var defaultTiming = promo.Timing{
	Suspect: 800 * time.Millisecond,
	Stagger: 400 * time.Millisecond,
	Fresh:   600 * time.Millisecond,
	Stuck:   2 * time.Second,
	Retry:   200 * time.Millisecond,
}

// guards watches over the groups that have a member homed here.
type guards struct {
	ho     *Host
	mu     sync.Mutex
	groups map[string]*guarded
}

// guarded is one group under watch.
type guarded struct {
	ho   *Host
	name string

	mu    sync.Mutex
	guard *promo.Guard
	rank  int
	// probing counts the probes under way by member.
	probing map[string]int
	// roundTrip is the smoothed time of a probe.
	roundTrip time.Duration
	state     promo.State
	// rounds counts the rounds so far.
	rounds int
	// busy is true while an order is carried out.
	busy bool
	// rewriteAt is when the store may be told of the term again.
	rewriteAt time.Time
}

func newGuards(ho *Host) *guards { return &guards{ho: ho, groups: make(map[string]*guarded)} }

func (gs *guards) loop() {
	for delay.Pause(gs.ho.background, gs.ho.guardEvery()) {
		for _, gr := range gs.ho.groups.List() {
			gs.visit(gr)
		}
	}
}

// guardEvery is the time between two rounds of probes.
func (ho *Host) guardEvery() time.Duration {
	if ho.seams.GuardEvery > 0 {
		return ho.seams.GuardEvery
	}
	return guardEvery
}

// visit runs one round for a group, if a member of it is homed here.
func (gs *guards) visit(gr store.Group) {
	rank, ok := gs.ho.guardRank(gr)
	gs.mu.Lock()
	gd := gs.groups[gr.Name]
	if !ok {
		delete(gs.groups, gr.Name)
		gs.mu.Unlock()
		return
	}
	if gd == nil {
		gd = newGuarded(gs.ho, gr, rank)
		gs.groups[gr.Name] = gd
	}
	gs.mu.Unlock()
	gd.round(gr, rank)
}

// guardRank returns the place of this daemon among the guards of a group: the
// homes of replicas come first, in the order of the members.
func (ho *Host) guardRank(gr store.Group) (int, bool) {
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

func newGuarded(ho *Host, gr store.Group, rank int) *guarded {
	gd := &guarded{ho: ho, name: gr.Name, rank: rank, probing: make(map[string]int), state: promo.Healthy}
	gd.guard = promo.New(memberNames(gr), rank, ho.timing(), ho.seams.Now())
	return gd
}

// timing returns the times of a guard; a baseline may replace them.
func (ho *Host) timing() promo.Timing {
	if ho.seams.Timing != nil {
		return *ho.seams.Timing
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

// round probes all members and acts on what is known so far.
func (gd *guarded) round(gr store.Group, rank int) {
	if gd.isProbing(rank) {
		for _, mem := range gr.Members {
			gd.probe(gr, mem)
		}
	}
	gd.mu.Lock()
	defer gd.mu.Unlock()
	now := gd.ho.seams.Now()
	gd.guard.SetTiming(gd.ho.timing().WithRoundTrip(gd.roundTrip), rank)
	if gd.busy {
		return
	}
	or := gd.guard.Decide(now)
	gd.noteState()
	gd.act(gr, or, now)
}

// isProbing reports whether this round probes. Guards of a lower rank look on
// from afar while all is well; they come in time if the first one is gone.
func (gd *guarded) isProbing(rank int) bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.rounds++
	isQuiet := gd.guard.IsQuiet(gd.ho.seams.Now(), quietWithin)
	return rank == 0 || !isQuiet || gd.rounds%quietRounds == 0
}

func (gd *guarded) noteState() {
	state := gd.guard.State()
	if state == promo.Suspected && gd.state == promo.Healthy {
		event.Log(gd.ho.Log, event.PrimarySuspected, "group", gd.name)
	}
	gd.state = state
}

// probe asks a member what it says of itself, without waiting.
func (gd *guarded) probe(gr store.Group, mem store.Member) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if gd.probing[mem.Name] >= maxProbes {
		return
	}
	gd.probing[mem.Name]++
	go gd.ask(gr, mem)
}

func (gd *guarded) ask(gr store.Group, mem store.Member) {
	ctx, cancel := context.WithTimeout(gd.ho.background, probeTimeout)
	defer cancel()
	asked := gd.ho.seams.Now()
	re, err := gd.ho.probe(ctx, gr, mem)
	took := gd.ho.seams.Now().Sub(asked)
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.probing[mem.Name]--
	if err != nil {
		return
	}
	gd.roundTrip += time.Duration(smoothing * float64(took-gd.roundTrip))
	gd.guard.Observe(mem.Name, re, asked)
	gd.ho.learnTerm(gr.Name, re.Term)
}

// probe asks the home of a member.
func (ho *Host) probe(ctx context.Context, gr store.Group, mem store.Member) (promo.Report, error) {
	at := ho.homeOf(mem)
	if ho.isSelf(at) {
		re, _, err := ho.homes.Probe(ctx, gr.Name, mem.Name)
		return re, err
	}
	re, err := ho.client.Probe(ctx, at, gr.Name, mem.Name)
	if codes.Is(err, codes.PeerUnreached) && ctx.Err() == nil {
		ho.members.Suspect(at.ID, ho.seams.Now())
	}
	return re, err
}

// learnTerm takes a term that a member or a peer told of.
func (ho *Host) learnTerm(group string, te posn.Term) {
	if ho.groups.learn(group, te) {
		event.Log(ho.Log, event.TermLearned, "group", group, "term", te.Number, "primary", te.Primary)
	}
}

// refreshGroup asks the members of a group for their terms, because a request
// found no primary. It returns at once.
func (ho *Host) refreshGroup(gr store.Group) {
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

// act carries an order out in the background; mu is held.
func (gd *guarded) act(gr store.Group, or promo.Order, now time.Time) {
	switch {
	case or.Promote != "":
		gd.busy = true
		event.Log(gd.ho.Log, event.PromotionBegun, "group", gd.name, "candidate", or.Promote, "term", or.Claim.Number)
		go gd.promote(gr, or)
	case len(or.Follow) > 0:
		gd.busy = true
		go gd.follow(gr, or)
	case or.Leader != "" && gd.rank == 0 && gd.leads(gr, or) && now.After(gd.rewriteAt):
		gd.rewriteAt = now.Add(rewriteEvery)
		go gd.rewrite(gr, or.LeaderTerm)
	}
	if or.Leader != "" && gd.rank == 0 {
		gd.relieve(gr, or, now)
	}
}

// leads reports whether the store does not know of the leading term yet.
func (gd *guarded) leads(gr store.Group, or promo.Order) bool {
	kn, ok := gd.ho.groups.known(gr.Name)
	return ok && or.LeaderTerm.Compare(kn.stored) > 0
}

func (gd *guarded) done() {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.busy = false
}

// promote claims the term and orders the candidate to lead it.
func (gd *guarded) promote(gr store.Group, or promo.Order) {
	defer gd.done()
	err := gd.ho.changePrimary(gd.ho.background, gr, or.Promote, or.Expected, or.Claim)
	if err == nil {
		return
	}
	event.Log(gd.ho.Log, event.PromotionFailed, "group", gd.name, "candidate", or.Promote, "error", err)
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.guard.Failed(gd.ho.seams.Now())
}

func (gd *guarded) follow(gr store.Group, or promo.Order) {
	defer gd.done()
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

// rewrite tells the store of a term that was claimed without it.
func (gd *guarded) rewrite(gr store.Group, te posn.Term) {
	ctx, cancel := context.WithTimeout(gd.ho.background, claimTimeout)
	defer cancel()
	_ = gd.ho.claim(ctx, gr, te)
}

// relieve hands a leaving primary over; mu is held.
func (gd *guarded) relieve(gr store.Group, or promo.Order, now time.Time) {
	leader, ok := gr.GetMemberByName(or.Leader)
	if !ok || !leader.Leaving || gd.busy || now.Before(gd.rewriteAt) {
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
	gd.rewriteAt = now.Add(rewriteEvery)
	go func() {
		defer gd.done()
		_ = gd.ho.Handover(gd.ho.background, gr.Name, target)
	}()
}
