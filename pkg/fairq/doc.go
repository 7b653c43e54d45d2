// Package fairq queues the requests that wait for one target, with fair
// scheduling among workspaces: weighted deficit round robin (Shreedhar and
// Varghese, "Efficient Fair Queueing Using Deficit Round Robin", 1995), in
// which a request costs the mean service time of its workspace. Each
// workspace's queue is bounded, and a request that is not expected to start
// before its deadline is refused at once.
//
// The package does no input or output, callers pass the time, and its types are
// not safe for concurrent use.
//
// # Usage
//
//	var q fairq.Queue
//	if err := q.Push(fairq.Item{Ticket: 1, Workspace: "w", Deadline: d}, slots, now); err != nil {
//		return err // not run: the queue is full or the deadline can't be met
//	}
//	if t, ok := q.Pop(now); ok {
//		// run request t, then record its service time
//		q.RecordServiceTime("w", took)
//	}
package fairq
