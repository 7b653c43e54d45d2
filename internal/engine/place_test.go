package engine_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
)

// limit restricts the workspace of the fixture's key to regions in a new version.
func (f *fixture) limit(version ident.Version, list ...ident.Region) {
	c := catalogue(version, "key")
	w := c.Workspaces["w"]
	w.Regions = list
	c.Workspaces["w"] = w
	f.set(func(f *fixture) { f.index = access.NewKeyIndex(c) })
}

// bodies returns the number of reads and writes that a database has run.
func (f *fixture) bodies(id ident.Target) int {
	return len(f.c.Executions(id, dbop.Read)) + len(f.c.Executions(id, dbop.Write))
}

// refusedFor reports whether an answer is a refusal for a reason, sent at once.
func refusedFor(a dbop.Answer, reason string, began time.Time) bool {
	return a.Code == dbop.Busy && strings.HasPrefix(a.Text, "not run: "+reason) && time.Since(began) < 100*time.Millisecond
}

const outside = "no database in the allowed regions; retry after "

// TestAllowedRegions guards against a statement that reaches a database outside the
// allowed regions, and against a refusal that waits for a primary which is elsewhere.
func TestAllowedRegions(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.limit(2, "2")
		bounded, primary := f.open(t, "bounded"), f.open(t, "primary")
		for range 20 {
			is.Equal(bounded.run(dbop.Read).Code, dbop.OK)
		}
		is.Equal(f.bodies("a"), 0)
		for _, k := range []dbop.Kind{dbop.Read, dbop.Write} {
			is.True(refusedFor(primary.run(k), outside, time.Now()))
		}
		is.Equal(primary.run(dbop.Begin).Code, dbop.OK)
		is.True(refusedFor(primary.run(dbop.Read), outside, time.Now()))
		is.Equal(primary.run(dbop.Rollback).Code, dbop.OK)
		f.limit(3, "1")
		is.Equal(primary.run(dbop.Write).Code, dbop.OK)
		is.Equal(bounded.run(dbop.Read).Signature, "sig-a")
		f.limit(4, "3")
		began := time.Now()
		for _, s := range []*session{bounded, primary} {
			is.True(refusedFor(s.run(dbop.Read), outside, began))
		}
		is.Equal(f.bodies("b")+f.bodies("c"), 20)
		bounded.end()
		primary.end()
	})
}

// TestRegionsInTransaction guards against a transaction that is moved or refused because
// the lists change while it is open.
func TestRegionsInTransaction(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.limit(2, "1")
		s := f.open(t, "primary")
		is.Equal(s.run(dbop.Begin).Code, dbop.OK)
		f.limit(3, "2")
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		is.Equal(s.run(dbop.Commit).Code, dbop.OK)
		is.True(refusedFor(s.run(dbop.Begin), "", time.Now()) || refusedFor(s.run(dbop.Write), outside, time.Now()))
		s.end()
	})
}

// TestRegionsAfterMove guards against a VM that goes on refusing because it takes the
// former primary, outside the allowed regions, for the present one.
func TestRegionsAfterMove(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.limit(2, "2")
		s := f.open(t, "primary")
		is.True(refusedFor(s.run(dbop.Write), outside, time.Now()))
		time.Sleep(2 * time.Second)
		f.c.Promote("b")
		s.run(dbop.Write)
		synctest.Wait()
		time.Sleep(200 * time.Millisecond)
		is.Equal(s.run(dbop.Write).Signature, "sig-b")
		s.end()
	})
}

const evacuating = "the database's availability zone is being evacuated; retry after "

// TestEvacuatedReads guards against a read that chooses a database in a zone which is
// being evacuated, and against one that waits when there is no other.
func TestEvacuatedReads(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "bounded")
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		before := f.bodies("b") + f.bodies("c")
		f.evacuate("z2", place.Leaving)
		for range 10 {
			is.Equal(s.run(dbop.Read).Signature, "sig-a")
		}
		is.Equal(s.run(dbop.BeginRead).Code, dbop.OK)
		is.Equal(s.run(dbop.Read).Signature, "sig-a")
		is.Equal(s.run(dbop.Commit).Code, dbop.OK)
		f.evacuate("z1", place.Leaving)
		is.True(refusedFor(s.run(dbop.Read), evacuating, time.Now()))
		is.Equal(f.bodies("b")+f.bodies("c"), before)
		f.evacuate("z2", place.InService)
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		is.Equal(f.e.EvacuationRefusals(), uint64(1))
		s.end()
	})
}

// TestEvacuatedPrimary guards against a statement that reaches a primary after its zone
// closed, against a commit there, and against refusals before that or after the primary
// has moved.
func TestEvacuatedPrimary(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s, open, begun := f.open(t, "primary"), f.open(t, "primary"), f.open(t, "primary")
		for _, x := range []*session{open, begun} {
			is.Equal(x.run(dbop.Begin).Code, dbop.OK)
			is.Equal(x.run(dbop.Write).Code, dbop.OK)
		}
		f.evacuate("z1", place.Leaving)
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		before := f.bodies("a")
		f.evacuate("z1", place.Closed)
		for _, k := range []dbop.Kind{dbop.Read, dbop.Write} {
			is.True(refusedFor(s.run(k), evacuating, time.Now()))
		}
		is.Equal(open.run(dbop.Commit).Code, dbop.Aborted)
		is.Equal(begun.run(dbop.Write).Code, dbop.Aborted)
		is.Equal(f.bodies("a"), before)
		is.Equal(len(f.c.Executions("a", dbop.Commit)), 0)
		is.Equal(f.e.EvacuationRefusals(), uint64(4))
		time.Sleep(2 * time.Second)
		f.c.Promote("b")
		s.run(dbop.Write)
		time.Sleep(200 * time.Millisecond)
		is.Equal(s.run(dbop.Write).Signature, "sig-b")
		for _, x := range []*session{s, open, begun} {
			x.end()
		}
	})
}

// TestClosedWhileWaiting guards against a statement that is sent to a database whose zone
// closed while the statement waited for a connection, or while the VM was frozen.
func TestClosedWhileWaiting(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		hold := func() *session {
			s := f.open(t, "primary")
			is.Equal(s.run(dbop.Begin).Code, dbop.OK)
			is.Equal(s.run(dbop.Write).Code, dbop.OK)
			return s
		}
		held := []*session{hold(), hold(), hold()}
		for _, k := range []dbop.Kind{dbop.Write, dbop.Read} {
			f.evacuate("z1", place.InService)
			last := hold()
			before := f.bodies("a")
			s := f.open(t, "primary")
			s.in <- dbop.Statement{ID: "id", Kind: k, Text: "text"}
			synctest.Wait()
			f.evacuate("z1", place.Closed)
			is.Equal(last.run(dbop.Rollback).Code, dbop.OK)
			is.Equal((<-s.out).Code, dbop.Busy)
			is.Equal(f.bodies("a"), before)
			last.end()
			s.end()
		}
		for _, s := range held {
			s.end()
		}
	})
}
