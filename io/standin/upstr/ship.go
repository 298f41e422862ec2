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

// batchOfLog is what a primary answers to a follower.
type batchOfLog struct {
	// TermNumber and TermPrimary identify the primary's term.
	TermNumber  uint64  `json:"term_number"`
	TermPrimary string  `json:"term_primary"`
	Entries     []Entry `json:"entries"`
}

func (ba batchOfLog) term() posn.Term {
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
	// logWait bounds a long poll for log entries; an empty answer tells the
	// follower that the primary is there.
	logWait = 100 * time.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = time.Second
	// retryWait is the pause after a fetch that failed.
	retryWait = 50 * time.Millisecond
)

// serveLog answers with the entries past an offset. A follower whose log is no
// prefix of this one gets a conflict.
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
	own, ok := se.journal.term(after)
	if after > 0 && (!ok || strconv.FormatUint(own.Number, 10) != rq.FormValue("number") || own.Primary != rq.FormValue("primary")) {
		http.Error(wr, "log is no prefix", http.StatusConflict)
		return
	}
	entries := se.awaitEntries(rq.Context(), after)
	se.mu.Lock()
	te := se.term
	se.mu.Unlock()
	_ = json.NewEncoder(wr).Encode(batchOfLog{TermNumber: te.Number, TermPrimary: te.Primary, Entries: entries})
}

func (se *Server) awaitEntries(ctx context.Context, after uint64) []Entry {
	entries, grown := se.journal.after(after)
	if len(entries) > 0 {
		return entries
	}
	timer := time.NewTimer(logWait)
	defer timer.Stop()
	select {
	case <-grown:
	case <-timer.C:
	case <-ctx.Done():
	}
	entries, _ = se.journal.after(after)
	return entries
}

// replicate fetches the primary's log and replays it, as long as the server
// follows one.
func (se *Server) replicate(ctx context.Context) {
	defer se.wg.Done()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return se.opts.Dial(ctx, address)
	}}
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		se.mu.Lock()
		from, changed := se.follow, se.refollow
		se.mu.Unlock()
		if from == "" {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := se.step(ctx, client, from)
		if err != nil && se.follows(from) {
			transport.CloseIdleConnections()
			delay.Pause(ctx, retryWait)
		}
	}
}

func (se *Server) follows(from string) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.follow == from
}

// errForked says that the follower's log is no prefix of the primary's.
var errForked = errors.New("log is no prefix of the primary's")

// step fetches once and replays what came.
func (se *Server) step(ctx context.Context, client *http.Client, from string) error {
	if se.stopped.Load() {
		return errors.New("replication is stopped")
	}
	ba, err := se.fetchUntilChange(ctx, client, from)
	if errors.Is(err, errForked) && se.opts.Rewinds {
		return se.rewind()
	}
	if err != nil {
		return err
	}
	if !se.join(ba.term(), from) {
		return errors.New("primary is of a lower term")
	}
	for _, en := range ba.Entries {
		if !se.replay(ctx, en, from) {
			return nil
		}
	}
	return nil
}

// fetchUntilChange fetches, and gives up at once if the server is to follow
// another primary.
func (se *Server) fetchUntilChange(ctx context.Context, client *http.Client, from string) (batchOfLog, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	se.mu.Lock()
	changed := se.refollow
	isOther := se.follow != from
	se.mu.Unlock()
	if isOther {
		return batchOfLog{}, nil
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return se.fetch(ctx, client, from, se.journal.last())
}

// join moves up to the primary's term; false if that is lower.
func (se *Server) join(te posn.Term, from string) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.follow != from || te.Compare(se.term) < 0 {
		return false
	}
	se.term = te
	se.received = time.Now()
	return true
}

func (se *Server) fetch(ctx context.Context, client *http.Client, from string, after uint64) (batchOfLog, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	own, _ := se.journal.term(after)
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"number":  {strconv.FormatUint(own.Number, 10)},
		"primary": {own.Primary},
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+"/log?"+query.Encode(), nil)
	if err != nil {
		return batchOfLog{}, err
	}
	rs, err := client.Do(rq)
	if err != nil {
		return batchOfLog{}, err
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode == http.StatusConflict {
		return batchOfLog{}, errForked
	}
	if rs.StatusCode != http.StatusOK {
		return batchOfLog{}, errors.Newf("primary answered %d", rs.StatusCode)
	}
	var ba batchOfLog
	return ba, json.NewDecoder(rs.Body).Decode(&ba)
}

// replay applies an entry once its lag has passed; false if the server no
// longer follows that primary.
func (se *Server) replay(ctx context.Context, en Entry, from string) bool {
	const checkInterval = 5 * time.Millisecond
	for {
		due := en.Committed.Add(time.Duration(se.lag.Load()))
		wait := time.Until(due)
		if wait <= 0 && !se.stopped.Load() && !se.paused.Load() {
			break
		}
		if !delay.Pause(ctx, min(max(wait, time.Millisecond), checkInterval)) {
			return false
		}
		se.markReceived(from)
	}
	// An order to follow another primary waits for the entry in hand.
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
	se.journal.append(en)
	return true
}

func (se *Server) markReceived(from string) {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.follow == from && !se.stopped.Load() && !se.paused.Load() {
		se.received = time.Now()
	}
}

func (se *Server) applyBoth(ctx context.Context, en Entry) error {
	for _, db := range []*sql.DB{se.work, se.committed} {
		if err := applyEntry(ctx, db, en); err != nil {
			return err
		}
	}
	return nil
}

// rewind drops the newest entry and rebuilds the data from the rest of the log.
func (se *Server) rewind() error {
	last := se.journal.last()
	if last == 0 {
		return errForked
	}
	se.journal.truncate(last - 1)
	return se.rebuild()
}

// Promote makes the server primary of the new term if its term is still the
// one expected.
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

// Follow makes the server follow a primary of a higher term. It joins the term
// once it has seen that its log is a prefix of the primary's.
func (se *Server) Follow(above posn.Term, from string) error {
	se.mu.Lock()
	if te := se.term; above.Compare(te) <= 0 {
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

// setFollow changes whom the server follows; mu is held.
func (se *Server) setFollow(from string) {
	if se.follow == from {
		return
	}
	se.follow = from
	close(se.refollow)
	se.refollow = make(chan struct{})
}
