package follow

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// pollingStore is a store with history, which counts the reads of whole documents.
type pollingStore struct {
	*linktest.Store
	reads int
	// compacted makes it forget its history.
	compacted bool
}

func (s *pollingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	s.reads++
	return s.Store.Get(ctx, key)
}

// Poll implements store.Poller.
func (s *pollingStore) Poll(ctx context.Context, prefix string, from store.Revision, f func(store.Event)) error {
	if s.compacted {
		return &store.Error{Op: "watch", Key: prefix, Kind: store.KindCompacted}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = s.Watch(ctx, prefix, from, func(ev store.Event) {
		from = max(from, ev.Entry.Revision)
		if ev.Progress {
			ev.Entry.StoreRevision = from
			cancel()
		}
		f(ev)
	})
	return nil
}

// TestPollInPlaceOfRead guards against a whole document being read to learn that it has not
// changed, and against a change or lost history that the poll doesn't show.
func TestPollInPlaceOfRead(t *testing.T) {
	is := is.New(t)
	s := &pollingStore{Store: &linktest.Store{}}
	put(is, s.Store, "5")
	f := New(Config{Store: s, Key: "catalogue", Decode: decode})
	read := func(version ident.Version, reads int) {
		t.Helper()
		begun := time.Now()
		rev, err := f.readStore(t.Context())
		is.NoErr(err)
		is.True(rev > 0)
		is.Equal(f.Version(), version)
		is.Equal(s.reads, reads)
		is.Equal(f.Confirmation().From, FromStore)
		is.True(!f.confirmedAt.Before(begun))
	}
	read(5, 1)
	read(5, 1)
	put(is, s.Store, "6")
	reads := s.reads
	read(6, reads)
	read(6, reads)
	s.compacted = true
	read(6, reads+1)
}

// TestPollByOthersRevision guards against a VM that never read the store itself, and reads
// the whole document although another VM has told as of which revision its version is the
// newest; and against a version of which no such revision is known being confirmed.
func TestPollByOthersRevision(t *testing.T) {
	is := is.New(t)
	s := &pollingStore{Store: &linktest.Store{}}
	put(is, s.Store, "5")
	reader := New(Config{Store: s, Key: "catalogue", Decode: decode})
	_, err := reader.readStore(t.Context())
	is.NoErr(err)
	f := New(Config{Store: s, Key: "catalogue", Decode: decode, Peers: network{"reader": reader}})
	is.True(f.compare(t.Context(), "reader"))
	reads := s.reads
	_, err = f.readStore(t.Context())
	is.NoErr(err)
	is.Equal(s.reads, reads)
	f.Apply(&catal.Catalogue{Version: 7}, "other")
	_, err = f.readStore(t.Context())
	is.NoErr(err)
	is.Equal(s.reads, reads+1)
	r, err := f.PushCatalogue(t.Context(), &peerpb.PushCatalogueRequest{Version: 7})
	is.NoErr(err)
	is.Equal(r.GetStoreRevision(), int64(0))
}

// hangingStore is a store whose answers come for as long as the caller waits.
type hangingStore struct{ store.Store }

func (hangingStore) Get(ctx context.Context, _ string) (store.Entry, error) {
	if store.AnswerTimeout(ctx) != callTimeout {
		return store.Entry{}, errors.New("an answer that doesn't begin is awaited too long")
	}
	<-ctx.Done()
	return store.Entry{}, ctx.Err()
}

// TestSupersededRead guards against a read of a large document that goes on, and takes the
// capacity of the link, when another VM has sent the version.
func TestSupersededRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Config{Store: hangingStore{}, Key: "catalogue", Decode: decode})
		begun := time.Now()
		time.AfterFunc(time.Second, func() { f.Apply(&catal.Catalogue{Version: 5}, "reader") })
		_, err := f.readStore(t.Context())
		is.Equal(err, errSuperseded)
		is.Equal(time.Since(begun), time.Second)
		_, err = f.readStore(t.Context())
		is.Equal(err, context.DeadlineExceeded)
		is.Equal(time.Since(begun), time.Second+readTimeout)
	})
}

// largeStore has a large document, of which it counts the whole answers.
type largeStore struct {
	store.Store
	whole int
}

func (s *largeStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if store.MaxAnswer(ctx) > 0 {
		return store.Entry{}, &store.Error{Op: "get", Key: key, Kind: store.KindTooLarge}
	}
	s.whole++
	return store.Entry{Key: key, Value: []byte("7"), Revision: 7}, nil
}

// TestLargeReadLeftToOthers guards against a large document being read by all VMs at once
// where one of them can send it, and against a VM to which none sends it and that waits
// longer than the bound allows.
func TestLargeReadLeftToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &largeStore{}
		readers := func() ([]string, bool) { return []string{"reader"}, true }
		f := New(Config{Store: s, Key: "catalogue", Decode: decode, Readers: readers, Within: budget})
		time.AfterFunc(time.Second, func() { f.Apply(&catal.Catalogue{Version: 7}, "reader") })
		_, err := f.readStore(t.Context())
		is.Equal(err, errSuperseded)
		is.Equal(s.whole, 0)
		f = New(Config{Store: s, Key: "catalogue", Decode: decode, Readers: readers, Within: budget})
		begun := time.Now()
		_, err = f.readStore(t.Context())
		is.NoErr(err)
		is.Equal(s.whole, 1)
		is.Equal(f.Version(), ident.Version(7))
		is.Equal(time.Since(begun), maxLargeReadDelay)
		f.confirmedAt = time.Now().Add(-budget)
		f.started = f.confirmedAt
		is.Equal(f.largeReadDelay(), time.Duration(0))
	})
}
