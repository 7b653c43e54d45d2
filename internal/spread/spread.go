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

// Distributor is a VM's part in the spreading of the catalogue. Its methods may be
// called from several goroutines.
type Distributor struct {
	cfg Config
	// pool is nil outside of Run; the state lock guards it.
	pool  pond.Pool
	tasks sync.WaitGroup

	// apply is held while a version is put in force.
	apply    sync.Mutex
	onChange []func(*catal.Catalogue)

	// state is held for everything below.
	state   sync.Mutex
	rng     *rand.Rand
	node    *member.Node
	fresh   *fresh.State
	boot    fresh.StartupCheck
	serving bool
	// held is the highest version at hand; it is in force once serving.
	held     *catal.Catalogue
	past     []*catal.Catalogue
	pulling  map[ident.VM]bool
	hints    hints
	seen     map[ident.VM]member.State
	changes  uint64
	lastPeer time.Time
	// storeOK and storeAt are the outcome of the last call to the store.
	storeOK bool
	storeAt time.Time
	// historySince is when a history entry of the held version was first seen,
	// which an interrupted edit leaves behind.
	historySince time.Time
	refused      ident.Version
	reason       string
	relaying     bool
	decision     fresh.Reason
	turn         int

	inForce atomic.Pointer[catal.Catalogue]
	wake    chan struct{}
	ctx     context.Context
}

// pastVersions is how many former versions are kept to make deltas from.
const pastVersions = 8

// New returns a Spread that does nothing until Run.
func New(cfg Config) *Distributor {
	cfg = cfg.withDefaults()
	s := &Distributor{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Number))),
		node:    member.New(cfg.Membership, time.Now()),
		fresh:   fresh.New(fresh.Config{Zone: cfg.Self.Zone, MaxStaleness: cfg.MaxStaleness, CutOffGracePeriod: cfg.CutOffGracePeriod}),
		pulling: map[ident.VM]bool{},
		seen:    map[ident.VM]member.State{},
		wake:    make(chan struct{}, 1),
		ctx:     context.Background(),
	}
	for _, address := range cfg.Seeds {
		if address != cfg.Self.Address {
			s.boot.PeerCount++
		}
	}
	return s
}

// OnChange registers a function that is called with each version that comes
// into force, in order. It is called at once when one is in force already. It
// must return soon and must not call OnChange or Edit.
func (s *Distributor) OnChange(f func(*catal.Catalogue)) {
	s.apply.Lock()
	defer s.apply.Unlock()
	s.onChange = append(s.onChange, f)
	if c := s.inForce.Load(); c != nil {
		f(c)
	}
}

// Catalogue returns the version in force, nil before the start is complete.
// Nobody may change it.
func (s *Distributor) Catalogue() *catal.Catalogue { return s.inForce.Load() }

// Live returns the VMs that are not dead, this one among them.
func (s *Distributor) Live() []member.Info {
	s.state.Lock()
	defer s.state.Unlock()
	return s.node.Live()
}

// Members returns all known VMs with the dead ones.
func (s *Distributor) Members() []member.Info {
	s.state.Lock()
	defer s.state.Unlock()
	return s.node.Members()
}

// Self returns this VM as others see it.
func (s *Distributor) Self() member.Info {
	s.state.Lock()
	defer s.state.Unlock()
	return s.node.Self()
}

// SetLeaving tells the others that this VM leaves.
func (s *Distributor) SetLeaving() {
	s.state.Lock()
	s.node.SetLeaving(time.Now())
	s.state.Unlock()
	s.poke()
}

// Client returns a client of a live VM. It returns an *Error of kind
// KindUnknownVM when there is none.
func (s *Distributor) Client(vm ident.VM) (peerpb.PeerClient, error) {
	s.state.Lock()
	i, ok := s.node.Lookup(vm)
	s.state.Unlock()
	if !ok || i.State == member.StateDead {
		return nil, &Error{Op: "client", Kind: KindUnknownVM, Text: "no live VM " + string(vm)}
	}
	return s.cfg.Peers.Client(i.Address)
}

