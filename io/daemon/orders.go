package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/posn"
	"banyanspring/io/store"
	"banyanspring/io/wire"
)

// errClaimLost is returned if the group is unknown, the store already holds this
// term or a higher one, or a failed write was read back without this attempt's
// claim.
var errClaimLost = errors.New("another attempt claimed a term")

// claimTerm writes the term to the store, conditional on the version known to
// this daemon. If the write fails, it reads the object back and recognises its
// own claim by the claim's ID, as the write may have succeeded although its answer
// was lost.
func (da *Daemon) claimTerm(ctx context.Context, gr store.Group, te posn.Term) error {
	kn, ok := da.groups.lookup(gr.Name)
	if !ok || te.Compare(kn.storedTerm) <= 0 {
		return errClaimLost
	}
	next := withTerm(kn.Group, te)
	next.Claim = uuid.NewString()
	_, err := da.store.Put(ctx, store.KindGroup, gr.Name, kn.version, next)
	if err == nil || ctx.Err() != nil {
		return err
	}
	obj, readErr := da.store.Get(ctx, store.KindGroup, gr.Name)
	if readErr != nil {
		return err
	}
	var now store.Group
	if err := json.Unmarshal(obj.Value, &now); err != nil {
		return err
	}
	if now.Claim == next.Claim {
		return nil
	}
	if offerErr := da.groups.update(obj); offerErr != nil {
		return offerErr
	}
	return errClaimLost
}

// changePrimary claims newTerm in the store, if the store answers, and orders
// the candidate to become primary in it. Safety doesn't depend on the claim: the
// candidate refuses the promotion if its own term is not the expected one.
func (da *Daemon) changePrimary(ctx context.Context, gr store.Group, candidate string, expected, newTerm posn.Term) error {
	mem, ok := gr.GetMemberByName(candidate)
	if !ok {
		return codes.Refuse(codes.OrderRefused, "%q is no member of %q", candidate, gr.Name)
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	err := da.claimTerm(claimCtx, gr, newTerm)
	cancel()
	if errors.Is(err, errClaimLost) {
		return err
	}
	if err := da.orderPromote(ctx, gr, mem, expected, newTerm); err != nil {
		return err
	}
	da.learnTerm(gr.Name, newTerm)
	for _, other := range gr.Members {
		if other.Name != candidate {
			// The orders may outlive the call, so they don't use its context.
			go func() { _ = da.orderFollow(da.background, gr, other.Name, newTerm) }()
		}
	}
	return nil
}

func (da *Daemon) orderPromote(ctx context.Context, gr store.Group, mem store.Member, expected, newTerm posn.Term) error {
	return da.sendOrder(ctx, mem, &wire.OrderRequest{
		Group:    gr.Name,
		Upstream: mem.Name,
		Expected: wire.FromPosition(posn.Position{Term: expected}),
		Claim:    wire.FromPosition(posn.Position{Term: newTerm}),
	})
}

func (da *Daemon) orderFollow(ctx context.Context, gr store.Group, name string, leading posn.Term) error {
	mem, ok := gr.GetMemberByName(name)
	if !ok {
		return codes.Refuse(codes.OrderRefused, "%q is no member of %q", name, gr.Name)
	}
	return da.sendOrder(ctx, mem, &wire.OrderRequest{
		Group:    gr.Name,
		Upstream: name,
		Claim:    wire.FromPosition(posn.Position{Term: leading}),
		Follow:   leading.Primary,
	})
}

// sendOrder sends an order to the home of the upstream.
func (da *Daemon) sendOrder(ctx context.Context, mem store.Member, rq *wire.OrderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	at := da.homeOf(mem)
	if da.isSelf(at) {
		return da.carryOutOrder(ctx, rq)
	}
	return da.client.Order(ctx, at, rq)
}

// orderTimeout limits one order, including the call to the home.
const orderTimeout = 3 * time.Second

// carryOutOrder promotes an upstream that is homed here, or makes it follow.
func (da *Daemon) carryOutOrder(ctx context.Context, rq *wire.OrderRequest) error {
	te := wire.ToPosition(rq.Claim).Term
	if rq.Follow == "" {
		err := da.homes.Promote(ctx, rq.Group, rq.Upstream, wire.ToPosition(rq.Expected).Term, te)
		if err == nil {
			da.learnTerm(rq.Group, te)
		}
		return err
	}
	gr, ok := da.groups.Get(rq.Group)
	if !ok {
		return codes.Refuse(codes.NotHome, "group %q is not known here", rq.Group)
	}
	primary, ok := gr.GetMemberByName(rq.Follow)
	if !ok {
		return codes.Refuse(codes.OrderRefused, "%q is no member of %q", rq.Follow, rq.Group)
	}
	da.learnTerm(rq.Group, te)
	return da.homes.Follow(ctx, rq.Group, rq.Upstream, te, primary)
}

// Handover runs a planned change of primary at the home of the primary, which
// may be another daemon.
func (da *Daemon) Handover(ctx context.Context, group, target string) error {
	gr, ok := da.groups.Get(group)
	if !ok {
		return codes.Refuse(codes.NotHome, "group %q is not known here", group)
	}
	mem, err := primaryOf(gr)
	if err != nil {
		return err
	}
	at := da.homeOf(mem)
	rq := &wire.HandoverRequest{Group: group, Upstream: mem.Name, Target: target}
	if da.isSelf(at) {
		return da.runHandover(ctx, rq)
	}
	return da.client.Handover(ctx, at, rq)
}

// runHandover runs at the home of the primary: it refuses new work, drains the
// work in flight, waits for the target to catch up, and changes the primary.
func (da *Daemon) runHandover(ctx context.Context, rq *wire.HandoverRequest) error {
	gr, ok := da.groups.Get(rq.Group)
	if !ok {
		return codes.Refuse(codes.NotHome, "group %q is not known here", rq.Group)
	}
	target, ok := gr.GetMemberByName(rq.Target)
	if !ok || rq.Target == gr.Primary || rq.Upstream != gr.Primary {
		return codes.Refuse(codes.OrderRefused, "%q cannot take over from %q", rq.Target, rq.Upstream)
	}
	at, resume, err := da.homes.Quiesce(ctx, rq.Group, rq.Upstream)
	if err != nil {
		return err
	}
	defer resume()
	got, err := da.awaitPosition(ctx, gr, target, at, handoverCatchUpTimeout)
	if err != nil || !got.Covers(at, false) {
		return codes.Refuse(codes.Behind, "%s did not catch up: %v", rq.Target, err)
	}
	newTerm := posn.Term{Number: at.Term.Number + 1, Primary: rq.Target}
	if err := da.changePrimary(ctx, gr, rq.Target, at.Term, newTerm); err != nil {
		return err
	}
	event.Log(da.Log, event.HandoverDone, "group", rq.Group, "primary", rq.Target, "term", newTerm.Number)
	return nil
}

// handoverCatchUpTimeout limits the wait for the target of a handover to catch
// up with the primary.
const handoverCatchUpTimeout = 2 * time.Second
