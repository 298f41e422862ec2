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

// Statements on the table of request keys. The table is in the caller's own
// database, so that it commits, replicates and fails over with the caller's
// data.
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
	// maxOutcomeBytes is the size of the largest answer that is stored for
	// repeats.
	maxOutcomeBytes = 64 << 10
	// outcomeTooLarge is stored in place of an answer that exceeds
	// maxOutcomeBytes.
	outcomeTooLarge = "!"
	// sqlStateNoTable is the SQLSTATE for a table that does not exist.
	sqlStateNoTable = "42P01"
	// pruneOneIn is the average number of keyed requests per pruning of old keys.
	pruneOneIn = 256
	// maxKeyAhead is how far a key's timestamp may be in the future.
	maxKeyAhead = 5 * time.Minute
)

// CheckRequestKey refuses a key that is not a version 7 UUID, whose timestamp
// is older than age, or whose timestamp is more than maxKeyAhead in the future.
// The age can be checked even after the key's row was pruned, because the
// timestamp is part of the key.
func CheckRequestKey(key string, now time.Time, age time.Duration) error {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return codes.Refuse(codes.BadRequestKey, "%q", key)
	}
	sec, nsec := id.Time().UnixTime()
	createdAt := time.Unix(sec, nsec)
	if now.Sub(createdAt) > age {
		return codes.Refuse(codes.RequestKeyTooOld, "made %v ago, kept for %v", now.Sub(createdAt).Round(time.Second), age)
	}
	if createdAt.Sub(now) > maxKeyAhead {
		return codes.Refuse(codes.BadRequestKey, "its time is in the future")
	}
	return nil
}

