package main

import (
	"net"
	"time"
)

// delayedConn is a connection over a link with a delay in each direction.
type delayedConn struct {
	net.Conn
	delay    time.Duration
	received chan delayedBytes
	sent     chan delayedBytes
	rest     []byte
}

// delayedBytes are bytes that arrive at a time, or the end of a connection.
type delayedBytes struct {
	at    time.Time
	bytes []byte
	err   error
}

func newDelayedConn(conn net.Conn, delay time.Duration) *delayedConn {
	c := &delayedConn{Conn: conn, delay: delay, received: make(chan delayedBytes, 1024), sent: make(chan delayedBytes, 1024)}
	go c.readAll()
	go c.writeAll()
	return c
}

func (c *delayedConn) readAll() {
	for {
		buf := make([]byte, 16<<10)
		n, err := c.Conn.Read(buf)
		c.received <- delayedBytes{time.Now().Add(c.delay), buf[:n], err}
		if err != nil {
			return
		}
	}
}

func (c *delayedConn) writeAll() {
	for b := range c.sent {
		time.Sleep(time.Until(b.at))
		if _, err := c.Conn.Write(b.bytes); err != nil {
			_ = c.Conn.Close()
		}
	}
}

func (c *delayedConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		b := <-c.received
		time.Sleep(time.Until(b.at))
		if b.err != nil {
			return 0, b.err
		}
		c.rest = b.bytes
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *delayedConn) Write(p []byte) (int, error) {
	c.sent <- delayedBytes{at: time.Now().Add(c.delay), bytes: append([]byte(nil), p...)}
	return len(p), nil
}
