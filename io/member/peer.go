package member

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/event"
	"banyanspring/core/evid"
	"banyanspring/core/group"
	"banyanspring/core/lease"
	"banyanspring/core/life"
	"banyanspring/core/posn"
	"banyanspring/core/quorum"
	"banyanspring/io/delay"
	"banyanspring/io/guard"
	"banyanspring/io/stall"
)

const (
	exchangePath = "/v1/exchange"
	// exchangeInterval is the time between two exchanges with the source. Evidence
	// must reach all members well within the staleness that reads tolerate, and the
	// loss of a leader well within a statement's timeout.
	exchangeInterval = 250 * time.Millisecond
	// crossRegionInterval is the same with a source in another region while no
	// leader has a problem: the link between regions has little capacity and is
	// billed by volume.
	crossRegionInterval = 450 * time.Millisecond
	// exchangeTimeout bounds one exchange. The slowest round trip between regions
	// is some 20 ms, and an exhausted CPU quota pauses a process for 100 ms.
	exchangeTimeout = 250 * time.Millisecond
	// maxExchangeBytes bounds the body of a query or reply, in bytes.
	maxExchangeBytes = 8 << 20
	// maxListBytes is the size up to which the listing and the list of members are part of
	// a reply. Many members share their source's link, and an exchange must be answered
	// within exchangeTimeout.
	maxListBytes = 16 << 10
)

// wireOpinion is one member's opinion of a group's leader, or evidence on it, on
// the wire. Ages are relative to the time of sending.
type wireOpinion struct {
	From   string `json:"from,omitempty"`
	Group  string `json:"group"`
	Leader string `json:"leader,omitempty"`
	// Count is the number of members whose opinions were merged; zero for one
	// member's own opinion.
	Count int   `json:"count,omitempty"`
	AgeMs int64 `json:"age,omitempty"`
	// ProvenMs, UnreachedMs, WroteMs and ReplicaMs are zero if there is none.
	ProvenMs    int64 `json:"proven,omitempty"`
	UnreachedMs int64 `json:"unreached,omitempty"`
	Stalled     int   `json:"stalled,omitempty"`
	WroteMs     int64 `json:"wrote,omitempty"`
	Crowded     int   `json:"crowded,omitempty"`
	ReplicaMs   int64 `json:"replica,omitempty"`
	// Term and Offset are the position of the newest evidence, SampleMs old; zero
	// if there is none.
	Term     uint64 `json:"term,omitempty"`
	Offset   uint64 `json:"offset,omitempty"`
	SampleMs int64  `json:"sample,omitempty"`
	// LeaseTerm is the term in which Leader was confirmed LeaseMs ago; zero if there
	// is no evidence. HoldMs is how long it must not be written to yet.
	LeaseTerm uint64 `json:"lease_term,omitempty"`
	LeaseMs   int64  `json:"lease,omitempty"`
	HoldMs    int64  `json:"hold,omitempty"`
}

// exchangeQuery holds a member's opinions and the versions of the data that it has.
type exchangeQuery struct {
	From string `json:"from"`
	// NotJoined is as in exchangeReply.
	NotJoined bool          `json:"not_joined,omitempty"`
	Catalog   uint64        `json:"catalog"`
	Listing   uint64        `json:"listing"`
	Members   uint64        `json:"members"`
	Opinions  []wireOpinion `json:"opinions"`
	// Drains holds the shutdowns of upstreams that this member knows of.
	Drains []wireDrain `json:"drains,omitempty"`
	// Known holds positions that upstreams are known to have received, and some that were reported
	// as a success.
	Known []wireHolding `json:"known,omitempty"`
	// Era is the newest era of the store that this member knows of; zero if it has none.
	Era uint64 `json:"era,omitempty"`
	// Reads holds counts of reads in groups with a suspicion of an outlier.
	Reads []wireReads `json:"reads,omitempty"`
	// Vote is nil if the receiver is not known by its name.
	Vote *quorum.Vote `json:"vote,omitempty"`
	// IsTransfer is true if the reply may be large and take long.
	IsTransfer bool `json:"transfer,omitempty"`
}

