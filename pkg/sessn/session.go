package sessn

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// Session holds the floor of one session. The zero Session is not attached yet:
// the writes that it must see are unknown. A Session is not safe for concurrent
// use.
type Session struct {
	floor    ident.Position
	attached bool
	// mustAttach is set when the session's own writes may not be known either.
	mustAttach bool
}

// Resume attaches the session at the position that the caller passed back.
func (s *Session) Resume(p ident.Position) { s.Attach(p) }

// Attach raises the floor to a position that covers every write acknowledged so
// far.
func (s *Session) Attach(p ident.Position) {
	s.floor = s.floor.Max(p)
	s.attached = true
}

// NeedsFloor reports whether the group has to be asked for its position before
// the session's first statement. A session whose reads accept stale data, up to
// an age of maxAge, needs none, unless its own writes may not be known.
func (s *Session) NeedsFloor(maxAge time.Duration) bool {
	return !s.attached && (maxAge == 0 || s.mustAttach)
}

// RecordWrite raises the floor to the position of a commit of this session.
func (s *Session) RecordWrite(p ident.Position) { s.floor = s.floor.Max(p) }

// RecordRead raises the floor to the position that a read saw. A read that accepts
// stale data does not raise it, so that the floor then covers the session's own
// writes only.
func (s *Session) RecordRead(p ident.Position, maxAge time.Duration) {
	if maxAge == 0 {
		s.floor = s.floor.Max(p)
	}
}

// Floor returns the position that the next read must not be behind.
func (s *Session) Floor() ident.Position { return s.floor }
