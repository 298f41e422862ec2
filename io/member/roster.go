package member

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/event"
	"banyanspring/core/revn"
	"banyanspring/core/share"
	"banyanspring/io/delay"
	"banyanspring/io/stall"
)

// kindMember is the kind of the store objects through which members discover each
// other.
const kindMember = "banyanspring-members"

// entry is the content of a member's object in the store.
type entry struct {
	Name string `json:"name"`
	// Address is where the other members connect, "ip:port".
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	// Relay is where the other members connect to relay batches, "ip:port".
	Relay string `json:"relay"`
	// Weight is the instance's size.
	Weight float64 `json:"weight"`
	// Started distinguishes successive processes with the same name; it is a Unix
	// time in nanoseconds.
	Started int64 `json:"started"`
	// TokenRequests counts how often the member requested a newer token.
	TokenRequests int `json:"draws"`
	// Rank is the member's first token once it has requested another, and 0 before:
	// a newer token does not change who is the coordinator.
	Rank uint64 `json:"rank,omitempty"`
}

// knownMember is one member in the roster.
type knownMember struct {
	entry entry
	// token is the member's fencing token: the revision of its own object. The store
	// assigns each number to one change, so that no two members ever hold the same, and
	// a later writer holds a higher one.
	token uint64
	// failures counts failed exchanges in a row.
	failures int
	// firstRank is the rank in an earlier era of the store; 0 if it is that of the entry or
	// the token.
	firstRank uint64
	// retryAt is when an unreachable member is tried again.
	retryAt time.Time
	// heardAt is when the member last sent this one a query or answered one, or when
	// its object was last received, if later.
	heardAt time.Time
}

// rank returns the member's place in the order of coordinators; the lowest is
// first.
func (kn *knownMember) rank() uint64 {
	if kn.entry.Rank != 0 {
		return kn.entry.Rank
	}
	if kn.firstRank != 0 {
		return kn.firstRank
	}
	return kn.token
}

// suspect is a member whose object is in the store after a restore, but that was not known
// before, so that it may have left. It is passed over until it writes again.
type suspect struct {
	token uint64
	// since is when it was first seen.
	since time.Time
}

// roster is the membership list: the members whose objects are in the store, this one
// included, and whether they can be reached. Members are ranked by their first tokens,
// the lowest first, and the first reachable one is the coordinator. It is safe for
// concurrent use.
type roster struct {
	me *Member

	mu      sync.Mutex
	members map[string]*knownMember
	self    entry
	// shared holds the members among which connections are divided; nil if it must
	// be rebuilt. It is never changed in place.
	shared []share.Member
	// listRevision is the revision of the list of members, and listed is closed once there
	// is one.
	listRevision uint64
	listed       chan struct{}
	listedOnce   sync.Once
	// removals holds the members that were removed after historySince, the oldest first.
	removals     []removal
	historySince uint64
	// missing holds the known members that a restored store does not list; they stay for
	// maxSilence. suspects holds those that it lists although they were not known.
	missing  map[string]bool
	suspects map[string]suspect
	// revision is that of this member's own object; 0 if the object does not exist.
	revision uint64
	// isWritten is true once the own object in the store holds self.
	isWritten bool
	// hasJoined is true once this process has written its object.
	hasJoined bool
	// drawnAt is when the write that gave the token began.
	drawnAt time.Time
	// lastToken is the token to use while a newer one is requested; zero if none may be
	// used until then.
	lastToken uint64
	// wasDomainFirst is true if this member was the first of its failure domain when it last
	// wrote its object, by the object that it replaced.
	wasDomainFirst bool
	// isEraWrite is true if this process has to write its object again because of a new era
	// of the store.
	isEraWrite bool
	// isLeaving is true once this member's object is to be removed from the store.
	isLeaving bool
	// domainFirstSince is when this member became the first of its failure domain;
	// zero if it is not.
	domainFirstSince time.Time
	// domainHeardAt holds, for each failure domain, when any of its members was last
	// heard from, even if it has been removed since: usually only the first of a
	// domain exchanges with members outside it.
	domainHeardAt map[string]time.Time
	// confirmedAt is when the store last confirmed the list of members.
	confirmedAt instant
	// wake triggers a check of the own object, and reshare a recalculation of the
	// connection shares.
	wake, reshare chan struct{}
}

