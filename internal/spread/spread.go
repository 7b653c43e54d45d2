package spread

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/fresh"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
)

// Distributor distributes the catalogue on behalf of one VM. Its methods may be
// called concurrently.
type Distributor struct {
	cfg Config
	// pool is nil outside of Run. It is guarded by stateMu.
	pool  pond.Pool
	tasks sync.WaitGroup

	// applyMu is held while a version is applied and put in force.
	applyMu  sync.Mutex
	onChange []func(*catal.Catalogue)

	// stateMu guards the fields from here to readerIndex, and ctx.
	stateMu      sync.Mutex
	rng          *rand.Rand
	node         *member.Node
	fresh        *fresh.State
	startupCheck fresh.StartupCheck
	serving      bool
	// latest is the highest version that this VM has. It is in force once
	// serving is true.
	latest *catal.Catalogue
	// deltaBases has up to deltaBaseLimit versions before latest, oldest first.
	deltaBases        []*catal.Catalogue
	pulling           map[ident.VM]bool
	hints             hintCounts
	loggedStates      map[ident.VM]member.State
	loggedChangeCount uint64
	lastPeerContact   time.Time
	// storeAnswered and storeCalledAt are the result and the time of the last
	// call to the store.
	storeAnswered bool
	storeCalledAt time.Time
	// historySeenAt is when a history entry of the latest version was first seen.
	// Such an entry means that the version is being replaced, or that an edit was
	// interrupted.
	historySeenAt  time.Time
	refusedVersion ident.Version
	refusalReason  string
	relaying       bool
	loggedReason   fresh.Reason
	readerIndex    int

	inForce atomic.Pointer[catal.Catalogue]
	wake    chan struct{}
	ctx     context.Context
}

// deltaBaseLimit is the number of former versions kept as bases of deltas.
const deltaBaseLimit = 8

// New returns a Distributor that does nothing until Run.
func New(cfg Config) *Distributor {
	cfg = cfg.withDefaults()
	s := &Distributor{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Number))),
		node:         member.New(cfg.Membership, time.Now()),
		fresh:        fresh.New(fresh.Config{Zone: cfg.Self.Zone, MaxStaleness: cfg.MaxStaleness, CutOffGracePeriod: cfg.CutOffGracePeriod}),
		pulling:      map[ident.VM]bool{},
		loggedStates: map[ident.VM]member.State{},
		wake:         make(chan struct{}, 1),
		ctx:          context.Background(),
	}
	for _, address := range cfg.Seeds {
		if address != cfg.Self.Address {
			s.startupCheck.PeerCount++
		}
	}
	return s
}

// OnChange registers a function that is called with each version that comes
// into force, in order. If a version is already in force, it is called with that
// one before OnChange returns. The function must return quickly and must not
// call OnChange or Edit.
func (s *Distributor) OnChange(f func(*catal.Catalogue)) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.onChange = append(s.onChange, f)
	if c := s.inForce.Load(); c != nil {
		f(c)
	}
}

// Catalogue returns the version in force, or nil before the start is complete.
// Callers must not modify it.
func (s *Distributor) Catalogue() *catal.Catalogue { return s.inForce.Load() }

// Live returns the VMs that are not dead, including this one.
func (s *Distributor) Live() []member.Info {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return s.node.Live()
}

// Members returns all known VMs, including dead ones.
func (s *Distributor) Members() []member.Info {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return s.node.Members()
}

// Self returns this VM's own entry in the member list.
func (s *Distributor) Self() member.Info {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return s.node.Self()
}

// SetLeaving announces to the other VMs that this VM is leaving.
func (s *Distributor) SetLeaving() {
	s.stateMu.Lock()
	s.node.SetLeaving(time.Now())
	s.stateMu.Unlock()
	s.wakeMemberLoop()
}

// Client returns a client of a live VM. It returns an *Error of kind
// KindUnknownVM when there is none.
func (s *Distributor) Client(vm ident.VM) (peerpb.PeerClient, error) {
	s.stateMu.Lock()
	i, ok := s.node.Lookup(vm)
	s.stateMu.Unlock()
	if !ok || i.State == member.StateDead {
		return nil, &Error{Op: "client", Kind: KindUnknownVM, Text: "no live VM " + string(vm)}
	}
	return s.cfg.Peers.Client(i.Address)
}

// RegionOf returns the region of the VM at an address, or "" when it is unknown.
// The byte counters of the peer transport use it as a label.
func (s *Distributor) RegionOf(address string) ident.Region {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	for _, i := range s.node.Members() {
		if i.Address == address {
			return i.Region
		}
	}
	return ""
}

// SetLimits changes the limits of the cut-off rule while running. The intervals and
// ages that this package derives from Config.MaxStaleness stay as they are.
func (s *Distributor) SetLimits(maxStaleness, cutOffGracePeriod time.Duration) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.fresh.SetLimits(maxStaleness, cutOffGracePeriod)
}

