package engine

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"banyanspring/core/catlg"
	"banyanspring/core/codes"
	"banyanspring/core/evid"
	"banyanspring/core/group"
	"banyanspring/core/place"
	"banyanspring/core/share"
	"banyanspring/io/pool"
)

// Settings bounds what the engine does.
type Settings struct {
	// Site is where this instance stands.
	Site place.Site
	// RegionOf maps failure domains to regions.
	RegionOf map[string]string
	// Pool bounds the pools.
	Pool pool.Settings
}

// Seams are what the engine needs from outside.
type Seams struct {
	Now func() time.Time
	// Share returns this instance's share of an upstream's connections.
	Share func(up group.Upstream, gr catlg.Group) share.Share
	Pool  pool.Seams
	// Equipped reports whether this instance knows what it needs to serve.
	Equipped func() bool
	// Observed is told of each statement on data that was answered.
	Observed func(ob Observation)
}

// Observation is one statement as its caller saw it.
type Observation struct {
	Group       string
	Consistency catlg.Consistency
	// Took runs from the statement's arrival to its answer.
	Took time.Duration
	Code codes.Code
}

// Engine serves sessions. It is safe for concurrent use.
type Engine struct {
	settings Settings
	seams    Seams
	dialect  Dialect
	catalog  *catlg.Keeper
	log      *slog.Logger

	mu sync.Mutex
	// view is the newest listing.
	view group.View
	// groups is copied on write, so that requests read it without a lock.
	groups atomic.Pointer[map[string]*groupState]
	// upstreams holds the members by ID.
	upstreams map[string]*upstream

	sessionsMu sync.Mutex
	sessions   map[*session]struct{}
	leaving    atomic.Pointer[departure]
	// Counts are served as metrics.
	Counts Counts
}

// Counts are the engine's counters since its start.
type Counts struct {
	Sessions, Served, Refused, Retried, InDoubt, Replica, Leader atomic.Int64
}

// departure holds the deadlines of an instance that leaves.
type departure struct {
	// transactions is when open transactions are rolled back.
	transactions time.Time
}

// New returns an engine without upstreams.
func New(se Settings, sm Seams, di Dialect, catalog *catlg.Keeper, lg *slog.Logger) *Engine {
	en := &Engine{
		settings:  se,
		seams:     sm,
		dialect:   di,
		catalog:   catalog,
		log:       lg,
		upstreams: make(map[string]*upstream),
		sessions:  make(map[*session]struct{}),
	}
	en.groups.Store(&map[string]*groupState{})
	return en
}

// SetView makes the listing known. Upstreams that are gone, or that live again
// under their old ID, lose their connections.
func (en *Engine) SetView(vi group.View) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.view = vi
	members := make(map[string][]*upstream)
	seen := make(map[string]bool)
	for _, info := range vi.All() {
		up := en.upstreams[info.ID]
		if up != nil && !up.info.Load().SameLife(info) {
			up.pool.Close()
			up = nil
		}
		if up == nil {
			up = newUpstream(info, pool.New(info, en.settings.Pool, en.seams.Pool))
			en.applyShare(up)
			en.upstreams[info.ID] = up
		}
		up.info.Store(&info)
		seen[info.ID] = true
		members[info.Group] = append(members[info.Group], up)
	}
	for id, up := range en.upstreams {
		if !seen[id] {
			up.pool.Close()
			delete(en.upstreams, id)
		}
	}
	en.setGroups(members)
}

// setGroups updates the groups; mu is held.
func (en *Engine) setGroups(members map[string][]*upstream) {
	old := *en.groups.Load()
	next := make(map[string]*groupState, len(old))
	for name, gr := range old {
		next[name] = gr
	}
	for name := range members {
		if next[name] == nil {
			next[name] = newGroupState(name)
		}
	}
	now := en.seams.Now()
	for name, gr := range next {
		gr.setMembers(members[name], now)
	}
	en.groups.Store(&next)
}

// applyShare gives the upstream's pool this instance's share.
func (en *Engine) applyShare(up *upstream) {
	info := *up.info.Load()
	gr, ok := en.catalog.Current().GetGroupByName(info.Group)
	if !ok {
		return
	}
	up.pool.SetShare(en.seams.Share(info, gr))
}

