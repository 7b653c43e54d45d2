package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pipeListener accepts the server's ends of pipes.
type pipeListener struct {
	accepted chan net.Conn
	dialed   []net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l.accepted; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l *pipeListener) Close() error { close(l.accepted); return nil }

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	l.accepted <- theirs
	l.dialed = append(l.dialed, ours)
	return ours
}

// withPages runs f against the server of pages, which answers with 100 KB.
func withPages(t *testing.T, f func(is *is.I, l *pipeListener)) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{accepted: make(chan net.Conn)}
		s := newPageServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 100_000))
		}))
		go func() { _ = s.Serve(l) }()
		defer func() {
			for _, c := range l.dialed {
				_ = c.Close()
			}
			_ = s.Close()
			time.Sleep(time.Minute) // the server lingers before it closes
		}()
		f(is.New(t), l)
	})
}

// closedAfter returns how long the server keeps a connection open, at most an hour.
func closedAfter(c net.Conn) time.Duration {
	start := time.Now()
	_ = c.SetReadDeadline(start.Add(time.Hour))
	_, _ = io.Copy(io.Discard, c)
	return time.Since(start)
}

const getPage = "GET / HTTP/1.1\r\nHost: a\r\n"

// TestSlowPageClients guards against clients of the readiness check and the metrics that
// keep connections open without end, which takes memory and file descriptors: they send
// nothing more, send a body byte by byte, or don't read the answer.
func TestSlowPageClients(t *testing.T) {
	t.Run("idle", func(t *testing.T) {
		withPages(t, func(is *is.I, l *pipeListener) {
			c := l.dial()
			go func() { _, _ = io.WriteString(c, getPage+"\r\n") }()
			is.True(closedAfter(c) <= pageIdleTimeout)
		})
	})
	t.Run("body", func(t *testing.T) {
		withPages(t, func(is *is.I, l *pipeListener) {
			c := l.dial()
			go func() {
				_, err := io.WriteString(c, getPage+"Content-Length: 200000\r\n\r\n")
				for err == nil {
					time.Sleep(time.Second)
					_, err = c.Write([]byte{0})
				}
			}()
			is.True(closedAfter(c) <= 2*pageTimeout)
		})
	})
	t.Run("answer", func(t *testing.T) {
		withPages(t, func(is *is.I, l *pipeListener) {
			c := l.dial()
			go func() { _, _ = io.WriteString(c, getPage+"\r\n") }()
			time.Sleep(2 * pageTimeout)
			n, _ := io.Copy(io.Discard, c)
			is.True(n < 100_000) // the server has given up
		})
	})
	t.Run("headers", func(t *testing.T) {
		withPages(t, func(is *is.I, l *pipeListener) {
			c := l.dial()
			go func() { _, _ = io.WriteString(c, getPage+"A: "+strings.Repeat("a", 100_000)+"\r\n\r\n") }()
			b := make([]byte, len("HTTP/1.1 431"))
			_, err := io.ReadFull(c, b)
			is.NoErr(err)
			is.Equal(string(b), "HTTP/1.1 431")
		})
	})
}

// TestPageConnLimit guards against strangers who hold connections to the readiness check,
// so that memory runs out or the check of the load balancer gets no answer.
func TestPageConnLimit(t *testing.T) {
	withPages(t, func(is *is.I, l *pipeListener) {
		first := l.dial()
		for range maxPageConns {
			_ = l.dial()
		}
		is.Equal(closedAfter(first), time.Duration(0)) // the oldest makes room
		c := l.dial()
		go func() { _, _ = io.WriteString(c, getPage+"Connection: close\r\n\r\n") }()
		b, err := io.ReadAll(c)
		is.NoErr(err)
		is.True(len(b) > 100_000)
	})
}
