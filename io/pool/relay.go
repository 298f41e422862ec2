package pool

import (
	"context"
	"math"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"banyanspring/core/budget"
	"banyanspring/core/codes"
	"banyanspring/core/stmt"
)

// Relays holds this instance's links to homes and deputies, the instances through
// which it reaches upstreams. In its comments and names, home stands for both. It is
// safe for concurrent use.
type Relays struct {
	now  func() time.Time
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu sync.Mutex
	// idle holds idle links by the home's address, most recently used last.
	idle map[string][]*link
	// retryAt holds, by address, when an excluded home is next connected to: one
	// that failed or that refused a batch with NotHome. The home gets no batch until
	// an attempt to connect succeeds.
	retryAt map[string]time.Time
	// plainUntil holds, by address, until when batches are sent without Fairness: their home is of
	// a version that does not know it.
	plainUntil map[string]time.Time
	// inFlight counts the links in use by the home's address.
	inFlight map[string]int
}

const (
	// homeRetryInterval is the time between two attempts to connect to a failed
	// home. It is of the order of the shortest restart of an instance.
	homeRetryInterval = 250 * time.Millisecond
	// notHomeBackoff is the time from a NotHome refusal to the next attempt to
	// connect to the instance. Within some seconds the instance has shut down or has
	// learned that it is a home; until then it may be excluded several times.
	notHomeBackoff = time.Second
	// plainInterval is how long a home of an earlier version gets batches without Fairness. Then
	// one batch shows whether it has been replaced meanwhile.
	plainInterval = 10 * time.Second
	// relayDialTimeout bounds the opening of a link.
	relayDialTimeout = 300 * time.Millisecond
	// maxIdleLinks bounds the idle links that are kept to one home.
	maxIdleLinks = 8
)

// NewRelays returns relays without links.
func NewRelays(now func() time.Time, dial func(ctx context.Context, address string) (net.Conn, error)) *Relays {
	return &Relays{
		now: now, dial: dial,
		idle: make(map[string][]*link), retryAt: make(map[string]time.Time), inFlight: make(map[string]int),
		plainUntil: make(map[string]time.Time),
	}
}

// ErrHomeFailed marks the failure of a home or of the link to it, which is not a
// failure of the upstream.
var ErrHomeFailed = errors.New("the home failed")

// link is a connection to a home. It carries one batch at a time.
type link struct {
	rs      *Relays
	address string
	net     net.Conn
	enc     *cbor.Encoder
	dec     *cbor.Decoder
	in      *messageReader
	usedAt  time.Time
}

// choose returns the home for the next batch: of those that are not excluded, the
// one with the fewest links in use by this instance. It reports false if there is
// none. Excluded homes whose retry is due are connected to in the background.
func (rs *Relays) choose(homes []string) (string, bool) {
	now := rs.now()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	best, found := "", false
	for _, address := range homes {
		if at, isExcluded := rs.retryAt[address]; isExcluded {
			if !now.Before(at) {
				rs.retryAt[address] = now.Add(homeRetryInterval + relayDialTimeout)
				go rs.retry(address)
			}
			continue
		}
		if !found || rs.inFlight[address] < rs.inFlight[best] {
			best, found = address, true
		}
	}
	return best, found
}

// chooseFirst returns the first home that is not excluded, like choose.
func (rs *Relays) chooseFirst(homes []string) (string, bool) {
	for _, address := range homes {
		if got, ok := rs.choose([]string{address}); ok {
			return got, true
		}
	}
	return "", false
}

// take returns an idle link to the home, or opens one.
func (rs *Relays) take(address string) (*link, error) {
	rs.mu.Lock()
	links := rs.idle[address]
	if last := len(links) - 1; last >= 0 {
		li := links[last]
		rs.idle[address] = links[:last]
		rs.inFlight[address]++
		rs.mu.Unlock()
		return li, nil
	}
	rs.mu.Unlock()
	li, err := rs.connect(address)
	if err != nil {
		rs.recordFailure(address)
		return nil, err
	}
	rs.mu.Lock()
	rs.inFlight[address]++
	rs.mu.Unlock()
	return li, nil
}

