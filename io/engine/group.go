package engine

import (
	"sync"
	"time"

	"banyanspring/core/evid"
	"banyanspring/core/posn"
)

// groupState is what the engine knows of one database group. It is safe for
// concurrent use.
type groupState struct {
	name string

	mu sync.Mutex
	// members is replaced and never changed in place.
	members []*upstream
	claims  map[string]claim
	track   evid.Track
	// changed is closed and replaced when a leader is found or the members
	// change.
	changed chan struct{}
	// leader is the member that provably led last; nil if none is known.
	leader *upstream
	// readAt is when a read last needed evidence.
	readAt time.Time
	// crowded counts the reads refused since crowdedAt: the leader had no time
	// for them and the replicas were behind.
	crowded   int
	crowdedAt time.Time
	// replicaAt is when a replica last served a read.
	replicaAt time.Time
	// seeking is true while the members are asked who leads.
	seeking bool
}

// claim is what speaks for and against a member leading.
type claim struct {
	// claimedAt is when the member began to say that it leads; zero if it does
	// not.
	claimedAt time.Time
	// provenAt is when it last provably led.
	provenAt time.Time
	// deniedAt is when it last refused for not leading.
	deniedAt time.Time
}

func newGroupState(name string) *groupState {
	return &groupState{name: name, claims: make(map[string]claim), changed: make(chan struct{})}
}

// wake tells those who wait that something changed; mu is held.
func (gr *groupState) wake() {
	close(gr.changed)
	gr.changed = make(chan struct{})
}

// setMembers replaces the members.
func (gr *groupState) setMembers(members []*upstream, now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.members = members
	claims := make(map[string]claim, len(members))
	for _, up := range members {
		cl := gr.claims[up.id()]
		switch {
		case !up.info.Load().ClaimsLead:
			cl.claimedAt = time.Time{}
		case cl.claimedAt.IsZero():
			cl.claimedAt = now
		}
		claims[up.id()] = cl
	}
	gr.claims = claims
	old := gr.leader
	gr.leader = gr.judge()
	if old != gr.leader {
		gr.wake()
	}
}

// judge returns the member that most likely leads; mu is held. The latest word
// counts: proof, claim or refusal.
func (gr *groupState) judge() *upstream {
	var best *upstream
	var bestAt time.Time
	for _, up := range gr.members {
		cl := gr.claims[up.id()]
		at := cl.claimedAt
		if cl.provenAt.After(at) {
			at = cl.provenAt
		}
		if at.IsZero() || !cl.deniedAt.Before(at) {
			continue
		}
		if best == nil || at.After(bestAt) {
			best, bestAt = up, at
		}
	}
	return best
}

// Leader returns the member that most likely leads, or nil, and a channel that
// is closed when that changes.
func (gr *groupState) currentLeader() (*upstream, <-chan struct{}) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.leader, gr.changed
}

// all returns the members.
func (gr *groupState) all() []*upstream {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.members
}

// proved notes that the member led after the question was sent, with its log
// at the position.
func (gr *groupState) proved(up *upstream, asked time.Time, po posn.Position) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	cl, ok := gr.claims[up.id()]
	if !ok {
		return
	}
	if asked.After(cl.provenAt) {
		cl.provenAt = asked
		gr.claims[up.id()] = cl
	}
	gr.track.Add(evid.Sample{Asked: asked, Position: po})
	if gr.leader == up {
		return
	}
	gr.leader = gr.judge()
	if gr.leader == up {
		gr.wake()
	}
}

// denied notes that the member refused for not leading.
func (gr *groupState) denied(up *upstream, now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	cl := gr.claims[up.id()]
	cl.deniedAt = now
	gr.claims[up.id()] = cl
	old := gr.leader
	gr.leader = gr.judge()
	if gr.leader != old {
		gr.wake()
	}
}

// floor returns the position that data no older than maxAge includes, and false
// if there is no evidence.
func (gr *groupState) floor(now time.Time, maxAge time.Duration) (posn.Position, bool) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.readAt = now
	return gr.track.Floor(now, maxAge)
}

// addSample takes evidence that a peer gathered.
func (gr *groupState) addSample(sa evid.Sample) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.track.Add(sa)
}

// crowdMemory is for how long refused reads count.
const crowdMemory = 2 * time.Second

// noteCrowd notes a read that found the replicas behind and the leader full.
func (gr *groupState) noteCrowd(now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if now.Sub(gr.crowdedAt) > crowdMemory {
		gr.crowded, gr.crowdedAt = 0, now
	}
	gr.crowded++
}

// noteReplica notes that a replica served a read.
func (gr *groupState) noteReplica(now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.replicaAt = now
}

// heardOf takes a peer's proof that a member leads.
func (gr *groupState) heardOf(id string, provenAt time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	cl, ok := gr.claims[id]
	if !ok || !provenAt.After(cl.provenAt) {
		return
	}
	cl.provenAt = provenAt
	gr.claims[id] = cl
	old := gr.leader
	gr.leader = gr.judge()
	if gr.leader != old {
		gr.wake()
	}
}

// opinion returns what is known of the leader.
func (gr *groupState) opinion(now time.Time) Opinion {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	op := Opinion{Group: gr.name}
	op.Sample, _ = gr.track.Newest()
	if gr.leader == nil {
		return op
	}
	op.Leader = gr.leader.id()
	op.ProvenAt = gr.claims[op.Leader].provenAt
	op.StalledWrites = gr.leader.stalledLately(now)
	op.ReplicaAt = gr.replicaAt
	if now.Sub(gr.crowdedAt) <= crowdMemory {
		op.CrowdedReads = gr.crowded
	}
	if at := gr.leader.wroteAt.Load(); at != 0 {
		op.WroteAt = time.Unix(0, at)
	}
	if since := gr.leader.unreachedSince.Load(); since != 0 {
		op.UnreachedSince = time.Unix(0, since)
	}
	return op
}

// needsSample reports whether reads of late will want newer evidence.
func (gr *groupState) needsSample(now time.Time, age time.Duration) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if now.Sub(gr.readAt) > sampleWhileRead {
		return false
	}
	sa, ok := gr.track.Newest()
	return !ok || now.Sub(sa.Asked) >= age
}

// beginSeek reports whether the caller is to ask the members who leads.
func (gr *groupState) beginSeek() bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.seeking {
		return false
	}
	gr.seeking = true
	return true
}

func (gr *groupState) endSeek() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.seeking = false
}
