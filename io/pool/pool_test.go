package pool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"banyanspring/core/codes"
	"banyanspring/core/group"
	"banyanspring/core/share"
	"banyanspring/core/stmt"
)

// fakeNet is a network on which every address answers unless it is cut off.
type fakeNet struct {
	t *testing.T

	mu     sync.Mutex
	cutOff map[string]bool
	dialed []string
	now    time.Time
	// answer holds the greeting of upstreams back if it is not nil.
	answer chan struct{}
	// leaving holds the addresses of homes that turn batches away.
	leaving map[string]bool
	// isFull has upstreams greet with a refusal.
	isFull atomic.Bool
}

func (fn *fakeNet) clock() time.Time {
	fn.mu.Lock()
	defer fn.mu.Unlock()
	return fn.now
}

// pass lets time pass.
func (fn *fakeNet) pass(took time.Duration) {
	fn.mu.Lock()
	defer fn.mu.Unlock()
	fn.now = fn.now.Add(took)
}

func (fn *fakeNet) setCutOff(address string, isCutOff bool) {
	fn.mu.Lock()
	defer fn.mu.Unlock()
	fn.cutOff[address] = isCutOff
}

// dials returns how often an address was dialed.
func (fn *fakeNet) dials(address string) int {
	fn.mu.Lock()
	defer fn.mu.Unlock()
	count := 0
	for _, got := range fn.dialed {
		if got == address {
			count++
		}
	}
	return count
}

func (fn *fakeNet) dial(_ context.Context, address string) (net.Conn, error) {
	fn.mu.Lock()
	defer fn.mu.Unlock()
	fn.dialed = append(fn.dialed, address)
	if fn.cutOff[address] {
		return nil, errors.New("i/o timeout")
	}
	near, far := net.Pipe()
	fn.t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	if fn.leaving[address] {
		go NewServer(fn.clock, func(string) *Pool { return nil }).Serve(far)
		return near, nil
	}
	go func() { _, _ = bufio.NewReader(far).WriteTo(discard{}) }()
	return near, nil
}

type discard struct{}

func (discard) Write(raw []byte) (int, error) { return len(raw), nil }

// newPool returns a pool of an instance with the share given.
func (fn *fakeNet) newPool(sh share.Share) *Pool {
	codec := Codec{
		AppendHello: func(buf []byte, group, _ string) []byte { return append(buf, group...) },
		ReadHello: func(*bufio.Reader) (stmt.Result, error) {
			if fn.answer != nil {
				<-fn.answer
			}
			if fn.isFull.Load() {
				return stmt.Result{Code: codes.ConnectionsInUse}, nil
			}
			return stmt.Result{State: stmt.Idle}, nil
		},
	}
	po := New(group.Upstream{ID: "db", Address: "db", Slots: 2}, Settings{Waiting: 100, ConnectTimeout: time.Minute, CheckAfter: time.Hour}, Seams{
		Now: fn.clock, Dial: fn.dial, Relays: NewRelays(fn.clock, fn.dial), Codec: codec,
	})
	po.SetShare(sh)
	return po
}

func (fn *fakeNet) acquire(po *Pool) (*Conn, error) {
	limit := fn.clock().Add(time.Minute)
	return po.Acquire(Ask{Caller: "caller", Patience: limit, Deadline: limit})
}

func TestDeputiesServeThoseWhoReachNoHome(t *testing.T) {
	sh := share.Share{Holders: 2, Homes: []string{"home-1", "home-2"}, Deputies: []string{"deputy-1", "deputy-2"}}
	fn := &fakeNet{t: t, cutOff: map[string]bool{"home-1": true, "home-2": true, "deputy-1": true}}
	po := fn.newPool(sh)
	for range 3 {
		_, err := fn.acquire(po)
		require.True(t, codes.Is(err, codes.PeerUnreached), "%v", err)
	}
	co, err := fn.acquire(po)
	require.NoError(t, err)
	require.Equal(t, "deputy-2", co.relay.address)
}

