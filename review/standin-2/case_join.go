package main

import (
	"fmt"
	"sync"
	"time"
)

// joinCase: the primary is replaced as planned. The database that comes in its place starts
// first, receives the log at once, and writes its first report a heartbeat after its start.
var joinCase = testCase{
	services:  []string{"orders"},
	zones:     []string{"coast", "north", "south"},
	nodeZones: []string{"north", "south"},
	config:    func(w *world) configuration { return w.primaryRoute() },
	play:      playJoin,
}

// joinWriters is the number of consumers that write.
const joinWriters = 24

// joinLead is the time from the start of the new database to the report of the primary that
// it leaves.
const joinLead = 100 * time.Millisecond

func playJoin(w *world) (bool, error) {
	g := w.groups[0]
	var acked acks
	acked.ids = map[string]bool{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range joinWriters {
		wg.Go(func() { writeUntil(w, stop, i, &acked) })
	}
	time.Sleep(7 * time.Second) // the in-sync set is written, and machines are in touch
	if w.trouble {
		if err := g.join("coast", heartbeat); err != nil {
			return false, err
		}
		time.Sleep(joinLead)
		g.drain(g.databases[0])
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
