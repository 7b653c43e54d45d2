package quota

import (
	"slices"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/rendez"
)

// Placement tells which VMs should hold slices, for one state of the membership.
// Every VM with the same zones and live VMs comes to the same result.
type Placement struct {
	zones  []ident.Zone
	all    []ident.VM
	byZone map[ident.Zone][]ident.VM
	byVM   map[ident.VM]member.Info
}

// NewPlacement returns the placement over the live VMs; dead and leaving ones
// are passed over. zones is in a fixed order; slices are dealt to it in turn.
func NewPlacement(zones []ident.Zone, live []member.Info) *Placement {
	p := &Placement{zones: zones, byZone: map[ident.Zone][]ident.VM{}, byVM: make(map[ident.VM]member.Info, len(live))}
	for _, m := range live {
		if m.State == member.StateDead || m.State == member.StateLeaving {
			continue
		}
		p.all = append(p.all, m.VM)
		p.byZone[m.Zone] = append(p.byZone[m.Zone], m.VM)
		p.byVM[m.VM] = m
	}
	return p
}

// PreferredHolder returns the VM that should hold a slice: the rendezvous choice among
// the live VMs of the slice's zone, or among all of them while the zone has
// none, since its part of the rates would be idle otherwise. ok is false when
// there is no VM or no zone.
func (p *Placement) PreferredHolder(s Slice) (vm ident.VM, ok bool) {
	if len(p.zones) == 0 {
		return "", false
	}
	zone := p.zones[int(s.Index)%len(p.zones)]
	if vms := p.byZone[zone]; len(vms) > 0 {
		return rendez.First(s.Key(), vms)
	}
	return rendez.First(s.Key(), p.all)
}

// SortByDistance sorts holders by distance from self: its zone, its region, the others.
// VMs at the same distance are in the rendezvous order of key and self, so that
// borrowers begin with different holders. VMs that are not live are left out.
func (p *Placement) SortByDistance(key string, self member.Info, holders []ident.VM) []ident.VM {
	var tiers [3][]ident.VM
	for _, vm := range holders {
		m, ok := p.byVM[vm]
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
