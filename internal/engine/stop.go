package engine

import "time"

// messageGrace is how long a planned stop waits for the rest of a message: more than a
// round trip, with one loss on the way.
const messageGrace = time.Second

// stopping reports whether a planned stop ends the session once it is between two
// messages.
func (s *Session) stopping() bool {
	switch stopPhase(s.e.phase.Load()) {
	case closingIdle:
		return s.tx == nil
	case closingAll:
		return true
	}
	return false
}

// shouldStop reports whether a planned stop ends the session now.
func (s *Session) shouldStop() bool { return s.stopping() && !s.caller.Pending() }

// unfinishedTooLong reports whether a planned stop has waited for the rest of a message for
// messageGrace.
func (s *Session) unfinishedTooLong() bool {
	return !s.unfinishedSince.IsZero() && time.Since(s.unfinishedSince) >= messageGrace
}

// receiveDeadline returns when the wait for a message ends, or zero for never. During a
// planned stop, the wait for the rest of a message begins with the first call.
func (s *Session) receiveDeadline() time.Time {
	idle := s.idleDeadline()
	if !s.stopping() || !s.caller.Pending() {
		s.unfinishedSince = time.Time{}
		return idle
	}
	if s.unfinishedSince.IsZero() {
		s.unfinishedSince = time.Now()
	}
	end := s.unfinishedSince.Add(messageGrace)
	if !idle.IsZero() && idle.Before(end) {
		return idle
	}
	return end
}

// idleDeadline returns when the idle timeout of the open transaction expires, or
// zero if there is none.
func (s *Session) idleDeadline() time.Time {
	if s.tx == nil || s.tx.failed {
		return time.Time{}
	}
	return s.tx.lastUsed.Add(s.index.Catalogue.Sessions.IdleTransactionTimeout())
}

// failIdleTxn fails a transaction whose idle timeout has expired.
func (s *Session) failIdleTxn() {
	if s.tx == nil || s.tx.failed || time.Now().Before(s.idleDeadline()) {
		return
	}
	s.e.logIdleRollback(s)
	s.tx.fail()
}
