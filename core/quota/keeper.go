package quota

import (
	"cmp"
	"slices"
	"time"

	"banyanspring/core/quorum"
)

const (
	// TakeoverAfter is how long a member must have been silent before the next in rank keeps
	// its workspaces: longer than the permit of a keeper that is cut off.
	TakeoverAfter = quorum.Duration + 50*time.Millisecond
	// ProbeInterval is the time between two probes of a silent member.
	ProbeInterval = 250 * time.Millisecond
	// silenceKeep is how long a failed call counts; without a newer one it is not known
	// whether the member is still silent.
	silenceKeep = 1500 * time.Millisecond
	// silenceRetry is how long an asking instance passes over a silent member. It doubles with
	// each failed trial up to maxSilenceRetry, since a trial delays an operation.
	silenceRetry    = 500 * time.Millisecond
	maxSilenceRetry = 4 * time.Second
	// leavingKeep is how long a member that has announced its end is passed over.
	leavingKeep = 15 * time.Second
	// noneKeep is how long it counts that a member has said that it does not keep a workspace.
	noneKeep = 3 * time.Second
	// yieldKeep is how long a bucket can be handed over after questions were passed on
	// to another member, which may begin without it afterwards.
	yieldKeep = time.Second
	// deferKeep is how long questions go to the present keeper, whose list of members does not
	// have this instance yet.
	deferKeep = 300 * time.Millisecond
	// maxTickGap is the time without a call of Tick after which the process counts as
	// suspended. It is shorter than TakeoverAfter.
	maxTickGap = time.Second
	// maxHops bounds how often a question is passed on.
	maxHops = 2
	// pullDepth is the number of members next in rank that are asked for a bucket.
	pullDepth = 2
)

// RouteKind says what becomes of a question.
type RouteKind uint8

// Kinds of routes.
const (
	// Unavailable questions cannot be answered now.
	Unavailable RouteKind = iota
	// Issue questions are answered from this instance's bucket.
	Issue
	// Forward questions go to the member To.
	Forward
	// Pull questions wait until the members in Pull have said whether they keep the workspace.
	Pull
)

// Route is the decision on a question. Pull may hold members also if the kind is Forward: they
// are asked in advance, because To may have ended.
type Route struct {
	Kind RouteKind
	To   string
	Pull []string
}

// Keeper holds the workspaces that one instance keeps, and what it knows of the other members.
// It is not safe for concurrent use.
type Keeper struct {
	self      string
	settings  Settings
	startedAt time.Time
	tickedAt  time.Time
	isLeaving bool
	kept      map[string]*kept
	links     map[string]*link
	// nones holds until when it counts that a member does not keep a workspace.
	nones map[string]map[string]time.Time
	// weights holds the listed weights of members, and largest the largest of them.
	weights map[string]float64
	largest float64
	// deferred holds the members that go on keeping a workspace of this instance.
	deferred map[string]deferral
}

type kept struct {
	bucket *Bucket
	// yieldedAt is when a question was first passed on; zero if none was.
	yieldedAt time.Time
}

type deferral struct {
	to    string
	until time.Time
}

// link is what is known of another member.
type link struct {
	// silentSince is when the first call was sent that failed, with no success since; zero
	// if there is none. failedAt is when the last one was sent.
	silentSince, failedAt time.Time
	// contactAt is when the member was last known to run.
	contactAt time.Time
	// isProbed is true if the silence or the announced end matters to a keeper.
	isProbed bool
	probeAt  time.Time
	// leavingUntil is when an announced end is forgotten, leavingRun the process that ends.
	leavingUntil time.Time
	leavingRun   uint32
}

// NewKeeper returns the keeper of an instance that starts.
func NewKeeper(self string, se Settings, now time.Time) *Keeper {
	return &Keeper{
		self: self, settings: se, startedAt: now, tickedAt: now, kept: make(map[string]*kept), links: make(map[string]*link),
		nones: make(map[string]map[string]time.Time), deferred: make(map[string]deferral),
	}
}

// SetWeights records the listed weights of the members. The map must not be changed afterwards.
func (ke *Keeper) SetWeights(weights map[string]float64) {
	ke.weights, ke.largest = weights, 0
	for _, weight := range weights {
		ke.largest = max(ke.largest, weight)
	}
}

// isStrong reports whether a member has at least half of the largest weight. The processor limit
// pauses smaller ones for up to 100 ms at a time, in which they answer no question.
func (ke *Keeper) isStrong(name string) bool { return 2*ke.weights[name] >= ke.largest }

