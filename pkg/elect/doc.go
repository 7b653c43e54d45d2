// Package elect decides the failover of one database group. A Machine is a state
// machine: it takes events (answers of databases, failed calls, changes of the
// catalogue, ticks of the clock) with the time at which they happened, and
// returns the actions that the caller has to carry out. It does no input or
// output, reads no clock and starts no goroutine.
//
// # Safety
//
// The databases of a group store its term. A Machine raises the term on a
// majority of the group, promotes the database with the highest log position
// among those that promised the term, and never asks two databases to become the
// primary of the same term. Any number of machines may watch one group, each with
// a different view of the network: a database promises a term only once, so at
// most one machine obtains a majority for it. The argument is that of Raft's
// election restriction (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014, section 5.4).
//
// The promise of a database that is rebuilding its log does not count, because
// the database may lack entries that it confirmed earlier.
//
// # Detection
//
// The primary is suspected when it answers neither on the existing connection
// nor on a new one, or when it answers but its quorum position does not advance
// although entries are waiting for a majority. A machine acts on such a suspicion
// only when a majority of the group, not counting the primary, has lost contact
// with the primary too. Replicas that still have contact show that only the path
// to this machine is broken (compare the indirect probe of SWIM: Das, Gupta and
// Motivala, 2002).
//
// The watcher of rank 0 probes the primary every 250 ms and the others every
// 500 ms, since they give the first one time to act. A replica is probed every
// 2 s while the primary answers and its quorum position advances or no entries
// are waiting. The interval returns to 250 ms as soon as the primary's answer is
// overdue by 150 ms, its quorum position stops advancing, a database reports
// another term, or a daemon reports errors. Only statuses up to 400 ms old count
// as evidence.
//
// # Usage
//
//	m := elect.Machine{Rand: rand.NewPCG(seed, seed)}
//	m.Step(now, elect.Configured{Members: members})
//	for _, a := range m.Step(now, elect.Tick{}) {
//		switch a := a.(type) {
//		case elect.Probe:
//			// call Database.Status, then m.Step with ProbeAnswered or ProbeFailed
//		case elect.Promote:
//			// call Database.Promote, then m.Step with Promoted
//		}
//	}
//
// Each Probe, RaiseTerm, Promote and Follow has to be answered by one event,
// at the latest when its timeout expires. The caller sends a Tick about once per
// Resolution.
package elect
