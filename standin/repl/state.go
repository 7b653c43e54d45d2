package repl

import (
	"cmp"
	"slices"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// State holds the log and the term of one target. The zero State with Self set
// is a replica with an empty log that has promised no term. It is not safe for
// concurrent use.
type State struct {
	Self ident.Target
	Durable
	// Log holds the entry with index i at Log[i-1].
	Log []Entry

	// matchedIndex holds, at the primary, the highest index up to which each
	// follower has confirmed that its log equals the primary's.
	matchedIndex map[ident.Target]uint64
	quorum       ident.Position
	matchTerm    ident.Term
	superseded   bool
	// rebuilding is set at a follower from the first mismatch of the logs until
	// its data contains the entries up to rebuildEnd, the end of the primary's
	// log when a common entry was found. rebuildEnd is 0 until then.
	rebuilding bool
	// probing is set while a follower searches for the last common entry.
	// probeIndex is the index that its next pull compares.
	probing    bool
	probeIndex uint64
	rebuildEnd uint64
}

// Role returns the role in the promised term. A primary whose term has been
// superseded is a replica.
func (s *State) Role() topo.Role {
	switch {
	case s.isPrimary():
		return topo.RolePrimary
	case s.rebuilding:
		return topo.RoleRebuild
	}
	return topo.RoleReplica
}

func (s *State) isPrimary() bool {
	return s.PrimaryTerm != 0 && s.PrimaryTerm == s.PromisedTerm && s.Primary == s.Self
}

// Superseded reports whether the target was the primary of a term below the
// promised one and has been neither promoted nor told to follow another target
// since.
func (s *State) Superseded() bool { return s.superseded }

// LastPosition returns the position of the last entry.
func (s *State) LastPosition() ident.Position { return s.positionAt(uint64(len(s.Log))) }

// Quorum returns the highest position known to be replicated on a majority.
func (s *State) Quorum() ident.Position { return s.quorum }

// MatchTerm returns the latest term in which the log was found to match the
// primary's.
func (s *State) MatchTerm() ident.Term { return s.matchTerm }

// Has reports whether the log contains an entry at position p.
func (s *State) Has(p ident.Position) bool {
	return p.Index > 0 && p.Index <= uint64(len(s.Log)) && s.positionAt(p.Index) == p
}

func (s *State) positionAt(index uint64) ident.Position {
	if index == 0 {
		return ident.Position{}
	}
	return s.Log[index-1].Position()
}

// RaiseTerm promises term. It fails with KindTerm unless term is above the
// promised term.
func (s *State) RaiseTerm(term ident.Term) error {
	if term <= s.PromisedTerm {
		return newError("raise", KindTerm, "the promised term is not lower")
	}
	s.adoptTerm(term)
	return nil
}

// adoptTerm sets the promised term and clears the role of the former term.
func (s *State) adoptTerm(term ident.Term) {
	s.superseded = s.superseded || s.isPrimary()
	s.PromisedTerm = term
	s.matchedIndex = nil
	s.Primary, s.PrimaryAddress = "", ""
	s.probing, s.rebuildEnd = false, 0
}

// Promote makes the target the primary of term and appends the term's first
// entry. It fails with KindTerm unless term is the promised one and no primary
// of it is known, and with KindMembership when members lack the target.
func (s *State) Promote(term ident.Term, members []Member) (Entry, error) {
	if term == 0 || term != s.PromisedTerm {
		return Entry{}, newError("promote", KindTerm, "the term is not the promised one")
	}
	if s.PrimaryTerm >= term {
		return Entry{}, newError("promote", KindTerm, "the term has been given away")
	}
	self := slices.IndexFunc(members, func(m Member) bool { return m.ID == s.Self })
	if self < 0 {
		return Entry{}, newError("promote", KindMembership, "the members lack the target itself")
	}
	s.PrimaryTerm = term
	s.Primary, s.PrimaryAddress = s.Self, members[self].Address
	s.Members = slices.Clone(members)
	s.matchedIndex = make(map[ident.Target]uint64)
	s.matchTerm = term
	s.superseded, s.rebuilding, s.probing = false, false, false
	return s.Append(nil, nil)
}

// Follow makes the target a follower of primary in term. It fails with KindTerm
// when term is below the promised one or has another primary, and with
// KindMembership when primary is the target itself.
func (s *State) Follow(term ident.Term, primary ident.Target, address string) error {
	if term == 0 || term < s.PromisedTerm {
		return newError("follow", KindTerm, "the promised term is higher")
	}
	if primary == s.Self {
		return newError("follow", KindMembership, "a target does not follow itself")
	}
	if term == s.PrimaryTerm && s.Primary != primary {
		return newError("follow", KindTerm, "the term has been given to another target")
	}
	if term > s.PromisedTerm {
		s.adoptTerm(term)
	}
	s.PrimaryTerm = term
	s.Primary, s.PrimaryAddress = primary, address
	s.superseded = false
	return nil
}

// Append adds a transaction to the primary's log. It fails with KindTerm on a
// superseded primary and with KindNotPrimary on a replica.
func (s *State) Append(statements []Statement, records []IdempotencyRecord) (Entry, error) {
	if !s.isPrimary() {
		if s.superseded {
			return Entry{}, newError("append", KindTerm, "the primary's term is superseded")
		}
		return Entry{}, newError("append", KindNotPrimary, "the target is not the primary")
	}
	e := Entry{Term: s.PromisedTerm, Index: uint64(len(s.Log)) + 1, Statements: statements, IdempotencyRecords: records}
	s.Log = append(s.Log, e)
	s.advanceQuorum()
	return e, nil
}

// advanceQuorum advances the quorum position to the highest index replicated on
// a majority, if that entry is of the primary's own term. An entry of an older
// term can be on a majority and still be replaced.
func (s *State) advanceQuorum() {
	held := make([]uint64, 0, len(s.Members))
	for _, m := range s.Members {
		if m.ID == s.Self {
			held = append(held, uint64(len(s.Log)))
		} else {
			held = append(held, s.matchedIndex[m.ID])
		}
	}
	slices.SortFunc(held, func(a, b uint64) int { return cmp.Compare(b, a) })
	p := s.positionAt(held[len(held)/2])
	if p.Term == s.PromisedTerm {
		s.quorum = s.quorum.Max(p)
	}
}

// Resume restores the role in the durable state after a restart.
func (s *State) Resume() {
	if s.isPrimary() {
		s.matchedIndex = make(map[ident.Target]uint64)
		s.matchTerm = s.PromisedTerm
		s.advanceQuorum()
	}
}
