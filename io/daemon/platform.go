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

// startPlatform reads the groups, the document and the list of daemons once.
// The watches start in startFollowing, once the daemon serves its peers.
func startPlatform(ctx context.Context, ho *Daemon) error {
	ho.store = store.New(ho.Settings.Platform.Address, ho.deps.PlatformTransport)
	ho.groups = newGroupCache()
	ho.mirror = newMirror(ho.deps.Now())
	ho.members = newMembership(ho.self(), ho.Log)
	ho.follower = &platformFollower{ho: ho}
	creds, err := peerCredentials(ho.Settings.Peer)
	if err != nil {
		return err
	}
	ho.client = peer.NewClient(creds, ho.deps.DialPeer)
	return ho.follower.readInitial(ctx)
}

// startFollowing starts to watch the platform, through the delegate of the
// failure domain.
func startFollowing(_ context.Context, ho *Daemon) error {
	go ho.follower.watch(store.KindDocument, ho.follower.adoptDocument)
	go ho.follower.watch(store.KindGroup, ho.follower.updateGroup)
	go ho.follower.watch(store.KindInstanceList, ho.follower.setInstances)
	go ho.follower.pollInstances()
	return nil
}

// platformFollower keeps the daemon's copy of the platform's objects up to date.
type platformFollower struct {
	ho *Daemon
	// down is true after a failed read of the platform until the next success.
	down atomic.Bool
}

// startRetryInterval is the pause between attempts to read the platform at the
// start.
const startRetryInterval = 200 * time.Millisecond

// startTimeout limits one attempt at the start to read the platform, to read
// the peers, or to announce the daemon.
const startTimeout = 2 * time.Second

// readInitial retries until it has read the objects from the store or, while
// that is down, from the peers in the settings. A store without a document is
// no failure: the document may be written later.
func (fo *platformFollower) readInitial(ctx context.Context) error {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, startTimeout)
		err := fo.readAll(tryCtx)
		cancel()
		fo.logReachability(err)
		if err == nil || fo.readPeers(ctx) {
			return nil
		}
		if !delay.Pause(ctx, startRetryInterval) {
			return err
		}
	}
}

func (fo *platformFollower) readAll(ctx context.Context) error {
	groups, err := fo.ho.store.List(ctx, store.KindGroup)
	if err != nil {
		return err
	}
	for _, obj := range groups {
		fo.updateGroup(obj)
		fo.ho.mirror.Put(obj)
	}
	docs, err := fo.ho.store.List(ctx, store.KindDocument)
	if err != nil {
		return err
	}
	for _, obj := range docs {
		fo.adoptDocument(obj)
		fo.ho.mirror.Put(obj)
	}
	list, err := fo.ho.store.Instances(ctx)
	if err != nil {
		return err
	}
	fo.ho.members.SetListed(list)
	return nil
}

// readPeers reads the copies of the peers in the settings. Of each object the
// highest version wins. It reports whether groups and a document are known now.
func (fo *platformFollower) readPeers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	handlers := map[string]func(store.Object){
		store.KindGroup:        fo.updateGroup,
		store.KindDocument:     fo.adoptDocument,
		store.KindInstanceList: fo.setInstances,
	}
	for _, address := range fo.ho.Settings.Peer.Seeds {
		for kind, apply := range handlers {
			objs, err := fo.ho.client.Snapshot(ctx, place.Member{ID: address, Address: address}, kind)
			if err != nil {
				break
			}
			for _, obj := range objs {
				apply(obj)
				fo.ho.mirror.Put(obj)
			}
		}
	}
	return len(fo.ho.groups.List()) > 0 && fo.ho.DocumentVersion() > 0
}

// logReachability logs when the platform stops answering and when it answers
// again.
func (fo *platformFollower) logReachability(err error) {
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
	// watchRetryMin and watchRetryMax limit the pause after a failed watch, which
	// doubles with each failure.
	watchRetryMin = 200 * time.Millisecond
	watchRetryMax = 5 * time.Second
)

