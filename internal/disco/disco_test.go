package disco_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilspan.example/internal/disco"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
)

// decode decodes an entry whose value is the name of its group; an empty value is
// an error.
func decode(key string, value []byte) (roster.Entry, error) {
	if string(value) == "panic" {
		panic("unexpected value")
	}
	if len(value) == 0 {
		return roster.Entry{}, errors.New("no value")
	}
	return roster.Entry{ID: ident.Target(key[len("targets/"):]), Group: ident.Group(value)}, nil
}

func put(t *testing.T, s *linktest.Store, key, value string) {
	t.Helper()
	if _, err := s.Put(t.Context(), store.Write{Key: key, Value: []byte(value)}); err != nil {
		t.Fatal(err)
	}
}

// TestForeignEntry guards against an entry that can't be decoded, or on which the
// decoder panics, making the others unavailable.
func TestForeignEntry(t *testing.T) {
	is := is.New(t)
	s := &linktest.Store{}
	put(t, s, "targets/a", "g")
	put(t, s, "targets/b", "")
	put(t, s, "targets/c", "panic")
	var table roster.Table
	p := &disco.Poller{Store: s, Prefix: "targets/", Decode: decode, Roster: &table, Log: zerolog.Nop()}
	is.NoErr(p.Refresh(t.Context()))
	is.Equal(len(table.UsableMembers("g")), 1)
}

// TestDecodedOnce guards against values that are decoded again with each list although
// they have not changed, and against a changed value that is not decoded.
func TestDecodedOnce(t *testing.T) {
	is := is.New(t)
	s := &linktest.Store{}
	put(t, s, "targets/a", "g")
	var table roster.Table
	count := 0
	p := &disco.Poller{Store: s, Prefix: "targets/", Roster: &table, Log: zerolog.Nop(), Decode: func(key string, value []byte) (roster.Entry, error) {
		count++
		e, err := decode(key, value)
		e.Sequence = int64(count)
		return e, err
	}}
	for range 3 {
		is.NoErr(p.Refresh(t.Context()))
	}
	is.Equal(count, 1)
	e, err := s.Get(t.Context(), "targets/a")
	is.NoErr(err)
	_, err = s.Put(t.Context(), store.Write{Key: "targets/a", Value: []byte("g"), Expected: e.Revision})
	is.NoErr(err)
	is.NoErr(p.Refresh(t.Context()))
	is.Equal(count, 2)
}

// TestRelayedList guards against a list obtained from another VM whose age is
// ignored, and against an outage that goes unnoticed because the list is read
// through another VM.
func TestRelayedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &linktest.Store{}
		put(t, s, "targets/a", "g")
		var table roster.Table
		var down atomic.Bool
		const age = 2 * time.Second
		p := &disco.Poller{
			Store: s, Prefix: "targets/", Decode: decode, Roster: &table, Log: zerolog.Nop(),
			List: func(ctx context.Context, prefix string, _ bool) ([]store.Entry, time.Time, error) {
				entries, err := s.List(ctx, prefix)
				if down.Load() {
					err = errors.New("turned away")
				}
				return entries, time.Now().Add(-age), err
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx)
		time.Sleep(10 * time.Second)
		is.True(table.ListComplete(time.Now()))
		down.Store(true)
		time.Sleep(time.Second)
		is.True(!table.ListComplete(time.Now()))
		cancel()
		synctest.Wait()
	})
}

// TestRefresh guards against a decision based on a list that lacks a database
// already in the store.
func TestRefresh(t *testing.T) {
	is := is.New(t)
	s := &linktest.Store{}
	put(t, s, "targets/a", "g")
	var table roster.Table
	p := &disco.Poller{
		Store: s, Prefix: "targets/", Decode: decode, Roster: &table, Log: zerolog.Nop(),
		List: func(context.Context, string, bool) ([]store.Entry, time.Time, error) { return nil, time.Now(), nil },
	}
	is.NoErr(p.Refresh(t.Context()))
	put(t, s, "targets/b", "g")
	is.NoErr(p.Refresh(t.Context()))
	is.Equal(len(table.AllMembers("g")), 2)
	s.SetDown(true)
	is.True(p.Refresh(t.Context()) != nil)
	is.True(!table.ListComplete(time.Now()))
}

// TestRestored guards against a database that counts as gone, and a list that counts as
// complete, because the store was restored from a copy that lacks the database, and
// against a list from before the restoration that is used after it.
func TestRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &linktest.Store{}
		put(t, s, "targets/a", "g")
		older := s.Copy()
		put(t, s, "targets/b", "g")
		former, err := s.List(t.Context(), "targets/")
		is.NoErr(err)
		var table roster.Table
		var relayed []store.Entry
		p := &disco.Poller{Store: s, Prefix: "targets/", Decode: decode, Roster: &table, Log: zerolog.Nop()}
		is.NoErr(p.Refresh(t.Context()))
		time.Sleep(10 * time.Second)
		is.NoErr(p.Refresh(t.Context()))
		is.True(table.ListComplete(time.Now()))
		s.Restore(older)
		is.NoErr(p.Refresh(t.Context()))
		is.True(!table.ListComplete(time.Now()))
		is.Equal(len(table.UsableMembers("g")), 2)
		put(t, s, "targets/b", "g")
		time.Sleep(4 * time.Second)
		is.NoErr(p.Refresh(t.Context()))
		is.True(table.ListComplete(time.Now()))
		is.Equal(len(table.UsableMembers("g")), 2)

		e, err := s.Get(t.Context(), "targets/b")
		is.NoErr(err)
		_, err = s.Delete(t.Context(), "targets/b", e.Revision)
		is.NoErr(err)
		is.NoErr(p.Refresh(t.Context()))
		is.Equal(len(table.UsableMembers("g")), 1)
		relayed = former
		p.List = func(context.Context, string, bool) ([]store.Entry, time.Time, error) { return relayed, time.Now(), nil }
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx)
		time.Sleep(5 * time.Second)
		is.Equal(len(table.UsableMembers("g")), 1)
		cancel()
		synctest.Wait()
	})
}
