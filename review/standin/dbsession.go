package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

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
