// Package codes defines the numbered result codes that are sent to callers and
// between daemons. docs/RESULTS.md has the same table.
package codes

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Code is the number of a result. Numbers are never reused.
type Code uint32

// Result codes, grouped by hundreds: 1xx errors of the caller, 2xx statements
// that a pooled connection cannot serve, 3xx load and limits, 4xx routing and
// consistency, 5xx requests that failed while running or whose outcome is
// unknown, 6xx internal errors.
const (
	OK Code = 0

	BadPassword       Code = 101
	UnknownDatabase   Code = 102
	CallerNotListed   Code = 103
	ProtocolViolation Code = 104
	BadSetting        Code = 105
	MessageTooLarge   Code = 106
	BadToken          Code = 107
	BadRequestKey     Code = 108
	SyntaxError       Code = 109
	UnknownStatement  Code = 110
	TLSRequired       Code = 111
	UnknownKey        Code = 112

	SessionLock       Code = 201
	Listen            Code = 202
	TemporaryTable    Code = 203
	Copy              Code = 204
	UnknownSet        Code = 205
	SQLPrepare        Code = 206
	HoldCursor        Code = 207
	TwoPhase          Code = 208
	LocalInBatch      Code = 209
	RequestKeyInBatch Code = 210

	QueueFull         Code = 301
	DeadlineUnmet     Code = 302
	TooManySessions   Code = 303
	RetryBudgetSpent  Code = 304
	ShuttingDown      Code = 306
	TransactionIdle   Code = 308
	ConnectionsInUse  Code = 309
	RequestKeyTooOld  Code = 310
	RequestKeyRan     Code = 311
	RequestKeyChanged Code = 312
	TransactionFailed Code = 313
	OverLimit         Code = 314
	MemoryFull        Code = 315

	Behind            Code = 401
	TooStale          Code = 402
	NotHome           Code = 403
	NotPrimary        Code = 404
	NoMajority        Code = 405
	NoPrimary         Code = 406
	UpstreamUnreached Code = 407
	PeerUnreached     Code = 408
	UpstreamLeaving   Code = 409
	OrderRefused      Code = 410
	UpstreamReplaced  Code = 411
	ConfigUnconfirmed Code = 412

	OutcomeUnknown  Code = 501
	Unconfirmed     Code = 502
	ConnectionLost  Code = 503
	TransactionLost Code = 504
	UpstreamSilent  Code = 505
	KeyOutcomeLarge Code = 506
	Timeout         Code = 507
	StatementFailed Code = 508

	InvariantBroken Code = 601
	Internal        Code = 602
)

// Info describes one result code.
type Info struct {
	// Code is the number.
	Code Code
	// Name is the snake_case name, unique in the table.
	Name string
	// SQLState is the five-character SQLSTATE sent with the code.
	SQLState string
	// NotRun is true only if the request is known to have had no effect.
	NotRun bool
	// Retryable is true if the same request may succeed later.
	Retryable bool
	// Text explains the code to a caller.
	Text string
}