func (rs *Relays) connect(address string) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), relayDialTimeout)
	defer cancel()
	raw, err := rs.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newLink(rs, address, raw), nil
}

func newLink(rs *Relays, address string, raw net.Conn) *link {
	in := &messageReader{rd: raw}
	return &link{rs: rs, address: address, net: raw, enc: cbor.NewEncoder(raw), dec: cbor.NewDecoder(in), in: in}
}

// retry connects to an excluded home, which gets batches again if that succeeds.
func (rs *Relays) retry(address string) {
	li, err := rs.connect(address)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if err != nil {
		rs.retryAt[address] = rs.now().Add(homeRetryInterval)
		return
	}
	delete(rs.retryAt, address)
	li.usedAt = rs.now()
	rs.idle[address] = append(rs.idle[address], li)
}

func (rs *Relays) recordFailure(address string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.retryAt[address] = rs.now().Add(homeRetryInterval)
	for _, li := range rs.idle[address] {
		_ = li.net.Close()
	}
	delete(rs.idle, address)
}

// recordNotHome excludes an instance that refused a batch because it is not a home
// or is shutting down. Since it refuses at once, it would have the fewest links in
// use and be chosen for most batches.
func (rs *Relays) recordNotHome(address string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.retryAt[address] = rs.now().Add(notHomeBackoff)
}

// recordPlain records that a home refused a batch since it has Fairness.
func (rs *Relays) recordPlain(address string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.plainUntil[address] = rs.now().Add(plainInterval)
}

// isPlain reports whether batches to a home are sent without Fairness.
func (rs *Relays) isPlain(address string) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	until, ok := rs.plainUntil[address]
	if ok && !rs.now().Before(until) {
		delete(rs.plainUntil, address)
		return false
	}
	return ok
}

// release makes a link idle that holds no connection at its home.
func (rs *Relays) release(li *link) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.inFlight[li.address]--
	if len(rs.idle[li.address]) >= maxIdleLinks {
		_ = li.net.Close()
		return
	}
	li.usedAt = rs.now()
	rs.idle[li.address] = append(rs.idle[li.address], li)
}

// closeLink closes a link. Its home then rolls back the link's open transaction.
func (rs *Relays) closeLink(li *link) {
	_ = li.net.Close()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.inFlight[li.address]--
}

// Sweep closes links that have been idle for longer than the time given.
func (rs *Relays) Sweep(idle time.Duration) {
	oldest := rs.now().Add(-idle)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for address, links := range rs.idle {
		for len(links) > 0 && links[0].usedAt.Before(oldest) {
			_ = links[0].net.Close()
			links = links[1:]
		}
		rs.idle[address] = links
	}
}

// readAnswer reads the home's answer to a batch, within the memory that can be reserved.
func (li *link) readAnswer(reserve budget.Reserve) (resultsMessage, error) {
	var answer resultsMessage
	li.in.begin(math.MaxInt)
	li.in.reserve = reserve
	err := li.dec.Decode(&answer)
	li.in.reserve = nil
	if err == nil {
		return answer, nil
	}
	if err = answerError(err); errors.Is(err, ErrNoMemory) {
		return answer, err
	}
	li.rs.recordFailure(li.address)
	return answer, errors.Mark(err, ErrHomeFailed)
}

