package limit

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/fairq"
	"chervilspan.example/pkg/gate"
	"chervilspan.example/pkg/ident"
)

// Periods of the demands to gates.
const (
	// demandPace is the least time between demands that a new request causes.
	demandPace = 10 * time.Millisecond
	// renewLoan leaves time for two more attempts within a loan.
	renewLoan = 300 * time.Millisecond
	// idleLoan is how long slots are kept for a target without requests.
	idleLoan = time.Second
)

// target is a target's slots as this VM uses them.
type target struct {
	l  *Limiter
	id ident.Target

	mu      sync.Mutex
	slots   int
	gateVM  ident.VM
	queue   fairq.Queue
	lot     gate.Borrower
	inUse   map[ident.Workspace]int
	running int
	weights map[ident.Workspace]uint32
	waiters map[fairq.Ticket]*waiter
	ticket  fairq.Ticket
	used    time.Time
	sent    time.Time
	unsent  bool
}

type waiter struct {
	ws ident.Workspace
	ch chan error
}

func (l *Limiter) newTarget(id ident.Target) *target {
	return &target{
		l: l, id: id, inUse: map[ident.Workspace]int{}, weights: map[ident.Workspace]uint32{},
		waiters: map[fairq.Ticket]*waiter{},
	}
}

// setTargets takes over the targets of the catalogue and their gates.
func (l *Limiter) setTargets(v, old *view) {
	v.targets = map[ident.Target]*target{}
	for _, g := range v.cat.Groups {
		for id, cfg := range g.Targets {
			t := old.targets[id]
			if t == nil {
				t = l.newTarget(id)
			}
			v.targets[id] = t
			t.configure(cfg, gateOf(id, cfg.Zone, v.live), len(v.live), v)
		}
	}
	for id, t := range old.targets {
		if v.targets[id] == nil {
			t.close()
		}
	}
	l.setGates(v)
}

func (t *target) configure(cfg catal.Target, vm ident.VM, live int, v *view) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slots = int(cfg.Slots)
	t.lot.Configure(t.slots, live)
	t.queue.PruneServiceTimes(func(ws ident.Workspace) bool { _, ok := v.cat.Workspaces[ws]; return ok })
	if vm != t.gateVM {
		t.gateVM = vm
		t.lot.ForgetGate()
		t.unsent = true
		if vm == v.self.VM || t.l.up(vm) {
			t.lot.MarkGateReachable()
		}
	}
}

// info returns the number of slots and the VM that has the gate.
func (t *target) info() (slots int, vm ident.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slots, t.gateVM
}

func (t *target) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ticket, w := range t.waiters {
		if t.queue.Remove(ticket) {
			delete(t.waiters, ticket)
			w.ch <- &Error{Op: "acquire", Kind: KindUnknown, Workspace: w.ws, Target: t.id}
		}
	}
}

// Acquire takes one of a target's slots for a statement of a workspace with the
// given weight in the fair queue, and waits for it until the deadline of ctx or
// of the workspace's class. The caller calls release, once, when the target has
// answered. Without a slot it returns an *Error of kind KindQueue, KindDeadline,
// KindUnknown or KindCancelled; the statement must not run then.
func (l *Limiter) Acquire(ctx context.Context, id ident.Target, ws ident.Workspace, weight uint32) (release func(), err error) {
	v := l.view.Load()
	t, e := v.targets[id], v.entries[ws]
	if t == nil || e == nil {
		return nil, &Error{Op: "acquire", Kind: KindUnknown, Workspace: ws, Target: id}
	}
	t.mu.Lock()
	now := time.Now()
	t.used = now
	if t.queue.Len() == 0 && t.running < t.lot.Limit(now) {
		t.start(ws, weight)
		t.mu.Unlock()
		return t.releaser(ws, now), nil
	}
	w, ticket, err := t.enqueue(ctx, e, ws, weight, now)
	t.mu.Unlock()
	if err != nil {
		e.slotRefused.Add(1)
		return nil, err
	}
	t.tell(now, false)
	if err := t.await(ctx, w, ticket, e); err != nil {
		return nil, err
	}
	return t.releaser(ws, time.Now()), nil
}

func (t *target) start(ws ident.Workspace, weight uint32) {
	t.running++
	t.inUse[ws]++
	t.weights[ws] = weight
}

func (t *target) enqueue(ctx context.Context, e *entry, ws ident.Workspace, weight uint32, now time.Time) (*waiter, fairq.Ticket, error) {
	class := e.class.Load()
	deadline := now.Add(class.RequestTimeout())
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	t.ticket++
	it := fairq.Item{Ticket: t.ticket, Workspace: ws, Weight: weight, Limit: int(class.QueueLimit()), Deadline: deadline}
	// The loan may grow up to all slots; the estimate takes what there is now.
	slots := max(t.lot.Limit(now), t.lot.FallbackLimit())
	if err := t.queue.Push(it, slots, now); err != nil {
		return nil, 0, t.refusal(ws, err)
	}
	w := &waiter{ws: ws, ch: make(chan error, 1)}
	t.waiters[t.ticket] = w
	t.weights[ws] = weight
	t.unsent = true
	return w, t.ticket, nil
}

func (t *target) refusal(ws ident.Workspace, err error) error {
	out := &Error{Op: "acquire", Kind: KindDeadline, Workspace: ws, Target: t.id, Err: err}
	var q *fairq.Error
	if errors.As(err, &q) {
		out.RetryAfter = q.ExpectedWait
		if q.Kind == fairq.KindFull {
			out.Kind = KindQueueFull
		}
	}
	return out
}

