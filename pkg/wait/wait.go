// Package wait pauses goroutines that have to end with a context.
//
// # Usage
//
//	for wait.For(ctx, period) {
//		poll()
//	}
package wait

import (
	"context"
	"time"
)

// For waits for d and reports true, or false when ctx has ended first. It does
// not wait when d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
