package engine

import (
	"time"

	"banyanspring/core/catlg"
	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/stmt"
)

const (
	// accessTimeout bounds how long a new session waits for a catalog that has its database
	// and its key.
	accessTimeout = 600 * time.Millisecond
	// accessPollInterval is the time between two looks for a newer catalog.
	accessPollInterval = 20 * time.Millisecond
	// lastMessageWait is how long a session whose key is no longer accepted reads before it
	// is closed, so that a request that has already arrived is answered.
	lastMessageWait = 5 * time.Millisecond
)

// credentials are what a caller named in its first message. They are immutable.
type credentials struct {
	database string
	hasKey   bool
	// key is the hash of the caller's key; not used if hasKey is false.
	key catlg.KeyHash
}

// isRevokedBy reports whether the catalog has the database but does not accept the key.
func (cr credentials) isRevokedBy(ca *catlg.Catalog) bool {
	_, code := ca.Access(cr.database, cr.key, cr.hasKey)
	return code == codes.UnknownKey
}

// refusal returns the refusal of a request under the catalog, and what the caller may use
// if there is none.
func (cr credentials) refusal(en *Engine, ca *catlg.Catalog) (catlg.Access, *codes.Refusal) {
	if ca.Version == 0 {
		return catlg.Access{}, codes.Refuse(codes.ShuttingDown, "no configuration yet")
	}
	ac, code := ca.Access(cr.database, cr.key, cr.hasKey)
	if code == codes.UnknownDatabase {
		return ac, codes.Refuse(code, "%s", cr.database)
	}
	if ac.NeedsKey {
		if ref := en.checkConfirmed(); ref != nil {
			return ac, ref
		}
	}
	if code != codes.OK && !cr.hasKey {
		return ac, codes.Refuse(code, "%s needs a key", cr.database)
	}
	if code != codes.OK {
		return ac, codes.Refuse(code, "%s", cr.database)
	}
	return ac, nil
}

// checkConfirmed returns a refusal if the store confirmed the catalog too long ago for a
// decision on a key.
func (en *Engine) checkConfirmed() *codes.Refusal {
	bound := en.settings.RevokeBound
	if bound <= 0 {
		return nil
	}
	age := en.deps.Now().Sub(en.deps.CatalogConfirmedAt())
	if age <= bound {
		return nil
	}
	return codes.Refuse(codes.ConfigUnconfirmed, "longer than %v ago", bound)
}

// awaitAccess permits a new session. If its database or its key is unknown, it requests a
// newer catalog first, up to accessTimeout, within readyTimeout after the caller connected.
// An unknown database is refused at once if workspaces are not in use.
func (se *session) awaitAccess(cr credentials) *codes.Refusal {
	limit := se.connectedAt.Add(readyTimeout)
	if early := se.en.deps.Now().Add(accessTimeout); early.Before(limit) {
		limit = early
	}
	for {
		ref := se.adopt(cr)
		isUnknown := ref != nil && (ref.Code == codes.UnknownKey || ref.Code == codes.UnknownDatabase)
		if !isUnknown || !se.en.catalog.Current().HasWorkspaces() {
			return ref
		}
		if !se.en.deps.RequestCatalog(se.connectedAt) || !se.en.deps.Now().Before(limit) {
			// A newer catalog may have become current since the look above.
			return se.adopt(cr)
		}
		time.Sleep(accessPollInterval)
	}
}

// adopt sets the session's target and workspace under the current catalog.
func (se *session) adopt(cr credentials) *codes.Refusal {
	ca := se.en.catalog.Current()
	ac, ref := cr.refusal(se.en, ca)
	if ref != nil {
		return ref
	}
	se.target, se.workspace, se.checkedVersion = ac.Target, ac.Workspace, ca.Version
	if se.credentials.Load() == nil {
		se.credentials.Store(&cr)
	}
	return nil
}

// findTarget looks up the session's database and key in the current catalog, at the start
// of a transaction or of a single statement. If the key is no longer accepted, the session
// ends with the answer.
func (se *session) findTarget() *codes.Refusal {
	ref := se.adopt(*se.credentials.Load())
	if ref != nil && ref.Code == codes.UnknownKey {
		se.logRevoked("statement")
		se.isEnding = true
	}
	return ref
}

// isRevoked reports whether the session is outside a transaction and the current catalog no
// longer accepts its key.
func (se *session) isRevoked() bool {
	ca := se.en.catalog.Current()
	if se.state != stmt.Idle || ca.Version == se.checkedVersion {
		return false
	}
	if se.credentials.Load().isRevokedBy(ca) {
		return true
	}
	se.checkedVersion = ca.Version
	return false
}

// awaitLastMessage reports whether a request has arrived at a session whose key is no longer
// accepted. The request is answered with the refusal; without one, the session is closed.
func (se *session) awaitLastMessage() bool {
	se.setWaiting(false, time.Now().Add(lastMessageWait))
	if _, err := se.rd.Peek(1); err != nil {
		se.logRevoked("idle")
		return false
	}
	se.setWaiting(false, time.Now().Add(messageTimeout))
	return true
}

// logRevoked logs that the session ends because its key is no longer accepted.
func (se *session) logRevoked(state string) {
	event.Log(se.en.log, event.KeyRevoked, "database", se.database, "workspace", se.workspace, "state", state,
		"catalog_version", se.en.catalog.Current().Version)
}
