package home

import (
	"context"
	"sync"
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/confm"
	"banyanspring/core/event"
	"banyanspring/core/posn"
	"banyanspring/io/delay"
	"banyanspring/io/store"
)

// confirmer waits, on behalf of the home of a primary, until a majority of the
// group's members holds a write.
type confirmer struct {
	up *Upstream

	mu      sync.Mutex
	tracker *confm.Tracker
	nextID  uint64
	waiting map[uint64]chan confm.Outcome
	// polling holds the names of the members that a pollMember goroutine polls.
	polling map[string]bool
	ctx     context.Context
	stop    context.CancelFunc
}

func newConfirmer(up *Upstream, tr *confm.Tracker) *confirmer {
	done, stop := context.WithCancel(context.Background())
	return &confirmer{
		up:      up,
		tracker: tr,
		waiting: make(map[uint64]chan confm.Outcome),
		polling: make(map[string]bool),
		ctx:     done,
		stop:    stop,
	}
}

func (cf *confirmer) close() { cf.stop() }

// recordPosition records a member's position and wakes the writes whose outcome
// it decides.
func (cf *confirmer) recordPosition(member string, at posn.Position) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	for _, dec := range cf.tracker.Report(member, at) {
		cf.waiting[dec.ID] <- dec.Outcome
		delete(cf.waiting, dec.ID)
	}
}

// awaitMajority returns nil once a majority of the members has reached the position
// while in its term. Any error is a refusal: whether the write survives is then
// unknown.
func (cf *confirmer) awaitMajority(ctx context.Context, at posn.Position, deadline time.Time) error {
	cf.recordPosition(cf.up.member.Name, at)
	out, id, settled := cf.addWaiter(at)
	if out == confm.Waiting {
		cf.pollMembers()
		out = cf.waitOutcome(ctx, id, settled, deadline)
	}
	switch out {
	case confm.Confirmed:
		return nil
	case confm.Superseded:
		return codes.Refuse(codes.Unconfirmed, "%s no longer leads", cf.up.member.Name)
	}
	event.Log(cf.up.log, event.ConfirmTimeout, "upstream", cf.up.member.Name, "position", at.String())
	return codes.Refuse(codes.Unconfirmed, "no majority reached %s in time", at)
}

// countHolders counts the members that have reported the position or a higher one.
// It is called once awaitMajority has succeeded.
func (cf *confirmer) countHolders(at posn.Position) int {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	count := 0
	for _, name := range cf.up.memberNames {
		got := cf.tracker.Reported(name)
		// A member that is in a higher term by now counts, because it reported
		// this position before it joined that term.
		if got.Compare(at) >= 0 {
			count++
		}
	}
	return count
}

// highestTerm returns the highest term that any member has reported.
func (cf *confirmer) highestTerm() posn.Term {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.tracker.HighestTerm()
}

func (cf *confirmer) addWaiter(at posn.Position) (confm.Outcome, uint64, chan confm.Outcome) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	cf.nextID++
	out := cf.tracker.Register(cf.nextID, at)
	if out != confm.Waiting {
		return out, 0, nil
	}
	settled := make(chan confm.Outcome, 1)
	cf.waiting[cf.nextID] = settled
	return out, cf.nextID, settled
}

func (cf *confirmer) waitOutcome(ctx context.Context, id uint64, settled chan confm.Outcome, deadline time.Time) confm.Outcome {
	timer := time.NewTimer(deadline.Sub(cf.up.now()))
	defer timer.Stop()
	select {
	case out := <-settled:
		return out
	case <-ctx.Done():
	case <-timer.C:
	}
	cf.mu.Lock()
	defer cf.mu.Unlock()
	cf.tracker.Forget(id)
	delete(cf.waiting, id)
	select {
	case out := <-settled:
		return out
	default:
		return confm.Waiting
	}
}

// pollMembers starts polling every other member that has not yet reported all
// waiting writes.
func (cf *confirmer) pollMembers() {
	gr, ok := cf.up.currentGroup()
	if !ok {
		return
	}
	cf.mu.Lock()
	defer cf.mu.Unlock()
	for _, mem := range gr.Members {
		if mem.Name == cf.up.member.Name || cf.polling[mem.Name] {
			continue
		}
		if _, lacks := cf.tracker.LowestMissing(mem.Name); !lacks {
			continue
		}
		cf.polling[mem.Name] = true
		go cf.pollMember(gr, mem)
	}
}

const (
	// pollWait bounds one AwaitPosition request to a member's home.
	pollWait = 500 * time.Millisecond
	// pollRetryPause is the pause after a failed request.
	pollRetryPause = 50 * time.Millisecond
)

// pollMember requests a member's position from its home until the member has
// reported all waiting writes.
func (cf *confirmer) pollMember(gr store.Group, mem store.Member) {
	for cf.ctx.Err() == nil {
		want, lacks := cf.lowestMissing(mem.Name)
		if !lacks {
			return
		}
		at, err := cf.up.peers.AwaitPosition(cf.ctx, gr, mem, want, pollWait)
		if err != nil {
			delay.Pause(cf.ctx, pollRetryPause)
			continue
		}
		cf.recordPosition(mem.Name, at)
	}
}

// lowestMissing returns the lowest waiting position that the member has not
// reported. If there is none, it returns false and marks the member as no
// longer polled.
func (cf *confirmer) lowestMissing(member string) (posn.Position, bool) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	want, lacks := cf.tracker.LowestMissing(member)
	if !lacks {
		cf.polling[member] = false
	}
	return want, lacks
}

// confirmFloor returns the primary's position after a majority has answered, to
// requests sent after this call, that it is in the primary's term. Earlier
// reports do not count, because a former primary that is cut off from its group
// has them too.
func (up *Upstream) confirmFloor(ctx context.Context) (posn.Position, error) {
	got, _, err := up.reportQuery.Do(ctx)
	if err != nil {
		return posn.Position{}, err
	}
	if !got.primary {
		return posn.Position{}, codes.Refuse(codes.NotPrimary, "%s", up.member.Name)
	}
	if err := up.awaitInService(ctx, got); err != nil {
		return posn.Position{}, err
	}
	if !up.hasMajorityInTerm(ctx, got.position) {
		return posn.Position{}, codes.Refuse(codes.NoMajority, "no majority is in term %d of %s", got.position.Term.Number, got.position.Term.Primary)
	}
	return got.position, nil
}

// hasMajorityInTerm asks all other members for their term and reports whether a
// majority, the primary included, is in the term of the position. A member need
// not have reached the offset: acknowledged writes up to it are on a majority
// already, and a read waits for the offset itself.
func (up *Upstream) hasMajorityInTerm(ctx context.Context, at posn.Position) bool {
	gr, ok := up.currentGroup()
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan bool, len(gr.Members))
	for _, mem := range gr.Members {
		if mem.Name != up.member.Name {
			go func() { answers <- up.isInTerm(ctx, gr, mem, at.Term) }()
		}
	}
	inTerm := 1
	for range len(gr.Members) - 1 {
		if inTerm >= len(gr.Members)/2+1 {
			return true
		}
		if <-answers {
			inTerm++
		}
	}
	return inTerm >= len(gr.Members)/2+1
}

func (up *Upstream) isInTerm(ctx context.Context, gr store.Group, mem store.Member, te posn.Term) bool {
	got, err := up.peers.AskPosition(ctx, gr, mem)
	if err != nil {
		return false
	}
	up.confirm.recordPosition(mem.Name, got)
	return got.Term == te
}
