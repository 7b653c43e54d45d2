package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the databases, as in the small deployments.
const (
	receiveDelay = time.Millisecond
	applyDelay   = 8 * time.Millisecond
	promoteTime  = 300 * time.Millisecond
	workTime     = 5 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
	maxConns     = 32
	slotCount    = 5
)

// entry is a committed transaction.
type entry struct {
	term, number int64
	id           string
	writes       map[string]string
}

func (e entry) position() string { return fmt.Sprintf("%d.%d", e.term, e.number) }

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

// database is one database of a group.
type database struct {
	g          *group
	id, zone   string
	address    string
	slots      chan struct{}
	log        []entry
	receivedAt []time.Time
	applied    int
	paused     bool
	pauseTerm  int64
	down       bool
	born       int64
	sequence   int
	listener   net.Listener
	conns      map[net.Conn]bool
	downSince  time.Time
}

// start opens the database's listener. Fences do not outlast a restart.
func (d *database) start() error {
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.address, d.listener, d.down = l.Addr().String(), l, false
	d.paused, d.pauseTerm = false, 0
	d.born, d.sequence = time.Now().UnixMilli(), 0
	d.conns = map[net.Conn]bool{}
	d.applied = len(d.log)
	go d.accept(l)
	return nil
}

// crash ends the database: its connections are reset and it listens no more.
func (d *database) crash() {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.down, d.downSince = true, time.Now()
	_ = d.listener.Close()
	for c := range d.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (d *database) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		d.g.mu.Lock()
		full := len(d.conns) >= maxConns
		if !d.down {
			d.conns[c] = true
		}
		d.g.mu.Unlock()
		go d.session(c, full)
	}
}

// session is a connection and the state of its transaction.
type session struct {
	d        *database
	conn     net.Conn
	w        *bufio.Writer
	open     bool
	plain    bool
	failed   bool
	writes   map[string]string
	prepared map[string]string
}

func (d *database) session(c net.Conn, full bool) {
	defer func() {
		d.g.mu.Lock()
		delete(d.conns, c)
		d.g.mu.Unlock()
		_ = c.Close()
	}()
	in := &lineReader{r: c}
	s := &session{d: d, conn: c, w: bufio.NewWriter(c), writes: map[string]string{}, prepared: map[string]string{}}
	l, err := d.receive(in)
	if err != nil {
		return
	}
	f := strings.Split(l, " ")
	if f[0] != "START" || len(f) < 3 || len(f) > 4 {
		d.g.asked.fault("%s receives %q", d.id, l)
		return
	}
	switch {
	case f[1] != d.g.name || len(f) > 3 && f[3] != d.id:
		_, _ = fmt.Fprintf(c, "ERR WRONGNODE not here\r\n")
		return
	case full:
		_, _ = fmt.Fprintf(c, "ERR TOOMANY connections\r\n")
		return
	}
	s.ready()
	for s.w.Flush() == nil {
		l, err := d.receive(in)
		if err != nil || d.isDown() || l == "BYE" {
			return
		}
		id, text, ok := parseQuery(l)
		if !ok {
			d.g.asked.fault("%s receives %q", d.id, l)
			return
		}
		d.g.asked.check(d.id, id, text)
		s.run(id, text)
		s.ready()
	}
}

// receive returns the next message.
func (d *database) receive(in *lineReader) (string, error) {
	l, err := in.next()
	if errors.Is(err, errTooLong) {
		d.g.asked.fault("%s receives %v", d.id, err)
	}
	return l, err
}

func (d *database) isDown() bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.down
}

func (s *session) ready() {
	state := "I"
	if s.failed {
		state = "E"
	} else if s.open {
		state = "T"
	}
	s.d.g.mu.Lock()
	pos := s.d.position()
	s.d.g.mu.Unlock()
	_, _ = fmt.Fprintf(s.w, "READY %s %s\r\n", state, pos)
}

// position returns the position of the last applied entry. The caller holds the lock.
func (d *database) position() string {
	d.apply()
	if d.applied == 0 {
		return "-"
	}
	return d.log[d.applied-1].position()
}

// apply applies received entries: at the primary all. The caller holds the lock.
func (d *database) apply() {
	if d.g.primary == d {
		d.applied = len(d.log)
		return
	}
	for d.applied < len(d.log) && time.Since(d.receivedAt[d.applied]) >= applyDelay {
		d.applied++
	}
}

func (s *session) fail(code string) {
	if s.open {
		s.failed = true
	}
	_, _ = fmt.Fprintf(s.w, "ERR %s refused\r\n", code)
}

func (s *session) done(sig string) { _, _ = fmt.Fprintf(s.w, "DONE %s\r\n", sig) }

// longPrefix begins the names of items that take longWork to read, in place of workTime.
const (
	longPrefix = "long"
	longWork   = 1950 * time.Millisecond
)

func (s *session) work(key string) {
	s.d.slots <- struct{}{}
	defer func() { <-s.d.slots }()
	if strings.HasPrefix(key, longPrefix) {
		time.Sleep(longWork)
		return
	}
	time.Sleep(workTime)
}

func (s *session) leads() bool {
	s.d.g.mu.Lock()
	defer s.d.g.mu.Unlock()
	return s.d.g.primary == s.d && !s.d.down
}

