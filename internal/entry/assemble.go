package entry

import (
	"context"
	"sync"
	"time"

	"chervilspan.example/internal/admin"
	"chervilspan.example/internal/conf"
	"chervilspan.example/internal/conns"
	"chervilspan.example/internal/dbctl"
	"chervilspan.example/internal/limit"
	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/internal/spread"
	"chervilspan.example/internal/watch"
	"chervilspan.example/internal/wire"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/elect"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/sessn"
	"chervilspan.example/pkg/topo"
)

// assemble connects the parts with each other. It does not start them.
func (d *Daemon) assemble(cfg *conf.Settings) {
	d.clients = peer.NewCache(peer.CacheConfig{
		Certificates: d.certs.peers, AllowLoopbackPlaintext: cfg.Peers.PlainText, Scope: d.metrics.Scope,
		RegionOf: func(address string) ident.Region { return d.spread.RegionOf(address) },
	})
	d.spread = spread.New(spread.Config{
		Self: d.self(cfg), Seeds: cfg.Peers.Seeds, Store: d.store, Peers: d.clients, Topo: &d.table,
		Log: d.log, Scope: d.metrics.Scope,
		MaxStaleness: cfg.Freshness.MaxStale(), CutOffGracePeriod: cfg.Freshness.CutOffServe(),
	})
	d.spread.OnChange(d.follow)
	d.limiter = limit.New(limit.Config{
		Catalogue: newFeed(d.spread), Fleet: d.spread, Peers: d.spread, Store: d.store,
		Log: d.log, Scope: d.metrics.Scope,
		MaxRateWait: cfg.Limits.MaxRateWait(), LeaseTTL: cfg.Limits.ShareLease(),
		StaticSplit: cfg.Limits.Policy == conf.PolicyBaseline,
	})
	d.assembleData(cfg)
	d.admin = admin.New(admin.Config{
		Catalogue: d.spread, Clients: d.clients, FillStatus: d.fill, StartDrain: d.askDrain, Log: d.log,
	})
	d.peers = peer.NewServer(peer.ServerConfig{Certificates: d.certs.peers, AllowLoopbackPlaintext: cfg.Peers.PlainText}, peer.Handlers{
		Membership: d.spread, Catalogue: d.spread, Lender: d.limiter, Gate: d.limiter,
		Canceller: canceller{d.server}, Watcher: suspicions{d.watch}, Admin: d.admin,
	})
}

// assembleData connects the parts that carry callers' statements.
func (d *Daemon) assembleData(cfg *conf.Settings) {
	targetTLS := clientTLS(d.certs.targets)
	policy := elect.PolicyEvidence
	if cfg.Failover.Policy == conf.PolicyBaseline {
		policy = elect.PolicyTimeout
	}
	d.watch = watch.New(watch.Config{
		Self: cfg.VM, Table: &d.table, Fleet: d.spread, Peers: d.spread, Store: d.store, RegionOf: d.region,
		Watchers: cfg.Failover.WatcherCount(), Policy: policy, Log: d.log, Metrics: d.metrics.Scope,
		Dial: func(_ ident.Group, id ident.Target, address string) watch.Conn {
			return dbctl.New(dbctl.Config{Target: id, Address: address, User: cfg.Targets.User, Password: d.secret, TLS: targetTLS})
		},
	})
	d.pools = conns.New(conns.Config{
		User: cfg.Targets.User, Password: d.secret, TLS: targetTLS, Groups: &d.table,
		SuspectPrimary: d.watch.Suspect, ConnLimit: d.connectionLimit, ConnShare: d.connectionShare,
		ConnectTimeout: cfg.Targets.ConnectTimeout(), IdleTimeout: cfg.Targets.IdleClose(),
		Log: d.log, Scope: d.metrics.Scope,
	})
	d.server = wire.New(wire.Config{
		Access: d.spread, Limiter: d.limiter, Groups: &d.table, Control: d.watch, Pools: d.pools,
		CancelForwarder: forwarder{d}, VMNumber: cfg.Number,
		Location: sessn.Location{Zone: cfg.Zone, Region: cfg.Region}, RegionOf: d.region,
		TLS: serverTLS(d.certs.callers), AllowPlaintext: cfg.Callers.PlainText,
		MaxUnauthenticated: cfg.Callers.UnauthenticatedLimit(), HandshakeTimeout: cfg.Callers.HandshakeTimeout(),
		MaxMessageBytes: cfg.Callers.MessageSizeLimit(), Log: d.log, Scope: d.metrics.Scope,
	})
}

// controlPerVM is the number of connections that each VM may hold to a target
// beside those for statements: one that follows the quorum position and one
// that asks for the floor.
const controlPerVM = 2

// connectionShare returns the number of connections for statements that this
// VM may keep to a target.
func (d *Daemon) connectionShare(t topo.Target) int {
	return connectionShare(int(t.Config.Connections), d.cfg.Load().Failover.WatcherCount(), len(d.spread.Live()))
}

// connectionShare divides the connections that a target accepts, less those of
// the group's watchers and the control connections of all VMs, by the VMs. Each
// VM gets at least one.
func connectionShare(connections, watchers, vms int) int {
	vms = max(1, vms)
	return max(1, (connections-watchers-controlPerVM*vms)/vms)
}

// connectionLimit returns the number of connections for statements that this VM
// may have open: as many as the target has slots, because the gate lends no
// more, and at least its share.
func (d *Daemon) connectionLimit(t topo.Target) int {
	return max(int(t.Config.Slots), d.connectionShare(t))
}

// feed gives the catalogue with a channel that is closed at the next change.
type feed struct {
	spread *spread.Distributor
	mu     sync.Mutex
	next   chan struct{}
}

func newFeed(s *spread.Distributor) *feed {
	f := &feed{spread: s, next: make(chan struct{})}
	s.OnChange(func(*catal.Catalogue) {
		f.mu.Lock()
		defer f.mu.Unlock()
		close(f.next)
		f.next = make(chan struct{})
	})
	return f
}

// Catalogue returns the catalogue in force, nil when there is none.
func (f *feed) Catalogue() *catal.Catalogue { return f.spread.Catalogue() }

// Changed returns a channel that is closed at the next change.
func (f *feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// suspicions passes the peers' Suspect calls to the watcher.
type suspicions struct{ w *watch.Watcher }

// Suspect answers a peer that sees errors on a group's primary.
func (s suspicions) Suspect(ctx context.Context, r *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	return s.w.ServeSuspect(ctx, r)
}

// canceller serves cancel requests that another VM forwards.
type canceller struct{ s *wire.Server }

// Cancel cancels what the session with the cancel key runs.
func (c canceller) Cancel(_ context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return &peerpb.CancelReply{Found: c.s.Cancel(r.GetProcessId(), r.GetSecret())}, nil
}

// forwarder sends cancel requests to the VM whose session they are for.
type forwarder struct{ d *Daemon }

// forwardTimeout bounds a forwarded cancel request; PostgreSQL gives callers no
// answer to wait for.
const forwardTimeout = time.Second

// Forward finds the VM by the number in the process id. A cancel request for an
// unknown VM is dropped, as PostgreSQL drops one for an unknown process.
func (f forwarder) Forward(ctx context.Context, processID uint32, secret []byte) {
	number := wire.VMNumber(processID)
	for _, i := range f.d.spread.Live() {
		if i.Number != number {
			continue
		}
		c, err := f.d.spread.Client(i.VM)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		_, _ = c.Cancel(ctx, &peerpb.CancelRequest{ProcessId: processID, Secret: secret})
		return
	}
}
