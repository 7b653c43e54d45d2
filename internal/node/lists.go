package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"chervilspan.example/internal/follow"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/rendez"
	"chervilspan.example/pkg/store"
)

const (
	// readersPerZone is the number of VMs of a zone that others of the zone ask for
	// lists and versions: one and its backup. readersPerRegion is the number of VMs of
	// a region that read and watch the store for the readers of zones.
	readersPerZone   = 2
	readersPerRegion = 2
	// maxDirectReaders is the number of VMs up to which each reads the store itself:
	// relayed lists are older, and so few VMs make few calls.
	maxDirectReaders = 16
	// directWatchTimeout is how long the store may hold a watch where each VM reads the
	// store itself. A shorter time costs more calls, a longer one detects a dead connection
	// later.
	directWatchTimeout = 3 * time.Second
)

// readerTable caches the readers that this VM asks, for one list of VMs.
type readerTable struct {
	mu   sync.Mutex
	live []member.Info
	// addresses has the readers in order of preference; none if this VM reads the store
	// itself.
	addresses []string
}

// addressesFor returns the readers that a VM asks.
func (t *readerTable) addressesFor(self member.Info, live []member.Info) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !sameList(t.live, live) {
		t.live, t.addresses = live, readersFor(self, live)
	}
	return t.addresses
}

// readersFor returns the addresses of the VMs that a VM asks for lists and versions:
// the readers of its zone, or those of its region if it is one of the former, or none
// if it is one of the latter or the fleet is small.
func readersFor(self member.Info, live []member.Info) []string {
	if len(live) <= maxDirectReaders {
		return nil
	}
	var zone, region []ident.VM
	addresses := make(map[ident.VM]string, len(live))
	for _, m := range live {
		addresses[m.VM] = m.Address
		if m.Region == self.Region {
			region = append(region, m.VM)
		}
		if m.Zone == self.Zone {
			zone = append(zone, m.VM)
		}
	}
	ofZone := rendez.Top("reader", zone, readersPerZone)
	ofRegion := rendez.Top("region reader", region, readersPerRegion)
	asked := ofZone
	switch {
	case slices.Contains(ofRegion, self.VM):
		return nil
	case slices.Contains(ofZone, self.VM):
		asked = ofRegion
	}
	var out []string
	for _, vm := range asked {
		out = append(out, addresses[vm])
	}
	return out
}

// readerAddresses returns the addresses of the VMs to ask for lists of the store,
// in order of preference. It returns none when this VM reads the store itself.
func (n *Node) readerAddresses() []string {
	return n.readers.addressesFor(n.fleet.Self(), n.fleet.Live())
}

// catalogueReaders returns the addresses of the VMs to ask for versions of the
// catalogue; known is false while the list of VMs is not complete.
func (n *Node) catalogueReaders() (addresses []string, known bool) {
	return n.readerAddresses(), n.fleet.ListComplete()
}

// watchTimeout returns how long the store may hold this VM's watch. A VM from which others
// learn of versions looks for a silent watch more often.
func (n *Node) watchTimeout() time.Duration {
	if len(n.fleet.Live()) > maxDirectReaders {
		return follow.ReaderWatchTimeout
	}
	return directWatchTimeout
}

// updateWatchTimeout sets how long the store may hold this VM's watch.
func (n *Node) updateWatchTimeout() {
	if n.adapters.SetWatchTimeout != nil {
		n.adapters.SetWatchTimeout(n.watchTimeout())
	}
}

// listVMs returns the store's entries of VMs, read directly or by a reader.
func (n *Node) listVMs(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, _, err := n.lists.List(ctx, prefix, false)
	return entries, err
}
