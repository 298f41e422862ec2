package member

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/catlg"
	"banyanspring/core/evid"
	"banyanspring/core/group"
	"banyanspring/core/life"
	"banyanspring/core/posn"
	"banyanspring/io/delay"
)

const (
	exchangePath = "/v1/exchange"
	// exchangeEvery is the time between two exchanges with the source. Evidence
	// has to reach all members well within the staleness that reads tolerate,
	// and a leader's loss well within a statement's timeout.
	exchangeEvery = 250 * time.Millisecond
	// exchangeAcross is the same with a source in another region while all is
	// well: the link between regions is scarce and paid by volume.
	exchangeAcross = 450 * time.Millisecond
	// exchangeTimeout bounds one exchange; the slowest round trip between
	// regions is some 20 ms, and a processor share that is used up gives a pause
	// of 100 ms.
	exchangeTimeout = 250 * time.Millisecond
	// maxExchange bounds what is read of an exchange, in bytes.
	maxExchange = 8 << 20
)

// word is one member's opinion of a group's leader, on the wire. Ages count
// back from the sending.
type word struct {
	From   string `json:"from,omitempty"`
	Group  string `json:"group"`
	Leader string `json:"leader,omitempty"`
	// Count is the number of members whose opinions were put together; zero for
	// one member's own.
	Count int   `json:"count,omitempty"`
	AgeMs int64 `json:"age,omitempty"`
	// ProvenMs, UnreachedMs, WroteMs and ReplicaMs are zero if there is none.
	ProvenMs    int64 `json:"proven,omitempty"`
	UnreachedMs int64 `json:"unreached,omitempty"`
	Stalled     int   `json:"stalled,omitempty"`
	WroteMs     int64 `json:"wrote,omitempty"`
	Crowded     int   `json:"crowded,omitempty"`
	ReplicaMs   int64 `json:"replica,omitempty"`
	// Term and Offset are the newest evidence, SampleMs old; zero if none.
	Term     uint64 `json:"term,omitempty"`
	Offset   uint64 `json:"offset,omitempty"`
	SampleMs int64  `json:"sample,omitempty"`
}

// question is what a member tells its source, and what it has.
type question struct {
	From     string `json:"from"`
	Catalog  uint64 `json:"catalog"`
	Listing  uint64 `json:"listing"`
	Members  uint64 `json:"members"`
	Opinions []word `json:"opinions"`
}

// reply is what a source knows and the asker lacks.
type reply struct {
	// Leaving is true if the source is on its way out, and holds no duty.
	Leaving bool `json:"leaving,omitempty"`
	// Catalog is nil if the asker's is as new.
	Catalog *catlg.Document `json:"catalog,omitempty"`
	// CatalogMs and ListingMs are how long ago the store last confirmed them;
	// zero if never.
	CatalogMs int64 `json:"catalog_ms,omitempty"`
	ListingMs int64 `json:"listing_ms,omitempty"`
	// Listing is nil if the asker's is as new.
	Listing *listing `json:"listing,omitempty"`
	// Members is the list of members at MembersAt; nil if the asker's is as new.
	Members   []Object `json:"members,omitempty"`
	MembersAt uint64   `json:"members_at,omitempty"`
	MembersMs int64    `json:"members_ms,omitempty"`
	// Evidence is the newest evidence on each group's leader.
	Evidence []word `json:"evidence"`
}

type listing struct {
	// Revision is the newest at which the listing changed.
	Revision  uint64           `json:"revision"`
	Upstreams []group.Upstream `json:"upstreams"`
}

// peers exchanges what members know. Each asks the first member of its failure
// domain, and the first of each domain asks the first of all, so that the
// number of exchanges grows with the members and no member serves them all.
type peers struct {
	me   *Member
	http *http.Client
}

func newPeers(me *Member) *peers {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return me.seams.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}
	return &peers{me: me, http: &http.Client{Transport: transport}}
}

// serve answers the other members.
func (ps *peers) serve() error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+exchangePath, ps.handle)
	ps.me.serveMetrics(mux)
	ln, err := net.Listen("tcp", ps.me.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	go func() { _ = http.Serve(ln, mux) }()
	return nil
}

func (ps *peers) handle(rw http.ResponseWriter, rq *http.Request) {
	var qu question
	if err := json.NewDecoder(io.LimitReader(rq.Body, maxExchange)).Decode(&qu); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	now := ps.me.seams.Now()
	ps.me.roster.heard(qu.From, now)
	// A question may have been under way for a while, so that what it says of
	// ages bounds nothing.
	for pos := range qu.Opinions {
		qu.Opinions[pos].SampleMs = 0
		ps.me.opinions.note(qu.Opinions[pos], now)
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(ps.me.reply(qu, now))
}

// reply returns what the asker lacks.
func (me *Member) reply(qu question, now time.Time) reply {
	re := reply{
		Leaving:   me.life.State() == life.Leaving,
		CatalogMs: ageMs(me.catalogAt.load(), now),
		ListingMs: ageMs(me.listingAt.load(), now),
		Evidence:  me.evidence(now),
	}
	re.Members, re.MembersAt = me.roster.objects(qu.Members)
	re.MembersMs = ageMs(me.roster.confirmedAt.load(), now)
	if ca := me.catalog.Current(); ca.Version > qu.Catalog {
		doc := ca.Document()
		re.Catalog = &doc
	}
	vi := me.listing()
	if vi.Changed > qu.Listing {
		re.Listing = &listing{Revision: vi.Changed, Upstreams: vi.All()}
	}
	return re
}

// follow exchanges with the source again and again.
func (ps *peers) follow(ctx context.Context) {
	pause := exchangeEvery
	for delay.Pause(ctx, pause) {
		pause = exchangeEvery
		if en, ok := ps.me.roster.lost(ps.me.seams.Now()); ok {
			go ps.exchange(ctx, en)
		}
		source, ok := ps.me.roster.source()
		switch {
		case !ok:
			ps.trySeeds(ctx)
		case !ps.exchange(ctx, source):
			// Where one is gone others may be, if the fleet is split. Who holds
			// the duty must not take a timeout for each of them to find out.
			ps.tryElders(ctx)
			pause = 0
		case source.Region != ps.me.settings.Site.Region && !ps.me.isTroubled():
			pause = exchangeAcross
		}
	}
}

// tryElders exchanges with the members of older tokens at once, often enough
// that one which does not answer counts as gone.
func (ps *peers) tryElders(ctx context.Context) {
	for range failuresDown {
		var wg sync.WaitGroup
		for _, en := range ps.me.roster.elders() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				ps.exchange(ctx, en)
			}()
		}
		wg.Wait()
	}
}

