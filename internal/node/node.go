package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
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
	"chervilspan.example/internal/guard"
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
	// SetWatchTimeout, unless nil, sets how long the store may hold a watch; 0 means
	// the adapter's default.
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
	// versionCheckTimeout is how long a starting VM waits for another VM's version of
	// the catalogue. It is below the time for which logins wait for the start.
	versionCheckTimeout = time.Second
	// countsLogInterval is how often the numbers of calls to the store and of bytes are
	// logged.
	countsLogInterval = 10 * time.Second
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
	// regionsLogged is the version whose regions were last checked, used by housekeep
	// only.
	regionsLogged ident.Version
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
}

// New returns a Node that serves once Run is called.
func New(s *Settings, a Adapters, log zerolog.Logger) *Node {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitFraction * (1 << 20)))
	}
	n := &Node{settings: s, adapters: a, log: log, roster: &roster.Table{}, metrics: metr.New(), startedAt: time.Now(), firstReady: make(chan struct{})}
	n.gracePeriod.Store(int64(s.Grace()))
	n.pools = &dbpool.Pools{Dialer: a.Dialer, Roster: n.roster, ConnLimit: n.connLimit, DialLimit: n.dialLimit, Learns: n.learnsSpeed}
	n.peers = peer.NewCache(peer.CacheConfig{AllowPlaintext: true, Scope: n.metrics.Scope, Usage: a.Usage, ZoneOf: n.zoneOfAddress})
	n.borrower = relay.NewClient(relay.Config{Lenders: n.lenderAddresses, Peers: n.peers, RecordSpeed: n.pools.RecordSpeed, Log: log})
	n.pools.Lender = n.borrower
	n.lender = &relay.Server{Pools: n.pools, ClassOf: n.classOf, Lends: n.isLent, Log: log}
	n.pools.Turns = n.lender
	n.lists = lists.New(lists.Config{Store: a.Store, Peers: n.peers, Readers: n.readerAddresses, Clock: uptime.Now, Log: log})
	epochs := epoch.New(epoch.Config{Store: a.Store, Lifetimes: []time.Duration{lead.ClaimTTL, sliceLeaseTTL}, Log: log})
	self := member.Info{VM: s.VM, Zone: s.Zone, Region: s.Region, Address: s.Peers}
	n.fleet = fleet.New(fleet.Config{Self: self, Store: a.Store, Seeds: s.Seeds, FirstStart: s.FirstStart, Log: log, OnChange: func() { n.limiter.TriggerRefresh() }, ListEntries: n.listVMs})
	n.follower = follow.New(follow.Config{
		Store: a.Store, Key: a.CatalogueKey, Decode: a.DecodeCatalogue, VM: s.VM, Fleet: n.fleet, Peers: n.peers, Log: log,
		Readers: n.catalogueReaders, Clock: uptime.Now,
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
		RegionOf: n.regionOf, HomeRegion: s.homeRegion(), Votes: n.votes, Evacuated: n.evacuated, Clock: uptime.Now, Log: log,
		Unfenced: !s.FencedPromotions, SyncReplicas: n.syncReplicas,
	})
	n.lender.ZoneStatus = n.zoneStatus()
	n.engine = engine.New(engine.Config{
		ZoneStatus: n.lender.ZoneStatus,
		Access:     n.follower, Limiter: n.limiter, Primaries: n.monitor, Pools: n.pools, Roster: n.roster,
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

func (n *Node) startMetrics() {
	if n.settings.Metrics == "" {
		return
	}
	l, err := net.Listen("tcp", n.settings.Metrics)
	if err != nil {
		// The VM can serve callers without metrics.
		evlog.At(n.log, evlog.AcceptFailed).Str("listener", "metrics").Err(err).Send()
		return
	}
	go n.runListener("metrics", func() error { return n.serveHTTP(l, true) })
}

const headerTimeout = 2 * time.Second

func (n *Node) serveHTTP(l net.Listener, metrics bool) error {
	mux := http.NewServeMux()
	if metrics {
		mux.Handle("/metrics", n.metrics.Handler())
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s := http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return s.Serve(l)
}

// isReady reports whether the VM can serve callers.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.follower.Index() != nil && n.versionChecked() && n.roster.Loaded() && n.limiter.Ready()
}

// versionChecked reports whether the version in force may be served by. After a
// restoration of the store, it may be one that other VMs have replaced; a starting VM
// then asks another VM first, or waits for versionCheckTimeout if none answers.
func (n *Node) versionChecked() bool {
	return store.EpochOf(n.adapters.Store) <= store.FirstEpoch || n.follower.Compared() || time.Since(n.startedAt) > versionCheckTimeout
}

// readyPollInterval is how often a starting VM checks whether it is ready.
const readyPollInterval = 15 * time.Millisecond

// awaitReady closes firstReady, for which the engine waits, once the VM is ready.
func (n *Node) awaitReady(ctx context.Context) {
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()
	for !n.isReady() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
	close(n.firstReady)
	evlog.At(n.log, evlog.DaemonReady).Uint64("version", uint64(n.follower.Version())).Send()
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
			n.logUnknownRegions(c)
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

// reportRestorations logs when the store has been restored from an older copy.
func (n *Node) reportRestorations(ctx context.Context) {
	s, ok := n.adapters.Store.(store.Restorable)
	for ok {
		restored := s.Restored()
		select {
		case <-ctx.Done():
			return
		case <-restored:
		}
		r := s.LastRestoration()
		evlog.At(n.log, evlog.StoreRestored).Int64("before", int64(r.Before)).Int64("after", int64(r.After)).
			Int64("last_before", r.LastBefore.Counter()).Int64("first_after", r.FirstAfter.Counter()).Send()
	}
}

// updateGauges reports totals that other packages count.
func (n *Node) updateGauges() {
	n.metrics.Scope.Gauge("target_dials").Update(float64(n.pools.Dials.Load()))
	n.metrics.Scope.Gauge("vms").Update(float64(len(n.fleet.Live())))
	n.metrics.Scope.Gauge("lent_connections").Update(float64(n.lender.LentCount()))
	n.updateQueueGauges()
	n.metrics.Scope.Gauge("panics").Update(float64(guard.Count()))
	n.metrics.Scope.Gauge("sessions").Update(float64(n.engine.Sessions()))
	if s, ok := n.adapters.Store.(store.Restorable); ok {
		n.metrics.Scope.Gauge("store_epoch").Update(float64(s.Epoch()))
	}
	n.reportSpeeds()
	log := time.Since(n.countsLoggedAt) >= countsLogInterval
	n.reportEvacuation(log)
	n.reportCounts(log)
}

// reportCounts reports the calls to the store and the bytes sent and received, as
// metrics and, if log is set, in the log.
func (n *Node) reportCounts(log bool) {
	if log {
		n.countsLoggedAt = time.Now()
	}
	if n.adapters.StoreCounts != nil {
		calls, failures := n.adapters.StoreCounts()
		for op, count := range calls {
			n.metrics.Scope.Tagged(map[string]string{"op": strings.ReplaceAll(op, " ", "_")}).Gauge("store_calls").Update(float64(count))
		}
		n.metrics.Scope.Gauge("store_failures").Update(float64(failures))
		if log {
			evlog.At(n.log, evlog.StoreCalls).Interface("calls", calls).Uint64("failures", failures).Send()
		}
	}
	if n.adapters.Usage == nil {
		return
	}
	bytes := map[string][2]uint64{}
	for _, row := range n.adapters.Usage.Rows() {
		n.metrics.Scope.Tagged(map[string]string{"mechanism": string(row.Mechanism), "border": row.Border.String()}).Gauge("bytes").Update(float64(row.Bytes))
		bytes[string(row.Mechanism)+" "+row.Border.String()] = [2]uint64{row.Bytes, row.Messages}
	}
	if log {
		evlog.At(n.log, evlog.BytesUsed).Interface("bytes", bytes).Send()
	}
}

// poolIsCurrent reports whether the roster still has a pool's database with the
// same address and process start.
func (n *Node) poolIsCurrent(g ident.Group, id ident.Target, address string, processStart int64) bool {
	m, ok := n.roster.Member(g, id)
	return ok && m.Address == address && m.ProcessStart == processStart
}
