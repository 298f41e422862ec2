package member

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"banyanspring/core/catlg"
	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/quota"
	"banyanspring/core/share"
	"banyanspring/io/delay"
)

const (
	// forwardTimeout bounds a question that is passed on, and a request for a bucket, so that
	// the asking member still has its answer within quota.MaxWait.
	forwardTimeout = 100 * time.Millisecond
	// limitCallTimeout bounds a probe and a hand-over.
	limitCallTimeout = 200 * time.Millisecond
	// limitTick is the time between two calls of quota.Keeper.Tick.
	limitTick = 100 * time.Millisecond
	// accountSweep is the time between two searches for accounts that are not in use.
	accountSweep = 10 * time.Second
	// limitIdle is how long a connection for questions is kept. Busy workspaces ask more often.
	limitIdle = time.Minute
	// maxLimitConnections bounds the idle connections to one keeper.
	maxLimitConnections = 4
	// limitWitnesses is the number of members through which a silent one is probed.
	limitWitnesses = 2
	// stalledAfter is how long after its arrival an operation is not admitted any more: the
	// process was suspended, and its credit is no longer valid. A busy processor delays
	// an operation by less.
	stalledAfter = time.Second
)

// limits admits the operations of workspaces and keeps some workspaces for all members (see
// package quota). It is safe for concurrent use.
type limits struct {
	me *Member
	// run distinguishes successive processes.
	run   uint32
	peers *peers
	// allowed and the others count credits and operations; they have no labels, since a
	// configuration may name thousands of workspaces.
	allowed, refused, unreached, overdrawn, asked, granted, returned tally.Counter
	kept                                                             tally.Gauge

	mu       sync.Mutex
	keeper   *quota.Keeper
	accounts map[string]*limitAccount
	// pulling holds the requests for buckets under way, by workspace and member.
	pulling map[[2]string]struct{}
	// listed is the list from which names were taken.
	listed  []share.Member
	names   []string
	sweepAt time.Time
}

// limitAccount is the account of one workspace and its waiting operations.
type limitAccount struct {
	*quota.Account
	workspace string
	waiting   []*limitWaiter
	// isDelayed is true while a question waits for its time.
	isDelayed bool
	// answeredBy is the member that answered last, at answeredAt.
	answeredBy string
	answeredAt time.Time
	// refusing is nil unless operations are being refused.
	refusing *refusing
}

// refusing counts the refusals of a workspace since they began.
type refusing struct {
	since, last time.Time
	count       int
}

// limitWaiter is an operation that waits for a credit.
type limitWaiter struct {
	since time.Time
	by    time.Time
	// verdict receives one value.
	verdict chan limitVerdict
}

// limitVerdict is the decision on a waiting operation: it may run from a time on, or is refused.
type limitVerdict struct {
	from    time.Time
	refusal *codes.Refusal
}

func newLimits(me *Member) *limits {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return me.deps.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: maxLimitConnections,
		IdleConnTimeout:     limitIdle,
		DisableCompression:  true,
	}
	counter := func(name string) tally.Counter { return me.metrics.Counter("limit_" + name) }
	kept := tally.NoopScope.Gauge("limit_kept")
	if me.settings.Quota.IsEnabled() {
		kept = me.metrics.Gauge("limit_kept")
	} else {
		// The metrics of an instance without limits are as they were.
		counter = tally.NoopScope.Counter
	}
	return &limits{
		me: me, run: rand.Uint32(), peers: &peers{me: me, http: &http.Client{Transport: shortHeaders{transport}}},
		allowed: counter("allowed"), refused: counter("refused"), unreached: counter("unreached"), overdrawn: counter("overdrawn"),
		asked: counter("asked"), granted: counter("granted"), returned: counter("returned"),
		kept:     kept,
		keeper:   quota.NewKeeper(me.settings.Name, me.settings.Quota, me.deps.Now()),
		accounts: make(map[string]*limitAccount), pulling: make(map[[2]string]struct{}),
	}
}

// shortHeaders leaves out the header that net/http adds to requests. Questions are small and
// frequent, and bytes between regions are billed.
type shortHeaders struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (sh shortHeaders) RoundTrip(rq *http.Request) (*http.Response, error) {
	rq = rq.Clone(rq.Context())
	rq.Header.Set("User-Agent", "")
	return sh.RoundTripper.RoundTrip(rq)
}

