package member

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
	"banyanspring/core/elect"
	"banyanspring/core/event"
	"banyanspring/core/evid"
	"banyanspring/core/group"
	"banyanspring/core/posn"
	"banyanspring/core/share"
	"banyanspring/io/delay"
	"banyanspring/io/engine"
	"banyanspring/io/pool"
)

const (
	// guardEvery is the time between two rounds over the groups.
	guardEvery = 100 * time.Millisecond
	// askAfter is how long a leader may be unheard of before it is asked.
	askAfter = 150 * time.Millisecond
	// guardAsk bounds one question of a guard. It takes no slot, so that it
	// answers within the round trip even under load.
	guardAsk = 300 * time.Millisecond
	// orderWait bounds an order, which waits for a slot.
	orderWait = 700 * time.Millisecond
	// appointWait bounds one call that appoints a leader.
	appointWait = 500 * time.Millisecond
	// leadWait bounds the wait for an appointed leader to lead. Promotions take
	// 0.6 to 1 s where measured.
	leadWait = 2500 * time.Millisecond
	// leadPoll is the pause between two questions whether it does.
	leadPoll = 40 * time.Millisecond
	// changeRetry is kept after a change that did not go on; it doubles with
	// each further one up to changeRetryMost.
	changeRetry     = 100 * time.Millisecond
	changeRetryMost = 1600 * time.Millisecond
	// surveyAfter is how long after taking the duty a holder looks for replicas
	// that its predecessor left frozen: calls of that one are over by then.
	surveyAfter = lateOrder
	// surveyRetry is kept before another look.
	surveyRetry = time.Second
	// catchUpTries is how often a candidate that is behind is looked at again.
	catchUpTries = 4
	// catchUpPause is kept between two looks at a candidate that is behind.
	catchUpPause = 25 * time.Millisecond
)

// timing is that of all groups.
var timing = elect.Timing{
	Silence: 650 * time.Millisecond,
	Refusal: 250 * time.Millisecond,
	Partial: 700 * time.Millisecond,
	Fresh:   opinionFresh,
	Spacing: 6 * time.Second,
	Crowded: 1500 * time.Millisecond,
}

// guards watches over all groups while this member holds the duty.
type guards struct {
	me *Member

	mu     sync.Mutex
	groups map[string]*guard
	// isHolder is true while this member holds the duty.
	isHolder bool
}

func newGuards(me *Member) *guards { return &guards{me: me, groups: make(map[string]*guard)} }

func (gs *guards) run(ctx context.Context) {
	for delay.Pause(ctx, guardEvery) {
		now := gs.me.seams.Now()
		isHolder := gs.me.roster.isHolder()
		gs.noteDuty(isHolder)
		if !isHolder {
			continue
		}
		vi := gs.me.listing()
		for _, op := range gs.me.engine.Opinions() {
			gs.get(op.Group, now).visit(ctx, vi, op)
		}
	}
}

// noteDuty logs when the duty comes and goes, and forgets what was watched.
func (gs *guards) noteDuty(isHolder bool) {
	if isHolder == gs.isHolder {
		return
	}
	gs.isHolder = isHolder
	token, _ := gs.me.roster.Token()
	if isHolder {
		event.Log(gs.me.log, event.DutyTaken, "token", token)
		return
	}
	event.Log(gs.me.log, event.DutyLeft, "token", token)
	gs.mu.Lock()
	defer gs.mu.Unlock()
	for name, gu := range gs.groups {
		gu.close()
		delete(gs.groups, name)
	}
}

func (gs *guards) get(name string, now time.Time) *guard {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gu := gs.groups[name]
	if gu == nil {
		gu = &guard{me: gs.me, name: name, pools: make(map[string]*pool.Pool), watchedSince: now, surveyAt: now.Add(surveyAfter)}
		gs.groups[name] = gu
	}
	return gu
}

// guard watches over one group.
type guard struct {
	me   *Member
	name string

	mu sync.Mutex
	// pools holds a connection of the guard's own to each member that it had to
	// ask, so that full pools do not blind it.
	pools map[string]*pool.Pool
	// leader is the upstream under watch.
	leader       string
	watchedSince time.Time
	heardAt      time.Time
	refused      bool
	changedAt    time.Time
	// isAsking and isChanging are true while such work is under way.
	isAsking, isChanging bool
	// surveyAt is when to look for replicas that were left frozen; zero if there
	// is no reason to.
	surveyAt time.Time
	fence    fence
	// failures counts changes that did not go on, in a row.
	failures int
	retryAt  time.Time
}

func (gu *guard) close() {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	for id, po := range gu.pools {
		po.Close()
		delete(gu.pools, id)
	}
}

// currentLeader returns the upstream under watch.
func (gu *guard) currentLeader() string {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.leader
}

