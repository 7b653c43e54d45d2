package node

import (
	"context"
	"time"

	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
)

// confirmTimeout is how long other VMs have to confirm that a primary answers them.
const confirmTimeout = 250 * time.Millisecond

// vmPeers returns the clients of other VMs and asks these VMs about primaries.
type vmPeers struct{ n *Node }

// Client implements limit.Peers.
func (p vmPeers) Client(vm ident.VM) (peerpb.PeerClient, error) {
	return p.n.peers.Client(p.n.fleet.Address(vm))
}

// rankName is the name under which VMs are ranked for the failover of a group.
func rankName(g ident.Group) string { return "failover/" + string(g) }

// ConfirmsPrimary implements lead.Peers. It asks the VMs that watch the group at once,
// and returns true on the first that names the target as a primary that answers it.
func (p vmPeers) ConfirmsPrimary(ctx context.Context, g ident.Group, id ident.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	all := p.n.fleet.RankedAddresses(rankName(g), p.n.settings.homeRegion(), lead.WatcherCount)
	answers := make(chan bool, len(all))
	for _, address := range all {
		go func() { answers <- p.peerConfirms(ctx, address, g, id) }()
	}
	for range all {
		if <-answers {
			return true
		}
	}
	return false
}

func (p vmPeers) peerConfirms(ctx context.Context, address string, g ident.Group, id ident.Target) bool {
	c, err := p.n.peers.Client(address)
	if err != nil {
		return false
	}
	r, err := c.Suspect(ctx, &peerpb.SuspectRequest{Group: string(g)})
	// A VM that doesn't answer confirms nothing.
	return err == nil && ident.Target(r.GetHint().GetPrimary()) == id
}

// suspectHandler answers other VMs that ask which primary this VM hears from.
type suspectHandler struct{ n *Node }

// Suspect implements peer.Watcher.
func (w suspectHandler) Suspect(_ context.Context, r *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	id := w.n.monitor.ConfirmedPrimary(ident.Group(r.GetGroup()))
	return &peerpb.SuspectReply{Watching: true, Hint: &peerpb.GroupHint{Group: r.GetGroup(), Primary: string(id)}}, nil
}