func TestHomesGoBeforeDeputies(t *testing.T) {
	sh := share.Share{Holders: 2, Homes: []string{"home-1", "home-2"}, Deputies: []string{"deputy-1"}}
	fn := &fakeNet{t: t, cutOff: map[string]bool{"home-1": true}}
	po := fn.newPool(sh)
	_, err := fn.acquire(po)
	require.True(t, codes.Is(err, codes.PeerUnreached), "%v", err)
	for range 5 {
		co, err := fn.acquire(po)
		require.NoError(t, err)
		require.Equal(t, "home-2", co.relay.address)
	}
}

func TestDeputyUsesItsOwnConnectionsOnlyWithoutHomes(t *testing.T) {
	sh := share.Share{Quota: 3, IsDeputy: true, Holders: 2, Homes: []string{"home-1"}, Deputies: []string{"self"}}
	fn := &fakeNet{t: t, cutOff: map[string]bool{}}
	po := fn.newPool(sh)
	co, err := fn.acquire(po)
	require.NoError(t, err)
	require.Equal(t, "home-1", co.relay.address)

	fn.setCutOff("home-1", true)
	po = fn.newPool(sh)
	_, err = fn.acquire(po)
	require.True(t, codes.Is(err, codes.PeerUnreached), "%v", err)
	co, err = fn.acquire(po)
	require.NoError(t, err)
	require.Nil(t, co.relay)
	require.Equal(t, 1, fn.dials("db"))
}

// A home that failed is tried apart from the statements: none of them waits for
// a connection that cannot be made.
func TestNoBatchWaitsForAHomeThatFailed(t *testing.T) {
	sh := share.Share{Holders: 2, Homes: []string{"home-1"}, Deputies: []string{"deputy-1"}}
	fn := &fakeNet{t: t, cutOff: map[string]bool{"home-1": true}}
	po := fn.newPool(sh)
	_, err := fn.acquire(po)
	require.True(t, codes.Is(err, codes.PeerUnreached), "%v", err)
	for tries := 2; tries < 5; tries++ {
		fn.pass(time.Second)
		co, err := fn.acquire(po)
		require.NoError(t, err)
		require.Equal(t, "deputy-1", co.relay.address)
		require.Eventually(t, func() bool { return fn.dials("home-1") == tries }, time.Minute, time.Millisecond)
	}
	fn.setCutOff("home-1", false)
	require.Eventually(t, func() bool {
		fn.pass(time.Second)
		co, err := fn.acquire(po)
		return err == nil && co.relay.address == "home-1"
	}, time.Minute, time.Millisecond)
}

// The pattern connections_are_opened_into_a_crowd: an upstream that is slow to
// greet has many requests waiting. One connection for each would take its slots
// from the statements; those that gave up must not leave theirs behind either.
func TestFewConnectionsAreOpenedAtOnce(t *testing.T) {
	fn := &fakeNet{t: t, cutOff: map[string]bool{}, answer: make(chan struct{})}
	po := fn.newPool(share.Share{Quota: 50, Holders: 1})
	const requests = 20
	got := make(chan error, requests)
	for range requests {
		go func() {
			deadline := fn.clock().Add(5 * time.Millisecond)
			co, err := po.AcquireHere(Ask{Caller: "caller", Patience: deadline.Add(time.Minute), Deadline: deadline})
			if err == nil {
				po.Release(co)
			}
			got <- err
		}()
	}
	for range depth(po.upstream, 1) {
		require.True(t, codes.Is(<-got, codes.DeadlineUnmet))
	}
	require.LessOrEqual(t, fn.dials("db"), dialsAtOnce)
	close(fn.answer)
	for range requests - depth(po.upstream, 1) {
		if err := <-got; err != nil {
			require.True(t, codes.Is(err, codes.DeadlineUnmet), "%v", err)
		}
	}
	require.LessOrEqual(t, fn.dials("db"), depth(po.upstream, 1)+dialsAtOnce)
}

