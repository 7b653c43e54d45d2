package follow

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// chain is a fleet in which VM 0 watches the store, VM 1 learns of versions from VM 0
// and all others from VM 1. Each VM has a store of its own contents, so that a test
// sees which VM called it and can cut one off.
type chain struct {
	stores []*linktest.Store
	vms    []*Follower
	net    network
	// paused is how far the VMs' clocks are ahead of the bubble's.
	paused atomic.Int64
	// readersGone makes the readers not answer.
	readersGone atomic.Bool
}

func runChain(t *testing.T, n int, f func(*is.I, *chain)) {
	synctest.Test(t, func(t *testing.T) {
		c := &chain{net: network{}}
		var all addresses
		for i := range n {
			all = append(all, fmt.Sprint(i))
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{}, n)
		for i := range n {
			s := &linktest.Store{}
			readers := []string{"1"}
			switch i {
			case 0:
				readers = nil
			case 1:
				readers = []string{"0"}
			}
			v := New(Config{
				Store: s, Key: "catalogue", Decode: decode, VM: ident.VM(all[i]), Fleet: all, Peers: c.net,
				Readers: func() ([]string, bool) {
					if len(readers) > 0 && c.readersGone.Load() {
						return []string{"nobody"}, true
					}
					return readers, true
				},
				EvacuateWithin: 5 * time.Second, EvacuatePrefix: "evacuate/",
				Clock: func() time.Time { return time.Now().Add(time.Duration(c.paused.Load())) },
			})
			c.net[all[i]] = v
			c.stores, c.vms = append(c.stores, s), append(c.vms, v)
		}
		for _, v := range c.vms {
			go func() { v.Run(ctx); done <- struct{}{} }()
		}
		f(is.New(t), c)
		cancel()
		for range c.vms {
			<-done
		}
	})
}

// put writes a version to the stores of all VMs but those in except.
func (c *chain) put(is *is.I, version string, except ...int) {
	is.Helper()
	for i, s := range c.stores {
		if !slices.Contains(except, i) {
			put(is, s, version)
		}
	}
}

// calls returns the calls that VM i made to the store.
func (c *chain) calls(i int) int { return c.stores[i].CallCount() }

// TestReaders guards against calls to the store by VMs that learn of versions from
// readers, and against versions that reach them late.
func TestReaders(t *testing.T) {
	runChain(t, 6, func(is *is.I, c *chain) {
		time.Sleep(firstReadDelay + time.Second) // there is no version that readers could send
		before := make([]int, len(c.vms))
		for i := range c.vms {
			before[i] = c.calls(i)
		}
		c.put(is, "3")
		time.Sleep(2 * time.Second)
		for _, v := range c.vms {
			is.Equal(v.Version(), ident.Version(3))
		}
		time.Sleep(30 * time.Second)
		const putCalls = 2
		for i := 1; i < len(c.vms); i++ {
			is.Equal(c.calls(i)-before[i], putCalls)
		}
	})
}

// TestReaderStale guards against a VM that stays at an old version because the readers
// that it asks answer, but have lost the store.
func TestReaderStale(t *testing.T) {
	runChain(t, 6, func(is *is.I, c *chain) {
		time.Sleep(3 * time.Second)
		c.stores[0].SetDown(true)
		time.Sleep(time.Second)
		c.put(is, "3", 0)
		time.Sleep(maxUnconfirmedAge + time.Second)
		for _, v := range c.vms[1:] {
			is.Equal(v.Version(), ident.Version(3))
		}
	})
}

// TestReadersFrozen guards against a VM that stays at an old version because its
// readers do not answer, while the store does.
func TestReadersFrozen(t *testing.T) {
	runChain(t, 6, func(is *is.I, c *chain) {
		time.Sleep(3 * time.Second)
		c.net.remove("0", "1")
		c.put(is, "3")
		time.Sleep(maxUnconfirmedAge + time.Second)
		for _, v := range c.vms[2:] {
			is.Equal(v.Version(), ident.Version(3))
		}
	})
}

// TestStoreAway guards against calls to a store that is away by every VM of the fleet
// in short succession.
func TestStoreAway(t *testing.T) {
	runChain(t, 6, func(is *is.I, c *chain) {
		time.Sleep(firstReadDelay + time.Second) // there is no version that readers could send
		for _, s := range c.stores {
			s.SetDown(true)
		}
		before := c.calls(3)
		time.Sleep(60 * time.Second)
		is.True(c.calls(3)-before <= 10)
		for _, s := range c.stores {
			s.SetDown(false)
		}
		c.put(is, "3")
		time.Sleep(3 * time.Second)
		is.Equal(c.vms[3].Version(), ident.Version(3))
	})
}

