package repl

import (
	"slices"

	"chervilspan.example/pkg/ident"
)

// NextPull returns the request that a follower sends next; ok is false unless
// the target follows a primary in the promised term.
func (s *State) NextPull() (p Pull, ok bool) {
	if s.isPrimary() || s.Primary == "" || s.PrimaryTerm != s.PromisedTerm {
		return Pull{}, false
	}
	last := s.LastPosition()
	if s.probing {
		last = s.positionAt(s.probeIndex)
	}
	return Pull{Term: s.PromisedTerm, Follower: s.Self, Last: last}, true
}

// HandlePull answers a pull at the primary with at most limit entries. It fails
// with KindNotPrimary unless the target is the primary of the pull's term, and
// with KindMembership when the follower is not a member of the group.
func (s *State) HandlePull(p Pull, limit int) (PullAnswer, error) {
	if !s.isPrimary() || p.Term != s.PromisedTerm {
		return PullAnswer{}, newError("answer", KindNotPrimary, "the target is not the primary of this term")
	}
	if p.Follower == s.Self || !slices.ContainsFunc(s.Members, func(m Member) bool { return m.ID == p.Follower }) {
		return PullAnswer{}, newError("answer", KindMembership, "the follower is not a member")
	}
	a := PullAnswer{Term: p.Term, Last: p.Last, End: s.LastPosition()}
	if p.Last.Index > 0 && !s.Has(p.Last) {
		a.ProbeIndex = s.nextProbeIndex(p.Last)
		a.Quorum = s.quorum
		return a, nil
	}
	a.Match = true
	s.matchedIndex[p.Follower] = max(s.matchedIndex[p.Follower], p.Last.Index)
	s.advanceQuorum()
	a.Quorum = s.quorum
	rest := s.Log[p.Last.Index:]
	a.Entries = slices.Clone(rest[:min(limit, len(rest))])
	return a, nil
}

// nextProbeIndex returns the highest index below p at which the follower's log
// can equal the primary's: there the term of the primary's entry is at most
// that of p.
func (s *State) nextProbeIndex(p ident.Position) uint64 {
	i := min(p.Index-1, uint64(len(s.Log)))
	for i > 0 && s.positionAt(i).Term > p.Term {
		i--
	}
	return i
}

// LogChange describes the effect of an answer on a follower's log.
type LogChange struct {
	// Truncated means that the entries after KeptIndex were removed, so that
	// the data must be rebuilt from the log.
	Truncated bool
	KeptIndex uint64
	// Added holds the new entries, which start at KeptIndex+1.
	Added []Entry
}

// HandleAnswer applies the answer to p to the log. It fails with
// KindStaleAnswer unless p is still the next pull, so that an answer of an
// earlier term changes nothing.
func (s *State) HandleAnswer(p Pull, a PullAnswer) (LogChange, error) {
	want, ok := s.NextPull()
	if !ok || want != p || a.Term != p.Term || a.Last != p.Last {
		return LogChange{}, newError("accept", KindStaleAnswer, "the answer is not to the latest pull")
	}
	s.quorum = s.quorum.Max(a.Quorum)
	if !a.Match {
		s.rebuilding, s.probing, s.rebuildEnd = true, true, 0
		s.probeIndex = min(a.ProbeIndex, max(p.Last.Index, 1)-1)
		return LogChange{}, nil
	}
	c := LogChange{KeptIndex: p.Last.Index}
	if uint64(len(s.Log)) > p.Last.Index {
		c.Truncated = true
		s.Log = slices.Clone(s.Log[:p.Last.Index])
	}
	s.probing = false
	for _, e := range a.Entries {
		if e.Index != uint64(len(s.Log))+1 {
			break
		}
		s.Log = append(s.Log, e)
		c.Added = append(c.Added, e)
	}
	s.matchTerm = p.Term
	if s.rebuilding && s.rebuildEnd == 0 {
		s.rebuildEnd = a.End.Index
	}
	return c, nil
}

// RecordApplied records that the data contains the entries up to index. A
// follower in the role rebuild becomes a replica when its data reaches the end
// that the primary's log had when the logs were first found to match.
func (s *State) RecordApplied(index uint64) {
	if s.rebuilding && !s.probing && s.rebuildEnd > 0 && index >= s.rebuildEnd {
		s.rebuilding = false
	}
}
