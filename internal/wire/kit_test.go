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

// stateError is an error with a SQLSTATE, as the other packages have them.
type stateError struct{ code, text string }

func (e stateError) Error() string    { return e.text }
func (e stateError) SQLState() string { return e.code }

// kit is a proxy in front of scripted targets; it plays the parts that other
// packages implement.
type kit struct {
	t       *testing.T
	srv     *Server
	cfg     Config
	pools   *conns.Pools
	table   *topo.Table
	targets map[ident.Target]*wiretest.Target

	mu       sync.Mutex
	grant    access.Authorization
	revoked  bool
	admit    error
	check    error
	floor    ident.Position
	floorErr error
	has      bool
	hasErr   error
	slots    int
	suspects int
	forward  []uint32
	down     map[ident.Target]bool
	busy     map[ident.Target]bool
	// frozen targets accept no connection, and the slots of taken ones never
	// come free; both make callers wait.
	frozen map[ident.Target]bool
	taken  map[ident.Target]bool
}

func (k *kit) Authenticate(ws ident.Workspace, route ident.Route, key string) (access.Authorization, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if key != "chv_k1_secret" || k.revoked {
		return access.Authorization{}, stateError{"28P01", "the key is not valid"}
	}
	g := k.grant
	g.Workspace, g.Route, g.KeyID = ws, route, "k1"
	return g, nil
}

func (k *kit) Check(access.Authorization) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.revoked {
		return stateError{"28P01", "the key was withdrawn"}
	}
	return k.check
}

func (k *kit) revoke() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revoked = true
}

func (k *kit) Admit(context.Context, ident.Workspace) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admit
}

func (k *kit) Acquire(ctx context.Context, t ident.Target, _ ident.Workspace, _ uint32) (func(), error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.taken[t] {
		k.mu.Unlock()
		<-ctx.Done()
		k.mu.Lock()
		return nil, stateError{"53300", "no slot came free"}
	}
	if k.busy[t] {
		return nil, stateError{"53300", "the queue is full"}
	}
	k.slots++
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.slots--
	}, nil
}

func (k *kit) Floor(context.Context, ident.Group) (ident.Position, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.floor, k.floorErr
}

func (k *kit) Suspect(ident.Group) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.suspects++
}

func (k *kit) Has(context.Context, ident.Group, ident.Position, ident.Term) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.has, k.hasErr
}

func (k *kit) Forward(_ context.Context, pid uint32, _ []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forward = append(k.forward, pid)
}

// targetAddress returns where a target of the kit listens.
func targetAddress(id ident.Target) string { return "10.0.0." + string(id[0]-'a'+'1') + ":5432" }

// newKit starts a proxy with a primary "a" and a replica "b" in its zone. All
// connections are in memory, so that the test's clock governs all time.
func newKit(t *testing.T, change ...func(*Config)) *kit {
	k := &kit{t: t, table: &topo.Table{}, targets: map[ident.Target]*wiretest.Target{}}
	k.grant = access.Authorization{Group: "g", RequestTimeout: 10 * time.Second, Class: "std"}
	group := catal.Group{Targets: map[ident.Target]catal.Target{}}
	for _, id := range []ident.Target{"a", "b"} {
		k.targets[id] = wiretest.New(string(id))
		k.targets[id].Handle = echo
		group.Targets[id] = catal.Target{Address: targetAddress(id), Zone: "z1", Slots: 4, Connections: 8}
	}
	k.table.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": group}})
	k.table.Learn(topo.Hint{Group: "g", Term: 1, Primary: "a"})
	k.pools = conns.New(conns.Config{User: "proxy", Groups: k.table, SuspectPrimary: k.Suspect, Dial: k.dialTarget})
	k.cfg = Config{
		Access: k, Limiter: k, Groups: k.table, Control: k, Pools: k.pools, CancelForwarder: k, VMNumber: 7,
		Location: sessn.Location{Zone: "z1", Region: "r1"}, AllowPlaintext: true,
	}
	for _, f := range change {
		f(&k.cfg)
	}
	k.srv = New(k.cfg)
	return k
}

// bubble runs a test with a paused clock.
func bubble(t *testing.T, f func(t *testing.T, is *is.I, k *kit), change ...func(*Config)) {
	synctest.Test(t, func(t *testing.T) {
		k := newKit(t, change...)
		defer k.pools.Close()
		defer func() {
			for _, tg := range k.targets {
				tg.CloseConns()
			}
		}()
		defer func() {
			k.srv.Close()
			synctest.Wait()
			k.mu.Lock()
			defer k.mu.Unlock()
			is.New(t).Equal(k.slots, 0) // each slot was given back once
		}()
		f(t, is.New(t), k)
	})
}

// memConn names its far end, which clients dial again for a cancel request.
type memConn struct {
	net.Conn
	remote net.TCPAddr
}

func (c memConn) RemoteAddr() net.Addr { return &c.remote }

func (k *kit) dialTarget(ctx context.Context, _, address string) (net.Conn, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, tg := range k.targets {
		if targetAddress(id) != address {
			continue
		}
		if k.frozen[id] {
			k.mu.Unlock()
			<-ctx.Done()
			k.mu.Lock()
			return nil, ctx.Err()
		}
		if k.down[id] {
			return nil, errors.New("no route to host")
		}
		ours, theirs := net.Pipe()
		go tg.ServeConn(theirs)
		return ours, nil
	}
	return nil, errors.New("unknown address " + address)
}

// setDown makes new connections to a target fail, and cuts the open ones.
func (k *kit) setDown(id ident.Target) {
	k.mu.Lock()
	if k.down == nil {
		k.down = map[ident.Target]bool{}
	}
	k.down[id] = true
	k.mu.Unlock()
	k.targets[id].CloseConns()
}

// dial opens a connection to the proxy.
func (k *kit) dial(context.Context, string, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go k.srv.ServeConn(theirs)
	return memConn{ours, net.TCPAddr{IP: net.IPv4(10, 0, 0, 9), Port: 5432}}, nil
}

// tryConnect opens an unchanged pgx connection to the proxy.
func (k *kit) tryConnect(change ...func(*pgx.ConnConfig)) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("host=10.0.0.9 user=taller password=chv_k1_secret dbname=orders sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = k.dial
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	for _, f := range change {
		f(cfg)
	}
	return pgx.ConnectConfig(k.t.Context(), cfg)
}

// connect opens a connection that must succeed.
func (k *kit) connect(change ...func(*pgx.ConnConfig)) *pgx.Conn {
	k.t.Helper()
	c, err := k.tryConnect(change...)
	if err != nil {
		k.t.Fatal(err)
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

// echo answers queries by their first parameter, and takes the rest as writes.
func echo(c *wiretest.Call) wiretest.Reply {
	switch {
	case !strings.HasPrefix(c.SQL, "SELECT"):
		return wiretest.WriteReply()
	case len(c.Params) > 0:
		return wiretest.RowsReply(c.Params[0])
	}
	return wiretest.RowsReply("1")
}
