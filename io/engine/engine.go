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
	"banyanspring/core/lease"
	"banyanspring/core/place"
	"banyanspring/core/posn"
	"banyanspring/core/share"
	"banyanspring/io/guard"
	"banyanspring/io/pool"
)

// Settings configures an engine.
type Settings struct {
	// Site is the location of this instance.
	Site place.Site
	// RegionOf maps failure domains to regions.
	RegionOf map[string]string
	// Pool configures the connection pools.
	Pool pool.Settings
	// DrainBound is the time within which a leaving upstream must stop getting new
	// statements; zero if there is no bound.
	DrainBound time.Duration
	// LeasesRequired is true if a replaced leader may go on accepting statements as
	// leader, so that a leader is used only under a lease (see package lease).
	LeasesRequired bool
	// RevokeBound is how long ago the store may have confirmed the catalog last if it is to
	// decide on keys; zero if there is no bound.
	RevokeBound time.Duration
}

// Dependencies holds the engine's external dependencies.
type Dependencies struct {
	Now func() time.Time
	// Share returns this instance's share of an upstream's connections.
	Share func(up group.Upstream, gr catlg.Group) share.Share
	Pool  pool.Dependencies
	// IsReady reports whether this instance has the configuration and state
	// that it needs to serve callers.
	IsReady func() bool
	// WriteObstacle returns why no write may be passed on to the group's leader with the ID
	// given, nor reported as a success.
	WriteObstacle func(group, leader string) Obstacle
	// Admit returns the refusal of an operation that exceeds its workspace's limits. It is
	// called once for an operation, before it takes a place in a queue. Nil if there are no
	// limits.
	Admit func(workspace string) *codes.Refusal
	// Weight returns the weight of a workspace in the queues, also of the empty one of callers
	// without a workspace. Nil if queues know no weights.
	Weight func(workspace string) uint32
	// CatalogConfirmedAt returns when the store last confirmed the catalog; zero if never.
	CatalogConfirmedAt func() time.Time
	// RequestCatalog requests a newer catalog, without waiting for it. It reports false if
	// none is to be expected: the store has confirmed the current one since the given time,
	// or there is nobody to ask.
	RequestCatalog func(since time.Time) bool
	// OnStatement is called after each data statement that was answered, with
	// success or with a refusal.
	OnStatement func(ob Observation)
	// Guard bounds the memory that callers take; nil if there is no bound.
	Guard *guard.Guard
}

// Obstacle is why this instance passes on no writes to a leader.
type Obstacle struct {
	// Reason is empty if there is no obstacle.
	Reason string
	// IsFinal is true if it is of no use to wait: another instance may serve the write.
	IsFinal bool
}

// Observation is the outcome of one data statement, as its caller saw it.
type Observation struct {
	Group       string
	Consistency catlg.Consistency
	// Took is the time from the statement's arrival to its answer.
	Took time.Duration
	Code codes.Code
}

// Engine serves sessions. It is safe for concurrent use.
type Engine struct {
	settings Settings
	deps     Dependencies
	dialect  Dialect
	catalog  *catlg.Keeper
	log      *slog.Logger

	mu sync.Mutex
	// view is the newest list of upstreams.
	view group.View
	// groups holds the groups by name. It is copied on write, so that requests
	// read it without a lock.
	groups atomic.Pointer[map[string]*groupState]
	// upstreams holds the members of all groups by ID.
	upstreams map[string]*upstream

	sessionsMu sync.Mutex
	sessions   map[*session]struct{}
	// outlierEvents bounds the log events on outliers. Only Weigh uses it.
	outlierEvents outlierEvents
	// leaving is nil unless the instance is shutting down.
	leaving atomic.Pointer[leaveDeadlines]
	retries retryBudgets
	// Counts is exported as metrics.
	Counts Counts
}

// Counts holds the engine's counters since its start; Sessions is the number of
// open sessions.
type Counts struct {
	Sessions, Served, Refused, Retried, InDoubt, Replica, Leader atomic.Int64
	// LeftOut counts the times that a read left an outlier out, and Outliers is the number of
	// upstreams that get fewer reads.
	LeftOut, Outliers atomic.Int64
}

// leaveDeadlines holds the deadlines of an instance that is shutting down.
type leaveDeadlines struct {
	// rollbackAt is when open transactions are rolled back.
	rollbackAt time.Time
	// answerBy is when every statement that arrives from now on must have been answered.
	answerBy time.Time
}

