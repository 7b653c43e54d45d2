package limit

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/gate"
	"chervilspan.example/pkg/ident"
)

// Limits of the streams between gates and borrowers.
const (
	// streamQueueLength is the number of messages queued for a stream. Those in
	// excess are dropped, as the next demand or loan supersedes them.
	streamQueueLength = 256
	linkRetryDelay    = 500 * time.Millisecond
)

// gateState is the gate of a target on this VM.
type gateState struct {
	id      ident.Target
	mu      sync.Mutex
	gate    gate.Gate
	senders map[ident.VM]func(gate.Loan)
}

// link is the stream to the gates on another VM.
type link struct {
	vm        ident.VM
	demands   chan *peerpb.SlotDemand
	cancel    context.CancelFunc
	done      chan struct{}
	mu        sync.Mutex
	connected bool
}

// setGates applies the numbers of slots to the gates on this VM and drops gates
// that have moved to other VMs.
func (l *Limiter) setGates(v *view) {
	l.gatesMu.Lock()
	defer l.gatesMu.Unlock()
	for id, s := range l.gates {
		slots, vm := 0, ident.VM("")
		if t := v.targets[id]; t != nil {
			slots, vm = t.slotsAndGate()
		}
		if vm != v.self.VM {
			delete(l.gates, id)
			continue
		}
		s.mu.Lock()
		s.gate.SetSlots(slots)
		s.mu.Unlock()
	}
	// A new gate lends nothing while loans of its predecessor may be valid. It is
	// created together with the view, so that the first statement does not wait
	// for that period.
	for id, t := range v.targets {
		if slots, vm := t.slotsAndGate(); vm == v.self.VM && l.gates[id] == nil {
			l.gates[id] = newGate(id, slots)
		}
	}
}

func newGate(id ident.Target, slots int) *gateState {
	s := &gateState{id: id, senders: map[ident.VM]func(gate.Loan){}}
	s.gate.SetSlots(slots)
	s.gate.StartHandover(time.Now())
	return s
}

// gateFor returns the gate of a target and creates it if necessary. A demand is
// served even if the gate belongs to another VM by this VM's view: with two gates
// only the queue of that target can be overfilled.
func (l *Limiter) gateFor(id ident.Target) *gateState {
	t := l.view.Load().targets[id]
	if t == nil {
		return nil
	}
	slots, _ := t.slotsAndGate()
	l.gatesMu.Lock()
	defer l.gatesMu.Unlock()
	s := l.gates[id]
	if s == nil {
		s = newGate(id, slots)
		l.gates[id] = s
	}
	return s
}

// handleDemand passes a demand to a gate on this VM and sends the resulting loans.
func (l *Limiter) handleDemand(id ident.Target, d gate.Demand, to func(gate.Loan)) {
	s := l.gateFor(id)
	if s == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.senders[d.VM] = to
	s.gate.SetDemand(d, now)
	send := s.assignLoans(now)
	s.mu.Unlock()
	send()
}

// assignLoans assigns loans and returns a function that sends them, to be called
// after s.mu has been released. The caller holds s.mu.
func (s *gateState) assignLoans(now time.Time) func() {
	loans := s.gate.Assign(now)
	to := make([]func(gate.Loan), len(loans))
	for i, loan := range loans {
		to[i] = s.senders[loan.VM]
	}
	return func() {
		for i, loan := range loans {
			if to[i] != nil {
				to[i](loan)
			}
		}
	}
}

// maintainSlots renews this VM's loans and lets the gates on this VM assign theirs,
// once per tickInterval, until ctx ends.
func (l *Limiter) maintainSlots(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		for _, t := range l.view.Load().targets {
			t.tick(now)
		}
		for _, s := range l.localGates() {
			s.mu.Lock()
			send := s.assignLoans(now)
			s.mu.Unlock()
			send()
		}
	}
}

func (l *Limiter) localGates() []*gateState {
	l.gatesMu.Lock()
	defer l.gatesMu.Unlock()
	out := make([]*gateState, 0, len(l.gates))
	for _, s := range l.gates {
		out = append(out, s)
	}
	return out
}

// Slots receives the demands of another VM and sends it the resulting loans.
func (l *Limiter) Slots(stream grpc.BidiStreamingServer[peerpb.SlotDemand, peerpb.SlotLoan]) error {
	out := make(chan *peerpb.SlotLoan, streamQueueLength)
	ctx, cancel := context.WithCancel(stream.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case m := <-out:
				if stream.Send(m) != nil {
					cancel()
					return
				}
			}
		}
	})
	demanders := map[ident.Target]ident.VM{}
	var err error
	for ctx.Err() == nil {
		var m *peerpb.SlotDemand
		if m, err = stream.Recv(); err != nil {
			break
		}
		id := ident.Target(m.Target)
		demanders[id] = ident.VM(m.Vm)
		l.handleDemand(id, fromDemand(m), func(loan gate.Loan) {
			select {
			case out <- toLoan(id, loan):
			default:
			}
		})
	}
	cancel()
	wg.Wait()
	l.dropDemands(demanders)
	return err
}

