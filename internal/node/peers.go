package node

import (
	"context"
	"sync"
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
// and returns on the first that names the target as a primary that answers it.
func (p vmPeers) ConfirmsPrimary(ctx context.Context, g ident.Group, id ident.Target) (confirmed bool, after ident.Position) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for r := range p.askWatchers(ctx, &peerpb.SuspectRequest{Group: string(g)}) {
		if ident.Target(r.GetHint().GetPrimary()) == id {
			return true, after
		}
		after = after.Max(ackedAfter(r))
	}
	return false, after
}

// AcknowledgedAfter implements lead.Peers.
func (p vmPeers) AcknowledgedAfter(ctx context.Context, g ident.Group, demoted ident.Target) (after ident.Position) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for r := range p.askWatchers(ctx, &peerpb.SuspectRequest{Group: string(g), Demoted: string(demoted)}) {
		after = after.Max(ackedAfter(r))
	}
	return after
}

func ackedAfter(r *peerpb.SuspectReply) ident.Position {
	return ident.Position{Term: ident.Term(r.GetAckedTerm()), Index: r.GetAckedIndex()}
}

// askWatchers asks the VMs that watch the group at once. The channel has the answers of
// those that answer, and is closed when none is outstanding.
func (p vmPeers) askWatchers(ctx context.Context, q *peerpb.SuspectRequest) <-chan *peerpb.SuspectReply {
	all := p.n.fleet.RankedAddresses(rankName(ident.Group(q.GetGroup())), p.n.settings.homeRegion(), lead.WatcherCount)
	answers := make(chan *peerpb.SuspectReply, len(all))
	var wg sync.WaitGroup
	for _, address := range all {
		wg.Go(func() {
			c, err := p.n.peers.Client(address)
			if err != nil {
				return
			}
			if r, err := c.Suspect(ctx, q); err == nil {
				answers <- r
			}
		})
	}
	go func() {
		wg.Wait()
		close(answers)
	}()
	return answers
}

// suspectHandler answers other VMs that ask which primary this VM hears from.
type suspectHandler struct{ n *Node }

// Suspect implements peer.Watcher.
func (w suspectHandler) Suspect(_ context.Context, r *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	g := ident.Group(r.GetGroup())
	if demoted := ident.Target(r.GetDemoted()); demoted != "" {
		w.n.monitor.RecordDemoted(g, demoted)
	}
	id, after := w.n.monitor.ConfirmedPrimary(g), w.n.monitor.AcknowledgedAfter(g)
	return &peerpb.SuspectReply{
		Watching: true, Hint: &peerpb.GroupHint{Group: r.GetGroup(), Primary: string(id)},
		AckedTerm: uint64(after.Term), AckedIndex: after.Index,
	}, nil
}