func TestConnectionThatComesLateServesTheNextRequest(t *testing.T) {
	fn := &fakeNet{t: t, cutOff: map[string]bool{}, answer: make(chan struct{})}
	po := fn.newPool(share.Share{Quota: 5, Holders: 1})
	deadline := fn.clock().Add(time.Millisecond)
	_, err := po.AcquireHere(Ask{Caller: "caller", Patience: deadline.Add(time.Minute), Deadline: deadline})
	require.True(t, codes.Is(err, codes.DeadlineUnmet), "%v", err)
	close(fn.answer)
	isIdle := func() bool {
		po.mu.Lock()
		defer po.mu.Unlock()
		return len(po.idle) == 1
	}
	require.Eventually(t, isIdle, time.Minute, time.Millisecond)
	_, err = fn.acquire(po)
	require.NoError(t, err)
	require.Equal(t, 1, fn.dials("db"))
}

func TestFailedConnectionIsToldToAllWhoWaitForIt(t *testing.T) {
	fn := &fakeNet{t: t, cutOff: map[string]bool{"db": true}}
	po := fn.newPool(share.Share{Quota: 5, Holders: 1})
	_, err := fn.acquire(po)
	require.True(t, codes.Is(err, codes.UpstreamUnreached), "%v", err)
	po.Close()
	_, err = fn.acquire(po)
	require.True(t, codes.Is(err, codes.UpstreamReplaced), "%v", err)
}

func TestRequestWaitsForAConnectionThatIsGivenBack(t *testing.T) {
	fn := &fakeNet{t: t, cutOff: map[string]bool{}}
	po := fn.newPool(share.Share{Quota: 1, Holders: 1})
	first, err := fn.acquire(po)
	require.NoError(t, err)
	got := make(chan error, 1)
	go func() {
		_, err := fn.acquire(po)
		got <- err
	}()
	require.Eventually(t, func() bool { _, _, waiting := po.Load(); return waiting == 1 }, time.Minute, time.Millisecond)
	po.Release(first)
	require.NoError(t, <-got)
	require.Equal(t, 1, fn.dials("db"))
}

// The pattern connections_of_the_dead_linger: after a restart an upstream still holds
// the connections of before and has room for few. Requests wait for these.
func TestRequestsShareTheOpenConnectionsOfAFullUpstream(t *testing.T) {
	fn := &fakeNet{t: t, cutOff: map[string]bool{}}
	po := fn.newPool(share.Share{Quota: 5, Holders: 1})
	first, err := fn.acquire(po)
	require.NoError(t, err)
	fn.isFull.Store(true)
	got := make(chan error, 1)
	go func() {
		_, err := fn.acquire(po)
		got <- err
	}()
	require.Eventually(t, func() bool { return fn.dials("db") == 2 }, time.Minute, time.Millisecond)
	po.Release(first)
	require.NoError(t, <-got)
	require.Equal(t, 2, fn.dials("db"))
}

func TestFullUpstreamWithoutOpenConnectionsIsTold(t *testing.T) {
	fn := &fakeNet{t: t, cutOff: map[string]bool{}}
	fn.isFull.Store(true)
	po := fn.newPool(share.Share{Quota: 5, Holders: 1})
	_, err := fn.acquire(po)
	require.True(t, codes.Is(err, codes.ConnectionsInUse), "%v", err)
}

// The pattern leaving_home_draws_all_batches: it turns them away at once and has the
// fewest under way.
func TestLeavingHomeGetsNoMoreBatches(t *testing.T) {
	sh := share.Share{Holders: 2, Homes: []string{"home-1", "home-2"}}
	fn := &fakeNet{t: t, cutOff: map[string]bool{}, leaving: map[string]bool{"home-1": true}}
	po := fn.newPool(sh)
	turnedAway, err := fn.acquire(po)
	require.NoError(t, err)
	require.Equal(t, "home-1", turnedAway.relay.address)
	_, err = turnedAway.Run(Batch{Statements: []stmt.Statement{{Kind: stmt.Read}}}, fn.clock().Add(time.Minute))
	require.True(t, codes.Is(err, codes.NotHome), "%v", err)
	po.Release(turnedAway)
	for range 5 {
		co, err := fn.acquire(po)
		require.NoError(t, err)
		require.Equal(t, "home-2", co.relay.address)
	}
	// It is tried again after a while.
	require.Eventually(t, func() bool {
		fn.pass(retryNotHome)
		co, err := fn.acquire(po)
		return err == nil && co.relay.address == "home-1"
	}, time.Minute, time.Millisecond)
}
