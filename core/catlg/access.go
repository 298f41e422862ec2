package catlg

import "banyanspring/core/codes"

// Access is what a caller may use.
type Access struct {
	Target Target
	// Workspace is the name of the caller's workspace; empty if it has none.
	Workspace string
	// NeedsKey is true if the target is served only to callers of a workspace.
	NeedsKey bool
}

// Access returns what a caller may use that names the database, with its key unless hasKey
// is false. The code is OK, UnknownDatabase, or UnknownKey, with which the target and
// NeedsKey are still returned.
func (ca *Catalog) Access(database string, key KeyHash, hasKey bool) (Access, codes.Code) {
	ta, ok := ca.targets[database]
	if !ok {
		return Access{}, codes.UnknownDatabase
	}
	ac := Access{Target: ta}
	if ca.workspaces == nil {
		return ac, codes.OK
	}
	ac.NeedsKey = !ta.IsPublic
	if hasKey {
		if wo, ok := ca.GetWorkspaceByKey(key); ok {
			ac.Workspace = wo.Name
		}
	}
	if ac.NeedsKey && ac.Workspace == "" {
		return ac, codes.UnknownKey
	}
	return ac, codes.OK
}
