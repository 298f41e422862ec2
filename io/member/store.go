// Package member runs one instance as a member of a fleet. The platform's store
// holds the configuration, the listing of upstreams and this system's own objects.
//
// In this package a member is an instance. The databases of a group are called
// upstreams: the leader and its replicas.
package member

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/catlg"
	"banyanspring/core/group"
)

// Object is one of this system's own objects in the store.
type Object struct {
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Event is one change of this system's own objects.
type Event struct {
	Object Object
	// IsRemoved is true if the object was removed.
	IsRemoved bool
}

// Store is the platform's store, as functions that only translate calls. All may be
// called concurrently. Those that wait for changes return an ErrHistoryGone if the store
// no longer holds the changes since the given revision. All revisions are numbers of package
// revn, which increase although the store may be restored from an older copy.
type Store struct {
	// LoadCatalog returns the configuration and the revision to wait from.
	LoadCatalog func(ctx context.Context) (*catlg.Catalog, uint64, error)
	// AwaitCatalog waits for a newer configuration and returns it, or nil if none
	// came, with the revision to wait from next.
	AwaitCatalog func(ctx context.Context, since uint64, wait time.Duration) (*catlg.Catalog, uint64, error)
	// ListUpstreams returns the listing and, for each entry that was left out, the
	// reason.
	ListUpstreams func(ctx context.Context) (group.View, []error, error)
	// AwaitUpstreams waits for changes of the listing and returns them with the
	// revision to wait from next.
	AwaitUpstreams func(ctx context.Context, since uint64, wait time.Duration) ([]group.Change, uint64, error)
	// List returns the objects of one of this system's own kinds and the revision
	// to wait from.
	List func(ctx context.Context, kind string) ([]Object, uint64, error)
	// Await waits for changes of the objects of a kind and returns them with the
	// revision to wait from next.
	Await func(ctx context.Context, kind string, since uint64, wait time.Duration) ([]Event, uint64, error)
	Get   func(ctx context.Context, kind, name string) (Object, error)
	// Create creates an object that must not exist yet.
	Create func(ctx context.Context, kind, name string, value any) (Object, error)
	// Update replaces an object if it still has the given revision.
	Update func(ctx context.Context, kind, name string, revision uint64, value any) (Object, error)
	// Delete removes an object if it still has the given revision.
	Delete func(ctx context.Context, kind, name string, revision uint64) error
	// Calls returns the number of calls made.
	Calls func() int64
	// Subscribe has onEra called with the first answer of each new era of the store, before
	// the call that received it returns; nil if the store has no eras.
	Subscribe func(onEra func(number uint64))
}

// ErrObjectNotExist is returned for an object that does not exist.
type ErrObjectNotExist struct{}

// Error implements error.
func (ErrObjectNotExist) Error() string { return "object does not exist" }

// IsErrObjectNotExist reports whether err says that an object does not exist.
func IsErrObjectNotExist(err error) bool {
	var er ErrObjectNotExist
	return errors.As(err, &er)
}

// ErrHistoryGone is returned by a wait from a revision whose later changes the
// store no longer holds; the objects must be read again.
type ErrHistoryGone struct{}

// Error implements error.
func (ErrHistoryGone) Error() string {
	return "the store no longer holds the changes since the revision"
}

// IsErrHistoryGone reports whether err says that the store no longer holds the
// changes since a revision.
func IsErrHistoryGone(err error) bool {
	var er ErrHistoryGone
	return errors.As(err, &er)
}

// ErrEraChanged is returned by a conditional call whose revision is of an earlier era of the
// store, or that may have been carried out in a later one; the object must be read again.
type ErrEraChanged struct{}

// Error implements error.
func (ErrEraChanged) Error() string { return "the store was restored since the revision" }

// IsErrEraChanged reports whether err says that the store was restored since a revision.
func IsErrEraChanged(err error) bool {
	var er ErrEraChanged
	return errors.As(err, &er)
}

// IsStoreAnswer reports whether an error is a negative answer of the store.
func IsStoreAnswer(err error) bool {
	return IsErrHistoryGone(err) || IsErrConflict(err) || IsErrObjectNotExist(err) || IsErrEraChanged(err)
}

// ErrConflict is returned by a conditional call if another call changed the object
// first.
type ErrConflict struct {
	// Object is the version that the store holds.
	Object Object
}

// Error implements error.
func (er ErrConflict) Error() string {
	return "object " + er.Object.Name + " was changed by another call"
}

// IsErrConflict reports whether err is a conflict with another call.
func IsErrConflict(err error) bool {
	var er ErrConflict
	return errors.As(err, &er)
}

// ErrAppointRefused is returned by an appointment whose token is too old or whose
// upstream is not running.
type ErrAppointRefused struct{ Detail string }

// Error implements error.
func (er ErrAppointRefused) Error() string { return "appointment refused: " + er.Detail }

// IsErrAppointRefused reports whether err is a refused appointment.
func IsErrAppointRefused(err error) bool {
	var er ErrAppointRefused
	return errors.As(err, &er)
}

// ErrAppointDeferred is returned by an appointment that the platform did not
// process because there were too many. The call may be repeated with the same token.
type ErrAppointDeferred struct{}

// Error implements error.
func (ErrAppointDeferred) Error() string { return "too many appointments at once" }

// IsErrAppointDeferred reports whether err says that an appointment was not
// processed.
func IsErrAppointDeferred(err error) bool {
	var er ErrAppointDeferred
	return errors.As(err, &er)
}
