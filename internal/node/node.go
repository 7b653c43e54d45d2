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

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/disco"
	"chervilspan.example/internal/engine"
	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/fleet"
	"chervilspan.example/internal/follow"
	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/limit"
	"chervilspan.example/internal/lists"
	"chervilspan.example/internal/metr"
	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/relay"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/uptime"
)

// Adapters are what is particular to the platform.
type Adapters struct {
	Store store.Store
	// StoreCounts, unless nil, returns the calls to the store by operation, and
	// the number of those without a usable answer.
	StoreCounts func() (calls map[string]uint64, failures uint64)
	// WatchWait, unless nil, sets how long the store may hold a watch; 0 stands
	// for the adapter's own time.
	SetWatchTimeout func(time.Duration)
	Promoter        lead.Promoter
	Dialer          dbpool.Dialer
	// Serve takes callers from a listener until it is closed.
	Serve func(net.Listener, *engine.Engine, zerolog.Logger) error
	// CatalogueKey is the key of the catalogue in the store, and TargetPrefix
	// that of the databases' entries.
	CatalogueKey    string
	DecodeCatalogue func([]byte) (*catal.Catalogue, error)
	TargetPrefix    string
	DecodeTarget    func(key string, value []byte) (roster.Entry, error)
}

const (
	// shareLease is the length of the lease of rate slices: a dead VM's are
	// unused for as long, and an outage of the store up to it costs nothing.
	shareLease = 30 * time.Second
	// rateWait bounds the wait for tokens of a workspace's rate.
	rateWait = 120 * time.Millisecond
	// permitLife is how long borrowed tokens may be used, and how long a slice
	// of another VM rests before it is used.
	permitLife = 400 * time.Millisecond
	// sweepPeriod is how often unused connections are looked for.
	sweepPeriod = 2 * time.Second
	// callsPeriod is how often the calls to the store are logged.
	callsPeriod = 10 * time.Second
	// memoryPart of the VM's memory is the garbage collector's soft bound.
	memoryPart = 0.6
)

// Node is one VM's daemon.
type Node struct {
	s   *Settings
	a   Adapters
	log zerolog.Logger

	roster  *roster.Table
	pools   *dbpool.Pools
	follow  *follow.Follower
	fleet   *fleet.Fleet
	limiter *limit.Limiter
	leads   *lead.Monitor
	engine  *engine.Engine
	metrics *metr.Metrics
	peers   *peer.Cache
	lending lending
	lender  *relay.Server
	loans   *relay.Client
	lists   *lists.Reader
	disco   *disco.Poller

	stopping atomic.Bool
	// callsLogged belongs to housekeep.
	callsLogged time.Time
	// started is closed when the VM is ready for the first time.
	started chan struct{}
	// grace is the time of a planned stop; a reload may change it.
	grace atomic.Int64
}

// New returns a Node that serves once Run is called.
func New(s *Settings, a Adapters, log zerolog.Logger) *Node {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryPart * (1 << 20)))
	}
	n := &Node{s: s, a: a, log: log, roster: &roster.Table{}, metrics: metr.New(), started: make(chan struct{})}
	n.grace.Store(int64(s.Grace()))
	n.pools = &dbpool.Pools{Dialer: a.Dialer, Roster: n.roster, ConnLimit: n.connLimit, DialLimit: n.dialLimit}
	n.peers = peer.NewCache(peer.CacheConfig{AllowPlaintext: true, Scope: n.metrics.Scope})
	n.loans = relay.NewClient(relay.Config{Lenders: n.lenders, Peers: n.peers, Log: log})
	n.pools.Lender = n.loans
	n.lender = &relay.Server{Pools: n.pools}
	n.lists = lists.New(lists.Config{Store: a.Store, Peers: n.peers, Readers: n.readers, Clock: uptime.Now, Log: log})
	self := member.Info{VM: s.VM, Zone: s.Zone, Region: s.Region, Address: s.Peers}
	n.fleet = fleet.New(fleet.Config{Self: self, Store: a.Store, Seeds: s.Seeds, FirstStart: s.FirstStart, Log: log, OnChange: func() { n.limiter.TriggerRefresh() }, ListEntries: n.listVMs})
	n.follow = follow.New(follow.Config{
		Store: a.Store, Key: a.CatalogueKey, Decode: a.DecodeCatalogue, VM: s.VM, Fleet: n.fleet, Peers: n.peers, Log: log,
	})
	n.limiter = limit.New(limit.Config{
		Catalogue: n.follow, Fleet: n.fleet, Peers: vmPeers{n}, Store: a.Store, Log: log, Scope: n.metrics.Scope,
		MaxRateWait: rateWait, LeaseTTL: shareLease, RatesOnly: true, Clock: uptime.Now,
		Lifetime: permitLife, Excess: limit.Excess{
			Window: time.Duration(s.RateExcess.WindowS * float64(time.Second)), Fraction: s.RateExcess.Fraction, Tokens: s.RateExcess.Tokens,
		},
	})
	n.disco = &disco.Poller{Store: a.Store, List: n.lists.List, Prefix: a.TargetPrefix, Decode: a.DecodeTarget, Roster: n.roster, Log: log}
	n.leads = lead.New(lead.Config{
		VM: s.VM, Roster: n.roster, Pools: n.pools, Store: a.Store, Promoter: a.Promoter, Peers: vmPeers{n}, RefreshList: n.disco.Refresh,
		Rank:     func(g ident.Group) int { return n.fleet.Rank("failover/"+string(g), s.home()) },
		RegionOf: n.region, HomeRegion: s.home(), Clock: uptime.Now, Log: log,
	})
	n.engine = engine.New(engine.Config{
		Access: n.follow, Limiter: n.limiter, Leads: n.leads, Pools: n.pools, Roster: n.roster,
		Ready: n.started,
		Place: engine.Place{Zone: s.Zone, Region: s.Region, RegionOf: n.region},
		Clock: uptime.Now,
		Meter: newMeter(n.metrics.Scope), Log: log,
	})
	return n
}

