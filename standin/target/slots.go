package target

import (
	"context"
	"sync"
)

// slotLimiter limits how many statements run at once. Waiting statements get
// slots in the order of their arrival; the limit can change at any time.
type slotLimiter struct {
	mu      sync.Mutex
	limit   int
	used    int
	waiting []chan struct{}
}

// acquire waits for a slot. It fails when ctx ends first.
func (s *slotLimiter) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.used < s.limit && len(s.waiting) == 0 {
		s.used++
		s.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return ctx.Err()
		}
	}
	// The slot was assigned just as ctx ended; it goes to the next in line.
	s.used--
	s.admitWaiting()
	return ctx.Err()
}

func (s *slotLimiter) currentLimit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

func (s *slotLimiter) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.admitWaiting()
}

func (s *slotLimiter) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.admitWaiting()
}

// admitWaiting assigns free slots to waiting statements. The caller holds mu.
func (s *slotLimiter) admitWaiting() {
	for s.used < s.limit && len(s.waiting) > 0 {
		s.used++
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}
