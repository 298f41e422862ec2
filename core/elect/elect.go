// Package elect decides when a database group gets a new leader, and which, for
// groups that acknowledge a write once a replica has received it. It does no I/O
// and reads no clock.
//
// A change of leader is safe if the log of the new leader contains every write that
// was or may still be acknowledged. There are two proofs. If the old leader confirms
// that it has stopped, its log bounds what was acknowledged. Otherwise all upstreams
// through which it may acknowledge are frozen, that is, ordered to stop receiving its
// log, and the most advanced of them bounds it. One that does not answer may be the
// only one with an acknowledged write, and blocks the change until it is known to have
// ended.
//
// One instance at a time, the coordinator, monitors the leaders and changes them.
// The other instances send it their opinions.
package elect

import "time"

// Opinion is one instance's observation of a group's leader.
type Opinion struct {
	// Leader is the upstream that the instance treats as leader; empty if none.
	Leader string
	// Count is the number of instances whose opinions are merged into this one; zero
	// means one instance. Only opinions that report no problem are merged.
	Count int
	// ReceivedAt is when the opinion was received.
	ReceivedAt time.Time
	// ProvenAt is when the leader last proved its leadership to the instance; zero
	// if never.
	ProvenAt time.Time
	// UnreachedSince is when the instance lost its connection to the leader; zero
	// if it reaches it.
	UnreachedSince time.Time
	// StalledWrites counts recent writes that the leader did not answer in time.
	StalledWrites int
	// WriteAcknowledgedAt is when the leader last acknowledged a write; zero if never.
	// A leader that acknowledges some writes is overloaded and not stalled.
	WriteAcknowledgedAt time.Time
	// CrowdedReads counts recent reads that the leader lacked the capacity to serve.
	// They came to the leader because all replicas lagged and had refused them.
	CrowdedReads int
	// ReplicaReadAt is when a replica last served a read; zero if never.
	ReplicaReadAt time.Time
}

// Timing holds the timeouts of failure detection.
type Timing struct {
	// SilenceTimeout is the time after which a leader that has proven its leadership
	// to no instance counts as dead.
	SilenceTimeout time.Duration
	// RefusedTimeout replaces SilenceTimeout for a leader whose address refuses
	// connections.
	RefusedTimeout time.Duration
	// PartialFailureTimeout is how long a partial failure must last: an instance counts
	// for Unreached once it has failed to reach the leader for this long, and the leader
	// can be replaced as Stalled once it has acknowledged no write for this long.
	PartialFailureTimeout time.Duration
	// CrowdedTimeout is how long no replica may serve a read before a crowded leader is
	// replaced.
	CrowdedTimeout time.Duration
	// MaxOpinionAge is the maximum age of an opinion.
	MaxOpinionAge time.Duration
	// MinChangeInterval is the minimum time between two changes of leader, so that leadership
	// does not flap. It does not apply to a leader that is dead or leaving.
	MinChangeInterval time.Duration
}

// Reason is why a leader must be replaced.
type Reason string

// Reasons to replace a leader.
const (
	// None means that the leader stays.
	None Reason = ""
	// Dead means that the leader was silent to all instances for too long.
	Dead Reason = "dead"
	// Unfinished means that an earlier change must be completed: the call that
	// appoints the new leader was not answered and may still take effect. The
	// coordinator sets it; ReplacementReason does not return it.
	Unfinished Reason = "unfinished"
	// Leaving means that the leader is shutting down; it is replaced while it still
	// serves.
	Leaving Reason = "leaving"
	// Unreached means that a large share of the instances cannot reach the leader.
	Unreached Reason = "unreached"
	// Stalled means that the leader responds but acknowledges no write.
	Stalled Reason = "stalled"
	// Crowded means that the leader gets all reads, because no replica applies its
	// log in time, and lacks the capacity for them. A change helps because two
	// upstreams then serve reads: the old leader, which has applied its whole log,
	// as a replica, and the new leader, which applies everything it has received
	// when it is promoted.
	Crowded Reason = "crowded"
)

