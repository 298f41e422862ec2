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

// confirmer waits for a majority on behalf of a primary's home.
type confirmer struct {
	up *Upstream

	mu      sync.Mutex
	tracker *confm.Tracker
	nextID  uint64
	waiting map[uint64]chan confm.Outcome
	// following holds the members that a goroutine asks for positions.
	following map[string]bool
	done      context.Context
	stop      context.CancelFunc
}

func newConfirmer(up *Upstream, tr *confm.Tracker) *confirmer {
	done, stop := context.WithCancel(context.Background())
	return &confirmer{
		up:        up,
		tracker:   tr,
		waiting:   make(map[uint64]chan confm.Outcome),
		following: make(map[string]bool),
		done:      done,
		stop:      stop,
	}
}

func (cf *confirmer) close() { cf.stop() }

// report notes a member's position and settles the writes that it decides.
func (cf *confirmer) report(member string, at posn.Position) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	for _, dec := range cf.tracker.Report(member, at) {
		cf.waiting[dec.ID] <- dec.Outcome
		delete(cf.waiting, dec.ID)
	}
}

// await returns nil once a majority holds the position in its own term. The
// error is a refusal with an unknown outcome.
func (cf *confirmer) await(ctx context.Context, at posn.Position, deadline time.Time) error {
	cf.report(cf.up.member.Name, at)
	out, id, settled := cf.add(at)
	if out == confm.Waiting {
		cf.follow()
		out = cf.wait(ctx, id, settled, deadline)
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

// holders counts the members that reported the position in its own term.
func (cf *confirmer) holders(at posn.Position) int {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	count := 0
	for _, name := range cf.up.members {
		got := cf.tracker.Reported(name)
		// A member that has moved up since has reported it before.
		if got.Compare(at) >= 0 {
			count++
		}
	}
	return count
}

// highest returns the highest term that any member reported.
func (cf *confirmer) highest() posn.Term {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.tracker.Highest()
}

func (cf *confirmer) add(at posn.Position) (confm.Outcome, uint64, chan confm.Outcome) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	cf.nextID++
	out := cf.tracker.Await(cf.nextID, at)
	if out != confm.Waiting {
		return out, 0, nil
	}
	settled := make(chan confm.Outcome, 1)
	cf.waiting[cf.nextID] = settled
	return out, cf.nextID, settled
}

func (cf *confirmer) wait(ctx context.Context, id uint64, settled chan confm.Outcome, deadline time.Time) confm.Outcome {
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

// follow makes sure that every other member that lacks a write is asked.
func (cf *confirmer) follow() {
	gr, ok := cf.up.view()
	if !ok {
		return
	}
	cf.mu.Lock()
	defer cf.mu.Unlock()
	for _, mem := range gr.Members {
		if mem.Name == cf.up.member.Name || cf.following[mem.Name] {
			continue
		}
		if _, lacks := cf.tracker.Lacking(mem.Name); !lacks {
			continue
		}
		cf.following[mem.Name] = true
		go cf.ask(gr, mem)
	}
}

const (
	// askWait bounds one question to a member's home.
	askWait = 500 * time.Millisecond
	// askRetry is the pause after a question that failed.
	askRetry = 50 * time.Millisecond
)

// ask keeps asking a member's home until the member lacks nothing.
func (cf *confirmer) ask(gr store.Group, mem store.Member) {
	for cf.done.Err() == nil {
		want, lacks := cf.lacking(mem.Name)
		if !lacks {
			return
		}
		at, err := cf.up.peers.AwaitPosition(cf.done, gr, mem, want, askWait)
		if err != nil {
			delay.Pause(cf.done, askRetry)
			continue
		}
		cf.report(mem.Name, at)
	}
}

// lacking returns the lowest position that the member lacks; if there is none
// the member is no longer followed.
func (cf *confirmer) lacking(member string) (posn.Position, bool) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	want, lacks := cf.tracker.Lacking(member)
	if !lacks {
		cf.following[member] = false
	}
	return want, lacks
}

// confirmFloor returns the primary's position once a majority has said, after
// this question, that it is in the primary's term. Earlier reports do not count:
// an isolated old primary has them too.
func (up *Upstream) confirmFloor(ctx context.Context) (posn.Position, error) {
	got, _, err := up.reports.Ask(ctx)
	if err != nil {
		return posn.Position{}, err
	}
	if !got.primary {
		return posn.Position{}, codes.Refuse(codes.NotPrimary, "%s", up.member.Name)
	}
	if err := up.inService(ctx, got); err != nil {
		return posn.Position{}, err
	}
	if !up.askMajority(ctx, got.position) {
		return posn.Position{}, codes.Refuse(codes.NoMajority, "no majority is in term %d of %s", got.position.Term.Number, got.position.Term.Primary)
	}
	return got.position, nil
}

// askMajority asks all other members whether they are in the term of the
// position, and reports whether a majority is, the primary included. A member
// in the term need not have reached the offset: what was acknowledged up to it
// is on a majority already, and a read waits for the offset by itself.
func (up *Upstream) askMajority(ctx context.Context, at posn.Position) bool {
	gr, ok := up.view()
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan bool, len(gr.Members))
	for _, mem := range gr.Members {
		if mem.Name != up.member.Name {
			go func() { answers <- up.askInTerm(ctx, gr, mem, at.Term) }()
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

func (up *Upstream) askInTerm(ctx context.Context, gr store.Group, mem store.Member, te posn.Term) bool {
	got, err := up.peers.AskPosition(ctx, gr, mem)
	if err != nil {
		return false
	}
	up.confirm.report(mem.Name, got)
	return got.Term == te
}
