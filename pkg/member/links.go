package member

import (
	"cmp"
	"slices"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/rendez"
)

// Links returns the VMs that this one pings: Successors on the hash ring of
// its zone and one VM in each other zone.
func (n *Node) Links() []Info {
	n.relink()
	out := make([]Info, 0, len(n.links))
	for _, vm := range n.links {
		out = append(out, n.table[vm].info)
	}
	return out
}

func (n *Node) relink() {
	if !n.linksOld {
		return
	}
	n.linksOld = false
	zones := map[ident.Zone][]ident.VM{}
	for vm, e := range n.table {
		if live(e.info) {
			zones[e.info.Zone] = append(zones[e.info.Zone], vm)
		}
	}
	n.links = n.successors(zones[n.self.Zone])
	for zone, vms := range zones {
		if zone == n.self.Zone {
			continue
		}
		if vm, ok := rendez.First("link/"+string(n.self.VM), vms); ok {
			n.links = append(n.links, vm)
		}
	}
	slices.Sort(n.links)
}

// successors returns those of a zone's VMs that follow this one on the ring.
func (n *Node) successors(vms []ident.VM) []ident.VM {
	origin := hashVM(n.self.VM)
	slices.SortFunc(vms, func(a, b ident.VM) int {
		// Unsigned subtraction gives the distance on the ring.
		return cmp.Or(cmp.Compare(hashVM(a)-origin, hashVM(b)-origin), cmp.Compare(a, b))
	})
	return slices.Clone(vms[:min(len(vms), n.cfg.Successors)])
}

// Relays returns the live VMs of a region, leaving ones last, in the order in
// which they take the role of the region's relay.
func (n *Node) Relays(region ident.Region) []ident.VM {
	var staying, leaving []ident.VM
	for _, i := range n.Live() {
		switch {
		case i.Region != region:
		case i.State == StateLeaving:
			leaving = append(leaving, i.VM)
		default:
			staying = append(staying, i.VM)
		}
	}
	key := "relay/" + string(region)
	return append(rendez.Rank(key, staying), rendez.Rank(key, leaving)...)
}

// ZoneReader returns the VM of a zone that reads the store's version, leaving
// ones last; ok is false when the zone has no live VM.
func (n *Node) ZoneReader(zone ident.Zone) (vm ident.VM, ok bool) {
	var staying, leaving []ident.VM
	for _, i := range n.Live() {
		switch {
		case i.Zone != zone:
		case i.State == StateLeaving:
			leaving = append(leaving, i.VM)
		default:
			staying = append(staying, i.VM)
		}
	}
	if vm, ok = rendez.First("reader/"+string(zone), staying); ok {
		return vm, true
	}
	return rendez.First("reader/"+string(zone), leaving)
}
