package member

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/codes"
	"banyanspring/core/group"
	"banyanspring/core/posn"
	"banyanspring/core/share"
	"banyanspring/io/pool"
)

const (
	// orderTimeout bounds an order and its repetitions. An order waits for a slot on the
	// upstream.
	orderTimeout = 700 * time.Millisecond
	// orderTryTimeout bounds one try of an order: an upstream that lost it never answers.
	orderTryTimeout = 300 * time.Millisecond
	// busyPause is the pause before an order is repeated that found no free slot.
	busyPause = 10 * time.Millisecond
	// relayAfter is how long an upstream may take to answer this member before other
	// members are asked to pass the order on.
	relayAfter = 60 * time.Millisecond
	// maxOrderRelays bounds the members that are asked, and maxDomainRelays those of one
	// failure domain.
	maxOrderRelays  = 12
	maxDomainRelays = 2
	orderPath       = "/v1/order"
)

// orderKind names an order on the wire between members.
type orderKind string

const (
	orderStatus   orderKind = "status"
	orderFreeze   orderKind = "freeze"
	orderUnfreeze orderKind = "unfreeze"
	orderStepDown orderKind = "step_down"
)

// order is a request to an upstream that is answered with its report. Each kind but
// orderUnfreeze may be carried out more than once: it names the term that it is meant for,
// and an upstream that knows that term ignores it. One that is carried out after its change
// was abandoned loses no write, but may make another change of leader necessary.
type order struct {
	Kind orderKind `json:"kind"`
	// Term is the term of the next leader; it is used by orderFreeze and orderStepDown.
	Term uint64 `json:"term,omitempty"`
}

func (or order) run(co *pool.Conn, deadline time.Time) (pool.Report, error) {
	switch or.Kind {
	case orderStatus:
		return co.Status(deadline)
	case orderFreeze:
		return co.Freeze(or.Term, deadline)
	case orderUnfreeze:
		return co.Unfreeze(deadline)
	case orderStepDown:
		return co.StepDown(or.Term, deadline)
	}
	return pool.Report{}, errors.Newf("unknown order %q", or.Kind)
}

// orderResult is an upstream's report, or the error if there is none.
type orderResult struct {
	report pool.Report
	err    error
	// via is the member that passed the order on; empty if this member reached the
	// upstream itself.
	via string
}

// isRefused reports whether the upstream's address accepts no connection.
func (res orderResult) isRefused() bool { return errors.Is(res.err, pool.ErrConnectionRefused) }

// isOther reports whether another upstream answers at the address. It may be the same database under
// another ID, with its log.
func (res orderResult) isOther() bool { return errors.Is(res.err, pool.ErrOtherUpstream) }

// orders sends orders to upstreams. Those of the coordinator use connections of its own, one
// to each upstream, so that they get through while the regular pools are full. Those that are
// passed on for another member use the regular pools where they can, so that they add no
// connections. It is safe for concurrent use.
type orders struct {
	me *Member

	mu    sync.Mutex
	pools map[string]*pool.Pool
}

func newOrders(me *Member) *orders { return &orders{me: me, pools: make(map[string]*pool.Pool)} }

// ordersPool applies to the pools of orders.
var ordersPool = pool.Settings{
	Waiting:        2,
	ConnectTimeout: probeTimeout,
	IdleTimeout:    poolIdle,
	CheckAfter:     idleCheckAfter,
}

func (os *orders) poolOf(up group.Upstream) *pool.Pool {
	os.mu.Lock()
	defer os.mu.Unlock()
	po := os.pools[up.ID]
	if po != nil && !up.IsSameIncarnation(po.Upstream()) {
		po.Close()
		po = nil
	}
	if po == nil {
		po = pool.New(up, ordersPool, pool.Dependencies{Now: os.me.deps.Now, Dial: os.me.deps.Dial, Codec: os.me.deps.Codec})
		po.SetShare(share.Share{Quota: 1, Holders: 1})
		os.pools[up.ID] = po
	}
	return po
}

// retain closes the connections to the upstreams for which isUsed returns false.
func (os *orders) retain(isUsed func(up group.Upstream) bool) {
	os.mu.Lock()
	defer os.mu.Unlock()
	for id, po := range os.pools {
		if !isUsed(po.Upstream()) {
			po.Close()
			delete(os.pools, id)
		}
	}
}

