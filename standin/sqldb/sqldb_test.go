package sqldb

import (
	"testing"

	"github.com/jackc/pgx/v5/pgtype"
	"github.com/matryer/is"
)

func parseOne(t *testing.T, text string) *Statement {
	t.Helper()
	list, err := Parse(text)
	if err != nil || len(list) != 1 {
		t.Fatalf("%q: %d statements, %v", text, len(list), err)
	}
	return list[0]
}

func openWith(t *testing.T, texts ...string) *DB {
	t.Helper()
	db, err := Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = db.Close() })
	for _, text := range texts {
		if _, err := db.Run(parseOne(t, text), nil); err != nil {
			t.Fatal(err)
		}
	}
	return db
}

// TestRewrite guards against rewritten SQL that SQLite interprets differently,
// and against parts of literals taken for syntax.
func TestRewrite(t *testing.T) {
	for _, test := range []struct{ in, want string }{
		{"SELECT $1::int + $2 -- note", "SELECT ?1 + ?2"},
		{"SELECT a FROM t WHERE b = '$1::x' FOR UPDATE", "SELECT a FROM t WHERE b = '$1::x'"},
		{"CREATE TABLE t (id bigserial PRIMARY KEY)", "CREATE TABLE t (id INTEGER PRIMARY KEY)"},
		{"SELECT a FROM public.t WHERE b ILIKE 'x'", "SELECT a FROM t WHERE b LIKE 'x'"},
		{"SELECT 'x'::varchar(10), 1.5::double precision", "SELECT 'x', 1.5"},
	} {
		t.Run(test.in, func(t *testing.T) {
			is := is.New(t)
			is.Equal(parseOne(t, test.in).SQL, test.want)
		})
	}
}

// TestRejectNondeterministic guards against writes that store other values on a
// replica, because a function in them has another result there.
func TestRejectNondeterministic(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"INSERT INTO t VALUES (now())", "UPDATE t SET a = random()", "INSERT INTO t VALUES (CURRENT_TIMESTAMP)"} {
		_, err := Parse(text)
		is.True(err != nil)
	}
	_, err := Parse("INSERT INTO t VALUES ('now')")
	is.NoErr(err)
}

// TestDescribe guards against wrong type OIDs, with which a client decodes binary
// values incorrectly or cannot encode its parameters.
func TestDescribe(t *testing.T) {
	db := openWith(t, "CREATE TABLE t (id bigint PRIMARY KEY, qty int, name text, done boolean, x double precision)")
	const i8, i4, txt, boolean, f8 = pgtype.Int8OID, pgtype.Int4OID, pgtype.TextOID, pgtype.BoolOID, pgtype.Float8OID
	for _, test := range []struct {
		text    string
		params  []uint32
		columns []Column
	}{
		{"SELECT * FROM t WHERE id = $1", []uint32{i8}, []Column{{"id", i8}, {"qty", i4}, {"name", txt}, {"done", boolean}, {"x", f8}}},
		{"SELECT count(*), sum(qty), max(name) AS m FROM t", []uint32{}, []Column{{"count", i8}, {"sum", i8}, {"m", txt}}},
		{"INSERT INTO t (id, qty, name) VALUES ($1, $2, $3) RETURNING id, qty + 1", []uint32{i8, i4, txt}, []Column{{"id", i8}, {"?column?", i8}}},
		{"INSERT INTO t VALUES ($1, $2, $3, $4, $5)", []uint32{i8, i4, txt, boolean, f8}, nil},
		{"UPDATE t SET qty = $2, done = $3 WHERE id = $1", []uint32{i8, i4, boolean}, nil},
		{"SELECT name FROM t WHERE id IN ($1, $2) LIMIT $3", []uint32{i8, i8, i8}, []Column{{"name", txt}}},
		{"SELECT $1::int8, EXISTS (SELECT 1 FROM t), coalesce(max(x), 0) FROM t", []uint32{i8}, []Column{{"int8", i8}, {"exists", boolean}, {"coalesce", f8}}},
		{"SELECT 1, 'a', 2.5, true, $1", []uint32{txt}, []Column{{"?column?", i4}, {"?column?", txt}, {"?column?", f8}, {"?column?", boolean}, {"?column?", txt}}},
	} {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			d, err := db.Describe(parseOne(t, test.text))
			is.NoErr(err)
			is.Equal(d.Params, test.params)
			is.Equal(d.Columns, test.columns)
		})
	}
}

// TestCopy guards against a copy that shares rows with its source or cannot be
// written to.
func TestCopy(t *testing.T) {
	is := is.New(t)
	src := openWith(t, "CREATE TABLE t (id int)", "INSERT INTO t VALUES (1)")
	dst := openWith(t, "CREATE TABLE other (id int)")
	is.NoErr(dst.CopyFrom(src))
	for range 2000 {
		_, err := dst.Run(parseOne(t, "INSERT INTO t VALUES (2)"), nil)
		is.NoErr(err)
	}
	count := parseOne(t, "SELECT count(*) FROM t")
	got, err := dst.Run(count, nil)
	is.NoErr(err)
	is.Equal(got.Rows[0][0], int64(2001))
	got, err = src.Run(count, nil)
	is.NoErr(err)
	is.Equal(got.Rows[0][0], int64(1))
	is.NoErr(dst.Begin())
	is.NoErr(dst.Rollback())
}
