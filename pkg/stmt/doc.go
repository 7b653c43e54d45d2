// Package stmt classifies SQL statements: whether a statement only reads,
// whether it starts or ends a transaction, whether it sets a variable, and
// whether it needs state of a session that transaction pooling can't carry.
//
// Statements are parsed by pg_query_go, which is PostgreSQL's own parser. A
// statement only reads when its whole tree contains nothing but queries and
// functions of a list of built-in functions without side effects. Everything
// else counts as a write, also what the parser does not know, so that a mistake
// costs a trip to the primary and never a lost write.
//
// # Usage
//
// A Cache keeps the classification of texts that repeat:
//
//	var cache stmt.Cache
//	q := cache.Classify("SELECT sum(metres) FROM rods")
//	if reason := q.Refused(); reason != "" {
//		// answer with SQLSTATE 0A000
//	}
//	if q.ReadOnly() {
//		// any replica will do
//	}
package stmt
