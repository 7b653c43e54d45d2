package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is GraceS. In its last sixth, a stop may end answers for which a database is
	// still at work.
	grace = 6 * time.Second
	// beginAfter is when the transactions begin after SIGTERM; sessions are closed between
	// operations some time later.
	beginAfter = 1500 * time.Millisecond
	// sendAfter is when the reads are sent after SIGTERM: in the first half of the grace.
	sendAfter = 2850 * time.Millisecond
	readers   = 4
)

// longRead is a read in a transaction, for which a database works for longWork.
type longRead struct {
	id       string
	answer   string
	closedAt time.Time
}

// earlyExit stops a VM while databases work on reads of open transactions.
func earlyExit(x *deployment, trouble bool) int {
	time.Sleep(2 * time.Second)
	v := x.vms[0]
	sessions := make([]*client, readers)
	for i := range sessions {
		c, err := x.open(v, i)
		if err != nil {
			x.rec.add("not run: %v", err)
			return exitNotRun
		}
		sessions[i] = c
	}
	x.rec.add("%d sessions are open at %s", readers, v.name)
	stopped := time.Now()
	if trouble {
		x.rec.add("SIGTERM to %s", v.name)
		_ = v.cmd.Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(beginAfter)
	for i, c := range sessions {
		if err := c.begin(i); err != nil {
			x.rec.add("not run: %v", err)
			return exitNotRun
		}
	}
	x.rec.add("a transaction is open in each, %.3f s after the stop began", time.Since(stopped).Seconds())
	time.Sleep(time.Until(stopped.Add(sendAfter)))
	reads := make([]longRead, readers)
	var wg sync.WaitGroup
	for i := range reads {
		wg.Go(func() { reads[i] = x.read(sessions[i], i, stopped) })
	}
	wg.Wait()
	return x.judge(reads, stopped)
}

// client is a caller's connection to a VM.
type client struct {
	conn  net.Conn
	in    *lineReader
	asked *asked
}

// open opens a session that has run a read.
func (x *deployment) open(v *vm, i int) (*client, error) {
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	c := &client{conn: conn, in: &lineReader{r: conn}, asked: x.g.asked}
	return c, c.send("START bounded0 k1", fmt.Sprintf("QUERY o%d READ item%d", i, i))
}

// begin begins a transaction and runs its first read.
func (c *client) begin(i int) error {
	return c.send(fmt.Sprintf("QUERY b%d BEGIN READ", i), fmt.Sprintf("QUERY f%d READ item%d", i, i))
}

// send sends messages, each of which has to succeed.
func (c *client) send(messages ...string) error {
	for _, m := range messages {
		if a, err := c.exchange(m); err != nil || strings.HasPrefix(a, "ERR") {
			return fmt.Errorf("%s: %q %w", m, a, err)
		}
	}
	return nil
}

// exchange sends a message and returns the answer's last line before READY.
func (c *client) exchange(m string) (string, error) {
	c.asked.send(m)
	if _, err := fmt.Fprint(c.conn, m+lineEnd); err != nil {
		return "", err
	}
	last := ""
	for {
		l, err := c.in.next()
		if err != nil {
			return last, err
		}
		if strings.HasPrefix(l, "READY") {
			return last, nil
		}
		last = l
	}
}

func (x *deployment) read(c *client, i int, stopped time.Time) longRead {
	r := longRead{id: fmt.Sprintf("r%d", i)}
	x.rec.add("caller %d sends %s READ, %.3f s after the stop began", i, r.id, time.Since(stopped).Seconds())
	a, err := c.exchange(fmt.Sprintf("QUERY %s READ %s%d", r.id, longPrefix, i))
	r.answer = a
	if err != nil {
		r.answer, r.closedAt = "", time.Now()
		x.rec.add("caller %d: the connection ends without an answer to %s, %.3f s after the stop began: %v", i, r.id, time.Since(stopped).Seconds(), err)
		return r
	}
	x.rec.add("caller %d: %s: %s, %.3f s after the stop began", i, r.id, a, time.Since(stopped).Seconds())
	return r
}

// judge reports whether a read got no answer although the database was not at work any
// more in the last sixth of the grace.
func (x *deployment) judge(reads []longRead, stopped time.Time) int {
	time.Sleep(time.Second) // databases end their work
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	status := exitHeld
	for _, r := range reads {
		at, ok := x.g.answeredAt[r.id]
		switch {
		case strings.HasPrefix(r.answer, "DONE"):
		case r.closedAt.IsZero():
			x.rec.add("not run: %s got %q", r.id, r.answer)
			return exitNotRun
		case ok && at.Sub(stopped) < grace-grace/6:
			x.rec.add("LOST: %s was passed on; its connection ended %.3f s after SIGTERM, the database's work %.3f s after it", r.id, r.closedAt.Sub(stopped).Seconds(), at.Sub(stopped).Seconds())
			status = exitBroken
		default:
			x.rec.add("not counted: %s, the database worked for too long", r.id)
		}
	}
	return status
}
