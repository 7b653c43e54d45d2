package repl

import (
	"cmp"
	"slices"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// State is the log and term of one target. The zero State with Self set is an
// empty replica that promised nothing. Methods must not be called
// concurrently.
type State struct {
	Self ident.Target
	Durable
	// Log holds the entry of index i at i-1.
	Log []Entry

	matched    map[ident.Target]uint64
	quorum     ident.Position
	matchTerm  ident.Term
	superseded bool
	rebuild    bool
	probing    bool
	probe      uint64
	goal       uint64
}

// Role returns the role in the promised term. A primary whose term has been
// superseded is a replica.
func (s *State) Role() topo.Role {
	switch {
	case s.isPrimary():
		return topo.RolePrimary
	case s.rebuild:
		return topo.RoleRebuild
	}
	return topo.RoleReplica
}

func (s *State) isPrimary() bool {
	return s.PrimaryTerm != 0 && s.PrimaryTerm == s.PromisedTerm && s.Primary == s.Self
}

// Superseded reports whether the target was the primary of a lower term than
// the promised one and has not been told to follow another since.
func (s *State) Superseded() bool { return s.superseded }

// LastPosition returns the position of the last entry.
func (s *State) LastPosition() ident.Position { return s.at(uint64(len(s.Log))) }

// Quorum returns the highest position that is known to be held by a majority.
func (s *State) Quorum() ident.Position { return s.quorum }

// MatchTerm returns the term in which the log was last found equal to the
// primary's.
func (s *State) MatchTerm() ident.Term { return s.matchTerm }

// Has reports whether the log holds the entry p.
func (s *State) Has(p ident.Position) bool {
	return p.Index > 0 && p.Index <= uint64(len(s.Log)) && s.at(p.Index) == p
}

func (s *State) at(index uint64) ident.Position {
	if index == 0 {
		return ident.Position{}
	}
	return s.Log[index-1].Position()
}

// RaiseTerm promises term. It fails with KindTerm unless term is higher than every
// earlier promise.
func (s *State) RaiseTerm(term ident.Term) error {
	if term <= s.PromisedTerm {
		return fail("raise", KindTerm, "the promised term is not lower")
	}
	s.promise(term)
	return nil
}

// promise leaves the role of the former term.
func (s *State) promise(term ident.Term) {
	s.superseded = s.superseded || s.isPrimary()
	s.PromisedTerm = term
	s.matched = nil
	s.Primary, s.PrimaryAddress = "", ""
	s.probing, s.goal = false, 0
}

// Promote makes the target the primary of term and appends the term's first
// entry. It fails with KindTerm unless term is the promised one and has not
// been given to a primary.
func (s *State) Promote(term ident.Term, members []Member) (Entry, error) {
	if term == 0 || term != s.PromisedTerm {
		return Entry{}, fail("promote", KindTerm, "the term is not the promised one")
	}
	if s.PrimaryTerm >= term {
		return Entry{}, fail("promote", KindTerm, "the term has been given away")
	}
	self := slices.IndexFunc(members, func(m Member) bool { return m.ID == s.Self })
	if self < 0 {
		return Entry{}, fail("promote", KindMembership, "the members lack the target itself")
	}
	s.PrimaryTerm = term
	s.Primary, s.PrimaryAddress = s.Self, members[self].Address
	s.Members = slices.Clone(members)
	s.matched = make(map[ident.Target]uint64)
	s.matchTerm = term
	s.superseded, s.rebuild, s.probing = false, false, false
	return s.Append(nil, nil)
}

// Follow makes the target a follower of primary in term. It fails with
// KindTerm when term is below the promised one or given to another target.
func (s *State) Follow(term ident.Term, primary ident.Target, address string) error {
	if term == 0 || term < s.PromisedTerm {
		return fail("follow", KindTerm, "the promised term is higher")
	}
	if primary == s.Self {
		return fail("follow", KindMembership, "a target does not follow itself")
	}
	if term == s.PrimaryTerm && s.Primary != primary {
		return fail("follow", KindTerm, "the term has been given to another target")
	}
	if term > s.PromisedTerm {
		s.promise(term)
	}
	s.PrimaryTerm = term
	s.Primary, s.PrimaryAddress = primary, address
	s.superseded = false
	return nil
}

// Append adds a transaction to the primary's log. It fails with KindTerm on a
// superseded primary and with KindRole on a replica.
func (s *State) Append(statements []Statement, once []IdempotencyRecord) (Entry, error) {
	if !s.isPrimary() {
		if s.superseded {
			return Entry{}, fail("append", KindTerm, "the primary's term is superseded")
		}
		return Entry{}, fail("append", KindNotPrimary, "the target is not the primary")
	}
	e := Entry{Term: s.PromisedTerm, Index: uint64(len(s.Log)) + 1, Statements: statements, IdempotencyRecords: once}
	s.Log = append(s.Log, e)
	s.count()
	return e, nil
}

// count advances the quorum position. Only an entry of the primary's own term
// counts: an older one may be held by a majority and still be replaced.
func (s *State) count() {
	held := make([]uint64, 0, len(s.Members))
	for _, m := range s.Members {
		if m.ID == s.Self {
			held = append(held, uint64(len(s.Log)))
		} else {
			held = append(held, s.matched[m.ID])
		}
	}
	slices.SortFunc(held, func(a, b uint64) int { return cmp.Compare(b, a) })
	p := s.at(held[len(held)/2])
	if p.Term == s.PromisedTerm {
		s.quorum = s.quorum.Max(p)
	}
}

// Resume takes up the role of the durable state after a restart.
func (s *State) Resume() {
	if s.isPrimary() {
		s.matched = make(map[ident.Target]uint64)
		s.matchTerm = s.PromisedTerm
		s.count()
	}
}
