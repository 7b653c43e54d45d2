package target

import (
	"context"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
	"chervilspan.example/standin/repl"
	"chervilspan.example/standin/sqldb"
)

// txn is an open transaction that writes or records an idempotency key. Its
// fields are guarded by Server.mu.
type txn struct {
	term       ident.Term
	statements []repl.Statement
	ownKeys    []repl.IdempotencyRecord
	// holdsWriteLock is set while the transaction holds Server.writeLock.
	holdsWriteLock bool
	// superseded is set when the target lost the primary role while the
	// transaction was writing; it can no longer commit.
	superseded bool
}

// readBounds holds the session variables chervil.floor and chervil.max_age_ms
// (assumption A7 of the design), which bound how old the data of a read may be.
type readBounds struct {
	floor  ident.Position
	maxAge time.Duration
}

// checkAllowed returns an error if the target may not run a statement of this
// class in its present role and with its present data.
func (s *Server) checkAllowed(class sqldb.Class, b readBounds) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if class == sqldb.ClassWrite {
		if err := s.checkWritable(); err != nil {
			return err
		}
	} else if s.state.Role() == topo.RoleRebuild {
		return notRunError(codeRebuilding, "the database is being rebuilt")
	}
	if b.maxAge > 0 {
		if age, ok := s.dataAge(); !ok || age > b.maxAge {
			return notRunError(codeTooOld, "the data may be older than chervil.max_age_ms")
		}
	}
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	return s.checkReadable(b)
}

// checkReadable returns an error while reads are blocked or the applied position
// is below the floor. The caller holds dataMu.
func (s *Server) checkReadable(b readBounds) error {
	if s.readsBlocked {
		return notRunError(codeRebuilding, "the database is being rebuilt")
	}
	if s.applied.Less(b.floor) {
		return notRunError(codeBelowFloor, "the applied position "+s.applied.String()+" is below chervil.floor "+b.floor.String())
	}
	return nil
}

// checkWritable returns an error unless the target is the primary. The caller
// holds mu.
func (s *Server) checkWritable() error {
	if s.state.Role() == topo.RolePrimary {
		return nil
	}
	if s.state.Superseded() {
		return notRunError(codeSuperseded, "the primary's term is superseded")
	}
	return notRunError(codeReadOnly, "cannot execute a write in a read-only transaction of a replica")
}

// read runs a read on the committed and applied data, and returns the applied
// position as well.
func (s *Server) read(st *sqldb.Statement, args []any, b readBounds) (sqldb.Result, ident.Position, error) {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	if err := s.checkReadable(b); err != nil {
		return sqldb.Result{}, ident.Position{}, err
	}
	r, err := s.data.Run(st, args)
	return r, s.applied, err
}

// acquireWriteLock gives t the write lock; it waits while another transaction
// holds the lock.
func (s *Server) acquireWriteLock(ctx context.Context, t *txn) error {
	s.mu.Lock()
	held := t.holdsWriteLock
	s.mu.Unlock()
	if held {
		return nil
	}
	select {
	case s.writeLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.bindToTerm(t)
	if err == nil {
		err = s.head.Begin()
	}
	if err != nil {
		<-s.writeLock
		return err
	}
	t.holdsWriteLock, s.writer = true, t
	return nil
}

// bindToTerm binds t to the primary's present term at its first use, and returns
// an error if the term has changed since. The caller holds mu.
func (s *Server) bindToTerm(t *txn) error {
	if err := s.checkWritable(); err != nil {
		return err
	}
	if t.superseded || t.term != 0 && t.term != s.state.PromisedTerm {
		return notRunError(codeSuperseded, "the primary's term is superseded")
	}
	t.term = s.state.PromisedTerm
	return nil
}

// runInTxn runs a statement on the data as seen by the writing transaction t.
func (s *Server) runInTxn(st *sqldb.Statement, args []any, t *txn, b readBounds) (sqldb.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.bindToTerm(t); err != nil {
		return sqldb.Result{}, err
	}
	s.dataMu.Lock()
	err := s.checkReadable(b)
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
// there is nothing to commit. The transaction is rolled back when the log does
// not accept it. An error of the disk or of the head database stops the target.
func (s *Server) commit(t *txn) (ident.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.holdsWriteLock && !t.superseded && len(t.ownKeys) == 0 {
		return ident.Position{}, nil
	}
	if err := s.bindToTerm(t); err != nil {
		s.rollbackLocked(t)
		return ident.Position{}, err
	}
	e, err := s.state.Append(t.statements, t.ownKeys)
	if err != nil {
		s.rollbackLocked(t)
		return ident.Position{}, err
	}
	if err := s.disk.appendEntries([]repl.Entry{e}); err != nil {
		s.stopOnStorageError(err)
		return ident.Position{}, err
	}
	if t.holdsWriteLock {
		if err := s.head.Commit(); err != nil {
			s.stopOnStorageError(err)
			return ident.Position{}, err
		}
	}
	s.unapplied = append(s.unapplied, unappliedEntry{e, time.Now()})
	s.applyNext()
	s.releaseTxn(t)
	s.notifyChange()
	return e.Position(), nil
}

// rollback discards t and releases what it holds.
func (s *Server) rollback(t *txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollbackLocked(t)
}

// rollbackLocked is rollback for callers that hold mu.
func (s *Server) rollbackLocked(t *txn) {
	if t.holdsWriteLock {
		_ = s.head.Rollback()
	}
	s.releaseTxn(t)
}

// releaseTxn releases the write lock and the idempotency keys of t. The caller
// holds mu.
func (s *Server) releaseTxn(t *txn) {
	if t.holdsWriteLock {
		t.holdsWriteLock = false
		s.writer = nil
		<-s.writeLock
	}
	for _, o := range t.ownKeys {
		if s.openKeys[o.Key] == t {
			delete(s.openKeys, o.Key)
		}
	}
	if len(t.ownKeys) > 0 {
		s.notifyChange()
	}
	t.statements, t.ownKeys = nil, nil
}

// rollbackOpenWrite rolls back the transaction that holds the write lock and
// marks it as superseded. The caller holds mu.
func (s *Server) rollbackOpenWrite() {
	if t := s.writer; t != nil {
		t.superseded = true
		s.rollbackLocked(t)
	}
}

// recordIdempotency implements chervil_once. It returns the command tag stored
// with a key that is already committed, and nil when t records the key now. It
// waits while another open transaction holds the key.
func (s *Server) recordIdempotency(ctx context.Context, t *txn, o repl.IdempotencyRecord) (any, error) {
	for {
		s.mu.Lock()
		changed := s.stateChanged
		tag, wait, err := s.tryRecordIdempotency(t, o)
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

// tryRecordIdempotency is one attempt of recordIdempotency; wait is set when
// another open transaction holds the key. The caller holds mu.
func (s *Server) tryRecordIdempotency(t *txn, o repl.IdempotencyRecord) (tag any, wait bool, err error) {
	if err := s.bindToTerm(t); err != nil {
		return nil, false, err
	}
	s.dataMu.Lock()
	done, found := s.committedKeys[o.Key]
	s.dataMu.Unlock()
	if found {
		if done.Fingerprint != o.Fingerprint {
			return nil, false, notRunError(codeFingerprint, "the idempotency key was used for another request")
		}
		return done.Tag, false, nil
	}
	switch holder := s.openKeys[o.Key]; holder {
	case nil:
		s.openKeys[o.Key] = t
		t.ownKeys = append(t.ownKeys, o)
	case t:
		for i := range t.ownKeys {
			if t.ownKeys[i].Key == o.Key {
				t.ownKeys[i] = o
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