// trySeeds asks the members named in the settings, while no other is known.
func (ps *peers) trySeeds(ctx context.Context) {
	for _, address := range ps.me.settings.Seeds {
		if address != ps.me.settings.PeerAddress && ps.exchange(ctx, entry{Address: address}) {
			return
		}
	}
}

// isTroubled reports whether a leader is not reached or does not answer writes,
// which others should hear of soon.
func (me *Member) isTroubled() bool {
	for _, op := range me.engine.Opinions() {
		if !op.UnreachedSince.IsZero() || op.StalledWrites > 0 {
			return true
		}
	}
	return false
}

// exchange asks one member and reports whether it answered.
func (ps *peers) exchange(ctx context.Context, source entry) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	me := ps.me
	asked := me.seams.Now()
	qu := question{
		From: me.settings.Name, Catalog: me.catalog.Current().Version, Listing: me.listing().Changed, Members: me.roster.revisionKnown(),
		Opinions: me.words(asked),
	}
	var re reply
	err := ps.post(ctx, "http://"+source.Address+exchangePath, qu, &re)
	me.roster.answered(source, err, me.seams.Now())
	if err != nil {
		return false
	}
	if re.Leaving {
		me.roster.gone(source.Name)
		return true
	}
	me.learn(re, asked)
	return true
}

func (ps *peers) post(ctx context.Context, url string, body, out any) error {
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
	if rs.StatusCode != http.StatusOK {
		return errors.Newf("peer answered %d", rs.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(rs.Body, maxExchange)).Decode(out)
}

// learn takes what a source said. Ages are counted from the question, so that
// nothing is taken for younger than it is.
func (me *Member) learn(re reply, asked time.Time) {
	if re.Catalog != nil {
		me.offerCatalog(catlg.FromDocument(*re.Catalog))
	}
	if re.CatalogMs > 0 {
		me.catalogAt.raise(asked.Add(-millis(re.CatalogMs)))
	}
	if re.Listing != nil {
		vi := group.NewView(re.Listing.Revision, re.Listing.Upstreams)
		me.setView(func(old group.View) group.View {
			if vi.Changed <= old.Changed {
				return old
			}
			return vi
		})
		me.isListed.Store(true)
	}
	if re.Members != nil {
		me.roster.replace(re.Members, re.MembersAt)
	}
	me.noteReady()
	if re.MembersMs > 0 {
		me.roster.confirmedAt.raise(asked.Add(-millis(re.MembersMs)))
	}
	if re.ListingMs > 0 {
		me.listingAt.raise(asked.Add(-millis(re.ListingMs)))
	}
	me.take(re.Evidence, asked)
}

// evidence returns what this member knows of each group's leader.
func (me *Member) evidence(now time.Time) []word {
	ops := me.engine.Opinions()
	out := make([]word, 0, len(ops))
	for _, op := range ops {
		if op.Leader == "" && op.Sample.Asked.IsZero() {
			continue
		}
		out = append(out, word{
			Group:    op.Group,
			Leader:   op.Leader,
			ProvenMs: ageMs(op.ProvenAt, now),
			Term:     op.Sample.Position.Term.Number,
			Offset:   op.Sample.Position.Offset,
			SampleMs: ageMs(op.Sample.Asked, now),
		})
	}
	return out
}

// words returns the fresh opinions of this member and of those it heard from.
func (me *Member) words(now time.Time) []word {
	ops := me.engine.Opinions()
	out := make([]word, 0, len(ops))
	for _, op := range ops {
		if op.Leader == "" {
			continue
		}
		out = append(out, word{
			From:        me.settings.Name,
			Group:       op.Group,
			Leader:      op.Leader,
			ProvenMs:    ageMs(op.ProvenAt, now),
			UnreachedMs: ageMs(op.UnreachedSince, now),
			Stalled:     op.StalledWrites,
			WroteMs:     ageMs(op.WroteAt, now),
			Crowded:     op.CrowdedReads,
			ReplicaMs:   ageMs(op.ReplicaAt, now),
		})
	}
	return append(out, me.opinions.toPassOn(now, me.settings.Name)...)
}

// take notes evidence that was sent at the time given or later.
func (me *Member) take(words []word, sent time.Time) {
	for _, wo := range words {
		if wo.SampleMs > 0 {
			me.engine.AddEvidence(wo.Group, evid.Sample{
				Asked:    sent.Add(-millis(wo.SampleMs)),
				Position: posn.Position{Term: posn.Term{Number: wo.Term}, Offset: wo.Offset},
			})
		}
		if wo.ProvenMs > 0 && wo.Leader != "" {
			me.engine.NoteLeader(wo.Group, wo.Leader, sent.Add(-millis(wo.ProvenMs)))
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
