package watch

import (
	"cmp"
	"slices"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/rendez"
)

// alive returns the live VMs that stay, in the order of their names, this one
// included. Only what the choice of watchers depends on is filled in.
func (w *Watcher) alive() []member.Info {
	if w.cfg.Fleet == nil {
		return []member.Info{{VM: w.cfg.Self}}
	}
	var out []member.Info
	for _, i := range w.cfg.Fleet.Live() {
		if i.State == member.StateDead || i.State == member.StateLeaving {
			continue
		}
		out = append(out, member.Info{VM: i.VM, Zone: i.Zone})
	}
	slices.SortFunc(out, func(a, b member.Info) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// watchersOf returns the n VMs that watch a group, in the order of their rank.
// When all of them are in one zone although others exist, the last gives way to
// the best VM of another zone, so that the loss of a zone leaves a watcher.
func watchersOf(id ident.Group, live []member.Info, n int) []ident.VM {
	names := make([]ident.VM, len(live))
	zone := make(map[ident.VM]ident.Zone, len(live))
	for i, m := range live {
		names[i], zone[m.VM] = m.VM, m.Zone
	}
	ranked := rendez.Rank("group/"+string(id), names)
	top := slices.Clone(ranked[:min(n, len(ranked))])
	if len(top) < 2 {
		return top
	}
	elsewhere := func(vm ident.VM) bool { return zone[vm] != zone[top[0]] }
	if slices.ContainsFunc(top, elsewhere) {
		return top
	}
	if i := slices.IndexFunc(ranked, elsewhere); i >= 0 {
		top[len(top)-1] = ranked[i]
	}
	return top
}