// admission returns engine.Dependencies.Admit; nil if there are no limits.
func (lt *limits) admission() func(workspace string) *codes.Refusal {
	if !lt.me.settings.Quota.IsEnabled() {
		return nil
	}
	return lt.admit
}

// limitOf returns the limit of a workspace, and false if it has none.
func (lt *limits) limitOf(workspace string) (quota.Limit, bool) {
	wo, ok := lt.me.catalog.Current().GetWorkspaceByName(workspace)
	return limitFrom(wo), ok && wo.IsLimited
}

func limitFrom(wo catlg.Workspace) quota.Limit { return quota.Limit{Rate: wo.Rate, Burst: wo.Burst} }

// hasPermit reports whether this member is in contact with most others (see package quorum).
func (lt *limits) hasPermit(now time.Time) bool {
	pe := lt.me.permits
	if now.Before(pe.expiresAt()) {
		return true
	}
	pe.refresh(now)
	return now.Before(pe.expiresAt())
}

// members returns the names of the listed members, this one included; mu is held.
func (lt *limits) members() []string {
	list := lt.me.roster.shareMembers()
	if lt.names == nil || !isSameList(lt.listed, list) {
		lt.listed, lt.names = list, make([]string, 0, len(list))
		weights := make(map[string]float64, len(list))
		for _, me := range list {
			lt.names = append(lt.names, me.Name)
			weights[me.Name] = me.Weight
		}
		lt.keeper.SetWeights(weights)
	}
	return lt.names
}

// account returns the workspace's account with the limit in force; mu is held.
func (lt *limits) account(workspace string, li quota.Limit, now time.Time) *limitAccount {
	ac := lt.accounts[workspace]
	if ac == nil {
		ac = &limitAccount{
			Account:   quota.NewAccount(lt.me.settings.Quota, li, lt.me.settings.Name, lt.run, now),
			workspace: workspace,
		}
		lt.accounts[workspace] = ac
	}
	ac.SetLimit(li, now)
	return ac
}

const (
	// startupSpan is how long after its start a member lets operations wait for up to startupWait
	// instead of refusing them. After a restart of all members the keepers have no permits and
	// empty buckets for about a second, in which a refusal would only use up the callers' retries.
	startupSpan = 3 * time.Second
	startupWait = time.Second
)

// maxWait returns for how long an operation that arrives now may wait for a credit.
func (lt *limits) maxWait(now time.Time) time.Duration {
	if lt.isStarting(now) {
		return startupWait
	}
	return quota.MaxWait
}

func (lt *limits) isStarting(now time.Time) bool { return now.Sub(lt.me.startedAt) < startupSpan }

// overdrawAtStart reports whether an operation may run without a credit because this member has
// just started and no keeper has answered it yet. It is paid back from later credits; mu is held.
func (lt *limits) overdrawAtStart(ac *limitAccount, li quota.Limit, now time.Time) bool {
	if !lt.isStarting(now) || !ac.answeredAt.IsZero() {
		return false
	}
	if !ac.Overdraw(quota.StartShare(lt.me.settings.Quota, li, ac.workspace, lt.me.settings.Name, lt.members()), now) {
		return false
	}
	lt.overdrawn.Inc(1)
	return true
}

// admit returns the refusal of an operation that exceeds the workspace's limit. It may wait for
// maxWait.
func (lt *limits) admit(workspace string) *codes.Refusal {
	li, ok := lt.limitOf(workspace)
	if !ok {
		return nil
	}
	now := lt.me.deps.Now()
	lt.mu.Lock()
	ac := lt.account(workspace, li, now)
	ac.Observe(now)
	if len(ac.waiting) == 0 {
		if from, ok := ac.Take(now, now.Add(quota.MaxWait)); ok {
			if ac.NeedsMore(now) {
				lt.ask(ac, now)
			}
			lt.mu.Unlock()
			return lt.allow(from, now)
		}
		if until, isRefused := ac.RefusedUntil(now); isRefused && !lt.isStarting(now) {
			ref := lt.refuse(ac, li, until, now)
			lt.mu.Unlock()
			return ref
		}
	}
	if lt.overdrawAtStart(ac, li, now) {
		if !ac.IsAsking() && !now.Before(ac.AskFrom()) {
			// The question reports the overdraft.
			lt.ask(ac, now)
		}
		lt.mu.Unlock()
		return lt.allow(now, now)
	}
	wait := lt.maxWait(now)
	wa := &limitWaiter{since: now, by: now.Add(wait), verdict: make(chan limitVerdict, 1)}
	ac.waiting = append(ac.waiting, wa)
	lt.askForWaiting(ac, now)
	lt.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case ve := <-wa.verdict:
		return lt.finish(ve, now)
	case <-timer.C:
		return lt.finish(lt.expire(ac, wa), now)
	}
}

