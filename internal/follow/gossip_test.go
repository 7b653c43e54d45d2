package follow

import (
	"context"
	"math"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

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
