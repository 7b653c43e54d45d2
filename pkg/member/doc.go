// Package member tracks which VMs are live. Each VM pings a bounded set of
// peers in turn, asks others to ping a peer that does not answer, suspects it,
// and declares it dead when nobody refutes the suspicion. Events about VMs ride
// on the pings.
//
// The protocol follows SWIM (Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002)
// with these differences:
//
//   - A VM pings only its links: successors on a hash ring of its zone and one
//     VM in each other zone. The number of connections doesn't grow with the
//     fleet.
//   - The VM that suspects another goes on pinging it and tells it of the
//     suspicion, so that a live VM refutes at once. Others hold a suspicion
//     that they heard of for longer, since a refutation takes as long to
//     arrive as the suspicion did.
//   - Pings carry a hash of the table. A VM whose table has been quiet and
//     differs from a peer's asks for all of the peer's members.
//   - A death in such a list is verified by a ping and not believed, because
//     after a cut each side holds the other's members for dead.
//   - Dead members are pinged now and then; when one answers, the others are
//     tried faster for a while, so that the sides of a healed cut merge.
//   - A VM that was itself paused drops its outstanding pings unjudged.
//
// Package member is pure: it does no I/O, starts no goroutine, and takes the
// time from its caller.
//
// # Usage
//
//	n := member.New(member.Config{Self: self, Seeds: addresses}, time.Now())
//	for {
//		wait(n.Next())
//		a := n.Tick(time.Now())
//		for _, p := range a.Pings {
//			// send p.Message to p.To; on an answer call n.HandleAck(p.Seq, ...)
//		}
//		for _, r := range a.PingReqs {
//			// ask r.Via to ping r.Target; then call n.HandleIndirect(r.Seq, ...)
//		}
//	}
//
// A Node is not safe for concurrent use.
package member