func newRoster(me *Member) *roster {
	self := entry{
		Name:    me.settings.Name,
		Address: me.settings.PeerAddress,
		Relay:   me.settings.RelayAddress,
		Weight:  me.settings.Weight,
		Domain:  me.settings.Site.Domain,
		Region:  me.settings.Site.Region,
		Started: time.Now().UnixNano(),
	}
	return &roster{me: me, members: make(map[string]*knownMember), missing: make(map[string]bool), suspects: make(map[string]suspect), domainHeardAt: make(map[string]time.Time), self: self, listed: make(chan struct{}), wake: make(chan struct{}, 1), reshare: make(chan struct{}, 1)}
}

// run writes this member's object and keeps the list of members up to date.
func (ro *roster) run(ctx context.Context) {
	go ro.maintainOwnObject(ctx)
	sw := &storeWatcher{
		me: ro.me, what: "members", confirmedAt: &ro.confirmedAt, since: &revision{}, read: ro.read, await: ro.await,
		pause: membersPause, freshFor: membersFreshFor, firstFreshFor: membersFreshFor, isReadFirst: true,
		isOutdated: ro.isOutdated,
	}
	sw.run(ctx)
}

const (
	// membersPause follows each answer to the watch of the members.
	membersPause = 500 * time.Millisecond
	// membersFreshFor is how long a confirmed list of members counts as fresh.
	membersFreshFor = 5 * time.Second
	// membersWatchWait is how long the coordinator's watch of the members waits.
	membersWatchWait = 2 * time.Second
)

// maintainOwnObject writes the own object whenever the store does not hold self.
func (ro *roster) maintainOwnObject(ctx context.Context) {
	for ctx.Err() == nil {
		if err := ro.writeOwnObject(ctx); err != nil {
			delay.Pause(ctx, retryPause)
			continue
		}
		select {
		case <-ro.wake:
		case <-ctx.Done():
		}
	}
}

// wakeWriter triggers a check of the own object.
func (ro *roster) wakeWriter() { signal(ro.wake) }

