package pool

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"banyanspring/core/codes"
	"banyanspring/core/stmt"
)

// Relays reaches upstreams through other instances that hold the connections
// to them: their homes. It is safe for concurrent use.
type Relays struct {
	now  func() time.Time
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu sync.Mutex
	// idle holds unused links by the home's address, last used last.
	idle map[string][]*relay
	// retryAt holds the homes that failed, which get no batch until a connection
	// to them is made again, with the time of the next try.
	retryAt map[string]time.Time
	// pending counts batches under way by home.
	pending map[string]int
}

const (
	// retryHome is the time between two tries to connect to a home that failed,
	// of the order of a restart's shortest time.
	retryHome = 250 * time.Millisecond
	// retryNotHome is how long an instance that is no home gets no batch. It leaves
	// within some seconds, or will know that it is one.
	retryNotHome = time.Second
	// relayDial bounds the connecting to a home.
	relayDial = 300 * time.Millisecond
	// idleLinks bounds the unused links kept to one home.
	idleLinks = 8
)

// NewRelays returns relays without links.
func NewRelays(now func() time.Time, dial func(ctx context.Context, address string) (net.Conn, error)) *Relays {
	return &Relays{
		now: now, dial: dial,
		idle: make(map[string][]*relay), retryAt: make(map[string]time.Time), pending: make(map[string]int),
	}
}

// ErrHome marks the failure of a home, for which the upstream is not to blame.
var ErrHome = errors.New("the home failed")

// relay is one link to a home. It carries one batch at a time.
type relay struct {
	rs      *Relays
	address string
	net     net.Conn
	enc     *cbor.Encoder
	dec     *cbor.Decoder
	usedAt  time.Time
}

// choose returns the home for the next batch: the one with the fewest batches
// under way from here of those that have not failed lately.
func (rs *Relays) choose(homes []string) (string, bool) {
	now := rs.now()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	best, found := "", false
	for _, address := range homes {
		if at, isFailed := rs.retryAt[address]; isFailed {
			if !now.Before(at) {
				rs.retryAt[address] = now.Add(retryHome + relayDial)
				go rs.retry(address)
			}
			continue
		}
		if !found || rs.pending[address] < rs.pending[best] {
			best, found = address, true
		}
	}
	return best, found
}

// take returns an unused link to a home or a new one.
func (rs *Relays) take(address string) (*relay, error) {
	rs.mu.Lock()
	links := rs.idle[address]
	if last := len(links) - 1; last >= 0 {
		re := links[last]
		rs.idle[address] = links[:last]
		rs.pending[address]++
		rs.mu.Unlock()
		return re, nil
	}
	rs.mu.Unlock()
	re, err := rs.connect(address)
	if err != nil {
		rs.failed(address)
		return nil, err
	}
	rs.mu.Lock()
	rs.pending[address]++
	rs.mu.Unlock()
	return re, nil
}

func (rs *Relays) connect(address string) (*relay, error) {
	ctx, cancel := context.WithTimeout(context.Background(), relayDial)
	defer cancel()
	raw, err := rs.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &relay{rs: rs, address: address, net: raw, enc: cbor.NewEncoder(raw), dec: cbor.NewDecoder(raw)}, nil
}

// retry connects to a home that failed; it gets batches again if that succeeds.
func (rs *Relays) retry(address string) {
	re, err := rs.connect(address)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if err != nil {
		rs.retryAt[address] = rs.now().Add(retryHome)
		return
	}
	delete(rs.retryAt, address)
	re.usedAt = rs.now()
	rs.idle[address] = append(rs.idle[address], re)
}

func (rs *Relays) failed(address string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.retryAt[address] = rs.now().Add(retryHome)
	for _, re := range rs.idle[address] {
		_ = re.net.Close()
	}
	delete(rs.idle, address)
}

// turnedAway notes that an instance is no home, or is leaving. It answers at once, so
// that it would seem to be the least loaded one.
func (rs *Relays) turnedAway(address string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.retryAt[address] = rs.now().Add(retryNotHome)
}

// give returns a link that holds nothing at its home.
func (rs *Relays) give(re *relay) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.pending[re.address]--
	if len(rs.idle[re.address]) >= idleLinks {
		_ = re.net.Close()
		return
	}
	re.usedAt = rs.now()
	rs.idle[re.address] = append(rs.idle[re.address], re)
}

// drop closes a link; its home rolls back what it held.
func (rs *Relays) drop(re *relay) {
	_ = re.net.Close()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.pending[re.address]--
}

// Sweep closes links that were unused for as long as given.
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

// run sends a batch to the home and waits for the results.
func (re *relay) run(co *Conn, ba Batch, deadline time.Time) ([]stmt.Result, error) {
	now := re.rs.now()
	wait := deadline.Sub(now)
	msg := batchMessage{
		Upstream: co.pool.upstream.ID, Caller: co.caller, WaitMs: wait.Milliseconds(),
		PatienceMs: co.ask.Patience.Sub(now).Milliseconds(), AimMs: aimMs(co.ask.Aim, now),
		Values: ba.Vars.Values(), PlanWrites: ba.Plan.Writes, PlanShape: ba.Plan.Shape,
		AnyVars: ba.AnyVars, Keep: ba.Keep,
	}
	for _, st := range ba.Statements {
		msg.Statements = append(msg.Statements, statementMessage{
			RequestID: st.RequestID, Kind: uint8(st.Kind), Text: st.Text, Name: st.Name, Argument: st.Argument,
			Writes: st.Writes, FloorTerm: st.Floor.Term.Number, FloorOffset: st.Floor.Offset,
		})
	}
	if err := re.net.SetDeadline(time.Now().Add(wait + relayGrace)); err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if err := re.enc.Encode(msg); err != nil {
		re.rs.failed(re.address)
		// A message that was cut is not run.
		return nil, errors.Mark(errors.Mark(err, ErrNotSent), ErrHome)
	}
	var answer resultsMessage
	if err := re.dec.Decode(&answer); err != nil {
		re.rs.failed(re.address)
		return nil, errors.Mark(err, ErrHome)
	}
	switch {
	case codes.Code(answer.Refusal) == codes.NotHome:
		re.rs.turnedAway(re.address)
		return nil, codes.Refuse(codes.NotHome, "%s", answer.Detail)
	case answer.Refusal != 0:
		return nil, codes.Refuse(codes.Code(answer.Refusal), "%s", answer.Detail)
	case answer.NotSent:
		return nil, errors.Mark(errors.New(answer.Broken), ErrNotSent)
	case len(answer.Results) == 0 && answer.Broken == "":
		return nil, errors.Mark(errors.New("an answer without results"), ErrHome)
	case answer.TimedOut:
		return nil, errors.Mark(errors.New(answer.Broken), os.ErrDeadlineExceeded)
	case answer.Broken != "":
		return nil, errors.New(answer.Broken)
	}
	results := fromMessages(answer.Results)
	co.state = results[len(results)-1].State
	return results, nil
}

// relayGrace is what a home's answer may take beyond the batch's deadline.
const relayGrace = 30 * time.Millisecond