// exchangeReply holds the data of the source that the asking member lacks.
type exchangeReply struct {
	// Leaving is true if the source is shutting down and so cannot be the
	// coordinator. NotJoined is true if it cannot because it has not joined yet.
	Leaving   bool `json:"leaving,omitempty"`
	NotJoined bool `json:"not_joined,omitempty"`
	// IsPartial is true if the listing and the list of members were left out because of
	// their size. The asking member requests them by a transfer.
	IsPartial bool `json:"partial,omitempty"`
	// CatalogVersion is zero if the asking member's is as new. CatalogPatch holds the
	// encoded patch to it if that is small.
	CatalogVersion uint64 `json:"catalog,omitempty"`
	CatalogPatch   []byte `json:"catalog_patch,omitempty"`
	// IsReceiving is true if the source is receiving a configuration.
	IsReceiving bool `json:"catalog_receiving,omitempty"`
	// CatalogSince is a revision of the store at which there was no newer configuration
	// than the source's; zero if none is known.
	CatalogSince uint64 `json:"catalog_since,omitempty"`
	// CatalogMs and ListingMs are how long ago the store last confirmed them; zero
	// if never.
	CatalogMs int64 `json:"catalog_ms,omitempty"`
	ListingMs int64 `json:"listing_ms,omitempty"`
	// Listing is nil if the asking member's is as new.
	Listing *listingSnapshot `json:"listing,omitempty"`
	// Members holds the changes of the list of members; nil if the asking member's is
	// as new.
	Members   *memberChanges `json:"members,omitempty"`
	MembersMs int64          `json:"members_ms,omitempty"`
	// Evidence is the newest evidence on each group's leader.
	Evidence []wireOpinion `json:"evidence"`
	// Formers holds the upstreams that are no longer listed.
	Formers []wireFormer `json:"formers,omitempty"`
	// Drains is as in exchangeQuery, and Known has no positions that were reported as a success.
	Drains []wireDrain   `json:"drains,omitempty"`
	Known  []wireHolding `json:"known,omitempty"`
	// Era and Reads are as in exchangeQuery.
	Era   uint64       `json:"era,omitempty"`
	Reads []wireReads  `json:"reads,omitempty"`
	Grant quorum.Grant `json:"grant"`
}

// hasLargeLists reports whether the listing and the list of members have more than
// maxListBytes.
func (re exchangeReply) hasLargeLists() bool {
	if re.Listing == nil && re.Members == nil {
		return false
	}
	raw, err := json.Marshal(exchangeReply{Listing: re.Listing, Members: re.Members})
	return err == nil && len(raw) > maxListBytes
}

// WithoutLists returns the reply without the listing, the list of members and their
// confirmations.
func (re exchangeReply) WithoutLists() exchangeReply {
	re.IsPartial = true
	re.Listing, re.ListingMs = nil, 0
	re.Members, re.MembersMs = nil, 0
	return re
}

// exchangeMessage is a query or a reply.
type exchangeMessage interface {
	// check returns an error if the message cannot be used.
	check() error
}

// readExchange reads a query or a reply. What cannot be read or used is refused whole.
func readExchange(rd io.Reader, out exchangeMessage) error {
	raw, err := io.ReadAll(io.LimitReader(rd, maxExchangeBytes+1))
	if err != nil {
		return err
	}
	if len(raw) > maxExchangeBytes {
		return errors.Newf("exchange of more than %d bytes", maxExchangeBytes)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return err
	}
	return out.check()
}

// maxAgeMs bounds the ages on the wire, so that none overflows a time.Duration.
const maxAgeMs = int64(100 * 365 * 24 * time.Hour / time.Millisecond)

// checkAges returns an error if an age is negative, and so a time in the future, or
// exceeds maxAgeMs.
func checkAges(ages ...int64) error {
	for _, age := range ages {
		if age < 0 || age > maxAgeMs {
			return errors.Newf("age of %d ms out of range", age)
		}
	}
	return nil
}

