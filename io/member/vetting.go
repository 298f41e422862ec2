package member

import (
	"sync"
	"time"

	"banyanspring/io/engine"
)

// vetting decides whether this member's fencing token may be used for a change of a
// group's leader, for platforms that do not check the token: there the members
// themselves must never call with a lower token than one that was used before.
//
// A token may be used while the group has the term that was known before the token was
// drawn. Tokens drawn later are higher; a change with one of them would have raised the
// term or left the replicas frozen. The coordinator and its successor draw a token
// ahead of time whenever theirs is not good for all groups, since the store may be away
// when a leader fails. It is safe for concurrent use.
type vetting struct {
	me *Member

	mu sync.Mutex
	// known holds, by group, what was last known of its term.
	known map[string]knownTerm
	// askAt is the earliest time of the next request for a token.
	askAt time.Time
}

// knownTerm is a group's term and when this member first knew of it.
type knownTerm struct {
	term uint64
	// since is moved forward when there are signs of a concurrent change.
	since time.Time
	// ownToken is the token of this member's call that led to the term; zero if it was
	// not this member's.
	ownToken uint64
}

// vettingPause is the time between two requests for a token, so that one token serves
// the terms of many groups that are learned one after the other.
const vettingPause = 500 * time.Millisecond

func newVetting(me *Member) *vetting { return &vetting{me: me, known: make(map[string]knownTerm)} }

// update records the terms of all groups. If the token is not good for all of them and
// this member is the coordinator or its successor, it requests a new one.
func (ve *vetting) update(ops []engine.Opinion, now time.Time) {
	if !ve.me.settings.LeasesRequired {
		return
	}
	token, drawnAt := ve.me.roster.drawnToken()
	ve.mu.Lock()
	defer ve.mu.Unlock()
	isGood := true
	for _, op := range ops {
		ve.learnAt(op.Group, op.Lease.Term, now)
	}
	for _, kt := range ve.known {
		isGood = isGood && kt.allows(kt.term, token, drawnAt)
	}
	if token == 0 || isGood || now.Before(ve.askAt) || !ve.me.roster.isAmongFirst(vettedMembers) {
		return
	}
	ve.askAt = now.Add(vettingPause)
	ve.me.roster.requestNewToken(token)
}

// learn records the term that upstreams have reported.
func (ve *vetting) learn(group string, term uint64) {
	ve.mu.Lock()
	defer ve.mu.Unlock()
	ve.learnAt(group, term, ve.me.deps.Now())
}

// learnAt records a term unless a higher one is known; mu is held.
func (ve *vetting) learnAt(group string, term uint64, now time.Time) {
	if term > ve.known[group].term {
		ve.known[group] = knownTerm{term: term, since: now}
	}
}

// vettedMembers is how many members hold a token for all groups: the coordinator and
// its successor.
const vettedMembers = 2

func (kt knownTerm) allows(term, token uint64, drawnAt time.Time) bool {
	return kt.term == term && (kt.ownToken == token || kt.since.Before(drawnAt))
}

// allows reports whether the token may be used while the group has the term.
func (ve *vetting) allows(group string, term, token uint64) bool {
	held, drawnAt := ve.me.roster.drawnToken()
	ve.mu.Lock()
	defer ve.mu.Unlock()
	return held == token && ve.known[group].allows(term, token, drawnAt)
}

// recordOwn records that this member's call with the token led to the term.
func (ve *vetting) recordOwn(group string, term, token uint64) {
	ve.mu.Lock()
	defer ve.mu.Unlock()
	if term > ve.known[group].term {
		ve.known[group] = knownTerm{term: term, since: ve.me.deps.Now(), ownToken: token}
	}
}

// recordForeign records signs of another member's change of the group's leader: only a
// token drawn from now on may be used for the group.
func (ve *vetting) recordForeign(group string) {
	ve.mu.Lock()
	defer ve.mu.Unlock()
	kt := ve.known[group]
	kt.since, kt.ownToken = ve.me.deps.Now(), 0
	ve.known[group] = kt
}

// IsTokenVetted reports whether this member has a token that may be used for a change of
// the leader of each group.
func (me *Member) IsTokenVetted() bool {
	token, _ := me.roster.Token()
	for _, op := range me.engine.Opinions() {
		if op.Lease.Term == 0 || !me.vetting.allows(op.Group, op.Lease.Term, token) {
			return false
		}
	}
	return true
}
