package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
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
