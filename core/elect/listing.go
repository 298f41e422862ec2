package elect

import "time"

// Listing is the period in which the store has confirmed the platform's listing without a gap. That an
// upstream has no entry shows that it has ended only if it could have written one: while the store is
// away, an upstream that comes back with its log cannot.
type Listing struct {
	// ConfirmedSince and ConfirmedAt are the first and the last confirmation of the period; both are
	// zero if there was none.
	ConfirmedSince, ConfirmedAt time.Time
}

// WithConfirmation returns the listing with a confirmation as of the time given. It begins a new
// period if the last one is longer ago than maxGap, in which the store may have been away.
func (li Listing) WithConfirmation(at time.Time, maxGap time.Duration) Listing {
	if !at.After(li.ConfirmedAt) {
		return li
	}
	if li.ConfirmedAt.IsZero() || at.Sub(li.ConfirmedAt) > maxGap {
		li.ConfirmedSince = at
	}
	li.ConfirmedAt = at
	return li
}

// MissingFor returns for how long an entry that disappeared at the time given has been missing while
// the store confirmed the listing.
func (li Listing) MissingFor(removedAt time.Time) time.Duration {
	return max(0, li.ConfirmedAt.Sub(later(removedAt, li.ConfirmedSince)))
}
