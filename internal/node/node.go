package node

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/cold"
	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/disco"
	"chervilspan.example/internal/engine"
	"chervilspan.example/internal/epoch"
	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/fleet"
	"chervilspan.example/internal/follow"
	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/limit"
	"chervilspan.example/internal/lists"
	"chervilspan.example/internal/metr"
	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/relay"
	"chervilspan.example/internal/usage"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/uptime"
)

// Adapters holds the platform-specific components.
type Adapters struct {
	Store store.Store
	// StoreCounts, unless nil, returns the number of calls to the store by operation,
	// and how many of them got no usable answer.
	StoreCounts func() (calls map[string]uint64, failures uint64)
	// Usage, unless nil, counts the bytes that the VM sends and receives.
	Usage *usage.Table
	// SetWatchTimeout, unless nil, sets how long the store may hold a watch.
	SetWatchTimeout func(time.Duration)
	Promoter        lead.Promoter
	Dialer          dbpool.Dialer
	// Serve accepts callers from a listener until the listener is closed.
	Serve func(net.Listener, *engine.Engine, zerolog.Logger) error
	// CatalogueKey is the key of the catalogue in the store, TargetPrefix the prefix
	// of the keys of databases.
	CatalogueKey string
	// EvacuatePrefix is the prefix of the keys that order the evacuation of a zone.
	EvacuatePrefix  string
	DecodeCatalogue func([]byte) (*catal.Catalogue, error)
	TargetPrefix    string
	DecodeTarget    func(key string, value []byte) (roster.Entry, error)
}

const (
	// sliceLeaseTTL is the lifetime of the lease on rate slices. The slices of a dead
	// VM stay unused for as long; a store outage no longer than this costs no rate.
	sliceLeaseTTL = 30 * time.Second
	// maxRateWait is how long a request waits for tokens of its workspace's rate at most;
	// the engine waits less where the latency objective is short.
	maxRateWait = 300 * time.Millisecond
	// grantLifetime is how long borrowed tokens may be used, and how long a slice
	// taken over from another VM stays unused.
	grantLifetime = 400 * time.Millisecond
	// sweepInterval is how often unused connections are closed.
	sweepInterval = 2 * time.Second
	// memoryLimitFraction is the fraction of the VM's memory that is set as the soft
	// memory limit of the Go runtime.
	memoryLimitFraction = 0.6
)

// Node is the daemon of one VM.
type Node struct {
	settings *Settings
	adapters Adapters
	log      zerolog.Logger

	roster      *roster.Table
	pools       *dbpool.Pools
	follower    *follow.Follower
	fleet       *fleet.Fleet
	limiter     *limit.Limiter
	monitor     *lead.Monitor
	engine      *engine.Engine
	metrics     *metr.Metrics
	peers       *peer.Cache
	lenderTable lenderTable
	readers     readerTable
	lender      *relay.Server
	borrower    *relay.Client
	lists       *lists.Reader
	disco       *disco.Poller
	cold        *cold.Guard

	stopping  atomic.Bool
	startedAt time.Time
	// odditiesLogged is the version whose entries were last checked, used by housekeep
	// only.
	odditiesLogged ident.Version
	// refusalsLogged is the number of refusals in the last evacuation_refused line, used
	// by housekeep only.
	refusalsLogged uint64
	// countsLoggedAt and speedReport are used by housekeep only.
	countsLoggedAt time.Time
	speedReport    speedReport
	// firstReady is closed when the VM is ready for the first time.
	firstReady chan struct{}
	// gracePeriod is the longest time of a planned stop, in nanoseconds. A reload may
	// change it.
	gracePeriod atomic.Int64
	// notSent limits the lines about messages that could not be encoded.
	notSent evlog.Limiter
}

