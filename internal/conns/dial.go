package conns

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"chervilspan.example/internal/tcpopt"
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the
	// system breaks a connection. With the system's default of some 15 minutes
	// a statement would wait until its deadline.
	userTimeout = time.Second
	// userTimeoutBytes is how much may be sent without an answer before the
	// timeout is lifted. A receive buffer of the default size holds more. While
	// the buffer is full the timeout runs, although the target is alive and only
	// has not read the data yet.
	userTimeoutBytes = 64 << 10
)

// dial opens a connection that breaks soon after the path to the target is lost:
// within userTimeout when data was sent, else by keepalive.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	// One second is the minimum that the system accepts.
	loss := tcpopt.LossDetection{
		Unacknowledged: userTimeout,
		KeepAlive:      net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	c, err := loss.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		return &userTimeoutConn{TCPConn: t}, nil
	}
	return c, nil
}

// userTimeoutConn lifts the timeout for unacknowledged data while more than
// userTimeoutBytes were sent without an answer.
type userTimeoutConn struct {
	*net.TCPConn
	unanswered atomic.Int64
	lifted     atomic.Bool
}

// Write implements io.Writer.
func (l *userTimeoutConn) Write(p []byte) (int, error) {
	if l.unanswered.Add(int64(len(p))) > userTimeoutBytes && l.lifted.CompareAndSwap(false, true) {
		if err := tcpopt.SetUserTimeout(l.TCPConn, 0); err != nil {
			return 0, err
		}
	}
	return l.TCPConn.Write(p)
}

// Read implements io.Reader.
func (l *userTimeoutConn) Read(p []byte) (int, error) {
	n, err := l.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	l.unanswered.Store(0)
	if l.lifted.CompareAndSwap(true, false) {
		// If the connection is already broken, the next call reports that.
		_ = tcpopt.SetUserTimeout(l.TCPConn, userTimeout)
	}
	return n, err
}
