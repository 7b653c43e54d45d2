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

// floorQueue holds the read-index batches of a group. Callers that arrive while a
// batch runs wait for the next one, because writes acknowledged before their call
// may be newer than answers that the running batch already has.
type floorQueue struct {
	running, next *floorBatch
}

// floorBatch is one query of a group's positions, shared by all callers that wait
// for it. The fields p and err are set before done is closed.
type floorBatch struct {
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
	b, err := w.joinBatch(g)
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

// joinBatch returns the batch that a new caller waits for, and starts it when
// none is running.
func (w *Watcher) joinBatch(g ident.Group) (*floorBatch, error) {
	if _, ok := w.cfg.Table.Group(g); !ok {
		return nil, &Error{Op: "floor", Kind: KindUnknownGroup, Group: g}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.baseCtx.Err() != nil {
		return nil, &Error{Op: "floor", Kind: KindStopped, Group: g}
	}
	q := w.floorQueues[g]
	if q == nil {
		q = &floorQueue{}
		w.floorQueues[g] = q
	}
	b := &floorBatch{done: make(chan struct{})}
	switch {
	case q.running == nil:
		q.running = b
		w.submit(w.readPool, func() { w.runBatch(g, b) })
	case q.next == nil:
		q.next = b
	default:
		b = q.next
	}
	return b, nil
}

// runBatch starts the query of every database of the group.
func (w *Watcher) runBatch(g ident.Group, b *floorBatch) {
	w.metrics.floorBatches.Inc(1)
	t, _ := w.cfg.Table.Group(g)
	b.floor = dbctl.NewFloor(len(t.Targets))
	if len(t.Targets) == 0 {
		w.finishBatch(g, b, ident.Position{}, &Error{Op: "floor", Kind: KindUnknownGroup, Group: g})
		return
	}
	for i := range t.Targets {
		c := w.readConn(g, &t.Targets[i])
		if c == nil || !w.submit(w.readPool, func() { w.readTarget(g, b, c) }) {
			w.finishBatch(g, b, ident.Position{}, &Error{Op: "floor", Kind: KindStopped, Group: g})
			return
		}
	}
}

// readTarget reads one database and finishes the batch when the answer decides
// it. A read that was sent and not answered is retried once, on a new connection.
func (w *Watcher) readTarget(g ident.Group, b *floorBatch, c Conn) {
	s, err := w.readStatus(c)
	var e *dbctl.Error
	if errors.As(err, &e) && e.Kind == dbctl.KindNoAnswer {
		s, err = w.readStatus(c)
	}
	if err == nil {
		w.cfg.Table.RecordStatus(g, s, time.Now())
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
	w.finishBatch(g, b, p, err)
}

func (w *Watcher) readStatus(c Conn) (topo.Status, error) {
	ctx, cancel := context.WithTimeout(w.baseCtx, floorTimeout)
	defer cancel()
	return c.Status(ctx)
}

// finishBatch hands the result to the callers of a batch and starts the next
// batch, if any caller waits for it.
func (w *Watcher) finishBatch(g ident.Group, b *floorBatch, p ident.Position, err error) {
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
	q := w.floorQueues[g]
	q.running, q.next = q.next, nil
	if next := q.running; next != nil && !w.submit(w.readPool, func() { w.runBatch(g, next) }) {
		next.err = &Error{Op: "floor", Kind: KindStopped, Group: g}
		close(next.done)
		q.running = nil
	}
}
