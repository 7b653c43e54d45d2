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

// rig is a group of targets with the VMs that watch it.
type rig struct {
	t       *testing.T
	net     memnet.Net
	targets map[ident.Target]*target.Server
	dirs    map[ident.Target]string
	tables  []*topo.Table
	vms     []*watch.Watcher
	stop    func()

	mu sync.Mutex
	// cut has the targets that no VM reaches.
	cut map[ident.Target]bool
	// lose has how many calls of a name get no answer.
	lose map[string]int
}

type options struct {
	policy elect.Policy
	// alone lets each VM take itself for the only watcher, so that all race.
	alone bool
	store store.Store
}

type fleet []member.Info

func (f fleet) Live() []member.Info { return f }

func newRig(t *testing.T, o options) *rig {
	r := &rig{t: t, targets: map[ident.Target]*target.Server{}, dirs: map[ident.Target]string{}, cut: map[ident.Target]bool{}, lose: map[string]int{}}
	cat := &catal.Catalogue{Groups: map[ident.Group]catal.Group{group: {Targets: map[ident.Target]catal.Target{}}}}
	for i := range 3 {
		id := ident.Target(fmt.Sprintf("a%d", i+1))
		address := fmt.Sprintf("10.0.0.%d:5432", i+1)
		r.dirs[id] = t.TempDir()
		r.start(id, address)
		cat.Groups[group].Targets[id] = catal.Target{Address: address}
	}
	all := fleet{{VM: "v1", Zone: "x"}, {VM: "v2", Zone: "x"}, {VM: "v3", Zone: "y"}}
	for i := range all {
		live := all
		if o.alone {
			live = all[i : i+1]
		}
		var table topo.Table
		table.Configure(cat)
		r.tables = append(r.tables, &table)
		r.vms = append(r.vms, watch.New(watch.Config{
			Self: all[i].VM, Table: &table, Fleet: live, Policy: o.policy, Store: o.store, Seed: uint64(i) + 1,
			Dial: func(_ ident.Group, id ident.Target, address string) watch.Conn { return r.client(id, address) },
		}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, w := range r.vms {
		wg.Go(func() { w.Run(ctx) })
	}
	r.stop = func() {
		cancel()
		wg.Wait()
		for _, s := range r.targets {
			_ = s.SetFault(target.FaultFreeze, "0")
			_ = s.Close()
		}
	}
	time.Sleep(3 * time.Second)
	return r
}

// start starts a target, again after it was closed: it keeps its log and
// promises.
func (r *rig) start(id ident.Target, address string) {
	s, err := target.New(target.Config{ID: id, Listener: r.net.Listen(address), Dial: r.net.Dial, DataDir: r.dirs[id]})
	if err != nil {
		r.t.Fatal(err)
	}
	r.targets[id] = s
}

func (r *rig) client(id ident.Target, address string) *dbctl.Client {
	return dbctl.New(dbctl.Config{
		Target: id, Address: address, User: "chervild", Database: "db",
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if r.isCut(id) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			c, err := r.net.Dial(ctx, network, address)
			return &lossy{Conn: c, r: r, id: id}, err
		},
	})
}

func (r *rig) isCut(id ident.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[id]
}

func (r *rig) setCut(id ident.Target, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[id] = cut
}

// isolate cuts a target off from VMs and other targets, or heals it.
func (r *rig) isolate(id ident.Target, cut bool) {
	r.setCut(id, cut)
	fault := target.FaultHeal
	if cut {
		fault = target.FaultCut
	}
	if err := r.targets[id].SetFault(fault, "*"); err != nil {
		r.t.Fatal(err)
	}
}

// loses reports whether the answer to what is written is to be lost.
func (r *rig) loses(b []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, n := range r.lose {
		if n > 0 && bytes.Contains(b, []byte(name)) {
			r.lose[name]--
			return true
		}
	}
	return false
}

// lossy is a connection that goes silent when its target is cut off, and when
// an answer is to be lost.
type lossy struct {
	net.Conn
	r      *rig
	id     ident.Target
	mu     sync.Mutex
	silent bool
}

func (c *lossy) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = c.silent || c.r.isCut(c.id)
	return c.silent
}

func (c *lossy) Write(b []byte) (int, error) {
	if c.quiet() {
		return len(b), nil
	}
	if c.r.loses(b) {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return c.Conn.Write(b)
}

func (c *lossy) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.quiet() {
			return n, err
		}
	}
}

// status asks a target past all cuts.
func (r *rig) status(id ident.Target) (topo.Status, error) {
	c := dbctl.New(dbctl.Config{Target: id, Address: r.targets[id].Addr(), User: target.AdminUser, Database: "db", Dial: r.net.Dial})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Status(ctx)
}

// leader returns the target that leads the highest term.
func (r *rig) leader() (ident.Target, ident.Term) {
	var id ident.Target
	var term ident.Term
	for t := range r.targets {
		if s, err := r.status(t); err == nil && s.Role == topo.RolePrimary && s.Term > term {
			id, term = t, s.Term
		}
	}
	return id, term
}

// known returns the primary that all VMs agree on, empty when they don't.
func (r *rig) known() ident.Target {
	var out ident.Target
	for i, tab := range r.tables {
		g, _ := tab.Group(group)
		if i > 0 && g.Primary != out {
			return ""
		}
		out = g.Primary
	}
	return out
}

// run executes a statement at a target as a caller would, past all cuts.
func (r *rig) run(id ident.Target, sql string) error {
	conn, err := r.connect(id)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = conn.Exec(ctx, sql)
	return err
}

func (r *rig) connect(id ident.Target) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(r.targets[id].Addr())
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port, cfg.User, cfg.Database = host, 5432, "app", "db"
	cfg.DialFunc, cfg.Fallbacks = r.net.Dial, nil
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

// rows returns the ids of table t at a target.
func (r *rig) rows(id ident.Target) ([]int64, error) {
	conn, err := r.connect(id)
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
