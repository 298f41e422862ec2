package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/evid"
	"banyanspring/core/lease"
	"banyanspring/core/outly"
	"banyanspring/core/posn"
)

// groupState holds the members of a database group, the evidence for which of
// them leads, and the position samples of the leader. It is safe for concurrent
// use.
type groupState struct {
	name string

	mu sync.Mutex
	// members is replaced as a whole and never modified in place.
	members []*upstream
	// claims holds the evidence for and against each member by its ID.
	claims map[string]claim
	// track holds the leader's position samples.
	track evid.Track
	// changed is closed and replaced when the leader changes.
	changed chan struct{}
	// leader is the result of likelyLeader; nil if none is known.
	leader *upstream
	// samplesUsedAt is when a read last needed the position samples.
	samplesUsedAt time.Time
	// crowded counts the reads since crowdedSince that were refused because the
	// leader was overloaded and the replicas were behind.
	crowded      int
	crowdedSince time.Time
	// replicaReadAt is when a replica last served a read.
	replicaReadAt time.Time
	// probing is true while members are asked whether they lead.
	probing bool
	// leases holds the evidence on the leader; nil if a proof by the upstream alone
	// shows that it leads (see Settings.LeasesRequired).
	leases *lease.Track
	// confirming is true while members are asked to confirm the leader.
	confirming atomic.Bool
	// reported is the highest position up to which this instance has reported successes, and
	// reportedAt when it reported one last.
	reported   posn.Position
	reportedAt time.Time
	// leaderUsedAt is when a statement last needed the leader.
	leaderUsedAt time.Time
	// leavingLimit is how long a leaving leader is used; zero if there is no limit. One that
	// alone holds acknowledged writes may lead longer, until another one has received them.
	leavingLimit time.Duration
	// outliers holds the members that get fewer reads. Only Engine.Weigh uses it.
	outliers outly.Group
}

// claim is the evidence for and against a member being the leader.
type claim struct {
	// claimedAt is when the member was first listed as claiming to lead; zero if
	// it is not.
	claimedAt time.Time
	// provenAt is the latest time at which it is proven to have led.
	provenAt time.Time
	// notLeaderAt is when it last refused a statement because it does not lead.
	notLeaderAt time.Time
}

// drainPercent is the percentage of the drain bound for which a leaving leader is used. The
// listing shows the shutdown late.
const drainPercent = 75

func newGroupState(name string, se Settings) *groupState {
	gr := &groupState{name: name, claims: make(map[string]claim), changed: make(chan struct{})}
	gr.leavingLimit = se.DrainBound * drainPercent / 100
	if se.LeasesRequired {
		gr.leases = &lease.Track{}
	}
	return gr
}

// notifyWaiters wakes the goroutines that wait for a change of the leader; mu
// must be held.
func (gr *groupState) notifyWaiters() {
	close(gr.changed)
	gr.changed = make(chan struct{})
}

// setMembers replaces the members and keeps the evidence of those that stay.
func (gr *groupState) setMembers(members []*upstream, now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.members = members
	claims := make(map[string]claim, len(members))
	for _, up := range members {
		cl := gr.claims[up.id()]
		switch {
		case !up.info.Load().ClaimsLeadership:
			cl.claimedAt = time.Time{}
		case cl.claimedAt.IsZero():
			cl.claimedAt = now
		}
		claims[up.id()] = cl
	}
	gr.claims = claims
	if gr.leases != nil {
		gr.leases.SetListed(func(id string) bool { return gr.memberByID(id) != nil })
	}
	old := gr.leader
	gr.leader = gr.likelyLeader()
	if old != gr.leader {
		gr.notifyWaiters()
	}
}

// likelyLeader returns the member with the most recent proof or claim that no
// later refusal contradicts, or nil; mu must be held. Once there is evidence for a lease
// it decides alone: a former leader may still claim to lead.
func (gr *groupState) likelyLeader() *upstream {
	if gr.leases != nil && gr.leases.Term() > 0 {
		return gr.memberByID(gr.leases.Held().Leader)
	}
	var best *upstream
	var bestAt time.Time
	for _, up := range gr.members {
		cl := gr.claims[up.id()]
		at := cl.claimedAt
		if cl.provenAt.After(at) {
			at = cl.provenAt
		}
		if at.IsZero() || !cl.notLeaderAt.Before(at) {
			continue
		}
		if best == nil || at.After(bestAt) {
			best, bestAt = up, at
		}
	}
	return best
}

// memberByID returns the member with the ID, or nil; mu must be held.
func (gr *groupState) memberByID(id string) *upstream {
	for _, up := range gr.members {
		if up.id() == id {
			return up
		}
	}
	return nil
}

// usableLeader returns the leader if a read, or a transaction that may write, can be
// sent to it, else nil, and a channel that is closed when that may have changed.
func (gr *groupState) usableLeader(now time.Time, mayWrite bool) (*upstream, <-chan struct{}) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.leaderUsedAt = now
	if gr.leader != nil && gr.leader.hasLeft(gr.leavingLimit, now) {
		return nil, gr.changed
	}
	if gr.leader == nil || gr.leases == nil {
		return gr.leader, gr.changed
	}
	held, id := gr.leases.Held(), gr.leader.id()
	if !held.AllowsReads(id, now) || (mayWrite && !held.AllowsWrites(id, now)) {
		return nil, gr.changed
	}
	return gr.leader, gr.changed
}

