package home

import (
	"context"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/io/frame"
	"banyanspring/io/wire"
)

// Statements on the table of request keys, which lives in the caller's own
// database so that it commits, replicates and fails over with the work.
const (
	createKeys = `CREATE TABLE IF NOT EXISTS banyanspring_request_keys (
caller TEXT NOT NULL, request_key TEXT NOT NULL, digest TEXT NOT NULL, outcome TEXT NOT NULL,
created_ms BIGINT NOT NULL, PRIMARY KEY (caller, request_key))`
	insertKey = `INSERT INTO banyanspring_request_keys (caller, request_key, digest, outcome, created_ms)
VALUES (%s, %s, %s, '', %d) ON CONFLICT (caller, request_key) DO NOTHING`
	selectKey = `SELECT digest, outcome FROM banyanspring_request_keys WHERE caller = %s AND request_key = %s`
	updateKey = `UPDATE banyanspring_request_keys SET outcome = %s WHERE caller = %s AND request_key = %s`
	pruneKeys = `DELETE FROM banyanspring_request_keys WHERE created_ms < %d`
)

const (
	// maxOutcomeBytes is the largest answer that is kept for a repeat.
	maxOutcomeBytes = 64 << 10
	// outcomeLarge marks an answer that was not kept.
	outcomeLarge = "!"
	// sqlStateNoTable is the answer if a table does not exist.
	sqlStateNoTable = "42P01"
	// pruneOdds is one over the share of keyed requests that also prune.
	pruneOdds = 256
	// maxKeyAhead is how far a key's time may be in the future.
	maxKeyAhead = 5 * time.Minute
)

// CheckRequestKey refuses a key that is not a version 7 UUID or whose time is
// past the age kept. The time in the key is what makes the second check
// possible after the key was pruned.
func CheckRequestKey(key string, now time.Time, age time.Duration) error {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return codes.Refuse(codes.BadRequestKey, "%q", key)
	}
	sec, nsec := id.Time().UnixTime()
	made := time.Unix(sec, nsec)
	if now.Sub(made) > age {
		return codes.Refuse(codes.RequestKeyTooOld, "made %v ago, kept for %v", now.Sub(made).Round(time.Second), age)
	}
	if made.Sub(now) > maxKeyAhead {
		return codes.Refuse(codes.BadRequestKey, "its time is in the future")
	}
	return nil
}

func quote(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// digest identifies what the unit does, whatever names its session uses.
func (jo *unitJob) digest() string {
	dig := xxhash.New()
	texts := make(map[string]string, len(jo.un.Statements))
	for _, st := range jo.un.Statements {
		texts[st.Name] = st.Query
	}
	for raw := jo.un.Messages; len(raw) > 0; {
		msg, size, err := frame.Decode(raw)
		if err != nil {
			break
		}
		_, _ = dig.Write(raw[:1])
		digestMessage(dig, msg, texts)
		raw = raw[size:]
	}
	return strconv.FormatUint(dig.Sum64(), 16)
}

func digestMessage(dig *xxhash.Digest, msg pgproto3.FrontendMessage, texts map[string]string) {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		_, _ = dig.WriteString(msg.String)
	case *pgproto3.Parse:
		texts[msg.Name] = msg.Query
		_, _ = dig.WriteString(msg.Query)
	case *pgproto3.Bind:
		_, _ = dig.WriteString(texts[msg.PreparedStatement])
		for _, val := range msg.Parameters {
			_, _ = dig.WriteString(strconv.Itoa(len(val)))
			_, _ = dig.Write(val)
		}
	}
}

// keyed records the request key in the same transaction as the work.
func (jo *unitJob) keyed(ctx context.Context) (unitDone, error) {
	age := jo.un.RequestKeyAge.AsDuration()
	if err := CheckRequestKey(jo.un.RequestKey, jo.ru.ma.now(), age); err != nil {
		return unitDone{}, err
	}
	_ = jo.ru.co.net.SetDeadline(jo.patience())
	isNew, err := jo.claim()
	if err != nil {
		return unitDone{}, jo.abort(err)
	}
	if !isNew {
		return jo.replay()
	}
	if jo.un.Begin {
		return jo.beginKeyed()
	}
	return jo.work(ctx)
}

// patience is when the system's own statements of a keyed request are given
// up: a repeat is safe, and a silent connection must not hold it up.
func (jo *unitJob) patience() time.Time {
	limit := jo.ru.ma.now().Add(keyPatience * jo.ru.ma.settings.SilentAfter)
	if jo.deadline.Before(limit) {
		return jo.deadline
	}
	return limit
}

// keyPatience is how many times the time after which a connection counts as
// silent a keyed request waits, as the first request with its key may run still.
const keyPatience = 2

// claim opens a transaction and inserts the key; false says that it was there.
func (jo *unitJob) claim() (bool, error) {
	isNew, err := jo.tryClaim()
	var ue *upstreamError
	if !errors.As(err, &ue) || ue.state != sqlStateNoTable {
		return isNew, err
	}
	if err := jo.exec("ROLLBACK"); err != nil {
		return false, err
	}
	if err := jo.exec(createKeys); err != nil {
		return false, err
	}
	return jo.tryClaim()
}

func (jo *unitJob) tryClaim() (bool, error) {
	if err := jo.exec("BEGIN"); err != nil {
		return false, err
	}
	now := jo.ru.ma.now()
	query := fmt.Sprintf(insertKey, quote(jo.ru.open.Caller), quote(jo.un.RequestKey), quote(jo.digest()), now.UnixMilli())
	_, tag, err := jo.ru.co.rowsOf(query)
	if err != nil {
		return false, err
	}
	return tag == "INSERT 0 1", jo.prune(now)
}

