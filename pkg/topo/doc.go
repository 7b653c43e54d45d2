// Package topo provides the table of database groups that the components of the
// daemon share: the catalogue entry of each target, the known term and primary
// of each group, and the last status of each target.
//
// The term of a group in the table never decreases. A target whose term is below
// the group's is sent no statements until it follows the new primary.
//
// # Usage
//
//	var tab topo.Table
//	tab.Configure(catalogue)
//	tab.RecordStatus("ledger", status, time.Now())
//	g, ok := tab.Group("ledger")
//	if ok && g.Primary != "" {
//		// g.Primary takes the writes of term g.Term
//	}
package topo
