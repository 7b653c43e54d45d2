package e2e

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"chervilspan.example/internal/conns"
	"chervilspan.example/internal/wire"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/sessn"
	"chervilspan.example/pkg/topo"
	"chervilspan.example/standin/target"
)

// memNet is a network inside the process, so that the test's clock governs all
// time.
type memNet struct {
	mu    sync.Mutex
	hosts map[string]*memListener
}

type memListener struct {
	address net.TCPAddr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type memConn struct {
	net.Conn
	remote net.TCPAddr
}

func (c memConn) RemoteAddr() net.Addr { return &c.remote }

func (n *memNet) listen(last byte) *memListener {
	l := &memListener{address: net.TCPAddr{IP: net.IPv4(10, 0, 0, last), Port: 5432}, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[l.address.String()] = l
	return l
}

func (n *memNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	host := n.hosts[address]
	n.mu.Unlock()
	ours, theirs := net.Pipe()
	remote, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	select {
	case host.conns <- theirs:
		return memConn{ours, *remote}, nil
	case <-host.closed:
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

func (l *memListener) Addr() net.Addr { return &l.address }

// kit is a proxy in front of a group of three targets; "a" is the primary.
type kit struct {
	t       *testing.T
	net     *memNet
	table   *topo.Table
	targets []*target.Server
	pools   *conns.Pools
	srv     *wire.Server
	grant   access.Authorization
	scope   tally.TestScope
}

func (k *kit) Authenticate(ws ident.Workspace, route ident.Route, _ string) (access.Authorization, error) {
	g := k.grant
	g.Workspace, g.Route = ws, route
	return g, nil
}

func (k *kit) Check(access.Authorization) error { return nil }

func (k *kit) Admit(context.Context, ident.Workspace) error { return nil }

func (k *kit) Acquire(context.Context, ident.Target, ident.Workspace, uint32) (func(), error) {
	return func() {}, nil
}

// Floor asks two of the three targets, which are a majority.
func (k *kit) Floor(ctx context.Context, _ ident.Group) (ident.Position, error) {
	var floor ident.Position
	reached := 0
	for _, s := range k.targets {
		var term, index uint64
		if err := k.ask(ctx, s, "SELECT log_term, log_index FROM chervil_status()", &term, &index); err == nil {
			reached++
			floor = floor.Max(ident.Position{Term: ident.Term(term), Index: index})
		}
	}
	if reached < 2 {
		return ident.Position{}, errors.New("no majority")
	}
	return floor, nil
}

func (k *kit) Suspect(ident.Group) {}

func (k *kit) Has(ctx context.Context, g ident.Group, p ident.Position, after ident.Term) (has bool, err error) {
	row, _ := k.table.Group(g)
	if row.Term <= after {
		return false, errors.New("there is no newer primary")
	}
	for _, s := range k.targets {
		if s.ID() == row.Primary {
			err = k.ask(ctx, s, "SELECT chervil_has('"+p.String()+"')", &has)
			return has, err
		}
	}
	return false, errors.New("unknown primary")
}

// ask runs a statement of the control plane on a connection of its own.
func (k *kit) ask(ctx context.Context, s *target.Server, sql string, into ...any) error {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	c, err := k.open(ctx, s.Addr(), "control")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	return c.QueryRow(ctx, sql, pgx.QueryExecModeSimpleProtocol).Scan(into...)
}

func (k *kit) open(ctx context.Context, address, user string) (*pgx.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	cfg, err := pgx.ParseConfig("host=" + host + " port=5432 user=" + user + " password=chv_k_s dbname=orders sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = k.net.dial
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	return pgx.ConnectConfig(ctx, cfg)
}

// connect opens an unchanged pgx connection to the proxy.
func (k *kit) connect() *pgx.Conn {
	k.t.Helper()
	c, err := k.open(k.t.Context(), "10.0.0.9:5432", "taller")
	if err != nil {
		k.t.Fatal(err)
	}
	return c
}

func (k *kit) exec(c *pgx.Conn, sql string, args ...any) {
	k.t.Helper()
	if _, err := c.Exec(k.t.Context(), sql, args...); err != nil {
		k.t.Fatalf("%s: %v", sql, err)
	}
}

// fault sets a fault on a target by its place.
func (k *kit) fault(i int, name, value string) {
	k.t.Helper()
	if err := k.targets[i].SetFault(name, value); err != nil {
		k.t.Fatal(err)
	}
}

// elect makes the targets at the given places a group of a new term.
func (k *kit) elect(term ident.Term, places ...int) {
	k.t.Helper()
	var list []*target.Server
	for _, i := range places {
		list = append(list, k.targets[i])
	}
	if err := target.Elect(k.t.Context(), term, list...); err != nil {
		k.t.Fatal(err)
	}
	k.table.Learn(topo.Hint{Group: "g", Term: term, Primary: list[0].ID()})
}

// bubble runs a test with a paused clock and a table of orders.
func bubble(t *testing.T, cfg target.Config, f func(t *testing.T, is *is.I, k *kit)) {
	synctest.Test(t, func(t *testing.T) {
		k := &kit{t: t, net: &memNet{hosts: map[string]*memListener{}}, table: &topo.Table{}, scope: tally.NewTestScope("", nil)}
		k.grant = access.Authorization{Group: "g", RequestTimeout: 5 * time.Second}
		group := catal.Group{Targets: map[ident.Target]catal.Target{}}
		for i, id := range []ident.Target{"a", "b", "c"} {
			c := cfg
			l := k.net.listen(byte(i + 1))
			c.ID, c.Listener, c.Dial = id, l, k.net.dial
			s, err := target.New(c)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			k.targets = append(k.targets, s)
			group.Targets[id] = catal.Target{Address: l.address.String(), Zone: "z", Slots: 5, Connections: 30}
		}
		k.table.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": group}})
		k.elect(1, 0, 1, 2)
		k.pools = conns.New(conns.Config{User: "proxy", Groups: k.table, Dial: k.net.dial})
		defer k.pools.Close()
		k.srv = wire.New(wire.Config{
			Access: k, Limiter: k, Groups: k.table, Control: k, Pools: k.pools, AllowPlaintext: true, Location: sessn.Location{Zone: "z"},
			Scope: k.scope,
		})
		defer k.srv.Close()
		l := k.net.listen(9)
		defer l.Close()
		go func() { _ = k.srv.Serve(l) }()
		k.exec(k.connect(), "CREATE TABLE orders (id text PRIMARY KEY, metres int)")
		f(t, is.New(t), k)
	})
}

func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