// New returns a Node that serves once Run is called.
func New(s *Settings, a Adapters, log zerolog.Logger) *Node {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitFraction * (1 << 20)))
	}
	n := &Node{settings: s, adapters: a, log: log, roster: &roster.Table{}, metrics: metr.New(), startedAt: time.Now(), firstReady: make(chan struct{})}
	n.gracePeriod.Store(int64(s.Grace()))
	n.pools = &dbpool.Pools{Dialer: a.Dialer, Roster: n.roster, ConnLimit: n.connLimit, DialLimit: n.dialLimit, Learns: n.learnsSpeed, NotSent: n.recordNotSent}
	n.peers = peer.NewCache(peer.CacheConfig{AllowPlaintext: true, Scope: n.metrics.Scope, Usage: a.Usage, ZoneOf: n.zoneOfAddress, Log: log})
	n.borrower = relay.NewClient(relay.Config{Lenders: n.lenderAddresses, Peers: n.peers, RecordSpeed: n.pools.RecordSpeed, Log: log})
	n.pools.Lender = n.borrower
	n.lender = &relay.Server{Pools: n.pools, ClassOf: n.classOf, Lends: n.isLent, Log: log}
	n.pools.Turns = n.lender
	n.lists = lists.New(lists.Config{Store: a.Store, Peers: n.peers, Readers: n.readerAddresses, Clock: uptime.Now, Log: log})
	epochs := epoch.New(epoch.Config{Store: a.Store, Lifetimes: []time.Duration{lead.ClaimTTL, sliceLeaseTTL}, Log: log})
	self := member.Info{VM: s.VM, Zone: s.Zone, Region: s.Region, Address: s.Peers}
	n.fleet = fleet.New(fleet.Config{Self: self, Store: a.Store, Seeds: s.Seeds, FirstStart: s.FirstStart, Log: log, OnChange: func() { n.limiter.TriggerRefresh() }, ListEntries: n.listVMs})
	n.follower = follow.New(follow.Config{
		Store: a.Store, Key: a.CatalogueKey, Decode: a.DecodeCatalogue, VM: s.VM, Address: s.Peers, Fleet: n.fleet, Peers: n.peers, Log: log,
		Readers: n.catalogueReaders, WatchTimeout: n.watchTimeout, Clock: uptime.Now, Within: s.ConfigWithin(),
		EvacuateWithin: s.EvacuateWithin(), EvacuatePrefix: a.EvacuatePrefix, KnowsZone: n.knowsZone,
	})
	n.setColdGuard()
	n.limiter = limit.New(limit.Config{
		Targets: n.coldLimits(), PermitLifetime: permitLifetime,
		Catalogue: n.follower, Fleet: n.fleet, Peers: vmPeers{n}, Store: a.Store, Epochs: epochs, Log: log, Scope: n.metrics.Scope,
		MaxRateWait: maxRateWait, LeaseTTL: sliceLeaseTTL, RatesOnly: true, Clock: uptime.Now,
		Lifetime: grantLifetime, Excess: limit.Excess{
			Window: time.Duration(s.RateExcess.WindowS * float64(time.Second)), Fraction: s.RateExcess.Fraction, Tokens: s.RateExcess.Tokens,
		},
	})
	n.disco = &disco.Poller{Store: a.Store, List: n.lists.List, Prefix: a.TargetPrefix, Decode: a.DecodeTarget, Roster: n.roster, Log: log}
	n.monitor = lead.New(lead.Config{
		VM: s.VM, Roster: n.roster, Pools: n.pools, Store: a.Store, Epochs: epochs, Promoter: a.Promoter, Peers: vmPeers{n}, RefreshList: n.disco.Refresh,
		Rank:     func(g ident.Group) int { return n.fleet.Rank(rankName(g), s.homeRegion()) },
		RegionOf: n.regionOf, HomeRegion: s.homeRegion(), RoutesAllowing: n.routesAllowing, Evacuated: n.evacuated, Clock: uptime.Now, Log: log,
		Unfenced: !s.FencedPromotions, SyncReplicas: n.syncReplicas,
	})
	n.pools.Commits = n.monitor
	n.lender.ZoneStatus = n.zoneStatus()
	n.engine = engine.New(engine.Config{
		ZoneStatus: n.lender.ZoneStatus,
		Access:     n.follower, CatalogueAge: func() time.Duration { return n.follower.Confirmation().Age }, AwaitCatalogue: n.follower.AwaitConfirmation,
		Limiter: n.limiter, Primaries: n.monitor, Pools: n.pools, Roster: n.roster,
		Ready: n.firstReady, VMs: func() int { return len(n.fleet.Live()) }, Ramp: n.coldRamp(),
		Place: engine.Place{Zone: s.Zone, Region: s.Region, RegionOf: n.regionOf},
		Clock: uptime.Now,
		Meter: newMeter(n.metrics.Scope), Log: log,
	})
	return n
}

