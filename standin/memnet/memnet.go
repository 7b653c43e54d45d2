// Package memnet is an in-memory network. Its connections are net.Pipes, whose
// blocking testing/synctest recognizes, so that tests with several servers run
// on a fake clock.
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

// Net is an in-memory network. The zero Net has no listeners. Its methods may be
// called concurrently.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

type listener struct {
	address addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener at an address and replaces an earlier one there.
func (n *Net) Listen(address string) net.Listener {
	l := &listener{address: addr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	n.listeners[address] = l
	return l
}

// Dial connects to an address. It returns a *net.OpError if there is no listener
// or ctx ends before the connection is accepted.
func (n *Net) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Addr: addr(address), Err: net.ErrClosed}
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return conn{client, addr(address)}, nil
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

// conn reports its remote address, which clients dial again to send a cancel
// request.
type conn struct {
	net.Conn
	remote addr
}

func (c conn) RemoteAddr() net.Addr { return c.remote }

type addr string

func (addr) Network() string  { return "mem" }
func (a addr) String() string { return string(a) }
