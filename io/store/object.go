// Package store is a client for the platform's object API: versioned objects,
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
	// KindGroup holds the database groups, one object each.
	KindGroup = "group"
	// KindInstance holds the running daemons, one object each.
	KindInstance = "instance"
	// KindInstanceList is the platform's list of daemons, as a delegate, the
	// daemon that reads the platform for its failure domain, sends it to its
	// peers. The store has no such object.
	KindInstanceList = "instance_list"
)

// CurrentDocument is the name of the configuration document in force.
const CurrentDocument = "current"

// Object is a versioned value in the platform's store.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is taken from a counter that grows with each change of any object;
	// 0 is the version of an object that does not exist.
	Version uint64 `json:"version"`
	// Value is JSON of at most a megabyte.
	Value json.RawMessage `json:"value"`
}

// Member is one upstream in a group. The members of place are daemons instead.
type Member struct {
	// Name is unique in the platform.
	Name string `json:"name"`
	// Address serves the Postgres protocol, "ip:port".
	Address string `json:"address"`
	// Control is the stand-in's address for orders and log shipping, "ip:port";
	// empty for other upstreams.
	Control string `json:"control,omitempty"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	// Connections limits the upstream's open connections, and Slots the requests
	// that run at once.
	Connections int `json:"connections"`
	Slots       int `json:"slots"`
	// Leaving is true if the upstream is to take no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Group is a database group: one primary and its replicas.
type Group struct {
	Name string `json:"name"`
	// TermNumber and Primary identify the last term that was written to the
	// store. The group may be in a later one that was claimed without the store.
	TermNumber uint64   `json:"term_number"`
	Primary    string   `json:"primary"`
	Members    []Member `json:"members"`
	// Claim is the ID of the attempt to promote a member that wrote the term. If
	// the answer to the write is lost, the writer reads the object back and
	// compares the ID.
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

// Instance is an entry of the platform's list of daemons.
type Instance struct {
	ID string `json:"id"`
	// Address is the address that the daemon serves peers on, "ip:port".
	Address string `json:"address"`
	// CallerAddress is the address that the daemon serves callers on, "ip:port".
	CallerAddress string `json:"caller"`
	// AdminAddress is the address that the daemon serves status and metrics on,
	// "ip:port".
	AdminAddress string `json:"admin"`
	Domain       string `json:"domain"`
	Region       string `json:"region"`
	Leaving      bool   `json:"leaving,omitempty"`
}

// ErrObjectNotExist is returned for an object that does not exist.
type ErrObjectNotExist struct{ Kind, Name string }

// Error implements error.
func (er ErrObjectNotExist) Error() string {
	return "object " + er.Kind + "/" + er.Name + " does not exist"
}

// IsErrObjectNotExist reports whether err is an ErrObjectNotExist.
func IsErrObjectNotExist(err error) bool {
	var er ErrObjectNotExist
	return errors.As(err, &er)
}

// ErrVersionConflict is returned by a conditional update if the object does not
// have the expected version.
type ErrVersionConflict struct {
	Kind, Name string
	// Current is the object's version in the store.
	Current uint64
}

// Error implements error.
func (er ErrVersionConflict) Error() string {
	return "object " + er.Kind + "/" + er.Name + " was changed by another update"
}

// IsErrVersionConflict reports whether err is an ErrVersionConflict.
func IsErrVersionConflict(err error) bool {
	var er ErrVersionConflict
	return errors.As(err, &er)
}
