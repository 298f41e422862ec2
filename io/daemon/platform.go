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
	registry.Register(plugin{Name: "following", Stage: stageCaller, Start: startWatches})
}

// startPlatform reads the groups, the document and the list of daemons once.
// The watches start in startWatches, once the daemon serves its peers.
func startPlatform(ctx context.Context, da *Daemon) error {
	da.store = store.New(da.Settings.Platform.Address, da.deps.PlatformTransport)
	da.groups = newGroupCache()
	da.mirror = newMirror(da.deps.Now())
	da.members = newMembership(da.self(), da.Log)
	da.watcher = &platformWatcher{da: da}
	creds, err := peerCredentials(da.Settings.Peer)
	if err != nil {
		return err
	}
	da.client = peer.NewClient(creds, da.deps.DialPeer)
	return da.watcher.readInitial(ctx)
}

// startWatches starts to watch the platform's objects. The delegate of a failure
// domain reads them from the platform; the other daemons of the domain read them
// from the delegate.
func startWatches(_ context.Context, da *Daemon) error {
	go da.watcher.watch(store.KindDocument, da.watcher.adoptDocument)
	go da.watcher.watch(store.KindGroup, da.watcher.updateGroup)
	go da.watcher.watch(store.KindInstanceList, da.watcher.setInstances)
	go da.watcher.pollInstances()
	return nil
}

// platformWatcher keeps the daemon's copy of the platform's objects up to date.
type platformWatcher struct {
	da *Daemon
	// down is true after the initial read or a watch of the platform failed, until
	// the next one succeeds. The polls of the instance list don't change it.
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
// no failure: the document may be written later. Peers without groups or a document
// don't suffice, since they may not have read them yet.
func (pw *platformWatcher) readInitial(ctx context.Context) error {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, startTimeout)
		err := pw.readAll(tryCtx)
		cancel()
		pw.logReachability(err)
		if err == nil || pw.readPeers(ctx) {
			return nil
		}
		if !delay.Pause(ctx, startRetryInterval) {
			return err
		}
	}
}

func (pw *platformWatcher) readAll(ctx context.Context) error {
	groups, err := pw.da.store.List(ctx, store.KindGroup)
	if err != nil {
		return err
	}
	for _, obj := range groups {
		pw.updateGroup(obj)
		pw.da.mirror.Put(obj)
	}
	docs, err := pw.da.store.List(ctx, store.KindDocument)
	if err != nil {
		return err
	}
	for _, obj := range docs {
		pw.adoptDocument(obj)
		pw.da.mirror.Put(obj)
	}
	list, err := pw.da.store.Instances(ctx)
	if err != nil {
		return err
	}
	pw.da.members.SetListed(list)
	return nil
}

// readPeers reads the copies of the peers in the settings. The highest version of
// each group and document is kept, and the last list of daemons that was read. It
// reports whether groups and a document are known now.
func (pw *platformWatcher) readPeers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	handlers := map[string]func(store.Object){
		store.KindGroup:        pw.updateGroup,
		store.KindDocument:     pw.adoptDocument,
		store.KindInstanceList: pw.setInstances,
	}
	for _, address := range pw.da.Settings.Peer.Seeds {
		for kind, apply := range handlers {
			objs, err := pw.da.client.Snapshot(ctx, place.Member{ID: address, Address: address}, kind)
			if err != nil {
				break
			}
			for _, obj := range objs {
				apply(obj)
				pw.da.mirror.Put(obj)
			}
		}
	}
	return len(pw.da.groups.List()) > 0 && pw.da.DocumentVersion() > 0
}

// logReachability logs when the platform stops answering and when it answers
// again.
func (pw *platformWatcher) logReachability(err error) {
	isDown := err != nil
	if pw.down.Swap(isDown) == isDown {
		return
	}
	if isDown {
		event.Log(pw.da.Log, event.PlatformDown, "error", err)
		return
	}
	event.Log(pw.da.Log, event.PlatformUp)
}

const (
	// watchRetryMin and watchRetryMax limit the pause after a failed watch, which
	// doubles with each failure.
	watchRetryMin = 200 * time.Millisecond
	watchRetryMax = 5 * time.Second
)

// source returns the delegate to receive objects from. It returns false if this
// daemon is the delegate or there is none; this daemon then reads the store.
func (pw *platformWatcher) source() (place.Member, bool) {
	da := pw.da
	mem, ok := da.members.View(da.deps.Now()).Delegate(da.Settings.Daemon.Domain)
	return mem, ok && !da.isSelf(mem)
}

