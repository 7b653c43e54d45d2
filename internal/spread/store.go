package spread

import (
	"context"
	"slices"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/fresh"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/wait"
)

// readers is the number of VMs of a zone that check the store's version.
const readers = 2

// jitter returns d changed by up to 20% either way, so that the timers of many
// VMs don't run in step.
func (s *Distributor) jitter(d time.Duration) time.Duration {
	s.state.Lock()
	defer s.state.Unlock()
	return d*8/10 + time.Duration(s.rng.Int64N(max(1, int64(d*4/10))))
}

// reads reports whether this VM is a reader of its zone. The caller holds the
// state lock.
func (s *Distributor) reads() bool {
	list := s.node.StoreReaderOrder(s.cfg.Self.Zone)
	return slices.Contains(list[:min(len(list), readers)], s.cfg.Self.VM)
}

// storeLoop checks the store's version. Readers do so at each step. Others do
// when their proof grows old, at a pace that halves while the store is silent.
func (s *Distributor) storeLoop(ctx context.Context) {
	var next time.Time
	delay := 2 * time.Second
	for wait.For(ctx, s.jitter(s.cfg.pace())) {
		s.state.Lock()
		always := s.reads() || s.relaying || !s.serving
		age := s.fresh.Decide(time.Now()).ProofAge
		s.state.Unlock()
		old := age < 0 || age > s.cfg.MaxStaleness*7/10
		if !always && (!old || time.Now().Before(next)) {
			continue
		}
		if s.check(ctx) {
			delay = 2 * time.Second
		} else {
			delay = min(2*delay, 16*time.Second)
		}
		next = time.Now().Add(s.jitter(delay))
	}
}

// probeAge is how old a proof may be so that an absent history entry proves
// anything: entries are pruned a minute after their time, see prune.
const probeAge = 10 * time.Second

// check compares the store's version with the one at hand and reports whether
// the store answered.
func (s *Distributor) check(ctx context.Context) bool {
	now := time.Now()
	s.state.Lock()
	v := s.fresh.Version()
	age := s.fresh.Decide(now).ProofAge
	s.state.Unlock()
	if v == 0 || age < 0 || age > probeAge {
		return s.readWhole(ctx)
	}
	e, sent, err := s.get(ctx, HistoryKey(v))
	if err != nil {
		return false
	}
	if e.Revision == 0 {
		s.prove(v, sent)
		return true
	}
	s.state.Lock()
	wait := s.serving && !s.relaying && s.historySince.IsZero()
	if s.historySince.IsZero() {
		s.historySince = now
	}
	s.state.Unlock()
	if wait {
		// A newer version is probably on its way through the region's relay.
		return true
	}
	ok := s.readWhole(ctx)
	s.repair(ctx, v)
	return ok
}

// get reads a key and notes whether the store answers.
func (s *Distributor) get(ctx context.Context, key string) (store.Entry, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
	defer cancel()
	s.cfg.Scope.Counter("store_reads").Inc(1)
	sent := time.Now()
	e, err := s.cfg.Store.Get(ctx, key)
	s.noteStore(err == nil)
	return e, sent, err
}

func (s *Distributor) noteStore(ok bool) {
	now := time.Now()
	s.state.Lock()
	news := ok != s.storeOK || s.storeAt.IsZero()
	s.storeOK, s.storeAt = ok, now
	if ok {
		s.fresh.RecordStoreContact(now)
	}
	s.state.Unlock()
	switch {
	case news && ok:
		evlog.At(s.cfg.Log, evlog.StoreAnswered).Send()
	case news:
		evlog.At(s.cfg.Log, evlog.StoreFailed).Send()
	}
}

// prove notes that the store's version was not above v.
func (s *Distributor) prove(v ident.Version, sent time.Time) {
	s.state.Lock()
	s.fresh.HandleStoreAnswer(v, sent, time.Now())
	s.boot.RecordStoreAnswer(v)
	s.state.Unlock()
	s.tryStart()
}

// readWhole reads the catalogue from the store.
func (s *Distributor) readWhole(ctx context.Context) bool {
	e, sent, err := s.get(ctx, CatalogueKey)
	if err != nil {
		return false
	}
	if e.Revision == 0 {
		s.prove(0, sent)
		return true
	}
	s.takeEntry(e, sent)
	return true
}

// takeEntry takes the catalogue from an entry of the store that was read, or
// watched when sent is zero.
func (s *Distributor) takeEntry(e store.Entry, sent time.Time) {
	e, err := store.DecodeEntry(e)
	if err != nil {
		s.refuse(0, err.Error())
		return
	}
	r, err := parseRecord(e)
	if err != nil {
		s.refuse(r.Version, err.Error())
		return
	}
	s.take(r.catalogue, "store")
	if !sent.IsZero() {
		s.prove(r.Version, sent)
	}
}

// watchLoop holds a watch while this VM is the relay of its region.
func (s *Distributor) watchLoop(ctx context.Context) {
	for wait.For(ctx, s.jitter(s.cfg.pace())) {
		relay := s.isRelay()
		if relay {
			s.setRelay(true)
			s.watch(ctx)
		}
		if !relay || !s.isRelay() {
			s.setRelay(false)
		}
	}
}

func (s *Distributor) isRelay() bool {
	s.state.Lock()
	defer s.state.Unlock()
	list := s.node.RelayOrder(s.cfg.Self.Region)
	return len(list) > 0 && list[0] == s.cfg.Self.VM
}