// currentLeader returns the member that most likely leads, or nil, and a channel
// that is closed when that changes.
func (gr *groupState) currentLeader() (*upstream, <-chan struct{}) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.leader, gr.changed
}

// allMembers returns the members; the slice must not be modified.
func (gr *groupState) allMembers() []*upstream {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.members
}

// recordLeaderProof records that the member led at some time after sentAt, with its
// log at the position.
func (gr *groupState) recordLeaderProof(up *upstream, sentAt time.Time, po posn.Position) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	cl, ok := gr.claims[up.id()]
	if !ok {
		return
	}
	if sentAt.After(cl.provenAt) {
		cl.provenAt = sentAt
		gr.claims[up.id()] = cl
	}
	if gr.leases == nil || gr.leases.Held().AllowsReads(up.id(), sentAt) {
		gr.track.Add(evid.Sample{Asked: sentAt, Position: po})
	}
	if gr.leader == up {
		return
	}
	gr.leader = gr.likelyLeader()
	if gr.leader == up {
		gr.notifyWaiters()
	}
}

// recordNotLeader records that the member refused a statement because it does not
// lead.
func (gr *groupState) recordNotLeader(up *upstream, now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	cl := gr.claims[up.id()]
	cl.notLeaderAt = now
	gr.claims[up.id()] = cl
	if gr.leases != nil {
		gr.leases.Refute(up.id())
	}
	old := gr.leader
	gr.leader = gr.likelyLeader()
	if gr.leader != old {
		gr.notifyWaiters()
	}
}

// minPosition returns the lowest position at which data is at most maxAge old,
// and false if no sample is recent enough.
func (gr *groupState) minPosition(now time.Time, maxAge time.Duration) (posn.Position, bool) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.samplesUsedAt = now
	return gr.track.MinPosition(now, maxAge)
}

// addSample adds a position sample that a peer took.
func (gr *groupState) addSample(sa evid.Sample) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.track.Add(sa)
}

// crowdedWindow is the length of a counting period. A period starts with the first
// refused read after the last one, and its count is reported until it ends.
const crowdedWindow = 2 * time.Second

// recordCrowdedRead counts a read that was refused because the replicas were
// behind and the leader was overloaded.
func (gr *groupState) recordCrowdedRead(now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if now.Sub(gr.crowdedSince) > crowdedWindow {
		gr.crowded, gr.crowdedSince = 0, now
	}
	gr.crowded++
}

// recordReplicaRead records that a replica served a read.
func (gr *groupState) recordReplicaRead(now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.replicaReadAt = now
}

// recordPeerLeaderProof records a peer's report that a member was proven to lead.
func (gr *groupState) recordPeerLeaderProof(id string, provenAt time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	cl, ok := gr.claims[id]
	if !ok || !provenAt.After(cl.provenAt) {
		return
	}
	cl.provenAt = provenAt
	gr.claims[id] = cl
	old := gr.leader
	gr.leader = gr.likelyLeader()
	if gr.leader != old {
		gr.notifyWaiters()
	}
}

// recordReported records that a write was acknowledged with the position given, and may be reported as
// a success. before is the position that the leader had reported before the write was sent.
func (gr *groupState) recordReported(before, at posn.Position, now time.Time) {
	po := acknowledged(before, at)
	if po.IsZero() {
		return
	}
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.reported = gr.reported.Max(po)
	gr.reportedAt = now
}

// acknowledged returns the highest position that a write is known to have reached. The answer to it
// has the end of the leader's log, which may include later writes that no replica has received
// (measured: 1.324 with the replicas at 1.312). The write itself comes after all that the leader had
// in its log before the write was sent. It returns the zero position if the log has not grown since.
func acknowledged(before, at posn.Position) posn.Position {
	if at.Compare(before) <= 0 {
		return posn.Position{}
	}
	if before.Term == at.Term {
		before.Offset++
	}
	return before
}

// leaderStatus returns the observed state of the leader.
func (gr *groupState) leaderStatus(now time.Time) Opinion {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	op := Opinion{Group: gr.name, Reported: gr.reported, ReportedAt: gr.reportedAt}
	if gr.leases != nil {
		op.Lease = gr.leases.Held()
	}
	op.Sample, _ = gr.track.Newest()
	if gr.leader == nil {
		return op
	}
	op.Leader = gr.leader.id()
	op.ProvenAt = gr.claims[op.Leader].provenAt
	op.StalledWrites = gr.leader.recentStalls(now)
	op.ReplicaReadAt = gr.replicaReadAt
	if now.Sub(gr.crowdedSince) <= crowdedWindow {
		op.CrowdedReads = gr.crowded
	}
	if at := gr.leader.wroteAt.Load(); at != 0 {
		op.WriteAcknowledgedAt = time.Unix(0, at)
	}
	if since := gr.leader.unreachedSince.Load(); since != 0 {
		op.UnreachedSince = time.Unix(0, since)
	}
	return op
}

// needsSample reports whether the group was read recently and its newest sample
// has reached the age given.
func (gr *groupState) needsSample(now time.Time, age time.Duration) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if now.Sub(gr.samplesUsedAt) > sampleAfterRead {
		return false
	}
	sa, ok := gr.track.Newest()
	return !ok || now.Sub(sa.Asked) >= age
}

// beginProbing returns true if no probe of the group is running. The calling
// goroutine must then call endProbing after its probes.
func (gr *groupState) beginProbing() bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.probing {
		return false
	}
	gr.probing = true
	return true
}

func (gr *groupState) endProbing() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.probing = false
}
