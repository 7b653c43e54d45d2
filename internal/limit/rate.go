package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
)

// entry is a workspace.
type entry struct {
	l     *Limiter
	ws    ident.Workspace
	since time.Time
	class atomic.Pointer[catal.Class]
	// slotRefused counts requests refused for want of a slot.
	slotRefused atomic.Uint64

	mu       sync.Mutex
	shard    quota.Shard
	acct     *quota.Account
	waiters  map[quota.Ticket]chan error
	timer    *time.Timer
	wake     time.Time
	closed   bool
	reported reported
}

// Admit takes a token for one statement of a workspace, and waits for it up to
// the waiting time when there is none. It returns an *Error of kind KindRate,
// KindUnknown or KindCancelled; the statement must not run then.
func (l *Limiter) Admit(ctx context.Context, ws ident.Workspace) error {
	e := l.view.Load().entries[ws]
	if e == nil {
		return &Error{Op: "admit", Kind: KindUnknown, Workspace: ws}
	}
	e.mu.Lock()
	now := l.now()
	if e.acct.Admit(now, l.deadline()) {
		if e.acct.ShouldPoll(now, l.deadline()) {
			e.poll(now)
		}
		e.mu.Unlock()
		return e.fresh(now)
	}
	if e.closed {
		e.mu.Unlock()
		return &Error{Op: "admit", Kind: KindUnknown, Workspace: ws}
	}
	ch := l.answers.Get().(chan error)
	ticket := e.acct.Enqueue(now)
	e.waiters[ticket] = ch
	e.poll(now)
	e.mu.Unlock()
	return e.await(ctx, ticket, ch)
}

// fresh refuses an admission that was decided too long ago: the process was
// paused, and another VM may hold the slice by now.
func (e *entry) fresh(decided time.Time) error {
	if e.acct.PermitValid(decided, e.l.now()) {
		return nil
	}
	return &Error{Op: "admit", Kind: KindRate, Workspace: e.ws}
}

func (e *entry) await(ctx context.Context, ticket quota.Ticket, ch chan error) error {
	select {
	case err := <-ch:
		e.l.answers.Put(ch)
		return err
	case <-ctx.Done():
	}
	e.mu.Lock()
	waits := e.acct.Cancel(ticket)
	delete(e.waiters, ticket)
	e.mu.Unlock()
	if !waits {
		// The answer is in the channel; an admission is lost.
		<-ch
	}
	e.l.answers.Put(ch)
	return &Error{Op: "admit", Kind: KindCancelled, Workspace: e.ws, Err: ctx.Err()}
}

// poll carries out what the account decides. The caller holds e.mu.
func (e *entry) poll(now time.Time) {
	out := e.acct.Poll(now, e.l.deadline())
	for _, t := range out.Admitted {
		e.answer(t, nil)
	}
	if len(out.Refused) > 0 {
		err := &Error{Op: "admit", Kind: KindRate, Workspace: e.ws, RetryAfter: e.l.cfg.MaxRateWait}
		for _, t := range out.Refused {
			e.answer(t, err)
		}
	}
	for _, a := range out.Borrows {
		e.l.background(func() { e.borrow(a) })
	}
	e.sleep(now, out.NextPoll)
}

func (e *entry) answer(t quota.Ticket, err error) {
	if ch := e.waiters[t]; ch != nil {
		delete(e.waiters, t)
		ch <- err
	}
}

// sleep sets the timer for the next poll. The caller holds e.mu.
func (e *entry) sleep(now, at time.Time) {
	if at.IsZero() || e.closed || !e.wake.IsZero() && !at.Before(e.wake) && e.wake.After(now) {
		return
	}
	e.wake = at
	d := max(at.Sub(now), 0)
	if e.timer == nil {
		e.timer = time.AfterFunc(d, e.ring)
		return
	}
	e.timer.Reset(d)
}

func (e *entry) ring() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wake = time.Time{}
	if !e.closed {
		e.poll(e.l.now())
	}
}

// close refuses what waits; the workspace has left the catalogue, or the
// Limiter stops.
func (e *entry) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.timer != nil {
		e.timer.Stop()
	}
	for t := range e.waiters {
		if e.acct.Cancel(t) {
			e.answer(t, &Error{Op: "admit", Kind: KindUnknown, Workspace: e.ws})
		}
	}
	// Without slices and holders nothing is admitted any more.
	e.acct.Configure(quota.Setup{}, e.l.now())
}

func (l *Limiter) stopTimers() {
	for _, e := range l.view.Load().entries {
		e.close()
	}
}

// borrow sends an ask and takes the reply.
func (e *entry) borrow(a quota.OutgoingBorrow) {
	reply, err := e.l.askPeer(e.ws, a)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.l.now()
	if err != nil {
		e.acct.HandleFailure(a.ID, now)
	} else {
		e.acct.HandleReply(a.ID, reply, now)
	}
	if !e.closed {
		e.poll(now)
	}
}

func (l *Limiter) askPeer(ws ident.Workspace, a quota.OutgoingBorrow) (quota.BorrowReply, error) {
	c, err := l.cfg.Peers.Client(a.To)
	if err != nil {
		return quota.BorrowReply{}, err
	}
	v := l.view.Load()
	req := &peerpb.BorrowRequest{Workspace: string(ws), Micro: int64(a.Amount), Version: uint64(v.cat.Version)}
	for _, s := range a.Settlements {
		req.Settled = append(req.Settled, &peerpb.Settlement{Grant: uint64(s.Grant), UnusedMicro: int64(s.Unused)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	r, err := c.Borrow(ctx, req)
	if err != nil {
		return quota.BorrowReply{}, err
	}
	for _, vm := range r.Holders {
		l.hint(quota.ShardOf(ws, v.shards), ident.VM(vm))
	}
	return quota.BorrowReply{
		Grant: quota.GrantID(r.Grant), Amount: max(0, min(ident.MicroTokens(r.Micro), a.Amount)),
		Remaining: ident.MicroTokens(r.LeftMicro), MintingSlices: int(r.Slices),
	}, nil
}

// Borrow answers a request of another VM for tokens.
func (l *Limiter) Borrow(_ context.Context, req *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	e := l.view.Load().entries[ident.Workspace(req.Workspace)]
	if e == nil {
		return &peerpb.BorrowReply{}, nil
	}
	r := quota.BorrowRequest{Amount: ident.MicroTokens(req.Micro)}
	for _, s := range req.Settled {
		r.Settlements = append(r.Settlements, quota.Settlement{Grant: quota.GrantID(s.Grant), Unused: ident.MicroTokens(s.UnusedMicro)})
	}
	e.mu.Lock()
	now := l.now()
	reply := e.acct.Lend(r, now, l.deadline())
	if len(r.Settlements) > 0 && e.acct.Queued() > 0 && !e.closed {
		e.poll(now) // unused tokens came back
	}
	shard := e.shard
	e.mu.Unlock()
	out := &peerpb.BorrowReply{
		Micro: int64(reply.Amount), Holds: reply.MintingSlices > 0, Grant: uint64(reply.Grant),
		LeftMicro: int64(reply.Remaining), Slices: uint32(reply.MintingSlices),
	}
	for _, vm := range l.shares.others(shard) {
		out.Holders = append(out.Holders, string(vm))
	}
	return out, nil
}
