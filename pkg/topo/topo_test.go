package topo

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

func catalogue() *catal.Catalogue {
	return &catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": {Targets: map[ident.Target]catal.Target{
		"a": {Address: "127.0.0.1:1"}, "b": {Address: "127.0.0.1:2"}, "c": {Address: "127.0.0.1:3"},
	}}}}
}

// TestLearn guards against a replaced primary that is restored because an old
// hint arrives late.
func TestLearn(t *testing.T) {
	is := is.New(t)
	var tab Table
	tab.Configure(catalogue())
	is.True(tab.Learn(Hint{"g", 2, "a"}))
	is.True(!tab.Learn(Hint{"g", 1, "b"}))
	is.True(!tab.Learn(Hint{"g", 2, "b"}))
	is.True(tab.Learn(Hint{"g", 3, "b"}))
	is.True(!tab.Learn(Hint{"other", 9, "b"}))
	tab.RecordStatus("g", Status{Target: "a", Term: 2, Role: RolePrimary}, time.Now())
	g, ok := tab.Group("g")
	is.True(ok)
	is.Equal(g.Term, ident.Term(3))
	is.Equal(g.Primary, ident.Target("b"))
	is.Equal(tab.Hints(), []Hint{{"g", 3, "b"}})
	is.Equal(g.Majority(), 2)
}

// TestConfigure guards against a catalogue edit that resets the known term, and
// against a target at a new address that inherits positions.
func TestConfigure(t *testing.T) {
	is := is.New(t)
	var tab Table
	tab.Configure(catalogue())
	tab.Learn(Hint{"g", 4, "c"})
	tab.RecordApplied("g", "a", ident.Position{Term: 4, Index: 7})
	tab.RecordApplied("g", "b", ident.Position{Term: 4, Index: 7})
	next := catalogue()
	next.Groups["g"].Targets["b"] = catal.Target{Address: "127.0.0.1:9"}
	tab.Configure(next)
	g, _ := tab.Group("g")
	is.Equal(g.Term, ident.Term(4))
	a, _ := g.Target("a")
	b, _ := g.Target("b")
	is.Equal(a.Applied, ident.Position{Term: 4, Index: 7})
	is.Equal(b.Applied, ident.Position{})
}
