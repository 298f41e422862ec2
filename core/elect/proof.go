package elect

import (
	"cmp"
	"slices"
	"time"

	"banyanspring/core/posn"
)

// Replica is what the coordinator knows of one upstream during a change of leader.
type Replica struct {
	ID string
	// Incarnation tells successive processes under the ID apart.
	Incarnation int64
	// Answered is true if Received, Term, ClaimsLead and IsFrozen were reported after the
	// last order of this change.
	Answered bool
	// ClaimsLead is true if the upstream claims to be a leader.
	ClaimsLead bool
	// IsFrozen is true if the upstream has stopped receiving the log.
	IsFrozen bool
	// IsLeaving is true if the upstream is shutting down, and IsListed is false if the
	// platform does not list it.
	IsLeaving, IsListed bool
	// EndsSoon is true if the upstream is shutting down and may end before another one
	// could take its log over.
	EndsSoon bool
	// HasLostLog is true if the upstream answers without a log although it has been listed
	// for long enough to have received one: it may have restarted.
	HasLostLog bool
	// IsLongSilent is true if the upstream has answered no request for so long that it is not
	// waited for any more if something else would be lost.
	IsLongSilent bool
	// HasEnded is true if the upstream's process has ended, so that its log is gone.
	HasEnded bool
	// IsPastDrain is true if the upstream is shutting down, its drain has passed its bound, and it
	// has been silent for long, so that it does not come back.
	IsPastDrain bool
	// Bound is a position that the leader reported after the upstream had ended: no write
	// beyond it was acknowledged because of the upstream. It is used only if HasBound is
	// true.
	Bound    posn.Position
	HasBound bool
	// Received is the highest position that the upstream has received.
	Received posn.Position
	// Term is the number of the newest term that the upstream has seen.
	Term uint64
	// Preference breaks ties between upstreams that hold all acknowledged writes; the
	// higher value wins.
	Preference int
}

// Unknown is what upstreams may have received that are not among the replicas of a change. The zero
// value says that there is no such upstream.
type Unknown struct {
	// Bound is the position up to which writes may have been acknowledged because of them. It is used
	// unless IsUnbounded is true.
	Bound       posn.Position
	IsUnbounded bool
}

// Change is the state of a change of leader. Its members are the leader that is to be
// replaced and all upstreams through which that leader may have acknowledged writes:
// listed or not, leaving or not. Those that nobody remembers are bounded by Forgotten.
type Change struct {
	// Term is the term of the leader that is to be replaced.
	Term uint64
	// Leader is the leader that is to be replaced.
	Leader Replica
	// IsStopped is true if Leader led Term and has confirmed that it leads no more.
	IsStopped bool
	// Replicas holds the other members.
	Replicas []Replica
	// Forgotten is of the upstreams that have left and that nobody knows who takes part in the change.
	Forgotten Unknown
	// Known holds the positions that instances have seen or reported as a success, as of Now.
	// Those of terms before Term are not used.
	Known []Holding
	// Listing is that of the platform as the coordinator knows it.
	Listing Listing
	Now     time.Time
	// IsBelowKnownAllowed is true if a replica below a known position is appointed although an
	// upstream that holds the position may come back.
	IsBelowKnownAllowed bool
}

// Obstacle is why no upstream may be appointed.
type Obstacle string

// Obstacles to an appointment.
const (
	// NoObstacle means that there is no obstacle.
	NoObstacle Obstacle = ""
	// Unanswered means that a member through which writes may have been acknowledged did
	// not answer, or ended without a known bound. It is no obstacle once it has been silent
	// for long and those that hold more than the others may end soon.
	Unanswered Obstacle = "a replica that may hold acknowledged writes did not answer"
	// ForgottenUnbounded means that writes may have been acknowledged because of an upstream that has left
	// and that nobody knows any more, and the leader has reported no bound since.
	ForgottenUnbounded Obstacle = "an upstream that nobody remembers may have held acknowledged writes"
	// Unfrozen means that a replica may still receive the log of a leader that has not
	// stopped.
	Unfrozen Obstacle = "a replica is not frozen although the leader has not stopped"
	// Behind means that no upstream that answered holds all writes that may have been
	// acknowledged.
	Behind Obstacle = "no replica holds all writes that may have been acknowledged"
	// BelowKnown means that an instance has seen a higher position than that of all upstreams that
	// could be appointed, or reported it as a success, and an upstream that holds it may come back.
	BelowKnown Obstacle = "a known position is higher, and an upstream that holds it may come back"
	// TermChanged means that an upstream has seen a higher term: the leader was changed
	// concurrently.
	TermChanged Obstacle = "a replica has seen a higher term"
	// OtherLeads means that another upstream than the one to be replaced leads.
	OtherLeads Obstacle = "another upstream than the one to be replaced leads"
)

