// Package repl has the log and the term of one stand-in target as a pure state
// machine: it takes calls and replication messages and does no I/O.
//
// The rules are those of Raft's log (Ongaro and Ousterhout, 2014, section 5.3
// and 5.4), with the election left to others: a target promises a term, one
// target is promoted in it, and the rest follow. Followers pull. A pull names
// the follower's last entry and so confirms, for the term it carries, that the
// follower's log equals the primary's up to there.
//
// # Usage
//
//	var s repl.State
//	s.Self = "a1"
//	err := s.Raise(1)
//	err = s.Promote(1, []repl.Member{{ID: "a1"}, {ID: "a2", Address: "127.0.0.1:5402"}})
//	entry, err := s.Append([]repl.Statement{{SQL: "INSERT INTO t VALUES (1)"}}, nil)
//
// A follower sends s.NextPull() to its primary, which answers with
// s.Answer(pull, limit); the follower passes the answer to s.Accept.
//
// A log that differs from the primary's is cut back to the last equal entry,
// not dropped: entries that a majority acknowledged stay where they are while
// the data is built anew.
package repl