// prune removes old keys now and then. They are kept for twice the age, so
// that a key within its age is never gone.
func (jo *unitJob) prune(now time.Time) error {
	if xxhash.Sum64String(jo.un.RequestKey)%pruneOdds != 0 {
		return nil
	}
	horizon := now.Add(-2 * jo.un.RequestKeyAge.AsDuration())
	event.Log(jo.ru.ma.log, event.KeysPruned, "upstream", jo.ru.up.member.Name)
	return jo.exec(fmt.Sprintf(pruneKeys, horizon.UnixMilli()))
}

func (jo *unitJob) exec(query string) error {
	_, _, err := jo.ru.co.rowsOf(query)
	return err
}

// abort rolls back after a failure before the work was sent, so that "not
// run" is true.
func (jo *unitJob) abort(err error) error {
	co := jo.ru.co
	if !co.doubt && co.status != 'I' {
		if jo.exec("ROLLBACK") != nil {
			co.doubt = true
		}
	}
	return codes.Refuse(codes.UpstreamUnreached, "request key: %v", err)
}

// replay answers with the first outcome. The position is reported so that the
// outcome is confirmed by a majority before it is repeated.
func (jo *unitJob) replay() (unitDone, error) {
	query := fmt.Sprintf(selectKey, quote(jo.ru.open.Caller), quote(jo.un.RequestKey))
	rows, _, err := jo.ru.co.rowsOf(query)
	if err != nil || len(rows) != 1 {
		return unitDone{}, jo.abort(errors.Newf("read outcome: %v", err))
	}
	if err := jo.exec("ROLLBACK"); err != nil {
		return unitDone{}, jo.abort(err)
	}
	got, err := jo.ru.co.report(jo.deadline)
	if err != nil {
		return unitDone{}, jo.abort(err)
	}
	event.Log(jo.ru.ma.log, event.RequestKeyReplay, "upstream", jo.ru.up.member.Name, "caller", jo.ru.open.Caller)
	done := unitDone{committed: true, complete: true, hasReport: true, report: got}
	return done, jo.putOutcome(rows[0][0], rows[0][1])
}

func (jo *unitJob) putOutcome(digest, outcome string) error {
	if jo.un.Begin {
		return codes.Refuse(codes.RequestKeyRan, "%s", jo.un.RequestKey)
	}
	if digest != jo.digest() {
		return codes.Refuse(codes.RequestKeyChanged, "%s", jo.un.RequestKey)
	}
	if outcome == outcomeLarge {
		return codes.Refuse(codes.KeyOutcomeLarge, "%s", jo.un.RequestKey)
	}
	raw, err := base64.StdEncoding.DecodeString(outcome)
	if err != nil {
		return codes.Refuse(codes.Internal, "outcome of %s: %v", jo.un.RequestKey, err)
	}
	jo.si.held = append(jo.si.held, raw...)
	return nil
}

// beginKeyed answers the BEGIN of a transaction that claim has opened.
func (jo *unitJob) beginKeyed() (unitDone, error) {
	jo.si.hold = false
	_ = jo.ru.co.net.SetDeadline(time.Time{})
	return jo.plain(context.Background(), jo.si, false)
}

// work runs the unit inside the transaction, keeps its answer and commits.
func (jo *unitJob) work(ctx context.Context) (unitDone, error) {
	kept := &keptAnswer{send: jo.si.send}
	inner := &sink{send: kept.add}
	done, err := jo.plain(ctx, inner, false)
	if err != nil {
		return unitDone{}, err
	}
	if done.failed {
		jo.si.send = kept.send
		jo.si.held = append(jo.si.held, kept.raw...)
		if err := jo.exec("ROLLBACK"); err != nil {
			jo.ru.co.doubt = true
		}
		return unitDone{failed: true, complete: true}, nil
	}
	return jo.commit(kept)
}

func (jo *unitJob) commit(kept *keptAnswer) (unitDone, error) {
	_ = jo.ru.co.net.SetDeadline(jo.patience())
	query := fmt.Sprintf(updateKey, quote(kept.outcome()), quote(jo.ru.open.Caller), quote(jo.un.RequestKey))
	if err := jo.exec(query); err != nil {
		return unitDone{}, jo.abort(err)
	}
	if err := jo.exec("COMMIT"); err != nil {
		jo.ru.co.doubt = true
		return unitDone{}, codes.Refuse(codes.ConnectionLost, "%v", err)
	}
	got, err := jo.ru.co.report(jo.deadline)
	if err != nil {
		jo.ru.co.doubt = true
		return unitDone{}, codes.Refuse(codes.ConnectionLost, "%v", err)
	}
	jo.si.held = append(jo.si.held, kept.raw...)
	return unitDone{committed: true, complete: true, hasReport: true, report: got}, nil
}

// keptAnswer collects an answer that is recorded with its request key. One
// that is too large to keep is passed on as it comes.
type keptAnswer struct {
	raw      []byte
	overflow bool
	send     func(*wire.RunReply) error
}

func (ka *keptAnswer) add(re *wire.RunReply) error {
	ka.raw = append(ka.raw, re.GetMessages()...)
	if !ka.overflow && len(ka.raw) <= maxOutcomeBytes {
		return nil
	}
	ka.overflow = true
	raw := ka.raw
	ka.raw = nil
	return ka.send(&wire.RunReply{Kind: &wire.RunReply_Messages{Messages: raw}})
}

func (ka *keptAnswer) outcome() string {
	if ka.overflow {
		return outcomeLarge
	}
	return base64.StdEncoding.EncodeToString(ka.raw)
}
