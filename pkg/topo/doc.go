// Package topo has the table of database groups that the parts of the daemon
// share: what the catalogue says of each target, which term and primary are
// known, and what was last heard from each target.
//
// The table only ever learns higher terms. A target whose term is below the
// group's gets no work until it has followed the new primary.
//
// # Usage
//
//	var tab topo.Table
//	tab.Configure(catalogue)
//	tab.Observe("ledger", "ledger-a", status, time.Now())
//	g, ok := tab.Group("ledger")
//	if ok && g.Primary != "" {
//		// g.Primary takes the writes of term g.Term
//	}
package topo
