package catlg

import "time"

// Patch changes one version of the configuration into a newer one. It is the encoding of
// a configuration between instances.
type Patch struct {
	// From is the version that the patch applies to; 0 if it holds the whole
	// configuration.
	From            uint64        `json:"from,omitempty"`
	Version         uint64        `json:"version"`
	TransactionIdle time.Duration `json:"transaction_idle"`
	// Targets holds the targets that are new or changed, and Removed the databases
	// that no longer have one.
	Targets []Target `json:"targets,omitempty"`
	Removed []string `json:"removed,omitempty"`
	// Groups holds all groups.
	Groups []Group `json:"groups"`
	// HasWorkspaces is true if workspaces are in use. Workspaces holds those that are new or
	// changed, and RemovedWorkspaces the names of those that no longer exist.
	HasWorkspaces     bool             `json:"has_workspaces,omitempty"`
	Workspaces        []WorkspaceEntry `json:"workspaces,omitempty"`
	RemovedWorkspaces []string         `json:"removed_workspaces,omitempty"`
}

// PatchFrom returns the patch from an older version to this one. An empty catalog, or
// nil, gives the whole configuration.
func (ca *Catalog) PatchFrom(old *Catalog) Patch {
	if old == nil {
		old = New(0, 0, nil, nil)
	}
	pa := Patch{From: old.Version, Version: ca.Version, TransactionIdle: ca.TransactionIdle, Groups: ca.Groups()}
	for name, ta := range ca.targets {
		if before, ok := old.targets[name]; !ok || before != ta {
			pa.Targets = append(pa.Targets, ta)
		}
	}
	for name := range old.targets {
		if _, ok := ca.targets[name]; !ok {
			pa.Removed = append(pa.Removed, name)
		}
	}
	if ca.HasWorkspaces() {
		pa.HasWorkspaces = true
		pa.Workspaces, pa.RemovedWorkspaces = ca.workspaces.changesFrom(old.workspaces)
	}
	return pa
}

// WithPatch returns the catalog that results from the patch, and false if the patch
// applies to another version.
func (ca *Catalog) WithPatch(pa Patch) (*Catalog, bool) {
	if pa.From == 0 {
		return New(pa.Version, pa.TransactionIdle, pa.Targets, pa.Groups).withWorkspacePatch(nil, pa), true
	}
	if pa.From != ca.Version {
		return nil, false
	}
	next := New(pa.Version, pa.TransactionIdle, nil, pa.Groups)
	for name, ta := range ca.targets {
		next.targets[name] = ta
	}
	for _, ta := range pa.Targets {
		next.targets[ta.Database] = ta
	}
	for _, name := range pa.Removed {
		delete(next.targets, name)
	}
	return next.withWorkspacePatch(ca.workspaces, pa), true
}

// withWorkspacePatch returns the catalog with the workspaces that result from the patch to
// the older ones, which may be nil.
func (ca *Catalog) withWorkspacePatch(old *Workspaces, pa Patch) *Catalog {
	if !pa.HasWorkspaces {
		return ca
	}
	return ca.WithWorkspaces(old.with(pa.Workspaces, pa.RemovedWorkspaces))
}
