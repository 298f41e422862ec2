package member

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/catlg"
	"banyanspring/core/event"
	"banyanspring/io/stall"
)

const (
	catalogPath = "/v1/catalog"
	// maxInlinePatchBytes is the size up to which an encoded patch is part of the reply
	// to an exchange. Larger ones are requested separately: an exchange must be answered
	// within exchangeTimeout, or its source counts as unreachable.
	maxInlinePatchBytes = 4 << 10
	// fetchTimeout is how long a request for a larger patch may make no progress.
	fetchTimeout = 2 * time.Second
	// keptCatalogs is how many former versions are kept to make patches from.
	keptCatalogs = 3
)

// catalogFeed encodes the configuration for the members that exchange with this one, as
// compressed patches from the version that they have. It is safe for concurrent use.
type catalogFeed struct {
	mu sync.Mutex
	// former holds the versions before the current one, the newest last.
	former []*catlg.Catalog
	// current is the version that encoded, by the version to patch from, was made for.
	current uint64
	encoded map[uint64][]byte
	// announced is the newest version that a peer has announced, and announcedAt is when
	// it was first announced. It may not have been received yet.
	announced   uint64
	announcedAt time.Time
	// isFetching is true while this member requests a patch.
	isFetching atomic.Bool
	// receivedAt is when data of a configuration last arrived by a transfer under way, and
	// sourceReceivedAt is when the source last said that it was receiving one.
	receivedAt, sourceReceivedAt instant
}

const (
	// receivingFor is how long after data has arrived a transfer counts as under way.
	receivingFor = 500 * time.Millisecond
	// sourceReceivingFor is the same for a transfer to the source: two exchanges.
	sourceReceivingFor = 2 * crossRegionInterval
)

// isReceiving reports whether this member is receiving a configuration.
func (cf *catalogFeed) isReceiving(now time.Time) bool {
	at := cf.receivedAt.load()
	return !at.IsZero() && now.Sub(at) < receivingFor
}

// endReceiving records that a transfer has ended. Another one that is under way is seen
// again when its next data arrives.
func (cf *catalogFeed) endReceiving() { cf.receivedAt.reset() }

// isExpected reports whether a configuration will arrive from the source: this member or
// its source is receiving one.
func (cf *catalogFeed) isExpected(now time.Time) bool {
	at := cf.sourceReceivedAt.load()
	return cf.isReceiving(now) || !at.IsZero() && now.Sub(at) < sourceReceivingFor
}

// announce records that a peer has a version.
func (cf *catalogFeed) announce(version uint64, now time.Time) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if version > cf.announced {
		cf.announced, cf.announcedAt = version, now
	}
}

// announcedFor returns how long a peer has been known to have the version or a newer one;
// zero if none is known to.
func (cf *catalogFeed) announcedFor(version uint64, now time.Time) time.Duration {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if cf.announced < version || cf.announcedAt.IsZero() {
		return 0
	}
	return now.Sub(cf.announcedAt)
}

// remember keeps a version that was replaced.
func (cf *catalogFeed) remember(old *catlg.Catalog) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	cf.former = append(cf.former, old)
	if excess := len(cf.former) - keptCatalogs; excess > 0 {
		cf.former = append(cf.former[:0], cf.former[excess:]...)
	}
}

// patch returns the encoded patch to the catalog from the given version, or the whole
// configuration if that version is not kept.
func (cf *catalogFeed) patch(ca *catlg.Catalog, from uint64) ([]byte, error) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if cf.current != ca.Version {
		cf.current, cf.encoded = ca.Version, make(map[uint64][]byte)
	}
	var old *catlg.Catalog
	for _, kept := range cf.former {
		if kept.Version == from {
			old = kept
		}
	}
	if old == nil {
		from = 0
	}
	if raw, ok := cf.encoded[from]; ok {
		return raw, nil
	}
	raw, err := encodePatch(ca.PatchFrom(old))
	if err == nil {
		cf.encoded[from] = raw
	}
	return raw, err
}

func encodePatch(pa catlg.Patch) ([]byte, error) {
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zip).Encode(pa); err != nil {
		return nil, err
	}
	if err := zip.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func decodePatch(raw []byte) (catlg.Patch, error) {
	var pa catlg.Patch
	zip, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return pa, errors.Wrap(err, "patch of the configuration")
	}
	return pa, json.NewDecoder(io.LimitReader(zip, maxExchangeBytes)).Decode(&pa)
}

// serveCatalog answers a request for a patch from the version in the query.
func (ps *peers) serveCatalog(rw http.ResponseWriter, rq *http.Request) {
	from, err := strconv.ParseUint(rq.URL.Query().Get("have"), 10, 64)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	raw, err := ps.me.feed.patch(ps.me.catalog.Current(), from)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = rw.Write(raw)
}

// recordReceiving records that data of a configuration has arrived.
func (me *Member) recordReceiving() { me.feed.receivedAt.advance(me.deps.Now()) }

// fetchCatalog requests the announced version of the configuration from a member in the
// background, unless a request is running.
func (ps *peers) fetchCatalog(ctx context.Context, source entry, announced uint64) {
	if !ps.me.feed.isFetching.CompareAndSwap(false, true) {
		return
	}
	// The store is not read while the answer is on its way.
	ps.me.recordReceiving()
	go func() {
		defer ps.me.feed.isFetching.Store(false)
		defer ps.me.feed.endReceiving()
		me := ps.me
		ctx, cancel := stall.WithTimeout(ctx, fetchTimeout, transferLimit, me.recordReceiving)
		defer cancel()
		have := me.catalog.Current().Version
		url := "http://" + source.Address + catalogPath + "?have=" + strconv.FormatUint(have, 10)
		began := me.deps.Now()
		raw, err := ps.get(ctx, url)
		if err != nil {
			now := me.deps.Now()
			event.Log(me.log, event.DocumentDelayed, "peer", source.Name, "announced", announced, "catalog_version", have,
				"took_ms", now.Sub(began).Milliseconds(), "announced_ms", me.feed.announcedFor(announced, now).Milliseconds(),
				"error", err.Error())
			return
		}
		me.applyPatch(raw, source.Name)
	}()
}

func (ps *peers) get(ctx context.Context, url string) ([]byte, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	rs, err := ps.http.Do(rq)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return nil, errors.Newf("peer answered with HTTP status %d", rs.StatusCode)
	}
	return io.ReadAll(io.LimitReader(stall.NewReader(ctx, rs.Body), maxExchangeBytes))
}

// applyPatch activates the configuration that an encoded patch from a member gives. A
// patch that cannot be used is requested again with the next exchange.
func (me *Member) applyPatch(raw []byte, from string) {
	pa, err := decodePatch(raw)
	if err != nil {
		me.log.Warn("patch of the configuration", "error", err.Error())
		return
	}
	if ca, ok := me.catalog.Current().WithPatch(pa); ok {
		me.adoptCatalog(ca, from)
	}
}
