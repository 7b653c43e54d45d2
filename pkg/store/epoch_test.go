package store_test

import (
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/store"
)

// TestEpochTracker guards against a restoration that goes unnoticed or is reported for
// the first answer, and against an answer of a former epoch that counts as present.
func TestEpochTracker(t *testing.T) {
	is := is.New(t)
	var e store.EpochTracker
	restored := e.Restored()
	is.True(e.Observe(3, 70))
	is.True(e.Observe(3, 0))
	is.Equal(e.Epoch(), store.Epoch(3))
	select {
	case <-restored:
		t.Fatal("the first epoch was reported as a restoration")
	default:
	}
	is.True(e.Observe(4, 0))
	<-restored
	is.True(!e.Observe(3, 90))
	is.True(e.Observe(4, 61))
	is.Equal(e.LastRestoration(), store.Restoration{Before: 3, After: 4, LastBefore: 70, FirstAfter: 61})
}
