package dbpool

import (
	"errors"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/roster"
)

// SetupTimeout bounds the wait for the answers to statements that take no slot, such as
// those that set up a connection. It exceeds a round trip between regions.
const SetupTimeout = 400 * time.Millisecond

// Setup is the session state that a statement needs.
type Setup struct {
	Vars map[string]string
	// Prepare, unless it is the zero value, is the prepared statement that the statement
	// executes.
	Prepare dbop.Statement
}

// Statements returns the statements that bring the needed state about on a connection.
func (s *Setup) Statements(conn *Conn) []dbop.Statement {
	var out []dbop.Statement
	vars, names := conn.Vars, conn.Prepared
	for name := range vars {
		if _, ok := s.Vars[name]; !ok {
			out = append(out, dbop.Statement{Kind: dbop.Reset})
			vars, names = nil, nil
			break
		}
	}
	for name, value := range s.Vars {
		if have, ok := vars[name]; !ok || have != value {
			out = append(out, dbop.Statement{Kind: dbop.Set, Name: name, Arg: value})
		}
	}
	if s.Prepare.Kind == dbop.Prepare && !names[s.Prepare.Name] {
		out = append(out, s.Prepare)
	}
	return out
}

// Read is a read outside a transaction that another VM runs as a whole.
type Read struct {
	Setup     Setup
	Statement dbop.Statement
	// ConnDeadline bounds the wait for a connection, Limit the read after that, and
	// Deadline both together.
	ConnDeadline time.Time
	Limit        time.Duration
	Deadline     time.Time
}

// ReadResult is what is known of a Read.
type ReadResult struct {
	// Err, unless nil, tells why there was no connection.
	Err error
	// Setup is the code of the refusal when the connection could not be set up.
	Setup dbop.Code
	// Answered is set when Answer is the database's answer to the read.
	Answered bool
	Answer   dbop.Answer
	// MayHaveRun is set when a read that was sent got no answer.
	MayHaveRun bool
}

// Reader is a Lender that runs single reads at the lending VM.
type Reader interface {
	// Read runs a read. ok is false when no VM that lends connections can run it; it has
	// not run then unless the result says so.
	Read(m *roster.Member, req *Request, r *Read) (res ReadResult, ok bool)
}

// recordRemoteRead learns from the result of a read that had a connection.
func (s *Pools) recordRemoteRead(m *roster.Member, r *ReadResult) {
	if r.Setup != dbop.OK {
		return
	}
	failed := !r.Answered || r.Answer.Code == dbop.Failed || r.Answer.Code == dbop.Timeout
	s.recordRemoteResult(m.ID, failed, time.Now())
}

// ReadRemotely runs a read at a VM that lends its connections, in one round trip. ok is
// false when a connection is needed instead.
func (s *Pools) ReadRemotely(m *roster.Member, req *Request, r *Read) (res ReadResult, ok bool) {
	reader, ok := s.Lender.(Reader)
	if !ok {
		return res, false
	}
	if res, ok = reader.Read(m, req, r); !ok {
		return res, false
	}
	var e *Error
	switch {
	case errors.As(res.Err, &e) && e.Kind == KindUnreachable:
		s.Roster.RecordFailure(m.Group, m.ID, time.Now())
	case res.Err == nil:
		s.Roster.RecordAnswer(m.Group, m.ID)
		s.recordRemoteRead(m, &res)
	}
	return res, true
}
