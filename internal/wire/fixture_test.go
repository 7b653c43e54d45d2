package wire

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"chervilspan.example/internal/conns"
	"chervilspan.example/internal/wiretest"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/sessn"
	"chervilspan.example/pkg/topo"
)

// sqlStateError is an error with a SQLSTATE, like those of Access and Limiter.
type sqlStateError struct{ code, text string }

func (e sqlStateError) Error() string    { return e.text }
func (e sqlStateError) SQLState() string { return e.code }

// fixture is a proxy in front of scripted targets. It implements Access, Limiter,
// Control and CancelForwarder.
type fixture struct {
	t       *testing.T
	srv     *Server
	cfg     Config
	pools   *conns.Pools
	table   *topo.Table
	targets map[ident.Target]*wiretest.Target

	mu           sync.Mutex
	auth         access.Authorization
	revoked      bool
	admitErr     error
	checkErr     error
	floor        ident.Position
	floorErr     error
	hasCommit    bool
	hasErr       error
	slots        int
	suspectCount int
	forwarded    []uint32
	down         map[ident.Target]bool
	queueFull    map[ident.Target]bool
	// frozen targets do not answer connection attempts, and no slot of those in
	// slotsTaken comes free. Both make callers wait.
	frozen     map[ident.Target]bool
	slotsTaken map[ident.Target]bool
}

func (fx *fixture) Authenticate(ws ident.Workspace, route ident.Route, key string) (access.Authorization, error) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if key != "chv_k1_secret" || fx.revoked {
		return access.Authorization{}, sqlStateError{"28P01", "the key is not valid"}
	}
	auth := fx.auth
	auth.Workspace, auth.Route, auth.KeyID = ws, route, "k1"
	return auth, nil
}

func (fx *fixture) Check(access.Authorization) error {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if fx.revoked {
		return sqlStateError{"28P01", "the key was withdrawn"}
	}
	return fx.checkErr
}

func (fx *fixture) revoke() {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.revoked = true
}

func (fx *fixture) Admit(context.Context, ident.Workspace) error {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.admitErr
}

func (fx *fixture) Acquire(ctx context.Context, t ident.Target, _ ident.Workspace, _ uint32) (func(), error) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if fx.slotsTaken[t] {
		fx.mu.Unlock()
		<-ctx.Done()
		fx.mu.Lock()
		return nil, sqlStateError{"53300", "no slot came free"}
	}
	if fx.queueFull[t] {
		return nil, sqlStateError{"53300", "the queue is full"}
	}
	fx.slots++
	return func() {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		fx.slots--
	}, nil
}

func (fx *fixture) Floor(context.Context, ident.Group) (ident.Position, error) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.floor, fx.floorErr
}

func (fx *fixture) Suspect(ident.Group) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.suspectCount++
}

func (fx *fixture) Has(context.Context, ident.Group, ident.Position, ident.Term) (bool, error) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.hasCommit, fx.hasErr
}

func (fx *fixture) Forward(_ context.Context, pid uint32, _ []byte) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.forwarded = append(fx.forwarded, pid)
}

// targetAddress returns the address of a target of the fixture.
func targetAddress(id ident.Target) string { return "10.0.0." + string(id[0]-'a'+'1') + ":5432" }