// ApplyShares gives all pools this instance's shares. It is called when these may
// have changed.
func (en *Engine) ApplyShares() {
	for _, up := range en.allUpstreams() {
		en.applyShare(up)
	}
}

func (en *Engine) allUpstreams() []*upstream {
	en.mu.Lock()
	defer en.mu.Unlock()
	ups := make([]*upstream, 0, len(en.upstreams))
	for _, up := range en.upstreams {
		ups = append(ups, up)
	}
	return ups
}

// Maintain applies changed shares and closes unused connections. It is called
// every second or so.
func (en *Engine) Maintain() {
	en.ApplyShares()
	for _, up := range en.allUpstreams() {
		up.pool.Sweep()
	}
	en.seams.Pool.Relays.Sweep(en.settings.Pool.IdleTimeout)
}

// GetPoolByUpstream finds the pool of an upstream; nil if it is not known.
func (en *Engine) GetPoolByUpstream(id string) *pool.Pool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if up := en.upstreams[id]; up != nil {
		return up.pool
	}
	return nil
}

func (en *Engine) group(name string) *groupState { return (*en.groups.Load())[name] }

// Opinion is what the engine knows of a group's leader.
type Opinion struct {
	Group string
	// Leader is empty if none is known.
	Leader string
	// Sample is the newest evidence; its time is zero if there is none.
	Sample evid.Sample
	// ProvenAt is when Leader last proved that it leads; zero if never.
	ProvenAt time.Time
	// UnreachedSince is since when Leader is not reached; zero if it is.
	UnreachedSince time.Time
	// StalledWrites counts writes that Leader lately did not answer.
	StalledWrites int
	// WroteAt is when Leader last answered a write; zero if never.
	WroteAt time.Time
	// CrowdedReads counts reads that found the replicas behind and Leader full,
	// and ReplicaAt is when a replica last served one.
	CrowdedReads int
	ReplicaAt    time.Time
}

// Opinions returns what is known of all groups' leaders.
func (en *Engine) Opinions() []Opinion {
	now := en.seams.Now()
	groups := *en.groups.Load()
	out := make([]Opinion, 0, len(groups))
	for _, gr := range groups {
		out = append(out, gr.opinion(now))
	}
	return out
}

// AddEvidence takes evidence that a peer gathered; Asked is on this clock.
func (en *Engine) AddEvidence(name string, sa evid.Sample) {
	if gr := en.group(name); gr != nil {
		gr.addSample(sa)
	}
}

// NoteLeader takes a peer's word that an upstream proved to lead at the time
// given, on this clock.
func (en *Engine) NoteLeader(name, id string, provenAt time.Time) {
	if gr := en.group(name); gr != nil {
		gr.heardOf(id, provenAt)
	}
}

// Serve runs one caller's session until it ends.
func (en *Engine) Serve(raw net.Conn) {
	se := newSession(en, raw)
	en.sessionsMu.Lock()
	en.sessions[se] = struct{}{}
	en.sessionsMu.Unlock()
	en.Counts.Sessions.Add(1)
	defer func() {
		en.Counts.Sessions.Add(-1)
		en.sessionsMu.Lock()
		delete(en.sessions, se)
		en.sessionsMu.Unlock()
		_ = raw.Close()
	}()
	se.run()
}

// Leave lets requests end, closes sessions between them, and rolls open
// transactions back at the time given. It returns at once.
func (en *Engine) Leave(transactions time.Time) {
	en.leaving.Store(&departure{transactions: transactions})
	en.sessionsMu.Lock()
	defer en.sessionsMu.Unlock()
	for se := range en.sessions {
		se.interrupt()
	}
}

// Sessions returns how many sessions are open.
func (en *Engine) Sessions() int {
	en.sessionsMu.Lock()
	defer en.sessionsMu.Unlock()
	return len(en.sessions)
}

// Close gives all upstream connections back.
func (en *Engine) Close() {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, up := range en.upstreams {
		up.pool.Close()
	}
}
