package conns

import (
	"context"
	"sync"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
)

// tenure ends a context when a group's primary is replaced.
type tenure struct {
	p      *Pools
	group  ident.Group
	target ident.Target
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

// WhilePrimary returns a context for work that makes sense only while the
// target is the primary of the group, such as waiting for a connection to it.
// When another one is known the context ends, with an *Error of KindSuperseded
// as its cause. The caller calls stop when the work is done.
func (p *Pools) WhilePrimary(ctx context.Context, group ident.Group, target ident.Target) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &tenure{p: p, group: group, target: target, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	// The group table has no notification, so it is looked at in steps.
	t.timer = time.AfterFunc(watchEvery, t.look)
	return ctx, t.stop
}

func (t *tenure) look() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return
	}
	g, ok := t.p.cfg.Groups.Group(t.group)
	if ok && g.Primary != "" && g.Primary != t.target {
		t.cancel(&Error{Op: "wait", Target: t.target, Kind: KindSuperseded, Outcome: retry.NotRun})
		return
	}
	t.timer.Reset(watchEvery)
}

func (t *tenure) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = true
	t.timer.Stop()
	t.cancel(nil)
}
