package repl

import (
	"slices"

	"chervilspan.example/pkg/ident"
)

// NextPull returns the request that a follower sends next; ok is false when it
// follows nobody.
func (s *State) NextPull() (p Pull, ok bool) {
	if s.isPrimary() || s.Primary == "" || s.PrimaryTerm != s.PromisedTerm {
		return Pull{}, false
	}
	last := s.LastPosition()
	if s.probing {
		last = s.at(s.probe)
	}
	return Pull{Term: s.PromisedTerm, Follower: s.Self, Last: last}, true
}

// HandlePull serves a pull at the primary, with at most limit entries. It fails
// with KindRole unless the target is the primary of the pull's term, and with
// KindMember when the follower is not of the group.
func (s *State) HandlePull(p Pull, limit int) (PullAnswer, error) {
	if !s.isPrimary() || p.Term != s.PromisedTerm {
		return PullAnswer{}, fail("answer", KindNotPrimary, "the target is not the primary of this term")
	}
	if p.Follower == s.Self || !slices.ContainsFunc(s.Members, func(m Member) bool { return m.ID == p.Follower }) {
		return PullAnswer{}, fail("answer", KindMembership, "the follower is not a member")
	}
	a := PullAnswer{Term: p.Term, Last: p.Last, End: s.LastPosition()}
	if p.Last.Index > 0 && !s.Has(p.Last) {
		a.ProbeIndex = s.probeBelow(p.Last)
		a.Quorum = s.quorum
		return a, nil
	}
	a.Match = true
	s.matched[p.Follower] = max(s.matched[p.Follower], p.Last.Index)
	s.count()
	a.Quorum = s.quorum
	rest := s.Log[p.Last.Index:]
	a.Entries = slices.Clone(rest[:min(limit, len(rest))])
	return a, nil
}

// probeBelow returns the highest index below p at which the follower's log can
// be equal: the primary's entry there is of no later term than p.
func (s *State) probeBelow(p ident.Position) uint64 {
	i := min(p.Index-1, uint64(len(s.Log)))
	for i > 0 && s.at(i).Term > p.Term {
		i--
	}
	return i
}

// LogChange says what an answer did to a follower's log.
type LogChange struct {
	// Truncated means that entries from Keep+1 on were dropped, so the data
	// must be built anew from the log.
	Truncated bool
	KeptIndex uint64
	// Added are the new entries, which follow index Keep.
	Added []Entry
}

// HandleAnswer takes the answer to p. It fails with KindStale unless p is still the
// next pull, so that an answer of an earlier term changes nothing.
func (s *State) HandleAnswer(p Pull, a PullAnswer) (LogChange, error) {
	want, ok := s.NextPull()
	if !ok || want != p || a.Term != p.Term || a.Last != p.Last {
		return LogChange{}, fail("accept", KindStaleAnswer, "the answer is not to the latest pull")
	}
	s.quorum = s.quorum.Max(a.Quorum)
	if !a.Match {
		s.rebuild, s.probing, s.goal = true, true, 0
		s.probe = min(a.ProbeIndex, max(p.Last.Index, 1)-1)
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
	if s.rebuild && s.goal == 0 {
		s.goal = a.End.Index
	}
	return c, nil
}

// RecordApplied tells a follower in the role rebuild how far its data is; it becomes
// a replica when the data has reached the primary's log as of the rebuild.
func (s *State) RecordApplied(index uint64) {
	if s.rebuild && !s.probing && s.goal > 0 && index >= s.goal {
		s.rebuild = false
	}
}