var table = []Info{
	{BadPassword, "bad_password", "28P01", true, false, "password authentication failed"},
	{UnknownDatabase, "unknown_database", "3D000", true, false, "no service has this database; name it service.database"},
	{CallerNotListed, "caller_not_listed", "28000", true, false, "the service does not list this caller"},
	{ProtocolViolation, "protocol_violation", "08P01", true, false, "message is malformed or out of order"},
	{BadSetting, "bad_setting", "22023", true, false, "setting has a value that is not allowed"},
	{MessageTooLarge, "message_too_large", "54000", true, false, "message exceeds the size limit"},
	{BadToken, "bad_token", "22023", true, false, "session token cannot be read"},
	{BadRequestKey, "bad_request_key", "22023", true, false, "request key must be a version 7 UUID"},
	{SyntaxError, "syntax_error", "42601", true, false, "statement cannot be parsed"},
	{UnknownStatement, "unknown_statement", "26000", true, false, "prepared statement does not exist"},
	{TLSRequired, "tls_required", "28000", true, false, "this daemon accepts TLS connections only"},
	{UnknownKey, "unknown_key", "28000", true, false, "the key identifies no workspace"},

	{SessionLock, "session_lock", "0A000", true, false, "session-level advisory locks do not survive pooling; use pg_advisory_xact_lock"},
	{Listen, "listen", "0A000", true, false, "LISTEN and UNLISTEN need a connection of their own"},
	{TemporaryTable, "temporary_table", "0A000", true, false, "temporary tables do not survive pooling"},
	{Copy, "copy", "0A000", true, false, "COPY is not served"},
	{UnknownSet, "unknown_set", "0A000", true, false, "this setting would leak between callers of a pooled connection; use SET LOCAL"},
	{SQLPrepare, "sql_prepare", "0A000", true, false, "SQL-level PREPARE and EXECUTE are not served; use the extended protocol"},
	{HoldCursor, "hold_cursor", "0A000", true, false, "cursors WITH HOLD do not survive pooling"},
	{TwoPhase, "two_phase", "0A000", true, false, "two-phase commit and chained transactions are not served"},
	{LocalInBatch, "local_in_batch", "0A000", true, false, "a banyanspring setting must be sent as a statement of its own"},
	{RequestKeyInBatch, "request_key_in_batch", "0A000", true, false, "a request key covers one statement or one explicit transaction"},

	{QueueFull, "queue_full", "53300", true, true, "the caller's queue is full"},
	{DeadlineUnmet, "deadline_unmet", "53300", true, true, "the deadline would pass in the queue"},
	{TooManySessions, "too_many_sessions", "53300", true, true, "the daemon's limit of sessions is reached"},
	{RetryBudgetSpent, "retry_budget_spent", "53400", true, true, "the request failed and the retry budget is spent"},
	{ShuttingDown, "shutting_down", "57P01", true, true, "the daemon is leaving; connect again"},
	{TransactionIdle, "transaction_idle", "25P03", true, true, "the transaction was idle for too long and was rolled back"},
	{ConnectionsInUse, "connections_in_use", "53300", true, true, "the upstream has no connection left for this daemon"},
	{RequestKeyTooOld, "request_key_too_old", "22023", true, false, "the request key is older than the age kept; whether it ran before is no longer known"},
	{RequestKeyRan, "request_key_ran", "23505", true, false, "the transaction with this request key has already committed; this repeat was not run"},
	{TransactionFailed, "transaction_failed", "25P02", true, false, "the transaction was lost before; end it with ROLLBACK"},
	{OverLimit, "over_limit", "53400", true, true, "the workspace has used its limit of operations"},
	{MemoryFull, "memory_full", "53200", true, true, "the daemon's memory for messages and answers is in use"},
	{RequestKeyChanged, "request_key_changed", "22023", true, false, "the request key was used with another statement"},

	{Behind, "behind", "40001", true, true, "the replica is behind the session's writes"},
	{TooStale, "too_stale", "40001", true, true, "the replica is older than the read class tolerates"},
	{NotHome, "not_home", "55000", true, true, "the daemon is not home of this upstream"},
	{NotPrimary, "not_primary", "25006", true, true, "the upstream does not lead its group"},
	{NoMajority, "no_majority", "57P03", true, true, "no majority of the group is in reach"},
	{NoPrimary, "no_primary", "57P03", true, true, "the group has no primary in service"},
	{UpstreamUnreached, "upstream_unreached", "08001", true, true, "the upstream could not be reached"},
	{PeerUnreached, "peer_unreached", "08001", true, true, "the home of the upstream could not be reached"},
	{UpstreamLeaving, "upstream_leaving", "57P03", true, true, "the upstream is leaving and takes no new work"},

	{UpstreamReplaced, "upstream_replaced", "57P03", true, true, "another upstream stands at the address"},
	{OrderRefused, "order_refused", "55000", true, true, "the order was not carried out"},
	{ConfigUnconfirmed, "config_unconfirmed", "57P03", true, true, "the store has not confirmed the keys for too long; another instance may serve the request"},

	{OutcomeUnknown, "outcome_unknown", "08007", false, false, "the request may or may not have run"},
	{Unconfirmed, "unconfirmed", "08007", false, false, "the primary ran the write but no majority confirmed it in time; its outcome is unknown"},
	{ConnectionLost, "connection_lost", "08006", false, false, "the upstream connection was lost in the middle of the request; its outcome is unknown"},
	{TransactionLost, "transaction_lost", "40001", true, true, "the transaction's connection was lost before COMMIT; nothing was committed"},
	{UpstreamSilent, "upstream_silent", "08006", false, false, "the upstream stopped answering in the middle of the request; its outcome is unknown"},
	{Timeout, "timeout", "57014", false, true, "the upstream gave the statement up after its time"},
	{StatementFailed, "statement_failed", "58000", false, true, "the upstream ran the statement and failed"},
	{KeyOutcomeLarge, "key_outcome_large", "54000", false, false, "the request ran, but its first answer was too large to keep; it was not run again"},

	{InvariantBroken, "invariant_broken", "XX000", false, false, "an internal check failed"},
	{Internal, "internal", "XX000", false, false, "internal fault"},
}

// byCode is indexed by code; all codes are below 700.
var byCode = func() [700]*Info {
	var index [700]*Info
	for pos := range table {
		index[table[pos].Code] = &table[pos]
	}
	return index
}()

// Table returns a copy of the table of all codes, ordered by group.
func Table() []Info { return append([]Info(nil), table...) }

// Info returns the description of the code, or that of Internal if the code is
// not in the table.
func (co Code) Info() Info {
	if int(co) < len(byCode) && byCode[co] != nil {
		return *byCode[co]
	}
	return *byCode[Internal]
}

// Refusal is the error for a request that was refused or that failed.
type Refusal struct {
	// Code is never OK.
	Code Code
	// Detail adds specifics to the text of the code; may be empty.
	Detail string
	// RetryAt is the earliest time at which a retry may succeed; zero if unknown.
	RetryAt time.Time
}

// Refuse returns a refusal with a formatted detail.
func Refuse(co Code, format string, args ...any) *Refusal {
	return &Refusal{Code: co, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAt returns a copy of the refusal with RetryAt set.
func (re *Refusal) WithRetryAt(at time.Time) *Refusal {
	next := *re
	next.RetryAt = at
	return &next
}

// NotRun reports whether the request is known to have had no effect.
func (re *Refusal) NotRun() bool { return re.Code.Info().NotRun }

// Error implements error.
func (re *Refusal) Error() string {
	inf := re.Code.Info()
	text := fmt.Sprintf("BS%d %s: %s", re.Code, inf.Name, inf.Text)
	if re.NotRun() {
		text += " (not run)"
	}
	if re.Detail != "" {
		text += ": " + re.Detail
	}
	return text
}

// From returns the refusal that err wraps. Any other error becomes a refusal
// with Internal and the error's text as the detail.
func From(err error) *Refusal {
	var ref *Refusal
	if errors.As(err, &ref) {
		return ref
	}
	return Refuse(Internal, "%v", err)
}

// Is reports whether err is or wraps a refusal with the code.
func Is(err error, co Code) bool {
	var ref *Refusal
	return errors.As(err, &ref) && ref.Code == co
}
