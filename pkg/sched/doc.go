// Package sched orders the statements that wait for room at one database, when
// routes differ in priority and have latency objectives.
//
// Statements that can still meet their objective are served before late ones. Among
// them, the class with the most value for each second of slot time comes first,
// where the weight stands for the value and the mean service time of the class for
// the slot time. A class with less time left goes before them if all statements of more
// value still meet their objective after it. Each class with waiting statements gets at
// least one part in FloorShare of the slot time. Within a class, workspaces get equal
// shares.
//
// In a standing queue, in which the oldest statement of a class has waited for more
// than half of its objective for StandingPeriod or longer, a class serves the newest
// statements first, since first-in first-out order would make every statement just
// miss its objective. A statement is refused when it is expected to meet neither its
// objective nor its deadline: when it arrives, or by RemoveUnanswerable before it has
// waited for a quarter of its objective.
//
// The package does no input or output, callers pass the time, and its types are not
// safe for concurrent use. Mean service times are recorded by class.
//
// # Usage
//
//	var q sched.Queue
//	it := sched.Item{Ticket: 1, Class: "c", Weight: 4, Workspace: "w", Objective: o, Deadline: d}
//	if err := q.Push(it, slots, now); err != nil {
//		return err // not run
//	}
//	if t, ok := q.Pop(now); ok {
//		// run statement t, then record its service time
//		q.RecordWork("c", 4, took)
//	}
package sched
