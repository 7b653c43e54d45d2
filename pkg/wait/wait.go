// Package wait provides a sleep that ends early when a context is done.
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

// For waits for d and returns true, or returns false as soon as ctx is done. If d
// is not positive, it returns at once whether ctx is still live.
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
