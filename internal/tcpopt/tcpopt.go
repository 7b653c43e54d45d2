package tcpopt

import (
	"context"
	"net"
	"runtime"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package syscall does
// not define.
const tcpUserTimeout = 0x12

// LossDetection says how soon the loss of a connection's path is detected. The zero value
// leaves the defaults of the system.
type LossDetection struct {
	// Unacknowledged is how long sent bytes may stay unacknowledged; 0 means the default
	// of the system, some 15 minutes.
	Unacknowledged time.Duration
	// KeepAlive configures the probes of idle connections. Without it, a listener's are
	// those that it has, and a dialed connection has those of package net.
	KeepAlive net.KeepAliveConfig
}

// Dial opens a connection.
func (d LossDetection) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: d.KeepAlive}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := SetUserTimeout(tcp, d.Unacknowledged); err != nil {
			_ = c.Close() // the error that is returned says more
			return nil, err
		}
	}
	return c, nil
}

// Listener returns a listener whose connections are set as d says.
func (d LossDetection) Listener(l net.Listener) net.Listener { return listener{l, d} }

type listener struct {
	net.Listener
	loss LossDetection
}

// acceptedConn hides its type from servers that set the timeout of a *net.TCPConn to a
// value of their own, as gRPC does to that of its pings.
type acceptedConn struct{ net.Conn }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// An error means that the connection is closed already, which its first use reports.
		_ = SetUserTimeout(tcp, l.loss.Unacknowledged)
		if l.loss.KeepAlive.Enable {
			_ = tcp.SetKeepAliveConfig(l.loss.KeepAlive)
		}
	}
	return acceptedConn{c}, nil
}

// SetUserTimeout sets how long bytes sent on a connection may stay unacknowledged before
// the kernel breaks it; 0 means the default of the system. Other systems than Linux have no
// such option, and the call does nothing.
func SetUserTimeout(c *net.TCPConn, d time.Duration) error {
	if runtime.GOOS != "linux" {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
