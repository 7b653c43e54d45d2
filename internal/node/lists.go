package node

import (
	"context"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/rendez"
	"chervilspan.example/pkg/store"
)

const (
	// readerVMs is the number of VMs of a zone that read the store's lists: one,
	// and one that stands in for it.
	readerVMs = 2
	// ownReads is the number of VMs up to which each reads for itself: the calls
	// of so few cost less than lists that are older.
	ownReads = 16
	// relayedWatch is how long the store holds the watch of a VM that is not a
	// reader: it hears of a version from other VMs when its connection to the
	// store has gone silent.
	relayedWatch = 25 * time.Second
)

// watchLong sets how long the store may hold this VM's watch.
func (n *Node) watchLong() {
	if n.a.SetWatchTimeout == nil {
		return
	}
	if len(n.readers()) == 0 {
		n.a.SetWatchTimeout(0)
		return
	}
	n.a.SetWatchTimeout(relayedWatch)
}

// readers returns the addresses of the VMs to ask for lists of the store, in
// order; none when this VM reads for itself.
func (n *Node) readers() []string {
	live := n.fleet.Live()
	if len(live) <= ownReads {
		return nil
	}
	var zone []ident.VM
	for _, m := range live {
		if m.Zone == n.s.Zone {
			zone = append(zone, m.VM)
		}
	}
	vms := rendez.Top("reader", zone, readerVMs)
	if slices.Contains(vms, n.s.VM) {
		return nil
	}
	var out []string
	for _, vm := range vms {
		out = append(out, n.fleet.Address(vm))
	}
	return out
}

func (n *Node) listVMs(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, _, err := n.lists.List(ctx, prefix, false)
	return entries, err
}