// newFixture starts a proxy with a primary "a" and a replica "b" in its zone. All
// connections are in memory, so that all time-outs follow the test's clock.
func newFixture(t *testing.T, change ...func(*Config)) *fixture {
	fx := &fixture{t: t, table: &topo.Table{}, targets: map[ident.Target]*wiretest.Target{}}
	fx.auth = access.Authorization{Group: "g", RequestTimeout: 10 * time.Second, Class: "std"}
	group := catal.Group{Targets: map[ident.Target]catal.Target{}}
	for _, id := range []ident.Target{"a", "b"} {
		fx.targets[id] = wiretest.New(string(id))
		fx.targets[id].Handle = echo
		group.Targets[id] = catal.Target{Address: targetAddress(id), Zone: "z1", Slots: 4, Connections: 8}
	}
	fx.table.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": group}})
	fx.table.Learn(topo.Hint{Group: "g", Term: 1, Primary: "a"})
	fx.pools = conns.New(conns.Config{User: "proxy", Groups: fx.table, SuspectPrimary: fx.Suspect, Dial: fx.dialTarget})
	fx.cfg = Config{
		Access: fx, Limiter: fx, Groups: fx.table, Control: fx, Pools: fx.pools, CancelForwarder: fx, VMNumber: 7,
		Location: sessn.Location{Zone: "z1", Region: "r1"}, AllowPlaintext: true,
	}
	for _, f := range change {
		f(&fx.cfg)
	}
	fx.srv = New(fx.cfg)
	return fx
}

// withFixture runs a test in a synctest bubble, which has a fake clock.
func withFixture(t *testing.T, f func(t *testing.T, is *is.I, fx *fixture), change ...func(*Config)) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, change...)
		defer fx.pools.Close()
		defer func() {
			for _, tg := range fx.targets {
				tg.CloseConns()
			}
		}()
		defer func() {
			fx.srv.Close()
			synctest.Wait()
			fx.mu.Lock()
			defer fx.mu.Unlock()
			is.New(t).Equal(fx.slots, 0) // each slot was released once
		}()
		f(t, is.New(t), fx)
	})
}

// memConn has a remote address, which clients dial again for a cancel request.
type memConn struct {
	net.Conn
	remote net.TCPAddr
}

func (c memConn) RemoteAddr() net.Addr { return &c.remote }

func (fx *fixture) dialTarget(ctx context.Context, _, address string) (net.Conn, error) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	for id, tg := range fx.targets {
		if targetAddress(id) != address {
			continue
		}
		if fx.frozen[id] {
			fx.mu.Unlock()
			<-ctx.Done()
			fx.mu.Lock()
			return nil, ctx.Err()
		}
		if fx.down[id] {
			return nil, errors.New("no route to host")
		}
		ours, theirs := net.Pipe()
		go tg.ServeConn(theirs)
		return ours, nil
	}
	return nil, errors.New("unknown address " + address)
}

// setDown makes new connections to a target fail, and cuts the open ones.
func (fx *fixture) setDown(id ident.Target) {
	fx.mu.Lock()
	if fx.down == nil {
		fx.down = map[ident.Target]bool{}
	}
	fx.down[id] = true
	fx.mu.Unlock()
	fx.targets[id].CloseConns()
}

// dial opens a connection to the proxy.
func (fx *fixture) dial(context.Context, string, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go fx.srv.ServeConn(theirs)
	return memConn{ours, net.TCPAddr{IP: net.IPv4(10, 0, 0, 9), Port: 5432}}, nil
}

// tryConnect connects an unmodified pgx client to the proxy.
func (fx *fixture) tryConnect(change ...func(*pgx.ConnConfig)) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("host=10.0.0.9 user=taller password=chv_k1_secret dbname=orders sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = fx.dial
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	for _, f := range change {
		f(cfg)
	}
	return pgx.ConnectConfig(fx.t.Context(), cfg)
}

// connect opens a connection that must succeed.
func (fx *fixture) connect(change ...func(*pgx.ConnConfig)) *pgx.Conn {
	fx.t.Helper()
	c, err := fx.tryConnect(change...)
	if err != nil {
		fx.t.Fatal(err)
	}
	return c
}

// code returns the SQLSTATE of an error that a client got.
func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// echo answers a SELECT with its first parameter, and treats anything else as a
// write.
func echo(c *wiretest.Call) wiretest.Reply {
	switch {
	case !strings.HasPrefix(c.SQL, "SELECT"):
		return wiretest.WriteReply()
	case len(c.Params) > 0:
		return wiretest.RowsReply(c.Params[0])
	}
	return wiretest.RowsReply("1")
}
