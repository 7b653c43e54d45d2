// Package speed learns how fast a database answers and how many statements at a
// time it handles well, from the answers of the database.
//
// A Model is kept by a VM that holds connections to a database. It learns from
// each answer a service time by class of statement, the concurrency up to which
// throughput grows, and a failure rate. Failed statements and lost answers have
// no service time: the first may be fast because they fail, and the time of the
// second is the caller's deadline.
//
// A View is kept by each VM that chooses among databases. It combines what Models
// of this and other VMs report. The time of a class at a database is the class's
// time over all databases, multiplied by a factor of the database. One report of
// any class therefore updates the estimates of all classes, which matters because
// a VM of a large fleet hears about a database once or twice a second.
//
// Stalls records when the VM itself did not run. Answers that were outstanding at
// such a time are not used, since they measure the VM instead of the database.
//
// What is learned expires: without new answers, a database counts as average after
// forgetAfter, and the concurrency limit rises again.
//
// The package does no input or output and starts no goroutine, callers pass the
// time, and its types are not safe for concurrent use. The zero values of its types
// are ready for use.
//
// # Usage
//
//	var m speed.Model
//	m.Record(speed.Answer{Class: speed.ClassOf("reports"), Took: took, InProgress: 3}, now)
//	limit := m.Limit(slots, now)
//
//	var v speed.View
//	if r, ok := m.Report(class, slots, now); ok {
//		v.Record("db-1", r, now)
//	}
//	e := v.Estimate("db-1", class, now)
package speed