// sweep closes idle connections.
func (os *orders) sweep() {
	os.mu.Lock()
	defer os.mu.Unlock()
	for _, po := range os.pools {
		po.Sweep()
	}
}

// withConn runs work on the connection to an upstream. An error other than a refusal
// closes the connection.
func (os *orders) withConn(up group.Upstream, deadline time.Time, work func(co *pool.Conn) error) error {
	return useConn(os.poolOf(up), up.Group, deadline, work)
}

func useConn(po *pool.Pool, caller string, deadline time.Time, work func(co *pool.Conn) error) error {
	co, err := po.AcquireLocal(pool.ConnRequest{Caller: caller, QueueDeadline: deadline, Deadline: deadline})
	if err != nil {
		return err
	}
	err = work(co)
	var ref *codes.Refusal
	if err != nil && !errors.As(err, &ref) {
		po.Discard(co)
		return err
	}
	po.Release(co)
	return err
}

// queryLead asks an upstream whether it leads, and returns its log position. It takes no
// slot on the upstream.
func (os *orders) queryLead(up group.Upstream, deadline time.Time) (posn.Position, bool, error) {
	var leads bool
	var at posn.Position
	err := os.withConn(up, deadline, func(co *pool.Conn) error {
		results, err := co.Exchange(pool.LeadershipProbe, deadline)
		if err == nil {
			leads, at = results[0].Code == codes.OK, results[0].Position
		}
		return err
	})
	return at, leads, err
}

// run sends an order to an upstream. It repeats an order that was not answered or found
// the upstream busy until the timeout, except for orderUnfreeze.
func (os *orders) run(up group.Upstream, timeout time.Duration, or order) orderResult {
	until := os.me.deps.Now().Add(timeout)
	for {
		res := os.try(up, until, or)
		isBusy := codes.Is(res.err, codes.QueueFull)
		isFull := codes.Is(res.err, codes.ConnectionsInUse)
		if res.err == nil || res.isRefused() || res.isOther() || isFull || (or.Kind == orderUnfreeze && !isBusy) {
			return res
		}
		if !os.me.deps.Now().Add(busyPause).Before(until) {
			return res
		}
		time.Sleep(busyPause)
	}
}

func (os *orders) try(up group.Upstream, until time.Time, or order) orderResult {
	deadline := os.me.deps.Now().Add(orderTryTimeout)
	if until.Before(deadline) || or.Kind == orderUnfreeze {
		deadline = until
	}
	var res orderResult
	res.err = os.withConn(up, deadline, func(co *pool.Conn) error {
		var err error
		res.report, err = or.run(co, deadline)
		return err
	})
	return res
}

// runAll sends an order to all upstreams concurrently.
func (os *orders) runAll(ups []group.Upstream, timeout time.Duration, or order) map[string]orderResult {
	return forAll(ups, func(up group.Upstream) orderResult { return os.run(up, timeout, or) })
}

// forAll calls send for all upstreams concurrently and returns the results by ID.
func forAll(ups []group.Upstream, send func(up group.Upstream) orderResult) map[string]orderResult {
	out := make(map[string]orderResult, len(ups))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, up := range ups {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := send(up)
			mu.Lock()
			defer mu.Unlock()
			out[up.ID] = res
		}()
	}
	wg.Wait()
	return out
}

// runAnyhow sends an order to an upstream, and also through other members if this one got
// no answer within the wait. It must not be used for orderUnfreeze, which would be sent more
// than once.
func (os *orders) runAnyhow(up group.Upstream, timeout, wait time.Duration, or order) orderResult {
	direct := make(chan orderResult, 1)
	go func() { direct <- os.run(up, timeout, or) }()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var failed orderResult
	select {
	case failed = <-direct:
		if failed.err == nil || failed.isOther() {
			return failed
		}
		direct = nil
	case <-timer.C:
	}
	relayed := make(chan orderResult, 1)
	go func() { relayed <- os.relay(up, timeout, or) }()
	for direct != nil || relayed != nil {
		select {
		case res := <-direct:
			if failed, direct = res, nil; res.err == nil {
				return res
			}
		case res := <-relayed:
			if relayed = nil; res.err == nil {
				return res
			}
		}
	}
	return failed
}

