// Package roster has the table of the databases that a deployment lists, and of
// which of them leads its group.
//
// The platform's list says which databases there are and how each sees its own
// role; it lags. Which database leads is learned from answers: a database that
// accepted the start of a writing transaction had the lead at that moment, and
// one that refused it had not. No time at which a caller's statement may run
// follows from this table alone; the databases check it again.
//
// # Usage
//
//	var tab roster.Table
//	tab.Update(entries, time.Now())
//	if id, ok := tab.Primary("ledger"); ok {
//		// start a transaction at id
//		tab.Confirm("ledger", id)
//	}
package roster