// Reload applies the settings that may change while the VM runs.
func (n *Node) Reload(s *Settings) { n.gracePeriod.Store(int64(s.Grace())) }

// syncReplicas returns the number of replicas that must have received a commit of a
// group before it is acknowledged.
func (n *Node) syncReplicas(g ident.Group) int {
	if c := n.follower.Catalogue(); c != nil && c.Groups[g].Ack == catal.AckPrimary {
		return 0
	}
	return 1
}

// zoneOfAddress returns the zone of the VM at an address, "" if it isn't listed.
func (n *Node) zoneOfAddress(address string) ident.Zone {
	for _, m := range n.fleet.Live() {
		if m.Address == address {
			return m.Zone
		}
	}
	return ""
}

func (n *Node) regionOf(z ident.Zone) ident.Region { return n.settings.Zones[z] }

// Run serves until ctx ends, then stops gracefully. It returns an *Error if a
// listener can't be opened or sessions were cut.
func (n *Node) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", n.settings.Callers)
	if err != nil {
		return &Error{Op: "listen for callers", Kind: KindListen, Err: err}
	}
	peers, err := net.Listen("tcp", n.settings.Peers)
	if err != nil {
		return &Error{Op: "listen for VMs", Kind: KindListen, Err: err}
	}
	ready, err := net.Listen("tcp", n.settings.Ready)
	if err != nil {
		return &Error{Op: "listen for readiness checks", Kind: KindListen, Err: err}
	}
	evlog.At(n.log, evlog.DaemonStarted).Str("vm", string(n.settings.VM)).Str("zone", string(n.settings.Zone)).Send()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){n.follower.Run, n.fleet.Run, n.limiter.Run, n.monitor.Run, n.disco.Run, n.housekeep, n.awaitReady, n.reportRestorations, n.watchStalls} {
		wg.Go(func() { f(work) })
	}
	server := peer.NewServer(peer.ServerConfig{AllowPlaintext: true, Log: n.log}, peer.Handlers{Catalogue: n.follower, Lender: n.limiter, Watcher: suspectHandler{n}, Relay: n.lender, ListReader: n.lists})
	go n.runListener("VMs", func() error { return server.Serve(peers) })
	go n.runListener("readiness checks", func() error { return n.serveHTTP(ready, false) })
	go n.runListener("callers", func() error { return n.adapters.Serve(callers, n.engine, n.log) })
	n.startMetrics()
	<-ctx.Done()
	cut := n.stop()
	stop()
	wg.Wait()
	if cut > 0 {
		evlog.At(n.log, evlog.DrainCut).Int("cut", cut).Send()
		return &Error{Op: "stop", Kind: KindSessionsCut}
	}
	evlog.At(n.log, evlog.DrainDone).Send()
	return nil
}

// runListener runs f and logs its error unless the VM is stopping.
func (n *Node) runListener(what string, f func() error) {
	if err := f(); err != nil && !n.stopping.Load() {
		evlog.At(n.log, evlog.AcceptFailed).Str("listener", what).Err(err).Send()
	}
}

// housekeep closes unused connections, reports totals, and has the groups of the
// catalogue watched.
func (n *Node) housekeep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		changed := n.follower.Changed()
		if c := n.follower.Catalogue(); c != nil {
			groups := make([]ident.Group, 0, len(c.Groups))
			for g := range c.Groups {
				groups = append(groups, g)
			}
			n.monitor.Watch(groups)
			n.logOddities(c)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
			n.updateGauges()
			n.updateWatchTimeout()
			n.borrower.Sweep()
			n.peers.Sweep()
			n.pools.Sweep(n.poolIsCurrent)
		}
	}
}

// poolIsCurrent reports whether the roster still has a pool's database with the
// same address and process start.
func (n *Node) poolIsCurrent(g ident.Group, id ident.Target, address string, processStart int64) bool {
	m, ok := n.roster.Member(g, id)
	return ok && m.Address == address && m.ProcessStart == processStart
}