func quoteLiteral(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// digest returns a hash of the unit's message types, query texts and parameters,
// by which replay detects a key that is reused for a different request. It does
// not depend on the session's names for prepared statements.
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

// runKeyed runs the unit and records its request key in the same transaction.
func (jo *unitJob) runKeyed(ctx context.Context) (unitResult, error) {
	age := jo.un.RequestKeyAge.AsDuration()
	if err := CheckRequestKey(jo.un.RequestKey, jo.ru.ma.now(), age); err != nil {
		return unitResult{}, err
	}
	_ = jo.ru.co.net.SetDeadline(jo.keyDeadline())
	isNew, err := jo.claimKey()
	if err != nil {
		return unitResult{}, jo.abort(err)
	}
	if !isNew {
		return jo.replay()
	}
	if jo.un.Begin {
		return jo.beginKeyed()
	}
	return jo.runAndCommit(ctx)
}

// keyDeadline is the deadline for the home's own statements in a keyed request.
// They end early because a repeat is safe and a silent connection must not
// delay it.
func (jo *unitJob) keyDeadline() time.Time {
	limit := jo.ru.ma.now().Add(keySilenceFactor * jo.ru.ma.settings.SilentAfter)
	if jo.deadline.Before(limit) {
		return jo.deadline
	}
	return limit
}

// keySilenceFactor is the multiple of SilentAfter that a keyed request waits,
// because the first request with the same key may still be running.
const keySilenceFactor = 2

// claimKey opens a transaction and inserts the key. It returns false if the key
// already existed.
func (jo *unitJob) claimKey() (bool, error) {
	isNew, err := jo.tryClaimKey()
	var ue *upstreamError
	if !errors.As(err, &ue) || ue.sqlState != sqlStateNoTable {
		return isNew, err
	}
	if err := jo.exec("ROLLBACK"); err != nil {
		return false, err
	}
	if err := jo.exec(createKeys); err != nil {
		return false, err
	}
	return jo.tryClaimKey()
}

func (jo *unitJob) tryClaimKey() (bool, error) {
	if err := jo.exec("BEGIN"); err != nil {
		return false, err
	}
	now := jo.ru.ma.now()
	query := fmt.Sprintf(insertKey, quoteLiteral(jo.ru.open.Caller), quoteLiteral(jo.un.RequestKey), quoteLiteral(jo.digest()), now.UnixMilli())
	_, tag, err := jo.ru.co.queryRows(query)
	if err != nil {
		return false, err
	}
	return tag == "INSERT 0 1", jo.prune(now)
}

// prune occasionally deletes old keys. Rows are kept for twice the age, so that
// a key within its age always has its row.
func (jo *unitJob) prune(now time.Time) error {
	if xxhash.Sum64String(jo.un.RequestKey)%pruneOneIn != 0 {
		return nil
	}
	cutoff := now.Add(-2 * jo.un.RequestKeyAge.AsDuration())
	event.Log(jo.ru.ma.log, event.KeysPruned, "upstream", jo.ru.up.member.Name)
	return jo.exec(fmt.Sprintf(pruneKeys, cutoff.UnixMilli()))
}

func (jo *unitJob) exec(query string) error {
	_, _, err := jo.ru.co.queryRows(query)
	return err
}

// abort rolls back after a failure before COMMIT was sent, so that the refusal's
// "not run" is true.
func (jo *unitJob) abort(err error) error {
	co := jo.ru.co
	if !co.inDoubt && co.status != 'I' {
		if jo.exec("ROLLBACK") != nil {
			co.inDoubt = true
		}
	}
	return codes.Refuse(codes.UpstreamUnreached, "request key: %v", err)
}

// replay answers with the recorded outcome of the first request. It reports the
// position, so that a majority confirms the outcome before the caller sees it
// again.
func (jo *unitJob) replay() (unitResult, error) {
	query := fmt.Sprintf(selectKey, quoteLiteral(jo.ru.open.Caller), quoteLiteral(jo.un.RequestKey))
	rows, _, err := jo.ru.co.queryRows(query)
	if err != nil || len(rows) != 1 {
		return unitResult{}, jo.abort(errors.Newf("read outcome: %v", err))
	}
	if err := jo.exec("ROLLBACK"); err != nil {
		return unitResult{}, jo.abort(err)
	}
	got, err := jo.ru.co.queryPosition(jo.deadline)
	if err != nil {
		return unitResult{}, jo.abort(err)
	}
	event.Log(jo.ru.ma.log, event.RequestKeyReplay, "upstream", jo.ru.up.member.Name, "caller", jo.ru.open.Caller)
	done := unitResult{committed: true, complete: true, hasReport: true, report: got}
	return done, jo.replayOutcome(rows[0][0], rows[0][1])
}

func (jo *unitJob) replayOutcome(digest, outcome string) error {
	if jo.un.Begin {
		return codes.Refuse(codes.RequestKeyRan, "%s", jo.un.RequestKey)
	}
	if digest != jo.digest() {
		return codes.Refuse(codes.RequestKeyChanged, "%s", jo.un.RequestKey)
	}
	if outcome == outcomeTooLarge {
		return codes.Refuse(codes.KeyOutcomeLarge, "%s", jo.un.RequestKey)
	}
	raw, err := base64.StdEncoding.DecodeString(outcome)
	if err != nil {
		return codes.Refuse(codes.Internal, "outcome of %s: %v", jo.un.RequestKey, err)
	}
	jo.si.held = append(jo.si.held, raw...)
	return nil
}

// beginKeyed runs the caller's BEGIN in the transaction that claimKey has
// opened.
func (jo *unitJob) beginKeyed() (unitResult, error) {
	jo.si.holdCompletion = false
	_ = jo.ru.co.net.SetDeadline(time.Time{})
	return jo.runMessages(context.Background(), jo.si, false)
}

// runAndCommit runs the unit inside the transaction, records its answer and
// commits.
func (jo *unitJob) runAndCommit(ctx context.Context) (unitResult, error) {
	kept := &recordedAnswer{send: jo.si.send}
	inner := &sink{send: kept.add}
	done, err := jo.runMessages(ctx, inner, false)
	if err != nil {
		return unitResult{}, err
	}
	if done.failed {
		jo.si.send = kept.send
		jo.si.held = append(jo.si.held, kept.raw...)
		if err := jo.exec("ROLLBACK"); err != nil {
			jo.ru.co.inDoubt = true
		}
		return unitResult{failed: true, complete: true}, nil
	}
	return jo.commit(kept)
}

func (jo *unitJob) commit(kept *recordedAnswer) (unitResult, error) {
	_ = jo.ru.co.net.SetDeadline(jo.keyDeadline())
	query := fmt.Sprintf(updateKey, quoteLiteral(kept.outcome()), quoteLiteral(jo.ru.open.Caller), quoteLiteral(jo.un.RequestKey))
	if err := jo.exec(query); err != nil {
		return unitResult{}, jo.abort(err)
	}
	if err := jo.exec("COMMIT"); err != nil {
		jo.ru.co.inDoubt = true
		return unitResult{}, codes.Refuse(codes.ConnectionLost, "%v", err)
	}
	got, err := jo.ru.co.queryPosition(jo.deadline)
	if err != nil {
		jo.ru.co.inDoubt = true
		return unitResult{}, codes.Refuse(codes.ConnectionLost, "%v", err)
	}
	jo.si.held = append(jo.si.held, kept.raw...)
	return unitResult{committed: true, complete: true, hasReport: true, report: got}, nil
}

// recordedAnswer buffers an answer that is stored with its request key. An
// answer that exceeds maxOutcomeBytes is forwarded as it arrives and not
// stored.
type recordedAnswer struct {
	raw      []byte
	overflow bool
	send     func(*wire.RunReply) error
}

func (ra *recordedAnswer) add(re *wire.RunReply) error {
	ra.raw = append(ra.raw, re.GetMessages()...)
	if !ra.overflow && len(ra.raw) <= maxOutcomeBytes {
		return nil
	}
	ra.overflow = true
	raw := ra.raw
	ra.raw = nil
	return ra.send(&wire.RunReply{Kind: &wire.RunReply_Messages{Messages: raw}})
}

// outcome returns the answer in the form in which it is stored.
func (ra *recordedAnswer) outcome() string {
	if ra.overflow {
		return outcomeTooLarge
	}
	return base64.StdEncoding.EncodeToString(ra.raw)
}
