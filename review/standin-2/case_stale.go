package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// deafTime is how long a replica receives nothing, versionGap the time between two versions.
const (
	deafTime   = 6500 * time.Millisecond
	versionGap = 330 * time.Millisecond
)

// staleCase: a route is moved to another service and back in quick succession, while a
// replica of the first one receives nothing for a while. The session's own commit must be
// seen by its reads all the same.
var staleCase = testCase{
	services: []string{"orders", "archive"},
	config:   func(w *world) configuration { return w.sessionRoute(3, 0) },
	play:     playStale,
}

// sessionRoute returns a desired state with a read-your-writes route to a group.
func (w *world) sessionRoute(version, group int) configuration {
	return configuration{
		Version: version,
		Routes: []route{{
			Name: "r-1", Host: "offcut-log", Type: "read_your_writes", TimeoutMs: 1000, TargetLatencyMs: 2000, Priority: 2,
			Service: w.groups[group].name, MaxStalenessMs: 2500,
		}},
		Services: w.services(), Limits: limits{TxIdleMs: 3000},
		Tenants: []tenant{{Name: "workshop", APIKeys: []string{"key-of-the-workshop"}, RatePerS: 400, Burst: 400}},
	}
}

func playStale(w *world) (bool, error) {
	g := w.groups[0]
	// The node in the zone of the replica that will receive nothing.
	deaf, n := g.databases[2], w.nodes[2]
	c, err := dial("c1", w.rec, n, "offcut-log", "key-of-the-workshop")
	if err != nil {
		return false, err
	}
	defer c.close()
	for range 60 { // positions are known, and machines are in touch
		if a := c.query("READ cut1", time.Second); a.err != nil {
			return false, a.err
		}
		time.Sleep(100 * time.Millisecond)
	}
	if w.trouble {
		g.mu.Lock()
		deaf.deaf = true
		w.rec.linef(deaf.id, "receives nothing for %s", deafTime)
		g.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	if a := c.query("WRITE cut1 saved", time.Second); !a.ok() {
		return false, fmt.Errorf("the write was not acknowledged: %s", a)
	}
	ackedAt := time.Now()
	if a := c.query("READ cut1", time.Second); !a.ok() || len(a.rows) != 1 {
		return a.ok(), nil // a read before the disruption must see the commit, too
	}
	if w.trouble {
		if err := moveRoute(w, c); err != nil {
			return false, err
		}
	}
	stale := 0
	for time.Since(ackedAt) < 5*time.Second {
		a := c.query("READ cut1", time.Second)
		if a.err != nil {
			return false, a.err
		}
		if a.ok() && strings.HasPrefix(a.signature, "i-"+g.name) && len(a.rows) != 1 {
			stale++
			w.rec.linef("judge", "the read %s was sent %s after the session's commit was acknowledged, and does not see it", a.id, a.sentAt.Sub(ackedAt).Round(time.Millisecond))
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.rec.linef("judge", "%d reads did not see the session's own commit", stale)
	return stale > 0, nil
}

// moveRoute moves the route to the other service, and back once the session's reads run there.
func moveRoute(w *world, c *consumer) error {
	w.write(w.sessionRoute(5, 1))
	time.Sleep(versionGap)
	if err := readAt(c, w.groups[1].name); err != nil {
		return err
	}
	w.write(w.sessionRoute(6, 0))
	return readAt(c, w.groups[0].name)
}

// readAt reads until a database of a service answers.
func readAt(c *consumer, service string) error {
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		a := c.query("READ cut1", time.Second)
		if a.err != nil {
			return a.err
		}
		if a.ok() && strings.HasPrefix(a.signature, "i-"+service) {
			return nil
		}
	}
	return errors.New("the route was not moved to " + service)
}
