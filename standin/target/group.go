package target

import (
	"slices"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
	"chervilspan.example/standin/repl"
)

// status is the answer of chervil_status.
func (s *Server) status() topo.Status {
	f := s.faults.snapshot()
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
		Slots:       uint32(s.slots.size()),
		Connections: uint32(f.connections),
		Leaving:     f.leaving,
	}
}

// contactAge returns the time since the last replication contact with the
// primary, 0 at the primary itself, negative when there was none. The caller
// holds mu.
func (s *Server) contactAge() time.Duration {
	switch {
	case s.state.Role() == topo.RolePrimary:
		return 0
	case s.contact.IsZero():
		return -1
	}
	return time.Since(s.contact)
}

// raise is chervil_raise_term.
func (s *Server) raise(term ident.Term) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.state.Role()
	if err := s.state.RaiseTerm(term); err != nil {
		return err
	}
	s.leave(was)
	return s.saved()
}

// leave ends the open write of a primary that has lost its role. The caller
// holds mu.
func (s *Server) leave(was topo.Role) {
	if was == topo.RolePrimary {
		s.contact = time.Now()
		s.freshAt = s.majorityHeard()
		s.doom()
	}
}

// saved writes the promises. The caller holds mu.
func (s *Server) saved() error {
	err := s.disk.saveMeta(s.state.Durable)
	s.diskResult(err)
	s.wake()
	return err
}

// promote is chervil_promote. It returns the position of the term's first
// entry.
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
	s.heard = map[ident.Target]time.Time{}
	if err := s.disk.add([]repl.Entry{e}); err != nil {
		s.diskResult(err)
		return ident.Position{}, err
	}
	s.pending = append(s.pending, arrived{e, time.Now()})
	for len(s.pending) > 0 {
		s.applyNext()
	}
	if err := s.head.CopyFrom(s.data); err != nil {
		return ident.Position{}, err
	}
	evlog.At(s.cfg.Log, evlog.StandinPromoted).Str("target", string(s.cfg.ID)).Uint64("term", uint64(term)).Send()
	return e.Position(), s.saved()
}

// follow is chervil_follow.
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
	s.leave(was)
	s.marks = nil
	return s.saved()
}

func (s *Server) has(p ident.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Has(p)
}

// arrived is an entry of the log that waits to be applied.
type arrived struct {
	entry repl.Entry
	due   time.Time
}

// mark says that the primary's log ended at index at a time.
type mark struct {
	index uint64
	at    time.Time
}

// applyNext applies the first pending entry. The caller holds mu.
func (s *Server) applyNext() {
	e := s.pending[0].entry
	s.pending = s.pending[1:]
	if err := s.apply(&e); err != nil {
		evlog.At(s.cfg.Log, evlog.StandinApplyFailed).Str("target", string(s.cfg.ID)).Stringer("position", e.Position()).Err(err).Send()
		s.hide()
		s.pending = nil
		return
	}
	s.state.RecordApplied(e.Index)
	s.freshen(e.Index)
	s.showIfReady()
}

// apply runs an entry on the data that readers see. The caller holds mu.
func (s *Server) apply(e *repl.Entry) error {
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	if err := s.data.Begin(); err != nil {
		return err
	}
	for _, st := range e.Statements {
		if err := s.data.Exec(st.SQL, argValues(st.Args)); err != nil {
			_ = s.data.Rollback()
			return err
		}
	}
	if err := s.data.Commit(); err != nil {
		return err
	}
	s.applied = e.Position()
	for _, o := range e.IdempotencyRecords {
		s.once[o.Key] = o
	}
	return nil
}

// freshen takes note that entries up to index are applied. The caller holds mu.
func (s *Server) freshen(index uint64) {
	for len(s.marks) > 0 && s.marks[0].index <= index {
		s.freshAt = s.marks[0].at
		s.marks = s.marks[1:]
	}
}

// hide keeps readers off the data. The caller holds mu.
func (s *Server) hide() {
	s.dataMu.Lock()
	s.hidden = true
	s.dataMu.Unlock()
}

// showIfReady lets readers in when a rebuild is done. The caller holds mu.
func (s *Server) showIfReady() {
	if s.state.Role() == topo.RoleRebuild {
		return
	}
	s.dataMu.Lock()
	s.hidden = false
	s.dataMu.Unlock()
}

// rebuildData starts the data anew from the log. The caller holds mu.
func (s *Server) rebuildData() error {
	s.hide()
	s.dataMu.Lock()
	err := s.data.Reset()
	s.applied = ident.Position{}
	s.once = map[string]repl.IdempotencyRecord{}
	s.dataMu.Unlock()
	due := time.Now().Add(s.cfg.RebuildDelay)
	s.pending = s.pending[:0:0]
	for _, e := range s.state.Log {
		s.pending = append(s.pending, arrived{e, due})
	}
	s.marks, s.freshAt = nil, time.Time{}
	return err
}

// age returns how old the data may be; ok is false when that is unknown. The
// caller holds mu.
func (s *Server) age() (d time.Duration, ok bool) {
	at := s.freshAt
	if s.state.Role() == topo.RolePrimary {
		at = s.majorityHeard()
	}
	if at.IsZero() {
		return 0, false
	}
	return time.Since(at), true
}

// majorityHeard returns the latest time at which a majority still held the
// primary's term: until then nobody else can have committed. The caller holds
// mu.
func (s *Server) majorityHeard() time.Time {
	others := make([]time.Time, 0, len(s.state.Members))
	for _, m := range s.state.Members {
		if m.ID != s.cfg.ID {
			others = append(others, s.heard[m.ID])
		}
	}
	need := len(s.state.Members)/2 + 1 - 1
	if need == 0 {
		return time.Now()
	}
	if need > len(others) {
		return time.Time{}
	}
	slices.SortFunc(others, func(a, b time.Time) int { return b.Compare(a) })
	return others[need-1]
}

// primaryQuorum returns the quorum position at the primary, the zero position
// elsewhere. The caller holds mu.
func (s *Server) primaryQuorum() ident.Position {
	if s.state.Role() != topo.RolePrimary {
		return ident.Position{}
	}
	return s.state.Quorum()
}
