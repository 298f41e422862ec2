package member

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/outly"
	"banyanspring/io/engine"
)

const (
	// maxReads bounds the records in an exchange, and readsInterval is the time between two
	// messages with records to the same member.
	maxReads      = 12
	readsInterval = 500 * time.Millisecond
	// maxReadsAge is how old a record may be: the way from a member through two others to a fourth
	// takes up to three times readsInterval and three exchanges.
	maxReadsAge = 2500 * time.Millisecond
	// causeFor is how long after its last cause the counts of a group are sent.
	causeFor = outly.WindowLength
	// maxReadCount and maxTookUs bound the numbers on the wire, so that no sum of those of all
	// members overflows.
	maxReadCount = int64(1e9)
	maxTookUs    = int64(1e12)
	// maxReadKeyBytes bounds wireReads.ID: an ID and an incarnation.
	maxReadKeyBytes = maxNameBytes + 32
)

// wireReads holds counts of the reads at one upstream within outly.WindowLength, by one or several
// members, on the wire.
type wireReads struct {
	Group string `json:"group"`
	// ID is the upstream's ID and incarnation as in engine.GroupReads.
	ID       string `json:"id"`
	Answered int64  `json:"ok,omitempty"`
	Failed   int64  `json:"failed,omitempty"`
	TookUs   int64  `json:"us,omitempty"`
	// AgeMs is how old the oldest counts are, and CauseMs how long ago there was last a reason to
	// send counts of the group.
	AgeMs   int64 `json:"age"`
	CauseMs int64 `json:"cause"`
}

func (wr wireReads) check() error {
	if wr.Group == "" || wr.ID == "" || len(wr.Group) > maxNameBytes || len(wr.ID) > maxReadKeyBytes {
		return errors.Newf("reads at an upstream with names of %d and %d bytes", len(wr.Group), len(wr.ID))
	}
	if min(wr.Answered, wr.Failed, wr.TookUs) < 0 || max(wr.Answered, wr.Failed) > maxReadCount || wr.TookUs > maxTookUs {
		return errors.Newf("counts of reads out of range: %d answered, %d failed, %d us", wr.Answered, wr.Failed, wr.TookUs)
	}
	return checkAges(wr.AgeMs, wr.CauseMs)
}

func checkReads(reads []wireReads) error {
	if len(reads) > maxReads {
		return errors.Newf("%d counts of reads in a message", len(reads))
	}
	for _, wr := range reads {
		if err := wr.check(); err != nil {
			return err
		}
	}
	return nil
}

// readRecord holds counts of reads at one upstream.
type readRecord struct {
	counts outly.Counts
	// at is when the oldest of the counts were taken.
	at time.Time
}

func (rr readRecord) isFresh(now time.Time) bool { return now.Sub(rr.at) <= maxReadsAge }

func (rr readRecord) With(other readRecord) readRecord {
	if other.at.Before(rr.at) {
		rr.at = other.at
	}
	rr.counts = rr.counts.With(other.counts)
	return rr
}

// readSubject is an upstream of which a member sent counts. The sender is empty for this member.
type readSubject struct{ sender, id string }

// groupTally holds the counts of one group.
type groupTally struct {
	records map[readSubject]readRecord
	// causeAt is when there was last a reason to send counts of the group, here or elsewhere.
	causeAt time.Time
}

// readTally holds counts of reads in the groups in which an outlier is suspected. Each member exchanges
// them with its source and with the members of which it is the source, as sums of all it holds except those
// that came from the receiver: these exchanges form a tree, so that nothing counts twice. It is safe for
// concurrent use.
type readTally struct {
	mu     sync.Mutex
	groups map[string]groupTally
	// source is the member from which counts were last adopted as the source's.
	source string
	// sent holds the last message with counts to each member.
	sent map[string]sentReads
}

// sentReads describes a message with counts.
type sentReads struct {
	at time.Time
	// lastGroup is the last group in it; the next message continues with those after it.
	lastGroup string
}

func newReadTally() *readTally {
	return &readTally{groups: make(map[string]groupTally), sent: make(map[string]sentReads)}
}

// record stores a record; mu must be held.
func (ta *readTally) record(group string, rs readSubject, rr readRecord, causeAt time.Time) {
	gt, ok := ta.groups[group]
	if !ok {
		gt.records = make(map[readSubject]readRecord)
	}
	if causeAt.After(gt.causeAt) {
		gt.causeAt = causeAt
	}
	gt.records[rs] = rr
	ta.groups[group] = gt
}

