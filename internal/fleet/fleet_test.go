package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
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
	return member.Info{VM: vm, Zone: "z", Region: region, Address: addressOf(vm)}
}

// addressOf returns the address of a VM, which differs for names with other first letters.
func addressOf(vm ident.VM) string { return fmt.Sprintf("10.0.0.%d:1", vm[0]) }

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
		a := New(Config{Self: info("a", "r1"), Store: s, FirstStart: true, OnChange: func() { changes++ }, Seeds: []string{"seed", addressOf("a")}})
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
		is.Equal(a.Address("b"), addressOf("b"))
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
	is.Equal(first[len(live)-1], addressOf("far"))
	got := at("far").RankedAddresses("g", "r1", 3)
	is.Equal(got, []string{first[0], first[1], first[2]})
	var self ident.VM
	for _, m := range live {
		if m.Address == first[0] {
			self = m.VM
		}
	}
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
		// b writes its entry in its next refresh, a reads it in the one after that.
		time.Sleep(2 * (refreshPeriod + refreshJitter))
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

// FuzzRecord guards against an entry of another writer that ends the process, or that names
// a VM which others then ask.
func FuzzRecord(f *testing.F) {
	const good = `{"op":"x","value":{"vm":"b","zone":"z","region":"r","address":"10.0.0.98:1"}}`
	for _, raw := range []string{
		good, `{`, `null`, `{"op":"x"}`, strings.Repeat("[", 20000), strings.Replace(good, `"b"`, `"c"`, 1), strings.Replace(good, `"z"`, `""`, 1),
		strings.Replace(good, `"r"`, `7`, 1), strings.Replace(good, `98:1`, `98:0`, 1), strings.Replace(good, `98:1`, `98:70000`, 1),
		strings.Replace(good, `10.0.0.98`, `0.0.0.0`, 1), strings.Replace(good, `10.0.0.98:1`, `[ff02::1]:1`, 1), strings.Replace(good, `10.0.0.98:1`, `b`, 1),
	} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		r, err := decodeRecord(store.Entry{Key: "vm/b", Value: []byte(raw)})
		if raw == good && err != nil {
			t.Errorf("%s: %v", raw, err)
		}
		if err == nil && (r.VM != "b" || r.Zone == "" || r.Region == "" || strings.HasSuffix(r.Address, ":0")) {
			t.Errorf("%+v", r)
		}
	})
}

// TestOddRecords guards against odd entries that hide the others in the list.
func TestOddRecords(t *testing.T) {
	for _, raw := range []string{
		`{"op":"x","value":{"vm":"c","zone":"z","region":"r","address":"10.0.0.1:1"}}`, `{"op":"x","value":{"vm":"b","zone":"","region":"r","address":"10.0.0.1:1"}}`,
		`{"op":"x","value":{"vm":"b","zone":"z","region":"r","address":"10.0.0.1:0"}}`, `{"op":"x","value":{"vm":"b","zone":"z","region":"r","address":"10.0.0.1:70000"}}`,
		`{"op":"x","value":{"vm":"b","zone":"z","region":"r","address":"0.0.0.0:1"}}`, `{"op":"x","value":[[]]}`,
	} {
		is := is.New(t)
		f := New(Config{Self: info("a", "r1")})
		s := &linktest.Store{}
		f.cfg.Store = s
		for key, value := range map[string]string{"vm/b": raw, "vm/d": `{"op":"x","value":{"vm":"d","zone":"z","region":"r","address":"10.0.0.100:1"}}`} {
			_, err := s.Put(t.Context(), store.Write{Key: key, Value: []byte(value)})
			is.NoErr(err)
		}
		is.NoErr(f.updateList(t.Context()))
		is.Equal(names(f), []ident.VM{"a", "d"})
	}
}
