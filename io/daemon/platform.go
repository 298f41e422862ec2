package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"banyanspring/core/adopt"
	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/life"
	"banyanspring/core/place"
	"banyanspring/io/delay"
	"banyanspring/io/peer"
	"banyanspring/io/store"
)

func init() {
	registry.Register(plugin{
		Name:  "platform",
		Stage: stagePlatform,
		Start: startPlatform,
	})
	registry.Register(plugin{Name: "following", Stage: stageCaller, Start: startFollowing})
}

// startPlatform reads what the daemon needs; the following starts with the
// peers.
func startPlatform(ctx context.Context, ho *Host) error {
	ho.store = store.New(ho.Settings.Platform.Address, ho.seams.PlatformTransport)
	ho.groups = newGroupCache()
	ho.mirror = newMirror(ho.seams.Now())
	ho.members = newMembership(ho.self(), ho.Log)
	ho.follower = &follower{ho: ho}
	creds, err := peerCredentials(ho.Settings.Peer)
	if err != nil {
		return err
	}
	ho.client = peer.NewClient(creds, ho.seams.DialPeer)
	return ho.follower.first(ctx)
}

// startFollowing goes on watching the platform, through the delegate of the
// failure domain.
func startFollowing(_ context.Context, ho *Host) error {
	go ho.follower.watch(store.KindDocument, ho.follower.document)
	go ho.follower.watch(store.KindGroup, ho.follower.group)
	go ho.follower.watch(store.KindInstanceList, ho.follower.instances)
	go ho.follower.list()
	return nil
}

// follower keeps the daemon's copy of the platform's objects up to date.
type follower struct {
	ho *Host
	// down is true while the platform does not answer.
	down atomic.Bool
}

// firstRetry is the pause between tries to read the platform at the start.
const firstRetry = 200 * time.Millisecond

// firstTimeout bounds one try to read the platform at the start.
const firstTimeout = 2 * time.Second

// first waits for the groups and the list, from the store or, while that is
// down, from the peers that the settings name. The document may come later.
func (fo *follower) first(ctx context.Context) error {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, firstTimeout)
		err := fo.readAll(tryCtx)
		cancel()
		fo.note(err)
		if err == nil || fo.readPeers(ctx) {
			return nil
		}
		if !delay.Pause(ctx, firstRetry) {
			return err
		}
	}
}

func (fo *follower) readAll(ctx context.Context) error {
	groups, err := fo.ho.store.List(ctx, store.KindGroup)
	if err != nil {
		return err
	}
	for _, obj := range groups {
		fo.group(obj)
		fo.ho.mirror.Put(obj)
	}
	docs, err := fo.ho.store.List(ctx, store.KindDocument)
	if err != nil {
		return err
	}
	for _, obj := range docs {
		fo.document(obj)
		fo.ho.mirror.Put(obj)
	}
	list, err := fo.ho.store.Instances(ctx)
	if err != nil {
		return err
	}
	fo.ho.members.SetListed(list)
	return nil
}

// readPeers takes what the peers of the settings have; each object counts by
// its version, so that the highest of all is in force. It reports whether the
// groups and the document are known now.
func (fo *follower) readPeers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, firstTimeout)
	defer cancel()
	takers := map[string]func(store.Object){
		store.KindGroup:        fo.group,
		store.KindDocument:     fo.document,
		store.KindInstanceList: fo.instances,
	}
	for _, address := range fo.ho.Settings.Peer.Seeds {
		for kind, take := range takers {
			objs, err := fo.ho.client.Snapshot(ctx, place.Member{ID: address, Address: address}, kind)
			if err != nil {
				break
			}
			for _, obj := range objs {
				take(obj)
				fo.ho.mirror.Put(obj)
			}
		}
	}
	return len(fo.ho.groups.List()) > 0 && fo.ho.DocumentVersion() > 0
}

// note logs when the platform stops or starts to answer.
func (fo *follower) note(err error) {
	isDown := err != nil
	if fo.down.Swap(isDown) == isDown {
		return
	}
	if isDown {
		event.Log(fo.ho.Log, event.PlatformDown, "error", err)
		return
	}
	event.Log(fo.ho.Log, event.PlatformUp)
}

const (
	// watchRetryMin and watchRetryMax bound the pause after a failed watch.
	watchRetryMin = 200 * time.Millisecond
	watchRetryMax = 5 * time.Second
)

// source returns the daemon to take objects from; false says that it is this
// one, which then reads the store.
func (fo *follower) source() (place.Member, bool) {
	ho := fo.ho
	mem, ok := ho.members.View(ho.seams.Now()).Delegate(ho.Settings.Daemon.Domain)
	return mem, ok && !ho.isSelf(mem)
}

