// Package repl implements the replicated log and the term of one stand-in
// target as a state machine that handles calls and replication messages and
// does no I/O.
//
// The log follows Raft (Ongaro and Ousterhout, 2014, sections 5.3 and 5.4), but
// the election is external: targets promise a term, one target is promoted in
// it, and the rest follow it. Followers pull entries. A pull names the
// follower's last entry; when the primary has that entry too, the pull confirms
// that both logs are equal up to it in the term of the pull.
//
// # Usage
//
//	var s repl.State
//	s.Self = "a1"
//	err := s.RaiseTerm(1)
//	entry, err := s.Promote(1, []repl.Member{{ID: "a1"}, {ID: "a2", Address: "127.0.0.1:5402"}})
//	entry, err = s.Append([]repl.Statement{{SQL: "INSERT INTO t VALUES (1)"}}, nil)
//
// A follower sends s.NextPull() to its primary, which answers with
// s.HandlePull(pull, limit); the follower passes the answer to s.HandleAnswer.
//
// A log that differs from the primary's is truncated after the last common
// entry and not discarded, so that entries acknowledged by a majority stay in
// place while the data is rebuilt.
package repl
