package upstr

import (
	"context"
	"database/sql"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/posn"
	"banyanspring/io/delay"
)

// logBatch is a primary's response to a follower that fetches log entries.
type logBatch struct {
	// TermNumber and TermPrimary identify the primary's term.
	TermNumber  uint64  `json:"term_number"`
	TermPrimary string  `json:"term_primary"`
	Entries     []Entry `json:"entries"`
}

func (ba logBatch) term() posn.Term {
	return posn.Term{Number: ba.TermNumber, Primary: ba.TermPrimary}
}

func (se *Server) startControl(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log", se.serveLog)
	mux.HandleFunc("POST /lag", func(wr http.ResponseWriter, rq *http.Request) {
		lag, err := time.ParseDuration(rq.FormValue("lag"))
		if err != nil {
			http.Error(wr, err.Error(), http.StatusBadRequest)
			return
		}
		se.SetLag(lag)
	})
	mux.HandleFunc("POST /pause", func(_ http.ResponseWriter, rq *http.Request) {
		se.SetPaused(rq.FormValue("paused") == "true")
	})
	mux.HandleFunc("POST /silence", func(http.ResponseWriter, *http.Request) { se.SilenceConnections() })
	se.control = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = se.control.Serve(ln) }()
}

const (
	// longPollTimeout limits how long a fetch waits for new log entries. An empty
	// response shows the follower that the primary is alive.
	longPollTimeout = 100 * time.Millisecond
	// fetchTimeout limits one fetch, on the follower's side.
	fetchTimeout = time.Second
	// retryWait is the pause after a failed fetch.
	retryWait = 50 * time.Millisecond
)

// serveLog responds with the log entries after an offset. A follower whose log
// is not a prefix of the primary's gets 409 Conflict.
func (se *Server) serveLog(wr http.ResponseWriter, rq *http.Request) {
	after, err := strconv.ParseUint(rq.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	for se.paused.Load() {
		if !delay.Pause(rq.Context(), time.Millisecond) {
			return
		}
	}
	if !se.IsPrimary() {
		http.Error(wr, "not primary", http.StatusMisdirectedRequest)
		return
	}
	own, ok := se.log.term(after)
	if after > 0 && (!ok || strconv.FormatUint(own.Number, 10) != rq.FormValue("number") || own.Primary != rq.FormValue("primary")) {
		http.Error(wr, "log is no prefix", http.StatusConflict)
		return
	}
	entries := se.awaitEntries(rq.Context(), after)
	se.mu.Lock()
	te := se.term
	se.mu.Unlock()
	_ = json.NewEncoder(wr).Encode(logBatch{TermNumber: te.Number, TermPrimary: te.Primary, Entries: entries})
}

// awaitEntries returns the entries after the offset. It waits up to
// longPollTimeout if there are none yet.
func (se *Server) awaitEntries(ctx context.Context, after uint64) []Entry {
	entries, grown := se.log.after(after)
	if len(entries) > 0 {
		return entries
	}
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	select {
	case <-grown:
	case <-timer.C:
	case <-ctx.Done():
	}
	entries, _ = se.log.after(after)
	return entries
}

// replicate fetches and replays the primary's log while the server follows a
// primary. It runs until ctx is done.
func (se *Server) replicate(ctx context.Context) {
	defer se.wg.Done()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return se.opts.Dial(ctx, address)
	}}
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		se.mu.Lock()
		from, changed := se.follow, se.followChanged
		se.mu.Unlock()
		if from == "" {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := se.fetchAndReplay(ctx, client, from)
		if err != nil && se.isFollowing(from) {
			transport.CloseIdleConnections()
			delay.Pause(ctx, retryWait)
		}
	}
}

func (se *Server) isFollowing(from string) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.follow == from
}

// errDiverged is returned if the follower's log is not a prefix of the primary's.
var errDiverged = errors.New("log has diverged from the primary's")

// fetchAndReplay fetches a batch of log entries from a primary and replays it.
func (se *Server) fetchAndReplay(ctx context.Context, client *http.Client, from string) error {
	if se.replayStopped.Load() {
		return errors.New("replication is stopped")
	}
	ba, err := se.fetchUntilChange(ctx, client, from)
	if errors.Is(err, errDiverged) && se.opts.Rewinds {
		return se.rewind()
	}
	if err != nil {
		return err
	}
	if !se.joinTerm(ba.term(), from) {
		return errors.New("the primary has a lower term, or is no longer the one to follow")
	}
	for _, en := range ba.Entries {
		if !se.replay(ctx, en, from) {
			return nil
		}
	}
	return nil
}

