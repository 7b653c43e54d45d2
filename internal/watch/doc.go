// Package watch runs the election state machine of pkg/elect for the groups
// that this VM watches, and serves the reads of group state that sessions need:
// read-index floors and the fate of a commit after a failover.
//
// The watchers of a group are chosen among the live VMs by rendezvous hashing,
// from at least two zones when there are two. A VM that sees errors on a group's
// primary asks the watchers to probe at once; when none of them answers that it
// watches the group, the VM watches the group itself for a limited time. Safety
// does not depend on which VMs watch.
//
// Probes and other calls run in pond pools; one loop sends the clock ticks to the
// state machines of all groups. Statuses and elected primaries are recorded in
// the shared topo.Table, and a new primary is written to the store as a hint when
// the store is up. No decision waits for the store.
//
// Lock order: the lock of a Watcher, then that of a groupMonitor, then the
// table's. No lock is held across a call to a target, a peer or the store.
//
// # Usage
//
//	w := watch.New(watch.Config{Self: "vm-1", Table: &table, Fleet: members, Peers: peers, Store: s, Dial: dial})
//	go w.Run(ctx)
//	w.Suspect("ledger")                    // errors were seen on the primary
//	floor, err := w.Floor(ctx, "ledger")   // read-index for a new session
//	has, err := w.Has(ctx, "ledger", p, 3) // does a primary of a term above 3 have the commit?
package watch
