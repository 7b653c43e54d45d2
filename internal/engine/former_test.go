package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// replace makes b the primary with a commit that a, which goes on, does not have.
func (f *fixture) replace() {
	f.c.Promote("b")
	for _, id := range []ident.Target{"b", "c"} {
		f.c.Update(id, func(d *linktest.DB) { d.Index = 9 })
	}
	time.Sleep(time.Millisecond)
}

// TestReadAtFormerPrimary guards against an answer from a former primary that goes on
// after its replacement: the read misses commits of the new primary.
func TestReadAtFormerPrimary(t *testing.T) {
	runUnfenced(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "primary")
		defer s.end()
		is.Equal(s.run(dbop.Read).Signature, "sig-a")
		f.replace()
		a := s.run(dbop.Read)
		is.Equal(a.Code, dbop.OK)
		is.Equal(a.Signature, "sig-b")
	})
}

// TestTxnAtFormerPrimary guards against a read inside a transaction that was begun at
// a former primary.
func TestTxnAtFormerPrimary(t *testing.T) {
	runUnfenced(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "primary")
		defer s.end()
		f.replace()
		is.Equal(s.run(dbop.Begin).Code, dbop.OK)
		is.Equal(s.run(dbop.Read).Signature, "sig-b")
		is.Equal(s.run(dbop.Commit).Code, dbop.OK)
	})
}

// TestOwnCommitAtFormerPrimary guards against a transaction on a route with session
// consistency whose reads miss the session's last commit, since the former primary
// was confirmed within the accepted age.
func TestOwnCommitAtFormerPrimary(t *testing.T) {
	runUnfenced(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		defer s.end()
		is.Equal(s.run(dbop.Begin).Code, dbop.OK)
		is.Equal(s.run(dbop.Read).Signature, "sig-a")
		is.Equal(s.run(dbop.Commit).Code, dbop.OK)
		f.replace()
		f.c.Roster().ConfirmPrimary("g", "b")
		is.Equal(s.run(dbop.Write).Signature, "sig-b")
		f.c.Roster().ConfirmPrimary("g", "a") // as a VM that has heard of no other primary
		is.Equal(s.run(dbop.Begin).Code, dbop.OK)
		is.Equal(s.run(dbop.Read).Signature, "sig-b")
	})
}

// TestReadAfterAcceptedAge guards against reads with a floor from the former primary
// once the accepted age has passed since its replacement.
func TestReadAfterAcceptedAge(t *testing.T) {
	runUnfenced(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "bounded")
		defer s.end()
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		f.c.Promote("b")
		f.c.Update("b", func(d *linktest.DB) { d.Index = 9 }) // c has not received it
		time.Sleep(2 * time.Second)
		is.Equal(s.run(dbop.Read).Signature, "sig-b")
	})
}
