package pool

import (
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/posn"
	"banyanspring/core/stmt"
)

// Report is what an upstream says of itself.
type Report struct {
	// Leads is true if the upstream takes itself for the leader.
	Leads bool
	// Term is the newest term that it knows.
	Term uint64
	// Received is how far it has received the log; it may have applied less.
	Received posn.Position
	// Frozen is the term for which it has stopped receiving; 0 if it receives.
	Frozen uint64
	// Lag is the upstream's own opinion of how far behind it is.
	Lag time.Duration
}

// Control translates the orders that a change of leader needs.
type Control struct {
	// AppendStatus asks for a report.
	AppendStatus func(buf []byte) []byte
	// AppendFreeze stops a replica from receiving, for the sake of a change to
	// the term.
	AppendFreeze func(buf []byte, term uint64) []byte
	// AppendUnfreeze lets a replica receive again.
	AppendUnfreeze func(buf []byte) []byte
	// ParseReport reads the answer to any of the orders.
	ParseReport func(res stmt.Result) (Report, error)
}

// Status asks the upstream for a report.
func (co *Conn) Status(deadline time.Time) (Report, error) {
	return co.order(co.pool.seams.AppendStatus(co.buf[:0]), deadline)
}

// Freeze stops a replica from receiving.
func (co *Conn) Freeze(term uint64, deadline time.Time) (Report, error) {
	return co.order(co.pool.seams.AppendFreeze(co.buf[:0], term), deadline)
}

// Unfreeze lets a replica receive again.
func (co *Conn) Unfreeze(deadline time.Time) (Report, error) {
	return co.order(co.pool.seams.AppendUnfreeze(co.buf[:0]), deadline)
}

func (co *Conn) order(buf []byte, deadline time.Time) (Report, error) {
	co.buf = buf
	results, err := co.exchange(1, deadline)
	if err != nil {
		return Report{}, err
	}
	if results[0].Code != codes.OK {
		return Report{}, codes.Refuse(results[0].Code, "%s", results[0].Detail)
	}
	return co.pool.seams.ParseReport(results[0])
}
