// Package engine serves the sessions of callers of a line protocol, whatever
// its codec: it decides at which database a statement runs, tries again where
// nothing can have run, and says what is known of the outcome.
//
// A session owns no connection between its operations. A transaction takes one
// with its first statement and keeps it to its end; the transaction's start is
// answered by the engine and sent to the database together with the session's
// variables and prepared statements, before the first statement.
//
// Reads on routes that need all acknowledged commits run inside a writing
// transaction of the engine's own, which a database refuses once it has lost
// the lead. Other reads carry the position that the log must have: the lowest
// one that covers the accepted age, and the session's own last commit.
//
// Outcomes follow one rule. An answer that promises that nothing is kept is
// given only when no write or commit was sent, or when the database itself gave
// it. A write or commit whose answer did not come is reported as unknown.
//
// Each session has one goroutine. Lock order: the engine's table of sessions,
// one session. No lock is held across I/O.
//
// # Usage
//
//	e := engine.New(engine.Config{Access: a, Limiter: l, Leads: g, Pools: p, Roster: r, Log: log})
//	s, refusal := e.Open(login, caller)
//	if refusal == nil {
//		s.Serve()
//	}
package engine