// watch follows one kind of objects.
func (fo *follower) watch(kind string, take func(store.Object)) {
	var after uint64
	var from string
	wait := watchRetryMin
	ctx := fo.ho.background
	for ctx.Err() == nil {
		// Lists are numbered by their delegate: another one starts anew.
		if mem, _ := fo.source(); mem.ID != from {
			from = mem.ID
			after = 0
		}
		objs, err := fo.next(ctx, kind, after)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			delay.Pause(ctx, jitter(wait))
			wait = min(2*wait, watchRetryMax)
			continue
		}
		wait = watchRetryMin
		for _, obj := range objs {
			take(obj)
			fo.ho.mirror.Put(obj)
			after = max(after, obj.Version)
		}
	}
}

// jitter spreads retries, so that daemons do not come back all at once.
func jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(rand.Int64N(int64(wait)))
}

// next waits for newer objects, from the delegate or from the store.
func (fo *follower) next(ctx context.Context, kind string, after uint64) ([]store.Object, error) {
	wait := fo.ho.Settings.Platform.WatchWait
	if mem, ok := fo.source(); ok {
		fo.ho.mirror.SetFollowing(kind, false)
		ctx, cancel := context.WithTimeout(ctx, wait+peerGrace)
		defer cancel()
		objs, err := fo.ho.client.Watch(ctx, mem, kind, after, wait)
		if codes.Is(err, codes.PeerUnreached) {
			fo.ho.members.Suspect(mem.ID, fo.ho.seams.Now())
		}
		if codes.Is(err, codes.NotHome) {
			// It knows of a delegate that this daemon does not: look itself.
			return fo.lookOnce(kind, after)
		}
		return objs, err
	}
	fo.ho.mirror.SetFollowing(kind, true)
	if kind == store.KindInstanceList {
		// The list has no watch: list polls it, and this loop follows suit.
		objs, _ := fo.ho.mirror.Watch(ctx, kind, after, fo.ho.Settings.Platform.ListEvery)
		return objs, nil
	}
	objs, err := fo.ho.store.Watch(ctx, kind, after, wait)
	if ctx.Err() == nil {
		fo.note(err)
	}
	return objs, err
}

// lookOnce reads the store once, while views of who is delegate differ.
func (fo *follower) lookOnce(kind string, after uint64) ([]store.Object, error) {
	ctx, cancel := context.WithTimeout(fo.ho.background, peerGrace)
	defer cancel()
	if !delay.Pause(ctx, jitter(watchRetryMin)) {
		return nil, ctx.Err()
	}
	if kind != store.KindInstanceList {
		return fo.ho.store.Watch(ctx, kind, after, time.Millisecond)
	}
	list, err := fo.ho.store.Instances(ctx)
	if err == nil {
		fo.ho.members.SetListed(list)
	}
	return nil, err
}

func (fo *follower) document(obj store.Object) {
	if obj.Name != store.CurrentDocument {
		return
	}
	out, err := fo.ho.keeper.Offer(obj.Version, obj.Value)
	switch out {
	case adopt.Adopted:
		event.Log(fo.ho.Log, event.DocumentAdopted, "version", obj.Version)
	case adopt.Invalid:
		event.Log(fo.ho.Log, event.DocumentRejected, "version", obj.Version, "error", err)
	}
}

func (fo *follower) group(obj store.Object) {
	if err := fo.ho.groups.offer(obj); err != nil {
		event.Log(fo.ho.Log, event.DocumentRejected, "group", obj.Name, "error", err)
	}
}

// list reads the platform's list of daemons now and then, if this daemon is
// the delegate of its failure domain.
func (fo *follower) list() {
	for delay.Pause(fo.ho.background, fo.ho.Settings.Platform.ListEvery) {
		if _, ok := fo.source(); ok {
			continue
		}
		list, err := fo.ho.store.Instances(fo.ho.background)
		if err != nil {
			continue
		}
		if raw, err := json.Marshal(list); err == nil {
			fo.ho.mirror.PutList(raw)
		}
	}
}

// instances takes the list of daemons.
func (fo *follower) instances(obj store.Object) {
	var list []store.Instance
	if json.Unmarshal(obj.Value, &list) == nil {
		fo.ho.members.SetListed(list)
	}
}

// announce tells the platform that the daemon runs or is leaving.
func (ho *Host) announce(ctx context.Context) error {
	ins := store.Instance{
		ID:      ho.Settings.Daemon.ID,
		Address: ho.PeerAddress(),
		Caller:  ho.CallerAddress(),
		Admin:   ho.AdminAddress(),
		Domain:  ho.Settings.Daemon.Domain,
		Region:  ho.Settings.Daemon.Region,
		Leaving: ho.life.State() == life.Leaving,
	}
	_, err := ho.store.PutAlways(ctx, store.KindInstance, ins.ID, ins)
	return err
}
