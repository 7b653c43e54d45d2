package conns

import (
	"net"
	"runtime"
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
)

// dialer opens connections that break soon after the path to the target is
// lost: within userTimeout when something was sent, else by keepalive.
func dialer() *net.Dialer {
	return &net.Dialer{
		// One second is the least that the system takes.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         setUserTimeout,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	if runtime.GOOS != "linux" {
		return nil
	}
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