// finish carries out the verdict on an operation that arrived at a time.
func (lt *limits) finish(ve limitVerdict, arrivedAt time.Time) *codes.Refusal {
	if ve.refusal != nil {
		return ve.refusal
	}
	return lt.allow(ve.from, arrivedAt)
}

// allow waits until the operation may run.
func (lt *limits) allow(from, arrivedAt time.Time) *codes.Refusal {
	now := lt.me.deps.Now()
	if wait := from.Sub(now); wait > 0 {
		time.Sleep(wait)
		now = lt.me.deps.Now()
	}
	if now.Sub(arrivedAt) > stalledAfter {
		lt.refused.Inc(1)
		return codes.Refuse(codes.OverLimit, "this instance was suspended while the operation waited").WithRetryAt(now)
	}
	lt.allowed.Inc(1)
	return nil
}

// refuse returns the refusal of an operation over the limit; mu is held.
func (lt *limits) refuse(ac *limitAccount, li quota.Limit, until, now time.Time) *codes.Refusal {
	lt.refused.Inc(1)
	lt.recordRefusal(ac, li, "over the limit", until.Sub(now), now)
	return codes.Refuse(codes.OverLimit, "workspace %s may begin %g operations per second and %g at once; come back in %d ms",
		ac.workspace, li.Rate, li.Burst, ageMs(now, until)).WithRetryAt(until)
}

// recordRefusal counts a refusal, and logs it if it is the first; mu is held.
func (lt *limits) recordRefusal(ac *limitAccount, li quota.Limit, reason string, wait time.Duration, now time.Time) {
	if ac.refusing == nil {
		ac.refusing = &refusing{since: now}
		event.Log(lt.me.log, event.LimitReached, "workspace", ac.workspace, "reason", reason, "rate", li.Rate, "burst", li.Burst,
			"keeper", ac.answeredBy, "answered_ms", ageMs(ac.answeredAt, now), "retry_ms", wait.Milliseconds(),
			"demand", math.Round(ac.Demand(now)*100)/100, "waiting", len(ac.waiting), "members", len(lt.members()))
	}
	ac.refusing.last = now
	ac.refusing.count++
}

// expire decides on an operation that has waited for maxWait without a credit.
func (lt *limits) expire(ac *limitAccount, wa *limitWaiter) limitVerdict {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	select {
	case ve := <-wa.verdict:
		return ve
	default:
	}
	ac.waiting = slices.DeleteFunc(ac.waiting, func(other *limitWaiter) bool { return other == wa })
	now := lt.me.deps.Now()
	li, ok := lt.limitOf(ac.workspace)
	if !ok {
		return limitVerdict{from: now}
	}
	if from, ok := ac.Take(now, now); ok {
		return limitVerdict{from: from}
	}
	if ac.Overdraw(quota.OverdraftShare(lt.me.settings.Quota, li, ac.workspace, lt.me.settings.Name, lt.members()), now) {
		lt.overdrawn.Inc(1)
		return limitVerdict{from: now}
	}
	if until, isRefused := ac.RefusedUntil(now); isRefused {
		return limitVerdict{refusal: lt.refuse(ac, li, until, now)}
	}
	lt.unreached.Inc(1)
	lt.recordRefusal(ac, li, "no answer", quota.MaxWait, now)
	return limitVerdict{refusal: codes.Refuse(codes.OverLimit,
		"no instance has granted operations of workspace %s within %d ms; the last answer came %d ms ago",
		ac.workspace, ageMs(wa.since, now), ageMs(ac.answeredAt, now)).WithRetryAt(now.Add(quota.MaxWait))}
}

