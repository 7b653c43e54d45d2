package speed

import "time"

// TickInterval is the interval at which Tick is to be called. A tick later than
// stallDelay after its time means that the VM did not run.
const (
	TickInterval = 20 * time.Millisecond
	stallDelay   = 10 * time.Millisecond
)

// Stalls records when the VM did not run, from the delay of a periodic tick. It
// reports no stalls until Tick is called.
type Stalls struct {
	tickedAt time.Time
	// endedAt is when the last stall ended.
	endedAt time.Time
}

// Tick is called every TickInterval.
func (s *Stalls) Tick(now time.Time) {
	if !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > TickInterval+stallDelay {
		s.endedAt = now
	}
	s.tickedAt = now
}

// Since reports whether the VM did not run at some time since start. A tick that is
// overdue counts: after a stall the ticker may run later than who asks.
func (s *Stalls) Since(start, now time.Time) bool {
	if s.tickedAt.IsZero() {
		return false
	}
	return s.endedAt.After(start) || now.Sub(s.tickedAt) > TickInterval+stallDelay
}
