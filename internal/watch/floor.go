package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"chervilspan.example/internal/dbctl"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// queue has the read-index batches of a group. Callers that arrive while a
// batch runs wait for the next one, because what they have seen may be newer
// than the answers of the running one.
type queue struct {
	running, next *batch
}

// batch is one query of a group's positions for all callers that wait for it.
type batch struct {
	done  chan struct{}
	p     ident.Position
	err   error
	mu    sync.Mutex
	floor *dbctl.Floor
	ended bool
}

// Floor returns the highest position among a majority of the group's
// databases, read after the call began, so it covers every write that was
// acknowledged before. It returns an *Error of kind KindNoMajority when no
// majority answers, and of kind KindTimeout when ctx ends first.
func (w *Watcher) Floor(ctx context.Context, g ident.Group) (ident.Position, error) {
	b, err := w.join(g)
	if err != nil {
		return ident.Position{}, err
	}
	w.metrics.floorCallers.Inc(1)
	select {
	case <-b.done:
		return b.p, b.err
	case <-ctx.Done():
		return ident.Position{}, &Error{Op: "floor", Kind: KindTimeout, Group: g, Err: ctx.Err()}
	}
}

// join returns the batch that a new caller waits for, and starts it when none
// is running.
func (w *Watcher) join(g ident.Group) (*batch, error) {
	if _, ok := w.cfg.Table.Group(g); !ok {
		return nil, &Error{Op: "floor", Kind: KindUnknownGroup, Group: g}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.base.Err() != nil {
		return nil, &Error{Op: "floor", Kind: KindStopped, Group: g}
	}
	q := w.floors[g]
	if q == nil {
		q = &queue{}
		w.floors[g] = q
	}
	b := &batch{done: make(chan struct{})}
	switch {
	case q.running == nil:
		q.running = b
		w.submit(w.reads, func() { w.launch(g, b) })
	case q.next == nil:
		q.next = b
	default:
		b = q.next
	}
	return b, nil
}

// launch queries every database of the group.
func (w *Watcher) launch(g ident.Group, b *batch) {
	w.metrics.floorBatches.Inc(1)
	t, _ := w.cfg.Table.Group(g)
	b.floor = dbctl.NewFloor(len(t.Targets))
	if len(t.Targets) == 0 {
		w.finish(g, b, ident.Position{}, &Error{Op: "floor", Kind: KindUnknownGroup, Group: g})
		return
	}
	for i := range t.Targets {
		c := w.reader(g, &t.Targets[i])
		if c == nil || !w.submit(w.reads, func() { w.add(g, b, c) }) {
			w.finish(g, b, ident.Position{}, &Error{Op: "floor", Kind: KindStopped, Group: g})
			return
		}
	}
}

// add reads one database and ends the batch when its answer decides it. A lost
// answer is tried once more, on a new connection.
func (w *Watcher) add(g ident.Group, b *batch, c Conn) {
	s, err := w.read(c)
	var e *dbctl.Error
	if errors.As(err, &e) && e.Kind == dbctl.KindNoAnswer {
		s, err = w.read(c)
	}
	if err == nil {
		w.cfg.Table.Observe(g, s, time.Now())
	}
	b.mu.Lock()
	b.floor.Add(s, err)
	p, done, err := b.floor.Result()
	b.mu.Unlock()
	if !done {
		return
	}
	if err != nil {
		err = &Error{Op: "floor", Kind: KindNoMajority, Group: g, Err: err}
	}
	w.finish(g, b, p, err)
}

func (w *Watcher) read(c Conn) (topo.Status, error) {
	ctx, cancel := context.WithTimeout(w.base, floorTimeout)
	defer cancel()
	return c.Status(ctx)
}

// finish answers the callers of a batch and starts the next one.
func (w *Watcher) finish(g ident.Group, b *batch, p ident.Position, err error) {
	b.mu.Lock()
	if b.ended {
		b.mu.Unlock()
		return
	}
	b.ended, b.p, b.err = true, p, err
	b.mu.Unlock()
	close(b.done)
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.floors[g]
	q.running, q.next = q.next, nil
	if next := q.running; next != nil && !w.submit(w.reads, func() { w.launch(g, next) }) {
		next.err = &Error{Op: "floor", Kind: KindStopped, Group: g}
		close(next.done)
		q.running = nil
	}
}
