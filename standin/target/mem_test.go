package target

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/memnet"
	"chervilspan.example/standin/repl"
)

// cluster is a group of servers on an in-memory network.
type cluster struct {
	t       fataler
	network *memnet.Net
	servers []*Server
	cfg     Config
}

// fataler is the part of testing.T and rapid.T that cluster uses.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

func newCluster(t fataler, n int, cfg Config) *cluster {
	c := &cluster{t: t, network: &memnet.Net{}, cfg: cfg}
	for i := range n {
		c.servers = append(c.servers, c.start(i))
	}
	return c
}

func (c *cluster) start(i int) *Server {
	c.t.Helper()
	cfg := c.cfg
	cfg.ID = ident.Target(fmt.Sprintf("a%d", i+1))
	cfg.Listener = c.network.Listen(fmt.Sprintf("10.0.0.%d:5432", i+1))
	cfg.Dial = c.network.Dial
	if cfg.DataDir != "" {
		cfg.DataDir += "/" + string(cfg.ID)
	}
	s, err := New(cfg)
	if err != nil {
		c.t.Fatalf("start %s: %v", cfg.ID, err)
	}
	return s
}

// members returns all targets, including those that an election does not reach.
func (c *cluster) members() []repl.Member {
	var out []repl.Member
	for _, s := range c.servers {
		out = append(out, repl.Member{ID: s.ID(), Address: s.Addr()})
	}
	return out
}

func (c *cluster) close() {
	for _, s := range c.servers {
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
	cfg.DialFunc = c.network.Dial
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

// closeConn closes connections without waiting for a target that does not
// answer.
func closeConn(conns ...*pgx.Conn) {
	for _, conn := range conns {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_ = conn.Close(ctx)
		cancel()
	}
}

var _ fataler = (*testing.T)(nil)
