package watch

import (
	"cmp"
	"slices"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/rendez"
)

// liveVMs returns the live VMs that are not leaving, sorted by name, this one
// included. Only the fields that the choice of watchers depends on are set.
func (w *Watcher) liveVMs() []member.Info {
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
// When all of them are in one zone and VMs of other zones exist, the best-ranked
// VM of another zone replaces the last one, so that a watcher remains when a zone
// is lost.
func watchersOf(id ident.Group, live []member.Info, n int) []ident.VM {
	names := make([]ident.VM, len(live))
	zoneOf := make(map[ident.VM]ident.Zone, len(live))
	for i, m := range live {
		names[i], zoneOf[m.VM] = m.VM, m.Zone
	}
	ranked := rendez.Rank("group/"+string(id), names)
	chosen := slices.Clone(ranked[:min(n, len(ranked))])
	if len(chosen) < 2 {
		return chosen
	}
	inOtherZone := func(vm ident.VM) bool { return zoneOf[vm] != zoneOf[chosen[0]] }
	if slices.ContainsFunc(chosen, inOtherZone) {
		return chosen
	}
	if i := slices.IndexFunc(ranked, inOtherZone); i >= 0 {
		chosen[len(chosen)-1] = ranked[i]
	}
	return chosen
}
