// Package quorum bounds how long an instance may pass on writes without contact to most
// of the fleet. A leader that nobody can stop may go on behind a network partition, and
// acknowledge writes through a replica that the coordinator does not know of. Only the
// instances beside it can keep callers from relying on such writes. The package does no
// I/O and reads no clock.
//
// An instance passes on writes, and reports their success, only under a permit. A permit
// is valid for Duration from a time at which more than half of the members were in contact
// with each other. The exchanges carry it: a query contains the sender's vote, and a reply
// grants what the replier knows. Any instance that has the votes of most members is a
// source of permits.
//
// Before a coordinator relies on frozen replicas alone, it suspends the writes to the
// leader: it asks all members to end them and when they last exchanged with the others.
// With the answers of at least half of the members, the others have no permit any more
// Duration after the last such contact, since every permit rests on the vote of a member
// that answered, and a member passes the suspension on with each vote and grant.
//
// Assumptions: the instances' clocks run at nearly the same speed and count suspended
// time; the lists of members that two instances hold at the same time are such that more
// than half of the one and half of the other have a member in common; an instance does not
// restart between its answer to a suspension and the end of the change.
package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// Duration is how long a permit is valid. It is shorter than the time in which a
	// partition is noticed, and longer than two exchanges take, one of them possibly
	// between regions.
	Duration = 1200 * time.Millisecond
	// RenewAge is the age of a permit's evidence from which a member asks its source more
	// often.
	RenewAge = 700 * time.Millisecond
	// SpreadAge is the age from which it asks other members too.
	SpreadAge = 950 * time.Millisecond
	// margin is added to the wait for the permits of other instances, for the rounding of
	// ages and clocks that run at different speeds.
	margin = 50 * time.Millisecond
	// maxVoteAge is the age up to which a vote is passed on with others.
	maxVoteAge = 700 * time.Millisecond
)

// Stamp is a time on the clock of the process that made it.
type Stamp struct {
	// Run distinguishes successive processes.
	Run uint32 `json:"run"`
	// Ms is the time since the process started.
	Ms int64 `json:"ms"`
}

// maxMs bounds the times and ages on the wire, so that none overflows a time.Duration.
const maxMs = int64(100 * 365 * 24 * time.Hour / time.Millisecond)

// maxLeft bounds how long a suspension may last.
const maxLeft = time.Minute

func checkMs(values ...int64) error {
	for _, ms := range values {
		if ms < 0 || ms > maxMs {
			return errors.Newf("time of %d ms out of range", ms)
		}
	}
	return nil
}

// Vote is the part of a query that says which members the sender has heard from.
type Vote struct {
	// Echo is the newest stamp from the receiver, which the sender received EchoMs ago.
	// They give the receiver a lower bound of the time at which the query was sent.
	Echo   Stamp `json:"echo"`
	EchoMs int64 `json:"echo_ms"`
	// Heard holds how long ago the sender itself heard from other members, in milliseconds.
	Heard       map[string]int64 `json:"heard,omitempty"`
	Suspensions []WireSuspension `json:"suspensions,omitempty"`
}

// Grant is the part of a reply that extends the asking member's permit.
type Grant struct {
	Stamp Stamp `json:"stamp"`
	// ConfirmedMs is the age of the newest evidence that most members are in contact;
	// zero if there is none.
	ConfirmedMs int64            `json:"confirmed_ms,omitempty"`
	Suspensions []WireSuspension `json:"suspensions,omitempty"`
}

// Check returns an error if the vote must not be used.
func (vo Vote) Check() error {
	if err := checkMs(vo.Echo.Ms, vo.EchoMs); err != nil {
		return err
	}
	if err := checkMs(slices.Collect(maps.Values(vo.Heard))...); err != nil {
		return err
	}
	return checkSuspensions(vo.Suspensions)
}

// Check returns an error if the grant must not be used.
func (gr Grant) Check() error {
	if err := checkMs(gr.Stamp.Ms, gr.ConfirmedMs); err != nil {
		return err
	}
	return checkSuspensions(gr.Suspensions)
}

// Contact is the latest message to a member that may have extended its permit.
type Contact struct {
	Name  string `json:"name"`
	AgeMs int64  `json:"age_ms"`
}

// Answer is a member's answer to a suspension. From then on it passes on no writes to the
// suspended leader.
type Answer struct {
	// Contacts holds the contacts within Duration before the suspension was known here.
	Contacts []Contact `json:"contacts,omitempty"`
	// UptimeMs is the age of the process, which knows no earlier contacts.
	UptimeMs int64 `json:"uptime_ms"`
}

// Check returns an error if the answer must not be used.
func (an Answer) Check() error {
	for _, co := range an.Contacts {
		if err := checkMs(co.AgeMs); err != nil {
			return err
		}
	}
	return checkMs(an.UptimeMs)
}

// echo is a stamp and when it was received.
type echo struct {
	stamp Stamp
	at    time.Time
}

