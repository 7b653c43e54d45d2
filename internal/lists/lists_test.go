package lists_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/internal/lists"
	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/usage"
	"chervilspan.example/pkg/store"
)

// storeWithKey returns a store that holds one key.
func storeWithKey(t *testing.T) *linktest.Store {
	t.Helper()
	s := &linktest.Store{}
	if _, err := s.Put(t.Context(), store.Write{Key: "targets/a", Value: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	return s
}

// setupCalls is the number of calls that storeWithKey makes to a store.
const setupCalls = 1

// clock is the readers' clock, which tests advance.
type clock struct {
	mu     sync.Mutex
	offset time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// serveReader starts a reader of a store and returns its address.
func serveReader(t *testing.T, s store.Store, c *clock) string {
	t.Helper()
	r := lists.New(lists.Config{Store: s, Readers: func() []string { return nil }, Clock: c.now})
	address, _ := linktest.ServePeer(t, peer.Handlers{ListReader: r})
	return address
}

// asker returns a Reader that asks the given readers before its own store.
func asker(t *testing.T, s store.Store, readers ...string) *lists.Reader {
	t.Helper()
	cache := peer.NewCache(peer.CacheConfig{AllowPlaintext: true})
	t.Cleanup(cache.Close)
	return lists.New(lists.Config{Store: s, Peers: cache, Readers: func() []string { return readers }})
}

// TestOneRead guards against a number of calls to the store that grows with the
// number of VMs.
func TestOneRead(t *testing.T) {
	is := is.New(t)
	readerStore, ownStore := storeWithKey(t), storeWithKey(t)
	address := serveReader(t, readerStore, &clock{})
	for range 10 {
		entries, _, err := asker(t, ownStore, address).List(t.Context(), "targets/", true)
		is.NoErr(err)
		is.Equal(len(entries), 1)
		is.Equal(entries[0].Value, []byte("x"))
	}
	is.Equal(readerStore.CallCount()-setupCalls, 1)
	is.Equal(ownStore.CallCount()-setupCalls, 0)
}

// TestChain guards against readers of zones that read the store themselves, against
// VMs that ask each other without end, and against a list that ages on its way
// without being reported so.
func TestChain(t *testing.T) {
	is := is.New(t)
	regionStore, zoneStore, own := storeWithKey(t), storeWithKey(t), storeWithKey(t)
	c := &clock{}
	region := serveReader(t, regionStore, c)
	zone := asker(t, zoneStore, region)
	address, _ := linktest.ServePeer(t, peer.Handlers{ListReader: zone})
	r := asker(t, own, address)
	for range 5 {
		_, _, err := r.List(t.Context(), "targets/", true)
		is.NoErr(err)
	}
	is.Equal(regionStore.CallCount()-setupCalls, 1)
	is.Equal(zoneStore.CallCount()+own.CallCount()-2*setupCalls, 0)
	c.advance(700 * time.Millisecond)
	_, at, err := asker(t, own, address).List(t.Context(), "targets/", false)
	is.NoErr(err)
	is.True(time.Since(at) < 500*time.Millisecond)

	var first, second string
	loop := func(s store.Store, next *string) string {
		cache := peer.NewCache(peer.CacheConfig{AllowPlaintext: true})
		t.Cleanup(cache.Close)
		r := lists.New(lists.Config{Store: s, Peers: cache, Readers: func() []string { return []string{*next} }})
		address, _ := linktest.ServePeer(t, peer.Handlers{ListReader: r})
		return address
	}
	first = loop(storeWithKey(t), &second)
	second = loop(storeWithKey(t), &first)
	begin := time.Now()
	_, _, err = asker(t, own, first).List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.True(time.Since(begin) < 350*time.Millisecond) // no timeout of a reader
}

// TestUnchanged guards against a list that is sent or decoded again although it has
// not changed, and against one that is kept although it has.
func TestUnchanged(t *testing.T) {
	is := is.New(t)
	s := storeWithKey(t)
	c := &clock{}
	r := asker(t, storeWithKey(t), serveReader(t, s, c))
	before, _, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	c.advance(time.Minute)
	same, _, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.True(&same[0] == &before[0])
	_, err = s.Put(t.Context(), store.Write{Key: "targets/b", Value: []byte("y")})
	is.NoErr(err)
	c.advance(time.Minute)
	changed, _, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.Equal(len(changed), 2)
}

// TestUnchangedAtNextReader guards against a list that is sent again, and its values
// decoded, because another reader returned it than the time before.
func TestUnchangedAtNextReader(t *testing.T) {
	is := is.New(t)
	s, c := storeWithKey(t), &clock{}
	reader := lists.New(lists.Config{Store: s, Readers: func() []string { return nil }, Clock: c.now})
	first, stop := linktest.ServePeer(t, peer.Handlers{ListReader: reader})
	r := asker(t, storeWithKey(t), first, serveReader(t, s, c))
	before, _, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	stop()
	same, _, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.True(&same[0] == &before[0])
}

// TestAge guards against a cached list that is reported as newer than it is, also
// after a suspension of the reader's machine, and against one that never expires.
func TestAge(t *testing.T) {
	is := is.New(t)
	readerStore := storeWithKey(t)
	c := &clock{}
	r := asker(t, storeWithKey(t), serveReader(t, readerStore, c))
	_, _, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	c.advance(600 * time.Millisecond)
	_, at, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.True(time.Since(at) >= 600*time.Millisecond)
	is.Equal(readerStore.CallCount()-setupCalls, 1)
	c.advance(5 * time.Second)
	_, at, err = r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.True(time.Since(at) < 500*time.Millisecond)
	is.Equal(readerStore.CallCount()-setupCalls, 2)
}

// TestReaderFails guards against a VM that gets no list because its reader is
// unreachable or fails to read the store.
func TestReaderFails(t *testing.T) {
	is := is.New(t)
	first, second, own := storeWithKey(t), storeWithKey(t), storeWithKey(t)
	first.SetDown(true)
	c := &clock{}
	r := asker(t, own, "127.0.0.1:1", serveReader(t, first, c), serveReader(t, second, c))
	_, _, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.Equal(second.CallCount()-setupCalls, 1)
	second.SetDown(true)
	c.advance(time.Minute)
	_, _, err = r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.Equal(own.CallCount()-setupCalls, 1)
	is.Equal(first.CallCount()-setupCalls, 1) // not asked again within avoidPeriod
}

// TestLargeList guards against a list of many entries that is sent as it is: the VMs of a
// zone ask the same reader, and give up after readerTimeout whatever its link can carry.
func TestLargeList(t *testing.T) {
	is := is.New(t)
	const entries = 1100
	s := &linktest.Store{}
	size := 0
	for i := range entries {
		id := fmt.Sprintf("i-%08x", rand.Uint32())
		value := fmt.Sprintf(`{"Service":"service-%d","Address":"10.%d.%d.%d:8643","Zone":"zone-%d","Version":"v1","Capacity":5,"State":"ready","ColdLeftMs":0,"DbRole":"replica","Sequence":%d,"born":%d}`,
			i/3, rand.N(250), rand.N(250), rand.N(250), i%6, rand.N(1000), 1_770_000_000_000+rand.N(1_000_000_000))
		size += len(id) + len(value)
		_, err := s.Put(t.Context(), store.Write{Key: "targets/" + id, Value: []byte(value)})
		is.NoErr(err)
	}
	table := usage.New(usage.Place{})
	cache := peer.NewCache(peer.CacheConfig{AllowPlaintext: true, Usage: table})
	defer cache.Close()
	reader := serveReader(t, s, &clock{})
	r := lists.New(lists.Config{Store: &linktest.Store{}, Peers: cache, Readers: func() []string { return []string{reader} }})
	got, _, err := r.List(t.Context(), "targets/", true)
	is.NoErr(err)
	is.Equal(len(got), entries)
	var sent uint64
	for _, row := range table.Rows() {
		if row.Mechanism == usage.Peers {
			sent += row.Bytes
		}
	}
	is.True(sent > 0)
	if sent > uint64(size/3) {
		t.Errorf("%d bytes were sent for a list of %d", sent, size)
	}
}
