package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeat is the interval of liveness reports.
	heartbeat = 1200 * time.Millisecond
	// promoteTime is the time from the acceptance of a promotion to its effect.
	promoteTime = time.Second
	// replicationTick is the interval at which replicas receive entries.
	replicationTick = time.Millisecond
	// statementTime is the time that a read, a write or a commit takes.
	statementTime = 2 * time.Millisecond
	// zoneDelay and regionDelay are the times that an entry takes to another zone and to
	// another region.
	zoneDelay   = 900 * time.Microsecond
	regionDelay = 30 * time.Millisecond
	// syncTimeout is how long a commit waits for a replica.
	syncTimeout = 10 * time.Second
)

// position is a position in the log of a group.
type position struct{ term, number uint64 }

func (p position) String() string {
	if p.number == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.term, p.number)
}

// write is a write of an item.
type write struct{ id, item, data string }

// logEntry is a commit in the log.
type logEntry struct {
	at      position
	created time.Time
	writes  []write
}

// group is a service: a primary and its replicas. One lock guards all of its databases.
type group struct {
	name  string
	rec   *recorder
	store *store
	// nodesFar is set when all nodes are in the other region than the zone coast.
	nodesFar bool

	mu        sync.Mutex
	databases []*database
	term      uint64
	fence     int64
	// acknowledged has the ids of the writes that were acknowledged to a caller of a
	// database, with the position of their commits.
	acknowledged map[string]position
	// lost has the acknowledged writes that a promoted database lacked.
	lost []string
	// onRun, unless nil, is told of each consumer's statement that a database runs.
	onRun func(run)
}

// run is a consumer's statement that a database has run.
type run struct {
	db       *database
	tenant   string
	id, text string
	at       position
	time     time.Time
}

// newGroup returns a group with a database for each zone, the first of which is the primary.
func newGroup(name string, c testCase, s *store, rec *recorder) (*group, error) {
	g := &group{name: name, rec: rec, store: s, term: 1, acknowledged: map[string]position{}, nodesFar: c.nodeZones != nil}
	zones := orDefault(c.zones)
	for i, zone := range zones {
		d := g.newDatabase(zone, zones[0])
		d.primary = i == 0
		for n := range uint64(10) {
			d.log = append(d.log, logEntry{at: position{1, n + 1}})
		}
		g.databases = append(g.databases, d)
		if err := d.listen("127.0.0.1:0"); err != nil {
			return nil, err
		}
		go d.report()
	}
	go g.replicate()
	return g, nil
}

// newDatabase returns a database in a zone, for a log that comes from another one.
func (g *group) newDatabase(zone, source string) *database {
	d := &database{group: g, id: fmt.Sprintf("i-%s-%d", g.name, len(g.databases)+1), zone: zone, born: time.Now().UnixMilli(), delay: zoneDelay}
	if zoneRegions[zone] != zoneRegions[source] {
		d.delay = regionDelay
	}
	if g.nodesFar && zone == "coast" {
		d.link = regionDelay
	}
	return d
}

// join starts another database, which receives the primary's log from now on. It writes its
// first report after a time.
func (g *group) join(zone string, unlisted time.Duration) error {
	g.mu.Lock()
	p := g.leader()
	d := g.newDatabase(zone, p.zone)
	d.log = append(d.log, p.log...)
	g.mu.Unlock()
	if err := d.listen("127.0.0.1:0"); err != nil {
		return err
	}
	g.mu.Lock()
	g.databases = append(g.databases, d)
	g.rec.linef(d.id, "starts with the log up to %s", d.received())
	g.mu.Unlock()
	time.AfterFunc(unlisted, func() { d.report() })
	return nil
}

// drain has a database report that it leaves.
func (g *group) drain(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d.draining = true
	g.rec.linef(d.id, "is leaving at position %s", d.received())
}

// leader returns the primary, nil if it is down. The caller holds g.mu.
func (g *group) leader() *database {
	for _, d := range g.databases {
		if d.primary && !d.down {
			return d
		}
	}
	return nil
}

// replicate hands the primary's entries to the replicas.
func (g *group) replicate() {
	for range time.Tick(replicationTick) {
		g.mu.Lock()
		if p := g.leader(); p != nil {
			for _, d := range g.databases {
				d.receive(p)
			}
		}
		g.mu.Unlock()
	}
}

// receive adds the entries of the primary that have arrived. The caller holds g.mu.
func (d *database) receive(p *database) {
	if d == p || d.down || d.deaf || d.pausedTerm > p.group.term {
		return
	}
	d.term = p.group.term
	for len(d.log) < len(p.log) {
		e := p.log[len(d.log)]
		if time.Since(e.created) < d.delay {
			return
		}
		d.log = append(d.log, e)
	}
}