// signal sends to a channel with a buffer of one, unless the buffer is full.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// writeOwnObject writes the own object if the store does not hold self.
func (ro *roster) writeOwnObject(ctx context.Context) error {
	ro.mu.Lock()
	isWritten, self, revision := ro.isWritten || ro.isLeaving, ro.self, ro.revision
	listEra := revn.EraOf(ro.listRevision)
	ro.mu.Unlock()
	if isWritten {
		return nil
	}
	era := ro.me.era.load()
	switch {
	case revision != 0 && revn.EraOf(revision) < era && listEra < era:
		// The list will hold the object's revision in the new era.
		return errEraUnread
	case !ro.me.era.mayWrite(ro.me.deps.Now()):
		return errEraSpread
	}
	if !ro.me.pacer.allow() {
		return errStorePaused
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := ro.me.deps.Now()
	var obj Object
	var err error
	if revision == 0 {
		obj, err = ro.me.deps.Store.Create(ctx, kindMember, self.Name, self)
	} else {
		obj, err = ro.me.deps.Store.Update(ctx, kindMember, self.Name, revision, self)
	}
	ro.me.pacer.record(err)
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if now := ro.me.era.load(); err == nil && (revn.EraOf(obj.Revision) < now || (era != 0 && era != now)) {
		// The store was restored meanwhile, and may or may not hold the object.
		err = ErrEraChanged{}
	}
	var conflict ErrConflict
	switch {
	case errors.As(err, &conflict):
		// The object is from an earlier process of this member, or from a call
		// whose answer was lost.
		ro.revision = conflict.Object.Revision
		return err
	case IsErrObjectNotExist(err), IsErrEraChanged(err):
		ro.revision = 0
		return err
	case err != nil:
		return err
	}
	ro.wasDomainFirst = !ro.isEraWrite && ro.isFirstOfDomain(ro.ranked())
	ro.isEraWrite = false
	ro.isWritten, ro.hasJoined = true, true
	ro.revision, ro.drawnAt, ro.lastToken = obj.Revision, began, 0
	ro.put(obj)
	return nil
}

func (ro *roster) read(ctx context.Context) (uint64, error) {
	ctx, cancel := stall.WithTimeout(ctx, callTimeout, transferLimit, nil)
	defer cancel()
	objs, revision, err := ro.me.deps.Store.List(ctx, kindMember)
	if err != nil {
		return 0, err
	}
	ro.replace(objs, revision)
	ro.me.checkReady()
	return revision, nil
}

// replace applies a complete list of members that was read from the store at a revision,
// unless a newer list is known.
func (ro *roster) replace(objs []Object, revision uint64) { ro.replaceBy(objs, revision, true) }

// replaceBy is replace; isRead is false if another member has sent the list, and so passed
// over those that have to write again.
func (ro *roster) replaceBy(objs []Object, revision uint64, isRead bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if revision < ro.listRevision {
		return
	}
	if ro.listRevision > 0 && revn.EraOf(revision) > revn.EraOf(ro.listRevision) {
		ro.beginList(objs, revision, isRead)
	}
	if ro.listRevision == 0 {
		ro.historySince = revision
		ro.listedOnce.Do(func() { close(ro.listed) })
	}
	ro.listRevision = revision
	listed := make(map[string]bool, len(objs))
	for _, obj := range objs {
		ro.put(obj)
		listed[obj.Name] = true
	}
	for name, kn := range ro.members {
		// A member with a higher token was written after the list was read.
		if !listed[name] && kn.token <= revision && !ro.missing[name] {
			ro.removeAt(name, revision)
		}
	}
	ro.membersChanged()
}

// await waits for changes of the members and applies them.
func (ro *roster) await(ctx context.Context, since uint64) (uint64, error) {
	events, revision, err := ro.me.deps.Store.Await(ctx, kindMember, since, membersWatchWait)
	if err != nil {
		return since, err
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if revn.EraOf(revision) < revn.EraOf(ro.listRevision) {
		return since, ErrHistoryGone{}
	}
	for _, ev := range events {
		if ev.IsRemoved {
			delete(ro.suspects, ev.Object.Name)
			ro.removeAt(ev.Object.Name, revision)
			continue
		}
		ro.put(ev.Object)
	}
	ro.listRevision = max(ro.listRevision, revision)
	if len(events) > 0 {
		ro.membersChanged()
	}
	return revision, nil
}

// hasList reports whether a list of members has been received.
func (ro *roster) hasList() bool { return ro.knownRevision() > 0 }

// knownRevision returns the revision of the list of members.
func (ro *roster) knownRevision() uint64 {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.listRevision
}

// silentMembers returns the tokens of the members that this one must remove from
// the store. The first member of a failure domain removes the members of its domain
// that were silent for maxSilence, since they exchange with it. The first member of all
// removes the members of a domain of which all were silent for twice as long.
func (ro *roster) silentMembers(now time.Time) map[string]uint64 {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ranked := ro.ranked()
	isFirst := len(ranked) > 0 && ranked[0].entry.Name == ro.self.Name
	if !ro.isFirstOfDomain(ranked) {
		ro.domainFirstSince = time.Time{}
		return nil
	}
	if ro.domainFirstSince.IsZero() {
		ro.domainFirstSince = now
	}
	if now.Sub(ro.domainFirstSince) <= maxSilence {
		return nil
	}
	out := make(map[string]uint64)
	for name, su := range ro.suspects {
		if isFirst && now.Sub(su.since) > maxSilence {
			out[name] = su.token
		}
	}
	for name, kn := range ro.members {
		if ro.missing[name] {
			// There is no object to remove.
			continue
		}
		isDomainLost := isFirst && now.Sub(ro.domainHeardAt[kn.entry.Domain]) > 2*maxSilence
		isSilentHere := kn.entry.Domain == ro.self.Domain && now.Sub(kn.heardAt) > maxSilence
		if name != ro.self.Name && (isSilentHere || isDomainLost) {
			out[name] = kn.token
		}
	}
	return out
}

// isDomainFirst reports whether this member is the first of its failure domain, from
// which the others of the domain receive the state.
func (ro *roster) isDomainFirst() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.isFirstOfDomain(ro.ranked())
}

// isFirstOfDomain reports whether this member is the first of its failure
// domain; mu is held.
func (ro *roster) isFirstOfDomain(ranked []*knownMember) bool {
	for _, kn := range ranked {
		if kn.entry.Domain == ro.self.Domain {
			return kn.entry.Name == ro.self.Name
		}
	}
	return false
}

// maxSilence is how long a member may be silent before it is removed from the store
// and its share of the connections goes to others. Deputies replace homes in the
// meantime, and each change of the members moves homes and their connections, so it
// is longer than restarts and most network partitions take.
const maxSilence = 20 * time.Second

// prune removes silent members from the store.
func (ro *roster) prune(ctx context.Context) {
	for name, token := range ro.silentMembers(ro.me.deps.Now()) {
		if !ro.me.pacer.allow() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := ro.me.deps.Store.Delete(callCtx, kindMember, name, token)
		cancel()
		ro.me.pacer.record(err)
		event.Log(ro.me.log, event.PeerRemoved, "peer", name, "token", token, "error", errText(err))
		if err == nil {
			ro.mu.Lock()
			delete(ro.suspects, name)
			ro.remove(name)
			ro.mu.Unlock()
		}
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// decodeEntry decodes a member's object. The addresses become parts of URLs.
func decodeEntry(obj Object) (entry, error) {
	var en entry
	if err := json.Unmarshal(obj.Value, &en); err != nil {
		return en, err
	}
	if en.Name != obj.Name || en.Name == "" {
		return en, errors.Newf("entry of %q is that of %q", obj.Name, en.Name)
	}
	for _, address := range []string{en.Address, en.Relay} {
		if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
			return en, errors.Wrap(err, "address")
		}
	}
	return en, nil
}

// put adds or updates one member from its object, and reports whether that changed
// anything; mu is held.
func (ro *roster) put(obj Object) bool {
	en, err := decodeEntry(obj)
	if err != nil {
		event.Log(ro.me.log, event.EntrySkipped, "kind", kindMember, "name", obj.Name, "error", err.Error())
		return false
	}
	if old := ro.members[obj.Name]; old != nil && old.token >= obj.Revision {
		// Known already, or an event that was read before the newer version.
		return false
	}
	if su, ok := ro.suspects[obj.Name]; ok && obj.Revision <= su.token {
		return false
	}
	delete(ro.suspects, obj.Name)
	delete(ro.missing, obj.Name)
	ro.shared = nil
	now := ro.me.deps.Now()
	next := &knownMember{entry: en, token: obj.Revision, heardAt: now}
	if old := ro.members[obj.Name]; old != nil && old.entry.Started == en.Started && revn.EraOf(old.token) < revn.EraOf(obj.Revision) {
		// It may not have been written since the restore of the store, so that it says
		// nothing new on whether the member runs, and may lack its rank.
		next.heardAt, next.failures, next.retryAt, next.firstRank = old.heardAt, old.failures, old.retryAt, old.rank()
	} else {
		ro.domainHeardAt[en.Domain] = now
	}
	ro.members[obj.Name] = next
	if en.Name == ro.self.Name && en != ro.self && !ro.isLeaving {
		// A late write by an earlier process has replaced the own object.
		ro.isWritten, ro.revision, ro.lastToken = false, obj.Revision, 0
		ro.wakeWriter()
	}
	return true
}

// remove removes a member from the roster; mu is held.
func (ro *roster) remove(name string) {
	delete(ro.members, name)
	ro.shared = nil
	if name == ro.self.Name {
		ro.isWritten, ro.revision, ro.lastToken = false, 0, 0
		ro.wakeWriter()
	}
}

// membersChanged logs the number of members and triggers a recalculation of the
// shares; mu is held.
func (ro *roster) membersChanged() {
	signal(ro.reshare)
	event.Log(ro.me.log, event.MembersChanged, "members", len(ro.members), "token", ro.token())
}

// token returns this member's token, 0 if it has none; mu is held.
func (ro *roster) token() uint64 {
	if !ro.isWritten {
		return ro.lastToken
	}
	return ro.revision
}

// rank returns this member's rank, 0 if it has none; mu is held.
func (ro *roster) rank() uint64 {
	if ro.self.Rank != 0 {
		return ro.self.Rank
	}
	return ro.token()
}

// isJoined reports whether this process has written its object and so has had a token.
// While it requests a newer one it stays the coordinator.
func (ro *roster) isJoined() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.hasJoined
}

// Token returns this member's token, and false if it has none.
func (ro *roster) Token() (uint64, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	to := ro.token()
	return to, to != 0
}

// drawnToken returns this member's token and a time before it was drawn; zero if it has
// none.
func (ro *roster) drawnToken() (uint64, time.Time) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.token(), ro.drawnAt
}