// New returns an engine without upstreams.
func New(se Settings, dep Dependencies, di Dialect, catalog *catlg.Keeper, lg *slog.Logger) *Engine {
	en := &Engine{
		settings:  se,
		deps:      dep,
		dialect:   di,
		catalog:   catalog,
		log:       lg,
		upstreams: make(map[string]*upstream),
		sessions:  make(map[*session]struct{}),
	}
	en.groups.Store(&map[string]*groupState{})
	return en
}

// SetView replaces the list of upstreams. Pools of upstreams that are no longer
// listed, or that another incarnation replaces under the same ID, are closed. confirmedAt is
// when the list before this one was last known to be up to date; zero if there was none.
func (en *Engine) SetView(vi group.View, confirmedAt time.Time) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.view = vi
	members := make(map[string][]*upstream)
	seen := make(map[string]bool)
	for _, info := range vi.All() {
		up := en.upstreams[info.ID]
		if up != nil && !up.info.Load().IsSameIncarnation(info) {
			up.pool.Close()
			up = nil
		}
		if up == nil {
			up = newUpstream(info, pool.New(info, en.settings.Pool, en.deps.Pool))
			en.applyShare(up)
			en.upstreams[info.ID] = up
		}
		up.setInfo(info, confirmedAt)
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

// setGroups updates the members of all groups; mu must be held.
func (en *Engine) setGroups(members map[string][]*upstream) {
	old := *en.groups.Load()
	next := make(map[string]*groupState, len(old))
	for name, gr := range old {
		next[name] = gr
	}
	for name := range members {
		if next[name] == nil {
			next[name] = newGroupState(name, en.settings)
		}
	}
	now := en.deps.Now()
	for name, gr := range next {
		gr.setMembers(members[name], now)
	}
	en.groups.Store(&next)
}

// applyShare sets the connection share of the upstream's pool.
func (en *Engine) applyShare(up *upstream) {
	info := *up.info.Load()
	gr, ok := en.catalog.Current().GetGroupByName(info.Group)
	if !ok {
		return
	}
	up.pool.SetShare(en.deps.Share(info, gr))
}

// ApplyShares sets the connection shares of all pools. It is called when they
// may have changed.
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

// Maintain applies changed shares and closes idle connections. It is called
// about once a second.
func (en *Engine) Maintain() {
	en.ApplyShares()
	for _, up := range en.allUpstreams() {
		up.pool.Sweep()
	}
	en.deps.Pool.Relays.Sweep(en.settings.Pool.IdleTimeout)
}

// GetPoolByUpstream returns the pool of an upstream, or nil if the upstream is
// not listed.
func (en *Engine) GetPoolByUpstream(id string) *pool.Pool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if up := en.upstreams[id]; up != nil {
		return up.pool
	}
	return nil
}

func (en *Engine) group(name string) *groupState { return (*en.groups.Load())[name] }

// Opinion describes a group's leader as this instance observes it.
type Opinion struct {
	Group string
	// Leader is empty if none is known.
	Leader string
	// Lease is the evidence that Leader leads; zero if leases are not required.
	Lease lease.Evidence
	// Sample is the newest position sample; its time is zero if there is none.
	Sample evid.Sample
	// ProvenAt is the latest time at which Leader is proven to have led; zero if
	// there is no proof.
	ProvenAt time.Time
	// UnreachedSince is when Leader became unreachable; zero if it is reachable.
	UnreachedSince time.Time
	// StalledWrites counts recent writes that Leader did not answer in time.
	StalledWrites int
	// WriteAcknowledgedAt is when Leader last acknowledged a write; zero if never.
	WriteAcknowledgedAt time.Time
	// Reported is a position up to which this instance has reported writes as a success, and
	// ReportedAt when it did so last; zero if it has reported none.
	Reported   posn.Position
	ReportedAt time.Time
	// CrowdedReads counts recent reads that were refused because the replicas
	// were behind and Leader was overloaded. ReplicaReadAt is when a replica last
	// served a read.
	CrowdedReads  int
	ReplicaReadAt time.Time
}

// Opinions returns the observed state of the leaders of all groups.
func (en *Engine) Opinions() []Opinion {
	now := en.deps.Now()
	groups := *en.groups.Load()
	out := make([]Opinion, 0, len(groups))
	for _, gr := range groups {
		out = append(out, gr.leaderStatus(now))
	}
	return out
}

// AddSample adds a position sample that a peer took; Asked is on this
// instance's clock.
func (en *Engine) AddSample(name string, sa evid.Sample) {
	if gr := en.group(name); gr != nil {
		gr.addSample(sa)
	}
}

