package home

import (
	"testing"

	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/posn"
)

// failInvariant logs and counts a violated invariant and returns a refusal. In
// tests it panics.
func (up *Upstream) failInvariant(format string, args ...any) error {
	ref := codes.Refuse(codes.InvariantBroken, format, args...)
	event.Log(up.log, event.InvariantFailed, "upstream", up.member.Name, "what", ref.Detail)
	up.violations.Add(1)
	if testing.Testing() {
		panic(ref.Error())
	}
	return ref
}

// markBusy marks the connection as in use by one request. Two requests at once
// violate an invariant.
func (up *Upstream) markBusy(co *conn) error {
	if !co.busy.CompareAndSwap(false, true) {
		co.inDoubt = true
		return up.failInvariant("two requests on connection %d", co.pid)
	}
	return nil
}

// checkTermMonotonic checks that the term is not lower than in the last report
// over the same connection.
func (up *Upstream) checkTermMonotonic(old *positionReport, next posn.Term) error {
	if old != nil && next.Compare(old.position.Term) < 0 {
		return up.failInvariant("term fell from %d to %d", old.position.Term.Number, next.Number)
	}
	return nil
}

// checkAcknowledged checks that a majority of the members has reported the
// position of an acknowledged write.
func (up *Upstream) checkAcknowledged(at posn.Position) error {
	if up.confirm.countHolders(at) < len(up.memberNames)/2+1 {
		return up.failInvariant("acknowledged %s without a majority", at)
	}
	return nil
}
