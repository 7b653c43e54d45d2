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

// RelayOrder returns the live VMs of a region, leaving ones last, in the order in
// which they take the role of the region's relay.
func (n *Node) RelayOrder(region ident.Region) []ident.VM {
	return n.rank("relay/"+string(region), func(i Info) bool { return i.Region == region })
}

// StoreReaderOrder returns the live VMs of a zone, leaving ones last, in the order in
// which they read the store's version for the zone.
func (n *Node) StoreReaderOrder(zone ident.Zone) []ident.VM {
	return n.rank("reader/"+string(zone), func(i Info) bool { return i.Zone == zone })
}

func (n *Node) rank(key string, among func(Info) bool) []ident.VM {
	var staying, leaving []ident.VM
	for _, i := range n.Live() {
		switch {
		case !among(i):
		case i.State == StateLeaving:
			leaving = append(leaving, i.VM)
		default:
			staying = append(staying, i.VM)
		}
	}
	return append(rendez.Rank(key, staying), rendez.Rank(key, leaving)...)
}
