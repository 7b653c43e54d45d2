package limit

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/quota"
	"chervilspan.example/pkg/rendez"
)

// view is what follows from the catalogue and the membership. It is not changed
// after it is in force.
type view struct {
	cat     *catal.Catalogue
	live    []member.Info
	self    member.Info
	shards  uint32
	slices  int
	wanted  []quota.Slice
	holders map[quota.Shard][]ident.VM
	entries map[ident.Workspace]*entry
	targets map[ident.Target]*target
}

// refresh builds a new view when its inputs have changed.
func (l *Limiter) refresh(ctx context.Context) {
	l.refreshMu.Lock()
	defer l.refreshMu.Unlock()
	old, cat := l.view.Load(), l.cfg.Catalogue.Catalogue()
	if cat == nil {
		return
	}
	live := usable(l.cfg.Fleet.Live())
	self := place(l.cfg.Fleet.Self())
	if cat == old.cat && slices.Equal(live, old.live) && self == old.self && !l.takeHints() {
		return
	}
	now := l.now()
	v := &view{cat: cat, live: live, self: self}
	v.shards = cmp.Or(cat.Sharing.Shards, quota.DefaultShards)
	v.slices = int(cmp.Or(cat.Sharing.Slices, quota.DefaultSlices))
	l.prefer(v)
	l.setEntries(v, old, now)
	l.setTargets(v, old)
	l.view.Store(v)
	for _, e := range v.entries {
		l.configure(e, v, now)
	}
	l.setLinks(ctx, v)
	l.warm(v)
	signal(l.kick)
}

// place returns where a VM is, without what changes while it is live, such as
// its incarnation: such changes don't move slices.
func place(m member.Info) member.Info {
	return member.Info{VM: m.VM, Zone: m.Zone, Region: m.Region}
}

func isVM(vm ident.VM) func(member.Info) bool {
	return func(m member.Info) bool { return m.VM == vm }
}

// usable returns the VMs that may hold slices and gates, in a fixed order.
func usable(live []member.Info) []member.Info {
	out := slices.DeleteFunc(slices.Clone(live), func(m member.Info) bool {
		return m.State == member.StateDead || m.State == member.StateLeaving
	})
	for i, m := range out {
		out[i] = place(m)
	}
	slices.SortFunc(out, func(a, b member.Info) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// prefer computes the slices that this VM should hold and the VMs to ask for
// tokens of each shard.
func (l *Limiter) prefer(v *view) {
	placement := quota.NewPlacement(slices.Sorted(maps.Keys(v.cat.Zones)), v.live)
	v.holders = make(map[quota.Shard][]ident.VM, v.shards)
	for shard := range quota.Shard(v.shards) {
		var vms []ident.VM
		for i := range v.slices {
			s := quota.Slice{Shard: shard, Index: quota.Index(i)}
			vm, ok := placement.PreferredHolder(s)
			if !ok {
				continue
			}
			if vm == v.self.VM {
				v.wanted = append(v.wanted, s)
			}
			vms = append(vms, vm)
		}
		l.hintsMu.Lock()
		vms = slices.AppendSeq(vms, maps.Keys(l.hints[shard]))
		l.hintsMu.Unlock()
		v.holders[shard] = placement.SortByDistance((quota.Slice{Shard: shard}).Key(), v.self, vms)
	}
}

// hint notes a VM that is said to hold slices of a shard.
func (l *Limiter) hint(shard quota.Shard, vm ident.VM) {
	if slices.Contains(l.view.Load().holders[shard], vm) {
		return
	}
	l.hintsMu.Lock()
	defer l.hintsMu.Unlock()
	if l.hints[shard] == nil {
		l.hints[shard] = map[ident.VM]bool{}
	}
	if !l.hints[shard][vm] {
		l.hints[shard][vm] = true
		signal(l.hinted)
	}
}

// takeHints reports whether there are hints about VMs that no view has, and
// drops those about VMs that are gone.
func (l *Limiter) takeHints() bool {
	v := l.view.Load()
	l.hintsMu.Lock()
	defer l.hintsMu.Unlock()
	news := false
	for shard, vms := range l.hints {
		for vm := range vms {
			switch {
			case vm == v.self.VM || !slices.ContainsFunc(v.live, isVM(vm)):
				delete(vms, vm)
			case !slices.Contains(v.holders[shard], vm):
				news = true
			}
		}
	}
	return news
}

func (l *Limiter) setEntries(v, old *view, now time.Time) {
	v.entries = make(map[ident.Workspace]*entry, len(v.cat.Workspaces))
	for ws, cfg := range v.cat.Workspaces {
		e := old.entries[ws]
		if e == nil {
			e = l.newEntry(ws, v, now)
		}
		class := v.cat.Classes[cfg.Class]
		e.class.Store(&class)
		v.entries[ws] = e
	}
	for ws, e := range old.entries {
		if v.entries[ws] == nil {
			e.close()
		}
	}
}

func (l *Limiter) newEntry(ws ident.Workspace, v *view, now time.Time) *entry {
	return &entry{
		l: l, ws: ws, since: now,
		acct: quota.NewAccount(quota.Config{
			Self: v.self.VM, MaxWait: l.cfg.MaxRateWait, Lifetime: l.cfg.Lifetime, FirstGrantID: quota.GrantID(rand.Uint64()),
		}),
		waiters: map[quota.Ticket]chan error{},
	}
}

// configure gives an entry its setup out of the view and the held slices.
func (l *Limiter) configure(e *entry, v *view, now time.Time) {
	cfg := v.cat.Workspaces[e.ws]
	shard := quota.ShardOf(e.ws, v.shards)
	s := quota.Setup{
		Limit: quota.Limit{Rate: cfg.Rate, Burst: cfg.Burst}, SliceCount: v.slices, Shard: shard,
		Offset: quota.SliceOffset(e.ws), Holders: v.holders[shard], FirstSeen: e.since,
	}
	s.InitialTokens = l.cfg.Excess.of(s.Limit) / 2
	if l.cfg.StaticSplit {
		s.Holders = nil
		i := slices.IndexFunc(v.live, isVM(v.self.VM))
		share := quota.Share{}
		if i >= 0 {
			share = quota.StaticShare(s.Limit, i, len(v.live))
		}
		s.StaticShare = &share
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	// Read under the lock, so that a stopped slice can't be given back by a
	// setup that was made before the stop.
	s.HeldSlices = l.shares.of(shard)
	e.shard = shard
	e.acct.Configure(s, now)
	e.poll(now)
}

// configureShard gives the entries of a shard their setup.
func (l *Limiter) configureShard(shard quota.Shard) {
	v, now := l.view.Load(), l.now()
	for ws, e := range v.entries {
		if quota.ShardOf(ws, v.shards) == shard {
			l.configure(e, v, now)
		}
	}
}

func (l *Limiter) configureAll() {
	v, now := l.view.Load(), l.now()
	for _, e := range v.entries {
		l.configure(e, v, now)
	}
}

// gateOf returns the VM that has the gate of a target.
func gateOf(t ident.Target, zone ident.Zone, live []member.Info) ident.VM {
	var vms []ident.VM
	for _, m := range live {
		if m.Zone == zone {
			vms = append(vms, m.VM)
		}
	}
	vm, _ := rendez.First("gate/"+string(t), vms)
	return vm
}
