package failover

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"chervilspan.example/internal/dbctl"
	"chervilspan.example/internal/watch"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/elect"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/topo"
	"chervilspan.example/standin/memnet"
	"chervilspan.example/standin/target"
)

const group ident.Group = "g"

// fixture is a group of targets with the VMs that watch it.
type fixture struct {
	t        *testing.T
	net      memnet.Net
	targets  map[ident.Target]*target.Server
	dirs     map[ident.Target]string
	tables   []*topo.Table
	watchers []*watch.Watcher
	stop     func()

	mu sync.Mutex
	// unreachable holds the targets that no VM reaches.
	unreachable map[ident.Target]bool
	// answersToDrop holds, by the name of an SQL function, how many of the next
	// calls get no answer.
	answersToDrop map[string]int
}

type options struct {
	policy elect.Policy
	// soleWatcher makes each VM see itself as the only watcher, so that all of them
	// act at the same time.
	soleWatcher bool
	store       store.Store
}

type liveMembers []member.Info

func (m liveMembers) Live() []member.Info { return m }

func newFixture(t *testing.T, o options) *fixture {
	fx := &fixture{t: t, targets: map[ident.Target]*target.Server{}, dirs: map[ident.Target]string{}, unreachable: map[ident.Target]bool{}, answersToDrop: map[string]int{}}
	catalogue := &catal.Catalogue{Groups: map[ident.Group]catal.Group{group: {Targets: map[ident.Target]catal.Target{}}}}
	for i := range 3 {
		id := ident.Target(fmt.Sprintf("a%d", i+1))
		address := fmt.Sprintf("10.0.0.%d:5432", i+1)
		fx.dirs[id] = t.TempDir()
		fx.startTarget(id, address)
		catalogue.Groups[group].Targets[id] = catal.Target{Address: address}
	}
	all := liveMembers{{VM: "v1", Zone: "x"}, {VM: "v2", Zone: "x"}, {VM: "v3", Zone: "y"}}
	for i := range all {
		live := all
		if o.soleWatcher {
			live = all[i : i+1]
		}
		var table topo.Table
		table.Configure(catalogue)
		fx.tables = append(fx.tables, &table)
		fx.watchers = append(fx.watchers, watch.New(watch.Config{
			Self: all[i].VM, Table: &table, Fleet: live, Policy: o.policy, Store: o.store, Seed: uint64(i) + 1,
			Dial: func(_ ident.Group, id ident.Target, address string) watch.Conn { return fx.newClient(id, address) },
		}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, w := range fx.watchers {
		wg.Go(func() { w.Run(ctx) })
	}
	fx.stop = func() {
		cancel()
		wg.Wait()
		for _, s := range fx.targets {
			_ = s.SetFault(target.FaultFreeze, "0")
			_ = s.Close()
		}
	}
	time.Sleep(3 * time.Second)
	return fx
}

// startTarget starts a target, or restarts a closed one with its log and
// promised term.
func (fx *fixture) startTarget(id ident.Target, address string) {
	s, err := target.New(target.Config{ID: id, Listener: fx.net.Listen(address), Dial: fx.net.Dial, DataDir: fx.dirs[id]})
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.targets[id] = s
}

func (fx *fixture) newClient(id ident.Target, address string) *dbctl.Client {
	return dbctl.New(dbctl.Config{
		Target: id, Address: address, User: "chervild", Database: "db",
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if fx.isUnreachable(id) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			c, err := fx.net.Dial(ctx, network, address)
			return &lossyConn{Conn: c, fx: fx, id: id}, err
		},
	})
}

func (fx *fixture) isUnreachable(id ident.Target) bool {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.unreachable[id]
}

func (fx *fixture) setUnreachable(id ident.Target, unreachable bool) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.unreachable[id] = unreachable
}

// isolate disconnects a target from the VMs and the other targets, or connects
// it again.
func (fx *fixture) isolate(id ident.Target, cut bool) {
	fx.setUnreachable(id, cut)
	fault := target.FaultHeal
	if cut {
		fault = target.FaultCut
	}
	if err := fx.targets[id].SetFault(fault, "*"); err != nil {
		fx.t.Fatal(err)
	}
}

// consumeDrop reports whether the answer to the message b is to be dropped, and in
// that case decrements the number in answersToDrop.
func (fx *fixture) consumeDrop(b []byte) bool {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	for name, n := range fx.answersToDrop {
		if n > 0 && bytes.Contains(b, []byte(name)) {
			fx.answersToDrop[name]--
			return true
		}
	}
	return false
}

// lossyConn is a connection that becomes silent for good when its target is
// unreachable or an answer is to be dropped.
type lossyConn struct {
	net.Conn
	fx     *fixture
	id     ident.Target
	mu     sync.Mutex
	silent bool
}

func (c *lossyConn) checkSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = c.silent || c.fx.isUnreachable(c.id)
	return c.silent
}

func (c *lossyConn) Write(b []byte) (int, error) {
	if c.checkSilent() {
		return len(b), nil
	}
	if c.fx.consumeDrop(b) {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return c.Conn.Write(b)
}

func (c *lossyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.checkSilent() {
			return n, err
		}
	}
}

// status gets a target's status directly, also from an unreachable one.
func (fx *fixture) status(id ident.Target) (topo.Status, error) {
	c := dbctl.New(dbctl.Config{Target: id, Address: fx.targets[id].Addr(), User: target.AdminUser, Database: "db", Dial: fx.net.Dial})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Status(ctx)
}

// highestPrimary returns the primary of the highest term and that term.
func (fx *fixture) highestPrimary() (ident.Target, ident.Term) {
	var id ident.Target
	var term ident.Term
	for t := range fx.targets {
		if s, err := fx.status(t); err == nil && s.Role == topo.RolePrimary && s.Term > term {
			id, term = t, s.Term
		}
	}
	return id, term
}

// agreedPrimary returns the primary that all VMs agree on, empty if they do not.
func (fx *fixture) agreedPrimary() ident.Target {
	var out ident.Target
	for i, table := range fx.tables {
		g, _ := table.Group(group)
		if i > 0 && g.Primary != out {
			return ""
		}
		out = g.Primary
	}
	return out
}

// exec runs a statement directly at a target, also at an unreachable one.
func (fx *fixture) exec(id ident.Target, sql string) error {
	conn, err := fx.connect(id)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = conn.Exec(ctx, sql)
	return err
}

func (fx *fixture) connect(id ident.Target) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(fx.targets[id].Addr())
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port, cfg.User, cfg.Database = host, 5432, "app", "db"
	cfg.DialFunc, cfg.Fallbacks = fx.net.Dial, nil
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return pgx.ConnectConfig(ctx, cfg)
}

func closeConn(c *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_ = c.Close(ctx)
}

// ids returns the ids in table t of a target.
func (fx *fixture) ids(id ident.Target) ([]int64, error) {
	conn, err := fx.connect(id)
	if err != nil {
		return nil, err
	}
	defer closeConn(conn)
	rows, err := conn.Query(context.Background(), "SELECT id FROM t ORDER BY id")
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(rows, pgx.RowTo[int64])
}
