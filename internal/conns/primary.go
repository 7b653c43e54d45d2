package conns

import (
	"context"
	"sync"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
)

// primaryWatch ends a context when a group's primary is replaced.
type primaryWatch struct {
	pools  *Pools
	group  ident.Group
	target ident.Target
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

// WhilePrimary returns a context for work that makes sense only while the
// target is the primary of the group, such as waiting for a connection to it.
// When another primary is known the context ends, with an *Error of
// KindSuperseded as its cause. The caller calls stop when the work is done.
func (p *Pools) WhilePrimary(ctx context.Context, group ident.Group, target ident.Target) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &primaryWatch{pools: p, group: group, target: target, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	// The group table sends no notifications, so it is polled.
	t.timer = time.AfterFunc(watchInterval, t.check)
	return ctx, t.stop
}

func (t *primaryWatch) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return
	}
	g, ok := t.pools.cfg.Groups.Group(t.group)
	if ok && g.Primary != "" && g.Primary != t.target {
		t.cancel(&Error{Op: "wait", Target: t.target, Kind: KindSuperseded, Outcome: retry.NotRun})
		return
	}
	t.timer.Reset(watchInterval)
}

func (t *primaryWatch) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = true
	t.timer.Stop()
	t.cancel(nil)
}