func checkOpinions(ops []wireOpinion) error {
	for _, wo := range ops {
		if wo.Count < 0 || wo.Stalled < 0 || wo.Crowded < 0 {
			return errors.New("negative count in an opinion")
		}
		if err := checkAges(wo.AgeMs, wo.ProvenMs, wo.UnreachedMs, wo.WroteMs, wo.ReplicaMs, wo.SampleMs, wo.LeaseMs, wo.HoldMs); err != nil {
			return err
		}
	}
	return nil
}

func (qu *exchangeQuery) check() error {
	if qu.Vote != nil {
		if err := qu.Vote.Check(); err != nil {
			return err
		}
	}
	if err := checkDrains(qu.Drains); err != nil {
		return err
	}
	if err := checkHoldings(qu.Known, maxHoldings); err != nil {
		return err
	}
	if err := checkEra(qu.Era); err != nil {
		return err
	}
	if err := checkReads(qu.Reads); err != nil {
		return err
	}
	return checkOpinions(qu.Opinions)
}

func (re *exchangeReply) check() error {
	if err := checkAges(re.CatalogMs, re.ListingMs, re.MembersMs); err != nil {
		return err
	}
	if err := checkFormers(re.Formers); err != nil {
		return err
	}
	if err := re.Grant.Check(); err != nil {
		return err
	}
	if err := checkDrains(re.Drains); err != nil {
		return err
	}
	if err := checkHoldings(re.Known, maxHoldings); err != nil {
		return err
	}
	if err := checkEra(re.Era); err != nil {
		return err
	}
	if err := checkReads(re.Reads); err != nil {
		return err
	}
	return checkOpinions(re.Evidence)
}

type listingSnapshot struct {
	// Revision is the newest revision at which the listing changed.
	Revision  uint64           `json:"revision"`
	Upstreams []group.Upstream `json:"upstreams"`
}

// peers exchanges state between the members. Each member queries its source: the first
// in rank of its failure domain, and for the first of each domain the first of all.
// So the number of exchanges grows only linearly with the members, and no member serves
// them all.
type peers struct {
	me   *Member
	http *http.Client
	// hasExchanged is true once the first exchange with the source has ended.
	hasExchanged atomic.Bool
	// isCatchingUp is true during an exchange with a member that is not the source and has newer data.
	isCatchingUp atomic.Bool
	// isFetchingLists is true while this member requests lists by a transfer.
	isFetchingLists atomic.Bool
	// wanted holds an item if the next exchange with the source is to follow soon.
	wanted chan struct{}
}

func newPeers(me *Member) *peers {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return me.deps.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: 2,
		DisableCompression:  true,
	}
	return &peers{me: me, http: &http.Client{Transport: transport}, wanted: make(chan struct{}, 1)}
}

// serve starts the HTTP server for the other members.
func (ps *peers) serve() error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+exchangePath, ps.handle)
	mux.HandleFunc("GET "+catalogPath, ps.serveCatalog)
	mux.HandleFunc("POST "+orderPath, ps.me.orders.serve)
	mux.HandleFunc("POST "+permitPath, ps.me.permits.serve)
	mux.HandleFunc("POST "+suspendPath, ps.serveSuspension)
	if ps.me.settings.Quota.IsEnabled() {
		mux.HandleFunc("POST "+limitPath, ps.me.limits.serve)
	}
	ps.me.serveMetrics(mux)
	ln, err := net.Listen("tcp", ps.me.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	so := ps.me.guard.NewSockets("control", ps.me.settings.Guard.Sockets.Control)
	go func() { _ = guard.ServeHTTP(ln, so, mux) }()
	return nil
}

