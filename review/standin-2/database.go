package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// database is a database of a group.
type database struct {
	group   *group
	id      string
	zone    string
	address string
	// delay is the time that an entry takes to reach this database.
	delay time.Duration
	// link is the delay of the link from the nodes.
	link time.Duration

	listener   net.Listener
	conns      map[net.Conn]bool
	log        []logEntry
	term       uint64
	primary    bool
	down       bool
	deaf       bool
	draining   bool
	pausedTerm uint64
	born       int64
	sequence   int
}

// received returns the position of the last entry. The caller holds the group's lock.
func (d *database) received() position {
	if len(d.log) == 0 {
		return position{}
	}
	return d.log[len(d.log)-1].at
}

func (d *database) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		d.group.mu.Lock()
		d.conns[conn] = true
		d.group.mu.Unlock()
		if d.link > 0 {
			conn = newDelayedConn(conn, d.link)
		}
		go (&session{db: d, conn: conn, out: bufio.NewWriterSize(conn, 64<<10)}).serve()
	}
}

// session is a connection to a database.
type session struct {
	db     *database
	conn   net.Conn
	out    *bufio.Writer
	tenant string
	vars   map[string]string
	names  map[string]preparedStatement
	// state is I, T or E; plain is set for a transaction that may write.
	state  string
	plain  bool
	begun  uint64
	writes []write
}

type preparedStatement struct {
	writes bool
	shape  string
}

func (s *session) serve() {
	defer func() { _ = s.conn.Close() }()
	in := bufio.NewReaderSize(s.conn, 64<<10)
	s.state, s.vars, s.names = "I", map[string]string{}, map[string]preparedStatement{}
	for first := true; ; first = false {
		l, err := in.ReadString('\n')
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(strings.TrimSuffix(l, "\r\n"), " ")
		switch {
		case first && verb == "START":
			if !s.start(rest) {
				_ = s.out.Flush()
				return
			}
		case verb == "QUERY" && !first:
			id, text, _ := strings.Cut(rest, " ")
			s.query(id, text)
		default:
			return
		}
		if s.db.isDown() || s.out.Flush() != nil {
			return
		}
	}
}

func (d *database) isDown() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.down
}

func (s *session) start(rest string) bool {
	f := strings.Fields(rest)
	if len(f) < 2 || f[0] != s.db.group.name || len(f) > 2 && f[2] != s.db.id {
		fmt.Fprintf(s.out, "ERR WRONGNODE %s\r\n", s.db.id)
		return false
	}
	s.tenant = f[1]
	s.ready()
	return true
}

func (s *session) ready() {
	s.db.group.mu.Lock()
	at := s.db.received()
	s.db.group.mu.Unlock()
	fmt.Fprintf(s.out, "READY %s %s\r\n", s.state, at)
}

func (s *session) done(signature string) {
	fmt.Fprintf(s.out, "DONE %s\r\n", signature)
	s.ready()
}

// fail answers with an error, which fails an open transaction if it is not one to repeat.
func (s *session) fail(code, text string) {
	if s.state == "T" && code != "BUSY" {
		s.state = "E"
	}
	fmt.Fprintf(s.out, "ERR %s %s\r\n", code, text)
	s.ready()
}

func (s *session) signature(id string) string { return s.db.id + "." + id }

// query runs a statement.
func (s *session) query(id, text string) {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "AFTER" {
		at, after, _ := strings.Cut(rest, " ")
		if !s.db.has(at) {
			s.fail("LAGGING", s.db.id)
			return
		}
		verb, rest, _ = strings.Cut(after, " ")
	}
	if s.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		s.fail("MALFORMED", "the transaction has failed")
		return
	}
	switch verb {
	case "BEGIN":
		s.begin(rest)
	case "COMMIT", "ROLLBACK":
		s.end(id, verb == "COMMIT")
	case "READ":
		s.read(id, text, rest)
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		s.write(id, text, item, data)
	case "EXEC":
		s.execute(id, text, rest)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.vars[name] = value
		s.done("-")
	case "PREPARE":
		name, what, _ := strings.Cut(rest, " ")
		mode, shape, _ := strings.Cut(what, " ")
		s.names[name] = preparedStatement{mode == "WRITE", shape}
		s.done("-")
	case "CLOSE":
		delete(s.names, rest)
		s.done("-")
	case "RESET":
		clear(s.vars)
		clear(s.names)
		s.done("-")
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		s.control(verb, rest)
	default:
		s.fail("MALFORMED", "unknown statement")
	}
}