// First returns the member that ranks first for the workspace, as the package's First does, but
// strong members rank before all others.
func (ke *Keeper) First(workspace string, members []string, skip func(string) bool) (string, bool) {
	name, ok := First(workspace, members, func(name string) bool { return !ke.isStrong(name) || skip(name) })
	if !ok {
		return First(workspace, members, skip)
	}
	return name, true
}

// isAhead reports whether one member ranks before another.
func (ke *Keeper) isAhead(workspace, left, right string) bool {
	if isStrong := ke.isStrong(left); isStrong != ke.isStrong(right) {
		return isStrong
	}
	return isAhead(score(workspace, left), score(workspace, right), left, right)
}

// formerFirsts returns the members that rank first if only those of at least some weight are
// strong, for each weight. One of them kept the workspace before a change of the largest weight.
func (ke *Keeper) formerFirsts(workspace string, members []string, skip func(string) bool) []string {
	sorted := slices.DeleteFunc(slices.Clone(members), skip)
	slices.SortFunc(sorted, func(left, right string) int {
		if order := cmp.Compare(ke.weights[right], ke.weights[left]); order != 0 {
			return order
		}
		if isAhead(score(workspace, left), score(workspace, right), left, right) {
			return -1
		}
		return 1
	})
	var out []string
	for _, name := range sorted {
		if len(out) == 0 || isAhead(score(workspace, name), score(workspace, out[len(out)-1]), name, out[len(out)-1]) {
			out = append(out, name)
		}
	}
	return out
}

// Target returns the member to ask for credits, and false if there is none. A silent one is tried
// from time to time, but not with the second message of a question.
func (ke *Keeper) Target(workspace string, members []string, isSecond bool, now time.Time) (string, bool) {
	return ke.First(workspace, members, func(name string) bool {
		li := ke.links[name]
		isSilent := li != nil && !li.silentSince.IsZero()
		return ke.isPassedOver(name, now) || (isSilent && (isSecond || now.Sub(li.failedAt) < li.retryAfter()))
	})
}

func (li *link) retryAfter() time.Duration {
	return min(max(silenceRetry, li.failedAt.Sub(li.silentSince)), maxSilenceRetry)
}

// isPassedOver reports whether the member has announced its end.
func (ke *Keeper) isPassedOver(name string, now time.Time) bool {
	if name == ke.self {
		return ke.isLeaving
	}
	li := ke.links[name]
	return li != nil && now.Before(li.leavingUntil)
}

// isGone reports whether the member keeps nothing any more.
func (ke *Keeper) isGone(name string, now time.Time) bool {
	if ke.isPassedOver(name, now) {
		return true
	}
	li := ke.links[name]
	return li != nil && !li.silentSince.IsZero() && now.Sub(li.silentSince) >= TakeoverAfter && now.Sub(li.failedAt) < silenceKeep
}

// Route decides on a question that this instance has received, or asks itself.
func (ke *Keeper) Route(workspace string, members []string, hasPermit bool, hops int, now time.Time) Route {
	ke.dropUnless(hasPermit, now)
	first, ok := ke.First(workspace, members, func(name string) bool { return ke.isGone(name, now) })
	if !ok {
		return Route{}
	}
	if first != ke.self {
		ke.yield(workspace, now)
		ro := Route{Kind: Forward, To: first}
		if li := ke.links[first]; li != nil && !li.silentSince.IsZero() && hasPermit {
			ro.Pull = ke.toPull(workspace, members, now, first)
		}
		if hops >= maxHops {
			ro.Kind = Unavailable
		}
		return ro
	}
	if !hasPermit {
		return Route{}
	}
	ke.watchDeparted(workspace, members)
	if ke.kept[workspace] != nil {
		ke.kept[workspace].yieldedAt = time.Time{}
		return Route{Kind: Issue}
	}
	if de, ok := ke.deferred[workspace]; ok && now.Before(de.until) && hops < maxHops {
		return Route{Kind: Forward, To: de.to}
	}
	if pull := ke.toPull(workspace, members, now, ""); len(pull) > 0 {
		return Route{Kind: Pull, Pull: pull}
	}
	return Route{Kind: Issue}
}

// watchDeparted has the member probed that would keep the workspace if it had not announced its
// end: its announcement may be late, and a new process may run.
func (ke *Keeper) watchDeparted(workspace string, members []string) {
	ahead, _ := ke.First(workspace, members, func(name string) bool { return name != ke.self && ke.links[name] == nil })
	if li := ke.links[ahead]; li != nil && !li.leavingUntil.IsZero() {
		li.isProbed = true
	}
}

