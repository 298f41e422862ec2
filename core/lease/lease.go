// Package lease decides how long an instance may treat an upstream as the leader of
// its group, on platforms where a replaced leader keeps serving until it is told to
// stop. There an upstream that accepts a statement as leader proves nothing: another
// one may lead a newer term. The package does no I/O and reads no clock.
//
// A change of leader freezes replicas before it appoints one of them, and an
// appointment raises the term of all members. A replica that reports the leader's
// term and is not frozen therefore confirms that, when it was asked, no change had got
// as far as the appointment. An instance may use the leader for Duration after such a
// confirmation. A coordinator that could not stop the old leader freezes all replicas,
// and lets nobody write to the new leader before Duration has passed since the last
// one was frozen: by then every confirmation of the old leader has expired.
package lease

import "time"

// Duration is how long a confirmation of a leader is valid. Confirmations reach most
// instances through two exchanges, one of them possibly between regions.
const Duration = 1200 * time.Millisecond

// Report is one upstream's report of its role.
type Report struct {
	ID string
	// AskedAt is when the request for the report was sent.
	AskedAt time.Time
	// Leads is true if the upstream claims to be the leader of Term.
	Leads bool
	Term  uint64
	// IsFrozen is true if the upstream has stopped receiving the log.
	IsFrozen bool
}

// Evidence is a confirmation that an upstream leads its group. The zero value confirms
// nothing.
type Evidence struct {
	// Leader is the only upstream that was appointed for Term, or that took over its log.
	Leader string
	// Term is zero if no leader is known.
	Term uint64
	// ConfirmedAt is a time at which no leader of a higher term had been appointed.
	ConfirmedAt time.Time
	// WritesFrom is the time from which the leader may be written to; zero if at any
	// time. Before it, instances may still hold a lease on the leader of a lower term.
	WritesFrom time.Time
}

// AllowsReads reports whether a read that starts at the time given may rely on the
// upstream being the leader.
func (ev Evidence) AllowsReads(id string, at time.Time) bool {
	return ev.Term > 0 && ev.Leader == id && at.Before(ev.ExpiresAt())
}

// AllowsWrites reports whether a transaction that may write can be sent to the upstream
// at the time given.
func (ev Evidence) AllowsWrites(id string, at time.Time) bool {
	return ev.AllowsReads(id, at) && !at.Before(ev.WritesFrom)
}

// ExpiresAt returns when the lease ends.
func (ev Evidence) ExpiresAt() time.Time { return ev.ConfirmedAt.Add(Duration) }

// WritesAfter returns from when a leader of the next term may be written to if the
// leader of this one has stopped: leases on still earlier leaders may be running.
func (ev Evidence) WritesAfter(now time.Time) time.Time {
	if ev.WritesFrom.After(now) {
		return ev.WritesFrom
	}
	return now
}

// WithWritesFrom returns the evidence with another time from which the leader may be
// written to.
func (ev Evidence) WithWritesFrom(at time.Time) Evidence {
	ev.WritesFrom = at
	return ev
}

// Finding is what the members' reports show.
type Finding struct {
	Evidence
	// IsOldStopped is true if no earlier leader goes on, so that leases on one are of no
	// use to anybody.
	IsOldStopped bool
}

// Judge returns what the reports of a group's members show, and false if they confirm no
// leader. The leader of a term does not change while it is listed, so that for the term
// of the held evidence the leader need not be among the reports.
func Judge(held Evidence, members int, reports []Report) (Finding, bool) {
	found := Finding{Evidence: Evidence{Term: held.Term, Leader: held.Leader}}
	for _, re := range reports {
		if re.Term > found.Term {
			found.Evidence = Evidence{Term: re.Term}
		}
		if re.Leads && re.Term == found.Term {
			found.Leader = re.ID
		}
	}
	if found.Leader == "" {
		return Finding{}, false
	}
	for _, re := range reports {
		isWitness := re.ID != found.Leader && !re.Leads && !re.IsFrozen && re.Term == found.Term
		if isWitness && re.AskedAt.After(found.ConfirmedAt) {
			found.ConfirmedAt = re.AskedAt
		}
	}
	found.IsOldStopped = isOldStopped(held, found.Evidence, members, reports)
	return found, !found.ConfirmedAt.IsZero()
}

// isOldStopped reports whether no earlier leader than the found one goes on: the one of
// the term before reports that it does not lead, or, if no earlier leader was ever known
// here, all members have answered and none of them claims to lead an earlier term.
func isOldStopped(held, found Evidence, members int, reports []Report) bool {
	claims := 0
	for _, re := range reports {
		if re.ID == held.Leader && !re.Leads {
			return found.Term == held.Term+1
		}
		if re.Leads {
			claims++
		}
	}
	return held.Term == 0 && len(reports) == members && claims == 1
}

// Track holds the newest evidence on one group. It is not safe for concurrent use.
type Track struct {
	held Evidence
	// isRefuted is true once the held leader has refused a statement because it does
	// not lead. It will not lead the same term again.
	isRefuted bool
	// isGone is true while the held leader is not listed. It may come back as it was, or
	// another upstream may have taken over its log and lead the same term.
	isGone bool
}

// Held returns the newest evidence, whose lease may have ended; without a leader if there
// is none, if it was refuted or if it is not listed.
func (tr *Track) Held() Evidence {
	if tr.isRefuted || tr.isGone {
		return Evidence{Term: tr.held.Term, WritesFrom: tr.held.WritesFrom}
	}
	return tr.held
}

// Term returns the highest term known.
func (tr *Track) Term() uint64 { return tr.held.Term }

// Observe records what this instance's own requests have shown. If the term is new,
// other instances may have a lease on an earlier leader that was confirmed just before,
// so that the leader may only be written to after Duration, unless that one has stopped.
func (tr *Track) Observe(fi Finding, now time.Time) {
	isNext := tr.held.Term > 0 && fi.Term == tr.held.Term+1
	from := now.Add(Duration)
	switch {
	case isNext && (fi.IsOldStopped || tr.isRefuted):
		from = tr.held.WritesAfter(now)
	case fi.IsOldStopped:
		from = now
	}
	tr.Adopt(fi.WithWritesFrom(from))
}

// Adopt records evidence from an instance that knows when the leases on earlier leaders
// end, which is WritesFrom.
func (tr *Track) Adopt(ev Evidence) {
	switch {
	case ev.Term < tr.held.Term || ev.Term == 0:
	case ev.Term > tr.held.Term:
		tr.held, tr.isRefuted, tr.isGone = ev, false, false
	case ev.Leader != tr.held.Leader:
		if tr.isGone {
			tr.held, tr.isRefuted, tr.isGone = ev, false, false
		}
	default:
		if ev.ConfirmedAt.After(tr.held.ConfirmedAt) {
			tr.held.ConfirmedAt = ev.ConfirmedAt
		}
		if ev.WritesFrom.Before(tr.held.WritesFrom) {
			tr.held.WritesFrom = ev.WritesFrom
		}
	}
}

// SetListed records whether the held leader is listed.
func (tr *Track) SetListed(isListed func(id string) bool) {
	tr.isGone = tr.held.Term > 0 && !isListed(tr.held.Leader)
}

// Refute records that the upstream refused a statement because it does not lead, and
// reports whether it was the held leader.
func (tr *Track) Refute(id string) bool {
	if tr.held.Leader != id || tr.isRefuted {
		return false
	}
	tr.isRefuted = true
	return true
}
