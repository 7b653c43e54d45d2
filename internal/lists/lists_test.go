package lists_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/internal/lists"
	"chervilspan.example/internal/peer"
	"chervilspan.example/pkg/store"
)

// listed returns a store with one key.
func listed(t *testing.T) *linktest.Store {
	t.Helper()
	s := &linktest.Store{}
	if _, err := s.Put(t.Context(), store.Write{Key: "targets/a", Value: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	return s
}

// written is the number of calls of a store that nobody has read.
const written = 1

// clock is that of the readers, which tests advance.
type clock struct {
	mu  sync.Mutex
	off time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.off)
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off += d
}

// serve starts a reader with a store of its own and returns its address.
func serve(t *testing.T, s store.Store, c *clock) string {
	t.Helper()
	r := lists.New(lists.Config{Store: s, Readers: func() []string { return nil }, Clock: c.now})
	address, _ := linktest.ServePeer(t, peer.Handlers{Lists: r})
	return address
}

func asker(t *testing.T, s store.Store, readers ...string) *lists.Reader {
	t.Helper()
	cache := peer.NewCache(peer.CacheConfig{Private: true})
	t.Cleanup(cache.Close)
	return lists.New(lists.Config{Store: s, Peers: cache, Readers: func() []string { return readers }})
}

// TestOneRead guards against calls to the store that grow with the number of
// VMs.
func TestOneRead(t *testing.T) {
	is := is.New(t)
	read, own := listed(t), listed(t)
	address := serve(t, read, &clock{})
	for range 10 {
		entries, _, err := asker(t, own, address).List(t.Context(), "targets/", true)
		is.NoErr(err)
		is.Equal(len(entries), 1)
		is.Equal(entries[0].Value, []byte("x"))
	}
	is.Equal(read.Calls()-written, 1)
	is.Equal(own.Calls()-written, 0)
}

// TestAge guards against a list that counts as new although the reader has had
// it for some time or was suspended, and against one that is never read again.
func TestAge(t *testing.T) {
	is := is.New(t)
	read := listed(t)
	c := &clock{}
	r := asker(t, listed(t), serve(t, read, c))
	_, _, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	c.advance(600 * time.Millisecond)
	_, at, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.True(time.Since(at) >= 600*time.Millisecond)
	is.Equal(read.Calls()-written, 1)
	c.advance(5 * time.Second)
	_, at, err = r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.True(time.Since(at) < 500*time.Millisecond)
	is.Equal(read.Calls()-written, 2)
}

// TestTurnedAway guards against a VM that learns nothing because its reader is
// dead or turned away by the store.
func TestTurnedAway(t *testing.T) {
	is := is.New(t)
	first, second, own := listed(t), listed(t), listed(t)
	first.SetDown(true)
	c := &clock{}
	r := asker(t, own, "127.0.0.1:1", serve(t, first, c), serve(t, second, c))
	_, _, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.Equal(second.Calls()-written, 1)
	second.SetDown(true)
	c.advance(time.Minute)
	_, _, err = r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.Equal(own.Calls()-written, 1)
	is.Equal(first.Calls()-written, 1) // passed over after its failure
}
