// Package roster keeps a table of the databases that the platform lists, and of
// the primary of each group.
//
// The platform's list names the databases and the role that each reports for
// itself; it lags. The primary is learned from answers: a database that accepted
// the start of a writing transaction was the primary at that time, and one that
// refused it was not. The table alone never decides whether a statement may run:
// the databases check their role again.
//
// # Usage
//
//	var tab roster.Table
//	tab.Update(entries, time.Now())
//	if id, ok := tab.Primary("ledger"); ok {
//		// start a writing transaction at id
//		tab.ConfirmPrimary("ledger", id)
//	}
package roster
