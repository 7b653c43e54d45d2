package node

import (
	"sync"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/rendez"
	"chervilspan.example/pkg/roster"
)

const (
	// spareConns of a database's connections are left for connections that the
	// database has not yet found closed.
	spareConns = 1
	// assumedVMs stands for the number of VMs until the list is known.
	assumedVMs = 8
	// lenderVMs is the number of VMs of a zone that lend connections to a
	// database: one, and one that stands in for it.
	lenderVMs = 2
	// firstPart of a zone's connections is for the first lender, standInPart for
	// the other one; the rest are for VMs that reach neither.
	firstPart   = 0.7
	standInPart = 0.2
	// enoughConns is the number of connections for each workspace from which on
	// every VM uses its own.
	enoughConns = 0.5
)

// lending has the lenders of the zone for each database, for one list of VMs.
type lending struct {
	mu   sync.Mutex
	list []member.Info
	zone []ident.VM
	by   map[ident.Target][]ident.VM
}

// of returns the lenders of a database, best first, and the number of VMs of
// the zone.
func (l *lending) of(id ident.Target, zone ident.Zone, live []member.Info) ([]ident.VM, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) != len(live) || len(live) > 0 && &l.list[0] != &live[0] {
		l.list, l.zone, l.by = live, nil, map[ident.Target][]ident.VM{}
		for _, m := range live {
			if m.Zone == zone {
				l.zone = append(l.zone, m.VM)
			}
		}
	}
	vms, ok := l.by[id]
	if !ok {
		vms = rendez.Top("lender/"+string(id), l.zone, lenderVMs)
		l.by[id] = vms
	}
	return vms, len(l.zone)
}

// lenders returns the addresses of the VMs to borrow connections to a database
// from, in order; none when this VM uses its own.
func (n *Node) lenders(m *roster.Member) []string {
	if !n.lends(m.Group) {
		return nil
	}
	vms, _ := n.lending.of(m.ID, n.s.Zone, n.fleet.Live())
	var out []string
	for _, vm := range vms {
		if vm == n.s.VM {
			break
		}
		if a := n.fleet.Address(vm); a != "" {
			out = append(out, a)
		}
	}
	return out
}

// lends reports whether connections to the databases of a group are so few for
// each VM that VMs lend them to others.
func (n *Node) lends(g ident.Group) bool {
	c, vms := n.follow.Catalogue(), len(n.fleet.Live())
	if c == nil || vms < lenderVMs {
		return false
	}
	each := (float64(c.Groups[g].Connections) - spareConns) / float64(vms)
	return each < enoughConns*float64(len(c.Workspaces))
}

// connLimit is this VM's part of the connections to a database.
func (n *Node) connLimit(m *roster.Member) int {
	live := n.fleet.Live()
	vms := len(live)
	if !n.fleet.Listed() {
		vms = assumedVMs
	}
	all := assumedVMs
	if c := n.follow.Catalogue(); c != nil {
		all = int(c.Groups[m.Group].Connections)
	}
	all -= spareConns
	if !n.lends(m.Group) {
		return max(1, all/vms)
	}
	lenders, zone := n.lending.of(m.ID, n.s.Zone, live)
	part := float64(all) * float64(zone) / float64(vms)
	switch {
	case lenders[0] == n.s.VM:
		part *= firstPart
	case len(lenders) > 1 && lenders[1] == n.s.VM:
		part *= standInPart
	default:
		part *= 1 - firstPart - standInPart
		part /= float64(max(1, zone-lenderVMs))
	}
	return max(1, int(part))
}