// isAmongFirst reports whether this member is one of the first reachable members in
// rank.
func (ro *roster) isAmongFirst(count int) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.isLeaving {
		return false
	}
	for pos, kn := range ro.ranked() {
		if pos >= count {
			break
		}
		if kn.entry.Name == ro.self.Name {
			return true
		}
	}
	return false
}

// requestNewToken has the own object written again to get a newer token, because the
// old one is spent (see appointments) or was refused in favour of another coordinator's
// newer one.
func (ro *roster) requestNewToken(old uint64) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if !ro.isWritten || ro.revision != old {
		return
	}
	if ro.self.Rank == 0 {
		ro.self.Rank = old
	}
	if ro.me.settings.LeasesRequired {
		// The token may still be good for some groups, see vetting.
		ro.lastToken = old
	}
	ro.self.TokenRequests++
	ro.isWritten = false
	ro.wakeWriter()
}

// recordContact records that a member was heard from. One that has not joined stays or is
// excluded, so that the next in rank becomes the coordinator.
func (ro *roster) recordContact(name string, hasJoined bool, now time.Time) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if kn := ro.members[name]; kn != nil {
		kn.heardAt = now
		if hasJoined {
			kn.failures = 0
		} else {
			ro.exclude(name)
		}
		ro.domainHeardAt[kn.entry.Domain] = now
	}
}

