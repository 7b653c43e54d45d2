// Package stmt classifies SQL statements: whether a statement only reads,
// whether it starts or ends a transaction, whether it sets a variable, and
// whether it needs session state that transaction pooling does not preserve.
//
// Statements are parsed by pg_query_go, which contains PostgreSQL's own parser.
// A statement counts as a read only if its syntax tree contains nothing but
// queries and calls of listed built-in functions without side effects.
// Everything else counts as a write, including texts that the parser rejects; a
// connection that ran such a text is not used again. A
// read that is mistaken for a write costs a request to the primary; the opposite
// mistake would send a write to a replica.
//
// # Usage
//
// A Cache keeps the classifications of recent query texts:
//
//	var cache stmt.Cache
//	q := cache.Classify("SELECT sum(metres) FROM rods")
//	if reason := q.RefusalReason(); reason != "" {
//		// answer with SQLSTATE 0A000
//	}
//	if q.ReadOnly() {
//		// the query may run on a replica
//	}
package stmt
