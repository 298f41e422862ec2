package member

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/event"
	"banyanspring/core/quorum"
	"banyanspring/io/delay"
	"banyanspring/io/engine"
)

// permits holds this member's permit to pass on writes and the suspended leaders (see
// package quorum). It is safe for concurrent use.
type permits struct {
	me *Member

	mu    sync.Mutex
	track *quorum.Track
	// attempts counts the suspensions that this member has begun.
	attempts uint64
	// lostAt is when the permit was found to have expired; zero if it is valid.
	lostAt time.Time

	// confirmedAt and suspended are copies for the path of requests: the evidence of the
	// permit and the suspensions in force by group.
	confirmedAt instant
	suspended   atomic.Pointer[map[string]quorum.Suspension]
}

func newPermits(me *Member) *permits {
	pe := &permits{me: me, track: quorum.New(me.settings.Name, rand.Uint32(), me.deps.Now())}
	pe.suspended.Store(&map[string]quorum.Suspension{})
	return pe
}

// lapseTolerance is how long after the end of the permit writes wait for a new one, as when
// the coordinator changes; later ones are refused at once.
const lapseTolerance = 500 * time.Millisecond

// obstacle returns why no write may be passed on to a leader, nor reported as a success.
func (pe *permits) obstacle(name, leader string) engine.Obstacle {
	now := pe.me.deps.Now()
	if su, ok := (*pe.suspended.Load())[name]; ok && su.Applies(leader) && now.Before(su.ExpiresAt) {
		return engine.Obstacle{Reason: "the leader of " + name + " is being replaced"}
	}
	if now.Before(pe.expiresAt()) {
		return engine.Obstacle{}
	}
	pe.refresh(now)
	expiredFor := now.Sub(pe.expiresAt())
	if expiredFor < 0 {
		return engine.Obstacle{}
	}
	return engine.Obstacle{
		Reason:  "this instance has no contact to most of the others and may not pass on writes",
		IsFinal: expiredFor > lapseTolerance && now.Sub(pe.me.startedAt) > quorum.Duration+lapseTolerance,
	}
}

func (pe *permits) expiresAt() time.Time { return pe.confirmedAt.load().Add(quorum.Duration) }

// refresh updates the copies from the track.
func (pe *permits) refresh(now time.Time) {
	members := pe.me.roster.names()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.update(members, now)
}

// update is refresh with mu held.
func (pe *permits) update(members []string, now time.Time) {
	if at := pe.track.ConfirmedAt(members, now); !at.IsZero() {
		pe.confirmedAt.advance(at)
	}
	su := pe.track.Suspensions(now)
	pe.suspended.Store(&su)
}

// maintain drops old state and logs when the permit ends or is renewed.
func (pe *permits) maintain(now time.Time) {
	members := pe.me.roster.names()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.track.Forget(now)
	pe.update(members, now)
	isValid := now.Before(pe.expiresAt())
	switch {
	case !isValid && pe.lostAt.IsZero():
		pe.lostAt = now
		event.Log(pe.me.log, event.PermitLost, "members", len(members), "confirmed_ms", ageMs(pe.confirmedAt.load(), now))
	case isValid && !pe.lostAt.IsZero():
		event.Log(pe.me.log, event.PermitRegained, "members", len(members), "lost_for_ms", ageMs(pe.lostAt, now))
		pe.lostAt = time.Time{}
	}
}

// vote returns the vote for a query to a member.
func (pe *permits) vote(to string) *quorum.Vote {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	vo := pe.track.Vote(to, pe.me.deps.Now())
	return &vo
}

// receive records a member's vote.
func (pe *permits) receive(from string, vo quorum.Vote) {
	members := pe.me.roster.names()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	now := pe.me.deps.Now()
	pe.track.Receive(from, vo, now)
	pe.update(members, now)
}

// grant returns the grant for a reply to a member.
func (pe *permits) grant(to string) quorum.Grant {
	members := pe.me.roster.names()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return pe.track.Grant(to, members, pe.me.deps.Now())
}

// accept records the grant in a member's reply to a query that was made at askedAt.
func (pe *permits) accept(from string, gr quorum.Grant, askedAt time.Time) {
	members := pe.me.roster.names()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	now := pe.me.deps.Now()
	pe.track.Accept(from, gr, askedAt, now)
	pe.update(members, now)
}

