package engine

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
)

// verifyAfter is the time since its last answer after which a connection is
// checked before a write is sent on it: a write on a connection that no longer
// answers has an unknown outcome.
const verifyAfter = time.Second

// setup returns the session state that a statement needs on its connection.
func (s *Session) setup(st *dbop.Statement) dbpool.Setup {
	out := dbpool.Setup{Vars: s.vars}
	if st.Kind == dbop.Execute {
		out.Prepare = dbop.Statement{Kind: dbop.Prepare, Name: st.Name, Writes: st.Writes, Arg: s.preparedText(st.Name)}
	}
	return out
}

// setupStatements returns the statements that set the session's variables on a
// connection and prepare the statement that st executes.
func (s *Session) setupStatements(conn *dbpool.Conn, st *dbop.Statement) []dbop.Statement {
	setup := s.setup(st)
	return setup.Statements(conn)
}

// preparedText returns the text of the prepared statement with the given name at
// databases.
func (s *Session) preparedText(name string) string {
	for _, p := range s.prepared {
		if p.name == name {
			return p.text
		}
	}
	return ""
}

// allOK reports whether all answers are successes, and otherwise returns the first
// code that is not.
func allOK(answers []dbop.Answer) (dbop.Code, bool) {
	for i := range answers {
		if answers[i].Code != dbop.OK {
			return answers[i].Code, false
		}
	}
	return dbop.OK, true
}
