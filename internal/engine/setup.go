package engine

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
)

// verifyAfter is how long a connection may have been quiet before a write is
// sent on it without a look whether it still answers: a write on a connection
// that has gone silent has an unknown outcome.
const verifyAfter = time.Second

// setup returns the statements that give a connection the session's variables
// and the prepared statement that st needs.
func (s *Session) setup(conn *dbpool.Conn, st *dbop.Statement) []dbop.Statement {
	var out []dbop.Statement
	vars, names := conn.Vars, conn.Names
	for name := range vars {
		if _, ok := s.vars[name]; !ok {
			out = append(out, dbop.Statement{Kind: dbop.Reset})
			vars, names = nil, nil
			break
		}
	}
	for name, value := range s.vars {
		if have, ok := vars[name]; !ok || have != value {
			out = append(out, dbop.Statement{Kind: dbop.Set, Name: name, Arg: value})
		}
	}
	if st.Kind == dbop.Execute && !names[st.Name] {
		out = append(out, dbop.Statement{Kind: dbop.Prepare, Name: st.Name, Writes: st.Writes, Arg: s.shape(st.Name)})
	}
	return out
}

// shape returns the shape of a prepared statement by its name at databases.
func (s *Session) shape(name string) string {
	for _, p := range s.names {
		if p.name == name {
			return p.shape
		}
	}
	return ""
}

// allOK reports whether all answers are successes, and returns the first code
// that is not.
func allOK(answers []dbop.Answer) (dbop.Code, bool) {
	for i := range answers {
		if answers[i].Code != dbop.OK {
			return answers[i].Code, false
		}
	}
	return dbop.OK, true
}
