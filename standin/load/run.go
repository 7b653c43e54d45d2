package load

import (
	"context"
	"sync"
	"time"
)

// Run sends the arrivals that cfg describes and waits for the last answer. It
// returns an *Error of kind KindConfig for invalid settings. Refused statements
// and broken connections are results, not errors.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	rec := newRecorder(cfg)
	queues := make([]*queue, len(cfg.Workspaces))
	sessions := openSessions(ctx, cfg, rec)
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration+cfg.GracePeriod)
	defer cancel()
	rec.start = time.Now()
	var wg sync.WaitGroup
	for i, list := range sessions {
		queues[i] = newQueue()
		for _, s := range list {
			wg.Go(func() { s.run(ctx, queues[i]) })
		}
	}
	enqueueArrivals(ctx, newSchedule(cfg), rec.start, queues)
	for _, q := range queues {
		q.close()
	}
	wg.Wait()
	for _, q := range queues {
		for _, a := range q.items {
			rec.recordResult(a, a.At, OutcomeNotRun, "not_sent")
		}
	}
	return rec.report(time.Since(rec.start)), nil
}

// initialConnectTimeout bounds the wait for the first connections.
const initialConnectTimeout = time.Second

// openSessions creates the sessions of each workspace and connects them, so that
// no latency includes the first connection. A session that cannot connect
// tries again at its first statement.
func openSessions(ctx context.Context, cfg Config, rec *recorder) [][]*session {
	ctx, cancel := context.WithTimeout(ctx, initialConnectTimeout)
	defer cancel()
	var wg sync.WaitGroup
	out := make([][]*session, len(cfg.Workspaces))
	for i, ws := range cfg.Workspaces {
		for n := range cfg.SessionsPerWorkspace {
			s := &session{cfg: cfg, rec: rec, ws: ws, id: int64(cfg.Seed<<20) + int64(i*cfg.SessionsPerWorkspace+n+1), addressIndex: i + n}
			out[i] = append(out[i], s)
			wg.Go(func() { _ = s.ensureConnected(ctx) })
		}
	}
	wg.Wait()
	return out
}

// enqueueArrivals puts each arrival into its workspace's queue when it is due.
func enqueueArrivals(ctx context.Context, s *schedule, start time.Time, queues []*queue) {
	t := time.NewTimer(0)
	defer t.Stop()
	for a, ok := s.next(); ok; a, ok = s.next() {
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

// queue holds arrivals that wait for a session. It is unbounded, because an
// open-loop generator does not slow down.
type queue struct {
	mu      sync.Mutex
	items   []Arrival
	closed  bool
	changed chan struct{} // closed and replaced on every change
}

func newQueue() *queue { return &queue{changed: make(chan struct{})} }

func (q *queue) put(a Arrival) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, a)
	q.notify()
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notify()
}

// notify wakes all goroutines that wait in take. The caller holds mu.
func (q *queue) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// take waits for an arrival. ok is false when the queue is closed and empty or
// ctx has ended.
func (q *queue) take(ctx context.Context) (a Arrival, ok bool) {
	for {
		q.mu.Lock()
		more := q.changed
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
