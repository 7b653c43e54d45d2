package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/wait"
)

// TestFor guards against a wait that goes on after its context is done, and against
// one that reports a done context as live.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		is.True(wait.For(ctx, time.Second))
		is.Equal(time.Since(start), time.Second)
		is.True(wait.For(ctx, 0))
		time.AfterFunc(time.Minute, cancel)
		is.True(!wait.For(ctx, time.Hour))
		is.Equal(time.Since(start), time.Second+time.Minute)
		is.True(!wait.For(ctx, 0))
	})
}