// TestOlderVersion guards against an older version in the store, which was restored from
// a copy, that is taken for a confirmation of the one in force: a newer one, which the
// store has lost too, would not be looked for.
func TestOlderVersion(t *testing.T) {
	runChain(t, 3, func(is *is.I, c *chain) {
		c.put(is, "3")
		time.Sleep(3 * time.Second)
		older := c.stores[0].Copy()
		c.put(is, "5")
		time.Sleep(3 * time.Second)
		reply, err := c.vms[0].PushCatalogue(context.Background(), &peerpb.PushCatalogueRequest{Version: 5})
		is.NoErr(err)
		is.True(time.Duration(reply.GetConfirmedAgeMs())*time.Millisecond < maxUnconfirmedAge)
		for _, s := range c.stores {
			s.Restore(older)
		}
		before := c.calls(2)
		time.Sleep(3 * maxUnconfirmedAge)
		for _, v := range c.vms {
			is.Equal(v.Version(), ident.Version(5))
			reply, err := v.PushCatalogue(context.Background(), &peerpb.PushCatalogueRequest{Version: 5})
			is.NoErr(err)
			is.True(time.Duration(reply.GetConfirmedAgeMs())*time.Millisecond > 2*maxUnconfirmedAge)
		}
		is.True(c.calls(2)-before <= 4) // own reads while nothing is confirmed
		c.put(is, "9")
		time.Sleep(3 * time.Second)
		for _, v := range c.vms {
			is.Equal(v.Version(), ident.Version(9))
		}
	})
}

// TestFanout guards against a VM that had to read a version itself and does not pass it on,
// against one that is content with an answer which confirms nothing, and against messages
// to random VMs while readers do their work.
func TestFanout(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := New(Config{Clock: func() time.Time { return now }, Readers: func() ([]string, bool) { return []string{"1"}, true }})
	f.Apply(&catal.Catalogue{Version: 5}, "1")
	is.Equal(f.fanout(false), unconfirmedFanout)
	f.confirm(5, proof{at: now, from: "1"})
	is.Equal(f.fanout(false), 0)
	is.Equal(f.fanout(true), 0)
	now = now.Add(maxAnswerAge + time.Millisecond)
	is.Equal(f.fanout(false), unconfirmedFanout)
	f.recordStoreVersion(5)
	f.confirmFromStore(now, 0)
	is.Equal(f.fanout(false), 0)
	is.Equal(f.fanout(true), gossipFanout)
}

// TestWideningSearch guards against a VM that draws the same few VMs again and again while
// one that knows a newer version is never asked, and against a number of calls that grows
// without an end while nobody can confirm a version.
func TestWideningSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var all addresses
		for i := range 20 {
			all = append(all, strconv.Itoa(i))
		}
		f := New(Config{Fleet: all, Peers: ageing{}, Readers: func() ([]string, bool) { return []string{"r"}, true }})
		f.Apply(&catal.Catalogue{Version: 5}, "r")
		asked := map[string]bool{}
		for _, want := range []int{2, 4, 8, 6} {
			next := f.randomVMs(f.fanout(false))
			next = next[:min(want, len(next))]
			is.Equal(len(next), want)
			for _, address := range next {
				is.True(!asked[address])
				asked[address] = true
				is.True(!f.compare(t.Context(), address)) // age 0 confirms nothing
			}
			f.failedRounds.Add(1)
		}
		f.failedRounds.Store(1 << 30)
		is.Equal(f.fanout(false), unconfirmedFanout<<maxFanoutDoublings)
	})
}

// TestRoundAfterOwnRead guards against a round that asks nobody because an own read of the
// store has just confirmed the version after rounds that failed.
func TestRoundAfterOwnRead(t *testing.T) {
	is := is.New(t)
	reader := New(Config{Fleet: addresses{}})
	reader.Apply(&catal.Catalogue{Version: 6}, "peer")
	f := New(Config{Fleet: addresses{}, Peers: network{"r": reader}, Readers: func() ([]string, bool) { return []string{"r"}, true }})
	f.Apply(&catal.Catalogue{Version: 5}, FromStore)
	f.failedRounds.Store(3)
	f.recordStoreVersion(5)
	f.confirmFromStore(time.Now(), 0)
	f.compareRound(t.Context(), false)
	is.Equal(f.Version(), ident.Version(6))
}