// run runs one statement.
func (s *session) run(id, text string) {
	floor, text := cutFloor(text)
	verb, args := cut(text)
	if verb == "EXEC" {
		var name string
		name, args = cut(args)
		mode, ok := s.prepared[name]
		if !ok {
			s.fail("NOSTMT")
			return
		}
		verb = mode
	}
	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		s.fail("MALFORMED")
		return
	}
	switch verb {
	case "BEGIN":
		plain := args == ""
		switch {
		case plain && !s.leads():
			s.fail("READONLY")
		case floor != "" && !s.has(floor):
			s.fail("LAGGING")
		default:
			s.open, s.plain, s.failed = true, plain, false
			s.done("-")
		}
	case "ROLLBACK":
		s.close()
		s.done("-")
	case "COMMIT":
		s.commit(id)
	case "READ":
		switch {
		case s.open && s.plain && !s.leads():
			s.fail("READONLY")
		case floor != "" && !s.has(floor):
			s.fail("LAGGING")
		default:
			s.work(args)
			_, _ = fmt.Fprintf(s.w, "ROW %s\r\n", s.value(args))
			s.done("sig." + s.d.id + "." + id)
			if strings.HasPrefix(args, longPrefix) {
				s.d.g.rec.add("%s has run %s and answers", s.d.id, id)
				s.d.g.answered(id)
			}
		}
	case "WRITE":
		item, data := cut(args)
		switch {
		case !s.leads():
			s.fail("READONLY")
		case s.open:
			s.work(item)
			s.writes[item] = data
			s.done("sig." + s.d.id + "." + id)
		default:
			s.work(item)
			s.finish(id, map[string]string{item: data})
		}
	case "SET", "CLOSE":
		s.done("-")
	case "RESET":
		clear(s.prepared)
		s.done("-")
	case "PREPARE":
		name, query := cut(args)
		s.prepared[name], _ = cut(query)
		s.done("-")
	default:
		s.control(verb, args)
	}
}

func (s *session) close() {
	s.open, s.failed = false, false
	s.writes = map[string]string{}
}

func (s *session) commit(id string) {
	writes, failed := s.writes, s.failed
	s.close()
	switch {
	case failed:
		s.fail("ABORTED")
	case len(writes) == 0:
		s.done("sig." + s.d.id + "." + id)
	default:
		s.work("")
		s.finish(id, writes)
	}
}

// finish commits and answers. A commit that is not acknowledged gets no answer.
func (s *session) finish(id string, writes map[string]string) {
	switch s.d.g.commit(s.d, id, writes) {
	case committed:
		s.done("sig." + s.d.id + "." + id)
	case notPrimary:
		s.fail("READONLY")
	case outcomeUnknown:
		s.fail("TIMEOUT")
	}
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

// has reports whether the database has applied its log up to a position.
func (s *session) has(pos string) bool {
	term, number, _ := strings.Cut(pos, ".")
	t, _ := strconv.ParseInt(term, 10, 64)
	n, _ := strconv.ParseInt(number, 10, 64)
	s.d.g.mu.Lock()
	defer s.d.g.mu.Unlock()
	s.d.apply()
	return int64(s.d.applied) >= n && (n == 0 || s.d.log[n-1].term >= t)
}

// value returns the last applied value of an item.
func (s *session) value(key string) string {
	s.d.g.mu.Lock()
	defer s.d.g.mu.Unlock()
	s.d.apply()
	for i := s.d.applied - 1; i >= 0; i-- {
		if v, ok := s.d.log[i].writes[key]; ok {
			return v
		}
	}
	return "none"
}

// control runs PAUSE, RESUME, STEPDOWN or STATUS.
func (s *session) control(verb, args string) {
	g, d := s.d.g, s.d
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := strconv.ParseInt(args, 10, 64)
	switch verb {
	case "PAUSE":
		if term > g.term && g.primary != d {
			d.paused, d.pauseTerm = true, term
		}
	case "RESUME":
		d.paused, d.pauseTerm = false, 0
	case "STEPDOWN":
		if g.primary == d && term > g.term {
			g.primary = nil
		}
	case "STATUS":
	default:
		_, _ = fmt.Fprintf(s.w, "ERR MALFORMED unknown\r\n")
		return
	}
	if verb != "STATUS" {
		g.rec.add("%s at %s", strings.TrimRight(verb+" "+args, " "), d.id)
	}
	role, pos := "replica", "0.0"
	if g.primary == d {
		role = "primary"
	}
	if n := len(d.log); n > 0 {
		pos = d.log[n-1].position()
	}
	_, _ = fmt.Fprintf(s.w, "ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n", role, g.term, pos, d.pauseTerm, len(d.conns))
}

// report is the entry that the database writes to the store.
func (d *database) report() []byte {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.sequence++
	role := "replica"
	if d.g.primary == d {
		role = "primary"
	}
	raw, _ := json.Marshal(map[string]any{
		"Service": d.g.name, "Address": d.address, "Zone": d.zone, "Version": "v1", "Capacity": slotCount,
		"State": "ready", "ColdLeftMs": 0, "DbRole": role, "Sequence": d.sequence, "born": d.born,
	})
	return raw
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
