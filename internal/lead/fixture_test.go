package lead_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/epoch"
	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
)

// fixture is a cluster of three databases that several VMs monitor.
type fixture struct {
	cluster  *linktest.Cluster
	store    *linktest.Store
	promoter *linktest.Promoter
	// mu guards monitors while VMs run.
	mu       sync.Mutex
	monitors []*lead.Monitor
	// pools has the connections of each VM.
	pools  []*dbpool.Pools
	log    linktest.LogBuffer
	logger zerolog.Logger
	// dialer and vmStore, unless nil, are the databases and the store as the next VM
	// that starts reaches them.
	dialer  dbpool.Dialer
	vmStore store.Store
	// wrapDialer, unless nil, returns the databases as all VMs reach them.
	wrapDialer func(*linktest.Cluster) dbpool.Dialer
	// ctx ends the VMs, running waits for them.
	ctx     context.Context
	running sync.WaitGroup
	// kills ends single VMs; killed is the number of VMs that have been killed, the first
	// ones by rank.
	kills  []context.CancelFunc
	killed atomic.Int32
	// refresh, unless nil, is called when a VM reads the list before a failover.
	refresh func()
	// joining has databases that are not there at the start.
	joining []ident.Target
	// unfenced is the monitors' Config.Unfenced.
	unfenced bool
	// asyncCommits makes commits be acknowledged without a replica.
	asyncCommits atomic.Bool
	// evacuated has the evacuated zones.
	evacuated sync.Map
	// suspended is how far Config.Clock is ahead of the bubble's clock.
	suspended atomic.Int64
}

// suspend advances Config.Clock as a suspension of the machine would.
func (f *fixture) suspend(d time.Duration) { f.suspended.Add(int64(d)) }

func (f *fixture) now() time.Time { return time.Now().Add(time.Duration(f.suspended.Load())) }

// peers answers for the other VMs of a fixture.
type peers struct {
	f    *fixture
	self int
}

// others returns the monitors of the other VMs.
func (p peers) others() []*lead.Monitor {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.f.monitors), func(mon *lead.Monitor) bool { return mon == p.f.monitors[p.self] })
}

func (p peers) ConfirmsPrimary(_ context.Context, g ident.Group, id ident.Target) (bool, ident.Position) {
	var after ident.Position
	for _, mon := range p.others() {
		if mon.ConfirmedPrimary(g) == id {
			return true, after
		}
		after = after.Max(mon.AcknowledgedAfter(g))
	}
	return false, after
}

func (p peers) AcknowledgedAfter(_ context.Context, g ident.Group, demoted ident.Target) (after ident.Position) {
	for _, mon := range p.others() {
		if demoted != "" {
			mon.RecordDemoted(g, demoted)
		}
		after = after.Max(mon.AcknowledgedAfter(g))
	}
	return after
}

// run starts n VMs in a synctest bubble and calls f when the list of databases
// counts as complete.
func run(t *testing.T, n int, f func(*is.I, *fixture)) {
	t.Helper()
	runWith(t, n, &fixture{}, f)
}

// runUnfenced is like run, on a platform where a replaced primary goes on until it is
// demoted.
func runUnfenced(t *testing.T, n int, f func(*is.I, *fixture)) {
	t.Helper()
	runWith(t, n, &fixture{unfenced: true}, f)
}

func runWith(t *testing.T, n int, fx *fixture, f func(*is.I, *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx.cluster, fx.store = linktest.New("g", append([]ident.Target{"a", "b", "c"}, fx.joining...)...), &linktest.Store{}
		for _, id := range fx.joining {
			fx.cluster.Update(id, func(d *linktest.DB) { d.Removed = true })
		}
		fx.cluster.UpdateRoster()
		fx.cluster.SetFormerGoesOn(fx.unfenced)
		fx.promoter = &linktest.Promoter{Cluster: fx.cluster}
		ctx, cancel := context.WithCancel(t.Context())
		fx.ctx, fx.logger = ctx, zerolog.New(&fx.log)
		for range n {
			fx.startVM(fx.cluster.Roster())
		}
		updates := time.NewTicker(time.Second)
		go func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-updates.C:
					fx.cluster.UpdateRoster()
				}
			}
		}()
		time.Sleep(4 * time.Second)
		f(is.New(t), fx)
		updates.Stop()
		cancel()
		fx.running.Wait()
		time.Sleep(time.Second) // for calls that release claims
	})
}

