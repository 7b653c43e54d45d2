package follow

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
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
