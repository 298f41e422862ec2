package member

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/event"
	"banyanspring/core/quorum"
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
		return engine.Obstacle{Reason: fmt.Sprintf("leader %s is being replaced", leader)}
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

// needsRenewal reports whether the permit ends soon, or has just ended or never begun.
func (pe *permits) needsRenewal(now time.Time) bool {
	since := pe.confirmedAt.load()
	if since.IsZero() {
		since = pe.me.startedAt.Add(-quorum.RenewAge)
	}
	age := now.Sub(since)
	return age > quorum.RenewAge && age < renewalLimit
}

// renewalLimit is the age of the permit's evidence from which it is renewed no faster than
// other state: the instance is cut off.
const renewalLimit = 5 * time.Second

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

// suspend records a suspension and returns this member's answer to it.
func (pe *permits) suspend(su quorum.Suspension) quorum.Answer {
	members := pe.me.roster.names()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	now := pe.me.deps.Now()
	pe.track.Suspend(su, now)
	pe.update(members, now)
	return pe.track.Answer(now)
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
