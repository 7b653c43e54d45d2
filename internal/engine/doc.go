// Package engine serves client sessions independently of the protocol codec: it
// chooses the database on which a statement runs, retries statements that
// cannot have run, and reports what is known of the outcome.
//
// A session holds no connection between its operations. A transaction acquires
// one with its first statement and holds it until the transaction ends. The
// engine answers the start of a transaction itself and sends it to the database
// together with the session's variables and prepared statements, before the
// first statement.
//
// Reads on routes that need all acknowledged commits run inside a read-write
// transaction that the engine opens, which a database refuses once it is no
// longer the primary. Other reads carry the position that the database must
// have applied: the lowest one that satisfies the accepted age and, on routes
// with session consistency, the session's own last commit.
//
// An answer that promises that nothing was written is given only when no write
// or commit was sent, or when the database itself gave it. A write or commit
// without an answer is reported as unknown.
//
// Each session has one goroutine. Lock order: the engine's table of sessions,
// then one session. No lock is held across I/O.
//
// # Usage
//
//	e := engine.New(engine.Config{Access: a, Limiter: l, Primaries: mon, Pools: p, Roster: r, Place: place, Log: log})
//	s, refusal := e.Open(login, caller)
//	if refusal == nil {
//		s.Serve()
//	}
package engine