// source returns the delegate to receive objects from. It returns false if this
// daemon is the delegate or there is none; this daemon then reads the store.
func (fo *platformFollower) source() (place.Member, bool) {
	ho := fo.ho
	mem, ok := ho.members.View(ho.deps.Now()).Delegate(ho.Settings.Daemon.Domain)
	return mem, ok && !ho.isSelf(mem)
}

// watch applies the changes of one kind of objects until the daemon stops.
func (fo *platformFollower) watch(kind string, apply func(store.Object)) {
	var after uint64
	var from string
	wait := watchRetryMin
	ctx := fo.ho.background
	for ctx.Err() == nil {
		// Each delegate numbers the lists of daemons itself, so that the watch
		// starts from 0 at another one.
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
			apply(obj)
			fo.ho.mirror.Put(obj)
			after = max(after, obj.Version)
		}
	}
}

// jitter randomises a pause to 0.5 to 1.5 times the wait, so that daemons don't
// retry all at once.
func jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(rand.Int64N(int64(wait)))
}

// next waits for newer objects, from the delegate or from the store.
func (fo *platformFollower) next(ctx context.Context, kind string, after uint64) ([]store.Object, error) {
	wait := fo.ho.Settings.Platform.WatchWait
	if mem, ok := fo.source(); ok {
		fo.ho.mirror.SetFollowing(kind, false)
		ctx, cancel := context.WithTimeout(ctx, wait+peerGrace)
		defer cancel()
		objs, err := fo.ho.client.Watch(ctx, mem, kind, after, wait)
		if codes.Is(err, codes.PeerUnreached) {
			fo.ho.members.Suspect(mem.ID, fo.ho.deps.Now())
		}
		if codes.Is(err, codes.NotHome) {
			// The peer doesn't regard itself as delegate, as the membership views
			// differ; read the store instead.
			return fo.readStoreOnce(kind, after)
		}
		return objs, err
	}
	fo.ho.mirror.SetFollowing(kind, true)
	if kind == store.KindInstanceList {
		// The platform has no watch for its list: pollInstances puts the list
		// into the mirror, which is watched here.
		objs, _ := fo.ho.mirror.Watch(ctx, kind, after, fo.ho.Settings.Platform.ListEvery)
		return objs, nil
	}
	objs, err := fo.ho.store.Watch(ctx, kind, after, wait)
	if ctx.Err() == nil {
		fo.logReachability(err)
	}
	return objs, err
}

// readStoreOnce reads the store once after a short pause, while the daemons'
// views differ on which one is the delegate.
func (fo *platformFollower) readStoreOnce(kind string, after uint64) ([]store.Object, error) {
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

func (fo *platformFollower) adoptDocument(obj store.Object) {
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

func (fo *platformFollower) updateGroup(obj store.Object) {
	if err := fo.ho.groups.update(obj); err != nil {
		event.Log(fo.ho.Log, event.DocumentRejected, "group", obj.Name, "error", err)
	}
}

// pollInstances reads the platform's list of daemons into the mirror, at the
// interval of the settings. It skips a turn while another daemon is the
// delegate of the failure domain.
func (fo *platformFollower) pollInstances() {
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

// setInstances applies a list of daemons to the membership.
func (fo *platformFollower) setInstances(obj store.Object) {
	var list []store.Instance
	if json.Unmarshal(obj.Value, &list) == nil {
		fo.ho.members.SetListed(list)
	}
}

// announce writes the daemon's instance object to the store, which tells
// whether it is leaving.
func (ho *Daemon) announce(ctx context.Context) error {
	ins := store.Instance{
		ID:            ho.Settings.Daemon.ID,
		Address:       ho.PeerAddress(),
		CallerAddress: ho.CallerAddress(),
		AdminAddress:  ho.AdminAddress(),
		Domain:        ho.Settings.Daemon.Domain,
		Region:        ho.Settings.Daemon.Region,
		Leaving:       ho.life.State() == life.Leaving,
	}
	_, err := ho.store.PutAlways(ctx, store.KindInstance, ins.ID, ins)
	return err
}
