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

// readersPerZone is the number of VMs of a zone that check the store's version.
const readersPerZone = 2

// jitter returns d changed at random by up to 20% either way, so that the timers
// of many VMs are not synchronized.
func (s *Distributor) jitter(d time.Duration) time.Duration {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return d*8/10 + time.Duration(s.rng.Int64N(max(1, int64(d*4/10))))
}

// isReader reports whether this VM is a reader of its zone. The caller holds
// stateMu.
func (s *Distributor) isReader() bool {
	list := s.node.StoreReaderOrder(s.cfg.Self.Zone)
	return slices.Contains(list[:min(len(list), readersPerZone)], s.cfg.Self.VM)
}

// storeLoop checks the store's version. Readers, the relay and VMs that are still
// starting do so at every step. Others do so when their proof is older than 70%
// of MaxStaleness; their interval starts at 2 s and doubles up to 16 s while the
// store does not answer.
func (s *Distributor) storeLoop(ctx context.Context) {
	var next time.Time
	interval := 2 * time.Second
	for wait.For(ctx, s.jitter(s.cfg.checkInterval())) {
		s.stateMu.Lock()
		everyStep := s.isReader() || s.relaying || !s.serving
		age := s.fresh.Decide(time.Now()).ProofAge
		s.stateMu.Unlock()
		proofOld := age < 0 || age > s.cfg.MaxStaleness*7/10
		if !everyStep && (!proofOld || time.Now().Before(next)) {
			continue
		}
		if s.checkStoreVersion(ctx) {
			interval = 2 * time.Second
		} else {
			interval = min(2*interval, 16*time.Second)
		}
		next = time.Now().Add(s.jitter(interval))
	}
}

// historyProofMaxAge is the greatest age of the latest proof at which an absent
// history entry proves that the version is still current. With an older proof,
// the entry may be absent because it was pruned, which can happen pruneDelay (a
// minute) after the entry exceeds formerVersionLimit.
const historyProofMaxAge = 10 * time.Second

// checkStoreVersion compares the store's version with the latest version of this
// VM and reports whether the store answered.
func (s *Distributor) checkStoreVersion(ctx context.Context) bool {
	now := time.Now()
	s.stateMu.Lock()
	v := s.fresh.Version()
	age := s.fresh.Decide(now).ProofAge
	s.stateMu.Unlock()
	if v == 0 || age < 0 || age > historyProofMaxAge {
		return s.readCatalogue(ctx)
	}
	e, sent, err := s.readEntry(ctx, HistoryKey(v))
	if err != nil {
		return false
	}
	if e.Revision == 0 {
		s.recordProof(v, sent)
		return true
	}
	s.stateMu.Lock()
	deferRead := s.serving && !s.relaying && s.historySeenAt.IsZero()
	if s.historySeenAt.IsZero() {
		s.historySeenAt = now
	}
	s.stateMu.Unlock()
	if deferRead {
		// The relay of the region has probably read the newer version already and
		// will distribute it.
		return true
	}
	ok := s.readCatalogue(ctx)
	s.repair(ctx, v)
	return ok
}

// readEntry reads a key and records whether the store answered. It also returns
// the time at which the request was sent.
func (s *Distributor) readEntry(ctx context.Context, key string) (store.Entry, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
	defer cancel()
	s.cfg.Scope.Counter("store_reads").Inc(1)
	sent := time.Now()
	e, err := s.cfg.Store.Get(ctx, key)
	s.recordStoreResult(err == nil)
	return e, sent, err
}

// recordStoreResult records whether a call to the store was answered, and logs a
// change.
func (s *Distributor) recordStoreResult(ok bool) {
	now := time.Now()
	s.stateMu.Lock()
	changed := ok != s.storeAnswered || s.storeCalledAt.IsZero()
	s.storeAnswered, s.storeCalledAt = ok, now
	if ok {
		s.fresh.RecordStoreContact(now)
	}
	s.stateMu.Unlock()
	switch {
	case changed && ok:
		evlog.At(s.cfg.Log, evlog.StoreAnswered).Send()
	case changed:
		evlog.At(s.cfg.Log, evlog.StoreFailed).Send()
	}
}

// recordProof records the proof that the store's version was not above v at the
// time sent.
func (s *Distributor) recordProof(v ident.Version, sent time.Time) {
	s.stateMu.Lock()
	s.fresh.HandleStoreAnswer(v, sent, time.Now())
	s.startupCheck.RecordStoreAnswer(v)
	s.stateMu.Unlock()
	s.tryPublish()
}

// readCatalogue reads the whole catalogue from the store and applies it. It
// reports whether the store answered.
func (s *Distributor) readCatalogue(ctx context.Context) bool {
	e, sent, err := s.readEntry(ctx, CatalogueKey)
	if err != nil {
		return false
	}
	if e.Revision == 0 {
		s.recordProof(0, sent)
		return true
	}
	s.applyEntry(e, sent)
	return true
}

// applyEntry applies the catalogue in an entry of the store. An entry that was
// read is also a proof as of the time sent. For an entry from a watch, sent is
// zero and there is no proof.
func (s *Distributor) applyEntry(e store.Entry, sent time.Time) {
	e, err := store.DecodeEntry(e)
	if err != nil {
		s.recordRefusal(0, err.Error())
		return
	}
	r, err := parseRecord(e)
	if err != nil {
		s.recordRefusal(r.Version, err.Error())
		return
	}
	s.applyVersion(r.catalogue, "store")
	if !sent.IsZero() {
		s.recordProof(r.Version, sent)
	}
}

