package target

import "sync/atomic"

// Stats holds a target's counts since its start.
type Stats struct {
	// Statements counts the reads and writes received, refused ones included.
	Statements int64
	// Reads and Writes count the statements that ran.
	Reads  int64
	Writes int64
	// Commits counts the transactions that were appended to the log.
	Commits int64
	// Accepted counts the connections of callers that were accepted.
	Accepted int64
}

type counters struct{ statements, reads, writes, commits, accepted atomic.Int64 }

// Stats returns the counts; SELECT * FROM standin_stats() returns them too.
func (s *Server) Stats() Stats {
	c := &s.stats
	return Stats{c.statements.Load(), c.reads.Load(), c.writes.Load(), c.commits.Load(), c.accepted.Load()}
}