// suspend records a suspension and returns this member's answer to it, and false if a newer one
// is known, so that it has no effect.
func (pe *permits) suspend(su quorum.Suspension) (quorum.Answer, bool) {
	members := pe.me.roster.names()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	now := pe.me.deps.Now()
	hasEffect := pe.track.Suspend(su, now)
	pe.update(members, now)
	return pe.track.Answer(now), hasEffect
}

// begin starts a suspension of this member's own.
func (pe *permits) begin(name, leader string, token uint64) quorum.Suspension {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.attempts++
	return quorum.Suspension{
		Group: name, Upstream: leader, Token: token, Attempt: pe.attempts, ExpiresAt: pe.me.deps.Now().Add(suspensionLimit),
	}
}

// suspensionLimit is when a suspension ends by itself: a change sends its call within
// takeoverTimeout, and the call is carried out within maxOrderDelay.
const suspensionLimit = takeoverTimeout + maxOrderDelay

// inForce returns the group's suspension, and false if there is none that is in force.
func (pe *permits) inForce(name string) (quorum.Suspension, bool) {
	su, ok := (*pe.suspended.Load())[name]
	return su, ok
}

// stopped returns the latest leader of the group that a coordinator has stopped, and until when
// that is remembered. It is empty if none is known.
func (pe *permits) stopped(name string) (stoppedLeader, time.Time) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	su, ok := pe.track.Suspension(name)
	if !ok || !pe.me.deps.Now().Before(su.ExpiresAt) {
		return stoppedLeader{}, time.Time{}
	}
	return stoppedLeader{id: su.Stopped, term: su.StoppedTerm}, su.ExpiresAt
}

// permitPath is where members renew their permits between exchanges.
const permitPath = "/v1/permit"

const (
	// renewalInterval is the time between two renewals at the source by the first member of a
	// failure domain, on which the permits of its domain depend, and by others whose permit
	// ends soon.
	renewalInterval = 150 * time.Millisecond
	// spreadInterval is the time between two renewals at a member drawn at random. The usual
	// paths may not lead to most members, for example after a restart of all. Once the permit
	// has been lost for longer than spreadLimit, spreadRetry replaces it.
	spreadInterval = 300 * time.Millisecond
	spreadLimit    = 4 * time.Second
	spreadRetry    = time.Second
	// renewalTimeout bounds one renewal.
	renewalTimeout = exchangeTimeout
)

// maxPermitBytes bounds the body of a permitQuery, which names the members of a failure domain.
const maxPermitBytes = 64 << 10

// permitQuery asks for a grant.
type permitQuery struct {
	From string      `json:"from"`
	Vote quorum.Vote `json:"vote"`
}

func (qu *permitQuery) check() error { return qu.Vote.Check() }

// permitReply answers a permitQuery.
type permitReply struct{ quorum.Grant }

func (re *permitReply) check() error { return re.Check() }

// run renews the permit between the exchanges.
func (pe *permits) run(ctx context.Context) {
	var spreadAt time.Time
	for delay.Pause(ctx, renewalInterval) {
		now := pe.me.deps.Now()
		age := now.Sub(pe.confirmedAt.load())
		source, hasSource := pe.me.roster.source()
		if hasSource && (age > quorum.RenewAge || source.Domain != pe.me.settings.Site.Domain) {
			go pe.renew(ctx, source)
		}
		if age <= quorum.SpreadAge || now.Before(spreadAt) {
			continue
		}
		spreadAt = now.Add(spreadInterval)
		if age > spreadLimit && now.Sub(pe.me.startedAt) > spreadLimit {
			spreadAt = now.Add(spreadRetry)
		}
		if en, ok := pe.me.roster.anyOther(); ok {
			go pe.renew(ctx, en)
		}
	}
}

// renew asks a member for a grant. Failures are those of exchanges, which are logged.
func (pe *permits) renew(ctx context.Context, en entry) {
	ctx, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	asked := pe.me.deps.Now()
	var re permitReply
	if err := pe.me.peers.post(ctx, "http://"+en.Address+permitPath, permitQuery{From: pe.me.settings.Name, Vote: *pe.vote(en.Name)}, &re); err == nil {
		pe.accept(en.Name, re.Grant, asked)
	}
}

// serve answers another member's query for a grant.
func (pe *permits) serve(rw http.ResponseWriter, rq *http.Request) {
	var qu permitQuery
	if err := readExchange(http.MaxBytesReader(rw, rq.Body, maxPermitBytes), &qu); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	pe.receive(qu.From, qu.Vote)
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(permitReply{pe.grant(qu.From)})
}
