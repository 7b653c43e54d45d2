// Package fleet knows the other VMs of a deployment through the platform's
// store: each VM keeps an entry under a lease and lists those of the others.
//
// The list lags by the length of the lease after a VM's death; nothing that has
// to be safe depends on it.
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
	prefix = "vm/"
	// leaseTTL is how long a dead VM stays in the list.
	leaseTTL = 10 * time.Second
	// period of renewing and listing, changed by up to a fifth.
	period = 2500 * time.Millisecond
	// startPeriod applies for startTime, in which the other VMs start too.
	startPeriod = 400 * time.Millisecond
	startTime   = 3 * time.Second
	callTimeout = time.Second
	// firstSettle covers the start of all VMs and two rounds of each.
	firstSettle = time.Second
)

// Config has the parts of a Fleet.
type Config struct {
	// Self describes this VM; Address is that of its peer service.
	Self  member.Info
	Store store.Store
	// List, unless nil, takes the place of the store's once the VM has started:
	// it returns the entries under a prefix, which may be some seconds old.
	ListEntries func(ctx context.Context, prefix string) ([]store.Entry, error)
	// Seeds are addresses of peer services, which may be stale.
	Seeds []string
	// FirstStart tells that all VMs start for the first time: the list is
	// complete only after firstSettle.
	FirstStart bool
	// OnChange, unless nil, is called after the list has changed.
	OnChange func()
	Log      zerolog.Logger
}

// record is the value of a VM's key.
type record struct {
	VM      ident.VM     `json:"vm"`
	Zone    ident.Zone   `json:"zone"`
	Region  ident.Region `json:"region"`
	Address string       `json:"address"`
}

// Fleet has the list of VMs. Its methods may be called from several goroutines.
type Fleet struct {
	cfg Config

	mu sync.Mutex
	// live is nil until a list was read that counts as complete; it has this VM
	// then.
	live []member.Info
	// early is a list that may lack VMs.
	early []member.Info
	lease store.LeaseID
	// left tells that the entry was ended and must not come back.
	left  bool
	start time.Time
}

// New returns a Fleet that knows only this VM.
func New(cfg Config) *Fleet { return &Fleet{cfg: cfg, start: time.Now()} }

// Self returns this VM.
func (f *Fleet) Self() member.Info { return f.cfg.Self }

// Live returns the VMs of the last list in the order of their names, this one
// included; nil while no complete list is known.
func (f *Fleet) Live() []member.Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live
}

// ListComplete reports whether the list has been read.
func (f *Fleet) ListComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live != nil
}

// Addresses returns the peer addresses of the other VMs, and the seeds while no
// other is known.
func (f *Fleet) Addresses() []string {
	f.mu.Lock()
	known := append(slices.Clone(f.live), f.early...)
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

// Address returns the peer address of a VM; "" when it is not known.
func (f *Fleet) Address(vm ident.VM) string {
	for _, m := range f.Live() {
		if m.VM == vm {
			return m.Address
		}
	}
	return ""
}

// Rank returns the number of VMs that come before this one in the order for a
// name. Those in the home region come first.
func (f *Fleet) Rank(name string, home ident.Region) int {
	var near, far []ident.VM
	for _, m := range f.Live() {
		if m.Region == home {
			near = append(near, m.VM)
		} else {
			far = append(far, m.VM)
		}
	}
	order := append(rendez.Rank(name, near), rendez.Rank(name, far)...)
	return max(0, slices.Index(order, f.cfg.Self.VM))
}

// Run keeps the entry and the list until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	down := false
	for ctx.Err() == nil {
		err := f.round(ctx)
		if (err != nil) != down && ctx.Err() == nil {
			down = err != nil
			f.logStore(err)
		}
		d := period*4/5 + rand.N(period*2/5)
		if time.Since(f.start) < startTime {
			d = startPeriod
		}
		wait.For(ctx, d)
	}
}

func (f *Fleet) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := f.keep(ctx); err != nil {
		return err
	}
	return f.list(ctx)
}

// keep renews the lease, or writes the entry under a new one.
func (f *Fleet) keep(ctx context.Context) error {
	f.mu.Lock()
	lease, left := f.lease, f.left
	f.mu.Unlock()
	if left {
		return nil
	}
	if lease != 0 {
		ok, err := f.cfg.Store.RenewLease(ctx, lease)
		if err != nil || ok {
			return err
		}
	}
	lease, err := f.cfg.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if err := f.write(ctx, lease); err != nil {
		return err
	}
	f.mu.Lock()
	f.lease, left = lease, f.left
	f.mu.Unlock()
	if left {
		f.revoke(ctx, lease)
	}
	return nil
}

// write puts the entry in place of that of a former process of this VM.
func (f *Fleet) write(ctx context.Context, lease store.LeaseID) error {
	s := f.cfg.Self
	value, err := json.Marshal(record{s.VM, s.Zone, s.Region, s.Address})
	if err != nil {
		return err
	}
	w := store.Write{Key: prefix + string(s.VM), Value: value, Lease: lease}
	for {
		res, err := store.Swap(ctx, f.cfg.Store, w)
		if err != nil || res.Done {
			return err
		}
		w.Expected = res.Current.Revision
	}
}

func (f *Fleet) list(ctx context.Context) error {
	entries, err := f.read(ctx)
	if err != nil {
		return err
	}
	live := []member.Info{f.cfg.Self}
	for _, e := range entries {
		var r record
		plain, err := store.DecodeEntry(e)
		if err == nil {
			err = json.Unmarshal(plain.Value, &r)
		}
		if err != nil {
			evlog.At(f.cfg.Log, evlog.EntrySkipped).Str("key", e.Key).Err(err).Send()
			continue
		}
		if r.VM != f.cfg.Self.VM {
			live = append(live, member.Info{VM: r.VM, Zone: r.Zone, Region: r.Region, Address: r.Address})
		}
	}
	slices.SortFunc(live, func(a, b member.Info) int { return cmp.Compare(a.VM, b.VM) })
	if f.take(live) && f.cfg.OnChange != nil {
		f.cfg.OnChange()
	}
	return nil
}

func (f *Fleet) read(ctx context.Context) ([]store.Entry, error) {
	if f.cfg.ListEntries != nil && time.Since(f.start) > startTime {
		return f.cfg.ListEntries(ctx, prefix)
	}
	return store.ListEntries(ctx, f.cfg.Store, prefix, false)
}

// take puts a list in force unless it may lack VMs, and reports whether it
// differs from the former one.
func (f *Fleet) take(live []member.Info) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.FirstStart && time.Since(f.start) < firstSettle {
		f.early = live
		return false
	}
	changed := f.live == nil || !slices.Equal(f.live, live)
	f.live, f.early = live, nil
	return changed
}

// Leave ends the entry, on a planned stop.
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
		f.logStore(err)
	}
}

func (f *Fleet) logStore(err error) {
	if err == nil {
		evlog.At(f.cfg.Log, evlog.FleetListed).Int("vms", len(f.Live())).Send()
		return
	}
	evlog.At(f.cfg.Log, evlog.FleetUnlisted).Err(err).Send()
}
