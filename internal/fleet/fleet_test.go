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

// TestList guards against a VM that acts on a list which lacks VMs that start at
// the same time, against one that stays after its death, and against an entry of
// another writer that hides the others.
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
		time.Sleep(leaseTTL + 2*period)
		is.Equal(names(a), []ident.VM{"a"})
		stop()
		<-done
		<-done
	})
}

// TestOutage guards against a list that is emptied by an outage of the store, and
// against an entry that does not come back when its lease has run out.
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
		time.Sleep(2 * period)
		is.Equal(names(a), []ident.VM{"a", "b"})
		e, err := s.List(t.Context(), "vm/")
		is.NoErr(err)
		is.Equal(len(e), 2)
		b.Leave(t.Context())
		time.Sleep(2 * period)
		is.Equal(names(a), []ident.VM{"a"})
		is.True(!slices.Contains(names(a), "b"))
		stop()
		<-done
		<-done
	})
}
