package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// loginTimeout is how long a consumer waits for the answer to START.
const loginTimeout = 2 * time.Second

// consumer is a session of a consumer.
type consumer struct {
	name string
	rec  *recorder
	conn net.Conn
	in   *bufio.Reader
	sent int
}

// answer is the answer to a statement. err is the connection's error, if there was none.
type answer struct {
	id        string
	rows      []string
	signature string
	code      string
	text      string
	state     string
	sentAt    time.Time
	err       error
}

// ok reports whether the statement succeeded.
func (a answer) ok() bool { return a.err == nil && a.code == "" }

// promised reports whether the answer promises that nothing is kept.
func (a answer) promised() bool {
	switch a.code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY":
		return true
	}
	return false
}

// String returns the answer as it is recorded.
func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.code != "":
		return "ERR " + a.code + " " + a.text
	}
	rows := strings.Join(a.rows, ",")
	return fmt.Sprintf("DONE %s rows=%.60s state=%s", a.signature, rows, a.state)
}

// dial opens a session at a node.
func dial(name string, rec *recorder, n *node, host, key string) (*consumer, error) {
	conn, err := net.DialTimeout("tcp", n.callers, loginTimeout)
	if err != nil {
		return nil, err
	}
	c := &consumer{name: name, rec: rec, conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}
	if err := conn.SetDeadline(time.Now().Add(loginTimeout)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", host, key); err != nil {
		return nil, err
	}
	l, err := c.line()
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(l, "READY ") {
		_ = conn.Close()
		return nil, fmt.Errorf("login: %s", l)
	}
	rec.linef(name, "START %s at %s: %s", host, n.name, l)
	return c, nil
}

func (c *consumer) line() (string, error) {
	l, err := c.in.ReadString('\n')
	return strings.TrimSuffix(l, "\r\n"), err
}

// query runs a statement and records it unless quiet is set and it succeeded.
func (c *consumer) query(text string, timeout time.Duration) answer {
	c.sent++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.sent), sentAt: time.Now()}
	a.err = c.exchange(&a, text, timeout)
	c.rec.linef(c.name, "QUERY %s %s -> %s", a.id, text, a)
	return a
}

func (c *consumer) exchange(a *answer, text string, timeout time.Duration) error {
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err != nil {
		return err
	}
	for {
		l, err := c.line()
		if err != nil {
			return err
		}
		verb, rest, _ := strings.Cut(l, " ")
		switch verb {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.signature = rest
		case "ERR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return nil
		default:
			return fmt.Errorf("unexpected %.40q", l)
		}
	}
}

func (c *consumer) close() { _ = c.conn.Close() }
