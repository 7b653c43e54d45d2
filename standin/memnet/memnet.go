// Package memnet is a network inside one process. Its connections are
// net.Pipes, which testing/synctest can follow, so that tests over several
// servers run on a paused clock.
//
// # Usage
//
//	var n memnet.Net
//	s, err := target.New(target.Config{ID: "a1", Listener: n.Listen("10.0.0.1:5432"), Dial: n.Dial})
package memnet

import (
	"context"
	"net"
	"sync"
)

// Net is a network. The zero Net has no listeners; its methods may be called
// from several goroutines.
type Net struct {
	mu    sync.Mutex
	hosts map[string]*listener
}

type listener struct {
	address addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener at an address, in place of any earlier one there.
func (n *Net) Listen(address string) net.Listener {
	l := &listener{address: addr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts = map[string]*listener{}
	}
	n.hosts[address] = l
	return l
}

// Dial connects to an address. It fails with a *net.OpError when nobody
// listens there, or when ctx ends first.
func (n *Net) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.hosts[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Addr: addr(address), Err: net.ErrClosed}
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return conn{near, addr(address)}, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		refused.Err = ctx.Err()
		return nil, refused
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// conn names its far end, which clients dial again for a cancel request.
type conn struct {
	net.Conn
	remote addr
}

func (c conn) RemoteAddr() net.Addr { return c.remote }

type addr string

func (addr) Network() string  { return "mem" }
func (a addr) String() string { return string(a) }
