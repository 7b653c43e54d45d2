package target

import (
	"slices"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
	"chervilspan.example/standin/repl"
)

// status implements chervil_status.
func (s *Server) status() topo.Status {
	f := s.faults.values()
	s.mu.Lock()
	defer s.mu.Unlock()
	return topo.Status{
		Target:      s.cfg.ID,
		Term:        s.state.PromisedTerm,
		Role:        s.state.Role(),
		Log:         s.state.LastPosition(),
		MatchTerm:   s.state.MatchTerm(),
		Quorum:      s.state.Quorum(),
		Primary:     s.state.Primary,
		ContactAge:  s.contactAge(),
		Slots:       uint32(s.slots.currentLimit()),
		Connections: uint32(f.connLimit),
		Leaving:     f.leaving,
	}
}

// contactAge returns the time since the last replication contact with the
// primary: 0 at the primary itself, and negative if there was no contact. The
// caller holds mu.
func (s *Server) contactAge() time.Duration {
	switch {
	case s.state.Role() == topo.RolePrimary:
		return 0
	case s.lastContact.IsZero():
		return -1
	}
	return time.Since(s.lastContact)
}

// raiseTerm implements chervil_raise_term.
func (s *Server) raiseTerm(term ident.Term) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.state.Role()
	if err := s.state.RaiseTerm(term); err != nil {
		return err
	}
	s.leavePrimaryRole(was)
	return s.saveDurable()
}

// leavePrimaryRole rolls back the open write if the former role was primary, and
// initialises the ages that a replica reports. The caller holds mu.
func (s *Server) leavePrimaryRole(was topo.Role) {
	if was == topo.RolePrimary {
		s.lastContact = time.Now()
		s.dataAsOf = s.majorityContact()
		s.rollbackOpenWrite()
	}
}

// saveDurable writes the promised term and the known primary to disk and
// notifies waiters. The caller holds mu.
func (s *Server) saveDurable() error {
	err := s.disk.saveMeta(s.state.Durable)
	s.stopOnStorageError(err)
	s.notifyChange()
	return err
}