// fetchUntilChange fetches a batch of log entries. The fetch is cancelled as soon as
// Promote or Follow changes the primary that the server follows.
func (se *Server) fetchUntilChange(ctx context.Context, client *http.Client, from string) (logBatch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	se.mu.Lock()
	changed := se.followChanged
	isOther := se.follow != from
	se.mu.Unlock()
	if isOther {
		return logBatch{}, nil
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return se.fetch(ctx, client, from, se.log.last())
}

// joinTerm adopts the primary's term. It returns false if that term is lower than
// the server's own, or if the server no longer follows this primary.
func (se *Server) joinTerm(te posn.Term, from string) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.follow != from || te.Compare(se.term) < 0 {
		return false
	}
	se.term = te
	se.receivedAt = time.Now()
	return true
}

func (se *Server) fetch(ctx context.Context, client *http.Client, from string, after uint64) (logBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	own, _ := se.log.term(after)
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"number":  {strconv.FormatUint(own.Number, 10)},
		"primary": {own.Primary},
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+"/log?"+query.Encode(), nil)
	if err != nil {
		return logBatch{}, err
	}
	rs, err := client.Do(rq)
	if err != nil {
		return logBatch{}, err
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode == http.StatusConflict {
		return logBatch{}, errDiverged
	}
	if rs.StatusCode != http.StatusOK {
		return logBatch{}, errors.Newf("primary responded with HTTP status %d", rs.StatusCode)
	}
	var ba logBatch
	return ba, json.NewDecoder(rs.Body).Decode(&ba)
}

// replay applies an entry once its lag has elapsed. It returns false if the server
// no longer follows this primary or is closed.
func (se *Server) replay(ctx context.Context, en Entry, from string) bool {
	const checkInterval = 5 * time.Millisecond
	for {
		due := en.Committed.Add(time.Duration(se.lag.Load()))
		wait := time.Until(due)
		if wait <= 0 && !se.replayStopped.Load() && !se.paused.Load() {
			break
		}
		if !delay.Pause(ctx, min(max(wait, time.Millisecond), checkInterval)) {
			return false
		}
		se.markReceived(from)
	}
	// Promote and Follow need mu, so they wait until this entry is applied.
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.follow != from {
		return false
	}
	if err := se.applyBoth(ctx, en); err != nil {
		if ctx.Err() == nil {
			panic(fmt.Sprintf("replica %s cannot replay entry %d: %v", se.opts.Name, en.Offset, err))
		}
		return false
	}
	se.log.append(en)
	return true
}

// markReceived updates receivedAt while an entry waits for its lag, unless the
// server is paused or its replication is stopped.
func (se *Server) markReceived(from string) {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.follow == from && !se.replayStopped.Load() && !se.paused.Load() {
		se.receivedAt = time.Now()
	}
}

// applyBoth applies an entry to both databases.
func (se *Server) applyBoth(ctx context.Context, en Entry) error {
	for _, db := range []*sql.DB{se.writeDB, se.readDB} {
		if err := applyEntry(ctx, db, en); err != nil {
			return err
		}
	}
	return nil
}

// rewind removes the newest log entry and rebuilds the databases from the
// remaining ones.
func (se *Server) rewind() error {
	last := se.log.last()
	if last == 0 {
		return errDiverged
	}
	se.log.truncate(last - 1)
	return se.rebuild()
}

// Promote makes the server the primary of the next term, provided that its current
// term is the expected one. The next term must be higher and name this server.
func (se *Server) Promote(expected, next posn.Term) error {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.term != expected {
		return errors.Newf("term is %d of %s", se.term.Number, se.term.Primary)
	}
	if next.Compare(expected) <= 0 || next.Primary != se.opts.Name {
		return errors.New("new term is not above the old one")
	}
	se.term = next
	se.primary = true
	se.setFollow("")
	return nil
}

// Follow makes the server follow the primary of a higher term. The server joins
// that term once the primary has confirmed that the server's log is a prefix of
// its own.
func (se *Server) Follow(next posn.Term, from string) error {
	se.mu.Lock()
	if te := se.term; next.Compare(te) <= 0 {
		se.mu.Unlock()
		return errors.Newf("term is %d of %s already", te.Number, te.Primary)
	}
	wasPrimary := se.primary
	se.primary = false
	se.setFollow(from)
	se.mu.Unlock()
	if wasPrimary {
		se.DropConnections()
	}
	return nil
}

// setFollow changes the primary that the server follows. The caller holds mu.
func (se *Server) setFollow(from string) {
	if se.follow == from {
		return
	}
	se.follow = from
	close(se.followChanged)
	se.followChanged = make(chan struct{})
}