// TestAwaitConfirmation guards against a caller that is refused by a version which has not
// been confirmed for long, while another VM knows a newer one, and against callers that wait
// one after the other while nobody does.
func TestAwaitConfirmation(t *testing.T) {
	runChain(t, 4, func(is *is.I, c *chain) {
		c.put(is, "3")
		time.Sleep(3 * time.Second)
		behind := c.vms[3]
		is.True(!behind.AwaitConfirmation()) // confirmed a moment ago
		for _, s := range c.stores {
			s.SetDown(true)
		}
		time.Sleep(2 * defaultWithin)
		start := time.Now()
		is.True(behind.AwaitConfirmation())
		is.True(time.Since(start) >= confirmTimeout)
		is.True(!behind.AwaitConfirmation())
		time.Sleep(confirmPause)
		is.Equal(behind.Version(), ident.Version(3))
		c.stores[0].SetDown(false)
		put(is, c.stores[0], "4")
		c.vms[0].Apply(&catal.Catalogue{Version: 4}, FromStore)
		c.vms[0].recordStoreVersion(4)
		c.vms[0].confirmFromStore(time.Now(), 0)
		is.True(behind.AwaitConfirmation())
		is.Equal(behind.Version(), ident.Version(4))
	})
}

// TestSilentWatch guards against a VM that watches the store and notices only by the timeout
// of its watch that the store has gone silent for it, while others know a newer version.
func TestSilentWatch(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := New(Config{Clock: func() time.Time { return now }, WatchTimeout: func() time.Duration { return 3 * time.Second }})
	f.setStoreUp(nil)
	f.Apply(&catal.Catalogue{Version: 5}, FromStore)
	f.recordStoreVersion(5)
	f.confirmFromStore(now, 0)
	is.Equal(f.fanout(false), 1)
	now = now.Add(3 * time.Second)
	is.Equal(f.fanout(false), 1)
	now = now.Add(answerMargin + time.Millisecond)
	is.Equal(f.fanout(false), unconfirmedFanout)
}

// TestUnansweredLast guards against VMs that do not answer and are asked again before
// others.
func TestUnansweredLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := addresses{"1", "2", "3"}
		f := New(Config{Fleet: all, Peers: network{}, Readers: func() ([]string, bool) { return all, true }})
		f.reader = "2"
		is.Equal(f.rankReaders(), []string{"2", "1", "3"})
		f.compare(t.Context(), "2")
		is.Equal(f.rankReaders(), []string{"2", "1", "3"}) // there was no connection for a call to fail
		f.avoid.Add("2", avoidPeriod)
		f.avoid.Add("1", avoidPeriod)
		is.Equal(f.rankReaders(), []string{"3", "1", "2"})
		for range 20 {
			is.Equal(f.randomVMs(1), []string{"3"})
		}
		time.Sleep(avoidPeriod)
		is.Equal(f.rankReaders(), []string{"2", "1", "3"})
	})
}

// ageing is a VM that answers each comparison with an age.
type ageing struct {
	peerpb.PeerClient
	age uint64
}

func (a ageing) Client(string) (peerpb.PeerClient, error) { return a, nil }

func (a ageing) PushCatalogue(context.Context, *peerpb.PushCatalogueRequest, ...grpc.CallOption) (*peerpb.PushCatalogueReply, error) {
	return &peerpb.PushCatalogueReply{Version: 5, ConfirmedAgeMs: a.age}, nil
}

// TestImpossibleAge guards against an age from another VM that is so large that it overflows
// to a new confirmation.
func TestImpossibleAge(t *testing.T) {
	is := is.New(t)
	for _, age := range []uint64{math.MaxUint64, math.MaxInt64, 18446744073710, 36893488147420} {
		f := New(Config{Peers: ageing{age: age}})
		f.Apply(&catal.Catalogue{Version: 5}, FromStore)
		is.True(!f.compare(t.Context(), "1"))
		is.Equal(f.Confirmation().From, "")
	}
}

// TestCompared guards against a starting VM that counts its version as checked by another one
// which has none, or an older one.
func TestCompared(t *testing.T) {
	is := is.New(t)
	other := New(Config{})
	f := New(Config{Peers: network{"1": other}})
	f.compare(t.Context(), "1")
	is.True(!f.Compared())
	f.Apply(&catal.Catalogue{Version: 5}, FromStore)
	other.Apply(&catal.Catalogue{Version: 4}, FromStore)
	f.compare(t.Context(), "1")
	is.True(!f.Compared())
	other.Apply(&catal.Catalogue{Version: 6}, FromStore)
	f.compare(t.Context(), "1")
	is.True(f.Compared())
	is.Equal(f.Version(), ident.Version(6))
}

