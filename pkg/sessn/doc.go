// Package sessn keeps the floor of a session and chooses targets for its reads.
//
// The floor of a session is the highest log position that it wrote or read. A
// read may run on any target that has applied the floor, so that the session
// reads its own writes on replicas and through other VMs as well. The guarantee
// is the "read your writes" of Terry et al., "Session Guarantees for Weakly
// Consistent Replicated Data" (1994). The choice of a target relies on cached
// positions and may be wrong; the target itself enforces the floor.
//
// Package sessn is pure: callers pass the time, the group and random numbers.
//
// # Usage
//
//	var s sessn.Session
//	if token != "" {
//		s.Resume(position)
//	}
//	if s.NeedsFloor(auth.MaxAge) {
//		s.Attach(floor) // from a majority of the group
//	}
//	for _, target := range sessn.Candidates(read) {
//		// the first target that does not refuse runs the statement
//	}
package sessn
