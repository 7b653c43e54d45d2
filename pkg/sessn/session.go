package sessn

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// Session has the floor of one session. The zero Session has not attached yet.
// It must not be used from several goroutines.
type Session struct {
	floor    ident.Position
	attached bool
}

// Resume attaches with the position that the caller passed back.
func (s *Session) Resume(p ident.Position) { s.Attach(p) }

// Attach takes a position that covers every write acknowledged so far.
func (s *Session) Attach(p ident.Position) {
	s.floor = s.floor.Max(p)
	s.attached = true
}

// NeedsFloor reports whether the group has to be asked for its position before
// the session's first statement. A session whose reads accept an age needs none.
func (s *Session) NeedsFloor(maxAge time.Duration) bool { return !s.attached && maxAge == 0 }

// RecordWrite raises the floor to the position of a commit of this session.
func (s *Session) RecordWrite(p ident.Position) { s.floor = s.floor.Max(p) }

// RecordRead raises the floor to the position that a read saw. Reads that accept an
// age do not: their floor covers the session's own writes only.
func (s *Session) RecordRead(p ident.Position, maxAge time.Duration) {
	if maxAge == 0 {
		s.floor = s.floor.Max(p)
	}
}

// Floor returns the position that the next read must not be behind.
func (s *Session) Floor() ident.Position { return s.floor }