// dropDemands withdraws the demands of a stream that has ended.
func (l *Limiter) dropDemands(demanders map[ident.Target]ident.VM) {
	for id, vm := range demanders {
		l.gatesMu.Lock()
		s := l.gates[id]
		l.gatesMu.Unlock()
		if s != nil {
			s.mu.Lock()
			s.gate.DropDemand(vm)
			s.mu.Unlock()
		}
	}
}

// gateReachable reports whether demands can be sent to the gates on a VM, which
// may be this one.
func (l *Limiter) gateReachable(vm ident.VM) bool {
	if vm == l.view.Load().self.VM {
		return true
	}
	return l.linkConnected(vm)
}

// linkConnected reports whether the stream to the gates on another VM is open.
func (l *Limiter) linkConnected(vm ident.VM) bool {
	k := l.link(vm)
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.connected
}

func (l *Limiter) link(vm ident.VM) *link {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	return l.links[vm]
}

// routeDemand passes a demand to a gate on this VM or queues it for the VM that
// has the gate.
func (l *Limiter) routeDemand(vm ident.VM, id ident.Target, d gate.Demand) {
	if vm == d.VM {
		l.handleDemand(id, d, func(loan gate.Loan) {
			if t := l.view.Load().targets[id]; t != nil {
				t.recordLoan(vm, loan)
			}
		})
		return
	}
	if k := l.link(vm); k != nil {
		select {
		case k.demands <- toDemand(id, d):
		default:
		}
	}
}

// setLinks opens streams to the other VMs that have gates and closes the rest.
func (l *Limiter) setLinks(ctx context.Context, v *view) {
	wanted := map[ident.VM]bool{}
	for _, t := range v.targets {
		if _, vm := t.slotsAndGate(); vm != "" && vm != v.self.VM {
			wanted[vm] = true
		}
	}
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	for vm, k := range l.links {
		if !wanted[vm] {
			k.cancel()
			delete(l.links, vm)
		}
	}
	for vm := range wanted {
		if l.links[vm] != nil || ctx.Err() != nil {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		k := &link{vm: vm, demands: make(chan *peerpb.SlotDemand, streamQueueLength), cancel: cancel, done: make(chan struct{})}
		l.links[vm] = k
		go l.maintainLink(linkCtx, k)
	}
}

func (l *Limiter) closeLinks() {
	l.linksMu.Lock()
	links := l.links
	l.links = map[ident.VM]*link{}
	l.linksMu.Unlock()
	for _, k := range links {
		k.cancel()
		<-k.done
	}
}

// maintainLink keeps the stream to the gates on a VM open until ctx ends.
func (l *Limiter) maintainLink(ctx context.Context, k *link) {
	defer close(k.done)
	for ctx.Err() == nil {
		l.runLink(ctx, k)
		k.mu.Lock()
		wasConnected := k.connected
		k.connected = false
		k.mu.Unlock()
		if wasConnected && ctx.Err() == nil {
			l.recordLinkLoss(k.vm)
		}
		select {
		case <-ctx.Done():
		case <-time.After(jitter(linkRetryDelay)):
		}
	}
}

// recordLinkLoss tells the targets with a gate on a VM that it is unreachable.
func (l *Limiter) recordLinkLoss(vm ident.VM) {
	inUse := false
	for _, t := range l.view.Load().targets {
		inUse = t.recordGateUnreachable(vm) || inUse
	}
	if inUse {
		evlog.At(l.cfg.Log, evlog.GateLost).Str("vm", string(vm)).Send()
	}
}

// runLink opens the stream and exchanges demands and loans until it fails or ctx
// ends.
func (l *Limiter) runLink(ctx context.Context, k *link) {
	c, err := l.cfg.Peers.Client(k.vm)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.Slots(ctx)
	if err != nil {
		return
	}
	k.mu.Lock()
	k.connected = true
	k.mu.Unlock()
	for _, t := range l.view.Load().targets {
		t.recordGateReachable(k.vm)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		defer cancel()
		l.receiveLoans(stream, k.vm)
	})
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-k.demands:
			if stream.Send(m) != nil {
				cancel()
				return
			}
		}
	}
}

func (l *Limiter) receiveLoans(stream grpc.BidiStreamingClient[peerpb.SlotDemand, peerpb.SlotLoan], vm ident.VM) {
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		if t := l.view.Load().targets[ident.Target(m.Target)]; t != nil {
			t.recordLoan(vm, gate.Loan{Slots: int(m.Slots), Sequence: gate.Sequence(m.Sequence), DemandNumber: m.Number, Contended: m.Contended})
		}
	}
}
