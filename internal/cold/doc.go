// Package cold keeps the requests of this VM to databases that were started a short
// time ago within their limit. It carries out the decisions of package warm:
// it follows the reports of databases, takes tokens of the limit over all VMs, and
// lets the requests to a database grow when that has become warm.
//
// A VM asks the Guard at the moment in which it sends a statement on a connection of
// its own, so statements that other VMs have it run are counted too. Only statements
// that take a slot count: reads, writes and commits.
//
// A nil Guard limits nothing.
//
// # Usage
//
//	g := cold.New(cold.Config{
//		Tolerance: x, Admit: l.AdmitAt, Catalogue: c, Roster: &table, Log: log,
//	})
//	release, ok := g.Admit(deadline, member, urgent)
//	if !ok {
//		return // send nothing
//	}
//	defer release()
//	// send the statement
package cold