// promote implements chervil_promote. It returns the position of the term's
// first entry.
func (s *Server) promote(term ident.Term, members []repl.Member) (ident.Position, error) {
	if len(members) == 0 {
		members = s.cfg.Members
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, err := s.state.Promote(term, members)
	if err != nil {
		return ident.Position{}, err
	}
	s.lastPull = map[ident.Target]time.Time{}
	if err := s.disk.appendEntries([]repl.Entry{e}); err != nil {
		s.stopOnStorageError(err)
		return ident.Position{}, err
	}
	s.unapplied = append(s.unapplied, unappliedEntry{e, time.Now()})
	for len(s.unapplied) > 0 {
		s.applyNext()
	}
	if err := s.head.CopyFrom(s.data); err != nil {
		return ident.Position{}, err
	}
	evlog.At(s.cfg.Log, evlog.StandinPromoted).Str("target", string(s.cfg.ID)).Uint64("term", uint64(term)).Send()
	return e.Position(), s.saveDurable()
}

// follow implements chervil_follow.
func (s *Server) follow(term ident.Term, primary ident.Target, address string) error {
	if address == "" {
		address = s.cfg.addressOf(primary)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.state.Role()
	if err := s.state.Follow(term, primary, address); err != nil {
		return err
	}
	s.leavePrimaryRole(was)
	s.endMarks = nil
	return s.saveDurable()
}

// has implements chervil_has.
func (s *Server) has(p ident.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Has(p)
}

// unappliedEntry is a log entry that is applied to the data when it is due.
type unappliedEntry struct {
	entry repl.Entry
	due   time.Time
}

// endMark records that the primary's log ended at index at the given time.
type endMark struct {
	index uint64
	at    time.Time
}

// applyNext applies the first unapplied entry. If that fails, reads are blocked,
// because the data no longer follows the log. The caller holds mu.
func (s *Server) applyNext() {
	e := s.unapplied[0].entry
	s.unapplied = s.unapplied[1:]
	if err := s.apply(&e); err != nil {
		evlog.At(s.cfg.Log, evlog.StandinApplyFailed).Str("target", string(s.cfg.ID)).Stringer("position", e.Position()).Err(err).Send()
		s.blockReads()
		s.unapplied = nil
		return
	}
	s.state.RecordApplied(e.Index)
	s.advanceDataAge(e.Index)
	s.allowReadsIfRebuilt()
}

// apply runs an entry on the data that reads use. The caller holds mu.
func (s *Server) apply(e *repl.Entry) error {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	if err := s.data.Begin(); err != nil {
		return err
	}
	for _, st := range e.Statements {
		if err := s.data.ExecSQLite(st.SQL, argValues(st.Args)); err != nil {
			_ = s.data.Rollback()
			return err
		}
	}
	if err := s.data.Commit(); err != nil {
		return err
	}
	s.applied = e.Position()
	for _, o := range e.IdempotencyRecords {
		s.committedKeys[o.Key] = o
	}
	return nil
}

// advanceDataAge records that the entries up to index are applied: the data is
// as new as the primary's log was at the last mark up to index. The caller
// holds mu.
func (s *Server) advanceDataAge(index uint64) {
	for len(s.endMarks) > 0 && s.endMarks[0].index <= index {
		s.dataAsOf = s.endMarks[0].at
		s.endMarks = s.endMarks[1:]
	}
}

// blockReads makes reads fail until allowReadsIfRebuilt. The caller holds mu.
func (s *Server) blockReads() {
	s.dataMu.Lock()
	s.readsBlocked = true
	s.dataMu.Unlock()
}

// allowReadsIfRebuilt allows reads unless a rebuild is in progress. The caller
// holds mu.
func (s *Server) allowReadsIfRebuilt() {
	if s.state.Role() == topo.RoleRebuild {
		return
	}
	s.dataMu.Lock()
	s.readsBlocked = false
	s.dataMu.Unlock()
}

// resetData empties the data and queues the whole log to be applied after
// Config.RebuildDelay. The caller holds mu.
func (s *Server) resetData() error {
	s.blockReads()
	s.dataMu.Lock()
	err := s.data.Reset()
	s.applied = ident.Position{}
	s.committedKeys = map[string]repl.IdempotencyRecord{}
	s.dataMu.Unlock()
	due := time.Now().Add(s.cfg.RebuildDelay)
	s.unapplied = s.unapplied[:0:0]
	for _, e := range s.state.Log {
		s.unapplied = append(s.unapplied, unappliedEntry{e, due})
	}
	s.endMarks, s.dataAsOf = nil, time.Time{}
	return err
}

// dataAge returns an upper bound on the age of the data; ok is false when none
// is known. The caller holds mu.
func (s *Server) dataAge() (d time.Duration, ok bool) {
	at := s.dataAsOf
	if s.state.Role() == topo.RolePrimary {
		at = s.majorityContact()
	}
	if at.IsZero() {
		return 0, false
	}
	return time.Since(at), true
}

// majorityContact returns the latest time at which a majority, the primary
// included, still followed the primary's term. No other target can have
// committed before that time. The caller holds mu.
func (s *Server) majorityContact() time.Time {
	others := make([]time.Time, 0, len(s.state.Members))
	for _, m := range s.state.Members {
		if m.ID != s.cfg.ID {
			others = append(others, s.lastPull[m.ID])
		}
	}
	need := len(s.state.Members)/2 + 1 - 1 // a majority without the primary itself
	if need == 0 {
		return time.Now()
	}
	if need > len(others) {
		return time.Time{}
	}
	slices.SortFunc(others, func(a, b time.Time) int { return b.Compare(a) })
	return others[need-1]
}

// primaryQuorum returns the quorum position if the target is the primary, and
// the zero position otherwise. The caller holds mu.
func (s *Server) primaryQuorum() ident.Position {
	if s.state.Role() != topo.RolePrimary {
		return ident.Position{}
	}
	return s.state.Quorum()
}