// killFirst kills the VM that is the first by rank.
func (f *fixture) killFirst() {
	f.kills[f.killed.Add(1)-1]()
}

// startVM starts a VM with a table of the databases.
func (f *fixture) startVM(table *roster.Table) {
	i := len(f.monitors)
	ctx, kill := context.WithCancel(f.ctx)
	f.kills = append(f.kills, kill)
	dialer, vmStore := f.dialer, f.vmStore
	if dialer == nil {
		dialer, vmStore = f.cluster, f.store
	}
	if f.wrapDialer != nil {
		dialer = f.wrapDialer(f.cluster)
	}
	pools := &dbpool.Pools{Dialer: dialer, Roster: table, ConnLimit: func(*roster.Member) int { return 4 }}
	mon := lead.New(lead.Config{
		VM: ident.VM(rune('x' + i)), Roster: table, Pools: pools, Store: vmStore, Promoter: f.promoter,
		Epochs:    epoch.New(epoch.Config{Store: vmStore, Lifetimes: []time.Duration{lead.ClaimTTL}}),
		Peers:     peers{f, i},
		Evacuated: func(z ident.Zone) bool { _, ok := f.evacuated.Load(z); return ok },
		Rank:      func(ident.Group) int { return max(0, i-int(f.killed.Load())) }, Clock: f.now, Unfenced: f.unfenced,
		RefreshList: func(context.Context) error {
			if f.refresh != nil {
				f.refresh()
			}
			return nil
		},
		SyncReplicas: func(ident.Group) int {
			if f.asyncCommits.Load() {
				return 0
			}
			return 1
		},
		Log: f.logger,
	})
	pools.Commits = mon
	mon.Watch([]ident.Group{"g"})
	f.mu.Lock()
	f.monitors, f.pools = append(f.monitors, mon), append(f.pools, pools)
	f.mu.Unlock()
	f.running.Go(func() { mon.Run(ctx) })
}

func (f *fixture) promotions() []string {
	return slices.DeleteFunc(f.cluster.ControlLog(), func(s string) bool { return !strings.HasPrefix(s, "promote") })
}

// remove makes a database stop answering and removes it from the list.
func (f *fixture) remove(id ident.Target) {
	f.cluster.Update(id, func(d *linktest.DB) { d.Removed = true })
}

// otherMonitor returns the monitor of a further VM with a roster of its own, which
// answers the others.
func (f *fixture) otherMonitor() *lead.Monitor {
	table := &roster.Table{}
	mon := lead.New(lead.Config{Roster: table, Pools: &dbpool.Pools{
		Dialer: f.cluster, Roster: table, ConnLimit: func(*roster.Member) int { return 4 },
	}})
	f.mu.Lock()
	f.monitors = append(f.monitors, mon)
	f.mu.Unlock()
	return mon
}

// markLeaving lists a database as leaving.
func (f *fixture) markLeaving(id ident.Target) {
	m, _ := f.cluster.Roster().Member("g", id)
	e := m.Entry
	e.Leaving, e.Sequence = true, e.Sequence+int64(time.Hour)
	f.cluster.Roster().Merge([]roster.Entry{e}, time.Now())
}

func target(id string) ident.Target { return ident.Target(id) }

func targets(ids ...string) []ident.Target {
	out := make([]ident.Target, len(ids))
	for i, id := range ids {
		out[i] = target(id)
	}
	return out
}