// askForWaiting sends a question for the waiting operations, once one may be sent; mu is held.
func (lt *limits) askForWaiting(ac *limitAccount, now time.Time) {
	if len(ac.waiting) == 0 || ac.IsAsking() || ac.isDelayed {
		return
	}
	from := ac.AskFrom()
	if until, isRefused := ac.RefusedUntil(now); isRefused && until.After(from) {
		from = until
	}
	wait := from.Sub(now)
	if wait <= 0 {
		lt.ask(ac, now)
		return
	}
	ac.isDelayed = true
	time.AfterFunc(wait, func() {
		lt.mu.Lock()
		defer lt.mu.Unlock()
		ac.isDelayed = false
		lt.askForWaiting(ac, lt.me.deps.Now())
	})
}

// ask sends a question; mu is held.
func (lt *limits) ask(ac *limitAccount, now time.Time) {
	qu := ac.Question(len(ac.waiting), now)
	lt.asked.Inc(1)
	lt.returned.Inc(int64(qu.Returned))
	go lt.question(ac, qu)
}

// limitAnswer is an answer and the member that was asked.
type limitAnswer struct {
	from   string
	answer *quota.Answer
}

// question sends a question, a second time if it is not answered soon, and records the answer.
func (lt *limits) question(ac *limitAccount, qu quota.Question) {
	ctx, cancel := context.WithTimeout(context.Background(), quota.MaxWait)
	defer cancel()
	answers := make(chan limitAnswer, 2)
	attempt := func(isSecond bool) { answers <- lt.attempt(ctx, ac.workspace, qu, isSecond) }
	go attempt(false)
	second := time.NewTimer(quota.HedgeAfter)
	defer second.Stop()
	for open := 1; open > 0; {
		select {
		case <-second.C:
			open++
			go attempt(true)
		case an := <-answers:
			open--
			if an.answer != nil {
				lt.adopt(ac, an)
				return
			}
		}
	}
	lt.mu.Lock()
	defer lt.mu.Unlock()
	now := lt.me.deps.Now()
	ac.GiveUp(qu.Seq, now)
	lt.askForWaiting(ac, now)
}

// attempt sends a question to the member that keeps the workspace as far as is known here.
func (lt *limits) attempt(ctx context.Context, workspace string, qu quota.Question, isSecond bool) limitAnswer {
	lt.mu.Lock()
	target, ok := lt.keeper.Target(workspace, lt.members(), isSecond, lt.me.deps.Now())
	lt.mu.Unlock()
	if !ok {
		return limitAnswer{}
	}
	if target == lt.me.settings.Name {
		return limitAnswer{target, lt.answer(ctx, workspace, qu, 0)}
	}
	re, _ := lt.call(ctx, target, limitQuery{Kind: limitAsk, Workspace: workspace, Question: &qu}, false)
	return limitAnswer{target, re.Answer}
}

// adopt records an answer and gives its credits to the waiting operations.
func (lt *limits) adopt(ac *limitAccount, an limitAnswer) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	now := lt.me.deps.Now()
	if !ac.Adopt(*an.answer, now) {
		lt.askForWaiting(ac, now)
		return
	}
	ac.answeredBy, ac.answeredAt = an.from, now
	li, _ := lt.limitOf(ac.workspace)
	until, isRefused := ac.RefusedUntil(now)
	var rest []*limitWaiter
	for _, wa := range ac.waiting {
		if from, ok := ac.Take(now, wa.by); ok {
			wa.verdict <- limitVerdict{from: from}
		} else if isRefused && !lt.isStarting(now) {
			wa.verdict <- limitVerdict{refusal: lt.refuse(ac, li, until, now)}
		} else {
			rest = append(rest, wa)
		}
	}
	ac.waiting = rest
	lt.askForWaiting(ac, now)
}

// answer answers a question, or returns nil if that is not possible now.
func (lt *limits) answer(ctx context.Context, workspace string, qu quota.Question, hops int) *quota.Answer {
	for range 2 {
		li, ok := lt.limitOf(workspace)
		if !ok {
			return nil
		}
		now := lt.me.deps.Now()
		hasPermit := lt.hasPermit(now)
		lt.mu.Lock()
		ro := lt.keeper.Route(workspace, lt.members(), hasPermit, hops, now)
		if ro.Kind == quota.Issue {
			an := lt.issue(workspace, li, qu, now)
			lt.mu.Unlock()
			return &an
		}
		lt.mu.Unlock()
		switch ro.Kind {
		case quota.Forward:
			for _, name := range ro.Pull {
				go lt.pull(context.WithoutCancel(ctx), workspace, name)
			}
			// Whether the other member answers matters also if the asking one has given up.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), forwardTimeout)
			defer cancel()
			re, _ := lt.call(ctx, ro.To, limitQuery{Kind: limitAsk, Workspace: workspace, Question: &qu, Hops: hops + 1}, true)
			return re.Answer
		case quota.Pull:
			lt.pullAll(ctx, workspace, ro.Pull)
		default:
			return nil
		}
	}
	return nil
}