// Candidates returns the upstreams that may be appointed, the best first, or why there
// is none. Staying replicas come first, then the old leader if it stays, then upstreams that
// are not listed, and last those that are leaving: these can be replaced once another one has
// caught up, unless they end before.
func (ch Change) Candidates() ([]Replica, Obstacle) {
	if obstacle := ch.concurrentChange(); obstacle != NoObstacle {
		return nil, obstacle
	}
	required, _, obstacle := ch.Required()
	if obstacle != NoObstacle {
		return nil, obstacle
	}
	var out []Replica
	for _, re := range ch.receivers() {
		if re.Answered && re.Received.Compare(required) >= 0 {
			out = append(out, re)
		}
	}
	if ch.isLeaderLogComplete() {
		out = append(out, ch.Leader)
	}
	if len(out) == 0 {
		return nil, Behind
	}
	out = slices.DeleteFunc(out, func(re Replica) bool { return ch.isBelowKnown(re.Received) })
	if len(out) == 0 {
		return nil, BelowKnown
	}
	slices.SortFunc(out, func(left, right Replica) int {
		return cmp.Or(cmp.Compare(ch.tier(left), ch.tier(right)), right.Received.Compare(left.Received),
			cmp.Compare(right.Preference, left.Preference), cmp.Compare(left.ID, right.ID))
	})
	return out, NoObstacle
}

// isBelowKnown reports whether a known position above the one given forbids an appointment.
func (ch Change) isBelowKnown(at posn.Position) bool {
	_, mayReturn, _ := ch.KnownAbove(at)
	return mayReturn && !ch.IsBelowKnownAllowed
}

// IsStaying reports whether the upstream is a replica that is listed and not leaving.
func (ch Change) IsStaying(re Replica) bool { return ch.tier(re) == 0 }

// tier returns the rank of an upstream among those that hold all acknowledged writes. Of two
// that are alike otherwise, a replica goes before the old leader.
func (ch Change) tier(re Replica) int {
	rank := 0
	switch {
	case re.EndsSoon:
		rank = 3
	case re.IsLeaving:
		rank = 2
	case !re.IsListed:
		rank = 1
	}
	if re.ID == ch.Leader.ID {
		return 2*rank + 1
	}
	return 2 * rank
}

// concurrentChange returns the obstacle if the leader was changed by another coordinator.
func (ch Change) concurrentChange() Obstacle {
	for _, re := range ch.Replicas {
		switch {
		case !re.Answered:
		case re.ClaimsLead && re.Term >= ch.Term:
			return OtherLeads
		case re.Term > ch.Term:
			return TermChanged
		}
	}
	if ch.Leader.Answered && ch.Leader.Term > ch.Term {
		return TermChanged
	}
	return NoObstacle
}

// Proof names what bounds the writes that may have been acknowledged.
type Proof string

// Proofs of a required position.
const (
	// StoppedLeader means that the log of the leader, which has stopped, holds all of them.
	StoppedLeader Proof = "stopped_leader"
	// FrozenReplicas means that the leader could acknowledge writes only because of replicas
	// that are compared and receive nothing more.
	FrozenReplicas Proof = "frozen_replicas"
)

// Required returns the position up to which a new leader must have received the log, and why no
// less, or the obstacle if that is not known. Entries that a stopped leader has beyond all replicas
// are required too: an upstream that nobody knows any more may have received them, and the leader
// may have acknowledged them because of it.
func (ch Change) Required() (posn.Position, Proof, Obstacle) {
	if ch.isLeaderLogComplete() {
		return ch.Leader.Received, StoppedLeader, NoObstacle
	}
	required, obstacle := ch.receivedByReplicas()
	return required, FrozenReplicas, obstacle
}

