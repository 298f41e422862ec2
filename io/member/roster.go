package member

import (
	"context"
	"encoding/json"
	"sync"

	"banyanspring/core/catlg"
	"banyanspring/core/event"
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
	// Started tells the lives of one name apart.
	Started int64 `json:"started"`
	// Token orders the holders of the duty; each start draws a new one.
	Token uint64 `json:"token,omitempty"`
}

// roster knows the members. It is safe for concurrent use.
type roster struct {
	me *Member

	mu      sync.Mutex
	members map[string]entry
	// revisions holds the revision of each member's object.
	revisions map[string]uint64
	self      entry
	// isTold is true once the own object holds self.
	isTold bool
}

func newRoster(me *Member) *roster {
	self := entry{
		Name:    me.settings.Name,
		Address: me.settings.PeerAddress,
		Domain:  me.settings.Site.Domain,
		Region:  me.settings.Site.Region,
		Started: me.seams.Now().UnixNano(),
	}
	return &roster{me: me, members: make(map[string]entry), revisions: make(map[string]uint64), self: self}
}

// follow tells the store of this member and learns of the others.
func (ro *roster) follow(ctx context.Context) {
	var since uint64
	known := false
	he := &health{me: ro.me, what: "members"}
	for ctx.Err() == nil {
		err := ro.tell(ctx)
		if err == nil && known {
			since, err = ro.await(ctx, since)
		} else if err == nil {
			since, err = ro.read(ctx)
		}
		known = err == nil
		he.note(err)
		if err != nil {
			delay.Pause(ctx, retryPause)
		}
	}
}

// tell writes the own object if it does not hold what it should.
func (ro *roster) tell(ctx context.Context) error {
	ro.mu.Lock()
	isTold, self, revision := ro.isTold, ro.self, ro.revisions[ro.self.Name]
	ro.mu.Unlock()
	if isTold {
		return nil
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
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var lost ErrConflict
	if asConflict(err, &lost) {
		ro.revisions[self.Name] = lost.Object.Revision
		return err
	}
	if err != nil {
		return err
	}
	ro.isTold = true
	ro.revisions[self.Name] = obj.Revision
	return nil
}

func (ro *roster) read(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objs, revision, err := ro.me.seams.Store.List(ctx, kindMember)
	if err != nil {
		return 0, err
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.members = make(map[string]entry, len(objs))
	for _, obj := range objs {
		ro.note(obj)
	}
	ro.changed()
	return revision, nil
}

func (ro *roster) await(ctx context.Context, since uint64) (uint64, error) {
	events, revision, err := ro.me.seams.Store.Await(ctx, kindMember, since, watchWait)
	if err != nil {
		return since, err
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, ev := range events {
		if ev.Gone {
			delete(ro.members, ev.Object.Name)
			delete(ro.revisions, ev.Object.Name)
			continue
		}
		ro.note(ev.Object)
	}
	if len(events) > 0 {
		ro.changed()
	}
	return revision, nil
}

// note takes one member's object; mu is held.
func (ro *roster) note(obj Object) {
	var en entry
	if err := json.Unmarshal(obj.Value, &en); err != nil || en.Name != obj.Name {
		event.Log(ro.me.log, event.EntrySkipped, "kind", kindMember, "name", obj.Name)
		return
	}
	ro.members[obj.Name] = en
	ro.revisions[obj.Name] = obj.Revision
}

// changed logs the members; mu is held.
func (ro *roster) changed() {
	event.Log(ro.me.log, event.MembersChanged, "members", len(ro.members))
}

// size returns how many members share the connections, and false if that is
// not known yet.
func (ro *roster) size() (int, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if len(ro.members) == 0 {
		return 0, false
	}
	return len(ro.members), true
}

// leave takes this member out of the store.
func (ro *roster) leave(ctx context.Context) {
	ro.mu.Lock()
	revision := ro.revisions[ro.self.Name]
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

const (
	// reserved connections to each upstream are shared out to nobody: the
	// duty's holder and its stand-in need one each.
	reserved = 2
	// quotaUnknown is the share of a member that knows no other.
	quotaUnknown = 1
)

// quota returns this member's share of the connections to each upstream.
func (me *Member) quota(gr catlg.Group) int {
	members, ok := me.roster.size()
	if !ok {
		return quotaUnknown
	}
	return max(1, (gr.Connections-reserved)/members)
}
