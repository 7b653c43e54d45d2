// Package warm decides how many requests may reach a database that was started a
// short time ago.
//
// A Table knows which databases are cold, from their reports and from how long ago
// they were started. Tolerance.Limit gives the token bucket that all VMs together may
// use for a cold database; packages quota and limit divide it among the VMs. A Queue
// orders the requests that wait for tokens. Those that no other database can run, such
// as writes, go first. For RampTime after a database became warm, Ramp and RampSlots say
// which part of the requests of a VM it gets.
//
// The package does no I/O and reads no clock. Times are those of a clock that
// includes the time of suspension, except where a time is said to be the wall clock's.
// Its types are not safe for concurrent use.
//
// # Usage
//
//	var tab warm.Table
//	r := warm.Report{Start: 1771, Sequence: 4, Left: 9 * time.Second}
//	tab.Observe("db-1", r, rule, now, time.Now())
//	if tab.Cold("db-1", now) {
//		// take a token of tolerance.Limit(rule.Rate, lifetimes) first
//	}
package warm
