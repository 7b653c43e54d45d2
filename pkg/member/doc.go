// Package member tracks which VMs are live. Each VM pings a bounded set of
// peers in turn. When a peer does not answer, the VM asks others to ping it,
// suspects it when they do not reach it either, and declares it dead unless the
// suspicion is refuted. Events about VMs are piggybacked on the pings.
//
// The protocol follows SWIM (Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002)
// with these differences:
//
//   - A VM pings only its links: successors on a hash ring of its zone and one
//     VM in each other zone. The number of links of a VM does not grow with the
//     number of VMs in a zone.
//   - A VM that suspects another continues to ping it and tells it of the
//     suspicion, so that a live VM refutes it at once. Other VMs keep a
//     suspicion that they received for longer, since a refutation takes as long
//     to arrive as the suspicion did.
//   - Pings carry a hash of the table. A VM whose table has not changed for some
//     time requests the list of all members from a peer whose table differs.
//   - A death in such a list is verified by a ping before it is accepted, because
//     after a network partition each side considers the other's members dead.
//   - Dead members are pinged at long intervals. When one answers, the others are
//     tried more often for a while, so that the sides of a healed partition merge.
//   - A VM that was itself paused discards its outstanding pings without raising
//     suspicions.
//
// Package member is pure: it does no I/O, starts no goroutine, and takes the
// time from its caller.
//
// # Usage
//
//	n := member.New(member.Config{Self: self, Seeds: addresses}, time.Now())
//	for {
//		wait(n.NextTick())
//		a := n.Tick(time.Now())
//		for _, p := range a.Pings {
//			// send p.Message to p.To; on an answer call n.HandleAck(p.Seq, ...)
//		}
//		for _, r := range a.PingReqs {
//			// ask r.Via to ping r.Target; then call n.HandleIndirectResult(r.Seq, ...)
//		}
//	}
//
// A Node is not safe for concurrent use.
package member