// visit runs one round.
func (gu *guard) visit(ctx context.Context, vi group.View, op engine.Opinion) {
	now := gu.me.seams.Now()
	members := vi.Members(gu.name)
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.keepPools(members)
	defer gu.beginSurvey(members, now)
	if op.Leader != "" && op.Leader != gu.leader {
		if gu.leader != "" {
			// Somebody else has changed the lead.
			gu.changedAt = now
		}
		gu.leader, gu.watchedSince, gu.refused = op.Leader, now, false
		gu.heardAt = time.Time{}
	}
	if gu.leader == "" || gu.isChanging {
		return
	}
	leader, isListed := vi.GetUpstreamByID(gu.leader)
	if op.Leader == gu.leader && op.ProvenAt.After(gu.heardAt) {
		gu.heardAt, gu.refused = op.ProvenAt, false
	}
	if isListed && !gu.isAsking && (now.Sub(gu.heardAt) >= askAfter || now.Sub(op.Sample.Asked) >= holderSample) {
		gu.isAsking = true
		go gu.ask(leader)
	}
	ev := elect.Evidence{
		IsLeaving: leader.Leaving, IsListed: isListed, Refused: gu.refused, HeardAt: gu.heardAt,
		WatchedSince: gu.watchedSince, ChangedAt: gu.changedAt, Opinions: gu.me.opinions.about(gu.name),
	}
	ev.Opinions = append(ev.Opinions, elect.Opinion{
		Leader: op.Leader, At: now, ProvenAt: op.ProvenAt, UnreachedSince: op.UnreachedSince,
		StalledWrites: op.StalledWrites, WroteAt: op.WroteAt, CrowdedReads: op.CrowdedReads, ReplicaAt: op.ReplicaAt,
	})
	reason := elect.Judge(ev, gu.leader, timing, now)
	if unfinished := gu.unfinished(vi, op.Leader, now); reason == elect.None {
		reason = unfinished
	}
	if reason == elect.None || now.Before(gu.retryAt) || len(members) < 2 {
		return
	}
	event.Log(gu.me.log, event.PrimarySuspected, "group", gu.name, "upstream", gu.leader, "reason", string(reason),
		"heard_ms", ageMs(gu.heardAt, now), "opinions", len(ev.Opinions), "listed", isListed, "leaving", leader.Leaving)
	gu.isChanging = true
	go gu.change(ctx, reason)
}

// beginSurvey looks for frozen replicas if that is due; mu is held.
func (gu *guard) beginSurvey(members []group.Upstream, now time.Time) {
	if gu.isChanging || gu.leader == "" || gu.fence.pending != "" || gu.surveyAt.IsZero() || now.Before(gu.surveyAt) {
		return
	}
	gu.surveyAt = time.Time{}
	gu.isChanging = true
	go gu.survey(members, gu.leader)
}

// keepPools drops the connections to members that are gone; mu is held.
func (gu *guard) keepPools(members []group.Upstream) {
	for id, po := range gu.pools {
		isThere := false
		for _, up := range members {
			isThere = isThere || up.SameLife(po.Upstream())
		}
		if !isThere {
			po.Close()
			delete(gu.pools, id)
		}
	}
}

// pool returns the guard's own pool of one connection.
func (gu *guard) pool(up group.Upstream) *pool.Pool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	po := gu.pools[up.ID]
	if po == nil {
		po = pool.New(up, guardPool, pool.Seams{Now: gu.me.seams.Now, Dial: gu.me.seams.Dial, Codec: gu.me.seams.Codec})
		po.SetShare(share.Share{Quota: 1, Holders: 1})
		gu.pools[up.ID] = po
	}
	return po
}

// guardPool bounds the guard's own connections.
var guardPool = pool.Settings{
	Waiting:        2,
	ConnectTimeout: guardAsk,
	IdleTimeout:    poolIdle,
	CheckAfter:     checkAfter,
}

// ask asks the leader whether it leads; the answer takes no slot.
func (gu *guard) ask(up group.Upstream) {
	asked := gu.me.seams.Now()
	at, leads, err := gu.leads(up, asked.Add(guardAsk))
	if err == nil && leads {
		// A guard's connection is its own, so that evidence keeps coming while
		// the pools are full; without it all reads would go to the leader.
		gu.me.engine.AddEvidence(gu.name, evid.Sample{Asked: asked, Position: at})
		gu.me.engine.NoteLeader(gu.name, up.ID, asked)
	}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.isAsking = false
	if up.ID != gu.leader {
		return
	}
	gu.refused = codes.Is(err, codes.UpstreamUnreached)
	if err == nil && leads && asked.After(gu.heardAt) {
		gu.heardAt = asked
	}
}

// leads asks an upstream whether it leads, and how far its log is.
func (gu *guard) leads(up group.Upstream, deadline time.Time) (posn.Position, bool, error) {
	var leads bool
	var at posn.Position
	err := gu.with(up, deadline, func(co *pool.Conn) error {
		results, err := co.Exchange(pool.LeadQuestion, deadline)
		if err == nil {
			leads, at = results[0].Code == codes.OK, results[0].Position
		}
		return err
	})
	return at, leads, err
}

// with runs work on the guard's own connection to an upstream; an error that is
// no refusal closes it.
func (gu *guard) with(up group.Upstream, deadline time.Time, work func(co *pool.Conn) error) error {
	po := gu.pool(up)
	co, err := po.Acquire(pool.Ask{Caller: gu.name, Patience: deadline, Deadline: deadline})
	if err != nil {
		return err
	}
	err = work(co)
	var ref *codes.Refusal
	if err != nil && !errors.As(err, &ref) {
		po.Discard(co)
		return err
	}
	po.Release(co)
	return err
}
