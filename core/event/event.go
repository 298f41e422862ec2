// Package event defines the numbered log events. docs/EVENTS.md has the same
// table.
package event

import (
	"context"
	"log/slog"
)

// ID is the number of a log event. Numbers are never reused.
type ID int

// Event numbers, grouped by hundreds: 1xx daemon, 2xx caller sessions, 3xx
// homes and upstreams, 4xx peers and membership, 5xx configuration and the
// platform, 9xx invariants.
const (
	DaemonStarting ID = 101
	DaemonServing  ID = 102
	DaemonLeaving  ID = 103
	DaemonStopped  ID = 104
	PluginFailed   ID = 105

	SessionOpened    ID = 201
	SessionClosed    ID = 202
	SessionRefused   ID = 203
	ProtocolFault    ID = 204
	RequestRetried   ID = 205
	OutcomeInDoubt   ID = 206
	CancelForwarded  ID = 207
	SessionPanicked  ID = 208
	RequestKeyReplay ID = 209
	RequestRefused   ID = 210
	TransactionEnded ID = 211

	ConnectionOpened ID = 301
	ConnectionClosed ID = 302
	ConnectionDoubt  ID = 303
	UpstreamDown     ID = 304
	UpstreamUp       ID = 305
	ConfirmTimeout   ID = 306
	TermObserved     ID = 307
	ConnectionSilent ID = 308
	KeysPruned       ID = 309
	OrderCarriedOut  ID = 310
	PromotionBegun   ID = 311
	PromotionFailed  ID = 312
	PrimarySuspected ID = 313
	HandoverDone     ID = 314
	TermLearned      ID = 315
	ReplicasThawed   ID = 316

	PeerUnreached  ID = 401
	PeerLeaving    ID = 403
	PeerRemoved    ID = 408
	MembersChanged ID = 404
	DutyTaken      ID = 405
	DutyRefused    ID = 406
	DutyLeft       ID = 407

	DocumentAdopted  ID = 501
	DocumentRejected ID = 502
	PlatformDown     ID = 503
	PlatformUp       ID = 504
	ListingRead      ID = 505
	EntrySkipped     ID = 506
	SettingsReread   ID = 507
	UpstreamListed   ID = 508

	InvariantFailed ID = 901
)

// Info describes one event.
type Info struct {
	// ID is the number.
	ID ID
	// Level is the severity at which the event is logged.
	Level slog.Level
	// Name is the log message in snake_case, unique in the table.
	Name string
	// Text tells an operator what happened and what to do about it.
	Text string
}

