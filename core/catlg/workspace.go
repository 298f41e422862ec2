package catlg

import (
	"encoding/base64"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// KeyHash is the SHA-256 hash of a caller's key. Keys themselves are never kept.
type KeyHash [32]byte

// hashText stands for each hash in log lines and error messages.
const hashText = "key hash"

// Format implements fmt.Formatter. Hashes are not printed.
func (KeyHash) Format(st fmt.State, _ rune) { _, _ = st.Write([]byte(hashText)) }

// LogValue implements slog.LogValuer. Hashes are not logged.
func (KeyHash) LogValue() slog.Value { return slog.StringValue(hashText) }

// MarshalText implements encoding.TextMarshaler, for messages between instances.
func (ha KeyHash) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, ha[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (ha *KeyHash) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil || len(raw) != len(ha) {
		return errors.New("invalid hash of a key")
	}
	*ha = KeyHash(raw)
	return nil
}

// compare orders hashes by their bytes.
func (ha KeyHash) compare(other KeyHash) int { return slices.Compare(ha[:], other[:]) }

// Workspace is the data of one customer, with the limits on its use.
type Workspace struct {
	// Name is unique in a catalog and not empty.
	Name string `json:"name"`
	// Priority orders workspaces under load; 0 is served first.
	Priority int `json:"priority,omitempty"`
	// IsLimited is true if Rate and Burst limit the workspace's operations over all
	// instances. Rate is in operations per second.
	IsLimited bool    `json:"limited,omitempty"`
	Rate      float64 `json:"rate,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
}

// Workspaces holds the workspaces of a catalog. It is immutable.
type Workspaces struct {
	byName map[string]Workspace
	// nameByKey holds the keys that identify exactly one workspace.
	nameByKey map[KeyHash]string
}

// NewWorkspaces returns workspaces with unique names and the name of the workspace that
// each key identifies.
func NewWorkspaces(list []Workspace, nameByKey map[KeyHash]string) *Workspaces {
	ws := &Workspaces{byName: make(map[string]Workspace, len(list)), nameByKey: maps.Clone(nameByKey)}
	if ws.nameByKey == nil {
		ws.nameByKey = make(map[KeyHash]string)
	}
	for _, wo := range list {
		ws.byName[wo.Name] = wo
	}
	return ws
}

// WithWorkspaces returns the catalog with the workspaces; nil if they are not in use.
func (ca *Catalog) WithWorkspaces(ws *Workspaces) *Catalog {
	next := *ca
	next.workspaces = ws
	return &next
}

// keysByName returns the keys of each workspace, sorted. There are none if ws is nil.
func (ws *Workspaces) keysByName() map[string][]KeyHash {
	if ws == nil {
		return nil
	}
	out := make(map[string][]KeyHash, len(ws.byName))
	for key, name := range ws.nameByKey {
		out[name] = append(out[name], key)
	}
	for _, keys := range out {
		slices.SortFunc(keys, KeyHash.compare)
	}
	return out
}

// WorkspaceEntry is a workspace with all keys that identify it.
type WorkspaceEntry struct {
	Workspace
	Keys []KeyHash `json:"keys,omitempty"`
}

// changesFrom returns the workspaces that are new or changed since the older ones, and the
// names of those that no longer exist. Either of both may be nil.
func (ws *Workspaces) changesFrom(old *Workspaces) (changed []WorkspaceEntry, removed []string) {
	if old == nil {
		old = NewWorkspaces(nil, nil)
	}
	if ws == nil {
		ws = NewWorkspaces(nil, nil)
	}
	keys, oldKeys := ws.keysByName(), old.keysByName()
	for name, wo := range ws.byName {
		before, ok := old.byName[name]
		if !ok || before != wo || !slices.Equal(oldKeys[name], keys[name]) {
			changed = append(changed, WorkspaceEntry{Workspace: wo, Keys: keys[name]})
		}
	}
	for name := range old.byName {
		if _, ok := ws.byName[name]; !ok {
			removed = append(removed, name)
		}
	}
	return changed, removed
}

// with returns the workspaces with the changes that changesFrom returned; ws may be nil. A
// key that two of the entries claim identifies neither.
func (ws *Workspaces) with(changed []WorkspaceEntry, removed []string) *Workspaces {
	next := NewWorkspaces(nil, nil)
	if ws != nil {
		next = &Workspaces{byName: maps.Clone(ws.byName), nameByKey: maps.Clone(ws.nameByKey)}
	}
	isReplaced := make(map[string]bool, len(changed)+len(removed))
	for _, name := range removed {
		isReplaced[name] = true
		delete(next.byName, name)
	}
	for _, en := range changed {
		isReplaced[en.Name] = true
		next.byName[en.Name] = en.Workspace
	}
	maps.DeleteFunc(next.nameByKey, func(_ KeyHash, name string) bool { return isReplaced[name] })
	claims := make(map[KeyHash]string)
	for _, en := range changed {
		for _, key := range en.Keys {
			owner, isClaimed := claims[key]
			if !isClaimed {
				owner, isClaimed = next.nameByKey[key]
			}
			claims[key] = en.Name
			if isClaimed && owner != en.Name {
				claims[key] = ""
			}
		}
	}
	for key, name := range claims {
		delete(next.nameByKey, key)
		if name != "" {
			next.nameByKey[key] = name
		}
	}
	return next
}

// limitedRates returns the rates of the workspaces that have a limit, by name. ws may be nil.
func (ws *Workspaces) limitedRates() map[string]float64 {
	out := make(map[string]float64)
	if ws == nil {
		return out
	}
	for name, wo := range ws.byName {
		if wo.IsLimited {
			out[name] = wo.Rate
		}
	}
	return out
}

// LimitedRates returns the rates of the workspaces that have a limit, by name.
func (ca *Catalog) LimitedRates() map[string]float64 { return ca.workspaces.limitedRates() }

// HasWorkspaces reports whether workspaces are in use.
func (ca *Catalog) HasWorkspaces() bool { return ca.workspaces != nil }

// GetWorkspaceByName finds a workspace.
func (ca *Catalog) GetWorkspaceByName(name string) (Workspace, bool) {
	if ca.workspaces == nil {
		return Workspace{}, false
	}
	wo, ok := ca.workspaces.byName[name]
	return wo, ok
}

// GetWorkspaceByKey finds the workspace that a key identifies.
func (ca *Catalog) GetWorkspaceByKey(key KeyHash) (Workspace, bool) {
	if ca.workspaces == nil {
		return Workspace{}, false
	}
	name, ok := ca.workspaces.nameByKey[key]
	if !ok {
		return Workspace{}, false
	}
	return ca.GetWorkspaceByName(name)
}
