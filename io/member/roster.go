package member

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/event"
	"banyanspring/core/share"
	"banyanspring/io/delay"
)

// kindMember is the kind of the objects by which members know of each other.
const kindMember = "banyanspring-members"

// entry is what a member tells the others of itself.
type entry struct {
	Name string `json:"name"`
	// Address serves the other members, "ip:port".
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	// Relay serves the batches that other members relay, "ip:port".
	Relay string `json:"relay"`
	// Weight is the instance's size.
	Weight float64 `json:"weight"`
	// Started tells the lives of one name apart.
	Started int64 `json:"started"`
	// Draws counts how often the member asked for a newer token.
	Draws int `json:"draws"`
	// Rank is the member's first token once it has drawn another, and 0 before:
	// a newer token does not change who holds the duty.
	Rank uint64 `json:"rank,omitempty"`
}

// member is what is known of one member.
type known struct {
	entry entry
	// token is the revision of the member's own object. The store gives each
	// number to one change, so that no two members ever hold the same, and a
	// later writer holds a higher one.
	token uint64
	// failures counts exchanges that failed in a row.
	failures int
	// retryAt is when a member that counts as gone is tried again.
	retryAt time.Time
	// heardAt is when the member last asked or answered.
	heardAt time.Time
}

// rank orders the members for the duty.
func (kn *known) rank() uint64 {
	if kn.entry.Rank != 0 {
		return kn.entry.Rank
	}
	return kn.token
}

// roster knows the members. It is safe for concurrent use.
type roster struct {
	me *Member

	mu      sync.Mutex
	members map[string]*known
	self    entry
	// shared holds the members that share connections; nil if it is to be made
	// anew. It is never changed in place.
	shared []share.Member
	// listed is the revision of the list of members.
	listed uint64
	// revision is that of the own object; 0 if it does not exist.
	revision uint64
	// isTold is true once the own object holds self.
	isTold bool
	// isLeaving is true once this member is to be taken out.
	isLeaving bool
	// firstSince is since when this member is the first of its domain; zero if
	// it is not.
	firstSince time.Time
	// domains holds when a member of each failure domain was last heard, whether
	// it is still there or not: the first of a domain speaks for the others.
	domains map[string]time.Time
	// confirmedAt is when the store last confirmed the list.
	confirmedAt instant
	// wake has the own object looked at, and reshare the shares of connections.
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
	return &roster{me: me, members: make(map[string]*known), domains: make(map[string]time.Time), self: self, wake: make(chan struct{}, 1), reshare: make(chan struct{}, 1)}
}

// follow tells the store of this member and learns of the others.
func (ro *roster) follow(ctx context.Context) {
	go ro.keepTold(ctx)
	fo := &follower{
		me: ro.me, what: "members", confirmedAt: &ro.confirmedAt, read: ro.read, await: ro.await,
		pause: membersPause, freshFor: membersFresh,
	}
	fo.run(ctx)
}

const (
	// membersPause is kept between two answers of the members' watch.
	membersPause = 500 * time.Millisecond
	// membersFresh is how long what is known of the members counts as fresh.
	membersFresh = 5 * time.Second
	// membersWait is how long the first member's watch of the members waits.
	membersWait = 2 * time.Second
)

// keepTold writes the own object whenever it does not hold what it should.
func (ro *roster) keepTold(ctx context.Context) {
	for ctx.Err() == nil {
		if err := ro.tell(ctx); err != nil {
			delay.Pause(ctx, retryPause)
			continue
		}
		select {
		case <-ro.wake:
		case <-ctx.Done():
		}
	}
}

// prod has the own object looked at.
func (ro *roster) prod() { signal(ro.wake) }

// signal makes a channel of one place ready, if it is not.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// tell writes the own object if it does not hold what it should.
func (ro *roster) tell(ctx context.Context) error {
	ro.mu.Lock()
	isTold, self, revision := ro.isTold || ro.isLeaving, ro.self, ro.revision
	ro.mu.Unlock()
	if isTold {
		return nil
	}
	if !ro.me.pacer.may() {
		return errStorePaused
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var obj Object
	var err error
	if revision == 0 {
		obj, err = ro.me.seams.Store.Create(ctx, kindMember, self.Name, self)
	} else {
		obj, err = ro.me.seams.Store.Update(ctx, kindMember, self.Name, revision, self)
	}
	ro.me.pacer.note(err)
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var lost ErrConflict
	switch {
	case errors.As(err, &lost):
		// An earlier life of this member, or a call of it whose answer was lost.
		ro.revision = lost.Object.Revision
		return err
	case IsErrObjectNotExist(err):
		ro.revision = 0
		return err
	case err != nil:
		return err
	}
	ro.isTold = true
	ro.revision = obj.Revision
	ro.note(obj)
	return nil
}

func (ro *roster) read(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objs, revision, err := ro.me.seams.Store.List(ctx, kindMember)
	if err != nil {
		return 0, err
	}
	ro.replace(objs, revision)
	ro.me.noteReady()
	return revision, nil
}

// replace takes the whole list of members at a revision.
func (ro *roster) replace(objs []Object, revision uint64) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if revision < ro.listed {
		return
	}
	ro.listed = revision
	listed := make(map[string]bool, len(objs))
	for _, obj := range objs {
		ro.note(obj)
		listed[obj.Name] = true
	}
	for name, kn := range ro.members {
		// The own object may have been written after the list was read.
		if !listed[name] && kn.token <= revision {
			ro.forget(name)
		}
	}
	ro.changed()
}

