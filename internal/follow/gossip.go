package follow

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// gossip compares versions with other VMs until ctx is cancelled.
func (f *Follower) gossip(ctx context.Context) {
	t := time.NewTimer(f.gossipDelay())
	defer t.Stop()
	for {
		newVersion := false
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.newVersion:
			newVersion = true
		}
		f.compareRound(ctx, newVersion)
		if f.isUnconfirmed() {
			f.failedRounds.Add(1)
		} else {
			f.failedRounds.Store(0)
		}
		f.reportUnconfirmed()
		t.Reset(f.gossipDelay())
	}
}

// gossipDelay returns the time to the next comparison, which differs at random by a
// tenth, so that the VMs that learned of a version together spread out again.
func (f *Follower) gossipDelay() time.Duration {
	d := gossipInterval
	if !f.watches() {
		d = readerInterval
	}
	return d*9/10 + rand.N(d/5)
}

// compareRound compares versions with the VM that told of a newer one, if any, with one
// reader, and with as many random VMs as fanout says. Unless that is none, it goes on
// with the other readers too. While rounds fail, it asks all at once.
func (f *Follower) compareRound(ctx context.Context, newVersion bool) {
	if address := f.takeAhead(); address != "" {
		f.compare(ctx, address)
	}
	readers := f.rankReaders()
	searching := f.failedRounds.Load() > 0 && f.isUnconfirmed()
	if len(readers) > 0 && !searching {
		f.compareWithReader(ctx, readers[0])
		readers = readers[1:]
	}
	n := f.fanout(newVersion)
	if n == 0 {
		return
	}
	var wg sync.WaitGroup
	for _, address := range readers {
		wg.Go(func() { f.compareWithReader(ctx, address) })
	}
	for _, address := range f.randomVMs(n) {
		wg.Go(func() { f.compare(ctx, address) })
	}
	wg.Wait()
}

// fanout returns the number of random VMs with which to compare versions, 0 if the
// comparison with a reader is enough. It is not while the version in force is not
// confirmed: the answer of a reader that has lost the store itself proves nothing.
func (f *Follower) fanout(newVersion bool) int {
	watches := f.watches()
	switch {
	case f.isUnconfirmed():
		return unconfirmedFanout << min(f.failedRounds.Load(), maxFanoutDoublings)
	case newVersion && (watches || f.Confirmation().From == FromStore):
		return gossipFanout // others may have no way to it but this VM
	case watches:
		return 1
	}
	return 0
}

// takeAhead returns the address of the VM that told of a newer version, "" if there is
// none to be asked. Only VMs of an earlier release don't tell their address.
func (f *Follower) takeAhead() string {
	f.mu.Lock()
	vm, address := f.ahead, f.aheadAddress
	f.ahead, f.aheadAddress = "", ""
	f.mu.Unlock()
	if address != "" || vm == "" {
		return address
	}
	return f.cfg.Fleet.Address(vm)
}

// rankReaders returns the readers in the order in which to ask them: first the one that
// last confirmed the version in force, last those that did not answer a moment ago.
func (f *Follower) rankReaders() []string {
	readers, _ := f.cfg.Readers()
	f.mu.Lock()
	last := f.reader
	f.mu.Unlock()
	rank := func(address string) int {
		switch {
		case f.avoid.Has(address):
			return 2
		case address != last:
			return 1
		}
		return 0
	}
	return slices.SortedStableFunc(slices.Values(readers), func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
}

// compareWithReader compares versions with a reader, which is asked first from now on if
// it confirms the version in force.
func (f *Follower) compareWithReader(ctx context.Context, address string) {
	if f.compare(ctx, address) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reader = address
	}
}

// randomVMs returns the addresses of n other VMs. Those that could not confirm the version
// a moment ago come after others, and those that did not answer come last.
func (f *Follower) randomVMs(n int) []string {
	all := f.cfg.Fleet.Addresses()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	rank := func(address string) int {
		switch {
		case f.avoid.Has(address):
			return 2
		case f.uninformed.Has(address):
			return 1
		}
		return 0
	}
	slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return all[:min(n, len(all))]
}

// compare sends the version in force to a VM, pulls the VM's catalogue if that is
// newer, and takes over its confirmation. It reports whether the VM knew no more than
// maxAnswerAge ago that the version now in force is the newest. Errors are ignored: as
// long as the version is not confirmed, a round asks other VMs.
func (f *Follower) compare(ctx context.Context, address string) bool {
	c, err := f.cfg.Peers.Client(address)
	if err != nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	asked := f.cfg.Clock()
	r, err := c.PushCatalogue(call, &peerpb.PushCatalogueRequest{Version: uint64(f.Version()), Vm: string(f.cfg.VM), Address: f.cfg.Address, Evacuation: f.evacuationMessage()})
	if err != nil {
		f.avoid.Add(address, avoidPeriod)
		return false
	}
	zones := f.receiveEvacuation(r.GetEvacuation()) // before a version by which the VM may start to serve
	if ident.Version(r.GetVersion()) > f.Version() {
		f.pull(ctx, c, address, r)
	}
	if v := ident.Version(r.GetVersion()); v > 0 && v >= f.Version() {
		f.mu.Lock()
		f.compared = true
		f.mu.Unlock()
	}
	confirmed := false
	if ms := r.GetConfirmedAgeMs(); ms != 0 && ms <= maxAgeMS {
		age := time.Duration(ms) * time.Millisecond
		f.confirmEvacuation(zones, asked.Add(-age))
		p := proof{asked.Add(-age), store.Revision(r.GetStoreRevision()), address}
		confirmed = f.confirm(ident.Version(r.GetVersion()), p) && age <= maxAnswerAge
	}
	if !confirmed {
		f.uninformed.Add(address, avoidPeriod)
	}
	return confirmed
}

// maxAgeMS is the greatest age of a confirmation that is used, a day; the product of a much
// greater one with its unit overflows to any age.
const maxAgeMS = 86_400_000

// PushCatalogue implements peer.Catalogue. A VM that hears of a higher version asks the
// caller for it at once, at the address that the caller gives: this VM's list of VMs may be
// too old to have it.
func (f *Follower) PushCatalogue(_ context.Context, r *peerpb.PushCatalogueRequest) (*peerpb.PushCatalogueReply, error) {
	if ident.Version(r.GetVersion()) > f.Version() {
		f.mu.Lock()
		f.ahead, f.aheadAddress = ident.VM(r.GetVm()), r.GetAddress()
		f.mu.Unlock()
		f.startRound()
	}
	f.receiveEvacuation(r.GetEvacuation())
	// The revision is read before the evacuations, which must be known up to it.
	f.mu.Lock()
	v, rev := f.Version(), f.confirmedRev
	f.mu.Unlock()
	reply := &peerpb.PushCatalogueReply{Evacuation: f.evacuationMessage(), DocumentBytes: f.documentBytes(ident.Version(r.GetVersion()))}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Read under the lock, since the confirmation refers to this version.
	reply.Version = uint64(f.Version())
	if at := f.oldestConfirmation(f.confirmedAt); !at.IsZero() {
		reply.ConfirmedAgeMs = uint64(f.cfg.Clock().Sub(at).Milliseconds()) + 1
		if v == f.Version() {
			reply.StoreRevision = int64(rev)
		}
	}
	return reply, nil
}