func (ps *peers) handle(rw http.ResponseWriter, rq *http.Request) {
	var qu exchangeQuery
	if err := readExchange(rq.Body, &qu); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	now := ps.me.deps.Now()
	ps.me.learnPeerEra(qu.Era, qu.From)
	ps.me.roster.recordContact(qu.From, !qu.NotJoined, now)
	if qu.Listing > ps.me.listing().ContentRevision {
		ps.me.newerListingAt.advance(now)
	}
	if ps.me.isBehind(qu, now) {
		ps.catchUp(qu.From)
	}
	// The query may have been delayed on the way, so the true ages may be higher than
	// those computed here. Samples need an upper bound of their age and are not used.
	for pos := range qu.Opinions {
		qu.Opinions[pos].SampleMs = 0
		ps.me.opinions.add(qu.Opinions[pos], now)
	}
	if qu.Vote != nil {
		ps.me.permits.receive(qu.From, *qu.Vote)
	}
	ps.me.sightings.adopt(qu.Drains, now)
	ps.me.known.adopt(qu.Known, now)
	ps.me.tally.adopt(qu.From, qu.Reads, now)
	re := ps.me.makeReply(qu, now)
	re.Grant = ps.me.permits.grant(qu.From)
	if !qu.IsTransfer && re.hasLargeLists() {
		re = re.WithoutLists()
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(re)
}

// makeReply returns the data that the asking member lacks.
func (me *Member) makeReply(qu exchangeQuery, now time.Time) exchangeReply {
	re := exchangeReply{
		Leaving:   me.life.State() == life.Leaving,
		NotJoined: !me.roster.isJoined(),
		CatalogMs: ageMs(me.catalogAt.load(), now),
		ListingMs: ageMs(me.listingAt.load(), now),
		Evidence:  me.evidence(now),
		Formers:   me.formers.toSend(now),
		Drains:    me.drains(now),
		Known:     me.known.toSend(now),
		Era:       me.era.load(),
		Reads:     me.tally.toSend(qu.From, now),

		IsReceiving: me.feed.isReceiving(now),
		// Read before the configuration itself, as CatalogMs is, so that they hold for it.
		CatalogSince: me.catalogSince.load(),
	}
	re.Members = me.roster.changesSince(qu.Members)
	re.MembersMs = ageMs(me.roster.confirmedAt.load(), now)
	if ca := me.catalog.Current(); ca.Version > qu.Catalog {
		re.CatalogVersion = ca.Version
		if raw, err := me.feed.patch(ca, qu.Catalog); err == nil && len(raw) <= maxInlinePatchBytes {
			re.CatalogPatch = raw
		}
	}
	vi := me.sharedListing()
	if vi.ContentRevision > qu.Listing {
		re.Listing = &listingSnapshot{Revision: vi.ContentRevision, Upstreams: vi.All()}
	}
	return re
}

// isBehind reports whether the asking member has a newer configuration, listing or list of members, and
// the store has not confirmed this member's own for longer than a watch and its pause take. Data flows
// from a source to those that ask it, so two members that are each other's source and do not reach the
// store would keep theirs.
func (me *Member) isBehind(qu exchangeQuery, now time.Time) bool {
	isOld := func(confirmed *instant) bool { return now.Sub(confirmed.load()) > me.maxConfirmGap() }
	return (qu.Catalog > me.catalog.Current().Version && isOld(&me.catalogAt)) ||
		(qu.Listing > me.listing().ContentRevision && isOld(&me.listingAt)) ||
		(qu.Members > me.roster.knownRevision() && isOld(&me.roster.confirmedAt))
}

// catchUp exchanges with a member that has newer data in the background, unless such an exchange is
// running.
func (ps *peers) catchUp(name string) {
	en, ok := ps.me.roster.getMember(name)
	if !ok || !ps.isCatchingUp.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer ps.isCatchingUp.Store(false)
		ps.exchange(context.Background(), en)
	}()
}

// run exchanges with the source periodically.
func (ps *peers) run(ctx context.Context) {
	var pause time.Duration
	select {
	case <-ps.me.roster.listed:
	case <-time.After(startupListWait):
	case <-ctx.Done():
	}
	for ps.pause(ctx, pause) {
		pause = exchangeInterval
		if en, ok := ps.me.roster.nextUnreached(ps.me.deps.Now()); ok {
			go ps.exchange(ctx, en)
		}
		source, ok := ps.me.roster.source()
		switch {
		case !ok:
			ps.trySeeds(ctx)
		case !ps.exchange(ctx, source):
			// If the network is partitioned, the other members ahead in rank may be
			// unreachable as well. They are tried concurrently, so that a member that
			// must become the coordinator does not wait for one timeout after the
			// other.
			ps.tryPredecessors(ctx)
			pause = 0
		case source.Region != ps.me.settings.Site.Region && !ps.me.hasLeaderProblem():
			pause = crossRegionInterval
		}
	}
}

