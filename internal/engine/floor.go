package engine

import (
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/posn"
)

// floor returns the least position that a database must have applied for the
// read. ok is false when no confirmed position is known in time.
func (s *Session) floor(c *call) (ident.Position, bool) {
	since := c.receivedAt.Add(-s.auth.MaxAge)
	own := s.requiredCommit(since)
	if own.Position.IsZero() && own.At.After(since) {
		since = own.At
	}
	pos, ok := s.e.cfg.Primaries.CoveringPosition(c.deadline, s.auth.Group, since)
	return pos.Max(own.Position), ok
}

// requiredCommit returns the session's last commit in the group if reads have to see it and
// a position that covers the commits acknowledged before since may not cover it. It is zero
// otherwise: an older commit may have been rolled back, or the group made anew under its
// name, so that no database would ever reach its position.
func (s *Session) requiredCommit(since time.Time) posn.Commit {
	own := s.commits.Last(s.auth.Group)
	if s.auth.ReadConsistency != catal.ConsistencySession || own.At.Before(since) {
		return posn.Commit{}
	}
	return own
}
