// Package fleet maintains the list of the VMs of a deployment through the
// platform's store: each VM keeps an entry under a lease and reads the entries of
// the others.
//
// A dead VM stays in the list until its lease expires. No safety property depends
// on the list.
//
// # Usage
//
//	f := fleet.New(fleet.Config{Self: info, Store: s, Seeds: seeds})
//	go f.Run(ctx)
//	vms := f.Live()
package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/rendez"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/wait"
)

const (
	keyPrefix = "vm/"
	// leaseTTL is the lifetime of a VM's entry without renewal, and so how long a
	// dead VM stays in the list.
	leaseTTL = 10 * time.Second
	// refreshPeriod is the mean period of reading the list; a period differs from it by
	// up to refreshJitter, drawn at random.
	refreshPeriod = 2500 * time.Millisecond
	refreshJitter = refreshPeriod / 5
	// renewPeriod is the least time between two renewals of the lease, which leaves
	// time for a second one.
	renewPeriod = 3 * time.Second
	// startupRefreshPeriod is used instead for startupDuration after the start,
	// while other VMs start too.
	startupRefreshPeriod = 400 * time.Millisecond
	startupDuration      = 3 * time.Second
	// restoredSpread is the time over which the VMs write their entries again after the
	// store was restored, which all of them notice at once.
	restoredSpread = time.Second
	callTimeout    = time.Second
	// firstListDelay covers the start of all VMs and two refreshes by each.
	firstListDelay = time.Second
)

// Config is the configuration of a Fleet.
type Config struct {
	// Self describes this VM; its Address is that of the peer service.
	Self  member.Info
	Store store.Store
	// ListEntries, unless nil, replaces reading from the store once a complete list is
	// known. It returns the entries under a prefix, which may be some seconds old.
	ListEntries func(ctx context.Context, prefix string) ([]store.Entry, error)
	// Seeds are addresses of peer services, some of which may be stale.
	Seeds []string
	// FirstStart reports that all VMs start for the first time, so that a list is
	// complete only after firstListDelay.
	FirstStart bool
	// OnChange, unless nil, is called after the complete list has changed.
	OnChange func()
	Log      zerolog.Logger
}

// Fleet holds the list of VMs. Its methods are safe for concurrent use.
type Fleet struct {
	cfg Config

	mu sync.Mutex
	// live is nil until a complete list has been read; from then on it includes
	// this VM.
	live []member.Info
	// incomplete is the last list read within firstListDelay, which may lack VMs.
	incomplete []member.Info
	lease      store.LeaseID
	renewedAt  time.Time
	// entries is the list that live was last decoded from.
	entries []store.Entry
	// left reports that this VM has removed its entry and must not write it again.
	left      bool
	startedAt time.Time
}

// New returns a Fleet that knows only this VM.
func New(cfg Config) *Fleet { return &Fleet{cfg: cfg, startedAt: time.Now()} }

// Self returns this VM.
func (f *Fleet) Self() member.Info { return f.cfg.Self }

// Live returns the VMs of the last complete list, including this one, sorted by
// name; nil while no complete list is known.
func (f *Fleet) Live() []member.Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live
}

// ListComplete reports whether a complete list has been read.
func (f *Fleet) ListComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live != nil
}

// Addresses returns the peer addresses of the other VMs, or the seeds while no
// other VM is known.
func (f *Fleet) Addresses() []string {
	f.mu.Lock()
	known := append(slices.Clone(f.live), f.incomplete...)
	f.mu.Unlock()
	var out []string
	for _, m := range known {
		if m.VM != f.cfg.Self.VM {
			out = append(out, m.Address)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, s := range f.cfg.Seeds {
		if s != f.cfg.Self.Address {
			out = append(out, s)
		}
	}
	return out
}

// Address returns the peer address of a VM, or "" when the VM is not listed.
func (f *Fleet) Address(vm ident.VM) string {
	for _, m := range f.Live() {
		if m.VM == vm {
			return m.Address
		}
	}
	return ""
}

// Rank returns the number of VMs that precede this one in the rendezvous order
// for a name. VMs in the home region precede all others.
func (f *Fleet) Rank(name string, home ident.Region) int {
	return max(0, slices.Index(f.rankOrder(name, home), f.cfg.Self.VM))
}

// RankedAddresses returns the peer addresses of the first n other VMs in the order of
// Rank, or the seeds while no list of VMs is known.
func (f *Fleet) RankedAddresses(name string, home ident.Region, n int) []string {
	var out []string
	for _, vm := range f.rankOrder(name, home) {
		if len(out) == n {
			return out
		}
		if a := f.Address(vm); vm != f.cfg.Self.VM && a != "" {
			out = append(out, a)
		}
	}
	if len(out) > 0 {
		return out
	}
	all := f.Addresses()
	return all[:min(n, len(all))]
}

func (f *Fleet) rankOrder(name string, home ident.Region) []ident.VM {
	var near, far []ident.VM
	for _, m := range f.Live() {
		if m.Region == home {
			near = append(near, m.VM)
		} else {
			far = append(far, m.VM)
		}
	}
	return append(rendez.Rank(name, near), rendez.Rank(name, far)...)
}

// Run maintains this VM's entry and the list until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	down := false
	// A signal that comes during a refresh is seen after it.
	restored := store.RestoredSignal(f.cfg.Store)
	for ctx.Err() == nil {
		err := f.refresh(ctx)
		if (err != nil) != down && ctx.Err() == nil {
			down = err != nil
			f.logStoreResult(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(f.refreshDelay()):
		case <-restored:
			restored = store.RestoredSignal(f.cfg.Store)
			f.expectEndOfLease()
			wait.For(ctx, rand.N(restoredSpread))
		}
	}
}

// expectEndOfLease has the lease renewed at the next refresh, which shows whether it has
// ended.
func (f *Fleet) expectEndOfLease() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewedAt = time.Time{}
}

// refreshDelay returns the time to the next refresh. On a first start, no list counts
// as complete before firstListDelay.
func (f *Fleet) refreshDelay() time.Duration {
	age := time.Since(f.startedAt)
	switch {
	case f.cfg.FirstStart && age < firstListDelay && len(f.Addresses()) > 0:
		return firstListDelay - age
	case age < startupDuration:
		return startupRefreshPeriod
	}
	return refreshPeriod - refreshJitter + rand.N(2*refreshJitter)
}

func (f *Fleet) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := f.keepEntry(ctx); err != nil {
		return err
	}
	return f.updateList(ctx)
}

