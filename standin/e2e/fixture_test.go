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

// memNetwork is an in-memory network, so that synctest's fake clock governs all
// waiting.
type memNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memListener
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

func (n *memNetwork) listen(last byte) *memListener {
	l := &memListener{address: net.TCPAddr{IP: net.IPv4(10, 0, 0, last), Port: 5432}, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[l.address.String()] = l
	return l
}

func (n *memNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	client, server := net.Pipe()
	remote, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	select {
	case l.conns <- server:
		return memConn{client, *remote}, nil
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

func (l *memListener) Addr() net.Addr { return &l.address }

// fixture is a proxy in front of a group of three targets, with "a" as the first
// primary.
type fixture struct {
	t       *testing.T
	net     *memNetwork
	table   *topo.Table
	targets []*target.Server
	pools   *conns.Pools
	srv     *wire.Server
	auth    access.Authorization
	scope   tally.TestScope
}

func (fx *fixture) Authenticate(ws ident.Workspace, route ident.Route, _ string) (access.Authorization, error) {
	auth := fx.auth
	auth.Workspace, auth.Route = ws, route
	return auth, nil
}

func (fx *fixture) Check(access.Authorization) error { return nil }

func (fx *fixture) Admit(context.Context, ident.Workspace) error { return nil }

func (fx *fixture) Acquire(context.Context, ident.Target, ident.Workspace, uint32) (func(), error) {
	return func() {}, nil
}

// Floor returns the highest log position of the targets and requires answers from
// two of the three, a majority.
func (fx *fixture) Floor(ctx context.Context, _ ident.Group) (ident.Position, error) {
	var floor ident.Position
	reached := 0
	for _, s := range fx.targets {
		var term, index uint64
		if err := fx.queryControl(ctx, s, "SELECT log_term, log_index FROM chervil_status()", &term, &index); err == nil {
			reached++
			floor = floor.Max(ident.Position{Term: ident.Term(term), Index: index})
		}
	}
	if reached < 2 {
		return ident.Position{}, errors.New("no majority")
	}
	return floor, nil
}

func (fx *fixture) Suspect(ident.Group) {}

func (fx *fixture) Has(ctx context.Context, g ident.Group, p ident.Position, after ident.Term) (has bool, err error) {
	row, _ := fx.table.Group(g)
	if row.Term <= after {
		return false, errors.New("there is no newer primary")
	}
	for _, s := range fx.targets {
		if s.ID() == row.Primary {
			err = fx.queryControl(ctx, s, "SELECT chervil_has('"+p.String()+"')", &has)
			return has, err
		}
	}
	return false, errors.New("unknown primary")
}

// queryControl runs a control statement at a target on a new connection.
func (fx *fixture) queryControl(ctx context.Context, s *target.Server, sql string, into ...any) error {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	c, err := fx.dial(ctx, s.Addr(), "control")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	return c.QueryRow(ctx, sql, pgx.QueryExecModeSimpleProtocol).Scan(into...)
}

func (fx *fixture) dial(ctx context.Context, address, user string) (*pgx.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	cfg, err := pgx.ParseConfig("host=" + host + " port=5432 user=" + user + " password=chv_k_s dbname=orders sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = fx.net.dial
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	return pgx.ConnectConfig(ctx, cfg)
}

// connect opens an unmodified pgx connection to the proxy.
func (fx *fixture) connect() *pgx.Conn {
	fx.t.Helper()
	c, err := fx.dial(fx.t.Context(), "10.0.0.9:5432", "taller")
	if err != nil {
		fx.t.Fatal(err)
	}
	return c
}

func (fx *fixture) exec(c *pgx.Conn, sql string, args ...any) {
	fx.t.Helper()
	if _, err := c.Exec(fx.t.Context(), sql, args...); err != nil {
		fx.t.Fatalf("%s: %v", sql, err)
	}
}

// setFault sets a fault on the target with index i.
func (fx *fixture) setFault(i int, name, value string) {
	fx.t.Helper()
	if err := fx.targets[i].SetFault(name, value); err != nil {
		fx.t.Fatal(err)
	}
}

// elect starts a new term with the targets of the given indexes; the first one is
// the primary.
func (fx *fixture) elect(term ident.Term, indexes ...int) {
	fx.t.Helper()
	var members []*target.Server
	for _, i := range indexes {
		members = append(members, fx.targets[i])
	}
	if err := target.Elect(fx.t.Context(), term, members...); err != nil {
		fx.t.Fatal(err)
	}
	fx.table.Learn(topo.Hint{Group: "g", Term: term, Primary: members[0].ID()})
}

// withFixture runs a test with a fake clock and a table of orders.
func withFixture(t *testing.T, cfg target.Config, f func(t *testing.T, is *is.I, fx *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		fx := &fixture{t: t, net: &memNetwork{listeners: map[string]*memListener{}}, table: &topo.Table{}, scope: tally.NewTestScope("", nil)}
		fx.auth = access.Authorization{Group: "g", RequestTimeout: 5 * time.Second}
		group := catal.Group{Targets: map[ident.Target]catal.Target{}}
		for i, id := range []ident.Target{"a", "b", "c"} {
			c := cfg
			l := fx.net.listen(byte(i + 1))
			c.ID, c.Listener, c.Dial = id, l, fx.net.dial
			s, err := target.New(c)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			fx.targets = append(fx.targets, s)
			group.Targets[id] = catal.Target{Address: l.address.String(), Zone: "z", Slots: 5, Connections: 30}
		}
		fx.table.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": group}})
		fx.elect(1, 0, 1, 2)
		fx.pools = conns.New(conns.Config{User: "proxy", Groups: fx.table, Dial: fx.net.dial})
		defer fx.pools.Close()
		fx.srv = wire.New(wire.Config{
			Access: fx, Limiter: fx, Groups: fx.table, Control: fx, Pools: fx.pools, AllowPlaintext: true, Location: sessn.Location{Zone: "z"},
			Scope: fx.scope,
		})
		defer fx.srv.Close()
		l := fx.net.listen(9)
		defer l.Close()
		go func() { _ = fx.srv.Serve(l) }()
		fx.exec(fx.connect(), "CREATE TABLE orders (id text PRIMARY KEY, metres int)")
		f(t, is.New(t), fx)
	})
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
