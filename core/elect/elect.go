// Package elect decides when a database group gets a new leader, and which, for
// groups whose writes are acknowledged once a replica has received them. It
// does no I/O and reads no clock.
//
// A change is safe if no write that was or may yet be acknowledged is missing
// from the candidate's log. So all replicas but the candidate are frozen first:
// from then on the old leader can acknowledge only what the candidate receives.
// The change goes on once the candidate has received at least what each frozen
// replica has. A replica that cannot be asked may hold an acknowledged write
// alone, and holds the change up for as long as it is listed.
package elect

import (
	"time"

	"banyanspring/core/posn"
)

// Opinion is what one instance says of its way to a group's leader.
type Opinion struct {
	// Leader is the upstream that it takes for the leader; empty if none.
	Leader string
	// Count is the number of instances that say so together, which all reach the
	// leader; zero for one instance.
	Count int
	// At is when the opinion was heard.
	At time.Time
	// ProvenAt is when the leader last proved to it that it leads; zero if
	// never.
	ProvenAt time.Time
	// UnreachedSince is since when it cannot reach the leader; zero if it can.
	UnreachedSince time.Time
	// StalledWrites counts writes that the leader lately did not answer in time.
	StalledWrites int
	// WroteAt is when the leader last answered a write; zero if never. A leader
	// that answers some writes is busy and not stalled.
	WroteAt time.Time
	// CrowdedReads counts reads that the leader lately had no time for, after all
	// replicas had refused them as behind.
	CrowdedReads int
	// ReplicaAt is when a replica last served a read; zero if never.
	ReplicaAt time.Time
}

// Timing holds the times that suspicion works with.
type Timing struct {
	// Silence is how long a leader may be unheard of by all.
	Silence time.Duration
	// Refusal is the same for a leader whose address refuses connections.
	Refusal time.Duration
	// Partial is how long a part of the instances may miss the leader, and how
	// long it may answer no write.
	Partial time.Duration
	// Crowded is how long no replica may have served a read.
	Crowded time.Duration
	// Fresh is how old an opinion may be.
	Fresh time.Duration
	// Spacing is the least time between two changes that are not forced by the
	// leader's death, so that the lead does not flap.
	Spacing time.Duration
}

// Reason is why a leader is to be replaced.
type Reason string

// Reasons to replace a leader.
const (
	// None keeps the leader.
	None Reason = ""
	// Dead leaders were heard of by nobody for a while.
	Dead Reason = "dead"
	// Unfinished changes are carried on: the call for the new leader was not
	// answered and may be carried out at any time.
	Unfinished Reason = "unfinished"
	// Leaving leaders are replaced while they still serve.
	Leaving Reason = "leaving"
	// Unreached leaders are cut off from a good part of the instances.
	Unreached Reason = "unreached"
	// Stalled leaders answer, but acknowledge no write.
	Stalled Reason = "stalled"
	// Crowded leaders have all reads to themselves, since no replica applies its
	// log in time, and no room for them. A replica that is promoted leads with
	// all that it has received, and the old leader follows it with a log that is
	// applied, so that a change gives the group two upstreams for one.
	Crowded Reason = "crowded"
)

const (
	// unreachedShare is the part of the instances that must miss the leader: a
	// change costs all of them the transactions under way.
	unreachedShare = 0.25
	// stalledWrites is how many writes must hang: one may be an accident.
	stalledWrites = 2
	// crowdedReads is how many reads must have been refused: a change aborts the
	// transactions under way, which are fewer.
	crowdedReads = 20
)

// Evidence is what the holder of the duty knows of a group's leader.
type Evidence struct {
	// IsLeaving is true if the leader is listed as leaving.
	IsLeaving bool
	// IsListed is false if the leader's entry has been removed.
	IsListed bool
	// Refused is true if its address refused the last connection.
	Refused bool
	// HeardAt is when the holder last heard it.
	HeardAt time.Time
	// WatchedSince is when the holder began to watch this leader; silence
	// before counts for nothing.
	WatchedSince time.Time
	// ChangedAt is when the lead last changed; zero if never seen.
	ChangedAt time.Time
	// Opinions holds those of the other instances.
	Opinions []Opinion
}

