package logq

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// TestBlockedOutput guards against an output whose reader has stopped and which
// blocks goroutines that log, and against lines that are dropped uncounted.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, w := io.Pipe()
		q := New(w)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { q.Run(ctx); close(done) }()
		log := zerolog.New(q)
		const seconds = 20
		for range seconds {
			for range 2 * infoRate {
				log.Info().Msg("x")
			}
			time.Sleep(time.Second)
		}
		is.Equal(q.Dropped(), uint64(seconds*2*infoRate-queueLength-1)) // one is being written
		_ = r.Close()
		cancel()
		<-done
		is.Equal(q.Dropped(), uint64(seconds*2*infoRate))
	})
}

// TestRates guards against a flood of lines of level info that displaces warnings.
func TestRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out strings.Builder
		q := New(&out)
		log := zerolog.New(q)
		for range 1000 {
			log.Info().Msg("flood")
		}
		log.Warn().Msg("kept")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		q.Run(ctx)
		is.Equal(strings.Count(out.String(), "flood"), infoRate)
		is.True(strings.Contains(out.String(), "kept"))
	})
}

// TestLongLine guards against lines whose length a caller chooses and that fill the memory
// while they wait.
func TestLongLine(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	q := New(&out)
	log := zerolog.New(q)
	for range 10 {
		log.Info().Str("id", strings.Repeat("x", maxLineBytes)).Msg("long")
	}
	log.Info().Msg("kept")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	q.Run(ctx)
	is.Equal(q.Dropped(), uint64(10))
	is.True(strings.Contains(out.String(), "kept"))
	is.True(len(out.String()) < maxLineBytes)
}