// wantedInterval is the shortest pause between two exchanges with the source that callers'
// unknown keys cause, so that such callers cannot cause load.
const wantedInterval = 200 * time.Millisecond

// pause waits between two exchanges, for less than wait if one is wanted earlier. It returns
// false as soon as the context is done.
func (ps *peers) pause(ctx context.Context, wait time.Duration) bool {
	early := min(wait, wantedInterval)
	if !delay.Pause(ctx, early) {
		return false
	}
	timer := time.NewTimer(wait - early)
	defer timer.Stop()
	select {
	case <-ps.wanted:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// requestCatalog requests a newer configuration from the source by the next exchange, which
// follows soon, and returns at once. It reports false if none is to be expected: the store
// has confirmed the current one since the given time, or there is no source.
func (me *Member) requestCatalog(since time.Time) bool {
	if me.catalogAt.load().After(since) {
		return false
	}
	if _, ok := me.roster.source(); !ok {
		return false
	}
	select {
	case me.peers.wanted <- struct{}{}:
	default:
	}
	return true
}

// tryPredecessors exchanges concurrently with the members ahead of this one in
// rank, often enough that one that does not answer counts as unreachable.
func (ps *peers) tryPredecessors(ctx context.Context) {
	for range unreachedAfter {
		var wg sync.WaitGroup
		for _, en := range ps.me.roster.predecessors() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				ps.exchange(ctx, en)
			}()
		}
		wg.Wait()
	}
}

// trySeeds asks the members named in the settings while no other member is known.
func (ps *peers) trySeeds(ctx context.Context) {
	for _, address := range ps.me.settings.Seeds {
		if address != ps.me.settings.PeerAddress && ps.exchange(ctx, entry{Address: address}) {
			return
		}
	}
}

// hasLeaderProblem reports whether this member cannot reach a group's leader or the
// leader does not answer writes. Opinions about this must reach the coordinator soon.
func (me *Member) hasLeaderProblem() bool {
	for _, op := range me.engine.Opinions() {
		if !op.UnreachedSince.IsZero() || op.StalledWrites > 0 {
			return true
		}
	}
	return false
}

// exchange asks one member and reports whether it answered.
func (ps *peers) exchange(parent context.Context, source entry) bool {
	defer ps.hasExchanged.Store(true)
	ctx, cancel := context.WithTimeout(parent, exchangeTimeout)
	defer cancel()
	me := ps.me
	asked := me.deps.Now()
	qu := me.makeQuery(asked)
	if source.Name != "" {
		qu.Vote = me.permits.vote(source.Name)
	}
	if me.isSource(source.Name) {
		qu.Reads = me.tally.toSend(source.Name, asked)
	}
	var re exchangeReply
	err := ps.post(ctx, "http://"+source.Address+exchangePath, qu, &re)
	if parent.Err() != nil {
		// This member is shutting down, which says nothing about the other one.
		return false
	}
	me.roster.recordExchange(source, !re.NotJoined, err, me.deps.Now())
	if err != nil {
		return false
	}
	if source.Name != "" {
		me.permits.accept(source.Name, re.Grant, asked)
	}
	if re.Leaving {
		me.roster.markLeaving(source.Name)
		return true
	}
	me.applyReply(re, source.Name, asked)
	if re.CatalogVersion > me.catalog.Current().Version {
		ps.fetchCatalog(context.WithoutCancel(ctx), source, re.CatalogVersion)
	}
	if re.IsPartial {
		ps.fetchLists(context.WithoutCancel(ctx), source)
	}
	return true
}

