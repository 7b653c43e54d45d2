package load

import (
	"context"
	"sync"
	"time"
)

// Run sends the arrivals of cfg and waits for the last answer. It returns an
// *Error of kind KindConfig for wrong settings; refused statements and broken
// connections are results, not errors.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	rec := newRecorder(cfg)
	queues := make([]*queue, len(cfg.Workspaces))
	sessions := open(ctx, cfg, rec)
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration+cfg.GracePeriod)
	defer cancel()
	rec.start = time.Now()
	var wg sync.WaitGroup
	for i, list := range sessions {
		queues[i] = newQueue()
		for _, s := range list {
			wg.Go(func() { s.serve(ctx, queues[i]) })
		}
	}
	send(ctx, newPlan(cfg), rec.start, queues)
	for _, q := range queues {
		q.close()
	}
	wg.Wait()
	for _, q := range queues {
		for _, a := range q.items {
			rec.done(a, a.At, OutcomeNotRun, "not_sent")
		}
	}
	return rec.report(time.Since(rec.start)), nil
}

// warmTimeout bounds the wait for the first connections.
const warmTimeout = time.Second

// open makes the sessions of each workspace and connects them, so that the
// cost of the first connections is in no latency. A session that can't connect
// tries again at its first statement.
func open(ctx context.Context, cfg Config, rec *recorder) [][]*session {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	var wg sync.WaitGroup
	out := make([][]*session, len(cfg.Workspaces))
	for i, ws := range cfg.Workspaces {
		for n := range cfg.SessionsPerWorkspace {
			s := &session{cfg: cfg, rec: rec, ws: ws, id: int64(cfg.Seed<<20) + int64(i*cfg.SessionsPerWorkspace+n+1), addr: i + n}
			out[i] = append(out[i], s)
			wg.Go(func() { _ = s.connect(ctx) })
		}
	}
	wg.Wait()
	return out
}

// send puts each arrival into its workspace's queue at its time.
func send(ctx context.Context, p *plan, start time.Time, queues []*queue) {
	t := time.NewTimer(0)
	defer t.Stop()
	for a, ok := p.next(); ok; a, ok = p.next() {
		if wait := a.At - time.Since(start); wait > 0 {
			t.Reset(wait)
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
		queues[a.Workspace].put(a)
	}
}

// queue holds arrivals that wait for a session; it has no bound, because an
// open loop does not slow down.
type queue struct {
	mu     sync.Mutex
	items  []Arrival
	closed bool
	more   chan struct{} // closed and replaced at every change
}

func newQueue() *queue { return &queue{more: make(chan struct{})} }

func (q *queue) put(a Arrival) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, a)
	q.wake()
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.wake()
}

// wake wakes all takers. The caller holds mu.
func (q *queue) wake() {
	close(q.more)
	q.more = make(chan struct{})
}

// take waits for an arrival; ok is false when there are no more.
func (q *queue) take(ctx context.Context) (a Arrival, ok bool) {
	for {
		q.mu.Lock()
		more := q.more
		if len(q.items) > 0 {
			a, q.items = q.items[0], q.items[1:]
			q.mu.Unlock()
			return a, true
		}
		closed := q.closed
		q.mu.Unlock()
		if closed {
			return a, false
		}
		select {
		case <-more:
		case <-ctx.Done():
			return a, false
		}
	}
}