// keepEntry renews the lease, or writes the entry under a new lease when there is
// none or it has expired.
func (f *Fleet) keepEntry(ctx context.Context) error {
	f.mu.Lock()
	lease, left, renewed := f.lease, f.left, time.Since(f.renewedAt) < renewPeriod
	f.mu.Unlock()
	if left || lease != 0 && renewed {
		return nil
	}
	if lease != 0 {
		ok, err := f.cfg.Store.RenewLease(ctx, lease)
		if err == nil && ok {
			f.mu.Lock()
			f.renewedAt = time.Now()
			f.mu.Unlock()
		}
		if err != nil || ok {
			return err
		}
	}
	lease, err := f.cfg.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if err := f.writeEntry(ctx, lease); err != nil {
		return err
	}
	f.mu.Lock()
	f.lease, left = lease, f.left
	f.renewedAt = time.Now()
	f.mu.Unlock()
	if left {
		f.revoke(ctx, lease)
	}
	return nil
}

// writeEntry writes the entry and overwrites that of a former process of this VM.
func (f *Fleet) writeEntry(ctx context.Context, lease store.LeaseID) error {
	s := f.cfg.Self
	value, err := json.Marshal(record{s.VM, s.Zone, s.Region, s.Address})
	if err != nil {
		return err
	}
	w := store.Write{Key: keyPrefix + string(s.VM), Value: value, Lease: lease}
	for {
		res, err := store.Swap(ctx, f.cfg.Store, w)
		if err != nil || res.Done {
			return err
		}
		w.Expected = res.Current.Revision
	}
}

func (f *Fleet) updateList(ctx context.Context) error {
	entries, err := f.readEntries(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	unchanged := f.live != nil && len(entries) > 0 && len(entries) == len(f.entries) && &entries[0] == &f.entries[0]
	f.mu.Unlock()
	if unchanged {
		return nil
	}
	live := []member.Info{f.cfg.Self}
	for _, e := range entries {
		r, err := decodeRecord(e)
		if err != nil {
			evlog.At(f.cfg.Log, evlog.EntrySkipped).Str("key", e.Key).Err(err).Send()
			continue
		}
		if r.VM != f.cfg.Self.VM {
			live = append(live, member.Info{VM: r.VM, Zone: r.Zone, Region: r.Region, Address: r.Address})
		}
	}
	slices.SortFunc(live, func(a, b member.Info) int { return cmp.Compare(a.VM, b.VM) })
	if f.setList(live, entries) && f.cfg.OnChange != nil {
		f.cfg.OnChange()
	}
	return nil
}

func (f *Fleet) readEntries(ctx context.Context) ([]store.Entry, error) {
	if f.cfg.ListEntries != nil && f.ListComplete() {
		return f.cfg.ListEntries(ctx, keyPrefix)
	}
	return store.ListEntries(ctx, f.cfg.Store, keyPrefix, false)
}

// setList sets the list of VMs and reports whether it has changed. On a first
// start it keeps a list read within firstListDelay as incomplete.
func (f *Fleet) setList(live []member.Info, entries []store.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.FirstStart && time.Since(f.startedAt) < firstListDelay {
		f.incomplete = live
		return false
	}
	f.entries, f.incomplete = entries, nil
	if f.live != nil && slices.Equal(f.live, live) {
		return false
	}
	f.live = live
	return true
}

// Leave removes this VM's entry on a planned stop.
func (f *Fleet) Leave(ctx context.Context) {
	f.mu.Lock()
	lease := f.lease
	f.left = true
	f.mu.Unlock()
	if lease != 0 {
		f.revoke(ctx, lease)
	}
}

func (f *Fleet) revoke(ctx context.Context, lease store.LeaseID) {
	if err := f.cfg.Store.RevokeLease(ctx, lease); err != nil {
		f.logStoreResult(err)
	}
}

func (f *Fleet) logStoreResult(err error) {
	if err == nil {
		evlog.At(f.cfg.Log, evlog.FleetListed).Int("vms", len(f.Live())).Send()
		return
	}
	evlog.At(f.cfg.Log, evlog.FleetUnlisted).Err(err).Send()
}
