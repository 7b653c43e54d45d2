package elect_test

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/elect"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// A group of one empty database gets its first primary.
func ExampleMachine() {
	var m elect.Machine
	now := time.Unix(0, 0)
	s := topo.Status{Target: "a", Role: topo.RoleReplica, ContactAge: -1}
	m.Step(now, elect.Configured{Members: []elect.Member{{ID: "a", Address: "10.0.0.1:5432"}}})
	for s.Role != topo.RolePrimary {
		now = now.Add(elect.Resolution)
		todo := m.Step(now, elect.Tick{})
		for len(todo) > 0 {
			a := todo[0]
			todo = todo[1:]
			switch a := a.(type) {
			case elect.Probe:
				todo = append(todo, m.Step(now, elect.ProbeAnswered{Status: s, NewConn: a.NewConn})...)
			case elect.RaiseTerm:
				s.Term = a.Term
				todo = append(todo, m.Step(now, elect.TermRaised{Target: "a", Term: a.Term, Outcome: elect.OutcomeDone, Status: s})...)
			case elect.Promote:
				s.Role, s.Log = topo.RolePrimary, ident.Position{Term: a.Term, Index: 1}
				todo = append(todo, m.Step(now, elect.Promoted{Target: "a", Term: a.Term, Outcome: elect.OutcomeDone})...)
			case elect.PrimaryLearned:
				fmt.Println("primary", a.Primary, "term", a.Term)
			}
		}
	}
	// Output: primary a term 1
}