// Status is the state of a VM's catalogue as shown to operators.
type Status struct {
	// Version is the version in force, 0 before the start is complete.
	Version ident.Version
	// HighestKnown is the highest version that this VM has heard of.
	HighestKnown ident.Version
	// RefusedVersion is the last version that could not be applied, and
	// RefusalReason says why.
	RefusedVersion ident.Version
	RefusalReason  string
	IsRelay        bool
	Decision       fresh.Decision
	// StoreReachable reports whether the last call to the store was answered.
	StoreReachable bool
}

// Status returns the current status.
func (s *Distributor) Status() Status {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	status := Status{
		HighestKnown: s.fresh.HighestKnown(), RefusedVersion: s.refusedVersion, RefusalReason: s.refusalReason,
		IsRelay: s.relaying, Decision: s.fresh.Decide(time.Now()), StoreReachable: s.storeAnswered,
	}
	if c := s.inForce.Load(); c != nil {
		status.Version = c.Version
	}
	return status
}

// Run distributes the catalogue until ctx ends. It must be called only once.
func (s *Distributor) Run(ctx context.Context) {
	s.stateMu.Lock()
	s.ctx = ctx
	// The pool is ended by its context and not by Stop, because Stop runs in a
	// pool that is shared by the whole process.
	poolCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.pool = pond.NewPool(s.cfg.Workers, pond.WithContext(poolCtx))
	s.stateMu.Unlock()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.memberLoop, s.storeLoop, s.watchLoop, s.ageRequestLoop, s.statusLoop, s.platformLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
	s.stateMu.Lock()
	s.pool = nil
	s.stateMu.Unlock()
	s.tasks.Wait()
	stop()
}

// background runs f in the worker pool. It does nothing outside of Run.
func (s *Distributor) background(f func(context.Context)) {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	if s.pool == nil {
		return
	}
	ctx := s.ctx
	s.tasks.Add(1)
	err := s.pool.Go(func() {
		defer s.tasks.Done()
		f(ctx)
	})
	if err != nil {
		// The pool has stopped, so the task is dropped.
		s.tasks.Done()
	}
}

// wakeMemberLoop makes memberLoop compute its next tick again.
func (s *Distributor) wakeMemberLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// applyVersion applies a version from any source and reports whether it was
// newer. It is the only place that changes the latest version: a lower one is
// never applied, whatever its source.
func (s *Distributor) applyVersion(c *catal.Catalogue, source string) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if problems := catal.Validate(c); len(problems) > 0 {
		s.recordRefusal(c.Version, problems[0].String())
		return false
	}
	s.stateMu.Lock()
	ok := s.fresh.Apply(c.Version, slices.Collect(maps.Keys(c.Zones)))
	if ok {
		if s.latest != nil {
			s.deltaBases = append(s.deltaBases, s.latest)
			s.deltaBases = s.deltaBases[max(0, len(s.deltaBases)-deltaBaseLimit):]
		}
		s.latest = c
		s.historySeenAt = time.Time{}
	}
	s.stateMu.Unlock()
	if ok {
		s.publish(source)
		s.pushToPeers(c.Version)
	}
	return ok
}

// recordRefusal records and logs that a version could not be applied.
func (s *Distributor) recordRefusal(v ident.Version, reason string) {
	s.stateMu.Lock()
	changed := s.refusedVersion != v || s.refusalReason != reason
	s.refusedVersion, s.refusalReason = v, reason
	s.stateMu.Unlock()
	if changed {
		evlog.At(s.cfg.Log, evlog.CatalogueRefused).Uint64("version", uint64(v)).Str("reason", reason).Send()
	}
}

// tryPublish is publish for callers that do not hold applyMu.
func (s *Distributor) tryPublish() {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.publish("start")
}

// publish puts the latest version in force if the start is complete. The caller
// holds applyMu.
func (s *Distributor) publish(source string) {
	s.stateMu.Lock()
	started := false
	if !s.serving && s.startupCheck.Ready(s.fresh.Version()) {
		s.serving, started = true, true
	}
	c := s.latest
	serving := s.serving
	s.stateMu.Unlock()
	if !serving || c == s.inForce.Load() {
		return
	}
	s.inForce.Store(c)
	if started {
		evlog.At(s.cfg.Log, evlog.CatalogueReady).Uint64("version", uint64(c.Version)).Send()
	}
	evlog.At(s.cfg.Log, evlog.CatalogueApplied).Uint64("version", uint64(c.Version)).Str("source", source).Send()
	s.cfg.Scope.Gauge("catalogue_version").Update(float64(c.Version))
	for _, f := range s.onChange {
		f(c)
	}
}
