// Package elect decides the failover of one database group. A Machine takes
// events (answers of databases, failed calls, the catalogue, ticks of the
// clock) with the time at which they happened, and returns the actions that
// the caller has to carry out. It does no input or output, reads no clock and
// starts no goroutine.
//
// # Safety
//
// A group's term lives in its databases. Machine raises the term on a majority
// of the group, promotes the database with the highest log among the promises,
// and never asks two databases to take the same term. Any number of machines
// may watch one group, each with another view of the network: a database
// promises a term once, so at most one machine wins a majority for it. The
// argument is that of Raft's election restriction (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014, section 5.4).
//
// A promise of a database that rebuilds its log does not count, because it may
// lack entries that it had confirmed before.
//
// # Detection
//
// The primary is suspected when neither the existing connection nor a new one
// answers, or when it answers but its quorum position stands still although
// entries wait. A machine acts on a suspicion only when a majority of the
// group, without the primary, has not heard the primary either; a replica that
// hears it means that only the path to this machine is broken (compare the
// indirect probe of SWIM: Das, Gupta and Motivala, 2002).
//
// The first watcher probes the primary every 250 ms and the others every 500 ms,
// since they wait for the first before they act. A replica is probed
// every 2 s while the primary answers and its quorum position moves or nothing
// waits, and again every 250 ms as soon as the primary's answer is overdue by
// 150 ms, its quorum position stands still, a database reports another term, or
// a daemon has seen errors. Evidence is always judged on statuses of less than
// 400 ms.
//
// # Usage
//
//	m := elect.Machine{Rand: rand.NewPCG(seed, seed)}
//	m.Step(now, elect.Configured{Members: members})
//	for _, a := range m.Step(now, elect.Tick{}) {
//		switch a := a.(type) {
//		case elect.Probe:
//			// call Database.Status, then m.Step with Answered or ProbeFailed
//		case elect.Promote:
//			// call Database.Promote, then m.Step with Promoted
//		}
//	}
//
// Each Probe, RaiseTerm, Promote and Follow has to be answered by one event,
// at the latest when its timeout is over. Ticks come every Resolution or so.
package elect