// summary is what the fresh opinions say together.
type summary struct {
	// fresh counts the opinions, and missing those that cannot reach the leader.
	fresh, missing           int
	stalled, crowded         int
	heardAt, wroteAt, readAt time.Time
}

// summarize adds up the opinions that are fresh and about the leader.
func summarize(ev Evidence, leader string, ti Timing, now time.Time) summary {
	su := summary{heardAt: later(ev.HeardAt, ev.WatchedSince)}
	for _, op := range ev.Opinions {
		if now.Sub(op.At) > ti.Fresh || op.Leader != leader {
			continue
		}
		su.fresh += max(1, op.Count)
		su.heardAt = later(su.heardAt, op.ProvenAt)
		su.wroteAt = later(su.wroteAt, op.WroteAt)
		su.readAt = later(su.readAt, op.ReplicaAt)
		su.stalled += op.StalledWrites
		su.crowded += op.CrowdedReads
		if !op.UnreachedSince.IsZero() && now.Sub(op.UnreachedSince) > ti.Partial {
			su.missing++
		}
	}
	return su
}

// isUnreached reports whether a good part of the instances misses the leader.
func (su summary) isUnreached() bool {
	return su.missing > 0 && float64(su.missing) >= unreachedShare*float64(su.fresh)
}

// Judge returns whether the leader is to be replaced, and why.
func Judge(ev Evidence, leader string, ti Timing, now time.Time) Reason {
	su := summarize(ev, leader, ti, now)
	silence := now.Sub(su.heardAt)
	if silence > ti.Silence || (ev.Refused && silence > ti.Refusal) {
		return Dead
	}
	if !ev.ChangedAt.IsZero() && now.Sub(ev.ChangedAt) < ti.Spacing {
		return None
	}
	switch {
	case ev.IsLeaving:
		return Leaving
	case su.isUnreached():
		return Unreached
	case su.stalled >= stalledWrites && now.Sub(su.wroteAt) > ti.Partial:
		return Stalled
	case su.crowded >= crowdedReads && now.Sub(su.readAt) > ti.Crowded:
		return Crowded
	}
	return None
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// Replica is what is known of one replica during a change.
type Replica struct {
	ID string
	// Answered is true if the report below is of this change.
	Answered bool
	Leaving  bool
	// Listed is false if its entry has been removed, and its log with it.
	Listed   bool
	Received posn.Position
	// Term is the newest term that it knows.
	Term uint64
	// Preferred breaks ties between replicas that have received as much; higher
	// goes first.
	Preferred int
}

// Choose returns the replica to promote: of those that stay, the one that has
// received most. It reports false if none can be promoted.
func Choose(reps []Replica) (Replica, bool) {
	var best Replica
	found := false
	for _, re := range reps {
		if !re.Answered || re.Leaving || !re.Listed {
			continue
		}
		ord := re.Received.Compare(best.Received)
		if !found || ord > 0 || (ord == 0 && re.Preferred > best.Preferred) {
			best, found = re, true
		}
	}
	return best, found
}

// Obstacle says why a change must not go on.
type Obstacle string

// Obstacles to a change.
const (
	// Clear means that nothing stands in the way.
	Clear Obstacle = ""
	// Unasked means that a listed replica gave no answer; it may hold an
	// acknowledged write alone.
	Unasked Obstacle = "a replica could not be asked"
	// Behind means that the candidate lacks what a frozen replica has.
	Behind Obstacle = "the candidate is behind a frozen replica"
	// Moved means that somebody else has changed the lead meanwhile.
	Moved Obstacle = "the term has moved"
)

// Check returns whether the candidate may be promoted. The others are the
// frozen replicas, and the candidate's report was asked for after all of them
// had answered. Replicas that are no longer listed took their log with them and
// hold nothing up.
func Check(candidate Replica, others []Replica, term uint64) Obstacle {
	for _, re := range others {
		if re.ID == candidate.ID {
			continue
		}
		if !re.Answered {
			if re.Listed {
				return Unasked
			}
			continue
		}
		if re.Term > term {
			return Moved
		}
		if re.Received.Compare(candidate.Received) > 0 {
			return Behind
		}
	}
	if candidate.Term > term {
		return Moved
	}
	return Clear
}