// makeQuery returns the query of an exchange.
func (me *Member) makeQuery(now time.Time) exchangeQuery {
	return exchangeQuery{
		From:      me.settings.Name,
		NotJoined: !me.roster.isJoined(),
		Catalog:   me.catalog.Current().Version,
		Listing:   me.listing().ContentRevision,
		Members:   me.roster.knownRevision(),
		Opinions:  me.opinionsToSend(now),
		Drains:    me.drains(now),
		Known:     me.known.toReport(now),
		Era:       me.era.load(),
	}
}

// drains returns the drains for an exchange. Upstreams may serve for longer than DrainBound.
func (me *Member) drains(now time.Time) []wireDrain {
	return me.sightings.drains(2*me.settings.DrainBound, now)
}

// fetchLists requests the listing and the list of members from a member in the
// background, unless a request is running.
func (ps *peers) fetchLists(ctx context.Context, source entry) {
	if !ps.isFetchingLists.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer ps.isFetchingLists.Store(false)
		ctx, cancel := stall.WithTimeout(ctx, fetchTimeout, transferLimit, nil)
		defer cancel()
		asked := ps.me.deps.Now()
		qu := ps.me.makeQuery(asked)
		qu.IsTransfer = true
		var re exchangeReply
		if err := ps.post(ctx, "http://"+source.Address+exchangePath, qu, &re); err != nil {
			event.Log(ps.me.log, event.ListsDelayed, "peer", source.Name, "took_ms", ps.me.deps.Now().Sub(asked).Milliseconds(),
				"error", err.Error())
			return
		}
		ps.me.applyReply(re, source.Name, asked)
	}()
}

// errPeerConflict is returned if a peer refuses a request because it knows a newer one.
var errPeerConflict = errors.New("the peer knows a newer request")

// post sends a request to another member and decodes its reply.
func (ps *peers) post(ctx context.Context, url string, body any, out exchangeMessage) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	rs, err := ps.http.Do(rq)
	if err != nil {
		return err
	}
	defer func() { _ = rs.Body.Close() }()
	switch rs.StatusCode {
	case http.StatusOK:
		return readExchange(stall.NewReader(ctx, rs.Body), out)
	case http.StatusConflict:
		return errPeerConflict
	}
	return errors.Newf("peer answered with HTTP status %d", rs.StatusCode)
}

// applyReply applies the reply of the named source. Ages are counted from the time of the query,
// which is before the source computed them, so that no age is underestimated.
func (me *Member) applyReply(re exchangeReply, source string, asked time.Time) {
	me.learnPeerEra(re.Era, source)
	me.feed.announce(re.CatalogVersion, me.deps.Now())
	if re.IsReceiving {
		me.feed.sourceReceivedAt.advance(asked)
	}
	if re.CatalogPatch != nil {
		me.applyPatch(re.CatalogPatch, source)
	}
	if me.catalog.Current().Version >= re.CatalogVersion {
		me.catalogSince.advance(re.CatalogSince)
		if re.CatalogMs > 0 {
			me.catalogAt.advance(asked.Add(-millis(re.CatalogMs)))
		}
	}
	if re.Listing != nil {
		vi := group.NewView(re.Listing.Revision, me.usable(re.Listing.Upstreams))
		me.updateView(func(old group.View) group.View {
			if vi.ContentRevision <= old.ContentRevision {
				return old
			}
			return vi
		})
		me.hasListing.Store(true)
	}
	if re.Members != nil {
		me.roster.apply(*re.Members)
	}
	me.checkReady()
	if re.MembersMs > 0 {
		me.roster.confirmedAt.advance(asked.Add(-millis(re.MembersMs)))
	}
	if re.ListingMs > 0 {
		me.recordListingConfirmed(asked.Add(-millis(re.ListingMs)))
	}
	me.addEvidence(re.Evidence, asked)
	me.formers.adopt(re.Formers, me.listing(), me.deps.Now())
	me.sightings.adopt(re.Drains, asked)
	me.known.adopt(re.Known, asked)
	if me.isSource(source) {
		me.tally.adoptFromSource(source, re.Reads, asked)
	}
}

