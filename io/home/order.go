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

// Statements by which a home sends orders to its upstream.
const (
	promoteQuery = "SELECT promoted FROM platform_promote(%d, %s, %d, %s)"
	followQuery  = "SELECT following FROM platform_follow(%d, %s, %s)"
)

// orderTimeout bounds one order to an upstream.
const orderTimeout = 2 * time.Second

// isLeaving reports whether the platform marks the upstream as leaving and it
// is not the primary.
func (up *Upstream) isLeaving() bool {
	gr, ok := up.currentGroup()
	if !ok {
		return false
	}
	mem, ok := gr.GetMemberByName(up.member.Name)
	return ok && mem.Leaving && gr.Primary != mem.Name
}

// Probe queries an upstream and returns its term, newest log entry, role and last
// contact with its primary as a promo.Report, and its log position.
func (ma *Manager) Probe(ctx context.Context, group, name string) (promo.Report, posn.Position, error) {
	up, err := ma.upstream(group, name)
	if err != nil {
		return promo.Report{}, posn.Position{}, err
	}
	got, _, err := up.reportQuery.Do(ctx)
	if err != nil {
		return promo.Report{}, posn.Position{}, err
	}
	return promo.Report{
		Term:     got.position.Term,
		Entry:    got.lastEntry,
		Primary:  got.primary,
		Received: got.lastContact,
	}, got.position, nil
}

// Promote orders an upstream to become the primary of newTerm, provided that it is
// still in expectedTerm.
func (ma *Manager) Promote(ctx context.Context, group, name string, expectedTerm, newTerm posn.Term) error {
	query := fmt.Sprintf(promoteQuery, expectedTerm.Number, quoteLiteral(expectedTerm.Primary), newTerm.Number, quoteLiteral(newTerm.Primary))
	return ma.order(ctx, group, name, query)
}

// Follow orders an upstream to replicate from the leader of a higher term.
func (ma *Manager) Follow(ctx context.Context, group, name string, term posn.Term, leader store.Member) error {
	query := fmt.Sprintf(followQuery, term.Number, quoteLiteral(term.Primary), quoteLiteral(leader.Control))
	return ma.order(ctx, group, name, query)
}

// order runs an order on a separate connection, so that it does not wait for a
// query on the control connection. The result row is ignored: an upstream answers
// an order that it refuses with an error.
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
	if _, _, err := co.queryRows(query); err != nil {
		return codes.Refuse(codes.OrderRefused, "%s: %v", name, err)
	}
	event.Log(ma.log, event.OrderCarriedOut, "upstream", name, "order", query)
	// The query records the upstream's new term and role.
	_, _, err = up.reportQuery.Do(ctx)
	return err
}

const (
	// quiesceTimeout bounds the wait for work in flight in a planned change of
	// primary.
	quiesceTimeout = 2 * time.Second
	// quiescePollInterval is the pause between two checks for work in flight.
	quiescePollInterval = time.Millisecond
)

// Quiesce makes this home refuse new work for a primary, and returns the primary's
// position once no work sent through this home is in flight. The returned function
// makes the home accept work again.
func (ma *Manager) Quiesce(ctx context.Context, group, name string) (posn.Position, func(), error) {
	up, err := ma.upstream(group, name)
	if err != nil {
		return posn.Position{}, nil, err
	}
	if !up.handingOver.CompareAndSwap(false, true) {
		return posn.Position{}, nil, codes.Refuse(codes.OrderRefused, "%s hands over already", name)
	}
	resume := func() { up.handingOver.Store(false) }
	deadline := ma.now().Add(quiesceTimeout)
	for up.primaryInFlight.Load() > 0 {
		if !ma.now().Before(deadline) || !delay.Pause(ctx, quiescePollInterval) {
			resume()
			return posn.Position{}, nil, codes.Refuse(codes.OrderRefused, "%d transactions are still open at %s", up.primaryInFlight.Load(), name)
		}
	}
	got, _, err := up.reportQuery.Do(ctx)
	if err != nil || !got.primary {
		resume()
		return posn.Position{}, nil, codes.Refuse(codes.NotPrimary, "%s: %v", name, err)
	}
	return got.position, resume, nil
}
