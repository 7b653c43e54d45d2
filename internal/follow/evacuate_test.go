package follow

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/store"
)

// order writes or deletes the order to evacuate zone z in a store.
func order(is *is.I, s *linktest.Store, evacuate bool) {
	is.Helper()
	e, err := s.Get(context.Background(), "evacuate/z")
	is.NoErr(err)
	if evacuate {
		_, err = s.Put(context.Background(), store.Write{Key: "evacuate/z", Value: []byte("?"), Expected: e.Revision})
	} else {
		_, err = s.Delete(context.Background(), "evacuate/z", e.Revision)
	}
	is.NoErr(err)
}

// knowing returns the number of VMs at which the zone has a status.
func (c *chain) knowing(want place.Status) int {
	n := 0
	for _, v := range c.vms {
		if v.EvacuationView().Status("z", v.cfg.Clock()) == want {
			n++
		}
	}
	return n
}

// TestEvacuationSpreads guards against an order that does not reach VMs in time which
// learn from readers or which the store rejects, against an end that is lost or undone by
// VMs that still know the order, and against an order that a VM forgets in a store outage.
func TestEvacuationSpreads(t *testing.T) {
	runChain(t, 6, func(is *is.I, c *chain) {
		c.put(is, "3")
		time.Sleep(3 * time.Second)
		for _, s := range c.stores[1:] {
			s.SetDown(true)
		}
		is.Equal(c.vms[5].evacuationMessage(), nil)
		order(is, c.stores[0], true)
		time.Sleep(2 * time.Second)
		is.Equal(c.knowing(place.InService), 0)
		time.Sleep(3 * time.Second)
		is.Equal(c.knowing(place.Closed), 6)
		c.stores[0].SetDown(true)
		time.Sleep(time.Minute)
		is.Equal(c.knowing(place.Closed), 6)
		c.stores[0].SetDown(false)
		time.Sleep(5 * time.Second)
		order(is, c.stores[0], false)
		time.Sleep(3 * time.Second)
		is.Equal(c.knowing(place.InService), 6)
		time.Sleep(time.Minute)
		is.Equal(c.knowing(place.InService), 6)
	})
}

// TestEvacuationRestored guards against an order that a restored store no longer has, but
// that VMs keep.
func TestEvacuationRestored(t *testing.T) {
	runChain(t, 1, func(is *is.I, c *chain) {
		c.put(is, "3")
		before := c.stores[0].Copy()
		order(is, c.stores[0], true)
		time.Sleep(5 * time.Second)
		is.Equal(c.knowing(place.Closed), 1)
		c.stores[0].Restore(before)
		time.Sleep(5 * time.Second)
		is.Equal(c.knowing(place.InService), 1)
	})
}

// TestEvacuationAfterPause guards against a VM that was frozen while an evacuation came
// into force and sends a statement on what it knew before.
func TestEvacuationAfterPause(t *testing.T) {
	runChain(t, 3, func(is *is.I, c *chain) {
		c.put(is, "3")
		time.Sleep(3 * time.Second)
		order(is, c.stores[2], true)
		is.Equal(c.vms[2].ZoneStatus("z"), place.InService)
		c.paused.Store(int64(time.Minute))
		is.Equal(c.vms[2].ZoneStatus("z"), place.Closed)
		c.stores[2].SetDown(true)
		time.Sleep(time.Second)
		c.paused.Store(int64(2 * time.Minute))
		began := time.Now()
		is.Equal(c.vms[2].ZoneStatus("z"), place.Closed)
		is.True(time.Since(began) <= callTimeout)
	})
}

// TestEvacuationOff guards against calls for evacuations where they are not followed.
func TestEvacuationOff(t *testing.T) {
	is := is.New(t)
	f := New(Config{Key: "op/config", EvacuatePrefix: "op/evacuate/"})
	is.Equal(f.watchPrefix(), "op/config")
	is.Equal(f.ZoneStatus("z"), place.InService)
	f.cfg.EvacuateWithin = time.Second
	is.Equal(f.watchPrefix(), "op/")
}

// TestEvacuationInForce guards against VMs in contact with the store at which a zone is
// still in use when the allowed time has passed, because the readers that they ask are
// gone, or answer but have lost the store. The order is given at several times, since
// confirmations are made at intervals.
func TestEvacuationInForce(t *testing.T) {
	for _, lost := range []string{"reader", "store"} {
		for delay := time.Duration(0); delay < time.Second; delay += 150 * time.Millisecond {
			runChain(t, 6, func(is *is.I, c *chain) {
				c.put(is, "3")
				time.Sleep(8*time.Second + delay)
				want := len(c.vms)
				if lost == "reader" {
					c.readersGone.Store(true)
				} else {
					c.stores[0].SetDown(true)
					want-- // VM 0 is not in contact with the store
				}
				for i, s := range c.stores {
					if lost != "store" || i > 0 {
						order(is, s, true)
					}
				}
				time.Sleep(5 * time.Second)
				is.True(c.knowing(place.Closed) >= want)
			})
		}
	}
}