// RecordLeaderSample records that the upstream accepted a transaction as leader, in
// answer to a request sent at sentAt, with its log at the position.
func (en *Engine) RecordLeaderSample(name, id string, sentAt time.Time, po posn.Position) {
	gr := en.group(name)
	if gr == nil {
		return
	}
	for _, up := range gr.allMembers() {
		if up.id() == id {
			gr.recordLeaderProof(up, sentAt, po)
		}
	}
}

// RecordLeaderProof records a peer's report that the upstream was proven to lead at
// provenAt, on this instance's clock.
func (en *Engine) RecordLeaderProof(name, id string, provenAt time.Time) {
	if gr := en.group(name); gr != nil {
		gr.recordPeerLeaderProof(id, provenAt)
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

// Refuse answers a caller whose session cannot be opened, and closes its connection.
func (en *Engine) Refuse(raw net.Conn, ref *codes.Refusal) {
	// The send buffer of a new connection is empty, so that this does not block.
	_ = raw.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = raw.Write(en.dialect.AppendRefusal(nil, ref))
	_ = raw.Close()
}

const (
	// refuseTimeout bounds the sending of a refusal.
	refuseTimeout = 100 * time.Millisecond
	// silentAge is how long a caller must have been connected without opening a session
	// before its place is given to another one.
	silentAge = 500 * time.Millisecond
)

// CloseSilent closes the connection that has waited the longest for its caller to open a
// session. It reports false if none has waited for silentAge.
func (en *Engine) CloseSilent() bool {
	latest := en.deps.Now().Add(-silentAge)
	en.sessionsMu.Lock()
	defer en.sessionsMu.Unlock()
	var oldest *session
	for se := range en.sessions {
		if se.isSilent.Load() && se.connectedAt.Before(latest) && (oldest == nil || se.connectedAt.Before(oldest.connectedAt)) {
			oldest = se
		}
	}
	if oldest == nil {
		return false
	}
	oldest.isSilent.Store(false)
	_ = oldest.net.Close()
	return true
}

// CloseIdle closes an idle session of the workspace with the most sessions, outside a
// transaction, if that has more than half of the given number of places. It reports false if
// there is none.
func (en *Engine) CloseIdle(places int) bool {
	ca := en.catalog.Current()
	if !ca.HasWorkspaces() {
		return false
	}
	en.sessionsMu.Lock()
	defer en.sessionsMu.Unlock()
	byWorkspace := make(map[string][]*session)
	most := ""
	for se := range en.sessions {
		cr := se.credentials.Load()
		if cr == nil {
			continue
		}
		ac, _ := ca.Access(cr.database, cr.key, cr.hasKey)
		if ac.Workspace == "" {
			continue
		}
		byWorkspace[ac.Workspace] = append(byWorkspace[ac.Workspace], se)
		if len(byWorkspace[ac.Workspace]) > len(byWorkspace[most]) {
			most = ac.Workspace
		}
	}
	if 2*len(byWorkspace[most]) <= places {
		return false
	}
	for _, se := range byWorkspace[most] {
		if se.closeIfIdle() {
			return true
		}
	}
	return false
}

// Leave starts a graceful shutdown: running requests finish, sessions are closed
// between requests, transactions that are still open at rollbackAt are rolled back, and
// statements that arrive from now on are answered by answerBy. It returns at once.
func (en *Engine) Leave(rollbackAt, answerBy time.Time) {
	en.leaving.Store(&leaveDeadlines{rollbackAt: rollbackAt, answerBy: answerBy})
	en.sessionsMu.Lock()
	defer en.sessionsMu.Unlock()
	for se := range en.sessions {
		se.interrupt()
	}
}

// ApplyCatalog closes the idle sessions whose keys the current catalog no longer accepts. It
// is called after each change of the catalog. Other sessions are not woken.
func (en *Engine) ApplyCatalog() {
	ca := en.catalog.Current()
	en.retries.retain(ca)
	if !ca.HasWorkspaces() {
		return
	}
	en.sessionsMu.Lock()
	defer en.sessionsMu.Unlock()
	for se := range en.sessions {
		if cr := se.credentials.Load(); cr != nil && cr.isRevokedBy(ca) {
			se.interrupt()
		}
	}
}

// Sessions returns how many sessions are open.
func (en *Engine) Sessions() int {
	en.sessionsMu.Lock()
	defer en.sessionsMu.Unlock()
	return len(en.sessions)
}

// Close closes the connection pools of all upstreams.
func (en *Engine) Close() {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, up := range en.upstreams {
		up.pool.Close()
	}
}