// setOwn replaces this member's own counts and drops what is too old.
func (ta *readTally) setOwn(own []engine.GroupReads, now time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for name, gt := range ta.groups {
		maps.DeleteFunc(gt.records, func(rs readSubject, rr readRecord) bool { return rs.sender == "" || !rr.isFresh(now) })
		if len(gt.records) == 0 && now.Sub(gt.causeAt) > causeFor {
			delete(ta.groups, name)
		}
	}
	for _, gr := range own {
		causeAt := time.Time{}
		if gr.IsCause {
			causeAt = now
		}
		for id, co := range gr.Counts {
			if co.Total() > 0 {
				ta.record(gr.Group, readSubject{id: id}, readRecord{counts: co, at: now}, causeAt)
			}
		}
	}
	maps.DeleteFunc(ta.sent, func(_ string, se sentReads) bool { return now.Sub(se.at) > maxReadsAge })
}

// adopt stores the counts that another member sent at the time given or earlier.
func (ta *readTally) adopt(sender string, reads []wireReads, at time.Time) {
	if sender == "" || len(reads) == 0 {
		return
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for _, wr := range reads {
		rr := readRecord{
			counts: outly.Counts{Answered: wr.Answered, Failed: wr.Failed, Took: time.Duration(wr.TookUs) * time.Microsecond},
			at:     at.Add(-millis(wr.AgeMs)),
		}
		if causeAt := at.Add(-millis(wr.CauseMs)); rr.isFresh(at) && at.Sub(causeAt) <= causeFor {
			ta.record(wr.Group, readSubject{sender: sender, id: wr.ID}, rr, causeAt)
		}
	}
}

// adoptFromSource does the same for a reply of the source. Those of an earlier source are dropped, since
// they are part of the new one's too.
func (ta *readTally) adoptFromSource(source string, reads []wireReads, at time.Time) {
	ta.mu.Lock()
	if ta.source != source {
		for _, gt := range ta.groups {
			maps.DeleteFunc(gt.records, func(rs readSubject, _ readRecord) bool { return rs.sender != "" && rs.sender == ta.source })
		}
		ta.source = source
	}
	ta.mu.Unlock()
	ta.adopt(source, reads, at)
}

// ofOthers returns the counts of other members for a group, by upstream; nil if there are none.
func (ta *readTally) ofOthers(group string, now time.Time) map[string]outly.Counts {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var out map[string]outly.Counts
	for rs, rr := range ta.groups[group].records {
		if rs.sender == "" || !rr.isFresh(now) {
			continue
		}
		if out == nil {
			out = make(map[string]outly.Counts)
		}
		out[rs.id] = out[rs.id].With(rr.counts)
	}
	return out
}

// toSend returns the counts for a message to the named member; nil if there are none or if some were sent
// within readsInterval. Groups that do not fit follow in the next messages.
func (ta *readTally) toSend(receiver string, now time.Time) []wireReads {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	last := ta.sent[receiver]
	if len(ta.groups) == 0 || now.Sub(last.at) < readsInterval {
		return nil
	}
	names := slices.Sorted(maps.Keys(ta.groups))
	if pos, isFound := slices.BinarySearch(names, last.lastGroup); pos < len(names) {
		if isFound {
			pos++
		}
		names = slices.Concat(names[pos:], names[:pos])
	}
	var out []wireReads
	for _, name := range names {
		add := ta.groups[name].toSend(name, receiver, now)
		if len(add) == 0 {
			continue
		}
		if len(out) > 0 && len(out)+len(add) > maxReads {
			break
		}
		// A group with more upstreams than maxReads is sent in part.
		out = append(out, add[:min(len(add), maxReads)]...)
		last.lastGroup = name
	}
	if out != nil {
		last.at = now
		ta.sent[receiver] = last
	}
	return out
}

// toSend returns the sums of the counts by upstream, without those that came from the receiver.
func (gt groupTally) toSend(name, receiver string, now time.Time) []wireReads {
	if now.Sub(gt.causeAt) > causeFor {
		return nil
	}
	sums := make(map[string]readRecord)
	for rs, rr := range gt.records {
		if !rr.isFresh(now) || (rs.sender != "" && rs.sender == receiver) {
			continue
		}
		sum, ok := sums[rs.id]
		if !ok {
			sums[rs.id] = rr
			continue
		}
		sums[rs.id] = sum.With(rr)
	}
	out := make([]wireReads, 0, len(sums))
	for id, rr := range sums {
		out = append(out, wireReads{
			Group: name, ID: id, AgeMs: ageMs(rr.at, now), CauseMs: ageMs(gt.causeAt, now),
			Answered: min(rr.counts.Answered, maxReadCount), Failed: min(rr.counts.Failed, maxReadCount),
			TookUs: min(rr.counts.Took.Microseconds(), maxTookUs),
		})
	}
	slices.SortFunc(out, func(left, right wireReads) int { return cmp.Compare(left.ID, right.ID) })
	return out
}

// weighReads decides on the upstreams' weights for reads.
func (me *Member) weighReads(now time.Time) {
	me.tally.setOwn(me.engine.Weigh(func(group string) map[string]outly.Counts { return me.tally.ofOthers(group, now) }), now)
}