func (t *target) await(ctx context.Context, w *waiter, ticket fairq.Ticket, e *entry) error {
	select {
	case err := <-w.ch:
		if err != nil {
			e.slotRefused.Add(1)
		}
		return err
	case <-ctx.Done():
	}
	t.mu.Lock()
	waits := t.queue.Remove(ticket)
	delete(t.waiters, ticket)
	t.mu.Unlock()
	if !waits {
		if err := <-w.ch; err == nil {
			t.finish(w.ws, time.Now(), false)
		}
	}
	kind := KindCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = KindDeadline
		e.slotRefused.Add(1)
	}
	return &Error{Op: "acquire", Kind: kind, Workspace: w.ws, Target: t.id, Err: ctx.Err()}
}

func (t *target) releaser(ws ident.Workspace, started time.Time) func() {
	done := false
	return func() {
		if !done {
			done = true
			t.finish(ws, started, true)
		}
	}
}

func (t *target) finish(ws ident.Workspace, started time.Time, ran bool) {
	t.mu.Lock()
	now := time.Now()
	above := t.running > t.lot.Limit(now)
	t.running--
	if t.inUse[ws]--; t.inUse[ws] == 0 {
		delete(t.inUse, ws)
	}
	if ran {
		t.queue.Observe(ws, now.Sub(started))
	}
	t.used = now
	t.dispatch(now)
	spare := t.lot.Contended() && t.running < t.lot.Limit(now)
	t.unsent = t.unsent || spare
	t.mu.Unlock()
	if above || spare {
		t.tell(now, above) // the gate waits for this slot
	}
}

// dispatch starts waiting requests while there are slots, and refuses those
// past their deadline. The caller holds t.mu.
func (t *target) dispatch(now time.Time) {
	for _, ticket := range t.queue.Expire(now) {
		if w := t.waiters[ticket]; w != nil {
			delete(t.waiters, ticket)
			w.ch <- &Error{Op: "acquire", Kind: KindDeadline, Workspace: w.ws, Target: t.id}
		}
	}
	for t.running < t.lot.Limit(now) {
		ticket, ok := t.queue.Pop(now)
		if !ok {
			return
		}
		w := t.waiters[ticket]
		delete(t.waiters, ticket)
		t.start(w.ws, t.weights[w.ws])
		w.ch <- nil
	}
}

// tell sends the demand to the gate, at once or at the pace of new requests.
func (t *target) tell(now time.Time, atOnce bool) {
	t.mu.Lock()
	if t.gateVM == "" || !atOnce && now.Sub(t.sent) < demandPace {
		t.mu.Unlock()
		return
	}
	if !t.l.reachable(t.gateVM) {
		t.lot.ForgetGate()
		t.dispatch(now)
		t.mu.Unlock()
		return
	}
	vm := t.gateVM
	d := t.demand(now)
	t.mu.Unlock()
	t.l.sendDemand(vm, t.id, d)
}

// demand makes the message to the gate. The caller holds t.mu.
func (t *target) demand(now time.Time) gate.Demand {
	t.sent, t.unsent = now, false
	d := gate.Demand{VM: t.l.view.Load().self.VM, InUse: t.running, Confirmed: t.lot.Confirmed(), Number: t.lot.RecordDemand(now)}
	for _, w := range t.queue.Backlogs() {
		d.Workspaces = append(d.Workspaces, gate.WorkspaceDemand{Workspace: w.Workspace, Weight: w.Weight, Waiting: w.Count, InUse: t.inUse[w.Workspace]})
	}
	for _, ws := range slices.Sorted(maps.Keys(t.inUse)) {
		if !slices.ContainsFunc(d.Workspaces, func(c gate.WorkspaceDemand) bool { return c.Workspace == ws }) {
			d.Workspaces = append(d.Workspaces, gate.WorkspaceDemand{Workspace: ws, Weight: t.weights[ws], InUse: t.inUse[ws]})
		}
	}
	if len(d.Workspaces) == 0 && now.Sub(t.used) < idleLoan {
		d.Workspaces = []gate.WorkspaceDemand{{}} // used lately: a spare slot may stay here
	}
	return d
}

// take notes a loan of a gate.
func (t *target) take(from ident.VM, loan gate.Loan) {
	t.mu.Lock()
	if from != t.gateVM {
		t.mu.Unlock()
		return
	}
	now := time.Now()
	had := t.lot.LoanSlots()
	taken := t.lot.Accept(loan)
	if taken {
		t.dispatch(now)
	}
	changed := taken && loan.Slots != had
	t.mu.Unlock()
	if changed {
		t.tell(now, true) // confirm, so that a recalled slot can move
	}
}

// lost notes that a gate can't be reached.
func (t *target) lost(vm ident.VM) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gateVM != vm {
		return false
	}
	t.lot.ForgetGate()
	t.dispatch(time.Now())
	return t.queue.Len() > 0 || t.running > 0
}

// found notes that a gate can be reached.
func (t *target) found(vm ident.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gateVM == vm {
		t.lot.MarkGateReachable()
	}
}

// tick renews the loan while the target is used, sends what the pace held back,
// and starts what the fallback or an ended deadline lets through.
func (t *target) tick(now time.Time) {
	t.mu.Lock()
	active := t.running > 0 || t.queue.Len() > 0 || now.Sub(t.used) < idleLoan
	due := active && (t.unsent || now.Sub(t.sent) >= renewLoan)
	if t.queue.Len() > 0 {
		t.dispatch(now)
	}
	t.mu.Unlock()
	if due {
		t.tell(now, false)
	}
}
