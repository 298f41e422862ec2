// Package revn orders the revisions of a store that may be restored from an older copy and
// then assigns revisions again. Each restore begins a new era.
package revn

import (
	"cmp"

	"github.com/cockroachdb/errors"
)

const (
	// revisionBits is the number of bits of a revision in a number, and eraBits that of an
	// era. Together they stay below 2^53, up to which JSON implementations are exact.
	revisionBits = 40
	eraBits      = 13
	// MaxRevision is the highest revision that can be represented.
	MaxRevision = 1<<revisionBits - 1
	// MaxEra is the highest era that can be represented.
	MaxEra = 1<<eraBits - 1
)

// Version is a state of the store.
type Version struct {
	// Era is the number of restores, as the store counts them; 0 if it does not.
	Era uint64
	// Revision is the store's revision within the era.
	Revision uint64
}

// Check returns an error if the version cannot be represented by a number.
func (ve Version) Check() error {
	switch {
	case ve.Era > MaxEra:
		return errors.Newf("era %d of the store exceeds %d", ve.Era, uint64(MaxEra))
	case ve.Revision > MaxRevision:
		return errors.Newf("revision %d of the store exceeds %d", ve.Revision, uint64(MaxRevision))
	}
	return nil
}

// Compare orders versions by era, then by revision.
func (ve Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(ve.Era, other.Era), cmp.Compare(ve.Revision, other.Revision))
}

// Number returns the version as one number. Numbers have the order of Compare. Without an
// era the number is the revision.
func (ve Version) Number() (uint64, error) {
	if err := ve.Check(); err != nil {
		return 0, err
	}
	return ve.Era<<revisionBits | ve.Revision, nil
}

// FromNumber returns the version that Number has encoded.
func FromNumber(number uint64) Version {
	return Version{Era: number >> revisionBits, Revision: number & MaxRevision}
}

// EraOf returns the era of a number.
func EraOf(number uint64) uint64 { return FromNumber(number).Era }
