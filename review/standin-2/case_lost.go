package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// lostWriters is the number of consumers that write.
	lostWriters = 8
	// meanPause is the mean time between an answer and the next write.
	meanPause = 20 * time.Millisecond
	// primaryDownTime is how long the primary is down after its crash.
	primaryDownTime = 7 * time.Second
	// replicaDownTime is how long the other replica is down.
	replicaDownTime = time.Second
)

// lostCase: the primary and the replica near it crash at the same moment. The replica starts
// again under its id, and holds nothing of before. The last commits, which it had received
// before the replica in the other region, are in the primary's log only, which comes back
// with the primary.
var lostCase = testCase{
	services: []string{"orders"},
	config:   func(w *world) configuration { return w.primaryRoute() },
	play:     playLost,
}

// primaryRoute returns a desired state with a primary route to the first group.
func (w *world) primaryRoute() configuration {
	return configuration{
		Version:  3,
		Routes:   []route{{Name: "r-1", Host: "cut-orders", Type: "primary", TimeoutMs: 1000, TargetLatencyMs: 1000, Priority: 1, Service: w.groups[0].name}},
		Services: w.services(), Limits: limits{TxIdleMs: 3000},
		Tenants: []tenant{{Name: "workshop", APIKeys: []string{"key-of-the-workshop"}, RatePerS: 400, Burst: 400}},
	}
}

// acks has the ids of the writes that were acknowledged to consumers.
type acks struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (a *acks) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids[id] = true
}

func playLost(w *world) (bool, error) {
	g := w.groups[0]
	var acked acks
	acked.ids = map[string]bool{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range lostWriters {
		wg.Go(func() { writeUntil(w, stop, i, &acked) })
	}
	time.Sleep(6 * time.Second) // the in-sync set is written, and machines are in touch
	if w.trouble {
		if err := loseReplica(g); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := 0
	for _, id := range g.lost {
		if acked.ids[id] {
			lost++
		}
	}
	w.rec.linef("judge", "%d writes were acknowledged to consumers; %d of them are not in the log of the promoted database", len(acked.ids), lost)
	if len(acked.ids) < 100 {
		return false, fmt.Errorf("only %d writes were acknowledged", len(acked.ids))
	}
	return lost > 0, nil
}

// loseReplica plays the disruption.
func loseReplica(g *group) error {
	primary, near := g.databases[0], g.databases[1]
	primary.crash()
	near.crash()
	time.Sleep(replicaDownTime)
	if err := near.restart(false); err != nil {
		return err
	}
	time.Sleep(primaryDownTime - replicaDownTime)
	return primary.restart(true)
}

// writeUntil writes items one after the other.
func writeUntil(w *world, stop <-chan struct{}, i int, acked *acks) {
	n := w.nodes[i%len(w.nodes)]
	for session := 0; ; session++ {
		c, err := dial(fmt.Sprintf("c%d.%d", i, session), w.rec, n, "cut-orders", "key-of-the-workshop")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
		for err == nil {
			select {
			case <-stop:
				c.close()
				return
			default:
			}
			a := c.query(fmt.Sprintf("WRITE item%d data%d", i, c.sent), 3*time.Second)
			if a.ok() {
				acked.add(a.id)
			} else {
				time.Sleep(100 * time.Millisecond)
			}
			err = a.err
			time.Sleep(rand.N(2 * meanPause))
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}