// heard is when a member was in contact.
type heard struct {
	// at is a lower bound of the latest such time, and directAt the same for contact to this
	// member itself.
	at, directAt time.Time
}

// Track holds one member's permit and what it is based on. It is not safe for concurrent
// use.
type Track struct {
	self      string
	run       uint32
	startedAt time.Time
	// echoes holds the newest stamp from each member.
	echoes map[string]echo
	votes  map[string]heard
	// contacts holds when a message that may extend its permit was last made for each
	// member.
	contacts map[string]time.Time
	// confirmedAt is the newest evidence received from other members.
	confirmedAt time.Time
	suspensions map[string]Suspension
}

// New returns the track of a process that starts at the time given.
func New(self string, run uint32, now time.Time) *Track {
	return &Track{
		self: self, run: run, startedAt: now, echoes: make(map[string]echo), votes: make(map[string]heard),
		contacts: make(map[string]time.Time), suspensions: make(map[string]Suspension),
	}
}

// Vote returns the vote for a query to a member.
func (tr *Track) Vote(to string, now time.Time) Vote {
	tr.contacts[to] = now
	vo := Vote{Suspensions: tr.suspensionsToSend(now)}
	if ec, ok := tr.echoes[to]; ok {
		vo.Echo, vo.EchoMs = ec.stamp, now.Sub(ec.at).Milliseconds()
	}
	for name, he := range tr.votes {
		if age := now.Sub(he.directAt); age <= maxVoteAge && name != to {
			if vo.Heard == nil {
				vo.Heard = make(map[string]int64)
			}
			vo.Heard[name] = ceilMs(age)
		}
	}
	return vo
}

// Receive records a member's vote. A vote without an echo of this process proves no time.
func (tr *Track) Receive(from string, vo Vote, now time.Time) {
	tr.adopt(vo.Suspensions, now)
	if vo.Echo.Run != tr.run {
		return
	}
	sentAt := earlier(tr.startedAt.Add(millis(vo.Echo.Ms+vo.EchoMs)), now)
	he := tr.votes[from]
	tr.votes[from] = heard{at: later(he.at, sentAt), directAt: later(he.directAt, sentAt)}
	for name, ms := range vo.Heard {
		if name != tr.self {
			he := tr.votes[name]
			he.at = later(he.at, sentAt.Add(-millis(ms)))
			tr.votes[name] = he
		}
	}
}

// Grant returns the grant for a reply to a member.
func (tr *Track) Grant(to string, members []string, now time.Time) Grant {
	tr.contacts[to] = now
	gr := Grant{Stamp: Stamp{Run: tr.run, Ms: now.Sub(tr.startedAt).Milliseconds()}, Suspensions: tr.suspensionsToSend(now)}
	if at := tr.ConfirmedAt(members, now); !at.IsZero() {
		gr.ConfirmedMs = max(1, ceilMs(now.Sub(at)))
	}
	return gr
}

// Accept records the grant in a member's reply to a query that was made at askedAt.
func (tr *Track) Accept(from string, gr Grant, askedAt, now time.Time) {
	tr.adopt(gr.Suspensions, now)
	tr.echoes[from] = echo{stamp: gr.Stamp, at: now}
	if at := askedAt.Add(-millis(gr.ConfirmedMs)); gr.ConfirmedMs > 0 && at.After(tr.confirmedAt) {
		tr.confirmedAt = at
	}
}

// ConfirmedAt returns the newest time at which more than half of the members are known to
// have been in contact; zero if there is none.
func (tr *Track) ConfirmedAt(members []string, now time.Time) time.Time {
	var times []time.Time
	for _, name := range members {
		if name == tr.self {
			times = append(times, now)
		} else if he, ok := tr.votes[name]; ok {
			times = append(times, he.at)
		}
	}
	need := len(members)/2 + 1
	if len(times) < need {
		return tr.confirmedAt
	}
	slices.SortFunc(times, func(left, right time.Time) int { return right.Compare(left) })
	return later(tr.confirmedAt, times[need-1])
}

// Forget drops what is known of members that have been silent for longer than Duration.
func (tr *Track) Forget(now time.Time) {
	oldest := now.Add(-Duration - margin)
	maps.DeleteFunc(tr.votes, func(_ string, he heard) bool { return he.at.Before(oldest) })
	maps.DeleteFunc(tr.contacts, func(_ string, at time.Time) bool { return at.Before(oldest) })
	maps.DeleteFunc(tr.echoes, func(_ string, ec echo) bool { return now.Sub(ec.at) > echoKeep })
	maps.DeleteFunc(tr.suspensions, func(_ string, su Suspension) bool { return !now.Before(su.ExpiresAt) })
}

// echoKeep is how long a stamp is kept for the next query to the member that made it.
const echoKeep = time.Minute

func ceilMs(du time.Duration) int64 { return int64((du + time.Millisecond - 1) / time.Millisecond) }

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}
