package wire

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

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
	address string

	mu       sync.Mutex
	grant    access.Grant
	revoked  bool
	admit    error
	floor    ident.Position
	floorErr error
	has      bool
	hasErr   error
	admitted int
	suspects int
	forward  []uint32
}

func (k *kit) Authenticate(ws ident.Workspace, route ident.Route, key string) (access.Grant, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if key != "chv_k1_secret" || k.revoked {
		return access.Grant{}, stateError{"28P01", "the key is not valid"}
	}
	g := k.grant
	g.Workspace, g.Route, g.KeyID = ws, route, "k1"
	return g, nil
}

func (k *kit) Check(access.Grant) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.revoked {
		return stateError{"28P01", "the key was withdrawn"}
	}
	return nil
}

func (k *kit) revoke() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revoked = true
}

func (k *kit) Admit(context.Context, ident.Workspace) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admitted++
	return k.admit
}

func (k *kit) Acquire(context.Context, ident.Target, ident.Workspace, uint32) (func(), error) {
	return func() {}, nil
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

// newKit starts a proxy with a primary "a" and a replica "b" in its zone, both
// on loopback addresses.
func newKit(t *testing.T, change ...func(*Config)) *kit {
	t.Helper()
	k := &kit{t: t, table: &topo.Table{}, targets: map[ident.Target]*wiretest.Target{}}
	k.grant = access.Grant{Group: "g", Deadline: 10 * time.Second, Class: "std"}
	group := catal.Group{Targets: map[ident.Target]catal.Target{}}
	for _, id := range []ident.Target{"a", "b"} {
		tg := wiretest.New(string(id))
		l := listen(t)
		go tg.Serve(l)
		k.targets[id] = tg
		group.Targets[id] = catal.Target{Address: l.Addr().String(), Zone: "z1", Slots: 4, Connections: 8}
	}
	k.table.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": group}})
	k.table.Learn(topo.Hint{Group: "g", Term: 1, Primary: "a"})
	k.pools = conns.New(conns.Config{User: "proxy", Groups: k.table, Suspect: k.Suspect})
	k.cfg = Config{
		Access: k, Limiter: k, Groups: k.table, Control: k, Pools: k.pools, Cancel: k, Number: 7,
		Place: sessn.Place{Zone: "z1", Region: "r1"}, AllowPlain: true,
	}
	for _, f := range change {
		f(&k.cfg)
	}
	k.srv = New(k.cfg)
	l := listen(t)
	k.address = l.Addr().String()
	go func() { _ = k.srv.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		k.srv.Close()
		k.pools.Close()
	})
	return k
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func (k *kit) dsn() string {
	return "postgres://taller:chv_k1_secret@" + k.address + "/orders?sslmode=disable"
}

// connect returns an unchanged pgx connection to the proxy.
func (k *kit) connect() *pgx.Conn {
	k.t.Helper()
	c, err := pgx.Connect(k.t.Context(), k.dsn())
	if err != nil {
		k.t.Fatal(err)
	}
	k.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}