// issue answers a question from this member's bucket; mu is held.
func (lt *limits) issue(workspace string, li quota.Limit, qu quota.Question, now time.Time) quota.Answer {
	bu, isNew := lt.keeper.Bucket(workspace, li, now)
	if isNew {
		first, _ := lt.keeper.First(workspace, lt.members(), func(string) bool { return false })
		event.Log(lt.me.log, event.LimitKept, "workspace", workspace, "first", first, "members", len(lt.members()))
	}
	an := bu.Ask(qu, now)
	lt.granted.Inc(int64(an.Count + an.Late + an.Ahead))
	return an
}

// pullAll asks members at the same time whether they keep the workspace.
func (lt *limits) pullAll(ctx context.Context, workspace string, names []string) {
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Add(1)
		go func() {
			defer wg.Done()
			lt.pull(ctx, workspace, name)
		}()
	}
	wg.Wait()
}

// pull asks a member for the state of a workspace, if it keeps it. If a request is under way, it
// does nothing.
func (lt *limits) pull(ctx context.Context, workspace, name string) {
	ke := [2]string{workspace, name}
	lt.mu.Lock()
	_, isUnderWay := lt.pulling[ke]
	lt.pulling[ke] = struct{}{}
	lt.mu.Unlock()
	if isUnderWay {
		return
	}
	// The state that the member hands over must not be lost with the question.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), forwardTimeout)
	defer cancel()
	sentAt := lt.me.deps.Now()
	re, err := lt.call(ctx, name, limitQuery{Kind: limitRelease, Workspace: workspace}, true)
	li, _ := lt.limitOf(workspace)
	lt.mu.Lock()
	defer lt.mu.Unlock()
	delete(lt.pulling, ke)
	now := lt.me.deps.Now()
	switch {
	case err != nil:
		lt.keeper.PullFailed(name, errors.Is(err, syscall.ECONNREFUSED), sentAt, now)
	case re.IsKept:
		lt.keeper.PullRefused(workspace, name, now)
	default:
		lt.keeper.PullAnswered(workspace, name, li, re.Handover, now)
	}
}

var errNotListed = errors.New("member is not listed")

// call sends a message to a member and records whether it answers. isKeeping is true if this
// member may have to keep the other one's workspaces.
func (lt *limits) call(ctx context.Context, name string, qu limitQuery, isKeeping bool) (limitReply, error) {
	qu.From, qu.Run = lt.me.settings.Name, lt.run
	address, ok := lt.me.roster.addressOf(name)
	if !ok {
		return limitReply{}, errNotListed
	}
	sentAt := lt.me.deps.Now()
	var re limitReply
	err := lt.peers.post(ctx, "http://"+address+limitPath, qu, &re)
	lt.mu.Lock()
	defer lt.mu.Unlock()
	now := lt.me.deps.Now()
	switch {
	case err == nil:
		lt.keeper.RecordMessage(name, re.Run, now)
		if re.IsLeaving {
			lt.keeper.RecordLeaving(name, re.Run, now)
		}
	case !errors.Is(ctx.Err(), context.Canceled):
		// A canceled call says nothing: the other message of the question was answered.
		lt.keeper.RecordSilence(name, isKeeping, sentAt)
	}
	return re, err
}

// serve answers another member's message.
func (lt *limits) serve(rw http.ResponseWriter, rq *http.Request) {
	var qu limitQuery
	if err := readExchange(http.MaxBytesReader(rw, rq.Body, maxLimitBytes), &qu); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	re := lt.reply(rq.Context(), qu)
	// As in shortHeaders.
	rw.Header()["Date"], rw.Header()["Content-Type"] = nil, nil
	_ = json.NewEncoder(rw).Encode(re)
}

