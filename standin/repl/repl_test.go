package repl

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

func three() (a, b, c *State, members []Member) {
	a, b, c = &State{Self: "a"}, &State{Self: "b"}, &State{Self: "c"}
	return a, b, c, []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
}

// lead makes p the primary of term with the promises of others.
func lead(is *is.I, term ident.Term, members []Member, p *State, others ...*State) {
	is.Helper()
	is.NoErr(p.RaiseTerm(term))
	for _, o := range others {
		is.NoErr(o.RaiseTerm(term))
	}
	_, err := p.Promote(term, members)
	is.NoErr(err)
	for _, o := range others {
		is.NoErr(o.Follow(term, p.Self, "x:1"))
	}
}

// pull runs n pulls of f from p.
func pull(is *is.I, p, f *State, n int) {
	is.Helper()
	for range n {
		req, ok := f.NextPull()
		is.True(ok)
		a, err := p.HandlePull(req, 1)
		is.NoErr(err)
		_, err = f.HandleAnswer(req, a)
		is.NoErr(err)
	}
}

// TestOldTermEntries guards against an old entry that is counted because a
// majority holds it: a target with a newer term can still replace it (Ongaro
// and Ousterhout, 2014, figure 8).
func TestOldTermEntries(t *testing.T) {
	is := is.New(t)
	a, b, c, members := three()
	lead(is, 1, members, a, b, c)
	pull(is, a, b, 2)
	pull(is, a, c, 2)
	old, err := a.Append(nil, nil)
	is.NoErr(err)
	lead(is, 2, members, c, b) // c has an entry of term 2 that nobody else has
	lead(is, 3, members, a, b)
	req, _ := b.NextPull()
	for !b.Has(old.Position()) {
		pull(is, a, b, 1)
	}
	req, _ = b.NextPull()
	_, err = a.HandlePull(req, 1) // b confirms the old entry, but not that of term 3
	is.NoErr(err)
	is.True(a.Quorum().Less(old.Position()))
	pull(is, a, b, 2)
	is.Equal(a.Quorum(), ident.Position{Term: 3, Index: 3})
	is.True(b.Has(old.Position()))
}

// TestStaleAnswer guards against an answer of a former primary that arrives
// after a promise to another.
func TestStaleAnswer(t *testing.T) {
	is := is.New(t)
	a, b, c, members := three()
	lead(is, 1, members, a, b, c)
	req, _ := b.NextPull()
	answer, err := a.HandlePull(req, 9)
	is.NoErr(err)
	is.NoErr(b.RaiseTerm(2))
	_, err = b.HandleAnswer(req, answer)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, KindStaleAnswer)
	is.Equal(len(b.Log), 0)
	is.NoErr(b.Follow(2, "c", "x:1"))
	_, err = b.HandleAnswer(req, answer)
	is.True(err != nil)
	req.Term = 2
	_, err = a.HandlePull(req, 9)
	is.True(err != nil) // a is the primary of term 1 only
}

// TestDivergedLog guards against a follower that keeps entries which its
// primary lacks, or that drops entries which both have.
func TestDivergedLog(t *testing.T) {
	is := is.New(t)
	a, b, c, members := three()
	lead(is, 1, members, a, b, c)
	pull(is, a, b, 1)
	pull(is, a, c, 1)
	for range 5 {
		_, err := a.Append(nil, nil)
		is.NoErr(err)
	}
	lead(is, 2, members, b, c)
	is.NoErr(a.Follow(2, "b", "x:1"))
	pull(is, b, a, 1)
	is.Equal(a.Role(), topo.RoleRebuild)
	is.Equal(len(a.Log), 6) // nothing is dropped before the logs are compared
	pull(is, b, a, 5)
	is.Equal(a.LastPosition(), b.LastPosition())
	is.Equal(a.Log[0], b.Log[0])
	is.Equal(a.Role(), topo.RoleRebuild)
	a.RecordApplied(2)
	is.Equal(a.Role(), topo.RoleReplica)
}

// TestPromote guards against a second primary in one term.
func TestPromote(t *testing.T) {
	is := is.New(t)
	a, b, _, members := three()
	_, err := a.Promote(0, members)
	is.True(err != nil)
	is.NoErr(a.RaiseTerm(3))
	for _, term := range []ident.Term{2, 4} {
		_, err = a.Promote(term, members)
		is.True(err != nil)
	}
	_, err = a.Promote(3, members[1:])
	is.True(err != nil) // the members lack a
	_, err = a.Promote(3, members)
	is.NoErr(err)
	_, err = a.Promote(3, members)
	is.True(err != nil)
	is.True(a.Follow(3, "b", "x:1") != nil)
	is.NoErr(b.Follow(3, "a", "x:1"))
	_, err = b.Promote(3, members)
	is.True(err != nil) // b's promise of term 3 went to a
	is.True(b.Follow(3, "c", "x:1") != nil)
	is.NoErr(a.RaiseTerm(4))
	is.True(a.Superseded())
	is.Equal(a.Role(), topo.RoleReplica)
	_, err = a.Append(nil, nil)
	is.True(err != nil)
}