// TestNewerCaller guards against a VM that hears of a newer version from a VM which compares
// with it, and looks for that version only at its own readers, which do not have it.
func TestNewerCaller(t *testing.T) {
	runChain(t, 6, func(is *is.I, c *chain) {
		c.put(is, "3")
		time.Sleep(3 * time.Second)
		c.vms[5].Apply(&catal.Catalogue{Version: 5}, "peer")
		time.Sleep(time.Second)
		is.Equal(c.vms[1].Version(), ident.Version(5)) // the reader that VM 5 compares with
		is.Equal(c.vms[0].Version(), ident.Version(5)) // the reader of that
	})
}

// TestUnlistedCaller guards against a VM that hears of a newer version from a VM which its
// own list of VMs lacks, and does not ask that VM for it.
func TestUnlistedCaller(t *testing.T) {
	is := is.New(t)
	f := New(Config{Fleet: addresses{}})
	f.Apply(&catal.Catalogue{Version: 5}, "peer")
	_, err := f.PushCatalogue(t.Context(), &peerpb.PushCatalogueRequest{Version: 6, Vm: "b", Address: "10.0.0.2:1"})
	is.NoErr(err)
	is.Equal(f.takeAhead(), "10.0.0.2:1")
	is.Equal(f.takeAhead(), "")
}

// TestConfirmedVersion guards against the word of a VM about an older version that
// confirms a newer one.
func TestConfirmedVersion(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := New(Config{Clock: func() time.Time { return now }})
	f.Apply(&catal.Catalogue{Version: 5}, "peer")
	f.confirm(4, proof{at: now, from: "peer"})
	is.True(f.confirmedAt.IsZero())
	f.confirm(5, proof{at: now, from: "peer"})
	is.Equal(f.confirmedAt, now)
}

// TestOlderLogged guards against operators who are told that the store has lost a version
// when only an event of it came late, and against a lost version that is not logged.
func TestOlderLogged(t *testing.T) {
	is := is.New(t)
	s := &linktest.Store{}
	var log bytes.Buffer
	f := New(Config{Store: s, Key: "catalogue", Decode: decode, Log: zerolog.New(&log)})
	put(is, s, "3")
	older := s.Copy()
	late, err := s.Get(t.Context(), "catalogue")
	is.NoErr(err)
	put(is, s, "5")
	f.Apply(&catal.Catalogue{Version: 5}, "peer")
	f.applyEntry(late, 0)
	_, err = f.readStore(t.Context())
	is.NoErr(err)
	is.Equal(strings.Count(log.String(), "catalogue_older"), 0)
	s.Restore(older)
	for range 2 {
		_, err = f.readStore(t.Context())
		is.NoErr(err)
	}
	is.Equal(strings.Count(log.String(), "catalogue_older"), 1)
}

// TestUnconfirmedReported guards against a VM that goes on with a version which it has not
// heard to be the newest for long, without a line that tells so, and against such a line at
// every comparison.
func TestUnconfirmedReported(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	now := time.Now()
	f := New(Config{Within: 6 * time.Second, Clock: func() time.Time { return now }, Log: zerolog.New(&log)})
	f.Apply(&catal.Catalogue{Version: 5}, "peer")
	f.reportUnconfirmed()
	f.confirm(5, proof{at: now, from: "10.0.0.1:1"})
	now = now.Add(4 * time.Second)
	f.reportUnconfirmed()
	is.True(!strings.Contains(log.String(), "confirmed_by"))
	now = now.Add(time.Second)
	f.reportUnconfirmed()
	f.reportUnconfirmed()
	is.Equal(strings.Count(log.String(), "catalogue_unconfirmed"), 1)
	is.True(strings.Contains(log.String(), `"age":5000,"confirmed_by":"10.0.0.1:1"`))
	is.Equal(f.Confirmation(), Confirmation{Version: 5, Age: 5 * time.Second, From: "10.0.0.1:1"})
	f.confirm(5, proof{at: now, from: FromStore})
	f.reportUnconfirmed()
	is.Equal(strings.Count(log.String(), "catalogue_confirmed"), 1)
}
