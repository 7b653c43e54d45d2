package node

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/rendez"
	"chervilspan.example/pkg/roster"
)

const (
	// reservedConns is the number of a database's connections that are left unused,
	// for closed connections that the database still counts as open.
	reservedConns = 1
	// assumedVMs replaces the number of VMs until the list of VMs is complete, and
	// the number of a database's connections until there is a catalogue.
	assumedVMs = 8
	// lenderCount is the number of VMs that lend connections to a database, each to
	// a part of the workspaces. backupCount more VMs lend when these can't.
	lenderCount = 2
	backupCount = 1
	// lenderFraction is the fraction of a database's connections for the lenders,
	// backupFraction that for the backups. The rest is for VMs that reach none of
	// them.
	lenderFraction = 0.9
	backupFraction = 0.06
	// minConnsPerWorkspace is the number of connections that a VM needs for each
	// workspace to use only its own.
	minConnsPerWorkspace = 0.5
)

// lenderTable caches the lenders of each database for one list of VMs.
type lenderTable struct {
	mu       sync.Mutex
	live     []member.Info
	byTarget map[ident.Target][]ident.VM
	// addresses holds the peer service address of each VM in live.
	addresses map[ident.VM]string
	regions   map[ident.VM]ident.Region
}

// sameList reports whether two results of fleet.Live are the same list.
func sameList(a, b []member.Info) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// lendersOf returns the lenders of a database, followed by their backups. They
// are in the database's zone, so that a statement crosses zones once, as it does
// without a lender. If that zone has no more than lenderCount VMs, they are taken
// from all zones.
func (l *lenderTable) lendersOf(m *roster.Member, live []member.Info) []ident.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !sameList(l.live, live) {
		l.live, l.byTarget, l.addresses = live, map[ident.Target][]ident.VM{}, make(map[ident.VM]string, len(live))
		l.regions = make(map[ident.VM]ident.Region, len(live))
		for _, i := range live {
			l.addresses[i.VM], l.regions[i.VM] = i.Address, i.Region
		}
	}
	vms, ok := l.byTarget[m.ID]
	if !ok {
		var sameZone, all []ident.VM
		for _, i := range live {
			all = append(all, i.VM)
			if i.Zone == m.Zone {
				sameZone = append(sameZone, i.VM)
			}
		}
		if len(sameZone) <= lenderCount {
			sameZone = all
		}
		vms = rendez.Top("lender/"+string(m.ID), sameZone, lenderCount+backupCount)
		l.byTarget[m.ID] = vms
	}
	return vms
}

// addressesOf returns the addresses of the lenders that precede a VM, in their order.
// Lenders are left out that are neither in an allowed region nor in the VM's own.
func (l *lenderTable) addressesOf(lenders []ident.VM, self ident.VM, own ident.Region, allowed place.Regions) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, vm := range lenders {
		if vm == self {
			break
		}
		r := l.regions[vm]
		if a := l.addresses[vm]; a != "" && (r == own || allowed.Allows(r)) {
			out = append(out, a)
		}
	}
	return out
}

// lenderAddresses returns the addresses of the VMs from which to borrow a
// workspace's connections to a database, in the order in which they are tried.
// A request may be sent only to VMs in the allowed regions or in this VM's own. It
// returns none when this VM uses its own connections.
func (n *Node) lenderAddresses(m *roster.Member, ws ident.Workspace, allowed place.Regions) []string {
	if !n.isLent(m.Group) {
		return nil
	}
	lenders := lenderOrder(ws, n.lenderTable.lendersOf(m, n.fleet.Live()))
	return n.lenderTable.addressesOf(lenders, n.settings.VM, n.settings.Region, allowed)
}

// lenderOrder returns the lenders in the order in which a workspace tries them.
// The workspace's hash selects the first of the lenderCount lenders; the backups
// come last.
func lenderOrder(ws ident.Workspace, lenders []ident.VM) []ident.VM {
	n := min(lenderCount, len(lenders))
	if n == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(ws)) % uint64(n))
	out := append(slices.Clone(lenders[first:n]), lenders[:first]...)
	return append(out, lenders[n:]...)
}

// isLent reports whether VMs lend each other connections to the databases of a
// group, because there are too few for each VM.
func (n *Node) isLent(g ident.Group) bool {
	c := n.follower.Catalogue()
	return c != nil && connsScarce(int(c.Groups[g].Connections), len(n.fleet.Live()), len(c.Workspaces))
}

// classOf returns a class of the catalogue in force.
func (n *Node) classOf(name ident.Class) catal.Class {
	if c := n.follower.Catalogue(); c != nil {
		return c.Classes[name]
	}
	return catal.Class{}
}

// connsScarce reports whether each VM's share of a database's connections is less
// than minConnsPerWorkspace for each workspace.
func connsScarce(connections, vms, workspaces int) bool {
	if vms <= lenderCount+backupCount {
		return false
	}
	return float64(connections-reservedConns)/float64(vms) < minConnsPerWorkspace*float64(workspaces)
}

// dialLimit returns the number of connections that this VM may open at the same
// time where connections are lent, and 0 for no limit elsewhere. After a restart
// of all VMs, each connection being opened takes a slot that statements wait for
// too.
func (n *Node) dialLimit(m *roster.Member) int {
	if !n.isLent(m.Group) {
		return 0
	}
	return m.SlotCount()
}

// connLimit returns the number of connections that this VM may have to a database.
func (n *Node) connLimit(m *roster.Member) int {
	live := n.fleet.Live()
	vms := len(live)
	if !n.fleet.ListComplete() {
		vms = assumedVMs
	}
	conns := assumedVMs
	if c := n.follower.Catalogue(); c != nil {
		conns = int(c.Groups[m.Group].Connections)
	}
	conns -= reservedConns
	if !n.isLent(m.Group) {
		return max(1, conns/vms)
	}
	return max(1, int(connFraction(n.lenderTable.lendersOf(m, live), n.settings.VM, vms)*float64(conns)))
}

// connFraction returns the fraction of a database's connections that a VM may have
// where VMs lend them; fleet is the number of VMs.
func connFraction(lenders []ident.VM, vm ident.VM, fleet int) float64 {
	switch i := slices.Index(lenders, vm); {
	case i < 0:
		return (1 - lenderFraction - backupFraction) / float64(fleet)
	case i < lenderCount:
		return lenderFraction / lenderCount
	default:
		return backupFraction / backupCount
	}
}
