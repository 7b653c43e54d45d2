package target

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/repl"
)

// memNet is a network inside the process, which synctest can follow.
type memNet struct {
	mu    sync.Mutex
	hosts map[string]*memListener
}

type memListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newMemNet() *memNet { return &memNet{hosts: map[string]*memListener{}} }

func (n *memNet) listen(address string) *memListener {
	l := &memListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = l
	return l
}

func (n *memNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.hosts[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("no listener at %s", address)
	}
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return memConn{ours, memAddr(address)}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

// memConn names its far end, which clients dial again for a cancel request.
type memConn struct {
	net.Conn
	remote memAddr
}

func (c memConn) RemoteAddr() net.Addr { return c.remote }

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

// cluster is a group of servers on a memNet.
type cluster struct {
	t   failer
	net *memNet
	all []*Server
	cfg Config
}

// failer is what testing.T and rapid.T share.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

func newCluster(t failer, n int, cfg Config) *cluster {
	c := &cluster{t: t, net: newMemNet(), cfg: cfg}
	for i := range n {
		c.all = append(c.all, c.start(i))
	}
	return c
}

func (c *cluster) start(i int) *Server {
	c.t.Helper()
	cfg := c.cfg
	cfg.ID = ident.Target(fmt.Sprintf("a%d", i+1))
	cfg.Listener = c.net.listen(fmt.Sprintf("10.0.0.%d:5432", i+1))
	cfg.Dial = c.net.dial
	if cfg.DataDir != "" {
		cfg.DataDir += "/" + string(cfg.ID)
	}
	s, err := New(cfg)
	if err != nil {
		c.t.Fatalf("start %s: %v", cfg.ID, err)
	}
	return s
}

// members are all targets, also those that an election does not reach.
func (c *cluster) members() []repl.Member {
	var out []repl.Member
	for _, s := range c.all {
		out = append(out, repl.Member{ID: s.ID(), Address: s.Addr()})
	}
	return out
}

func (c *cluster) close() {
	for _, s := range c.all {
		_ = s.Close()
	}
}

func (c *cluster) connect(s *Server) *pgx.Conn {
	c.t.Helper()
	return c.connectAs(s, "app")
}

func (c *cluster) connectAs(s *Server, user string) *pgx.Conn {
	c.t.Helper()
	conn, err := c.tryConnect(s, user)
	if err != nil {
		c.t.Fatalf("connect to %s: %v", s.ID(), err)
	}
	return conn
}

func (c *cluster) tryConnect(s *Server, user string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(s.Addr())
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port, cfg.User, cfg.Password, cfg.Database = host, 5432, user, c.cfg.Password, "db"
	cfg.DialFunc = c.net.dial
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	cfg.Fallbacks = nil
	return pgx.ConnectConfig(context.Background(), cfg)
}

func (c *cluster) exec(conn *pgx.Conn, text string, args ...any) {
	c.t.Helper()
	if _, err := conn.Exec(context.Background(), text, args...); err != nil {
		c.t.Fatalf("%s: %v", text, err)
	}
}

// closeConn ends a connection without waiting for a target that answers
// nothing.
func closeConn(conns ...*pgx.Conn) {
	for _, conn := range conns {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_ = conn.Close(ctx)
		cancel()
	}
}

var _ failer = (*testing.T)(nil)
