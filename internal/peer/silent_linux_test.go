package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"

	"chervilspan.example/internal/proto/peerpb"
)

// Times by which the tests of silent connections go. The shortest time within which a
// version must be in force on the platform is 4 s; its way to a VM takes 1 s of them.
const (
	maxSilence    = 3 * time.Second
	silentCall    = 400 * time.Millisecond
	silentPause   = 100 * time.Millisecond
	silentTimeout = 8 * time.Second
)

// recordingListener records the connections that it accepts.
type recordingListener struct {
	net.Listener
	mu       sync.Mutex
	accepted []net.Conn
}

func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.accepted = append(l.accepted, c)
	}
	return c, err
}

// silence makes the kernel drop each packet that arrives for a connection, unacknowledged.
func silence(t *testing.T, c net.Conn) {
	t.Helper()
	is := is.New(t)
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	var filterErr error
	err = raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
	is.NoErr(err)
	is.NoErr(filterErr)
}

// awaitAcknowledged waits until the kernel of the other end has acknowledged all bytes.
func awaitAcknowledged(t *testing.T, c net.Conn) {
	t.Helper()
	is := is.New(t)
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	for pending := 1; pending > 0; time.Sleep(time.Millisecond) {
		var ioctlErr error
		is.NoErr(raw.Control(func(fd uintptr) { pending, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }))
		is.NoErr(ioctlErr)
	}
}

// silentPair is a client and a server with a connection that can be silenced.
type silentPair struct {
	cache    *Cache
	listener *recordingListener
	client   peerpb.PeerClient
}

func newSilentPair(t *testing.T, h Handlers) *silentPair {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := &silentPair{cache: NewCache(CacheConfig{AllowPlaintext: true}), listener: &recordingListener{Listener: l}}
	srv := NewServer(ServerConfig{AllowPlaintext: true}, h)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(p.listener) }()
	t.Cleanup(func() {
		p.cache.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		srv.Stop(ctx)
		<-served
	})
	p.client, err = p.cache.Client(l.Addr().String())
	is.NoErr(err)
	return p
}

// silenceAll silences both ends of the connections that are open now.
func (p *silentPair) silenceAll(t *testing.T) {
	p.listener.mu.Lock()
	defer p.listener.mu.Unlock()
	for _, c := range p.listener.accepted {
		silence(t, c)
	}
	p.cache.mu.Lock()
	defer p.cache.mu.Unlock()
	for _, c := range p.cache.conns {
		silence(t, c.tracked.Load().Conn)
	}
}

func (p *silentPair) ping() error {
	ctx, cancel := context.WithTimeout(context.Background(), silentCall)
	defer cancel()
	_, err := p.client.Ping(ctx, &peerpb.PingRequest{})
	return err
}

// TestSilentConnection guards against a VM that another one can't reach any more because
// the open connection between them has gone silent for good, while a new one would work.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	p := newSilentPair(t, Handlers{Membership: echoMembership{}})
	is.NoErr(p.ping())
	p.silenceAll(t)
	start := time.Now()
	for p.ping() != nil {
		if time.Since(start) > silentTimeout {
			t.Fatalf("no answer for %v", time.Since(start))
		}
		time.Sleep(silentPause)
	}
	if d := time.Since(start); d > maxSilence {
		t.Errorf("answered again after %v, more than %v", d, maxSilence)
	}
}

// waitingRelay is a lender that waits for the borrower's next message.
type waitingRelay struct{ ended chan struct{} }

func (r waitingRelay) Relay(st grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayReply]) error {
	defer close(r.ended)
	if err := st.Send(&peerpb.RelayReply{}); err != nil {
		return err
	}
	_, err := st.Recv()
	return err
}

// TestSilentBorrower guards against a lender that keeps a database connection for a
// borrower whose connection has gone silent, until a ping after half a minute.
func TestSilentBorrower(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	p := newSilentPair(t, Handlers{Relay: waitingRelay{ended}})
	ctx, cancel := context.WithTimeout(t.Context(), silentTimeout)
	defer cancel()
	st, err := p.client.Relay(ctx)
	is.NoErr(err)
	_, err = st.Recv()
	is.NoErr(err)
	awaitAcknowledged(t, p.listener.accepted[0]) // only probes can find the loss then
	p.silenceAll(t)
	select {
	case <-ended:
	case <-time.After(silentTimeout):
		t.Error("the lender still waits for the borrower")
	}
}
