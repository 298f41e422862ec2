package member

import (
	"fmt"
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/elect"
	"banyanspring/core/event"
	"banyanspring/core/group"
	"banyanspring/core/posn"
	"banyanspring/io/engine"
)

// known holds the highest positions that this member knows to have been received by upstreams, or
// reported as a success, by any member. It is safe for concurrent use.
type known struct {
	self string

	mu    sync.Mutex
	known *elect.Known
	// reportAt is when the next query holds positions that were reported as a success.
	reportAt time.Time
}

func newKnown(self string) *known { return &known{self: self, known: elect.NewKnown()} }

// recordReports records what replicas have reported as received in the newest term. A leader's log, or
// that of one that has stopped, may go on beyond what any replica has received, and entries of earlier
// terms may be truncated.
func (kn *known) recordReports(ups []group.Upstream, results map[string]orderResult, stopped string, now time.Time) {
	kn.mu.Lock()
	defer kn.mu.Unlock()
	for _, up := range ups {
		res, ok := results[up.ID]
		re := res.report
		if !ok || res.err != nil || re.ClaimsLead || up.ID == stopped || re.Received.Term.Number != re.Term {
			continue
		}
		by := kn.self
		if res.via != "" {
			by = res.via
		}
		kn.known.Add(up.Group, elect.Holding{
			Upstream: up.ID, Incarnation: up.Incarnation, Term: re.Term, At: re.Received, SeenBy: by, SeenAt: now,
		})
	}
}

// recordSuccesses records the positions up to which this member has reported successes.
func (kn *known) recordSuccesses(ops []engine.Opinion) {
	kn.mu.Lock()
	defer kn.mu.Unlock()
	for _, op := range ops {
		if op.Reported.IsZero() {
			continue
		}
		kn.known.Add(op.Group, elect.Holding{
			Term: op.Reported.Term.Number, At: op.Reported, SeenBy: kn.self, SeenAt: op.ReportedAt,
		})
	}
}

func (kn *known) ofGroup(name string) []elect.Holding {
	kn.mu.Lock()
	defer kn.mu.Unlock()
	return kn.known.OfGroup(name)
}

func (kn *known) forget(now time.Time) {
	kn.mu.Lock()
	defer kn.mu.Unlock()
	kn.known.Forget(now)
}

const (
	// maxHoldings bounds the positions in an exchange, and maxGroupHoldings those of one group in the
	// answer to a suspension.
	maxHoldings      = 8
	maxGroupHoldings = 16
	// shareSeen is how long after it was seen a position received by a replica is part of exchanges, and
	// shareReported how long one reported as a success is. Only groups with a change of leader have the
	// former, and only those with recent writes the latter.
	shareSeen     = time.Minute
	shareReported = 5 * time.Second
	// maxReported bounds the latter in a query, and reportInterval is the time between two queries with
	// them: at most 0.5 KB/s of a member. Answers to suspensions have those of their group.
	maxReported    = 4
	reportInterval = time.Second
	// maxNameBytes bounds the names in a wireHolding.
	maxNameBytes = 256
)

// wireHolding is an elect.Holding on the wire between members.
type wireHolding struct {
	Group string `json:"group"`
	// ID and Born are those of the upstream; empty and 0 for an acknowledged position.
	ID   string `json:"id,omitempty"`
	Born int64  `json:"born,omitempty"`
	// Known is the term in which the position was seen, Term and Offset are the position.
	Known  uint64 `json:"known"`
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
	By     string `json:"by"`
	// AgeMs is how long ago it was seen.
	AgeMs int64 `json:"age"`
}

func (wh wireHolding) check() error {
	if wh.Group == "" || max(len(wh.Group), len(wh.ID), len(wh.By)) > maxNameBytes {
		return errors.Newf("position known in a group with a name of %d bytes", len(wh.Group))
	}
	if wh.Term > wh.Known {
		return errors.Newf("position of term %d known in term %d", wh.Term, wh.Known)
	}
	return checkAges(wh.AgeMs)
}

func checkHoldings(holdings []wireHolding, limit int) error {
	if len(holdings) > limit {
		return errors.Newf("%d known positions in a message", len(holdings))
	}
	for _, wh := range holdings {
		if err := wh.check(); err != nil {
			return err
		}
	}
	return nil
}