// has reports whether the database's log has a position.
func (d *database) has(at string) bool {
	t, n, _ := strings.Cut(at, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	have := d.received()
	return have.term > term || have.term == term && have.number >= number
}

// leads reports whether the database is the primary, and of which term.
func (d *database) leads() (uint64, bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.group.term, d.primary
}

func (s *session) begin(mode string) {
	term, leads := s.db.leads()
	if mode != "READ" && !leads {
		s.fail("READONLY", s.db.id)
		return
	}
	s.state, s.plain, s.begun, s.writes = "T", mode != "READ", term, nil
	s.done("-")
}

// lostLead reports whether the database has lost the lead since the plain transaction began.
func (s *session) lostLead() bool {
	term, leads := s.db.leads()
	return s.state == "T" && s.plain && (!leads || term != s.begun)
}

func (s *session) end(id string, commits bool) {
	writes, failed := s.writes, s.state == "E"
	lost := s.lostLead()
	s.state, s.writes = "I", nil
	switch {
	case !commits:
		s.done("-")
	case failed:
		s.fail("ABORTED", "the transaction had failed")
	case len(writes) == 0:
		s.recordRun(id, "COMMIT")
		s.done(s.signature(id))
	case lost:
		s.fail("READONLY", s.db.id)
	default:
		s.commit(id, "COMMIT", writes)
	}
}

func (s *session) recordRun(id, text string) {
	d := s.db
	d.group.mu.Lock()
	at, onRun := d.received(), d.group.onRun
	d.group.mu.Unlock()
	if id != "-" && onRun != nil {
		onRun(run{db: d, tenant: s.tenant, id: id, text: text, at: at, time: time.Now()})
	}
}

func (s *session) read(id, text, item string) {
	if s.lostLead() {
		s.fail("READONLY", s.db.id)
		return
	}
	time.Sleep(statementTime)
	rows := s.db.rows(item)
	s.recordRun(id, text)
	for _, r := range rows {
		fmt.Fprintf(s.out, "ROW %s\r\n", r)
	}
	s.done(s.signature(id))
}

// rows returns the rows of an item.
func (d *database) rows(item string) []string {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	for i := len(d.log) - 1; i >= 0; i-- {
		for _, w := range d.log[i].writes {
			if w.item == item {
				return []string{w.data}
			}
		}
	}
	return nil
}

func (s *session) write(id, text, item, data string) {
	if _, leads := s.db.leads(); !leads || s.lostLead() {
		s.fail("READONLY", s.db.id)
		return
	}
	w := write{id, item, data}
	if s.state == "T" {
		time.Sleep(statementTime)
		s.recordRun(id, text)
		s.writes = append(s.writes, w)
		s.done(s.signature(id))
		return
	}
	s.commit(id, text, []write{w})
}

func (s *session) execute(id, text, rest string) {
	name, args, _ := strings.Cut(rest, " ")
	p, ok := s.names[name]
	if !ok {
		s.fail("NOSTMT", name)
		return
	}
	item, data, _ := strings.Cut(args, " ")
	if p.writes {
		s.write(id, text, item, data)
		return
	}
	s.read(id, text, item)
}

// commit appends writes to the log, and acknowledges them once a replica has received them.
func (s *session) commit(id, text string, writes []write) {
	time.Sleep(statementTime)
	d := s.db
	g := d.group
	g.mu.Lock()
	if !d.primary || d.down {
		g.mu.Unlock()
		s.fail("READONLY", d.id)
		return
	}
	at := position{g.term, d.received().number + 1}
	d.log = append(d.log, logEntry{at, time.Now(), writes})
	number := len(d.log)
	g.mu.Unlock()
	s.recordRun(id, text)
	for end := time.Now().Add(syncTimeout); time.Now().Before(end); time.Sleep(replicationTick) {
		g.mu.Lock()
		kept := d.primary && !d.down && len(d.log) >= number && d.log[number-1].at == at
		if kept && g.received(d, number) {
			for _, w := range writes {
				g.acknowledged[w.id] = at
			}
			g.mu.Unlock()
			s.done(s.signature(id))
			return
		}
		g.mu.Unlock()
		if !kept {
			break
		}
	}
	_ = s.conn.Close() // the outcome is unknown
}

// control runs a statement about the database itself.
func (s *session) control(verb, rest string) {
	d := s.db
	term, _ := strconv.ParseUint(rest, 10, 64)
	d.group.mu.Lock()
	switch {
	case verb == "PAUSE" && !d.primary && term > d.term:
		d.pausedTerm = term
	case verb == "RESUME":
		d.pausedTerm = 0
	case verb == "STEPDOWN" && d.primary && term > d.group.term:
		d.primary = false
	}
	role := "replica"
	if d.primary {
		role, d.term = "primary", d.group.term
	}
	row := fmt.Sprintf("%s %d %s %d 0 0 %d", role, d.term, d.received(), d.pausedTerm, len(d.conns))
	if verb != "STATUS" {
		d.group.rec.linef(d.id, "%s %s: %s", verb, rest, row)
	}
	d.group.mu.Unlock()
	fmt.Fprintf(s.out, "ROW %s\r\n", row)
	s.done(s.signature("-"))
}