// watch applies the changes of one kind of objects until the daemon stops.
func (pw *platformWatcher) watch(kind string, apply func(store.Object)) {
	var after uint64
	var from string
	wait := watchRetryMin
	ctx := pw.da.background
	for ctx.Err() == nil {
		// Each delegate has its own version numbers for the lists of daemons, so
		// the watch starts from 0 when the delegate changes.
		if mem, _ := pw.source(); mem.ID != from {
			from = mem.ID
			after = 0
		}
		objs, err := pw.next(ctx, kind, after)
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
			pw.da.mirror.Put(obj)
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
func (pw *platformWatcher) next(ctx context.Context, kind string, after uint64) ([]store.Object, error) {
	wait := pw.da.Settings.Platform.WatchWait
	if mem, ok := pw.source(); ok {
		pw.da.mirror.SetReadsStore(kind, false)
		ctx, cancel := context.WithTimeout(ctx, wait+peerGrace)
		defer cancel()
		objs, err := pw.da.client.Watch(ctx, mem, kind, after, wait)
		if codes.Is(err, codes.PeerUnreached) {
			pw.da.members.Suspect(mem.ID, pw.da.deps.Now())
		}
		if codes.Is(err, codes.NotHome) {
			// NotHome here means that the peer is not the delegate in its own
			// membership view, which differs from this daemon's. The store is read
			// instead.
			return pw.readStoreOnce(kind, after)
		}
		return objs, err
	}
	pw.da.mirror.SetReadsStore(kind, true)
	if kind == store.KindInstanceList {
		// The platform has no watch for its list: pollInstances puts the list
		// into the mirror, which is watched here.
		objs, _ := pw.da.mirror.Watch(ctx, kind, after, pw.da.Settings.Platform.ListEvery)
		return objs, nil
	}
	objs, err := pw.da.store.Watch(ctx, kind, after, wait)
	if ctx.Err() == nil {
		pw.logReachability(err)
	}
	return objs, err
}

// readStoreOnce reads the store once after a short pause, while the daemons'
// views differ on which one is the delegate.
func (pw *platformWatcher) readStoreOnce(kind string, after uint64) ([]store.Object, error) {
	ctx, cancel := context.WithTimeout(pw.da.background, peerGrace)
	defer cancel()
	if !delay.Pause(ctx, jitter(watchRetryMin)) {
		return nil, ctx.Err()
	}
	if kind != store.KindInstanceList {
		return pw.da.store.Watch(ctx, kind, after, time.Millisecond)
	}
	list, err := pw.da.store.Instances(ctx)
	if err == nil {
		pw.da.members.SetListed(list)
	}
	return nil, err
}

func (pw *platformWatcher) adoptDocument(obj store.Object) {
	if obj.Name != store.CurrentDocument {
		return
	}
	out, err := pw.da.keeper.Offer(obj.Version, obj.Value)
	switch out {
	case adopt.Adopted:
		event.Log(pw.da.Log, event.DocumentAdopted, "version", obj.Version)
	case adopt.Invalid:
		event.Log(pw.da.Log, event.DocumentRejected, "version", obj.Version, "error", err)
	}
}

func (pw *platformWatcher) updateGroup(obj store.Object) {
	if err := pw.da.groups.update(obj); err != nil {
		// The event DocumentRejected also stands for a group that can't be read.
		event.Log(pw.da.Log, event.DocumentRejected, "group", obj.Name, "error", err)
	}
}

// pollInstances reads the platform's list of daemons into the mirror every
// ListEvery of the settings. It does nothing while another daemon is the delegate
// of the failure domain.
func (pw *platformWatcher) pollInstances() {
	for delay.Pause(pw.da.background, pw.da.Settings.Platform.ListEvery) {
		if _, ok := pw.source(); ok {
			continue
		}
		list, err := pw.da.store.Instances(pw.da.background)
		if err != nil {
			continue
		}
		if raw, err := json.Marshal(list); err == nil {
			pw.da.mirror.PutList(raw)
		}
	}
}

// setInstances applies a list of daemons to the membership.
func (pw *platformWatcher) setInstances(obj store.Object) {
	var list []store.Instance
	if json.Unmarshal(obj.Value, &list) == nil {
		pw.da.members.SetListed(list)
	}
}

// announce writes the daemon's instance object to the store. The object also says
// whether the daemon is leaving.
func (da *Daemon) announce(ctx context.Context) error {
	ins := store.Instance{
		ID:            da.Settings.Daemon.ID,
		Address:       da.PeerAddress(),
		CallerAddress: da.CallerAddress(),
		AdminAddress:  da.AdminAddress(),
		Domain:        da.Settings.Daemon.Domain,
		Region:        da.Settings.Daemon.Region,
		Leaving:       da.life.State() == life.Leaving,
	}
	_, err := da.store.PutAlways(ctx, store.KindInstance, ins.ID, ins)
	return err
}
