package target

import "sync/atomic"

// Stats counts what a target has done since its start.
type Stats struct {
	// Statements are the reads and writes that arrived, refused ones included.
	Statements int64
	// Reads and Writes are those that ran.
	Reads  int64
	Writes int64
	// Commits are the transactions that became log entries.
	Commits int64
	// Accepted are the connections of callers that were let in.
	Accepted int64
}

type counters struct{ statements, reads, writes, commits, accepted atomic.Int64 }

// Stats returns the counts; SELECT * FROM standin_stats() returns them too.
func (s *Server) Stats() Stats {
	c := &s.stats
	return Stats{c.statements.Load(), c.reads.Load(), c.writes.Load(), c.commits.Load(), c.accepted.Load()}
}
