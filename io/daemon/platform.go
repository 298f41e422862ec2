package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"banyanspring/core/adopt"
	"banyanspring/core/event"
	"banyanspring/core/life"
	"banyanspring/io/store"
)

func init() {
	registry.Register(plugin{
		Name:  "platform",
		Stage: stagePlatform,
		Start: startPlatform,
	})
}

// startPlatform reads what the daemon needs and goes on watching it.
func startPlatform(ctx context.Context, ho *Host) error {
	ho.store = store.New(ho.Settings.Platform.Address, ho.seams.PlatformTransport)
	ho.groups = newGroupCache()
	ho.members = newMembership(ho.self())
	fo := &follower{ho: ho}
	if err := fo.first(ctx); err != nil {
		return err
	}
	go fo.watch(store.KindDocument, fo.document)
	go fo.watch(store.KindGroup, fo.group)
	go fo.list()
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

// first waits for the groups and the list; the document may come later.
func (fo *follower) first(ctx context.Context) error {
	for {
		err := fo.readAll(ctx)
		fo.note(err)
		if err == nil {
			return nil
		}
		if !pause(ctx, firstRetry) {
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
	}
	docs, err := fo.ho.store.List(ctx, store.KindDocument)
	if err != nil {
		return err
	}
	for _, obj := range docs {
		fo.document(obj)
	}
	list, err := fo.ho.store.Instances(ctx)
	if err != nil {
		return err
	}
	fo.ho.members.SetListed(list)
	return nil
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

// watch follows one kind of objects.
func (fo *follower) watch(kind string, take func(store.Object)) {
	var after uint64
	wait := watchRetryMin
	ctx := fo.ho.background
	for ctx.Err() == nil {
		objs, err := fo.ho.store.Watch(ctx, kind, after, fo.ho.Settings.Platform.WatchWait)
		if ctx.Err() != nil {
			return
		}
		fo.note(err)
		if err != nil {
			pause(ctx, wait)
			wait = min(2*wait, watchRetryMax)
			continue
		}
		wait = watchRetryMin
		for _, obj := range objs {
			take(obj)
			after = max(after, obj.Version)
		}
	}
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

// list reads the platform's list of daemons now and then.
func (fo *follower) list() {
	for pause(fo.ho.background, fo.ho.Settings.Platform.ListEvery) {
		list, err := fo.ho.store.Instances(fo.ho.background)
		if err == nil {
			fo.ho.members.SetListed(list)
		}
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

// pause waits and reports whether the context still stands.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
