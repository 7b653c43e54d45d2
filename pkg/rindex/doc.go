// Package rindex decides whether a presumed primary had been replaced when a read
// began, from what the other databases of its group answered after that (a read
// index; Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.4).
//
// It is needed where a replaced primary goes on serving its callers for a while, so
// that its own answers prove nothing. The decision rests on two facts:
//
//  1. A commit of a newer primary is acknowledged only when that primary and the
//     required number of replicas have received it.
//  2. The presumed primary itself has none of these entries while it still takes
//     itself for the primary.
//
// So the other databases have them: a refusal by every one of them, each with no
// entry of a newer term applied, shows that there was no newer primary; and so does
// the received position of all but the required replicas, when some are silent.
//
// # Usage
//
//	switch rindex.Decide(own, answers, syncReplicas) {
//	case rindex.Confirmed:
//		// reads that began before the questions were sent miss no commit
//	case rindex.Contested, rindex.Superseded:
//		// find the primary of the highest term
//	}
package rindex
