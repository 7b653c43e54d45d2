// Package wire serves callers over the PostgreSQL protocol, version 3.
//
// A session logs in with its workspace as the user, its route as the database
// and its key as a clear-text password, over TLS unless the settings allow
// plain text. It then owns no connection to a target: each transaction takes one
// from the pool with its first statement and returns it when it has ended.
//
// What a caller sends is gathered into units: a simple query, or the extended
// messages up to a Sync or Flush. A unit outside a transaction that only reads
// runs on a replica that has applied the session's floor, or on the primary where
// none has; any other goes to the primary. Its answer is held until the
// outcome is certain: a unit that a target refused goes to the next target as long
// as nothing has reached the caller, and the answer to a commit waits until a
// majority of the group has the commit.
//
// Outcomes follow one rule. A caller is told "not run" only when nothing was sent,
// when a target refused the unit or rolled it back, when a transaction lost its
// connection before its COMMIT was sent, or when the new primary lacks the commit.
// When a write was sent and none of this is known, the answer is SQLSTATE 08007.
//
// Each session has one goroutine. Lock order: the server, then one session. No lock
// is held during I/O.
//
// # Usage
//
//	srv := wire.New(wire.Config{VMNumber: 3, TLS: tlsConfig, Access: a, Limiter: l,
//		Groups: table, Control: c, Pools: pools})
//	go srv.Serve(listener)
//	...
//	cut := srv.Drain(ctx) // sessions that were still in a transaction
package wire
