package stmt

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestClassify guards against a write that is classified as a read and sent to a
// replica, against a start or end of a transaction that is not detected, and
// against SET and similar statements that are sent to a pooled connection.
func TestClassify(t *testing.T) {
	write, read := Info{}, Info{ReadOnly: true}
	for _, test := range []struct {
		sql  string
		want Info
	}{
		{"SELECT sum(m) FROM rods WHERE id = $1", read},
		{"select 1", read},
		{"VALUES (1)", read},
		{"SELECT * FROM rods FOR UPDATE", write},
		{"SELECT * FROM rods FOR SHARE", write},
		{"SELECT * FROM (SELECT * FROM rods FOR UPDATE) r", write},
		{"SELECT * INTO t FROM rods", write},
		{"WITH d AS (DELETE FROM rods RETURNING id) SELECT * FROM d", write},
		{"SELECT cut_rod(1)", write},
		{"SELECT other.lower('A')", write},
		{"SELECT pg_catalog.lower('A')", read},
		{"SELECT nextval('s')", write},
		{"SELECT pg_advisory_xact_lock(1)", write},
		{"EXPLAIN SELECT 1", read},
		{"EXPLAIN ANALYZE INSERT INTO t VALUES (1)", write},
		{"INSERT INTO t VALUES (1)", write},
		{"CREATE TABLE t (id int)", write},
		{"not sql at all", Info{Taints: true}},
		{"DO $$ BEGIN PERFORM 1; END $$", Info{Taints: true}},
		{"CALL p()", Info{Taints: true}},
		{"DECLARE c CURSOR FOR SELECT 1", read},
		{"FETCH 1 FROM c", read},
		{"BEGIN", Info{Kind: KindBegin, Tag: "BEGIN"}},
		{"START TRANSACTION READ ONLY", Info{Kind: KindBegin, Access: AccessReadOnly, ReadOnly: true, Tag: "BEGIN"}},
		{"begin isolation level serializable read write", Info{Kind: KindBegin, Access: AccessReadWrite, Tag: "BEGIN"}},
		{"END", Info{Kind: KindCommit, ReadOnly: true, Tag: "COMMIT"}},
		{"ABORT", Info{Kind: KindRollback, ReadOnly: true, Tag: "ROLLBACK"}},
		{"ROLLBACK TO a", Info{Kind: KindRollbackTo, ReadOnly: true}},
		{"SAVEPOINT a", read},
		{"SET LOCAL statement_timeout = 5", read},
		{"SET TRANSACTION ISOLATION LEVEL SERIALIZABLE", read},
		{"SET chervil.idempotency_key = 'k1'", Info{Kind: KindSet, ReadOnly: true, Name: VarIdempotencyKey, Value: "k1", Tag: "SET"}},
		{"RESET chervil.idempotency_key", Info{Kind: KindSet, ReadOnly: true, Name: VarIdempotencyKey, Tag: "RESET"}},
		{"SET application_name TO app", Info{Kind: KindSet, ReadOnly: true, Name: VarApplicationName, Value: "app", Tag: "SET"}},
		{"SET client_encoding = 'UTF8'", Info{Kind: KindIgnored, ReadOnly: true, Tag: "SET"}},
		{"SET extra_float_digits = 3", Info{Kind: KindIgnored, ReadOnly: true, Tag: "SET"}},
		{"SET TIME ZONE 'UTC'", Info{Kind: KindIgnored, ReadOnly: true, Tag: "SET"}},
		{"SHOW chervil.position", Info{Kind: KindShow, ReadOnly: true, Name: VarPosition, Tag: "SHOW"}},
		{"SHOW server_version", read},
		{"DEALLOCATE a", Info{Kind: KindDeallocate, ReadOnly: true, Name: "a", Tag: "DEALLOCATE"}},
		{"DEALLOCATE ALL", Info{Kind: KindDeallocate, ReadOnly: true, Tag: "DEALLOCATE ALL"}},
		{"DISCARD ALL", Info{Kind: KindDiscardAll, ReadOnly: true, Tag: "DISCARD ALL"}},
	} {
		t.Run(test.sql, func(t *testing.T) {
			is := is.New(t)
			q := Classify(test.sql)
			is.Equal(len(q.Statements), 1)
			is.Equal(q.Statements[0], test.want)
		})
	}
}

// TestUnsupported guards against session state that leaks to the next caller of
// a pooled connection, and against functions and views that act on other sessions
// or show their statements.
func TestUnsupported(t *testing.T) {
	for _, sql := range []string{
		"LISTEN a", "UNLISTEN *", "CREATE TEMP TABLE t (id int)", "SELECT * INTO TEMP t FROM rods",
		"SELECT * FROM pg_temp.t", "DECLARE c CURSOR WITH HOLD FOR SELECT 1", "SET search_path = other",
		"SET SESSION AUTHORIZATION a", "SET ROLE a", "SET LOCAL ROLE a", "SET chervil.floor = ''",
		"SET LOCAL chervil.floor = ''", "SET LOCAL chervil.max_age_ms = 0", "SET client_encoding = 'LATIN1'",
		"PREPARE p AS SELECT 1", "EXECUTE p", "COPY t FROM STDIN", "COPY t TO STDOUT", "LOAD 'a'",
		"SELECT pg_advisory_lock(1)", "SELECT set_config('chervil.floor', '', false)", "SELECT currval('s')",
		"SELECT chervil_promote(1, '')", "SELECT * FROM chervil_raise_term(9)", "PREPARE TRANSACTION 'a'",
		"COMMIT PREPARED 'a'", "COMMIT AND CHAIN", "SELECT pg_terminate_backend(1)",
		"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", "EXPLAIN EXECUTE p",
		"SELECT 1; SET application_name = 'a'", "SELECT statement FROM pg_prepared_statements",
		"SELECT query FROM pg_catalog.pg_stat_activity", "SELECT * FROM pg_prepared_statement()", "SET TIME ZONE 'Asia/Tokyo'",
	} {
		t.Run(sql, func(t *testing.T) {
			is := is.New(t)
			is.True(Classify(sql).RefusalReason() != "")
		})
	}
}

// TestMultipleStatements guards against classifying a text of several statements
// by the first one only.
func TestMultipleStatements(t *testing.T) {
	is := is.New(t)
	q := Classify("SELECT 1; INSERT INTO t VALUES (1)")
	is.Equal(len(q.Statements), 2)
	is.True(!q.ReadOnly())
	is.True(Classify("SELECT 1; SELECT 2").ReadOnly())
	is.True(Classify("BEGIN; SELECT 2").ControlsTransaction())
	is.Equal(len(Classify(" -- nothing").Statements), 0)
}

// TestCache guards against a cache that returns the classification of another
// text, and against texts that make the classification panic.
func TestCache(t *testing.T) {
	var c Cache
	words := []string{"SELECT", "1", "FROM", "t", "FOR UPDATE", ";", "INSERT INTO t VALUES (1)", "BEGIN", "(", ")", "'"}
	rapid.Check(t, func(t *rapid.T) {
		sql := ""
		for _, w := range rapid.SliceOfN(rapid.SampledFrom(words), 0, 6).Draw(t, "words") {
			sql += w + " "
		}
		want := Classify(sql)
		for range 2 {
			got := c.Classify(sql)
			if got.ReadOnly() != want.ReadOnly() || len(got.Statements) != len(want.Statements) {
				t.Fatalf("%q: %+v, want %+v", sql, got, want)
			}
		}
	})
}