// await waits for changes of the members.
func (ro *roster) await(ctx context.Context, since uint64) (uint64, error) {
	events, revision, err := ro.me.seams.Store.Await(ctx, kindMember, since, membersWait)
	if err != nil {
		return since, err
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, ev := range events {
		if ev.Gone {
			ro.forget(ev.Object.Name)
			continue
		}
		ro.note(ev.Object)
	}
	ro.listed = max(ro.listed, revision)
	if len(events) > 0 {
		ro.changed()
	}
	return revision, nil
}

// objects returns the list of members for another member, if it is newer than
// the revision given.
func (ro *roster) objects(than uint64) ([]Object, uint64) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.listed <= than {
		return nil, ro.listed
	}
	out := make([]Object, 0, len(ro.members))
	for name, kn := range ro.members {
		raw, err := json.Marshal(kn.entry)
		if err != nil {
			continue
		}
		out = append(out, Object{Name: name, Revision: kn.token, Value: raw})
	}
	return out, ro.listed
}

// isKnown reports whether the list of members has been heard.
func (ro *roster) isKnown() bool { return ro.revisionKnown() > 0 }

// revisionKnown returns the revision of the list of members.
func (ro *roster) revisionKnown() uint64 {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.listed
}

// silent returns the tokens of members that this one is to take out of the
// store: the first member of a failure domain looks after the domain, since the
// others of it exchange with that one, and the first member of all after
// domains from which nobody is heard.
func (ro *roster) silent(now time.Time) map[string]uint64 {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ranked := ro.ranked()
	isFirst := len(ranked) > 0 && ranked[0].entry.Name == ro.self.Name
	if !ro.isFirstOfDomain(ranked) {
		ro.firstSince = time.Time{}
		return nil
	}
	if ro.firstSince.IsZero() {
		ro.firstSince = now
	}
	if now.Sub(ro.firstSince) <= silentFor {
		return nil
	}
	out := make(map[string]uint64)
	for name, kn := range ro.members {
		isDomainLost := isFirst && now.Sub(ro.domains[kn.entry.Domain]) > 2*silentFor
		isMine := kn.entry.Domain == ro.self.Domain && now.Sub(kn.heardAt) > silentFor
		if name != ro.self.Name && (isMine || isDomainLost) {
			out[name] = kn.token
		}
	}
	return out
}

// isFirstOfDomain reports whether this member is the first of its failure
// domain; mu is held.
func (ro *roster) isFirstOfDomain(ranked []*known) bool {
	for _, kn := range ranked {
		if kn.entry.Domain == ro.self.Domain {
			return kn.entry.Name == ro.self.Name
		}
	}
	return false
}

// silentFor is how long a member may be silent before it is taken out of the
// store and its share of the connections goes to others. Homes have deputies
// meanwhile, and each change of the members moves homes and their connections, so
// that it is longer than restarts and most splits of a fleet take.
const silentFor = 20 * time.Second