// markLeaving marks a member that announced its shutdown as unreachable, before its
// object is removed.
func (ro *roster) markLeaving(name string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.exclude(name) {
		event.Log(ro.me.log, event.PeerLeaving, "peer", name)
	}
}

// exclude marks a member as unreachable until it is tried again, and reports whether it
// was reachable; mu is held.
func (ro *roster) exclude(name string) bool {
	kn := ro.members[name]
	if kn == nil || kn.failures >= unreachedAfter {
		return false
	}
	kn.failures = unreachedAfter
	kn.retryAt = ro.me.deps.Now().Add(unreachedRetry)
	return true
}

const (
	// unreachedAfter is how many exchanges in a row must fail before a member
	// counts as unreachable; a single failure may be due to a dead connection.
	unreachedAfter = 2
	// unreachedRetry is the time between two exchanges with an unreachable member.
	unreachedRetry = time.Second
)

// recordExchange records how an exchange with a member ended and, if it was answered,
// whether the member has joined.
func (ro *roster) recordExchange(en entry, hasJoined bool, err error, now time.Time) {
	if err == nil {
		ro.recordContact(en.Name, hasJoined, now)
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	kn := ro.members[en.Name]
	if kn == nil {
		return
	}
	kn.failures++
	kn.retryAt = now.Add(unreachedRetry)
	if kn.failures == unreachedAfter {
		event.Log(ro.me.log, event.PeerUnreached, "peer", en.Name, "address", en.Address, "error", err.Error())
	}
}

// nextUnreached returns an unreachable member to try again. Members behind this one
// in rank are skipped, since only those ahead decide whether it is the coordinator.
func (ro *roster) nextUnreached(now time.Time) (entry, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, kn := range ro.members {
		if kn.failures < unreachedAfter || now.Before(kn.retryAt) || kn.rank() > ro.rank() {
			continue
		}
		kn.retryAt = now.Add(unreachedRetry)
		return kn.entry, true
	}
	return entry{}, false
}

// maxPredecessors bounds the members that are tried concurrently.
const maxPredecessors = 8

// predecessors returns the reachable members that are ahead of this one in rank,
// the first in rank first.
func (ro *roster) predecessors() []entry {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var out []entry
	for _, kn := range ro.ranked() {
		if kn.entry.Name == ro.self.Name || len(out) == maxPredecessors {
			break
		}
		out = append(out, kn.entry)
	}
	return out
}

// count returns the number of known members.
func (ro *roster) count() int {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return len(ro.members)
}

// names returns the names of the known members.
func (ro *roster) names() []string {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	out := make([]string, 0, len(ro.members))
	for name := range ro.members {
		out = append(out, name)
	}
	return out
}

// others returns all known members but this one, those included that are not reached.
func (ro *roster) others() []entry {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	out := make([]entry, 0, len(ro.members))
	for name, kn := range ro.members {
		if name != ro.self.Name {
			out = append(out, kn.entry)
		}
	}
	return out
}

// getMember returns the entry of another member, and false if it is not known.
func (ro *roster) getMember(name string) (entry, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	kn := ro.members[name]
	if kn == nil || name == ro.self.Name {
		return entry{}, false
	}
	return kn.entry, true
}

// anyOther returns another member drawn at random, and false if there is none.
func (ro *roster) anyOther() (entry, bool) {
	others := ro.others()
	if len(others) == 0 {
		return entry{}, false
	}
	return others[rand.IntN(len(others))], true
}

// isOutdated reports whether the list of members is older than this member's own object, and
// nobody has passed on a newer one for a while. After a restart of all members, each ranks the
// others by their objects of before, and so itself behind them: nobody is the coordinator.
func (ro *roster) isOutdated(now time.Time) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.listRevision > 0 && revn.EraOf(ro.listRevision) < ro.me.era.load() && ro.me.era.isKnownFor(outdatedAfter, now) {
		return true
	}
	wait := outdatedAfter
	if ro.wasDomainFirst {
		wait = firstOutdatedAfter
	}
	return ro.isWritten && ro.listRevision < ro.revision && now.Sub(ro.drawnAt) > wait
}

