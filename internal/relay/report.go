package relay

import (
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
)

// reportOverload logs when a class has a standing queue, and when no statement waits any
// more after that. The caller holds q.mu.
func (q *turnQueue) reportOverload(now time.Time) {
	switch {
	case q.overloadedSince.IsZero() && q.queue.Standing():
		q.overloadedSince = now
		evlog.At(q.log, evlog.OverloadBegan).Str("target", string(q.target)).Int("waiting", q.queue.Len()).
			Uints32("delays", q.queue.AppendDelays(nil, now)).Int("turns", q.limit()).Send()
	case !q.overloadedSince.IsZero() && q.queue.Len() == 0:
		evlog.At(q.log, evlog.OverloadEnded).Str("target", string(q.target)).Dur("lasted", now.Sub(q.overloadedSince)).Send()
		q.overloadedSince = time.Time{}
	}
}

// QueueState is the state of the queue of turns at a database.
type QueueState struct {
	Target ident.Target
	// Waiting is the number of statements that wait.
	Waiting int
	// Delays has pairs of a weight and the delay in ms of a new statement.
	Delays []uint32
}

// QueueStates returns the states of all queues of turns.
func (s *Server) QueueStates() []QueueState {
	s.mu.Lock()
	queues := make([]*turnQueue, 0, len(s.turns))
	for _, q := range s.turns {
		queues = append(queues, q)
	}
	s.mu.Unlock()
	out := make([]QueueState, 0, len(queues))
	for _, q := range queues {
		out = append(out, QueueState{q.target, q.waiting(), q.delays()})
	}
	return out
}