// dropUnless forgets all buckets if another member may have kept the workspaces meanwhile.
func (ke *Keeper) dropUnless(hasPermit bool, now time.Time) {
	if hasPermit && now.Sub(ke.tickedAt) <= maxTickGap {
		return
	}
	clear(ke.kept)
	clear(ke.nones)
}

// yield has the bucket of a workspace that another member keeps end soon.
func (ke *Keeper) yield(workspace string, now time.Time) {
	ep := ke.kept[workspace]
	if ep == nil {
		return
	}
	if ep.yieldedAt.IsZero() {
		ep.yieldedAt = now
	} else if now.Sub(ep.yieldedAt) > yieldKeep {
		delete(ke.kept, workspace)
	}
}

// toPull returns the members that may keep the workspace: the next in rank and the former firsts,
// apart from the one given, which have not said that they do not and are not gone.
func (ke *Keeper) toPull(workspace string, members []string, now time.Time, apart string) []string {
	var asked []string
	isOut := func(name string) bool { return name == ke.self || name == apart || ke.isGone(name, now) }
	for range pullDepth {
		name, ok := ke.First(workspace, members, func(name string) bool { return slices.Contains(asked, name) || isOut(name) })
		if !ok {
			break
		}
		asked = append(asked, name)
	}
	for _, name := range ke.formerFirsts(workspace, members, isOut) {
		if !slices.Contains(asked, name) {
			asked = append(asked, name)
		}
	}
	return slices.DeleteFunc(asked, func(name string) bool {
		return now.Before(ke.nones[workspace][name]) || now.Before(ke.nones[""][name])
	})
}

// Bucket returns the bucket for a question with the route Issue, which may begin now, and true
// if it does.
func (ke *Keeper) Bucket(workspace string, li Limit, now time.Time) (*Bucket, bool) {
	if ep := ke.kept[workspace]; ep != nil {
		ep.bucket.SetLimit(li, now)
		return ep.bucket, false
	}
	bu := NewBucket(ke.settings, li, now)
	ke.kept[workspace] = &kept{bucket: bu}
	return bu, true
}

// Kept returns the number of workspaces that this instance keeps.
func (ke *Keeper) Kept() int { return len(ke.kept) }

// PullAnswered records that a member does not keep the workspace, or has handed it over.
func (ke *Keeper) PullAnswered(workspace, from string, li Limit, ha *Handover, now time.Time) {
	ke.RecordContact(from, now)
	if ke.nones[workspace] == nil {
		ke.nones[workspace] = make(map[string]time.Time)
	}
	ke.nones[workspace][from] = now.Add(noneKeep)
	if ha != nil && ke.kept[workspace] == nil {
		ke.kept[workspace] = &kept{bucket: Resume(ke.settings, li, *ha, now)}
	}
}

// PullRefused records that a member goes on keeping the workspace for now.
func (ke *Keeper) PullRefused(workspace, from string, now time.Time) {
	ke.RecordContact(from, now)
	ke.deferred[workspace] = deferral{from, now.Add(deferKeep)}
}

// startSpan is how long after its start an instance takes a refused connection for a member
// that has not started yet. Later it may be a cut, behind which the member still runs.
const startSpan = 5 * time.Second

// PullFailed records a call that was not answered. isRefused is true if nothing listens there.
func (ke *Keeper) PullFailed(from string, isRefused bool, sentAt, now time.Time) {
	ke.RecordSilence(from, true, sentAt)
	if isRefused && now.Sub(ke.startedAt) < startSpan {
		if ke.nones[""] == nil {
			ke.nones[""] = make(map[string]time.Time)
		}
		ke.nones[""][from] = now.Add(noneKeep)
	}
}

// Release gives a workspace up in favour of a member. It returns nil if this instance does not
// keep it, and false if it goes on keeping it.
func (ke *Keeper) Release(workspace, to string, members []string, hasPermit bool, now time.Time) (*Handover, bool) {
	ke.dropUnless(hasPermit, now)
	ep := ke.kept[workspace]
	if ep == nil {
		return nil, true
	}
	if !ep.yieldedAt.IsZero() && now.Sub(ep.yieldedAt) > yieldKeep {
		delete(ke.kept, workspace)
		return nil, true
	}
	isListed := false
	for _, name := range members {
		isListed = isListed || name == to
	}
	if !ke.isLeaving && (!isListed || !ke.isAhead(workspace, to, ke.self)) {
		return nil, false
	}
	ha := ep.bucket.Handover(now)
	delete(ke.kept, workspace)
	return &ha, true
}

// Departure is a workspace that a leaving instance hands over.
type Departure struct {
	Workspace, To string
	Handover      Handover
}

