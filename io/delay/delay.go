// Package delay holds waits that end with a context.
package delay

import (
	"context"
	"time"
)

// Pause waits and reports whether the context still stands.
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
