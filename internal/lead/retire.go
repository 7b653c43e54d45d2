package lead

import "time"

// Retire makes the monitor begin no failover any more, nor change in-sync sets. A VM that
// stops calls it first: an attempt that its end interrupts leaves a demoted primary or
// fenced replicas, and a claim that others have to wait for.
func (mon *Monitor) Retire() { mon.retired.Store(true) }

// AwaitIdle waits until no failover of this VM is in progress and its claims are released,
// or until a deadline.
func (mon *Monitor) AwaitIdle(deadline time.Time) {
	for mon.running.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

// begin marks the beginning of work that a planned stop waits for. It returns false if the
// monitor has retired; otherwise the caller calls end afterwards.
func (mon *Monitor) begin() bool {
	mon.running.Add(1)
	if mon.retired.Load() {
		mon.end()
		return false
	}
	return true
}

func (mon *Monitor) end() { mon.running.Add(-1) }
