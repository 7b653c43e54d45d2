package target

import (
	"context"
	"sync"
)

// slots limits how many statements run at once. Waiting ones are served in the
// order of their arrival; the limit may change at any time.
type slots struct {
	mu      sync.Mutex
	limit   int
	used    int
	waiting []chan struct{}
}

// acquire waits for a slot. It fails when ctx ends first.
func (s *slots) acquire(ctx context.Context) error {
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
	// The turn came at the same moment; it goes to the next.
	s.used--
	s.grant()
	return ctx.Err()
}

func (s *slots) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.grant()
}

func (s *slots) set(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.grant()
}

// grant gives free slots to waiting statements. The caller holds mu.
func (s *slots) grant() {
	for s.used < s.limit && len(s.waiting) > 0 {
		s.used++
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}