// watchLoop watches the store while this VM is the relay of its region.
func (s *Distributor) watchLoop(ctx context.Context) {
	for wait.For(ctx, s.jitter(s.cfg.checkInterval())) {
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

// isRelay reports whether this VM is the relay of its region by the current
// member list.
func (s *Distributor) isRelay() bool {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	list := s.node.RelayOrder(s.cfg.Self.Region)
	return len(list) > 0 && list[0] == s.cfg.Self.VM
}

// setRelay records whether this VM acts as the relay, and logs a change.
func (s *Distributor) setRelay(on bool) {
	s.stateMu.Lock()
	changed := s.relaying != on
	s.relaying = on
	s.stateMu.Unlock()
	switch {
	case changed && on:
		evlog.At(s.cfg.Log, evlog.RelayStarted).Str("region", string(s.cfg.Self.Region)).Send()
	case changed:
		evlog.At(s.cfg.Log, evlog.RelayStopped).Str("region", string(s.cfg.Self.Region)).Send()
	}
}

// watch runs one watch until it fails or this VM is no longer the relay. The
// first read gives the revision to watch from.
func (s *Distributor) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e, sent, err := s.readEntry(ctx, CatalogueKey)
	if err != nil {
		return
	}
	if e.Revision > 0 {
		s.applyEntry(e, sent)
	}
	go func() {
		for wait.For(ctx, s.jitter(time.Second)) {
			if !s.isRelay() {
				cancel()
			}
		}
	}()
	// After a failed watch, watchLoop starts a new one. Until then the readers
	// find new versions.
	_ = s.cfg.Store.Watch(ctx, CatalogueKey, e.Revision, func(ev store.Event) {
		if ev.Entry.Key == CatalogueKey && !ev.Deleted {
			s.applyEntry(ev.Entry, time.Time{})
		}
	})
}

// ageRequestLoop requests the age of the proof from the readers of the zone.
// Readers without a recent proof request it from the readers of the other zones
// as well. A VM that is still starting also sends full requests to the seeds.
func (s *Distributor) ageRequestLoop(ctx context.Context) {
	for wait.For(ctx, s.jitter(s.cfg.checkInterval())) {
		for _, i := range s.ageRequestAddresses() {
			s.background(func(ctx context.Context) { s.requestAges(ctx, i, false) })
		}
		s.stateMu.Lock()
		serving := s.serving
		s.stateMu.Unlock()
		if serving {
			continue
		}
		for _, address := range s.cfg.Seeds {
			if address != s.cfg.Self.Address {
				s.background(func(ctx context.Context) { s.requestAges(ctx, address, true) })
			}
		}
	}
}

// ageRequestAddresses returns the addresses to send requests to at this step:
// none while the proof is at most a quarter of MaxStaleness old.
func (s *Distributor) ageRequestAddresses() []string {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	age := s.fresh.Decide(time.Now()).ProofAge
	if age != fresh.AgeNever && age <= s.cfg.MaxStaleness/4 {
		return nil
	}
	s.readerIndex++
	zones := map[ident.Zone]bool{s.cfg.Self.Zone: true}
	if s.isReader() {
		for _, i := range s.node.Live() {
			zones[i.Zone] = true
		}
	}
	var out []string
	for z := range zones {
		if i, ok := s.nextReader(z); ok {
			out = append(out, i.Address)
		}
	}
	slices.Sort(out)
	return out
}

// nextReader returns one of the readers of a zone other than this VM, in
// round-robin order. The caller holds stateMu.
func (s *Distributor) nextReader(z ident.Zone) (member.Info, bool) {
	list := s.node.StoreReaderOrder(z)
	list = slices.DeleteFunc(list[:min(len(list), readersPerZone)], func(vm ident.VM) bool { return vm == s.cfg.Self.VM })
	if len(list) == 0 {
		return member.Info{}, false
	}
	return s.node.Lookup(list[s.readerIndex%len(list)])
}

var decisionEvents = map[fresh.Reason]evlog.Event{
	fresh.ReasonFresh:     evlog.CutOffEnded,
	fresh.ReasonStoreDown: evlog.StoreDown,
	fresh.ReasonGrace:     evlog.CutOffGrace,
	fresh.ReasonCutOff:    evlog.CutOff,
}

// statusLoop logs changes of the result of the cut-off rule, sets the age gauge
// and lets the client cache close unused connections.
func (s *Distributor) statusLoop(ctx context.Context) {
	for wait.For(ctx, 500*time.Millisecond) {
		s.stateMu.Lock()
		d := s.fresh.Decide(time.Now())
		previous := s.loggedReason
		s.loggedReason = d.Reason
		s.stateMu.Unlock()
		s.cfg.Scope.Gauge("catalogue_age_seconds").Update(d.ProofAge.Seconds())
		if e, ok := decisionEvents[d.Reason]; ok && d.Reason != previous && previous != fresh.ReasonNone {
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

// platformListInterval is the interval at which a reader reads the platform's
// list of VMs.
const platformListInterval = 30 * time.Second

// platformLoop merges the platform's list of VMs, which names new and leaving
// ones, into the member list.
func (s *Distributor) platformLoop(ctx context.Context) {
	for wait.For(ctx, s.jitter(platformListInterval)) {
		s.stateMu.Lock()
		isReader := s.isReader()
		s.stateMu.Unlock()
		c := s.Catalogue()
		if !isReader || c == nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
		list, err := s.cfg.Store.ListVMs(call)
		cancel()
		s.recordStoreResult(err == nil)
		if err != nil {
			continue
		}
		members := make([]member.Info, len(list))
		for i, vm := range list {
			members[i] = member.Info{VM: vm.VM, Zone: vm.Zone, Region: c.Zones[vm.Zone].Region, Address: vm.Address}
			if vm.Leaving {
				members[i].State = member.StateLeaving
			}
		}
		s.stateMu.Lock()
		s.node.MergePlatformList(members, time.Now())
		s.stateMu.Unlock()
	}
}
