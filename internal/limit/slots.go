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

// Intervals of the demands to gates.
const (
	// minDemandInterval is the least time between demands caused by new requests.
	minDemandInterval = 10 * time.Millisecond
	// loanRenewInterval allows two more attempts within the lifetime of a loan.
	loanRenewInterval = 300 * time.Millisecond
	// idleLoanPeriod is the time for which the loan of a target without requests is
	// renewed.
	idleLoanPeriod = time.Second
)

// target holds the slots of a target that this VM has borrowed and the requests
// that wait for them.
type target struct {
	l  *Limiter
	id ident.Target

	mu            sync.Mutex
	slots         int
	gateVM        ident.VM
	queue         fairq.Queue
	borrower      gate.Borrower
	inUse         map[ident.Workspace]int
	running       int
	weights       map[ident.Workspace]uint32
	waiters       map[fairq.Ticket]*waiter
	lastTicket    fairq.Ticket
	lastUsed      time.Time
	demandSentAt  time.Time
	demandPending bool
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

// setTargets sets the targets of a view from its catalogue, and their gates.
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
	t.borrower.Configure(t.slots, live)
	t.queue.PruneServiceTimes(func(ws ident.Workspace) bool { _, ok := v.cat.Workspaces[ws]; return ok })
	if vm != t.gateVM {
		t.gateVM = vm
		t.borrower.ForgetGate()
		t.demandPending = true
		if vm == v.self.VM || t.l.linkConnected(vm) {
			t.borrower.RecordGateReachable()
		}
	}
}

// slotsAndGate returns the number of slots and the VM that has the gate.
func (t *target) slotsAndGate() (slots int, vm ident.VM) {
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

// Acquire takes a slot of a target for a statement of a workspace, which has the
// given weight in the fair queue. It waits until the earlier of the deadlines of
// ctx and of the workspace's class. The caller calls release once the target has
// answered; further calls have no effect. If Acquire returns an error, the
// statement must not run; the error is an *Error of kind KindQueueFull,
// KindDeadline, KindUnknown or KindCancelled.
func (l *Limiter) Acquire(ctx context.Context, id ident.Target, ws ident.Workspace, weight uint32) (release func(), err error) {
	v := l.view.Load()
	t, e := v.targets[id], v.workspaces[ws]
	if t == nil || e == nil {
		return nil, &Error{Op: "acquire", Kind: KindUnknown, Workspace: ws, Target: id}
	}
	t.mu.Lock()
	now := time.Now()
	t.lastUsed = now
	if t.queue.Len() == 0 && t.running < t.borrower.Limit(now) {
		t.occupySlot(ws, weight)
		t.mu.Unlock()
		return t.releaser(ws, now), nil
	}
	w, ticket, err := t.enqueue(ctx, e, ws, weight, now)
	t.mu.Unlock()
	if err != nil {
		e.slotRefused.Add(1)
		return nil, err
	}
	t.sendDemand(now, false)
	if err := t.await(ctx, w, ticket, e); err != nil {
		return nil, err
	}
	return t.releaser(ws, time.Now()), nil
}

// occupySlot counts a statement as running. The caller holds t.mu.
func (t *target) occupySlot(ws ident.Workspace, weight uint32) {
	t.running++
	t.inUse[ws]++
	t.weights[ws] = weight
}

// enqueue adds a request to the fair queue. The caller holds t.mu.
func (t *target) enqueue(ctx context.Context, e *workspaceEntry, ws ident.Workspace, weight uint32, now time.Time) (*waiter, fairq.Ticket, error) {
	class := e.class.Load()
	deadline := now.Add(class.RequestTimeout())
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	t.lastTicket++
	item := fairq.Item{Ticket: t.lastTicket, Workspace: ws, Weight: weight, Limit: int(class.QueueLimit()), Deadline: deadline}
	// The loan may grow to all slots; the expected wait is estimated from the slots
	// available now.
	slots := max(t.borrower.Limit(now), t.borrower.FallbackLimit())
	if err := t.queue.Push(item, slots, now); err != nil {
		return nil, 0, t.refusal(ws, err)
	}
	w := &waiter{ws: ws, ch: make(chan error, 1)}
	t.waiters[t.lastTicket] = w
	t.weights[ws] = weight
	t.demandPending = true
	return w, t.lastTicket, nil
}

// refusal returns the error for a request that the queue has refused.
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

// await waits for the result of a queued request or the end of ctx.
func (t *target) await(ctx context.Context, w *waiter, ticket fairq.Ticket, e *workspaceEntry) error {
	select {
	case err := <-w.ch:
		if err != nil {
			e.slotRefused.Add(1)
		}
		return err
	case <-ctx.Done():
	}
	t.mu.Lock()
	stillQueued := t.queue.Remove(ticket)
	delete(t.waiters, ticket)
	t.mu.Unlock()
	if !stillQueued {
		if err := <-w.ch; err == nil {
			t.freeSlot(w.ws, time.Now(), false)
		}
	}
	kind := KindCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = KindDeadline
		e.slotRefused.Add(1)
	}
	return &Error{Op: "acquire", Kind: kind, Workspace: w.ws, Target: t.id, Err: ctx.Err()}
}

// releaser returns a function that frees a slot at its first call.
func (t *target) releaser(ws ident.Workspace, started time.Time) func() {
	released := false
	return func() {
		if !released {
			released = true
			t.freeSlot(ws, started, true)
		}
	}
}

