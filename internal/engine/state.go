package engine

import (
	"crypto/sha256"
	"encoding/hex"

	"chervilspan.example/pkg/dbop"
)

const (
	// maxNames limits the number of variables of a session, and that of its
	// prepared statements.
	maxNames = 256
	// maxStateBytes limits the length of all names and values of a session. One value may
	// fill a message. The state travels to other VMs in one message, together with a
	// statement of that length.
	maxStateBytes = 1 << 20
	// preparedHashBytes is the length of the hash in the name of a prepared statement.
	// Callers share these names, so no caller may be able to choose two texts of one hash.
	preparedHashBytes = 16
)

// preparedStatement is a statement prepared by the caller.
type preparedStatement struct {
	// name is the name of the statement at databases. It is derived from the
	// statement alone, so that sessions can share a prepared statement.
	name   string
	text   string
	writes bool
}

// serveLocally serves statements that need no database.
func (s *Session) serveLocally(st *dbop.Statement) dbop.Answer {
	switch st.Kind {
	case dbop.Set:
		return s.setVariable(st)
	case dbop.Prepare:
		return s.prepare(st)
	case dbop.Deallocate:
		s.deallocate(st.Name)
	}
	return dbop.Answer{}
}

func (s *Session) setVariable(st *dbop.Statement) dbop.Answer {
	old, known := s.vars[st.Name]
	if !s.reserve(known, len(s.vars), len(st.Name), len(old), len(st.Arg)) {
		return dbop.Answer{Code: dbop.TooLarge, Text: "the session's variables are too many or too long"}
	}
	if s.vars == nil {
		s.vars = map[string]string{}
	}
	s.vars[st.Name] = st.Arg
	return dbop.Answer{}
}

func (s *Session) prepare(st *dbop.Statement) dbop.Answer {
	old, known := s.prepared[st.Name]
	if !s.reserve(known, len(s.prepared), len(st.Name), len(old.text), len(st.Arg)) {
		return dbop.Answer{Code: dbop.TooLarge, Text: "the session's prepared statements are too many or too long"}
	}
	if s.prepared == nil {
		s.prepared = map[string]preparedStatement{}
	}
	s.prepared[st.Name] = newPreparedStatement(st)
	return dbop.Answer{}
}

func (s *Session) deallocate(name string) {
	if old, known := s.prepared[name]; known {
		s.stateBytes -= len(name) + len(old.text)
		delete(s.prepared, name)
	}
}

// reserve accounts for an entry of a table with count entries whose value changes its
// length from before to after; known tells whether the name is in the table. It reports
// whether the session may hold the entry.
func (s *Session) reserve(known bool, count, name, before, after int) bool {
	total := s.stateBytes - before + after
	if !known {
		total += name
	}
	if total > maxStateBytes || !known && count >= maxNames {
		return false
	}
	s.stateBytes = total
	return true
}

func newPreparedStatement(st *dbop.Statement) preparedStatement {
	mode := "r"
	if st.Writes {
		mode = "w"
	}
	h := sha256.Sum256([]byte(st.Arg))
	return preparedStatement{name: mode + hex.EncodeToString(h[:preparedHashBytes]), text: st.Arg, writes: st.Writes}
}
