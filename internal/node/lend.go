package node

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

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
	// lenderVMs is the number of VMs that lend connections to a database, each to
	// a part of the workspaces; standInVMs more stand in for them.
	lenderVMs  = 2
	standInVMs = 1
	// lentPart of a database's connections are for the lenders, standInPart for
	// the VMs that stand in; the rest are for VMs that reach none of them.
	lentPart    = 0.9
	standInPart = 0.06
	// enoughConns is the number of connections for each workspace from which on
	// every VM uses its own.
	enoughConns = 0.5
)

// lending has the lenders for each database, for one list of VMs.
type lending struct {
	mu   sync.Mutex
	list []member.Info
	by   map[ident.Target][]ident.VM
	// address has the peer service of each VM of the list.
	address map[ident.VM]string
}

// of returns the lenders of a database and those that stand in for them. They
// are in the zone of the database, so that a statement crosses zones once, as
// without them; in any zone when there are none.
func (l *lending) of(m *roster.Member, live []member.Info) []ident.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) != len(live) || len(live) > 0 && &l.list[0] != &live[0] {
		l.list, l.by, l.address = live, map[ident.Target][]ident.VM{}, make(map[ident.VM]string, len(live))
		for _, i := range live {
			l.address[i.VM] = i.Address
		}
	}
	vms, ok := l.by[m.ID]
	if !ok {
		var near, all []ident.VM
		for _, i := range live {
			all = append(all, i.VM)
			if i.Zone == m.Zone {
				near = append(near, i.VM)
			}
		}
		if len(near) <= lenderVMs {
			near = all
		}
		vms = rendez.Top("lender/"+string(m.ID), near, lenderVMs+standInVMs)
		l.by[m.ID] = vms
	}
	return vms
}

// addressOf returns the address of a VM of the last list.
func (l *lending) addressOf(vm ident.VM) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address[vm]
}

// lenders returns the addresses of the VMs to borrow a workspace's connections
// to a database from, in order; none when this VM uses its own.
func (n *Node) lenders(m *roster.Member, ws ident.Workspace) []string {
	if !n.lends(m.Group) {
		return nil
	}
	var out []string
	for _, vm := range orderFor(ws, n.lending.of(m, n.fleet.Live())) {
		if vm == n.s.VM {
			break
		}
		if a := n.lending.addressOf(vm); a != "" {
			out = append(out, a)
		}
	}
	return out
}

// orderFor returns the lenders in the order in which a workspace asks them: each
// workspace begins with one of the first lenderVMs.
func orderFor(ws ident.Workspace, lenders []ident.VM) []ident.VM {
	n := min(lenderVMs, len(lenders))
	if n == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(ws)) % uint64(n))
	out := append(slices.Clone(lenders[first:n]), lenders[:first]...)
	return append(out, lenders[n:]...)
}

// lends reports whether connections to the databases of a group are so few for
// each VM that VMs lend them to others.
func (n *Node) lends(g ident.Group) bool {
	c := n.follow.Catalogue()
	return c != nil && scarce(int(c.Groups[g].Connections), len(n.fleet.Live()), len(c.Workspaces))
}

// scarce reports whether the part that each VM has of a database's connections
// is small against the number of workspaces.
func scarce(connections, vms, workspaces int) bool {
	if vms <= lenderVMs+standInVMs {
		return false
	}
	return float64(connections-spareConns)/float64(vms) < enoughConns*float64(workspaces)
}

// dialLimit bounds the connections that a lender begins at once: after a restart
// of all VMs, each start takes a slot that statements wait for too.
func (n *Node) dialLimit(m *roster.Member) int {
	if !n.lends(m.Group) {
		return 0
	}
	return m.SlotCount()
}

// connLimit is this VM's part of the connections to a database.
func (n *Node) connLimit(m *roster.Member) int {
	live := n.fleet.Live()
	vms := len(live)
	if !n.fleet.ListComplete() {
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
	return max(1, int(partOf(n.lending.of(m, live), n.s.VM, vms)*float64(all)))
}

// partOf returns the part of a database's connections that a VM of a fleet may
// have where VMs lend them.
func partOf(lenders []ident.VM, vm ident.VM, fleet int) float64 {
	switch i := slices.Index(lenders, vm); {
	case i < 0:
		return (1 - lentPart - standInPart) / float64(fleet)
	case i < lenderVMs:
		return lentPart / lenderVMs
	default:
		return standInPart / standInVMs
	}
}
