// Package wire serves callers over the PostgreSQL protocol, version 3.
//
// A session logs in with its workspace as the user, its route as the database
// and its key as a clear-text password, over TLS unless the settings allow
// plain text. It then owns no connection to a target: each transaction borrows
// one from its first statement until the target is idle again.
//
// What a caller sends is gathered into units: a simple query, or the extended
// messages up to a Sync or Flush. A unit outside a transaction that only reads
// runs on a replica that has the session's floor, anything else on the primary.
// Its answer is held back until its fate is certain: a unit that a target
// refused goes to the next target as long as nothing reached the caller, and
// the answer to a commit waits until a majority of the group holds it.
//
// Outcomes follow one rule. "Not run" is said only when nothing was sent, when
// a target refused or rolled back, when a transaction lost its connection
// before its COMMIT was sent, or when the new primary lacks the commit. When a
// write was sent and none of this is known, the answer is SQLSTATE 08007.
//
// Each session has one goroutine. Lock order: the server's table of sessions,
// one session. No lock is held across I/O.
//
// # Usage
//
//	srv := wire.New(wire.Config{Number: 3, TLS: tlsConfig, Access: a, Limiter: l,
//		Groups: table, Control: c, Pools: pools})
//	go srv.Serve(listener)
//	...
//	cut := srv.Drain(ctx) // sessions that were still in a transaction
package wire