// orderQuery asks a member to pass an order on to an upstream.
type orderQuery struct {
	Upstream  group.Upstream `json:"upstream"`
	Order     order          `json:"order"`
	TimeoutMs int64          `json:"timeout_ms"`
}

// orderReply is the upstream's answer; Error is empty if it reported. IsRefused is true if its
// address accepts no connection.
type orderReply struct {
	Report    pool.Report `json:"report"`
	Error     string      `json:"error,omitempty"`
	IsRefused bool        `json:"refused,omitempty"`
}

// check returns an error if the order must not be passed on.
func (qu *orderQuery) check() error {
	if qu.Order.Kind == orderUnfreeze {
		return errors.Newf("order %q is not passed on", qu.Order.Kind)
	}
	if err := checkAges(qu.TimeoutMs); err != nil {
		return err
	}
	return qu.Upstream.Check()
}

// check accepts every reply: a report is only compared with others.
func (re *orderReply) check() error { return nil }

// errNoRelay is returned if no other member passed an order on.
var errNoRelay = errors.New("no other member reached the upstream")

// relay sends an order to an upstream through other members and returns the first report.
func (os *orders) relay(up group.Upstream, timeout time.Duration, or order) orderResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for res := range os.askRelays(ctx, up, timeout, or) {
		if res.err == nil {
			return res
		}
	}
	return orderResult{err: errNoRelay}
}

// isRefusedEverywhere reports whether all members that answer find that the upstream's
// address accepts no connection, and at least one other than this one does.
func (os *orders) isRefusedEverywhere(up group.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	refused := 0
	for res := range os.askRelays(ctx, up, probeTimeout, order{Kind: orderStatus}) {
		if res.isRefused() {
			refused++
			continue
		}
		if !errors.Is(res.err, errPeerSilent) {
			return false
		}
	}
	return refused > 0
}

// errPeerSilent marks the error of a member that did not answer.
var errPeerSilent = errors.New("the member does not answer")

// askRelays asks other members to pass an order on. The channel receives one result of each
// and is closed then.
func (os *orders) askRelays(ctx context.Context, up group.Upstream, timeout time.Duration, or order) <-chan orderResult {
	relays := os.me.roster.relays(up.Domain)
	answers := make(chan orderResult, len(relays))
	qu := orderQuery{Upstream: up, Order: or, TimeoutMs: timeout.Milliseconds()}
	var wg sync.WaitGroup
	for _, en := range relays {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var re orderReply
			err := os.me.peers.post(ctx, "http://"+en.Address+orderPath, qu, &re)
			switch {
			case err != nil:
				err = errors.Mark(err, errPeerSilent)
			case re.IsRefused:
				err = errors.Mark(errors.Newf("%s", re.Error), pool.ErrConnectionRefused)
			case re.Error != "":
				err = errors.Newf("%s", re.Error)
			}
			answers <- orderResult{report: re.Report, err: err, via: en.Name}
		}()
	}
	go func() {
		wg.Wait()
		close(answers)
	}()
	return answers
}

// serve passes an order of another member on to an upstream.
func (os *orders) serve(rw http.ResponseWriter, rq *http.Request) {
	var qu orderQuery
	if err := readExchange(http.MaxBytesReader(rw, rq.Body, maxOrderBytes), &qu); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	res := os.runForOther(qu.Upstream, min(millis(qu.TimeoutMs), orderTimeout), qu.Order)
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(orderReply{Report: res.report, Error: errText(res.err), IsRefused: res.isRefused()})
}

// runForOther sends an order of another member to an upstream.
func (os *orders) runForOther(up group.Upstream, timeout time.Duration, or order) orderResult {
	po := os.me.engine.GetPoolByUpstream(up.ID)
	if po == nil || !po.HasQuota() || !up.IsSameIncarnation(po.Upstream()) {
		return os.run(up, timeout, or)
	}
	deadline := os.me.deps.Now().Add(timeout)
	var res orderResult
	res.err = useConn(po, up.Group, deadline, func(co *pool.Conn) error {
		var err error
		res.report, err = or.run(co, deadline)
		return err
	})
	return res
}

// maxOrderBytes bounds the body of an orderQuery.
const maxOrderBytes = 4 << 10