var table = []Info{
	{DaemonStarting, slog.LevelInfo, "daemon_starting", "The daemon reads its settings and starts its plug-ins."},
	{DaemonServing, slog.LevelInfo, "daemon_serving", "The daemon is ready and takes sessions."},
	{DaemonLeaving, slog.LevelInfo, "daemon_leaving", "A shutdown was asked for; no new sessions are taken."},
	{DaemonStopped, slog.LevelInfo, "daemon_stopped", "All sessions ended or the shutdown deadline passed."},
	{PluginFailed, slog.LevelError, "plugin_failed", "A plug-in failed; the daemon stops. The error names the cause."},

	{SessionOpened, slog.LevelDebug, "session_opened", "A caller authenticated."},
	{SessionClosed, slog.LevelDebug, "session_closed", "A caller's session ended."},
	{SessionRefused, slog.LevelWarn, "session_refused", "A session was refused; the code says why."},
	{ProtocolFault, slog.LevelWarn, "protocol_fault", "A caller sent a malformed or out-of-order message; its session is closed."},
	{RequestRetried, slog.LevelInfo, "request_retried", "A request that was not run is sent to another target."},
	{OutcomeInDoubt, slog.LevelWarn, "outcome_in_doubt", "A caller was told that its request's outcome is unknown."},
	{CancelForwarded, slog.LevelDebug, "cancel_forwarded", "A cancel request was sent on to the daemon that holds the session."},
	{SessionPanicked, slog.LevelError, "session_panicked", "A session's code panicked; only that session is closed. Report it."},
	{RequestKeyReplay, slog.LevelInfo, "request_key_replay", "A repeated request key was answered with the first outcome."},

	{RequestRefused, slog.LevelWarn, "request_refused", "A statement was not run; the code and the detail say why."},
	{TransactionEnded, slog.LevelInfo, "transaction_ended", "An open transaction was rolled back without being asked; the caller is told at its next statement."},

	{ConnectionOpened, slog.LevelDebug, "connection_opened", "A home opened an upstream connection."},
	{ConnectionClosed, slog.LevelDebug, "connection_closed", "A home closed an upstream connection."},
	{ConnectionDoubt, slog.LevelWarn, "connection_doubt", "An upstream connection's state is in doubt; it is closed and not reused."},
	{UpstreamDown, slog.LevelWarn, "upstream_down", "An upstream cannot be reached."},
	{UpstreamUp, slog.LevelInfo, "upstream_up", "An upstream can be reached again."},
	{ConfirmTimeout, slog.LevelWarn, "confirm_timeout", "A write was not confirmed by a majority in time; look at replica lag and reach."},
	{TermObserved, slog.LevelInfo, "term_observed", "An upstream reports a new term."},
	{ConnectionSilent, slog.LevelWarn, "connection_silent", "An upstream connection made no progress by its deadline and is dropped."},
	{KeysPruned, slog.LevelDebug, "keys_pruned", "Request keys past the stated age were removed."},
	{OrderCarriedOut, slog.LevelInfo, "order_carried_out", "An upstream took an order to lead or to follow."},
	{PromotionBegun, slog.LevelWarn, "promotion_begun", "A new primary was chosen; the event names the candidate and the term."},
	{PromotionFailed, slog.LevelWarn, "promotion_failed", "A promotion was not carried out; another try follows."},
	{PrimarySuspected, slog.LevelWarn, "primary_suspected", "Neither a probe nor a replica has heard of the primary for a while."},
	{HandoverDone, slog.LevelInfo, "handover_done", "A planned change of primary was carried out."},
	{TermLearned, slog.LevelInfo, "term_learned", "The daemon learned of a newer term, from the platform or from a peer."},

	{ReplicasThawed, slog.LevelWarn, "replicas_thawed", "Replicas that a change of primary had left frozen were told to receive again."},

	{PeerUnreached, slog.LevelWarn, "peer_unreached", "Another daemon cannot be reached."},
	{PeerLeaving, slog.LevelInfo, "peer_leaving", "Another daemon said that it is leaving."},

	{PeerRemoved, slog.LevelInfo, "peer_removed", "A member that was silent for long was taken out of the store."},
	{MembersChanged, slog.LevelInfo, "members_changed", "The instances known have changed, and with them the shares of connections."},
	{DutyTaken, slog.LevelInfo, "duty_taken", "This instance watches over the groups from now on."},
	{DutyLeft, slog.LevelInfo, "duty_left", "Another instance holds the duty from now on."},
	{DutyRefused, slog.LevelWarn, "duty_refused", "A newer holder of the duty was known; this instance stops until it has a newer token."},

	{DocumentAdopted, slog.LevelInfo, "document_adopted", "A newer configuration document is in force here."},
	{DocumentRejected, slog.LevelError, "document_rejected", "A document failed validation and was not adopted; the last one stays in force."},
	{PlatformDown, slog.LevelWarn, "platform_down", "The platform's store does not answer; the last known state stays in force."},
	{ListingRead, slog.LevelInfo, "listing_read", "The upstreams were listed anew."},
	{EntrySkipped, slog.LevelWarn, "entry_skipped", "An entry of the listing names no upstream to use; the others hold."},
	{SettingsReread, slog.LevelInfo, "settings_reread", "The settings file was read again."},
	{UpstreamListed, slog.LevelInfo, "upstream_listed", "An upstream is new, gone, or changed its role or state in the listing."},
	{PlatformUp, slog.LevelInfo, "platform_up", "The platform's store answers again."},

	{InvariantFailed, slog.LevelError, "invariant_failed", "An internal check failed and the request was refused. Report it."},
}

var byID = func() map[ID]Info {
	index := make(map[ID]Info, len(table))
	for _, inf := range table {
		index[inf.ID] = inf
	}
	return index
}()

// Table returns a copy of the table of all events, ordered by group.
func Table() []Info { return append([]Info(nil), table...) }

// Log writes the event with its level, name and number. The args are log
// attributes as in slog.
func Log(lg *slog.Logger, id ID, args ...any) {
	inf := byID[id]
	if !lg.Enabled(context.Background(), inf.Level) {
		return
	}
	lg.Log(context.Background(), inf.Level, inf.Name, append([]any{"event", int(id)}, args...)...)
}