const (
	// outdatedAfter is how long after a member has written its object its list of members
	// must hold it: the coordinator's watch and two exchanges fit into it.
	outdatedAfter = 1500 * time.Millisecond
	// firstOutdatedAfter is the same for the member that was the first of its failure domain
	// before it restarted, from which the others of the domain receive the list.
	firstOutdatedAfter = 300 * time.Millisecond
)

// relays returns members that may reach an upstream of the failure domain: its own first,
// then the others. In a large fleet these are some of each domain.
func (ro *roster) relays(domain string) []entry {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var near, far []entry
	count := make(map[string]int)
	ranked := ro.ranked()
	isLarge := len(ranked)-1 > maxOrderRelays
	for _, kn := range ranked {
		en := kn.entry
		if en.Name == ro.self.Name || (isLarge && count[en.Domain] == maxDomainRelays) {
			continue
		}
		count[en.Domain]++
		if en.Domain == domain {
			near = append(near, en)
		} else {
			far = append(far, en)
		}
	}
	out := append(near, far...)
	return out[:min(len(out), maxOrderRelays)]
}

// ranked returns this member and all reachable ones, the first in rank first; mu is
// held.
func (ro *roster) ranked() []*knownMember {
	out := make([]*knownMember, 0, len(ro.members))
	for _, kn := range ro.members {
		if kn.entry.Name == ro.self.Name || kn.failures < unreachedAfter {
			out = append(out, kn)
		}
	}
	slices.SortFunc(out, func(left, right *knownMember) int { return cmp.Compare(left.rank(), right.rank()) })
	return out
}

// source returns the member to exchange with: the first of the own failure domain,
// or the first of all if this member is the first of its domain, or the second of
// all if it is the first of all.
func (ro *roster) source() (entry, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ranked := ro.ranked()
	for _, kn := range ranked {
		if kn.entry.Domain != ro.self.Domain {
			continue
		}
		if kn.entry.Name != ro.self.Name {
			return kn.entry, true
		}
		break
	}
	for _, kn := range ranked {
		if kn.entry.Name != ro.self.Name {
			return kn.entry, true
		}
	}
	return entry{}, false
}

// isCoordinator reports whether this member is the first in rank of the reachable
// members, and so the coordinator. A member that has started while the store is away has
// not joined, although its earlier object may still be listed.
func (ro *roster) isCoordinator() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.isLeaving {
		return false
	}
	ranked := ro.ranked()
	return ro.hasJoined && len(ranked) > 0 && ranked[0].entry.Name == ro.self.Name
}

// leave removes this member's object from the store.
func (ro *roster) leave(ctx context.Context) {
	ro.mu.Lock()
	ro.isLeaving = true
	revision := ro.revision
	ro.mu.Unlock()
	if revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := ro.me.deps.Store.Delete(ctx, kindMember, ro.self.Name, revision)
	if IsErrEraChanged(err) {
		var obj Object
		if obj, err = ro.me.deps.Store.Get(ctx, kindMember, ro.self.Name); err == nil {
			err = ro.me.deps.Store.Delete(ctx, kindMember, ro.self.Name, obj.Revision)
		}
	}
	if err != nil {
		event.Log(ro.me.log, event.PlatformDown, "what", "leave", "error", err.Error())
	}
}
