package quota

import (
	"slices"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/rendez"
)

// Preferred returns the VM that should hold a slice: the rendezvous choice
// among the live VMs of the slice's zone, or among all of them while the zone
// has none. zones is in a fixed order; the slices are dealt to it in turn.
func Preferred(s Slice, zones []ident.Zone, live []member.Info) (ident.VM, bool) {
	if len(zones) == 0 {
		return "", false
	}
	zone := zones[int(s.Index)%len(zones)]
	key := s.Key()
	if vm, ok := rendez.First(key, vmsOf(live, func(m member.Info) bool { return m.Zone == zone })); ok {
		return vm, true
	}
	return rendez.First(key, vmsOf(live, func(member.Info) bool { return true }))
}

// Order sorts VMs by distance from self: its zone, its region, the others. VMs
// at the same distance are in the rendezvous order of key and self, so that
// borrowers begin with different holders.
func Order(key string, self member.Info, holders []ident.VM, live []member.Info) []ident.VM {
	byVM := make(map[ident.VM]member.Info, len(live))
	for _, m := range live {
		byVM[m.VM] = m
	}
	var tiers [3][]ident.VM
	for _, vm := range holders {
		m, ok := byVM[vm]
		switch {
		case !ok || vm == self.VM:
		case m.Zone == self.Zone:
			tiers[0] = append(tiers[0], vm)
		case m.Region == self.Region:
			tiers[1] = append(tiers[1], vm)
		default:
			tiers[2] = append(tiers[2], vm)
		}
	}
	var out []ident.VM
	for _, t := range tiers {
		out = append(out, rendez.Rank(key+"/"+string(self.VM), t)...)
	}
	return slices.Compact(out)
}

func vmsOf(live []member.Info, keep func(member.Info) bool) []ident.VM {
	var out []ident.VM
	for _, m := range live {
		if m.State != member.StateDead && m.State != member.StateLeaving && keep(m) {
			out = append(out, m.VM)
		}
	}
	return out
}
