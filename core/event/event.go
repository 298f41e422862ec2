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
	KeyRevoked       ID = 212
	LimitReached     ID = 220
	LimitCleared     ID = 221
	BudgetReached    ID = 222

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
	ChangeStep       ID = 317
	AppointAnswered  ID = 318
	LastResort       ID = 319
	KnownAwaited     ID = 320
	OutlierFound     ID = 321
	OutlierReturned  ID = 322
	UpstreamEnded    ID = 323

	PeerUnreached  ID = 401
	PeerLeaving    ID = 403
	PeerRemoved    ID = 408
	MembersChanged ID = 404
	DutyTaken      ID = 405
	DutyRefused    ID = 406
	DutyLeft       ID = 407
	ListsDelayed   ID = 409
	PermitLost     ID = 410
	PermitRegained ID = 411
	LimitKept      ID = 420

	DocumentAdopted  ID = 501
	DocumentRejected ID = 502
	PlatformDown     ID = 503
	PlatformUp       ID = 504
	ListingRead      ID = 505
	EntrySkipped     ID = 506
	SettingsReread   ID = 507
	UpstreamListed   ID = 508
	DocumentDelayed  ID = 509
	DocumentRead     ID = 510
	StoreRestored    ID = 511

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
	{DaemonStarting, slog.LevelInfo, "daemon_starting", "The daemon has read its settings and starts its plug-ins."},
	{DaemonServing, slog.LevelInfo, "daemon_serving", "The daemon is ready and accepts sessions."},
	{DaemonLeaving, slog.LevelInfo, "daemon_leaving", "The daemon is shutting down: it stops accepting new sessions, at once or after a few seconds, and lets open sessions finish until the shutdown deadline."},
	{DaemonStopped, slog.LevelInfo, "daemon_stopped", "The daemon has stopped because all sessions ended or the shutdown deadline passed."},
	{PluginFailed, slog.LevelError, "plugin_failed", "A plug-in failed to start and the daemon stops, or the daemon could not accept a connection and keeps running. The error names the cause."},

	{SessionOpened, slog.LevelDebug, "session_opened", "A caller authenticated and opened a session."},
	{SessionClosed, slog.LevelDebug, "session_closed", "A caller's session ended."},
	{SessionRefused, slog.LevelWarn, "session_refused", "The daemon refused a session; the code and the detail say why."},
	{ProtocolFault, slog.LevelWarn, "protocol_fault", "A caller sent a malformed or out-of-order message. The daemon refuses the message and rolls back its open transaction; if the end or the kind of the message is in doubt, it closes the session."},
	{RequestRetried, slog.LevelInfo, "request_retried", "A request was not run, or its request key makes a repeat safe; the daemon sends it again, usually to another target, within its retry limits."},
	{OutcomeInDoubt, slog.LevelWarn, "outcome_in_doubt", "The daemon told a caller that the outcome of its request is unknown; the request may have taken effect."},
	{CancelForwarded, slog.LevelDebug, "cancel_forwarded", "The daemon forwarded a cancel request to the daemon that holds the session."},
	{SessionPanicked, slog.LevelError, "session_panicked", "The code of a session panicked; the daemon closed only that session. Report this as a bug."},
	{RequestKeyReplay, slog.LevelInfo, "request_key_replay", "A request key was used before; the home answers with the recorded outcome of the first request, or refuses the request if it cannot."},

	{RequestRefused, slog.LevelWarn, "request_refused", "The daemon did not run a statement; the code and the detail say why."},
	{TransactionEnded, slog.LevelInfo, "transaction_ended", "The daemon rolled back an open transaction without a request from the caller; the code and the detail say why. The caller receives the error at its next statement, or at once if its own message was the cause."},
	{KeyRevoked, slog.LevelInfo, "key_revoked", "A session was closed because the configuration no longer accepts its key: while it was idle, or with the refusal of a statement. The event names the workspace that the key identified before and the configuration's version."},
	{LimitReached, slog.LevelWarn, "limit_reached", "Operations of a workspace begin to be refused on this instance, once for each time; the event names the reason (over the limit, or no answer from a keeper), the limit, the keeper that answered last, how long ago it answered (0 if never), when the next operation is possible, and the demand here. Raise the workspace's rate or burst if its use is intended; if no keeper answered, check the network between the instances."},
	{LimitCleared, slog.LevelInfo, "limit_cleared", "No operation of a workspace was refused on this instance for a window; the event names for how long and how many were refused."},

	{BudgetReached, slog.LevelWarn, "budget_reached", "Messages, answers or sessions were refused or closed since the process's budget for them is in use; logged at most once in 5 s for each resource. The event names the resource (bytes, callers, peers, control or ready), how many were refused since the last such event, how many sessions were closed for it so far, what is used, and the workspaces or addresses that hold the most. If their use is intended, raise memory-mb or max-fds."},

	{ConnectionOpened, slog.LevelDebug, "connection_opened", "A home opened an upstream connection."},
	{ConnectionClosed, slog.LevelDebug, "connection_closed", "A home closed an upstream connection."},
	{ConnectionDoubt, slog.LevelWarn, "connection_doubt", "An upstream sent an unexpected message, so the state of the connection is unknown; the home closes the connection and does not reuse it."},
	{UpstreamDown, slog.LevelWarn, "upstream_down", "A home cannot reach an upstream. Check that the upstream is running and that the network allows connections to it."},
	{UpstreamUp, slog.LevelInfo, "upstream_up", "A home can reach an upstream again."},
	{ConfirmTimeout, slog.LevelWarn, "confirm_timeout", "A majority did not confirm a write in time, so the outcome of the write is unknown. Check the replication lag and whether the replicas are reachable."},
	{TermObserved, slog.LevelInfo, "term_observed", "An upstream reports a new term; the event names the term and its primary."},
	{ConnectionSilent, slog.LevelWarn, "connection_silent", "An upstream connection delivered no answer although the upstream no longer works on the request; the home closes it and the idle connections to that upstream."},
	{KeysPruned, slog.LevelDebug, "keys_pruned", "A home deletes request keys that are older than twice the request key age."},
	{OrderCarriedOut, slog.LevelInfo, "order_carried_out", "An upstream accepted an order to become the primary or to follow one."},
	{PromotionBegun, slog.LevelWarn, "promotion_begun", "The promotion of a new primary begins; the event names the candidate and the term, and says whether an operator forced the promotion."},
	{PromotionFailed, slog.LevelWarn, "promotion_failed", "A change of primary failed; the error says why. The instance retries after a pause if the change is still needed."},
	{PrimarySuspected, slog.LevelWarn, "primary_suspected", "Neither a probe nor a replica has had contact with the primary within the failure detection timeout, or the coordinator is about to replace the primary for the reason in the event."},
	{HandoverDone, slog.LevelInfo, "handover_done", "A change of primary, planned or after a failure, is complete; the event names the new primary."},
	{TermLearned, slog.LevelInfo, "term_learned", "The daemon learned a newer term from an upstream, a peer or a change of primary; the event names the term and its primary."},

	{ReplicasThawed, slog.LevelWarn, "replicas_thawed", "The coordinator unfreezes replicas that a change of primary left frozen, so that they receive the log again."},
	{ChangeStep, slog.LevelInfo, "change_step", "One step of a change of primary: which upstreams were asked or ordered, what each answered, and why the step is safe or necessary."},
	{AppointAnswered, slog.LevelInfo, "appoint_answered", "The platform answered a call that appoints a primary, or did not; the event names the candidate, the fencing token and the error. A call without an answer may still be carried out."},
	{LastResort, slog.LevelWarn, "last_resort", "An appointment may lose writes: it is the last resort, since the only answering upstreams with the highest position end soon and others do not answer, or a higher position is known. The event names the candidate's position, the highest known one above it with where, by whom and how long ago it was seen, what the primary last had, and the silent upstreams."},
	{KnownAwaited, slog.LevelWarn, "known_awaited", "A group waits for a primary: an instance has seen a higher position than that of all upstreams that could be appointed, or reported it as a success, and an upstream that holds it may come back. Restore the upstreams that the event names; below-known: appoint gives them up."},
	{OutlierFound, slog.LevelWarn, "outlier_found", "An upstream fails reads, or serves them slowly, markedly more than the other members of its group, so that this instance sends it fewer reads; the event names the counts of all instances in 3 s, and what they were compared with. Check the upstream. At most 20 of these events are logged in 30 s."},
	{OutlierReturned, slog.LevelInfo, "outlier_returned", "An upstream that got fewer reads gets its full share again; the event names for how long it did not."},
	{UpstreamEnded, slog.LevelInfo, "upstream_ended", "An upstream without an entry counts as ended, so that a change of primary does not wait for its log; the event names why, how long ago its entry disappeared, and when and since when the store has confirmed the listing."},

	{PeerUnreached, slog.LevelWarn, "peer_unreached", "The daemon cannot reach another daemon. Check that the other daemon is running and that the network allows connections to it."},
	{PeerLeaving, slog.LevelInfo, "peer_leaving", "Another daemon announced that it is shutting down."},

	{PeerRemoved, slog.LevelInfo, "peer_removed", "This instance removed another instance from the store because it was silent for too long; a non-empty error says why the removal failed."},
	{MembersChanged, slog.LevelInfo, "members_changed", "The list of known instances was updated; this instance recalculates the shares of connections."},
	{DutyTaken, slog.LevelInfo, "duty_taken", "This instance is now the coordinator and monitors the groups."},
	{DutyLeft, slog.LevelInfo, "duty_left", "This instance is no longer the coordinator and stops monitoring the groups; another instance takes over the duty."},
	{DutyRefused, slog.LevelWarn, "duty_refused", "The platform refused to appoint the candidate because it knows a newer coordinator or the candidate is not running; this instance requests a new token and starts no change of primary without one."},
	{ListsDelayed, slog.LevelWarn, "lists_delayed", "This instance could not receive the listing of upstreams and the list of instances, which are too large for an exchange, from another instance; it asks again. Check the load of the links."},

	{PermitLost, slog.LevelWarn, "permit_lost", "This instance has not been in contact with most of the others for so long that it passes on no writes and reports no write as a success; the event names how long ago it last was (0 if never). Reads go on. Check the network between the instances."},
	{PermitRegained, slog.LevelInfo, "permit_regained", "This instance is in contact with most of the others again and passes on writes; the event names for how long it did not."},
	{LimitKept, slog.LevelInfo, "limit_kept", "This instance begins to grant the operations of a workspace without the state of the instance before it, which has ended, was cut off or did not answer, or there was none; the event names the member that ranks first."},

	{DocumentAdopted, slog.LevelInfo, "document_adopted", "A newer configuration document took effect on this instance. On the users' platform, the event names the instance it came from, or the store, and how long it had been known to exist."},
	{DocumentDelayed, slog.LevelWarn, "document_delayed", "A newer configuration document is known from another instance but could not be received from it; the event names both versions, how long the request took, and how long the newer one has been known. Check the load of the links."},
	{DocumentRead, slog.LevelInfo, "document_read", "This instance read the complete configuration document from the store, or failed to: it is the coordinator, or what it had was no longer confirmed. The event names how long ago the store last confirmed it (0 if never) and how long the call took."},
	{StoreRestored, slog.LevelWarn, "store_restored", "The platform's store was restored from an older copy. This instance reads everything again and draws a new token; what is missing in the store stays in use for 2.5 s. The event names the new era and revision (0 if another instance reported the era) and the old ones."},
	{DocumentRejected, slog.LevelError, "document_rejected", "A configuration document, a group or the settings file is invalid and was not adopted; the last valid version stays in effect. Correct the fault that the error names."},
	{PlatformDown, slog.LevelWarn, "platform_down", "Calls to the platform's store fail; the last known state stays in effect. Check that the store is running and reachable."},
	{ListingRead, slog.LevelInfo, "listing_read", "This instance read the complete listing of upstreams from the store."},
	{EntrySkipped, slog.LevelWarn, "entry_skipped", "This instance ignores an invalid entry in the listing of upstreams, the list of instances or the configuration; the other entries stay in use. Correct the entry."},
	{SettingsReread, slog.LevelInfo, "settings_reread", "The daemon read the settings file again. Only changed addresses of the store and the failover API take effect; other changes need a restart."},
	{UpstreamListed, slog.LevelInfo, "upstream_listed", "An upstream was added to or removed from the listing, or its entry changed, such as its role or state."},
	{PlatformUp, slog.LevelInfo, "platform_up", "Calls to the platform's store succeed again."},

	{InvariantFailed, slog.LevelError, "invariant_failed", "An internal check failed and the home refused the request. Report this as a bug."},
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
