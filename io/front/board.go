package front

import (
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/place"
	"banyanspring/core/posn"
	"banyanspring/core/route"
	"banyanspring/io/store"
)

// boards holds what this entry has learned of each group's upstreams.
type boards struct {
	groups sync.Map
}

// board is the knowledge of one group. Readers load a snapshot without a lock.
type board struct {
	mu       sync.Mutex
	snapshot atomic.Pointer[[]route.Upstream]
	// group is the description from which the snapshot was made; it is set after
	// the snapshot.
	group atomic.Pointer[store.Group]
	// refreshAt is when the members may be asked for their terms again.
	refreshAt time.Time
}

func newBoards() *boards { return &boards{} }

// of returns the board of a group, rebuilt if the group has changed.
func (bo *boards) of(gr store.Group) *board {
	val, ok := bo.groups.Load(gr.Name)
	if !ok {
		val, _ = bo.groups.LoadOrStore(gr.Name, &board{})
	}
	bd := val.(*board)
	bd.adopt(gr)
	return bd
}

// adopt rebuilds the snapshot if the group has changed; requests on an
// unchanged group take no lock.
func (bd *board) adopt(gr store.Group) {
	if known := bd.group.Load(); known != nil && sameGroup(*known, gr) {
		return
	}
	bd.mu.Lock()
	defer bd.mu.Unlock()
	old := make(map[string]route.Upstream)
	if ups := bd.snapshot.Load(); ups != nil {
		for _, up := range *ups {
			old[up.Name] = up
		}
	}
	ups := make([]route.Upstream, len(gr.Members))
	for pos, mem := range gr.Members {
		up := old[mem.Name]
		up.Name = mem.Name
		up.Site = place.Site{Domain: mem.Domain, Region: mem.Region}
		up.Primary = mem.Name == gr.Primary
		up.Leaving = mem.Leaving
		ups[pos] = up
	}
	bd.snapshot.Store(&ups)
	bd.group.Store(&gr)
}

func sameGroup(left, right store.Group) bool {
	if left.TermNumber != right.TermNumber || left.Primary != right.Primary || len(left.Members) != len(right.Members) {
		return false
	}
	for pos := range left.Members {
		if left.Members[pos] != right.Members[pos] {
			return false
		}
	}
	return true
}

// upstreams returns the current knowledge; it must not be changed.
func (bd *board) upstreams() []route.Upstream { return *bd.snapshot.Load() }

// change replaces the knowledge of one upstream.
func (bd *board) change(name string, edit func(*route.Upstream)) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	next := append([]route.Upstream(nil), *bd.snapshot.Load()...)
	for pos := range next {
		if next[pos].Name == name {
			edit(&next[pos])
		}
	}
	bd.snapshot.Store(&next)
}

const (
	// failedPause is how long a failed upstream is tried last.
	failedPause = 250 * time.Millisecond
	// refreshPause is the pause between two questions for the members' terms.
	refreshPause = 100 * time.Millisecond
	// behindPause is how long a replica that was behind is tried last by
	// sessions that need more than it had.
	behindPause = 50 * time.Millisecond
)

// refresh runs the question unless it was run a moment ago.
func (bd *board) refresh(now time.Time, ask func()) {
	bd.mu.Lock()
	isDue := !now.Before(bd.refreshAt)
	if isDue {
		bd.refreshAt = now.Add(refreshPause)
	}
	bd.mu.Unlock()
	if isDue {
		ask()
	}
}

func (bd *board) noteFailed(name string, now time.Time) {
	bd.change(name, func(up *route.Upstream) { up.FailedUntil = now.Add(failedPause) })
}

func (bd *board) noteBehind(name string, at posn.Position, now time.Time) {
	bd.change(name, func(up *route.Upstream) {
		up.BehindUntil = now.Add(behindPause)
		up.Position = up.Position.Max(at)
	})
}

func (bd *board) noteGood(name string) {
	for _, up := range bd.upstreams() {
		if up.Name == name && up.FailedUntil.IsZero() {
			return
		}
	}
	bd.change(name, func(up *route.Upstream) { up.FailedUntil = time.Time{} })
}