func newWireHolding(name string, ho elect.Holding, now time.Time) wireHolding {
	return wireHolding{
		Group: name, ID: ho.Upstream, Born: ho.Incarnation, Known: ho.Term, Term: ho.At.Term.Number, Offset: ho.At.Offset,
		By: ho.SeenBy, AgeMs: ageMs(ho.SeenAt, now),
	}
}

// toSend returns the positions that replicas were seen to have received, for an exchange.
func (kn *known) toSend(now time.Time) []wireHolding {
	kn.mu.Lock()
	defer kn.mu.Unlock()
	return recentHoldings(kn.known.Seen(), shareSeen, maxHoldings, now)
}

// toReport returns what toSend does and, once in reportInterval, positions that were reported as a
// success, for a query. If there are more than maxReported, successive calls return different ones.
func (kn *known) toReport(now time.Time) []wireHolding {
	out := kn.toSend(now)
	kn.mu.Lock()
	defer kn.mu.Unlock()
	if now.Before(kn.reportAt) {
		return out
	}
	kn.reportAt = now.Add(reportInterval)
	limit := min(maxReported, maxHoldings-len(out))
	return append(out, recentHoldings(kn.known.Acknowledged(), shareReported, limit, now)...)
}

// recentHoldings returns up to limit of the positions that were seen within maxAge.
func recentHoldings(all iter.Seq2[string, elect.Holding], maxAge time.Duration, limit int, now time.Time) []wireHolding {
	var out []wireHolding
	for name, ho := range all {
		if len(out) >= limit {
			break
		}
		if now.Sub(ho.SeenAt) <= maxAge {
			out = append(out, newWireHolding(name, ho, now))
		}
	}
	return out
}

// groupToSend returns the known positions of one group.
func (kn *known) groupToSend(name string, now time.Time) []wireHolding {
	var out []wireHolding
	for _, ho := range kn.ofGroup(name) {
		if len(out) < maxGroupHoldings {
			out = append(out, newWireHolding(name, ho, now))
		}
	}
	return out
}

// adopt records what another member knew at the time of sending or earlier.
func (kn *known) adopt(sent []wireHolding, at time.Time) {
	kn.mu.Lock()
	defer kn.mu.Unlock()
	for _, wh := range sent {
		if millis(wh.AgeMs) > elect.KnownFor {
			continue
		}
		kn.known.Adopt(wh.Group, elect.Holding{
			Upstream: wh.ID, Incarnation: wh.Born, Term: wh.Known, SeenBy: wh.By, SeenAt: at.Add(-millis(wh.AgeMs)),
			At: posn.Position{Term: posn.Term{Number: wh.Term}, Offset: wh.Offset},
		})
	}
}

// knownOf returns the known positions of a group, this member's own up to now included.
func (me *Member) knownOf(name string) []elect.Holding {
	me.recordSuccesses(name)
	return me.known.ofGroup(name)
}

// recordSuccesses records the position up to which this member has reported successes in the group.
func (me *Member) recordSuccesses(name string) {
	ops := me.engine.Opinions()
	me.known.recordSuccesses(slices.DeleteFunc(ops, func(op engine.Opinion) bool { return op.Group != name }))
}

// recordReports records the positions that upstreams have reported as received.
func (mo *monitor) recordReports(ups []group.Upstream, results map[string]orderResult, now time.Time) {
	stopped, _ := mo.me.permits.stopped(mo.name)
	mo.me.known.recordReports(ups, results, stopped.id, now)
}

func formatPosition(po posn.Position) string { return fmt.Sprintf("%d.%d", po.Term.Number, po.Offset) }

// logKnown logs that a candidate is appointed as the last resort or below a known position, or that
// none is because of one.
func (mo *monitor) logKnown(id event.ID, st elect.Change, candidate elect.Replica) {
	args := []any{"group", mo.name, "term", st.Term, "candidate", candidate.ID, "received", formatPosition(candidate.Received), "silent", st.Silent()}
	if ho, mayReturn, ok := st.KnownAbove(candidate.Received); ok {
		args = append(args, "known", formatPosition(ho.At), "upstream", ho.Upstream, "seen_by", ho.SeenBy,
			"seen_ms", ageMs(ho.SeenAt, st.Now), "may_return", mayReturn)
	}
	for _, op := range mo.me.engine.Opinions() {
		if op.Group == mo.name && !op.Sample.Asked.IsZero() {
			args = append(args, "leader_had", formatPosition(op.Sample.Position), "sampled_ms", ageMs(op.Sample.Asked, st.Now))
		}
	}
	event.Log(mo.me.log, id, args...)
}
