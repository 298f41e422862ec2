// Package store is the client of the platform's object API: versioned objects,
// conditional updates, watches, and the list of instances.
package store

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Kinds of objects that the system keeps in the platform's store.
const (
	// KindDocument holds the configuration document.
	KindDocument = "document"
	// KindDocumentHistory holds past documents by version.
	KindDocumentHistory = "document_history"
	// KindGroup holds the database groups.
	KindGroup = "group"
	// KindInstance holds the running daemons.
	KindInstance = "instance"
	// KindInstanceList is the platform's list of daemons as delegates pass it
	// on; it is not in the store.
	KindInstanceList = "instance_list"
)

// CurrentDocument is the name of the document in force.
const CurrentDocument = "current"

// Object is a versioned value in the platform's store.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version grows with each change of any object and is 0 for an object that
	// does not exist.
	Version uint64 `json:"version"`
	// Value is at most a megabyte of JSON.
	Value json.RawMessage `json:"value"`
}

// Member is one upstream in a group.
type Member struct {
	// Name is unique in the platform.
	Name string `json:"name"`
	// Address serves the Postgres protocol, "ip:port".
	Address string `json:"address"`
	// Control takes orders for the stand-in; empty elsewhere.
	Control string `json:"control,omitempty"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	// Connections and Slots limit what the upstream serves at once.
	Connections int `json:"connections"`
	Slots       int `json:"slots"`
	// Leaving upstreams take no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Group is a database group: one primary and its replicas.
type Group struct {
	Name string `json:"name"`
	// TermNumber and Primary identify the term that was claimed last.
	TermNumber uint64   `json:"term_number"`
	Primary    string   `json:"primary"`
	Members    []Member `json:"members"`
	// Claim identifies the attempt that claimed the term, so that a lost
	// answer can be read back.
	Claim string `json:"claim,omitempty"`
}

// GetMemberByName finds a member of the group.
func (gr Group) GetMemberByName(name string) (Member, bool) {
	for _, mem := range gr.Members {
		if mem.Name == name {
			return mem, true
		}
	}
	return Member{}, false
}

// Instance is one running daemon in the platform's list.
type Instance struct {
	ID string `json:"id"`
	// Address is where the daemon serves its peers, "ip:port".
	Address string `json:"address"`
	// Caller is where the daemon serves callers, "ip:port".
	Caller string `json:"caller"`
	// Admin is where the daemon serves status and metrics, "ip:port".
	Admin   string `json:"admin"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving,omitempty"`
}

// ErrObjectNotExist is returned for an object that does not exist.
type ErrObjectNotExist struct{ Kind, Name string }

// Error implements error.
func (er ErrObjectNotExist) Error() string {
	return "object " + er.Kind + "/" + er.Name + " does not exist"
}

// IsErrObjectNotExist reports whether err says that an object does not exist.
func IsErrObjectNotExist(err error) bool {
	var er ErrObjectNotExist
	return errors.As(err, &er)
}

// ErrVersionConflict is returned by a conditional update that lost a race.
type ErrVersionConflict struct {
	Kind, Name string
	// Current is the version that the store holds.
	Current uint64
}

// Error implements error.
func (er ErrVersionConflict) Error() string {
	return "object " + er.Kind + "/" + er.Name + " was changed by another update"
}

// IsErrVersionConflict reports whether err is a lost conditional update.
func IsErrVersionConflict(err error) bool {
	var er ErrVersionConflict
	return errors.As(err, &er)
}
