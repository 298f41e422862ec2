package elect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// LOST, a leader that had come back under another ID while the store was away counted as gone, since
// its former entry had been missing for long (review/8).
func TestEntryIsMissingOnlyWhileTheListingIsConfirmed(t *testing.T) {
	begun := time.Unix(1000, 0)
	after := func(seconds float64) time.Time { return begun.Add(time.Duration(seconds * float64(time.Second))) }
	var li Listing
	require.Zero(t, li.MissingFor(begun))
	for second := range 5 {
		li = li.WithConfirmation(after(float64(second)), 1500*time.Millisecond)
	}
	require.Equal(t, Listing{ConfirmedSince: begun, ConfirmedAt: after(4)}, li)
	require.Equal(t, 3*time.Second, li.MissingFor(after(1)))
	require.Equal(t, 4*time.Second, li.MissingFor(after(-9)), "it may have been written before the first confirmation")
	require.Zero(t, li.MissingFor(after(5)))
	require.Equal(t, li, li.WithConfirmation(after(3), 1500*time.Millisecond), "confirmations may arrive late")

	li = li.WithConfirmation(after(5.6), 1500*time.Millisecond)
	require.Zero(t, li.MissingFor(after(1)), "the store was away")
	li = li.WithConfirmation(after(7), 1500*time.Millisecond)
	require.Equal(t, 1400*time.Millisecond, li.MissingFor(after(1)))
}
