package main

import (
	"sync"
	"time"
)

// group is a service: a primary and its replicas. Its lock guards all of them.
type group struct {
	name    string
	rec     *recorder
	asked   *asked
	mu      sync.Mutex
	dbs     []*database
	term    int64
	primary *database
	// acked has the entries whose commits were acknowledged.
	acked []entry
	lost  int
	// answeredAt has when the database answered a long read, by its id.
	answeredAt map[string]time.Time
	// highestToken is the highest generation number that the platform has seen.
	highestToken int64
}

type outcome int

const (
	committed outcome = iota
	notPrimary
	outcomeUnknown
)

// commit appends an entry at the primary and waits until a replica has received it.
func (g *group) commit(d *database, id string, writes map[string]string) outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != d || d.down {
		return notPrimary
	}
	e := entry{term: g.term, number: int64(len(d.log)) + 1, id: id, writes: writes}
	d.log = append(d.log, e)
	d.receivedAt = append(d.receivedAt, time.Now())
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		if g.primary != d || d.down {
			return outcomeUnknown
		}
		if by := g.receivedBy(d, e); by != "" {
			g.acked = append(g.acked, e)
			g.rec.add("commit %s of %s acknowledged by %s, received by %s", e.position(), id, d.id, by)
			return committed
		}
		g.mu.Unlock()
		time.Sleep(time.Millisecond)
		g.mu.Lock()
	}
	return outcomeUnknown
}

// receivedBy returns a replica that is up and has received an entry.
func (g *group) receivedBy(d *database, e entry) string {
	for _, r := range g.dbs {
		if r != d && !r.down && int64(len(r.log)) >= e.number && r.log[e.number-1].term == e.term {
			return r.id
		}
	}
	return ""
}

// answered records that a database answers a long read.
func (g *group) answered(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answeredAt == nil {
		g.answeredAt = map[string]time.Time{}
	}
	g.answeredAt[id] = time.Now()
}

// replicateForever sends the primary's log to the replicas that receive.
func (g *group) replicateForever() {
	for {
		time.Sleep(receiveDelay)
		g.mu.Lock()
		g.replicate()
		g.mu.Unlock()
	}
}

func (g *group) replicate() {
	p := g.primary
	if p == nil || p.down {
		return
	}
	for _, r := range g.dbs {
		if r == p || r.down || r.paused {
			continue
		}
		n := 0
		if len(r.log) <= len(p.log) && (len(r.log) == 0 || r.log[len(r.log)-1].term == p.log[len(r.log)-1].term) {
			n = len(r.log)
		} else {
			for n < len(r.log) && n < len(p.log) && r.log[n].term == p.log[n].term {
				n++
			}
		}
		r.log, r.receivedAt = r.log[:n], r.receivedAt[:n]
		r.applied = min(r.applied, n)
		for _, e := range p.log[n:] {
			r.log = append(r.log, e)
			r.receivedAt = append(r.receivedAt, time.Now())
		}
	}
}

// promote makes a database the primary of the next term, after some time.
func (g *group) promote(d *database) {
	time.Sleep(promoteTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.down || g.primary == d && g.term > 0 && !d.down {
		return
	}
	g.term++
	g.primary = d
	for _, r := range g.dbs {
		r.paused, r.pauseTerm = false, 0
	}
	last := "-"
	if n := len(d.log); n > 0 {
		last = d.log[n-1].position()
	}
	g.rec.add("%s leads term %d with what it had received, up to %s", d.id, g.term, last)
	for _, e := range g.acked {
		if int64(len(d.log)) < e.number || d.log[e.number-1].term != e.term {
			g.lost++
			g.rec.add("LOST: acknowledged commit %s of %s is not in the log of %s", e.position(), e.id, d.id)
		}
	}
	d.applied = len(d.log)
}

// register keeps the databases' entries: one is written with each heartbeat and at a
// change of the role, and removed after three heartbeats of silence.
func (g *group) register(s *metaStore) {
	written := map[*database]time.Time{}
	roles := map[*database]bool{}
	for {
		for _, d := range g.dbs {
			g.mu.Lock()
			down, since, leads := d.down, d.downSince, g.primary == d
			g.mu.Unlock()
			switch {
			case down && time.Since(since) > 3*heartbeat:
				s.remove("servers/" + d.id)
				written[d] = time.Time{}
			case !down && (time.Since(written[d]) >= heartbeat || roles[d] != leads):
				s.set("servers/"+d.id, d.report())
				written[d], roles[d] = time.Now(), leads
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}