// reply carries out a message.
func (lt *limits) reply(ctx context.Context, qu limitQuery) limitReply {
	now := lt.me.deps.Now()
	hasPermit := lt.hasPermit(now)
	li, isLimited := lt.limitOf(qu.Workspace)
	re := limitReply{Run: lt.run}
	lt.mu.Lock()
	lt.keeper.RecordMessage(qu.From, qu.Run, now)
	switch qu.Kind {
	case limitRelease:
		ha, ok := lt.keeper.Release(qu.Workspace, qu.From, lt.members(), hasPermit, now)
		re.Handover, re.IsKept = ha, !ok
	case limitInherit:
		if isLimited {
			lt.keeper.Inherit(qu.Workspace, qu.From, qu.Run, li, *qu.Handover, now)
		}
	}
	re.IsLeaving = lt.keeper.IsLeaving()
	lt.mu.Unlock()
	switch {
	case qu.Kind == limitAsk:
		re.Answer = lt.answer(ctx, qu.Workspace, *qu.Question, qu.Hops)
	case qu.Kind == limitProbe && qu.Target != "":
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		_, err := lt.call(ctx, qu.Target, limitQuery{Kind: limitProbe}, false)
		re.IsReached = err == nil
	}
	return re
}

// maintain does the periodic work.
func (lt *limits) maintain(ctx context.Context) {
	if !lt.me.settings.Quota.IsEnabled() {
		return
	}
	for delay.Pause(ctx, limitTick) {
		now := lt.me.deps.Now()
		hasPermit := lt.hasPermit(now)
		lt.mu.Lock()
		probes := lt.keeper.Tick(lt.members(), hasPermit, now)
		lt.sweep(now)
		lt.kept.Update(float64(lt.keeper.Kept()))
		lt.mu.Unlock()
		for _, name := range probes {
			go lt.probe(ctx, name)
		}
	}
}

// probe finds out whether a silent member answers, or whether others reach it, which may ask it
// for credits.
func (lt *limits) probe(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, limitCallTimeout)
	defer cancel()
	others := slices.DeleteFunc(lt.me.roster.others(), func(en entry) bool { return en.Name == name })
	rand.Shuffle(len(others), func(left, right int) { others[left], others[right] = others[right], others[left] })
	for _, en := range others[:min(len(others), limitWitnesses)] {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limitCallTimeout)
			defer cancel()
			re, err := lt.call(ctx, en.Name, limitQuery{Kind: limitProbe, Target: name}, false)
			if err == nil && re.IsReached {
				lt.mu.Lock()
				defer lt.mu.Unlock()
				lt.keeper.RecordContact(name, lt.me.deps.Now())
			}
		}()
	}
	_, _ = lt.call(ctx, name, limitQuery{Kind: limitProbe}, true)
}

// sweep logs the workspaces of which operations are no longer refused, and drops what is not in
// use; mu is held.
func (lt *limits) sweep(now time.Time) {
	for _, ac := range lt.accounts {
		if re := ac.refusing; re != nil && now.Sub(re.last) >= lt.me.settings.Quota.Window {
			event.Log(lt.me.log, event.LimitCleared, "workspace", ac.workspace, "refused", re.count, "lasted_ms", re.last.Sub(re.since).Milliseconds())
			ac.refusing = nil
		}
	}
	if now.Before(lt.sweepAt) {
		return
	}
	lt.sweepAt = now.Add(accountSweep)
	for workspace, ac := range lt.accounts {
		if ac.refusing == nil && len(ac.waiting) == 0 && !ac.isDelayed && ac.IsIdle(now) {
			delete(lt.accounts, workspace)
		}
	}
	lt.keeper.Forget(func(workspace string) bool {
		_, ok := lt.limitOf(workspace)
		return ok
	})
}

// leave ends the keeping of workspaces at once and hands them over.
func (lt *limits) leave(ctx context.Context) {
	if !lt.me.settings.Quota.IsEnabled() {
		return
	}
	now := lt.me.deps.Now()
	hasPermit := lt.hasPermit(now)
	lt.mu.Lock()
	departures := lt.keeper.Leave(lt.members(), hasPermit, now)
	lt.mu.Unlock()
	for _, de := range departures {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limitCallTimeout)
			defer cancel()
			_, _ = lt.call(ctx, de.To, limitQuery{Kind: limitInherit, Workspace: de.Workspace, Handover: &de.Handover}, false)
		}()
	}
}

// addressOf returns the address of a listed member, and false if it is not listed.
func (ro *roster) addressOf(name string) (string, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	kn := ro.members[name]
	if kn == nil {
		return "", false
	}
	return kn.entry.Address, kn.entry.Address != ""
}
