package fleet

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/store"
)

func info(vm ident.VM, region ident.Region) member.Info {
	return member.Info{VM: vm, Zone: "z", Region: region, Address: "address of " + string(vm)}
}

func names(f *Fleet) []ident.VM {
	var out []ident.VM
	for _, m := range f.Live() {
		out = append(out, m.VM)
	}
	return out
}

// TestList guards against a VM that uses a list without the VMs that start at the
// same time, against a VM that stays in the list after its death, and against a
// malformed entry that hides the others.
func TestList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &linktest.Store{}
		_, err := s.Put(t.Context(), store.Write{Key: "vm/foreign", Value: []byte("{")})
		is.NoErr(err)
		changes := 0
		a := New(Config{Self: info("a", "r1"), Store: s, FirstStart: true, OnChange: func() { changes++ }, Seeds: []string{"seed", "address of a"}})
		b := New(Config{Self: info("b", "r2"), Store: s, FirstStart: true})
		is.Equal(a.Addresses(), []string{"seed"})
		ctx, stop := context.WithCancel(t.Context())
		dead, kill := context.WithCancel(t.Context())
		done := make(chan struct{}, 2)
		go func() { a.Run(ctx); done <- struct{}{} }()
		time.Sleep(300 * time.Millisecond)
		is.Equal(len(a.Live()), 0)
		go func() { b.Run(dead); done <- struct{}{} }()
		time.Sleep(3 * time.Second)
		is.True(a.ListComplete())
		is.Equal(names(a), []ident.VM{"a", "b"})
		is.Equal(changes, 1)
		is.Equal(a.Address("b"), "address of b")
		is.Equal(a.Rank("x", "r1"), 0)
		is.Equal(b.Rank("x", "r1"), 1)
		kill()
		time.Sleep(leaseTTL + 2*refreshPeriod)
		is.Equal(names(a), []ident.VM{"a"})
		stop()
		<-done
		<-done
	})
}

// TestRankedAddresses guards against asking about a group VMs that do not watch it: those
// asked have to be the ones that Rank names first, without this VM.
func TestRankedAddresses(t *testing.T) {
	is := is.New(t)
	var live []member.Info
	for _, vm := range []ident.VM{"a", "b", "c", "d", "e", "f"} {
		live = append(live, info(vm, "r1"))
	}
	live = append(live, info("far", "r2"))
	at := func(vm ident.VM) *Fleet {
		f := New(Config{Self: info(vm, "r1"), Seeds: []string{"seed"}})
		f.live = live
		return f
	}
	first := map[int]string{}
	for _, m := range live {
		first[at(m.VM).Rank("g", "r1")] = m.Address
	}
	is.Equal(first[len(live)-1], "address of far")
	got := at("far").RankedAddresses("g", "r1", 3)
	is.Equal(got, []string{first[0], first[1], first[2]})
	self := ident.VM(first[0][len("address of "):])
	is.Equal(at(self).RankedAddresses("g", "r1", 2), []string{first[1], first[2]})
	is.Equal(New(Config{Self: info("a", "r1"), Seeds: []string{"seed"}}).RankedAddresses("g", "r1", 3), []string{"seed"})
}

// TestOutage guards against a list that becomes empty during an outage of the
// store, and against an entry that is not written again after its lease has
// expired.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &linktest.Store{}
		a, b := New(Config{Self: info("a", "r"), Store: s}), New(Config{Self: info("b", "r"), Store: s})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{}, 2)
		for _, f := range []*Fleet{a, b} {
			go func() { f.Run(ctx); done <- struct{}{} }()
		}
		time.Sleep(3 * time.Second)
		s.SetDown(true)
		time.Sleep(2 * leaseTTL)
		is.Equal(names(a), []ident.VM{"a", "b"})
		s.SetDown(false)
		time.Sleep(2 * refreshPeriod)
		is.Equal(names(a), []ident.VM{"a", "b"})
		e, err := s.List(t.Context(), "vm/")
		is.NoErr(err)
		is.Equal(len(e), 2)
		b.Leave(t.Context())
		time.Sleep(2 * refreshPeriod)
		is.Equal(names(a), []ident.VM{"a"})
		is.True(!slices.Contains(names(a), "b"))
		stop()
		<-done
		<-done
	})
}

// TestRestored guards against an entry that the store has lost in a restoration and that
// is written again only when its lease is next renewed.
func TestRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &linktest.Store{}
		older := s.Copy()
		f := New(Config{Self: info("a", "r"), Store: s})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		for range 5 {
			time.Sleep(7 * time.Second)
			s.Restore(older)
			_, err := s.Get(t.Context(), "any") // shows the new epoch
			is.NoErr(err)
			time.Sleep(restoredSpread)
			e, err := s.Get(t.Context(), "vm/a")
			is.NoErr(err)
			is.True(e.Revision != 0)
		}
		stop()
		<-done
	})
}

// TestTurnedAway guards against a VM that the store turns away and that goes on with an old
// list of VMs, though others have read a newer one: it would ask VMs that are gone.
func TestTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, reader := &linktest.Store{}, &linktest.Store{}
		f := New(Config{Self: info("a", "r1"), Store: s, ListEntries: func(ctx context.Context, prefix string) ([]store.Entry, error) {
			return reader.List(ctx, prefix)
		}})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		time.Sleep(3 * time.Second)
		s.SetDown(true)
		_, err := store.Swap(ctx, reader, store.Write{Key: keyPrefix + "b", Value: []byte(`{"vm":"b","zone":"z","region":"r2","address":"10.0.0.2:1"}`)})
		is.NoErr(err)
		time.Sleep(2 * refreshPeriod)
		is.Equal(names(f), []ident.VM{"a", "b"})
		stop()
		<-done
	})
}
