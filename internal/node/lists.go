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
	// readersPerZone is the number of VMs of a zone that read the store's lists for
	// the others: one and its backup.
	readersPerZone = 2
	// maxDirectReaders is the number of VMs up to which each reads the store itself:
	// relayed lists are older, and so few VMs make few calls.
	maxDirectReaders = 16
	// nonReaderWatchTimeout is how long the store holds a watch of a VM that is not a
	// reader. Such a VM learns of a new version from other VMs if its connection to
	// the store stops answering.
	nonReaderWatchTimeout = 25 * time.Second
)

// updateWatchTimeout sets how long the store may hold this VM's watch. A VM that
// reads the store itself keeps the adapter's own time.
func (n *Node) updateWatchTimeout() {
	if n.adapters.SetWatchTimeout == nil {
		return
	}
	if len(n.readerAddresses()) == 0 {
		n.adapters.SetWatchTimeout(0)
		return
	}
	n.adapters.SetWatchTimeout(nonReaderWatchTimeout)
}

// readerAddresses returns the addresses of the VMs to ask for lists of the store,
// in order of preference. It returns none when this VM reads the store itself.
func (n *Node) readerAddresses() []string {
	live := n.fleet.Live()
	if len(live) <= maxDirectReaders {
		return nil
	}
	var zone []ident.VM
	for _, m := range live {
		if m.Zone == n.settings.Zone {
			zone = append(zone, m.VM)
		}
	}
	vms := rendez.Top("reader", zone, readersPerZone)
	if slices.Contains(vms, n.settings.VM) {
		return nil
	}
	var out []string
	for _, vm := range vms {
		out = append(out, n.fleet.Address(vm))
	}
	return out
}

// listVMs returns the store's entries of VMs, read directly or by a reader.
func (n *Node) listVMs(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, _, err := n.lists.List(ctx, prefix, false)
	return entries, err
}