// isSource reports whether this member exchanges counts of reads with the named one. With a second
// source besides, they would count twice.
func (me *Member) isSource(name string) bool {
	source, ok := me.roster.source()
	return ok && source.Name == name
}

// usable returns the upstreams that can be used and logs the others.
func (me *Member) usable(ups []group.Upstream) []group.Upstream {
	out := make([]group.Upstream, 0, len(ups))
	for _, up := range ups {
		if err := up.Check(); err != nil {
			event.Log(me.log, event.EntrySkipped, "error", err.Error())
			continue
		}
		out = append(out, up)
	}
	return out
}

// evidence returns this member's newest evidence on each group's leader.
func (me *Member) evidence(now time.Time) []wireOpinion {
	ops := me.engine.Opinions()
	out := make([]wireOpinion, 0, len(ops))
	for _, op := range ops {
		if op.Leader == "" && op.Sample.Asked.IsZero() {
			continue
		}
		out = append(out, wireOpinion{
			Group:    op.Group,
			Leader:   op.Leader,
			ProvenMs: ageMs(op.ProvenAt, now),
			Term:     op.Sample.Position.Term.Number,
			Offset:   op.Sample.Position.Offset,
			SampleMs: ageMs(op.Sample.Asked, now),
		})
		if op.Lease.Leader == op.Leader {
			out[len(out)-1].addLease(op.Lease, now)
		}
	}
	return out
}

// addLease adds the evidence that the opinion's leader leads.
func (wo *wireOpinion) addLease(ev lease.Evidence, now time.Time) {
	wo.LeaseTerm, wo.LeaseMs = ev.Term, ageMs(ev.ConfirmedAt, now)
	if left := ev.WritesFrom.Sub(now); left > 0 {
		wo.HoldMs = left.Milliseconds() + 1
	}
}

// opinionsToSend returns the fresh opinions of this member and those received from
// others.
func (me *Member) opinionsToSend(now time.Time) []wireOpinion {
	ops := me.engine.Opinions()
	out := make([]wireOpinion, 0, len(ops))
	for _, op := range ops {
		if op.Leader == "" {
			continue
		}
		out = append(out, wireOpinion{
			From:        me.settings.Name,
			Group:       op.Group,
			Leader:      op.Leader,
			ProvenMs:    ageMs(op.ProvenAt, now),
			UnreachedMs: ageMs(op.UnreachedSince, now),
			Stalled:     op.StalledWrites,
			WroteMs:     ageMs(op.WriteAcknowledgedAt, now),
			Crowded:     op.CrowdedReads,
			ReplicaMs:   ageMs(op.ReplicaReadAt, now),
		})
	}
	return append(out, me.opinions.toForward(now, me.settings.Name)...)
}

// addEvidence passes evidence to the engine; sent is the time of sending or earlier.
func (me *Member) addEvidence(evidence []wireOpinion, sent time.Time) {
	for _, wo := range evidence {
		if wo.SampleMs > 0 {
			me.engine.AddSample(wo.Group, evid.Sample{
				Asked:    sent.Add(-millis(wo.SampleMs)),
				Position: posn.Position{Term: posn.Term{Number: wo.Term}, Offset: wo.Offset},
			})
		}
		if wo.LeaseTerm > 0 {
			// The remaining time counts from now, which is after it was sent, and the
			// age from before.
			me.engine.AdoptLease(wo.Group, lease.Evidence{
				Leader: wo.Leader, Term: wo.LeaseTerm, ConfirmedAt: sent.Add(-millis(wo.LeaseMs)),
				WritesFrom: me.deps.Now().Add(millis(wo.HoldMs)),
			})
		}
		if wo.ProvenMs > 0 && wo.Leader != "" {
			me.engine.RecordLeaderProof(wo.Group, wo.Leader, sent.Add(-millis(wo.ProvenMs)))
		}
	}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// ageMs returns an age in milliseconds, rounded up to at least 1, or 0 for the
// zero time.
func ageMs(at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(1, int64((now.Sub(at)+time.Millisecond-1)/time.Millisecond))
}