// freeSlot frees the slot of a statement and starts waiting requests. If the
// statement ran, its service time is recorded.
func (t *target) freeSlot(ws ident.Workspace, started time.Time, ran bool) {
	t.mu.Lock()
	now := time.Now()
	overLimit := t.running > t.borrower.Limit(now)
	t.running--
	if t.inUse[ws]--; t.inUse[ws] == 0 {
		delete(t.inUse, ws)
	}
	if ran {
		t.queue.RecordServiceTime(ws, now.Sub(started))
	}
	t.lastUsed = now
	t.dispatch(now)
	spare := t.borrower.Contended() && t.running < t.borrower.Limit(now)
	t.demandPending = t.demandPending || spare
	t.mu.Unlock()
	if overLimit || spare {
		t.sendDemand(now, overLimit) // the gate is waiting for this slot
	}
}

// dispatch refuses waiting requests past their deadline and starts others while
// slots are free. The caller holds t.mu.
func (t *target) dispatch(now time.Time) {
	for _, ticket := range t.queue.Expire(now) {
		if w := t.waiters[ticket]; w != nil {
			delete(t.waiters, ticket)
			w.ch <- &Error{Op: "acquire", Kind: KindDeadline, Workspace: w.ws, Target: t.id}
		}
	}
	for t.running < t.borrower.Limit(now) {
		ticket, ok := t.queue.Pop(now)
		if !ok {
			return
		}
		w := t.waiters[ticket]
		delete(t.waiters, ticket)
		t.occupySlot(w.ws, t.weights[w.ws])
		w.ch <- nil
	}
}

// sendDemand sends the demand to the gate, either immediately or only if
// minDemandInterval has passed since the last demand.
func (t *target) sendDemand(now time.Time, atOnce bool) {
	t.mu.Lock()
	if t.gateVM == "" || !atOnce && now.Sub(t.demandSentAt) < minDemandInterval {
		t.mu.Unlock()
		return
	}
	if !t.l.gateReachable(t.gateVM) {
		t.borrower.ForgetGate()
		t.dispatch(now)
		t.mu.Unlock()
		return
	}
	vm := t.gateVM
	d := t.newDemand(now)
	t.mu.Unlock()
	t.l.routeDemand(vm, t.id, d)
}

// newDemand returns the demand to send to the gate. The caller holds t.mu.
func (t *target) newDemand(now time.Time) gate.Demand {
	t.demandSentAt, t.demandPending = now, false
	d := gate.Demand{VM: t.l.view.Load().self.VM, InUse: t.running, Confirmed: t.borrower.Confirmed(), Number: t.borrower.RecordDemand(now)}
	for _, w := range t.queue.Backlogs() {
		d.Workspaces = append(d.Workspaces, gate.WorkspaceDemand{Workspace: w.Workspace, Weight: w.Weight, Waiting: w.Count, InUse: t.inUse[w.Workspace]})
	}
	for _, ws := range slices.Sorted(maps.Keys(t.inUse)) {
		if !slices.ContainsFunc(d.Workspaces, func(c gate.WorkspaceDemand) bool { return c.Workspace == ws }) {
			d.Workspaces = append(d.Workspaces, gate.WorkspaceDemand{Workspace: ws, Weight: t.weights[ws], InUse: t.inUse[ws]})
		}
	}
	if len(d.Workspaces) == 0 && now.Sub(t.lastUsed) < idleLoanPeriod {
		d.Workspaces = []gate.WorkspaceDemand{{}} // used recently: this VM may keep a spare slot
	}
	return d
}

// recordLoan records a loan received from a gate.
func (t *target) recordLoan(from ident.VM, loan gate.Loan) {
	t.mu.Lock()
	if from != t.gateVM {
		t.mu.Unlock()
		return
	}
	now := time.Now()
	previous := t.borrower.LoanSlots()
	accepted := t.borrower.Accept(loan)
	if accepted {
		t.dispatch(now)
	}
	resized := accepted && loan.Slots != previous
	t.mu.Unlock()
	if resized {
		t.sendDemand(now, true) // confirms the loan, so that a recalled slot can be lent to another VM
	}
}

// recordGateUnreachable records that the gate on a VM is unreachable. It reports
// whether the target has a gate there and requests that run or wait.
func (t *target) recordGateUnreachable(vm ident.VM) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gateVM != vm {
		return false
	}
	t.borrower.ForgetGate()
	t.dispatch(time.Now())
	return t.queue.Len() > 0 || t.running > 0
}

// recordGateReachable records that the gate on a VM is reachable.
func (t *target) recordGateReachable(vm ident.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gateVM == vm {
		t.borrower.RecordGateReachable()
	}
}

// tick renews the loan while the target is in use, sends a demand held back by
// minDemandInterval, starts requests that the fallback limit allows, and refuses
// those past their deadline.
func (t *target) tick(now time.Time) {
	t.mu.Lock()
	active := t.running > 0 || t.queue.Len() > 0 || now.Sub(t.lastUsed) < idleLoanPeriod
	due := active && (t.demandPending || now.Sub(t.demandSentAt) >= loanRenewInterval)
	if t.queue.Len() > 0 {
		t.dispatch(now)
	}
	t.mu.Unlock()
	if due {
		t.sendDemand(now, false)
	}
}
