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

// workspaceEntry is a workspace with its account of tokens and the requests that
// wait for them.
type workspaceEntry struct {
	l         *Limiter
	ws        ident.Workspace
	firstSeen time.Time
	class     atomic.Pointer[catal.Class]
	// slotRefused counts the requests refused because they got no slot.
	slotRefused atomic.Uint64

	mu         sync.Mutex
	shard      quota.Shard
	acct       *quota.Account
	waiters    map[quota.Ticket]chan result
	timer      *time.Timer
	nextPoll   time.Time
	closed     bool
	lastReport reportState
	// isTarget is set for the account of a database, see AdmitAt.
	isTarget bool
}

// result is the answer to a waiting request, and when it was decided.
type result struct {
	err error
	at  time.Time
}

// Admit takes a token for one statement of a workspace and waits for it for up to
// Config.MaxRateWait. If it returns an error, the statement must not run; the
// error is an *Error of kind KindRate, KindUnknown or KindCancelled.
func (l *Limiter) Admit(ctx context.Context, ws ident.Workspace) error {
	e := l.view.Load().workspaces[ws]
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
		return e.checkPermit(now)
	}
	if e.closed {
		e.mu.Unlock()
		return &Error{Op: "admit", Kind: KindUnknown, Workspace: ws}
	}
	ch := l.resultChans.Get().(chan result)
	ticket := e.acct.Enqueue(now)
	e.waiters[ticket] = ch
	e.poll(now)
	e.mu.Unlock()
	return e.await(ctx, ticket, ch)
}

// checkPermit refuses an admission that was decided too long ago: the process was
// paused, and another VM may hold the slice by now.
func (e *workspaceEntry) checkPermit(decided time.Time) error {
	now := e.l.now()
	if e.acct.PermitValid(decided, now) && (!e.isTarget || now.Sub(decided) < e.l.cfg.PermitLifetime) {
		return nil
	}
	return &Error{Op: "admit", Kind: KindRate, Workspace: e.ws}
}

// await waits for the result of a queued request or the end of ctx.
func (e *workspaceEntry) await(ctx context.Context, ticket quota.Ticket, ch chan result) error {
	select {
	case r := <-ch:
		e.l.resultChans.Put(ch)
		if r.err != nil {
			return r.err
		}
		return e.checkPermit(r.at)
	case <-ctx.Done():
	}
	e.mu.Lock()
	stillQueued := e.acct.Cancel(ticket)
	delete(e.waiters, ticket)
	e.mu.Unlock()
	if !stillQueued {
		// The result is in the channel already; if it is an admission, its token is
		// lost.
		<-ch
	}
	e.l.resultChans.Put(ch)
	return &Error{Op: "admit", Kind: KindCancelled, Workspace: e.ws, Err: ctx.Err()}
}

// poll carries out the decisions of the account: it answers requests, starts
// borrows and schedules the next poll. The caller holds e.mu.
func (e *workspaceEntry) poll(now time.Time) {
	out := e.acct.Poll(now, e.l.deadline())
	for _, t := range out.Admitted {
		e.respond(t, nil)
	}
	if len(out.Refused) > 0 {
		err := &Error{Op: "admit", Kind: KindRate, Workspace: e.ws, RetryAfter: e.l.cfg.MaxRateWait}
		for _, t := range out.Refused {
			e.respond(t, err)
		}
	}
	for _, a := range out.Borrows {
		e.l.runInBackground(func() { e.borrow(a) })
	}
	e.schedulePoll(now, out.NextPoll)
}

func (e *workspaceEntry) respond(t quota.Ticket, err error) {
	if ch := e.waiters[t]; ch != nil {
		delete(e.waiters, t)
		ch <- result{err, e.l.now()}
	}
}

// schedulePoll sets the timer for the next poll unless it is due to fire earlier.
// The caller holds e.mu.
func (e *workspaceEntry) schedulePoll(now, at time.Time) {
	if at.IsZero() || e.closed || !e.nextPoll.IsZero() && !at.Before(e.nextPoll) && e.nextPoll.After(now) {
		return
	}
	e.nextPoll = at
	d := max(at.Sub(now), 0)
	if e.timer == nil {
		e.timer = time.AfterFunc(d, e.pollOnTimer)
		return
	}
	e.timer.Reset(d)
}

func (e *workspaceEntry) pollOnTimer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextPoll = time.Time{}
	if !e.closed {
		e.poll(e.l.now())
	}
}

// close refuses the waiting requests, as the workspace has left the catalogue or
// the Limiter stops.
func (e *workspaceEntry) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.timer != nil {
		e.timer.Stop()
	}
	for t := range e.waiters {
		if e.acct.Cancel(t) {
			e.respond(t, &Error{Op: "admit", Kind: KindUnknown, Workspace: e.ws})
		}
	}
	// Without slices and holders the account admits no more requests.
	e.acct.Configure(quota.Setup{}, e.l.now())
}

func (l *Limiter) closeWorkspaces() {
	for _, e := range l.view.Load().workspaces {
		e.close()
	}
}

// borrow sends a request for tokens and passes the reply to the account.
func (e *workspaceEntry) borrow(a quota.OutgoingBorrow) {
	reply, err := e.l.requestTokens(e.ws, a)
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

func (l *Limiter) requestTokens(ws ident.Workspace, a quota.OutgoingBorrow) (quota.BorrowReply, error) {
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
		l.addHint(quota.ShardOf(ws, v.shardCount), ident.VM(vm))
	}
	return quota.BorrowReply{
		Grant: quota.GrantID(r.Grant), Amount: max(0, min(ident.MicroTokens(r.Micro), a.Amount)),
		Remaining: ident.MicroTokens(r.LeftMicro), MintingSlices: int(r.Slices),
	}, nil
}

// Borrow answers another VM's request for tokens.
func (l *Limiter) Borrow(_ context.Context, req *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	e := l.view.Load().workspaces[ident.Workspace(req.Workspace)]
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
		e.poll(now) // unused tokens were returned
	}
	shard := e.shard
	e.mu.Unlock()
	out := &peerpb.BorrowReply{
		Micro: int64(reply.Amount), Holds: reply.MintingSlices > 0, Grant: uint64(reply.Grant),
		LeftMicro: int64(reply.Remaining), Slices: uint32(reply.MintingSlices),
	}
	for _, vm := range l.slices.otherHolders(shard) {
		out.Holders = append(out.Holders, string(vm))
	}
	return out, nil
}
