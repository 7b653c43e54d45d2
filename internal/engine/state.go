package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

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
	// freeStateBytes is the length up to which they need no share of the VM's budget.
	// 4,000 sessions have 16 MB at most.
	freeStateBytes = 4 << 10
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

// setVariable sets a variable. Names and values are copied, as the strings of a statement
// keep its whole message in memory.
func (s *Session) setVariable(st *dbop.Statement) dbop.Answer {
	old, known := s.vars[st.Name]
	if code := s.reserve(known, len(s.vars), len(st.Name), len(old), len(st.Arg)); code != dbop.OK {
		return dbop.Answer{Code: code, Text: "the variables are too many or too long"}
	}
	if s.vars == nil {
		s.vars = map[string]string{}
	}
	s.vars[strings.Clone(st.Name)] = strings.Clone(st.Arg)
	return dbop.Answer{}
}

func (s *Session) prepare(st *dbop.Statement) dbop.Answer {
	old, known := s.prepared[st.Name]
	if code := s.reserve(known, len(s.prepared), len(st.Name), len(old.text), len(st.Arg)); code != dbop.OK {
		return dbop.Answer{Code: code, Text: "the prepared statements are too many or too long"}
	}
	if s.prepared == nil {
		s.prepared = map[string]preparedStatement{}
	}
	s.prepared[strings.Clone(st.Name)] = newPreparedStatement(st)
	return dbop.Answer{}
}

func (s *Session) deallocate(name string) {
	if old, known := s.prepared[name]; known {
		delete(s.prepared, name)
		_ = s.holdState(s.stateBytes - len(name) - len(old.text)) // less always fits
	}
}

// reserve accounts for an entry of a table with count entries whose value changes its
// length from before to after; known tells whether the name is in the table. The code says
// whether the session may hold the entry: TooLarge if it would hold too much, Busy if the
// sessions of its workspace or of the VM do.
func (s *Session) reserve(known bool, count, name, before, after int) dbop.Code {
	total := s.stateBytes - before + after
	if !known {
		total += name
	}
	switch {
	case total > maxStateBytes || !known && count >= maxNames:
		return dbop.TooLarge
	case !s.holdState(total):
		return dbop.Busy
	}
	return dbop.OK
}

// holdState changes stateBytes, and reports whether the budget of the VM allows that.
func (s *Session) holdState(n int) bool {
	share := n
	if n <= freeStateBytes {
		share = 0
	}
	if s.stateBytes <= freeStateBytes {
		s.stateShare.Owner = string(s.auth.Workspace)
	}
	if !s.e.state.TryHold(&s.stateShare, share) {
		return false
	}
	s.stateBytes = n
	return true
}

func newPreparedStatement(st *dbop.Statement) preparedStatement {
	mode := "r"
	if st.Writes {
		mode = "w"
	}
	h := sha256.Sum256([]byte(st.Arg))
	return preparedStatement{name: mode + hex.EncodeToString(h[:preparedHashBytes]), text: strings.Clone(st.Arg), writes: st.Writes}
}
