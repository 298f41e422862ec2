// Package delay provides waits that a context can cancel.
package delay

import (
	"context"
	"time"
)

// Pause waits and returns true, or returns false as soon as the context is done.
func Pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
