package conns

import (
	"crypto/tls"
	"io"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

// TestUserTimeout guards against connections that stay open for minutes after
// their path was lost, and against breaking one whose target is alive but has
// not read a long message yet.
func TestUserTimeout(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the socket option exists on Linux only")
	}
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := dial(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	d, err := l.Accept()
	is.NoErr(err)
	defer d.Close()
	limit := func() (ms int) {
		raw, err := c.(syscall.Conn).SyscallConn()
		is.NoErr(err)
		var got error
		is.NoErr(raw.Control(func(fd uintptr) { ms, got = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) }))
		is.NoErr(got)
		return ms
	}
	write := func(n int) {
		var read sync.WaitGroup
		defer read.Wait()
		read.Go(func() { _, _ = io.CopyN(io.Discard, d, int64(n)) })
		_, err := c.Write(make([]byte, n))
		is.NoErr(err)
	}
	is.Equal(limit(), 1000)
	write(userTimeoutBytes)
	is.Equal(limit(), 1000)
	write(1)
	is.Equal(limit(), 0)
	_, err = d.Write([]byte("answer"))
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 6))
	is.NoErr(err)
	is.Equal(limit(), 1000)
	is.True(alive(c))
	is.True(alive(tls.Client(c, &tls.Config{}))) // alive finds the file descriptor through TLS
	_ = d.Close()
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(!alive(c))
}