// Leave ends the keeping of all workspaces at once.
func (ke *Keeper) Leave(members []string, hasPermit bool, now time.Time) []Departure {
	ke.dropUnless(hasPermit, now)
	ke.isLeaving = true
	var out []Departure
	for workspace, ep := range ke.kept {
		to, ok := ke.First(workspace, members, func(name string) bool { return ke.isGone(name, now) })
		if ok && ep.yieldedAt.IsZero() {
			out = append(out, Departure{workspace, to, ep.bucket.Handover(now)})
		}
	}
	clear(ke.kept)
	return out
}

// Inherit records the hand-over of a leaving member.
func (ke *Keeper) Inherit(workspace, from string, run uint32, li Limit, ha Handover, now time.Time) {
	ke.RecordLeaving(from, run, now)
	if ke.kept[workspace] == nil && !ke.isLeaving {
		ke.kept[workspace] = &kept{bucket: Resume(ke.settings, li, ha, now)}
	}
}

// IsLeaving reports whether this instance has announced its end.
func (ke *Keeper) IsLeaving() bool { return ke.isLeaving }

// RecordLeaving records that the process of a member has announced its end.
func (ke *Keeper) RecordLeaving(name string, run uint32, now time.Time) {
	if name != ke.self {
		li := ke.link(name)
		li.leavingUntil, li.leavingRun = now.Add(leavingKeep), run
	}
}

// RecordMessage records a message or an answer of a member's process. The member runs, also if
// it cannot be reached from here, and an announced end of an earlier process is over.
func (ke *Keeper) RecordMessage(name string, run uint32, now time.Time) {
	if li := ke.links[name]; li != nil && li.leavingRun != run {
		li.leavingUntil = time.Time{}
	}
	ke.RecordContact(name, now)
}

// RecordContact records that a member has answered, or that another one reaches it.
func (ke *Keeper) RecordContact(name string, now time.Time) {
	if li := ke.links[name]; li != nil {
		li.silentSince, li.contactAt = time.Time{}, now
		li.isProbed = now.Before(li.leavingUntil)
	}
}

// RecordSilence records a call that was sent at a time and not answered. isKeeping is true if
// this instance may have to keep the member's workspaces.
func (ke *Keeper) RecordSilence(name string, isKeeping bool, sentAt time.Time) {
	li := ke.link(name)
	if sentAt.Before(li.contactAt) {
		return
	}
	if li.silentSince.IsZero() || sentAt.Sub(li.failedAt) > silenceKeep {
		li.silentSince = sentAt
	}
	if sentAt.After(li.failedAt) {
		li.failedAt = sentAt
	}
	li.isProbed = li.isProbed || isKeeping
}

func (ke *Keeper) link(name string) *link {
	li := ke.links[name]
	if li == nil {
		li = &link{}
		ke.links[name] = li
	}
	return li
}

// Tick must be called several times a second. It forgets old state and returns the silent
// and leaving members to probe.
func (ke *Keeper) Tick(members []string, hasPermit bool, now time.Time) []string {
	ke.dropUnless(hasPermit, now)
	ke.tickedAt = now
	listed := make(map[string]bool, len(members))
	for _, name := range members {
		listed[name] = true
	}
	var probes []string
	for name, li := range ke.links {
		switch {
		case !listed[name] && !now.Before(li.leavingUntil):
			delete(ke.links, name)
		case listed[name] && li.isProbed && (!li.silentSince.IsZero() || now.Before(li.leavingUntil)) && !now.Before(li.probeAt):
			li.probeAt = now.Add(ProbeInterval)
			probes = append(probes, name)
		}
	}
	ke.forgetOld(now)
	return probes
}

// forgetOld drops what counts no longer.
func (ke *Keeper) forgetOld(now time.Time) {
	for workspace, ep := range ke.kept {
		if !ep.yieldedAt.IsZero() && now.Sub(ep.yieldedAt) > yieldKeep {
			delete(ke.kept, workspace)
		}
	}
	for workspace, byName := range ke.nones {
		for name, until := range byName {
			if !now.Before(until) {
				delete(byName, name)
			}
		}
		if len(byName) == 0 {
			delete(ke.nones, workspace)
		}
	}
	for workspace, de := range ke.deferred {
		if !now.Before(de.until) {
			delete(ke.deferred, workspace)
		}
	}
}

// Forget drops the workspaces that no longer have a limit.
func (ke *Keeper) Forget(isLimited func(workspace string) bool) {
	for workspace := range ke.kept {
		if !isLimited(workspace) {
			delete(ke.kept, workspace)
		}
	}
}
