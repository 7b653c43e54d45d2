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

// view is the state derived from the catalogue and the membership. Its fields are
// not changed once it is in force.
type view struct {
	cat        *catal.Catalogue
	live       []member.Info
	self       member.Info
	shardCount uint32
	sliceCount int
	wanted     []quota.Slice
	holders    map[quota.Shard][]ident.VM
	workspaces map[ident.Workspace]*workspaceEntry
	targets    map[ident.Target]*target
	// targetLimits are those of Config.Targets.
	targetLimits map[ident.Target]quota.Limit
}

// refresh replaces the view if the catalogue, the membership or the hints have
// changed.
func (l *Limiter) refresh(ctx context.Context) {
	l.refreshMu.Lock()
	defer l.refreshMu.Unlock()
	old, cat := l.view.Load(), l.cfg.Catalogue.Catalogue()
	if cat == nil {
		return
	}
	live := eligibleVMs(l.cfg.Fleet.Live())
	self := locationOf(l.cfg.Fleet.Self())
	targetLimits := l.targetLimits(cat)
	if cat == old.cat && slices.Equal(live, old.live) && self == old.self && maps.Equal(targetLimits, old.targetLimits) && !l.pruneHints() {
		return
	}
	now := l.now()
	v := &view{cat: cat, live: live, self: self, targetLimits: targetLimits}
	v.shardCount = cmp.Or(cat.Sharing.Shards, quota.DefaultShards)
	v.sliceCount = int(cmp.Or(cat.Sharing.Slices, quota.DefaultSlices))
	l.computePlacement(v)
	l.setWorkspaces(v, old, now)
	l.setTargets(v, old)
	l.view.Store(v)
	for _, e := range v.workspaces {
		l.configureWorkspace(e, v, now)
	}
	l.setLinks(ctx, v)
	l.preconnectHolders(v)
	signal(l.wakeSlices)
}

// locationOf returns the id, zone and region of a VM. It leaves out properties that
// change while the VM is live, such as its incarnation, so that their changes do
// not move slices.
func locationOf(m member.Info) member.Info {
	return member.Info{VM: m.VM, Zone: m.Zone, Region: m.Region}
}

func isVM(vm ident.VM) func(member.Info) bool {
	return func(m member.Info) bool { return m.VM == vm }
}

// eligibleVMs returns the VMs that may hold slices and gates, ordered by id.
func eligibleVMs(live []member.Info) []member.Info {
	out := slices.DeleteFunc(slices.Clone(live), func(m member.Info) bool {
		return m.State == member.StateDead || m.State == member.StateLeaving
	})
	for i, m := range out {
		out[i] = locationOf(m)
	}
	slices.SortFunc(out, func(a, b member.Info) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// computePlacement computes the slices that this VM should hold, and for each shard
// the VMs to ask for tokens.
func (l *Limiter) computePlacement(v *view) {
	placement := quota.NewPlacement(slices.Sorted(maps.Keys(v.cat.Zones)), v.live)
	v.holders = make(map[quota.Shard][]ident.VM, v.shardCount)
	for shard := range quota.Shard(v.shardCount) {
		var vms []ident.VM
		for i := range v.sliceCount {
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

// addHint records that a VM is reported to hold slices of a shard.
func (l *Limiter) addHint(shard quota.Shard, vm ident.VM) {
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
		signal(l.wakeView)
	}
}

// pruneHints drops the hints about this VM and about VMs that are not live. It
// reports whether others name holders that the view does not list.
func (l *Limiter) pruneHints() bool {
	v := l.view.Load()
	l.hintsMu.Lock()
	defer l.hintsMu.Unlock()
	unlisted := false
	for shard, vms := range l.hints {
		for vm := range vms {
			switch {
			case vm == v.self.VM || !slices.ContainsFunc(v.live, isVM(vm)):
				delete(vms, vm)
			case !slices.Contains(v.holders[shard], vm):
				unlisted = true
			}
		}
	}
	return unlisted
}

func (l *Limiter) setWorkspaces(v, old *view, now time.Time) {
	v.workspaces = make(map[ident.Workspace]*workspaceEntry, len(v.cat.Workspaces))
	for ws, cfg := range v.cat.Workspaces {
		e := old.workspaces[ws]
		if e == nil {
			e = l.newWorkspaceEntry(ws, v, now)
		}
		class := v.cat.Classes[cfg.Class]
		e.class.Store(&class)
		v.workspaces[ws] = e
	}
	l.setTargetAccounts(v, old, now)
	for ws, e := range old.workspaces {
		if v.workspaces[ws] == nil {
			e.close()
		}
	}
}

func (l *Limiter) newWorkspaceEntry(ws ident.Workspace, v *view, now time.Time) *workspaceEntry {
	return &workspaceEntry{
		l: l, ws: ws, firstSeen: now,
		acct: quota.NewAccount(quota.Config{
			Self: v.self.VM, MaxWait: l.cfg.MaxRateWait, Lifetime: l.cfg.Lifetime, FirstGrantID: quota.GrantID(rand.Uint64()),
		}),
		waiters: map[quota.Ticket]chan result{},
	}
}

// configureWorkspace sets up the account of a workspace from the view and the held
// slices.
func (l *Limiter) configureWorkspace(e *workspaceEntry, v *view, now time.Time) {
	limit := v.limitOf(e.ws)
	shard := quota.ShardOf(e.ws, v.shardCount)
	s := quota.Setup{
		Limit: limit, SliceCount: v.sliceCount, Shard: shard,
		Offset: quota.SliceOffset(e.ws), Holders: v.holders[shard], FirstSeen: e.firstSeen,
	}
	if !e.isTarget {
		s.InitialTokens = l.cfg.Excess.tokens(s.Limit) / 2
	}
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
	// The slices are read under the lock, so that a setup prepared before the use of
	// a slice was stopped cannot restore it.
	s.HeldSlices = l.slices.heldSlices(shard)
	e.shard = shard
	e.acct.Configure(s, now)
	e.poll(now)
}

// configureShard sets up the accounts of all workspaces of a shard.
func (l *Limiter) configureShard(shard quota.Shard) {
	v, now := l.view.Load(), l.now()
	for ws, e := range v.workspaces {
		if quota.ShardOf(ws, v.shardCount) == shard {
			l.configureWorkspace(e, v, now)
		}
	}
}

func (l *Limiter) configureAll() {
	v, now := l.view.Load(), l.now()
	for _, e := range v.workspaces {
		l.configureWorkspace(e, v, now)
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
