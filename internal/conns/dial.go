package conns

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the
	// system breaks a connection. Its default of some 15 minutes would leave
	// the statement to its deadline.
	userTimeout = time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 0x12
	// userTimeoutBytes is what may be sent without an answer before the time
	// limit is lifted. A receive buffer of the default size takes more; when it
	// is full the system counts the time against the limit, although the target
	// lives and just doesn't read yet.
	userTimeoutBytes = 64 << 10
)

// dial opens connections that break soon after the path to the target is lost:
// within userTimeout when something was sent, else by keepalive.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	// One second is the least that the system takes.
	keepalive := net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
	d := net.Dialer{KeepAliveConfig: keepalive}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok || runtime.GOOS != "linux" {
		return c, nil
	}
	l := &limitedConn{TCPConn: t}
	if err := l.limit(userTimeout); err != nil {
		_ = c.Close()
		return nil, err
	}
	return l, nil
}

// limitedConn lifts the time limit for unacknowledged data while much of it
// awaits an answer.
type limitedConn struct {
	*net.TCPConn
	unanswered atomic.Int64
	lifted     atomic.Bool
}

// Write implements io.Writer.
func (l *limitedConn) Write(p []byte) (int, error) {
	if l.unanswered.Add(int64(len(p))) > userTimeoutBytes && l.lifted.CompareAndSwap(false, true) {
		if err := l.limit(0); err != nil {
			return 0, err
		}
	}
	return l.TCPConn.Write(p)
}

// Read implements io.Reader.
func (l *limitedConn) Read(p []byte) (int, error) {
	n, err := l.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	l.unanswered.Store(0)
	if l.lifted.CompareAndSwap(true, false) {
		// A connection that is already broken reports that with the next call.
		_ = l.limit(userTimeout)
	}
	return n, err
}

// limit sets the time that data may stay unacknowledged; 0 stands for the
// system's own.
func (l *limitedConn) limit(d time.Duration) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