// received reports whether a replica has received an entry of the primary. The caller holds
// g.mu.
func (g *group) received(p *database, number int) bool {
	for _, d := range g.databases {
		if d != p && !d.down && len(d.log) >= number && d.log[number-1].at == p.log[number-1].at {
			return true
		}
	}
	return false
}

// promote serves POST /promotion for the groups.
func promote(groups []*group) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Service string
			ID      string `json:"Id"`
		}
		err := json.NewDecoder(r.Body).Decode(&in)
		token, tokenErr := strconv.ParseInt(r.Header.Get("Chervilspan-Fence-Token"), 10, 64)
		for _, g := range groups {
			if err == nil && tokenErr == nil && g.name == in.Service {
				w.WriteHeader(g.acceptPromotion(in.ID, token, r.Header.Get("Chervilspan-Duty-Holder")))
				return
			}
		}
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (g *group) acceptPromotion(id string, token int64, holder string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.find(id)
	switch {
	case token < g.fence, d == nil, d.down:
		g.rec.linef("platform", "promotion of %s with token %d by %s is refused", id, token, holder)
		return http.StatusConflict
	}
	g.fence = token
	g.rec.linef("platform", "promotion of %s with token %d by %s is accepted", id, token, holder)
	if !d.primary {
		time.AfterFunc(promoteTime, func() { g.lead(d) })
	}
	return http.StatusOK
}

// find returns the database with an id. The caller holds g.mu.
func (g *group) find(id string) *database {
	for _, d := range g.databases {
		if d.id == id {
			return d
		}
	}
	return nil
}

// lead makes a database the primary of the next term, with what it has received.
func (g *group) lead(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.down || d.primary {
		return
	}
	g.term++
	d.term = g.term
	for _, o := range g.databases {
		o.primary = o == d
		o.pausedTerm = 0
		o.rollBack(d.log)
	}
	g.rec.linef(d.id, "leads term %d from position %s", g.term, d.received())
	kept := map[string]bool{}
	for _, e := range d.log {
		for _, w := range e.writes {
			kept[w.id] = true
		}
	}
	for id, at := range g.acknowledged {
		if !kept[id] {
			g.lost = append(g.lost, id)
			g.rec.linef(d.id, "lacks the acknowledged write %s at position %s", id, at)
		}
	}
}

// rollBack drops the entries that a log does not have. The caller holds g.mu.
func (d *database) rollBack(log []logEntry) {
	n := 0
	for n < len(d.log) && n < len(log) && d.log[n].at == log[n].at {
		n++
	}
	d.log = d.log[:n:n]
}

// report writes the database's entry in the store at each heartbeat while it is up.
func (d *database) report() {
	for {
		d.group.mu.Lock()
		down, primary, draining := d.down, d.primary, d.draining
		d.sequence++
		role := "replica"
		if primary {
			role = "primary"
		}
		state := "ready"
		if draining {
			state = "draining"
		}
		entry := map[string]any{
			"Service": d.group.name, "Address": d.address, "Zone": d.zone, "Version": "v1", "Capacity": 5, "State": state,
			"ColdLeftMs": 0, "Sequence": d.sequence, "DbRole": role, "born": d.born,
		}
		d.group.mu.Unlock()
		if !down {
			d.group.store.put("servers/"+d.id, entry)
			d.group.rec.linef(d.id, "reports %s, %s", role, state)
		}
		for end := time.Now().Add(heartbeat); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			d.group.mu.Lock()
			changed := d.primary != primary || d.down != down || d.draining != draining
			d.group.mu.Unlock()
			if changed {
				break
			}
		}
	}
}

// crash ends a database: its connections break, and its port is closed.
func (d *database) crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.down = true
	_ = d.listener.Close()
	for c := range d.conns {
		_ = c.Close()
	}
	d.group.rec.linef(d.id, "crashes at position %s", d.received())
}

// restart starts a database again at its address and under its id. Without its log it holds
// nothing of before.
func (d *database) restart(keepLog bool) error {
	if err := d.listen(d.address); err != nil {
		return err
	}
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	d.down, d.born, d.sequence, d.pausedTerm = false, time.Now().UnixMilli(), 0, 0
	if !keepLog {
		d.log, d.term, d.primary = nil, 0, false
	}
	for _, o := range g.databases {
		if o != d && o.primary {
			d.rollBack(o.log)
		}
	}
	g.rec.linef(d.id, "starts again under its id at position %s", d.received())
	return nil
}

func (d *database) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	d.group.mu.Lock()
	d.listener, d.address = l, l.Addr().String()
	d.conns = map[net.Conn]bool{}
	d.group.mu.Unlock()
	go d.accept(l)
	return nil
}