// run sends a batch to the home and waits for the results.
func (li *link) run(co *Conn, ba Batch, deadline time.Time) ([]stmt.Result, error) {
	now := li.rs.now()
	wait := deadline.Sub(now)
	msg := batchMessage{Workspace: co.workspace, batchFields: batchFields{
		Upstream: co.pool.upstream.ID, Caller: co.caller, TotalWaitMs: wait.Milliseconds(),
		QueueWaitMs: co.request.QueueDeadline.Sub(now).Milliseconds(), SoftDeadlineMs: softDeadlineMs(co.request.SoftDeadline, now),
		Values: ba.Vars.Values(), PreparedWrites: ba.Prepared.Writes, PreparedText: ba.Prepared.Text,
		IgnoreVars: ba.IgnoreVars, Keep: ba.Keep,
	}}
	if !li.rs.isPlain(li.address) {
		msg.Fairness = fairnessMessage{Weight: co.request.Weight, Priority: co.request.Priority}
	}
	for _, st := range ba.Statements {
		msg.Statements = append(msg.Statements, statementMessage{
			RequestID: st.RequestID, Kind: uint8(st.Kind), Text: st.Text, Name: st.Name, Argument: st.Argument,
			Writes: st.Writes, MinPositionTerm: st.MinPosition.Term.Number, MinPositionOffset: st.MinPosition.Offset,
		})
	}
	if err := li.net.SetDeadline(time.Now().Add(wait + relayGrace)); err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if err := li.enc.Encode(msg); err != nil {
		li.rs.recordFailure(li.address)
		// A home does not run a message that it has not received in full.
		return nil, errors.Mark(errors.Mark(err, ErrNotSent), ErrHomeFailed)
	}
	answer, err := li.readAnswer(ba.Reserve)
	if err != nil {
		return nil, err
	}
	switch {
	case codes.Code(answer.Refusal) == codes.NotHome:
		li.rs.recordNotHome(li.address)
		return nil, codes.Refuse(codes.NotHome, "%s", answer.Detail)
	case codes.Code(answer.Refusal) == codes.ProtocolViolation && strings.Contains(answer.Detail, otherLength) && msg.Fairness.Weight > 0:
		// The batch may be sent again without Fairness. The link is closed by the home.
		li.rs.recordPlain(li.address)
		return nil, errors.Mark(errors.Mark(errors.Newf("the home refused the message: %s", answer.Detail), ErrNotSent), ErrHomeFailed)
	case codes.Code(answer.Refusal) == codes.ProtocolViolation && strings.Contains(answer.Detail, otherLength):
		// Instances that know no workspaces read no message with one, and are no home for it.
		// It is not sent again without the workspace: it would run on a connection that other
		// workspaces use. The link is closed by the home.
		li.rs.recordNotHome(li.address)
		return nil, errors.Mark(errors.Mark(errors.Newf("the home refused the message: %s", answer.Detail), ErrNotSent), ErrHomeFailed)
	case endsLink(codes.Code(answer.Refusal)):
		// The home did not run the batch and closes the link.
		return nil, errors.Mark(errors.Mark(errors.Newf("the home refused the message: %s", answer.Detail), ErrNotSent), ErrHomeFailed)
	case answer.Refusal != 0:
		return nil, codes.Refuse(codes.Code(answer.Refusal), "%s", answer.Detail)
	case answer.NotSent:
		return nil, errors.Mark(errors.New(answer.Broken), ErrNotSent)
	case answer.TimedOut:
		return nil, errors.Mark(errors.New(answer.Broken), os.ErrDeadlineExceeded)
	case answer.Broken != "":
		return nil, errors.New(answer.Broken)
	}
	results, err := fromMessages(answer.Results, len(ba.Statements), co.pool.deps.Codec)
	if err != nil {
		li.rs.recordFailure(li.address)
		return nil, errors.Mark(errors.Wrap(err, "invalid answer of the home"), ErrHomeFailed)
	}
	co.state = results[len(results)-1].State
	return results, nil
}

// otherLength is part of the answer of an instance that knows no workspaces to a message with
// one: the library's error for an array of more elements than the message has fields.
const otherLength = "array to struct with different number of elements"

// relayGrace is how long after the batch's deadline a home's answer may arrive.
const relayGrace = 30 * time.Millisecond
