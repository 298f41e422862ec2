package home

import (
	"testing"

	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/posn"
)

// broken reports a failed invariant: the request is refused, the event logged
// and counted; in tests the run stops.
func (up *Upstream) broken(what string, args ...any) error {
	ref := codes.Refuse(codes.InvariantBroken, what, args...)
	event.Log(up.log, event.InvariantFailed, "upstream", up.member.Name, "what", ref.Detail)
	up.violations.Add(1)
	if testing.Testing() {
		panic(ref.Error())
	}
	return ref
}

// begin marks the connection as in use by one request; two are a broken
// invariant.
func (up *Upstream) begin(co *conn) error {
	if !co.busy.CompareAndSwap(false, true) {
		co.doubt = true
		return up.broken("two requests on connection %d", co.pid)
	}
	return nil
}

// checkTerm holds a report against the last one over the same connection.
func (up *Upstream) checkTerm(old *report, next posn.Term) error {
	if old != nil && next.Compare(old.position.Term) < 0 {
		return up.broken("term fell from %d to %d", old.position.Term.Number, next.Number)
	}
	return nil
}

// checkAcknowledged holds an acknowledgement against what the members reported.
func (up *Upstream) checkAcknowledged(at posn.Position) error {
	if up.confirm.holders(at) < len(up.members)/2+1 {
		return up.broken("acknowledged %s without a majority", at)
	}
	return nil
}
