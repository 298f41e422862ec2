package quorum

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Suspension ends the writes to the leader of a group that is being replaced and may not have
// stopped. A group has one at most; the one with the highest token and attempt is in force.
type Suspension struct {
	Group string
	// Upstream is the only leader whose writes are suspended; empty if it is any one: the
	// coordinator may not know who leads.
	Upstream string
	// Token is the fencing token of the coordinator, and Attempt counts its changes.
	Token, Attempt uint64
	// IsOver is true once the change has ended.
	IsOver bool
	// ExpiresAt is when the change can have no effect any more. An ended suspension is kept
	// until then, so that it prevails over copies of it.
	ExpiresAt time.Time
	// Stopped is the latest leader that has confirmed to a coordinator that it leads no more,
	// as far as is known, and StoppedTerm the term that it led; empty and 0 if there is none.
	Stopped     string
	StoppedTerm uint64
}

// WithStop returns the suspension with the leader as stopped.
func (su Suspension) WithStop(leader string, term uint64) Suspension {
	su.Stopped, su.StoppedTerm = leader, term
	return su
}

// WithEnd returns the suspension as ended.
func (su Suspension) WithEnd() Suspension {
	su.IsOver = true
	return su
}

// Applies reports whether the suspension is one of the writes to the leader given.
func (su Suspension) Applies(leader string) bool { return su.Upstream == "" || su.Upstream == leader }

// prevailsOver reports whether the suspension replaces another one of the same group.
func (su Suspension) prevailsOver(other Suspension) bool {
	order := cmp.Or(cmp.Compare(su.Token, other.Token), cmp.Compare(su.Attempt, other.Attempt))
	return order > 0 || (order == 0 && su.IsOver && !other.IsOver)
}

// WireSuspension is a suspension on the wire. LeftMs is the time left until it expires.
type WireSuspension struct {
	Group    string `json:"group"`
	Upstream string `json:"upstream"`
	Token    uint64 `json:"token"`
	Attempt  uint64 `json:"attempt"`
	IsOver   bool   `json:"over,omitempty"`
	LeftMs   int64  `json:"left_ms"`
	// Stopped and StoppedTerm are those of Suspension.
	Stopped     string `json:"stopped,omitempty"`
	StoppedTerm uint64 `json:"stopped_term,omitempty"`
}

// Check returns an error if the suspension must not be used.
func (ws WireSuspension) Check() error {
	if ws.Group == "" || ws.LeftMs < 0 || ws.LeftMs > maxLeft.Milliseconds() {
		return errors.Newf("suspension of group %q for %d ms out of range", ws.Group, ws.LeftMs)
	}
	return nil
}

