// Package sessn keeps what a session must see and chooses where its reads run.
//
// A session has a floor: the highest log position that it wrote or read. A read
// may run on a target that has applied the floor, so the session reads its own
// writes also on replicas and on other VMs. The guarantee is the "read your
// writes" of Terry et al., "Session Guarantees for Weakly Consistent Replicated
// Data" (1994). The choice of a target uses cached positions and may be wrong;
// the target itself enforces the floor.
//
// The package is pure: callers pass the time, the group and random numbers.
//
// # Usage
//
//	var s sessn.Session
//	if token != "" {
//		s.Resume(position)
//	}
//	if s.NeedsFloor(grant.MaxAge) {
//		s.Attach(floor) // from a majority of the group
//	}
//	for _, target := range sessn.Candidates(read) {
//		// the first that does not refuse runs the statement
//	}
package sessn
