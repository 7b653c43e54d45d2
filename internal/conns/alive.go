package conns

import (
	"crypto/tls"
	"net"
	"syscall"
)

// alive reports whether an idle connection is open with nothing to read. Data
// that arrives outside a statement is an error or a late answer. On a connection
// that the target has closed, the next write would have an unknown outcome.
// Connections without a file descriptor count as alive.
func alive(c net.Conn) bool {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
