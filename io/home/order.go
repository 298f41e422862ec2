package home

import (
	"context"
	"fmt"
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/posn"
	"banyanspring/core/promo"
	"banyanspring/io/delay"
	"banyanspring/io/store"
)

// Statements by which a home passes orders on to its upstream.
const (
	promoteQuery = "SELECT promoted FROM platform_promote(%d, %s, %d, %s)"
	followQuery  = "SELECT following FROM platform_follow(%d, %s, %s)"
)

// orderTimeout bounds one order to an upstream.
const orderTimeout = 2 * time.Second

// isLeaving reports whether the platform says that the upstream leaves.
func (up *Upstream) isLeaving() bool {
	gr, ok := up.view()
	if !ok {
		return false
	}
	mem, ok := gr.GetMemberByName(up.member.Name)
	return ok && mem.Leaving && gr.Primary != mem.Name
}

// Probe returns what an upstream says of itself.
func (ma *Manager) Probe(ctx context.Context, group, name string) (promo.Report, posn.Position, error) {
	up, err := ma.upstream(group, name)
	if err != nil {
		return promo.Report{}, posn.Position{}, err
	}
	got, _, err := up.reports.Ask(ctx)
	if err != nil {
		return promo.Report{}, posn.Position{}, err
	}
	return promo.Report{
		Term:     got.position.Term,
		Entry:    got.entry,
		Primary:  got.primary,
		Received: got.received,
	}, got.position, nil
}

// Promote orders an upstream to lead a term, if it is still in the term
// expected.
func (ma *Manager) Promote(ctx context.Context, group, name string, expected, claim posn.Term) error {
	query := fmt.Sprintf(promoteQuery, expected.Number, quote(expected.Primary), claim.Number, quote(claim.Primary))
	return ma.order(ctx, group, name, query)
}

// Follow orders an upstream to follow the leader of a higher term.
func (ma *Manager) Follow(ctx context.Context, group, name string, leading posn.Term, leader store.Member) error {
	query := fmt.Sprintf(followQuery, leading.Number, quote(leading.Primary), quote(leader.Control))
	return ma.order(ctx, group, name, query)
}

// order runs an order on a connection of its own, so that it does not wait
// behind a question.
func (ma *Manager) order(ctx context.Context, group, name, query string) error {
	up, err := ma.upstream(group, name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	co, err := up.dialer.open(ctx)
	if err != nil {
		return err
	}
	defer co.close()
	deadline, _ := ctx.Deadline()
	_ = co.net.SetDeadline(deadline)
	if _, _, err := co.rowsOf(query); err != nil {
		return codes.Refuse(codes.OrderRefused, "%s: %v", name, err)
	}
	event.Log(ma.log, event.OrderCarriedOut, "upstream", name, "order", query)
	_, _, err = up.reports.Ask(ctx)
	return err
}

const (
	// drainLimit bounds the wait for the work in hand in a planned change.
	drainLimit = 2 * time.Second
	// drainPoll is the pause between two looks at the work in hand.
	drainPoll = time.Millisecond
)

// Quiesce stops new work at a primary and returns its position once the work
// in hand has ended. The function returned takes new work again.
func (ma *Manager) Quiesce(ctx context.Context, group, name string) (posn.Position, func(), error) {
	up, err := ma.upstream(group, name)
	if err != nil {
		return posn.Position{}, nil, err
	}
	if !up.handing.CompareAndSwap(false, true) {
		return posn.Position{}, nil, codes.Refuse(codes.OrderRefused, "%s hands over already", name)
	}
	resume := func() { up.handing.Store(false) }
	deadline := ma.now().Add(drainLimit)
	for up.leading.Load() > 0 {
		if !ma.now().Before(deadline) || !delay.Pause(ctx, drainPoll) {
			resume()
			return posn.Position{}, nil, codes.Refuse(codes.OrderRefused, "%d transactions are still open at %s", up.leading.Load(), name)
		}
	}
	got, _, err := up.reports.Ask(ctx)
	if err != nil || !got.primary {
		resume()
		return posn.Position{}, nil, codes.Refuse(codes.NotPrimary, "%s: %v", name, err)
	}
	return got.position, resume, nil
}