// RegionOf returns the region of the VM at an address, empty when it is
// unknown; it serves a byte counter.
func (s *Distributor) RegionOf(address string) ident.Region {
	s.state.Lock()
	defer s.state.Unlock()
	for _, i := range s.node.Members() {
		if i.Address == address {
			return i.Region
		}
	}
	return ""
}

// SetLimits changes max_stale and cut_off_serve while running. The pace of the
// checks follows at the next start.
func (s *Distributor) SetLimits(maxStale, cutOffServe time.Duration) {
	s.state.Lock()
	defer s.state.Unlock()
	s.fresh.SetLimits(maxStale, cutOffServe)
}

// Status is what operators see of a VM's catalogue.
type Status struct {
	// Version in force; 0 before the start is complete.
	Version ident.Version
	// Known is the highest version heard of.
	HighestKnown ident.Version
	// Refused is a version that could not be applied, with the reason.
	RefusedVersion ident.Version
	RefusalReason  string
	IsRelay        bool
	Decision       fresh.Decision
	// Store tells whether the last call to the store was answered.
	StoreReachable bool
}

// Status returns the present state.
func (s *Distributor) Status() Status {
	s.state.Lock()
	defer s.state.Unlock()
	f := Status{
		HighestKnown: s.fresh.HighestKnown(), RefusedVersion: s.refused, RefusalReason: s.reason,
		IsRelay: s.relaying, Decision: s.fresh.Decide(time.Now()), StoreReachable: s.storeOK,
	}
	if c := s.inForce.Load(); c != nil {
		f.Version = c.Version
	}
	return f
}

// Run spreads the catalogue until ctx ends. It is called once.
func (s *Distributor) Run(ctx context.Context) {
	s.state.Lock()
	s.ctx = ctx
	// The pool ends by its context and not by Stop, because Stop runs in a
	// pool that the whole process shares.
	poolCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.pool = pond.NewPool(s.cfg.Workers, pond.WithContext(poolCtx))
	s.state.Unlock()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.memberLoop, s.storeLoop, s.watchLoop, s.askLoop, s.factsLoop, s.platformLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
	s.state.Lock()
	s.pool = nil
	s.state.Unlock()
	s.tasks.Wait()
	stop()
}

// background runs f in the pool; it does nothing outside of Run.
func (s *Distributor) background(f func(context.Context)) {
	s.state.Lock()
	defer s.state.Unlock()
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
		// The pool has stopped, and the work is no longer wanted.
		s.tasks.Done()
	}
}

func (s *Distributor) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take takes a version from anywhere. It is the only place where versions
// change: a lower one is never taken, whoever sends it.
func (s *Distributor) take(c *catal.Catalogue, source string) bool {
	s.apply.Lock()
	defer s.apply.Unlock()
	if bad := catal.Validate(c); len(bad) > 0 {
		s.refuse(c.Version, bad[0].String())
		return false
	}
	s.state.Lock()
	ok := s.fresh.Apply(c.Version, slices.Collect(maps.Keys(c.Zones)))
	if ok {
		if s.held != nil {
			s.past = append(s.past, s.held)
			s.past = s.past[max(0, len(s.past)-pastVersions):]
		}
		s.held = c
		s.historySince = time.Time{}
	}
	s.state.Unlock()
	if ok {
		s.publish(source)
		s.push(c.Version)
	}
	return ok
}

func (s *Distributor) refuse(v ident.Version, reason string) {
	s.state.Lock()
	news := s.refused != v || s.reason != reason
	s.refused, s.reason = v, reason
	s.state.Unlock()
	if news {
		evlog.At(s.cfg.Log, evlog.CatalogueRefused).Uint64("version", uint64(v)).Str("reason", reason).Send()
	}
}

// tryStart puts the held version in force when the start is complete.
func (s *Distributor) tryStart() {
	s.apply.Lock()
	defer s.apply.Unlock()
	s.publish("start")
}

// publish puts the held version in force once the start is complete. The
// caller holds the apply lock.
func (s *Distributor) publish(source string) {
	s.state.Lock()
	started := false
	if !s.serving && s.boot.Ready(s.fresh.Version()) {
		s.serving, started = true, true
	}
	c := s.held
	serving := s.serving
	s.state.Unlock()
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