// Reload applies the settings that may change while the VM runs.
func (n *Node) Reload(s *Settings) { n.grace.Store(int64(s.Grace())) }

func (n *Node) region(z ident.Zone) ident.Region { return n.s.Zones[z] }

// Run serves until ctx ends, and then stops gracefully. It returns an *Error
// when it can't listen or sessions were cut.
func (n *Node) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", n.s.Callers)
	if err != nil {
		return &Error{Op: "listen for callers", Kind: KindListen, Err: err}
	}
	peers, err := net.Listen("tcp", n.s.Peers)
	if err != nil {
		return &Error{Op: "listen for VMs", Kind: KindListen, Err: err}
	}
	ready, err := net.Listen("tcp", n.s.Ready)
	if err != nil {
		return &Error{Op: "listen for readiness checks", Kind: KindListen, Err: err}
	}
	evlog.At(n.log, evlog.DaemonStarted).Str("vm", string(n.s.VM)).Str("zone", string(n.s.Zone)).Send()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){n.follow.Run, n.fleet.Run, n.limiter.Run, n.leads.Run, n.disco.Run, n.housekeep, n.awaitReady} {
		wg.Go(func() { f(work) })
	}
	server := peer.NewServer(peer.ServerConfig{AllowPlaintext: true}, peer.Handlers{Catalogue: n.follow, Lender: n.limiter, Watcher: watcher{n}, Relay: n.lender, ListReader: n.lists})
	go n.serve("VMs", func() error { return server.Serve(peers) })
	go n.serve("readiness checks", func() error { return n.serveHTTP(ready, false) })
	go n.serve("callers", func() error { return n.a.Serve(callers, n.engine, n.log) })
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

// serve logs a listener that fails while the VM is not stopping.
func (n *Node) serve(what string, f func() error) {
	if err := f(); err != nil && !n.stopping.Load() {
		evlog.At(n.log, evlog.AcceptFailed).Str("listener", what).Err(err).Send()
	}
}

func (n *Node) startMetrics() {
	if n.s.Metrics == "" {
		return
	}
	l, err := net.Listen("tcp", n.s.Metrics)
	if err != nil {
		// Callers are served without metrics too.
		evlog.At(n.log, evlog.AcceptFailed).Str("listener", "metrics").Err(err).Send()
		return
	}
	go n.serve("metrics", func() error { return n.serveHTTP(l, true) })
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

// isReady reports whether the VM takes callers.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.follow.Index() != nil && n.roster.Loaded() && n.limiter.Ready()
}

// readyPoll is how often a VM that starts looks whether it is ready.
const readyPoll = 15 * time.Millisecond

// awaitReady lets callers in when the VM is ready for the first time.
func (n *Node) awaitReady(ctx context.Context) {
	t := time.NewTicker(readyPoll)
	defer t.Stop()
	for !n.isReady() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
	close(n.started)
	evlog.At(n.log, evlog.DaemonReady).Uint64("version", uint64(n.follow.Version())).Send()
}

// housekeep closes unused connections and watches new groups.
func (n *Node) housekeep(ctx context.Context) {
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		changed := n.follow.Changed()
		if c := n.follow.Catalogue(); c != nil {
			groups := make([]ident.Group, 0, len(c.Groups))
			for g := range c.Groups {
				groups = append(groups, g)
			}
			n.leads.Watch(groups)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
			n.gauge()
			n.watchLong()
			n.loans.Sweep()
			n.peers.Sweep()
			n.pools.Sweep(n.keepPool)
		}
	}
}

// gauge reports totals that other packages count.
func (n *Node) gauge() {
	n.metrics.Scope.Gauge("target_dials").Update(float64(n.pools.Dials.Load()))
	n.metrics.Scope.Gauge("vms").Update(float64(len(n.fleet.Live())))
	n.metrics.Scope.Gauge("lent_connections").Update(float64(n.lender.LentCount()))
	n.metrics.Scope.Gauge("sessions").Update(float64(n.engine.Sessions()))
	if n.a.StoreCounts != nil {
		calls, failures := n.a.StoreCounts()
		for op, count := range calls {
			n.metrics.Scope.Tagged(map[string]string{"op": strings.ReplaceAll(op, " ", "_")}).Gauge("store_calls").Update(float64(count))
		}
		n.metrics.Scope.Gauge("store_failures").Update(float64(failures))
		if now := time.Now(); now.Sub(n.callsLogged) >= callsPeriod {
			n.callsLogged = now
			evlog.At(n.log, evlog.StoreCalls).Interface("calls", calls).Uint64("failures", failures).Send()
		}
	}
}

// keepPool reports whether a database is still listed with the address and
// start of a pool.
func (n *Node) keepPool(g ident.Group, id ident.Target, address string, born int64) bool {
	m, ok := n.roster.Member(g, id)
	return ok && m.Address == address && m.ProcessStart == born
}
