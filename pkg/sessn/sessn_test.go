package sessn

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

var now = time.Unix(1000, 0)

func at(term ident.Term, index uint64) ident.Position {
	return ident.Position{Term: term, Index: index}
}

func target(id ident.Target, zone ident.Zone, applied ident.Position) topo.Target {
	return topo.Target{ID: id, Config: catal.Target{Zone: zone}, Applied: applied, StatusAt: now, Status: topo.Status{Term: 2}}
}

func read(targets ...topo.Target) ReadRequest {
	return ReadRequest{
		Group:    topo.Group{ID: "g", Term: 2, Primary: "a", Targets: targets},
		Location: Location{Zone: "z1", Region: "r1"},
		RegionOf: func(z ident.Zone) ident.Region {
			if z == "z3" {
				return "r2"
			}
			return "r1"
		},
		LoadOf: func(ident.Target) Load { return Load{} },
		Random: func() float64 { return 0.5 },
		Now:    now,
	}
}

// TestFloor guards against a session whose floor does not cover its own write,
// and against reads of stale data that raise the floor to the writes of others.
func TestFloor(t *testing.T) {
	is := is.New(t)
	var s Session
	is.True(s.NeedsFloor(0))
	is.True(!s.NeedsFloor(time.Second))
	s.RecordRead(at(1, 9), time.Second)
	is.Equal(s.Floor(), ident.Position{})
	s.RecordWrite(at(1, 5))
	s.RecordWrite(at(1, 4))
	is.Equal(s.Floor(), at(1, 5))
	is.True(s.NeedsFloor(0)) // a write covers the session's own data only
	s.Attach(at(1, 3))
	is.Equal(s.Floor(), at(1, 5))
	s.RecordRead(at(2, 1), 0)
	is.Equal(s.Floor(), at(2, 1))
	is.True(!s.NeedsFloor(0))
}

// TestCandidates guards against reads that cross regions without need, that run
// on the primary although a replica can serve them, or that go to a target which
// is not usable.
func TestCandidates(t *testing.T) {
	is := is.New(t)
	r := read(target("a", "z1", at(2, 9)), target("b", "z1", at(2, 9)), target("c", "z2", at(2, 9)), target("d", "z3", at(2, 9)))
	is.Equal(Candidates(r), []ident.Target{"b", "c", "d", "a"})

	r.Group.Targets[1].Applied = at(2, 1)
	r.Floor = at(2, 5)
	is.Equal(Candidates(r), []ident.Target{"c", "d", "a", "b"})
	r.Now = now.Add(100 * time.Millisecond)
	is.Equal(Candidates(r), []ident.Target{"b", "c", "d", "a"}) // may have caught up

	r.Now = now
	r.Group.Targets[2].Status.Term = 1
	r.Group.Targets[3].Status.Role = topo.RoleRebuild
	is.Equal(Candidates(r), []ident.Target{"a", "b"})
	r.Group.Targets[0].FailedAt = now
	is.Equal(Candidates(r), []ident.Target{"b", "a"})
	r.Group.Targets[1].Config.Leaving = true
	is.Equal(Candidates(r), []ident.Target{"a"})
	r.Group.Targets[0].Status.Leaving = true
	is.Equal(len(Candidates(r)), 0)
}

// TestStaleStatus guards against a VM that stopped watching a group and never
// uses a replica again because of its last status.
func TestStaleStatus(t *testing.T) {
	is := is.New(t)
	r := read(target("a", "z1", at(2, 9)), target("b", "z1", at(1, 9)))
	r.Group.Targets[1].Status.Term = 1
	is.Equal(Candidates(r), []ident.Target{"a"})
	r.Now = now.Add(time.Minute)
	is.Equal(Candidates(r), []ident.Target{"b", "a"})
}

// TestStatusBeforeTerm guards against a VM that learns of a new term and then
// finds no usable target, because every status it has is older than the term.
func TestStatusBeforeTerm(t *testing.T) {
	is := is.New(t)
	r := read(target("a", "z1", at(2, 9)), target("b", "z1", at(1, 9)))
	r.Group.Targets[1].Status.Term = 1
	r.Group.LearnedAt = r.Group.Targets[1].StatusAt.Add(time.Millisecond)
	is.Equal(Candidates(r), []ident.Target{"b", "a"})
	r.Group.LearnedAt = r.Group.Targets[1].StatusAt
	is.Equal(Candidates(r), []ident.Target{"a"})
}

// TestChoice guards against choosing a busier target over a less busy one, and
// against candidates that are missing or listed twice.
func TestChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := map[ident.Target]Load{}
		var targets []topo.Target
		for _, id := range []ident.Target{"a", "b", "c", "d", "e"} {
			targets = append(targets, target(id, "z1", at(2, 9)))
			load[id] = Load{Outstanding: rapid.IntRange(0, 3).Draw(t, "outstanding")}
		}
		r := read(targets...)
		r.LoadOf = func(id ident.Target) Load { return load[id] }
		r.Random = func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") }
		got := Candidates(r)
		if got[4] != "a" {
			t.Fatalf("the primary is not last: %v", got)
		}
		// A single busiest target is never first: the other target of any draw
		// of two is less busy.
		most, busiest := 0, 0
		for _, id := range got[:4] {
			switch n := load[id].Outstanding; {
			case n > most:
				most, busiest = n, 1
			case n == most:
				busiest++
			}
		}
		if busiest == 1 && load[got[0]].Outstanding == most {
			t.Fatalf("%v chosen under %v", got, load)
		}
		slices.Sort(got)
		if !slices.Equal(got, []ident.Target{"a", "b", "c", "d", "e"}) {
			t.Fatalf("candidates %v", got)
		}
	})
}

// TestSlowStart guards against a recovered target that gets its full share of the
// reads at once.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	r := read(target("a", "z9", at(2, 9)), target("b", "z1", at(2, 9)), target("c", "z1", at(2, 9)))
	r.LoadOf = func(id ident.Target) Load {
		if id == "b" {
			return Load{ReturnedAt: now}
		}
		return Load{Outstanding: 3}
	}
	is.Equal(Candidates(r), []ident.Target{"c", "b", "a"})
}