func (s *Distributor) setRelay(on bool) {
	s.state.Lock()
	news := s.relaying != on
	s.relaying = on
	s.state.Unlock()
	switch {
	case news && on:
		evlog.At(s.cfg.Log, evlog.RelayStarted).Str("region", string(s.cfg.Self.Region)).Send()
	case news:
		evlog.At(s.cfg.Log, evlog.RelayStopped).Str("region", string(s.cfg.Self.Region)).Send()
	}
}

// watch runs one watch until it breaks or this VM is no longer the relay. The
// first read gives the revision to watch from.
func (s *Distributor) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e, sent, err := s.get(ctx, CatalogueKey)
	if err != nil {
		return
	}
	if e.Revision > 0 {
		s.takeEntry(e, sent)
	}
	go func() {
		for wait.For(ctx, s.jitter(time.Second)) {
			if !s.isRelay() {
				cancel()
			}
		}
	}()
	// A broken watch is made good by the readers and started anew.
	_ = s.cfg.Store.Watch(ctx, CatalogueKey, e.Revision, func(ev store.Event) {
		if ev.Entry.Key == CatalogueKey && !ev.Deleted {
			s.takeEntry(ev.Entry, time.Time{})
		}
	})
}

// askLoop asks the readers of the zone for the age of the version. Readers
// without a young proof ask the readers of the other zones.
func (s *Distributor) askLoop(ctx context.Context) {
	for wait.For(ctx, s.jitter(s.cfg.pace())) {
		for _, i := range s.askNext() {
			s.background(func(ctx context.Context) { s.ask(ctx, i, false) })
		}
		s.state.Lock()
		serving := s.serving
		s.state.Unlock()
		if serving {
			continue
		}
		for _, address := range s.cfg.Seeds {
			if address != s.cfg.Self.Address {
				s.background(func(ctx context.Context) { s.ask(ctx, address, true) })
			}
		}
	}
}

// askNext returns the addresses to ask at this step.
func (s *Distributor) askNext() []string {
	s.state.Lock()
	defer s.state.Unlock()
	age := s.fresh.Decide(time.Now()).ProofAge
	if age != fresh.AgeNever && age <= s.cfg.MaxStaleness/4 {
		return nil
	}
	s.turn++
	zones := map[ident.Zone]bool{s.cfg.Self.Zone: true}
	if s.reads() {
		for _, i := range s.node.Live() {
			zones[i.Zone] = true
		}
	}
	var out []string
	for z := range zones {
		if i, ok := s.reader(z); ok {
			out = append(out, i.Address)
		}
	}
	slices.Sort(out)
	return out
}

// reader returns one of the readers of a zone, in turn. The caller holds the
// state lock.
func (s *Distributor) reader(z ident.Zone) (member.Info, bool) {
	list := s.node.StoreReaderOrder(z)
	list = slices.DeleteFunc(list[:min(len(list), readers)], func(vm ident.VM) bool { return vm == s.cfg.Self.VM })
	if len(list) == 0 {
		return member.Info{}, false
	}
	return s.node.Lookup(list[s.turn%len(list)])
}

var decisionEvents = map[fresh.Reason]evlog.Event{
	fresh.ReasonFresh:     evlog.CutOffEnded,
	fresh.ReasonStoreDown: evlog.StoreDown,
	fresh.ReasonGrace:     evlog.CutOffGrace,
	fresh.ReasonCutOff:    evlog.CutOff,
}

// factsLoop logs changes of the cut-off rule's outcome and sets gauges.
func (s *Distributor) factsLoop(ctx context.Context) {
	for wait.For(ctx, 500*time.Millisecond) {
		s.state.Lock()
		d := s.fresh.Decide(time.Now())
		old := s.decision
		s.decision = d.Reason
		s.state.Unlock()
		s.cfg.Scope.Gauge("catalogue_age_seconds").Update(d.ProofAge.Seconds())
		if e, ok := decisionEvents[d.Reason]; ok && d.Reason != old && old != fresh.ReasonNone {
			missing := make([]string, len(d.MissingZones))
			for i, z := range d.MissingZones {
				missing[i] = string(z)
			}
			evlog.At(s.cfg.Log, e).Dur("age_ms", d.ProofAge).Strs("missing", missing).Send()
		}
		if c, ok := s.cfg.Peers.(interface{ Sweep() }); ok {
			c.Sweep()
		}
	}
}

// platformPeriod is the time between reads of the platform's list by a reader.
const platformPeriod = 30 * time.Second

// platformLoop takes candidates and leaving VMs from the platform's list.
func (s *Distributor) platformLoop(ctx context.Context) {
	for wait.For(ctx, s.jitter(platformPeriod)) {
		s.state.Lock()
		reads := s.reads()
		s.state.Unlock()
		c := s.Catalogue()
		if !reads || c == nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
		list, err := s.cfg.Store.ListVMs(call)
		cancel()
		s.noteStore(err == nil)
		if err != nil {
			continue
		}
		infos := make([]member.Info, len(list))
		for i, vm := range list {
			infos[i] = member.Info{VM: vm.VM, Zone: vm.Zone, Region: c.Zones[vm.Zone].Region, Address: vm.Address}
			if vm.Leaving {
				infos[i].State = member.StateLeaving
			}
		}
		s.state.Lock()
		s.node.MergePlatformList(infos, time.Now())
		s.state.Unlock()
	}
}