// isLeaderLogComplete reports whether the leader's log holds all acknowledged writes and
// will hold all that are acknowledged before the appointment. A leader that is behind a
// replica has restarted without its log.
func (ch Change) isLeaderLogComplete() bool {
	if !ch.IsStopped || !ch.Leader.Answered || ch.Leader.HasLostLog {
		return false
	}
	return !slices.ContainsFunc(ch.Replicas, func(re Replica) bool {
		return re.Answered && re.Received.Compare(ch.Leader.Received) > 0
	})
}

// hasLeaderResigned reports whether the upstream to be replaced answers that it does not
// lead, although it was not stopped for this change. Another coordinator may have stopped it,
// or replaced it by an upstream that is not known here.
func (ch Change) hasLeaderResigned() bool {
	return ch.Leader.Answered && !ch.Leader.ClaimsLead && !ch.IsStopped && ch.Leader.Term == ch.Term
}

// receivers returns the members that may receive the log of a leader of Term.
func (ch Change) receivers() []Replica {
	if ch.hasLeaderResigned() {
		return append(slices.Clone(ch.Replicas), ch.Leader)
	}
	return ch.Replicas
}

// receivedByReplicas returns the highest position that a replica has received or may have
// received before it ended, or why that is not known. Once the upstream that led answers as
// a replica, the log of the leader of Term is among those that answered or is gone, so that
// ended replicas held nothing else.
func (ch Change) receivedByReplicas() (posn.Position, Obstacle) {
	highest, missing := ch.Forgotten.Bound, NoObstacle
	if ch.isForgottenMissing() {
		missing = ForgottenUnbounded
	}
	for _, re := range ch.receivers() {
		switch {
		case re.Answered && re.IsFrozen:
			highest = highest.Max(re.Received)
		case re.Answered:
			return highest, Unfrozen
		case re.HasEnded && re.HasBound:
			highest = highest.Max(re.Bound)
		case re.HasEnded && ch.hasLeaderResigned():
		case re.HasEnded || re.IsLongSilent:
			missing = Unanswered
		default:
			return highest, Unanswered
		}
	}
	if missing != NoObstacle && !ch.isOnlyHeldByEnding(highest) {
		return highest, missing
	}
	return highest, NoObstacle
}

// isForgottenMissing reports whether a forgotten upstream may have held more than those that answer. The
// log of a leader that answers as a replica goes beyond it.
func (ch Change) isForgottenMissing() bool {
	return ch.Forgotten.IsUnbounded && !ch.hasLeaderResigned()
}

// IsOnlyHeldByEnding reports whether all that hold the highest position which a replica has
// received may end soon.
func (ch Change) IsOnlyHeldByEnding() bool {
	var highest posn.Position
	for _, re := range ch.receivers() {
		if re.Answered {
			highest = highest.Max(re.Received)
		}
	}
	return ch.isOnlyHeldByEnding(highest)
}

// isOnlyHeldByEnding reports whether all upstreams that hold the position may end soon. Waiting
// for others that may hold more, and have been silent for long, would lose what these hold.
func (ch Change) isOnlyHeldByEnding(at posn.Position) bool {
	isHeld := false
	for _, re := range ch.receivers() {
		if !re.Answered || re.Received.Compare(at) < 0 {
			continue
		}
		if !re.EndsSoon {
			return false
		}
		isHeld = true
	}
	return isHeld
}

// IsLastResort reports whether the frozen replicas prove nothing, and Candidates returns those
// whose log would be lost otherwise.
func (ch Change) IsLastResort() bool {
	_, obstacle := ch.receivedByReplicas()
	isMissing := ch.isForgottenMissing() || slices.ContainsFunc(ch.receivers(), func(re Replica) bool {
		isKnown := re.Answered || (re.HasEnded && (re.HasBound || ch.hasLeaderResigned()))
		return !isKnown
	})
	return obstacle == NoObstacle && isMissing
}
