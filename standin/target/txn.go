package target

import (
	"context"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
	"chervilspan.example/standin/repl"
	"chervilspan.example/standin/sqldb"
)

// txn is a transaction that writes or records an idempotency key. Its fields
// are guarded by Server.mu.
type txn struct {
	term       ident.Term
	statements []repl.Statement
	once       []repl.IdempotencyRecord
	// writing is set while the transaction holds the writer's place.
	writing bool
	// doomed is set when the primary lost its role meanwhile.
	doomed bool
}

// limits are the session variables of assumption A7.
type limits struct {
	floor  ident.Position
	maxAge time.Duration
}

// check refuses a statement that this target may not run now.
func (s *Server) check(class sqldb.Class, l limits) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if class == sqldb.ClassWrite {
		if err := s.writable(); err != nil {
			return err
		}
	} else if s.state.Role() == topo.RoleRebuild {
		return refuse(codeRebuild, "the database is being rebuilt")
	}
	if l.maxAge > 0 {
		if age, ok := s.age(); !ok || age > l.maxAge {
			return refuse(codeAge, "the data may be older than chervil.max_age_ms")
		}
	}
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	return s.readable(l)
}

// readable refuses while the data is hidden or behind the floor. The caller
// holds dataMu.
func (s *Server) readable(l limits) error {
	if s.hidden {
		return refuse(codeRebuild, "the database is being rebuilt")
	}
	if s.applied.Less(l.floor) {
		return refuse(codeFloor, "the applied position "+s.applied.String()+" is below chervil.floor "+l.floor.String())
	}
	return nil
}

// writable refuses unless the target is the primary. The caller holds mu.
func (s *Server) writable() error {
	if s.state.Role() == topo.RolePrimary {
		return nil
	}
	if s.state.Superseded() {
		return refuse(codeTerm, "the primary's term is superseded")
	}
	return refuse(codeReadOnly, "cannot execute a write in a read-only transaction of a replica")
}

// read runs a read on the applied rows and returns their position.
func (s *Server) read(st *sqldb.Statement, args []any, l limits) (sqldb.Result, ident.Position, error) {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	if err := s.readable(l); err != nil {
		return sqldb.Result{}, ident.Position{}, err
	}
	r, err := s.data.Run(st, args)
	return r, s.applied, err
}

// begin gives t the writer's place; it waits while another transaction has it.
func (s *Server) begin(ctx context.Context, t *txn) error {
	s.mu.Lock()
	held := t.writing
	s.mu.Unlock()
	if held {
		return nil
	}
	select {
	case s.write <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.joinable(t)
	if err == nil {
		err = s.head.Begin()
	}
	if err != nil {
		<-s.write
		return err
	}
	t.writing, s.writer = true, t
	return nil
}

// joinable binds t to the primary's term, and refuses when that is another one
// by now. The caller holds mu.
func (s *Server) joinable(t *txn) error {
	if err := s.writable(); err != nil {
		return err
	}
	if t.doomed || t.term != 0 && t.term != s.state.PromisedTerm {
		return refuse(codeTerm, "the primary's term is superseded")
	}
	t.term = s.state.PromisedTerm
	return nil
}

// inTxn runs a statement on the rows as the writing transaction t sees them.
func (s *Server) inTxn(st *sqldb.Statement, args []any, t *txn, l limits) (sqldb.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.joinable(t); err != nil {
		return sqldb.Result{}, err
	}
	s.dataMu.Lock()
	err := s.readable(l)
	s.dataMu.Unlock()
	if err != nil {
		return sqldb.Result{}, err
	}
	r, err := s.head.Run(st, args)
	if err == nil && st.Class == sqldb.ClassWrite {
		t.statements = append(t.statements, repl.Statement{SQL: st.SQL, Args: logArgs(args)})
	}
	return r, err
}

// commit appends the transaction to the log. It returns the zero position when
// there was nothing to commit. After an error the transaction is rolled back.
func (s *Server) commit(t *txn) (ident.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.writing && !t.doomed && len(t.once) == 0 {
		return ident.Position{}, nil
	}
	if err := s.joinable(t); err != nil {
		s.abandon(t)
		return ident.Position{}, err
	}
	e, err := s.state.Append(t.statements, t.once)
	if err != nil {
		s.abandon(t)
		return ident.Position{}, err
	}
	if err := s.disk.add([]repl.Entry{e}); err != nil {
		s.diskResult(err)
		return ident.Position{}, err
	}
	if t.writing {
		if err := s.head.Commit(); err != nil {
			s.diskResult(err)
			return ident.Position{}, err
		}
	}
	s.pending = append(s.pending, arrived{e, time.Now()})
	s.applyNext()
	s.finish(t)
	s.wake()
	return e.Position(), nil
}

// rollback ends t without a trace.
func (s *Server) rollback(t *txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandon(t)
}

// abandon is rollback for callers that hold mu.
func (s *Server) abandon(t *txn) {
	if t.writing {
		_ = s.head.Rollback()
	}
	s.finish(t)
}

// finish frees what t holds. The caller holds mu.
func (s *Server) finish(t *txn) {
	if t.writing {
		t.writing = false
		s.writer = nil
		<-s.write
	}
	for _, o := range t.once {
		if s.keys[o.Key] == t {
			delete(s.keys, o.Key)
		}
	}
	if len(t.once) > 0 {
		s.wake()
	}
	t.statements, t.once = nil, nil
}

// doom rolls back the open write. The caller holds mu.
func (s *Server) doom() {
	if t := s.writer; t != nil {
		t.doomed = true
		s.abandon(t)
	}
}

// record is chervil_once: it returns the tag under which key is already
// committed, nil when t records it now. It waits while another open
// transaction holds the key.
func (s *Server) record(ctx context.Context, t *txn, o repl.IdempotencyRecord) (any, error) {
	for {
		s.mu.Lock()
		changed := s.changed
		tag, wait, err := s.recordNow(t, o)
		s.mu.Unlock()
		if !wait {
			return tag, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Server) recordNow(t *txn, o repl.IdempotencyRecord) (tag any, wait bool, err error) {
	if err := s.joinable(t); err != nil {
		return nil, false, err
	}
	s.dataMu.Lock()
	done, found := s.once[o.Key]
	s.dataMu.Unlock()
	if found {
		if done.Fingerprint != o.Fingerprint {
			return nil, false, refuse(codeFingerprint, "the idempotency key was used for another request")
		}
		return done.Tag, false, nil
	}
	switch holder := s.keys[o.Key]; holder {
	case nil:
		s.keys[o.Key] = t
		t.once = append(t.once, o)
	case t:
		for i := range t.once {
			if t.once[i].Key == o.Key {
				t.once[i] = o
			}
		}
	default:
		return nil, true, nil
	}
	return nil, false, nil
}

func logArgs(args []any) []repl.Arg {
	out := make([]repl.Arg, len(args))
	for i, a := range args {
		switch a := a.(type) {
		case int64:
			out[i].Int = &a
		case float64:
			out[i].Float = &a
		case string:
			out[i].Text = &a
		case bool:
			out[i].Bool = &a
		case []byte:
			out[i].Bytes = a
		}
	}
	return out
}

func argValues(args []repl.Arg) []any {
	out := make([]any, len(args))
	for i, a := range args {
		switch {
		case a.Int != nil:
			out[i] = *a.Int
		case a.Float != nil:
			out[i] = *a.Float
		case a.Text != nil:
			out[i] = *a.Text
		case a.Bool != nil:
			out[i] = *a.Bool
		case a.Bytes != nil:
			out[i] = a.Bytes
		}
	}
	return out
}
