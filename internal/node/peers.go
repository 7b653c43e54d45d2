package node

import (
	"context"
	"time"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
)

const (
	// askTimeout bounds the question whether another VM hears from a primary.
	askTimeout = 250 * time.Millisecond
	// askVMs is the number of VMs that are asked.
	askVMs = 4
)

// vmPeers gives connections by VM, and asks VMs about primaries.
type vmPeers struct{ n *Node }

// Client implements limit.Peers.
func (p vmPeers) Client(vm ident.VM) (peerpb.PeerClient, error) {
	return p.n.peers.Client(p.n.fleet.Address(vm))
}

// Reaches implements lead.Peers.
func (p vmPeers) ConfirmsPrimary(ctx context.Context, g ident.Group, id ident.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	all := p.n.fleet.Addresses()
	all = all[:min(askVMs, len(all))]
	answers := make(chan bool, len(all))
	for _, address := range all {
		go func() { answers <- p.ask(ctx, address, g, id) }()
	}
	for range all {
		if <-answers {
			return true
		}
	}
	return false
}

func (p vmPeers) ask(ctx context.Context, address string, g ident.Group, id ident.Target) bool {
	c, err := p.n.peers.Client(address)
	if err != nil {
		return false
	}
	r, err := c.Suspect(ctx, &peerpb.SuspectRequest{Group: string(g)})
	// A VM that doesn't answer knows nothing that could be used here.
	return err == nil && ident.Target(r.GetHint().GetPrimary()) == id
}

// watcher answers other VMs' questions about primaries.
type watcher struct{ n *Node }

// Suspect implements peer.Watcher.
func (w watcher) Suspect(_ context.Context, r *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	id := w.n.leads.ConfirmedPrimary(ident.Group(r.GetGroup()))
	return &peerpb.SuspectReply{Watching: true, Hint: &peerpb.GroupHint{Group: r.GetGroup(), Primary: string(id)}}, nil
}
