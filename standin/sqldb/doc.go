// Package sqldb is the database of a stand-in target: it runs statements in
// PostgreSQL's SQL on an in-memory SQLite database.
//
// PostgreSQL's own parser (pg_query) classifies a statement and gives the
// types of its parameters and results. The statement's tokens, from PostgreSQL's
// scanner, are rewritten to SQLite's dialect: $1 becomes ?1, casts with :: and
// locking clauses are dropped, serial columns become INTEGER. SQL that SQLite
// does not support gives an error.
//
// # Usage
//
//	list, err := sqldb.Parse("SELECT qty FROM stock WHERE id = $1")
//	db, err := sqldb.Open()
//	d, err := db.Describe(list[0])        // parameter and column types
//	res, err := db.Run(list[0], []any{7}) // rows or the number of changed rows
//
// Values are nil, int64, float64, string, bool, []byte and time.Time. Encode
// and Decode convert them to and from the protocol's text and binary formats.
package sqldb
