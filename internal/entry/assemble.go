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

// assemble creates the components and connects them. It does not start them.
func (d *Daemon) assemble(cfg *conf.Settings) {
	d.clients = peer.NewCache(peer.CacheConfig{
		Certificates: d.certs.peers, AllowLoopbackPlaintext: cfg.Peers.PlainText, Scope: d.metrics.Scope,
		RegionOf: func(address string) ident.Region { return d.spread.RegionOf(address) }, Log: d.log,
	})
	d.spread = spread.New(spread.Config{
		Self: d.self(cfg), Seeds: cfg.Peers.Seeds, Store: d.store, Peers: d.clients, Topo: &d.topo,
		Log: d.log, Scope: d.metrics.Scope,
		MaxStaleness: cfg.Freshness.MaxStaleness(), CutOffGracePeriod: cfg.Freshness.CutOffGracePeriod(),
	})
	d.spread.OnChange(d.applyCatalogue)
	d.limiter = limit.New(limit.Config{
		Catalogue: newCatalogueFeed(d.spread), Fleet: d.spread, Peers: d.spread, Store: d.store,
		Log: d.log, Scope: d.metrics.Scope,
		MaxRateWait: cfg.Limits.MaxRateWait(), LeaseTTL: cfg.Limits.SliceLeaseTTL(),
		StaticSplit: cfg.Limits.Policy == conf.PolicyBaseline,
	})
	d.assembleData(cfg)
	d.admin = admin.New(admin.Config{
		Catalogue: d.spread, Clients: d.clients, FillStatus: d.addStatus, StartDrain: d.requestDrain, Log: d.log,
	})
	d.peers = peer.NewServer(peer.ServerConfig{Certificates: d.certs.peers, AllowLoopbackPlaintext: cfg.Peers.PlainText}, peer.Handlers{
		Membership: d.spread, Catalogue: d.spread, Lender: d.limiter, Gate: d.limiter,
		Canceller: cancelHandler{d.server}, Watcher: suspectHandler{d.watch}, Admin: d.admin,
	})
}

// assembleData creates and connects the components that execute callers'
// statements.
func (d *Daemon) assembleData(cfg *conf.Settings) {
	targetTLS := clientTLS(d.certs.targets)
	policy := elect.PolicyEvidence
	if cfg.Failover.Policy == conf.PolicyBaseline {
		policy = elect.PolicyTimeout
	}
	d.watch = watch.New(watch.Config{
		Self: cfg.VM, Table: &d.topo, Fleet: d.spread, Peers: d.spread, Store: d.store, RegionOf: d.regionOf,
		Watchers: cfg.Failover.WatcherCount(), Policy: policy, Log: d.log, Metrics: d.metrics.Scope,
		Dial: func(_ ident.Group, id ident.Target, address string) watch.Conn {
			return dbctl.New(dbctl.Config{Target: id, Address: address, User: cfg.Targets.User, Password: d.targetPassword, TLS: targetTLS})
		},
	})
	d.pools = conns.New(conns.Config{
		User: cfg.Targets.User, Password: d.targetPassword, TLS: targetTLS, Groups: &d.topo,
		SuspectPrimary: d.watch.Suspect, ConnLimit: d.connectionLimit, ConnShare: d.connectionShare,
		ConnectTimeout: cfg.Targets.ConnectTimeout(), IdleTimeout: cfg.Targets.IdleTimeout(),
		Log: d.log, Scope: d.metrics.Scope,
	})
	d.server = wire.New(wire.Config{
		Access: d.spread, Limiter: d.limiter, Groups: &d.topo, Control: d.watch, Pools: d.pools,
		CancelForwarder: cancelForwarder{d}, VMNumber: cfg.Number,
		Location: sessn.Location{Zone: cfg.Zone, Region: cfg.Region}, RegionOf: d.regionOf,
		TLS: serverTLS(d.certs.callers), AllowPlaintext: cfg.Callers.PlainText,
		MaxUnauthenticated: cfg.Callers.UnauthenticatedLimit(), HandshakeTimeout: cfg.Callers.HandshakeTimeout(),
		MaxMessageBytes: cfg.Callers.MessageSizeLimit(), Log: d.log, Scope: d.metrics.Scope,
	})
}

// controlConnsPerVM is the number of connections that each VM may hold to a target
// in addition to those for statements: one that follows the quorum position and
// one that queries the floor.
const controlConnsPerVM = 2

// connectionShare returns the number of connections for statements that this
// VM may keep to a target.
func (d *Daemon) connectionShare(t topo.Target) int {
	return connectionShare(int(t.Config.Connections), d.cfg.Load().Failover.WatcherCount(), len(d.spread.Live()))
}

// connectionShare returns a VM's share of the connections that a target accepts,
// less those of the group's watchers and the control connections of all VMs. Each
// VM gets at least one.
func connectionShare(connections, watchers, vms int) int {
	vms = max(1, vms)
	return max(1, (connections-watchers-controlConnsPerVM*vms)/vms)
}

// connectionLimit returns the number of connections for statements that this VM
// may have open to a target: as many as the target has slots, because the gate
// lends no more, and at least connectionShare.
func (d *Daemon) connectionLimit(t topo.Target) int {
	return max(int(t.Config.Slots), d.connectionShare(t))
}

// catalogueFeed provides the catalogue in force and a channel that is closed at its
// next change.
type catalogueFeed struct {
	spread *spread.Distributor
	mu     sync.Mutex
	next   chan struct{}
}

func newCatalogueFeed(s *spread.Distributor) *catalogueFeed {
	f := &catalogueFeed{spread: s, next: make(chan struct{})}
	s.OnChange(func(*catal.Catalogue) {
		f.mu.Lock()
		defer f.mu.Unlock()
		close(f.next)
		f.next = make(chan struct{})
	})
	return f
}

// Catalogue returns the catalogue in force, or nil when there is none.
func (f *catalogueFeed) Catalogue() *catal.Catalogue { return f.spread.Catalogue() }

// Changed returns a channel that is closed at the next change of the catalogue.
func (f *catalogueFeed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// suspectHandler passes the Suspect calls of other VMs to the watcher.
type suspectHandler struct{ w *watch.Watcher }

// Suspect implements peer.Watcher.
func (s suspectHandler) Suspect(ctx context.Context, r *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	return s.w.ServeSuspect(ctx, r)
}

// cancelHandler serves cancel requests that other VMs forward.
type cancelHandler struct{ s *wire.Server }

// Cancel cancels the statement of the session with the given cancel key.
func (c cancelHandler) Cancel(_ context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return &peerpb.CancelReply{Found: c.s.Cancel(r.GetProcessId(), r.GetSecret())}, nil
}

// cancelForwarder sends cancel requests to the VM that has the session.
type cancelForwarder struct{ d *Daemon }

// forwardTimeout limits a forwarded cancel request. Callers don't wait for it: in
// PostgreSQL's protocol a cancel request has no answer.
const forwardTimeout = time.Second

// Forward sends a cancel request to the VM whose number is in the process id. A
// request for an unknown VM is dropped, as PostgreSQL drops one for an unknown
// process.
func (f cancelForwarder) Forward(ctx context.Context, processID uint32, secret []byte) {
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
