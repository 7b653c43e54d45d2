// Package watch runs the failover decision of pkg/elect for the groups that
// this VM watches, and answers what the data plane asks about groups.
//
// The watchers of a group are the rendezvous choice among live VMs, from at
// least two zones when there are two. A VM that sees errors on a group's
// primary asks the watchers to probe at once; when none answers, it watches
// the group itself for a while. Safety does not depend on who watches.
//
// Probes and other calls run in a pond pool; one loop lets time pass for all
// groups. What is learned goes into the shared topo.Table, and a new primary
// is noted in the store as a hint when the store is up. Nothing waits for the
// store.
//
// Locks: the lock of a Watcher is taken before that of a guard, and the
// table's lock last; none is held across a call to a target, a peer or the
// store.
//
// # Usage
//
//	w := watch.New(watch.Config{Self: "vm-1", Table: &table, Fleet: members, Peers: peers, Store: s, Dial: dial})
//	go w.Run(ctx)
//	w.Suspect("ledger")                   // errors were seen on the primary
//	floor, err := w.Floor(ctx, "ledger")  // read-index for a new session
//	has, err := w.Has(ctx, "ledger", p, 3) // does the primary after term 3 have the commit?
package watch