const (
	// unreachedShare is the share of the instances that must fail to reach the
	// leader for it to be replaced. A smaller share does not justify a change, which
	// aborts the open transactions of all instances.
	unreachedShare = 0.25
	// minStalledWrites is the number of writes that must time out; a single timeout
	// may be accidental.
	minStalledWrites = 2
	// minCrowdedReads is the number of reads that must be refused for the leader to
	// be replaced as Crowded. It exceeds the number of open transactions that a
	// change aborts.
	minCrowdedReads = 20
)

// Evidence is what the coordinator has observed of a group's leader.
type Evidence struct {
	// IsLeaving is true if the platform lists the leader as leaving.
	IsLeaving bool
	// IsListed is false if the platform no longer lists the leader. ReplacementReason
	// ignores it, since a missing entry is no reason to replace a leader.
	IsListed bool
	// Refused is true if the leader's address refused the last connection.
	Refused bool
	// HeardAt is when the leader last proved its leadership to the coordinator.
	HeardAt time.Time
	// WatchedSince is when the coordinator began to monitor this leader; earlier
	// silence does not count.
	WatchedSince time.Time
	// ChangedAt is when the leader last changed; zero if no change was seen.
	ChangedAt time.Time
	// Opinions holds the opinions of all instances, the coordinator included.
	Opinions []Opinion
}

// summary aggregates the fresh opinions on one leader.
type summary struct {
	// fresh counts the instances with a fresh opinion, and unreached those of them
	// that have not reached the leader for longer than PartialFailureTimeout.
	fresh, unreached                            int
	stalled, crowded                            int
	heardAt, writeAcknowledgedAt, replicaReadAt time.Time
}

// summarize aggregates the opinions that are fresh and name this leader.
func summarize(ev Evidence, leader string, ti Timing, now time.Time) summary {
	su := summary{heardAt: later(ev.HeardAt, ev.WatchedSince)}
	for _, op := range ev.Opinions {
		if now.Sub(op.ReceivedAt) > ti.MaxOpinionAge || op.Leader != leader {
			continue
		}
		su.fresh += max(1, op.Count)
		su.heardAt = later(su.heardAt, op.ProvenAt)
		su.writeAcknowledgedAt = later(su.writeAcknowledgedAt, op.WriteAcknowledgedAt)
		su.replicaReadAt = later(su.replicaReadAt, op.ReplicaReadAt)
		su.stalled += op.StalledWrites
		su.crowded += op.CrowdedReads
		if !op.UnreachedSince.IsZero() && now.Sub(op.UnreachedSince) > ti.PartialFailureTimeout {
			su.unreached++
		}
	}
	return su
}

// isUnreached reports whether at least unreachedShare of the instances with a fresh
// opinion cannot reach the leader.
func (su summary) isUnreached() bool {
	return su.unreached > 0 && float64(su.unreached) >= unreachedShare*float64(su.fresh)
}

// ReplacementReason returns the reason to replace the leader, or None to keep it.
func ReplacementReason(ev Evidence, leader string, ti Timing, now time.Time) Reason {
	su := summarize(ev, leader, ti, now)
	silence := now.Sub(su.heardAt)
	if silence > ti.SilenceTimeout || (ev.Refused && silence > ti.RefusedTimeout) {
		return Dead
	}
	if ev.IsLeaving {
		return Leaving
	}
	if !ev.ChangedAt.IsZero() && now.Sub(ev.ChangedAt) < ti.MinChangeInterval {
		return None
	}
	switch {
	case su.isUnreached():
		return Unreached
	case su.stalled >= minStalledWrites && now.Sub(su.writeAcknowledgedAt) > ti.PartialFailureTimeout:
		return Stalled
	case su.crowded >= minCrowdedReads && now.Sub(su.replicaReadAt) > ti.CrowdedTimeout:
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
