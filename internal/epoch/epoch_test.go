package epoch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilspan.example/internal/epoch"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/store"
)

const (
	short = 6 * time.Second
	long  = 30 * time.Second
)

// run calls f in a synctest bubble with a function that returns a Guard of a VM.
func run(t *testing.T, f func(t *testing.T, s *linktest.Store, start func() *epoch.Guard)) {
	synctest.Test(t, func(t *testing.T) {
		s := &linktest.Store{}
		f(t, s, func() *epoch.Guard {
			return epoch.New(epoch.Config{Store: s, Lifetimes: []time.Duration{short, long}, Log: zerolog.Nop()})
		})
	})
}

// restore restores a store and makes a call, which shows the new epoch.
func restore(t *testing.T, s *linktest.Store, c linktest.StoreCopy) {
	t.Helper()
	s.Restore(c)
	if _, err := s.Get(t.Context(), "any"); err != nil {
		t.Fatal(err)
	}
}

func settled(t *testing.T, g *epoch.Guard, lifetime time.Duration) bool {
	t.Helper()
	_, ok, err := g.Settled(t.Context(), lifetime)
	if err != nil {
		t.Fatal(err)
	}
	return ok
}

// TestWait guards against a right that is granted in a new epoch before one that the
// store has forgotten has ended, for each lifetime, also by a VM that starts after the
// restoration, and against a wait that begins anew with each VM.
func TestWait(t *testing.T) {
	run(t, func(t *testing.T, s *linktest.Store, start func() *epoch.Guard) {
		is := is.New(t)
		a, b := start(), start()
		is.True(settled(t, a, short) && settled(t, b, long)) // nobody holds anything yet
		older := s.Copy()
		restore(t, s, older)
		restoredAt := time.Now()
		is.True(!settled(t, a, short) && !settled(t, b, short))
		time.Sleep(short - time.Second)
		is.True(!settled(t, start(), short))
		time.Sleep(2 * time.Second)
		is.True(settled(t, b, short) && settled(t, start(), short))
		is.True(!settled(t, a, long) && !settled(t, start(), long))
		time.Sleep(long - time.Since(restoredAt) + time.Second)
		is.True(settled(t, a, long) && settled(t, start(), long))
	})
}

// TestRestoredAgain guards against a wait that is lost when the store is restored again
// while it lasts, from a copy made before, during or after it began.
func TestRestoredAgain(t *testing.T) {
	run(t, func(t *testing.T, s *linktest.Store, start func() *epoch.Guard) {
		is := is.New(t)
		empty := s.Copy()
		a := start()
		is.True(settled(t, a, long))
		copies := []linktest.StoreCopy{empty, s.Copy()}
		restore(t, s, copies[1])
		is.True(!settled(t, a, long))
		copies = append(copies, s.Copy())
		time.Sleep(long + time.Second)
		is.True(settled(t, a, long))
		copies = append(copies, s.Copy())
		for _, c := range copies {
			restore(t, s, c)
			is.True(!settled(t, a, long) && !settled(t, start(), long))
			time.Sleep(long - time.Second)
			is.True(!settled(t, a, long))
			time.Sleep(2 * time.Second)
			is.True(settled(t, a, long) && settled(t, start(), long))
		}
	})
}

// TestUnreadableKey guards against rights that are never granted again because another
// program has written the guard's key.
func TestUnreadableKey(t *testing.T) {
	run(t, func(t *testing.T, s *linktest.Store, start func() *epoch.Guard) {
		is := is.New(t)
		_, err := s.Put(t.Context(), store.Write{Key: "epoch/current", Value: []byte("{")})
		is.NoErr(err)
		restore(t, s, s.Copy())
		is.True(!settled(t, start(), short))
		time.Sleep(short + time.Second)
		is.True(settled(t, start(), short))
	})
}

// TestStoreDown guards against rights that are granted while the store does not answer.
func TestStoreDown(t *testing.T) {
	run(t, func(t *testing.T, s *linktest.Store, start func() *epoch.Guard) {
		is := is.New(t)
		s.SetDown(true)
		_, ok, err := start().Settled(t.Context(), short)
		is.True(!ok && err != nil)
	})
}