// prune takes silent members out of the store.
func (ro *roster) prune(ctx context.Context) {
	for name, token := range ro.silent(ro.me.seams.Now()) {
		if !ro.me.pacer.may() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := ro.me.seams.Store.Delete(callCtx, kindMember, name, token)
		cancel()
		ro.me.pacer.note(err)
		event.Log(ro.me.log, event.PeerRemoved, "peer", name, "token", token, "error", errText(err))
		if err == nil {
			ro.mu.Lock()
			ro.forget(name)
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

// note takes one member's object; mu is held.
func (ro *roster) note(obj Object) {
	var en entry
	if err := json.Unmarshal(obj.Value, &en); err != nil || en.Name != obj.Name {
		event.Log(ro.me.log, event.EntrySkipped, "kind", kindMember, "name", obj.Name)
		return
	}
	if old := ro.members[obj.Name]; old != nil && old.token == obj.Revision {
		return
	}
	ro.shared = nil
	now := ro.me.seams.Now()
	ro.members[obj.Name] = &known{entry: en, token: obj.Revision, heardAt: now}
	ro.domains[en.Domain] = now
	if en.Name == ro.self.Name && en != ro.self && !ro.isLeaving {
		// A late write of an earlier life has replaced the own object.
		ro.isTold, ro.revision = false, obj.Revision
		ro.prod()
	}
}

// forget drops a member; mu is held.
func (ro *roster) forget(name string) {
	delete(ro.members, name)
	ro.shared = nil
	if name == ro.self.Name {
		ro.isTold, ro.revision = false, 0
		ro.prod()
	}
}

// changed logs the members and has the shares applied; mu is held.
func (ro *roster) changed() {
	signal(ro.reshare)
	event.Log(ro.me.log, event.MembersChanged, "members", len(ro.members), "token", ro.token())
}

// token returns this member's token, 0 if it has none; mu is held.
func (ro *roster) token() uint64 {
	if !ro.isTold {
		return 0
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

// Token returns this member's token, and false if it has none.
func (ro *roster) Token() (uint64, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	to := ro.token()
	return to, to != 0
}

// draw asks for a newer token, because a newer holder of the duty is known.
func (ro *roster) draw(refused uint64) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if !ro.isTold || ro.revision != refused {
		return
	}
	if ro.self.Rank == 0 {
		ro.self.Rank = refused
	}
	ro.self.Draws++
	ro.isTold = false
	ro.prod()
}

// heard notes that a member is there.
func (ro *roster) heard(name string, now time.Time) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if kn := ro.members[name]; kn != nil {
		kn.heardAt, kn.failures = now, 0
		ro.domains[kn.entry.Domain] = now
	}
}

// gone notes that a member is leaving, before its object is gone.
func (ro *roster) gone(name string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if kn := ro.members[name]; kn != nil && kn.failures < failuresDown {
		kn.failures = failuresDown
		kn.retryAt = ro.me.seams.Now().Add(retryLost)
		event.Log(ro.me.log, event.PeerLeaving, "peer", name)
	}
}

const (
	// failuresDown is how many exchanges in a row must fail before a member
	// counts as gone; one may meet a dead connection.
	failuresDown = 2
	// retryLost is the time between two tries of a member that counts as gone.
	retryLost = time.Second
)

// answered notes how an exchange with a member ended.
func (ro *roster) answered(en entry, err error, now time.Time) {
	if err == nil {
		ro.heard(en.Name, now)
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	kn := ro.members[en.Name]
	if kn == nil {
		return
	}
	kn.failures++
	kn.retryAt = now.Add(retryLost)
	if kn.failures == failuresDown {
		event.Log(ro.me.log, event.PeerUnreached, "peer", en.Name, "address", en.Address, "error", err.Error())
	}
}

// lost returns a member that counts as gone and is to be tried again: one of
// older token than this one's, since only these matter to it.
func (ro *roster) lost(now time.Time) (entry, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, kn := range ro.members {
		if kn.failures < failuresDown || now.Before(kn.retryAt) || kn.rank() > ro.rank() {
			continue
		}
		kn.retryAt = now.Add(retryLost)
		return kn.entry, true
	}
	return entry{}, false
}

// maxElders bounds the members that are tried at once.
const maxElders = 8

// elders returns the members with the oldest tokens that are older than this
// one's and are not known to be gone.
func (ro *roster) elders() []entry {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var out []entry
	for _, kn := range ro.ranked() {
		if kn.entry.Name == ro.self.Name || len(out) == maxElders {
			break
		}
		out = append(out, kn.entry)
	}
	return out
}

// ranked returns the members that are there, first in rank first; mu is held.
func (ro *roster) ranked() []*known {
	out := make([]*known, 0, len(ro.members))
	for _, kn := range ro.members {
		if kn.entry.Name == ro.self.Name || kn.failures < failuresDown {
			out = append(out, kn)
		}
	}
	slices.SortFunc(out, func(left, right *known) int { return cmp.Compare(left.rank(), right.rank()) })
	return out
}

// source returns the member to exchange with: the first of the own failure
// domain, or the first of all, or the second if this one is the first.
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

// isHolder reports whether this member is the first of those that are there,
// and so holds the duty.
func (ro *roster) isHolder() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.isLeaving {
		return false
	}
	ranked := ro.ranked()
	return len(ranked) > 0 && ranked[0].entry.Name == ro.self.Name
}

// leave takes this member out of the store.
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
	if err := ro.me.seams.Store.Delete(ctx, kindMember, ro.self.Name, revision); err != nil {
		event.Log(ro.me.log, event.PlatformDown, "what", "leave", "error", err.Error())
	}
}
