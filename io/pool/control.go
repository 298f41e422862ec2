package pool

import (
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/lease"
	"banyanspring/core/posn"
	"banyanspring/core/stmt"
)

// Report is an upstream's report of its own state.
type Report struct {
	// ClaimsLead is true if the upstream claims to be the leader.
	ClaimsLead bool
	// Term is the newest term that the upstream has seen.
	Term uint64
	// Received is the position up to which it has received the log; it may have
	// applied less.
	Received posn.Position
	// FrozenTerm is the term for which it has stopped receiving the log; 0 if it
	// receives.
	FrozenTerm uint64
	// Lag is the upstream's own estimate of its replication delay.
	Lag time.Duration
	// LedTerm is the term that the upstream claimed to lead immediately before it was
	// ordered to step down; 0 if it did not lead. Only StepDown sets it.
	LedTerm uint64
}

// Lease returns the report in the form that confirms a leader.
func (re Report) Lease(id string, askedAt time.Time) lease.Report {
	return lease.Report{ID: id, AskedAt: askedAt, Leads: re.ClaimsLead, Term: re.Term, IsFrozen: re.FrozenTerm > 0}
}

// Control encodes and decodes the control messages of a failover.
type Control struct {
	// AppendStatus encodes the request for a report.
	AppendStatus func(buf []byte) []byte
	// AppendFreeze encodes the order to stop receiving the log, before a leader
	// of the given term takes over.
	AppendFreeze func(buf []byte, term uint64) []byte
	// AppendUnfreeze encodes the order to receive the log again.
	AppendUnfreeze func(buf []byte) []byte
	// AppendStepDown encodes the order to a leader of a term below the given one to
	// become a replica.
	AppendStepDown func(buf []byte, term uint64) []byte
	// ParseReport decodes the answer to any of these messages.
	ParseReport func(res stmt.Result) (Report, error)
}

// Status requests a report from the upstream. A refusal is a *codes.Refusal.
func (co *Conn) Status(deadline time.Time) (Report, error) {
	return co.runControl(co.pool.deps.AppendStatus(co.buf[:0]), deadline)
}

// Freeze stops a replica from receiving the log, before a leader of the given term
// takes over, and returns its report.
func (co *Conn) Freeze(term uint64, deadline time.Time) (Report, error) {
	return co.runControl(co.pool.deps.AppendFreeze(co.buf[:0], term), deadline)
}

// Unfreeze lets a replica receive the log again and returns its report.
func (co *Conn) Unfreeze(deadline time.Time) (Report, error) {
	return co.runControl(co.pool.deps.AppendUnfreeze(co.buf[:0]), deadline)
}

// StepDown makes a leader of a lower term a replica and returns its report.
func (co *Conn) StepDown(term uint64, deadline time.Time) (Report, error) {
	before, err := co.Status(deadline)
	if err != nil {
		return Report{}, err
	}
	re, err := co.runControl(co.pool.deps.AppendStepDown(co.buf[:0], term), deadline)
	if before.ClaimsLead {
		re.LedTerm = before.Term
	}
	return re, err
}

func (co *Conn) runControl(buf []byte, deadline time.Time) (Report, error) {
	co.buf = buf
	results, err := co.exchange(1, deadline, nil)
	if err != nil {
		return Report{}, err
	}
	if results[0].Code != codes.OK {
		return Report{}, codes.Refuse(results[0].Code, "%s", results[0].Detail)
	}
	return co.pool.deps.ParseReport(results[0])
}
