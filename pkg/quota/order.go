package quota

import (
	"slices"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/rendez"
)

const (
	// maxSpreadVMs is the number of VMs up to which each slice is placed by itself, so
	// that all VMs hold some.
	maxSpreadVMs = 16
	// holdersPerZone is the number of VMs of a zone that hold its slices in a larger
	// fleet. There most VMs borrow, and a holder of many slices lends a whole token where
	// several holders of one slice would each lend a fraction. With a second holder, a
	// zone keeps half of its slices when it loses a VM.
	holdersPerZone = 2
)

// Placement assigns slices to VMs for one state of the membership. All VMs that
// see the same zones and live VMs compute the same assignment.
type Placement struct {
	zones  []ident.Zone
	vms    []ident.VM
	byZone map[ident.Zone][]ident.VM
	byVM   map[ident.VM]member.Info
}

// NewPlacement returns the placement over the live VMs; dead and leaving ones are
// ignored. zones must have the same order on all VMs, as slices are assigned to
// zones round-robin.
func NewPlacement(zones []ident.Zone, live []member.Info) *Placement {
	p := &Placement{zones: zones, byZone: map[ident.Zone][]ident.VM{}, byVM: make(map[ident.VM]member.Info, len(live))}
	for _, m := range live {
		if m.State == member.StateDead || m.State == member.StateLeaving {
			continue
		}
		p.vms = append(p.vms, m.VM)
		p.byZone[m.Zone] = append(p.byZone[m.Zone], m.VM)
		p.byVM[m.VM] = m
	}
	return p
}

// PreferredHolder returns the VM that should hold a slice: the rendezvous choice
// among the live VMs of the slice's zone, or among all live VMs while the zone has
// none, as the slice's share of the rates would be unused otherwise. Above maxSpreadVMs,
// the slices of a zone are placed in holdersPerZone sets. ok is false when there is no VM
// or no zone.
func (p *Placement) PreferredHolder(s Slice) (vm ident.VM, ok bool) {
	if len(p.zones) == 0 {
		return "", false
	}
	zone := p.zones[int(s.Index)%len(p.zones)]
	if len(p.vms) > maxSpreadVMs {
		s.Index %= Index(len(p.zones) * holdersPerZone)
	}
	if vms := p.byZone[zone]; len(vms) > 0 {
		return rendez.First(s.Key(), vms)
	}
	return rendez.First(s.Key(), p.vms)
}

// SortByDistance returns holders sorted by distance from self: same zone, same
// region, other regions. VMs at the same distance are in the rendezvous order of
// key and self, so that borrowers start with different holders. Self and VMs that
// are not live are omitted.
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