func checkSuspensions(wires []WireSuspension) error {
	for _, ws := range wires {
		if err := ws.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Suspension returns the suspension as it was received at the time given.
func (ws WireSuspension) Suspension(now time.Time) Suspension {
	return Suspension{
		Group: ws.Group, Upstream: ws.Upstream, Token: ws.Token, Attempt: ws.Attempt, IsOver: ws.IsOver,
		ExpiresAt: now.Add(millis(ws.LeftMs)), Stopped: ws.Stopped, StoppedTerm: ws.StoppedTerm,
	}
}

// Wire returns the suspension as it is sent at the time given.
func (su Suspension) Wire(now time.Time) WireSuspension {
	return WireSuspension{
		Group: su.Group, Upstream: su.Upstream, Token: su.Token, Attempt: su.Attempt, IsOver: su.IsOver,
		LeftMs: ceilMs(su.ExpiresAt.Sub(now)), Stopped: su.Stopped, StoppedTerm: su.StoppedTerm,
	}
}

// Suspend records a suspension unless a newer one is known. It reports whether the suspension
// has effect here; if it has not, its coordinator must not rely on an answer.
func (tr *Track) Suspend(su Suspension, now time.Time) bool {
	old, ok := tr.suspensions[su.Group]
	if ok && now.Before(old.ExpiresAt) && !su.prevailsOver(old) {
		return !old.prevailsOver(su)
	}
	if ok && su.IsOver && old.Token == su.Token && old.Attempt == su.Attempt {
		su.ExpiresAt = later(su.ExpiresAt, old.ExpiresAt)
	}
	if ok && now.Before(old.ExpiresAt) && old.StoppedTerm > su.StoppedTerm {
		su = su.WithStop(old.Stopped, old.StoppedTerm)
	}
	tr.suspensions[su.Group] = su
	return true
}

func (tr *Track) adopt(wires []WireSuspension, now time.Time) {
	for _, ws := range wires {
		tr.Suspend(ws.Suspension(now), now)
	}
}

func (tr *Track) suspensionsToSend(now time.Time) []WireSuspension {
	var out []WireSuspension
	for _, su := range tr.suspensions {
		if now.Before(su.ExpiresAt) {
			out = append(out, su.Wire(now))
		}
	}
	slices.SortFunc(out, func(left, right WireSuspension) int { return cmp.Compare(left.Group, right.Group) })
	return out
}

// Suspension returns the group's suspension, and false if there is none.
func (tr *Track) Suspension(group string) (Suspension, bool) {
	su, ok := tr.suspensions[group]
	return su, ok
}

// Suspensions returns the suspensions that are in force, by group.
func (tr *Track) Suspensions(now time.Time) map[string]Suspension {
	out := make(map[string]Suspension)
	for name, su := range tr.suspensions {
		if !su.IsOver && now.Before(su.ExpiresAt) {
			out[name] = su
		}
	}
	return out
}

// Answer returns the answer to a suspension that has been recorded.
func (tr *Track) Answer(now time.Time) Answer {
	an := Answer{UptimeMs: now.Sub(tr.startedAt).Milliseconds()}
	for name, at := range tr.contacts {
		if age := now.Sub(at); age < Duration+margin && name != tr.self {
			an.Contacts = append(an.Contacts, Contact{Name: name, AgeMs: age.Milliseconds()})
		}
	}
	slices.SortFunc(an.Contacts, func(left, right Contact) int { return cmp.Compare(left.Name, right.Name) })
	return an
}

// Ending collects the answers to a suspension.
type Ending struct {
	members []string
	answers map[string]received
}

// received is an answer and when it arrived.
type received struct {
	answer Answer
	at     time.Time
}

// NewEnding returns the ending of writes in a fleet of the members given.
func NewEnding(members []string) *Ending {
	return &Ending{members: members, answers: make(map[string]received)}
}

// Add records a member's answer, which arrived at the time given.
func (en *Ending) Add(name string, an Answer, at time.Time) {
	en.answers[name] = received{answer: an, at: at}
}

// Answered returns how many of the members have answered.
func (en *Ending) Answered() int {
	count := 0
	for _, name := range en.members {
		if _, ok := en.answers[name]; ok {
			count++
		}
	}
	return count
}

// HasQuorum reports whether the members that did not answer are too few to grant permits.
func (en *Ending) HasQuorum() bool { return 2*en.Answered() >= len(en.members) }

// HasMajority reports whether more than half of the members have answered.
func (en *Ending) HasMajority() bool { return 2*en.Answered() > len(en.members) }

// EndsAt returns when nobody has a permit any more under which writes are passed on to the
// suspended leader, and false if that is not known. It is zero if all members have answered.
func (en *Ending) EndsAt() (time.Time, bool) {
	if !en.HasQuorum() {
		return time.Time{}, false
	}
	var lastContact time.Time
	for _, re := range en.answers {
		// The answer was made before it arrived, so that no contact is later than this.
		for _, co := range re.answer.Contacts {
			if _, ok := en.answers[co.Name]; !ok {
				lastContact = later(lastContact, re.at.Add(-millis(co.AgeMs)))
			}
		}
		if en.Answered() < len(en.members) {
			lastContact = later(lastContact, re.at.Add(-millis(re.answer.UptimeMs)))
		}
	}
	if lastContact.IsZero() {
		return time.Time{}, true
	}
	return lastContact.Add(Duration + margin), true
}
