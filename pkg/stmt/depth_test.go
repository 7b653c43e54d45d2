package stmt

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	pg "github.com/pganalyze/pg_query_go/v6"
)

// TestDepth guards against texts whose syntax tree is so deep that the recursion of the
// parser library overflows the stack, which ends the process, and against such texts
// that pass as plain writes with any other statement behind them.
func TestDepth(t *testing.T) {
	for name, shape := range map[string][4]string{
		"operators":   {"SELECT 1", "+1"},
		"casts":       {"SELECT 1", "::int"},
		"collations":  {"SELECT a", " COLLATE b"},
		"joins":       {"SELECT 1 FROM a", " CROSS JOIN a"},
		"unions":      {"SELECT 1, 2", " UNION SELECT 3, 4"},
		"parentheses": {"SELECT ", "(", "1", ")"},
		"negations":   {"SELECT ", "NOT ", "true"},
		"signs":       {"SELECT ", "-+", "1"},
		"subqueries":  {"SELECT ", "(SELECT ", "1", ")"},
		"arrays":      {"SELECT ", "ARRAY[", "1", "]"},
		"in a group":  {"SELECT f((1", "+1", "), 2)"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, n := range []int{3_000, 4_900, 20_000, 300_000} {
				q := Classify(shape[0] + strings.Repeat(shape[1], n) + shape[2] + strings.Repeat(shape[3], n) + "; LISTEN a")
				is.True(q.RefusalReason() != "") // of the depth, or of LISTEN
			}
		})
	}
}

// TestWideText guards against a refusal of long texts that are not deep.
func TestWideText(t *testing.T) {
	is := is.New(t)
	for _, sql := range []string{
		"INSERT INTO t VALUES (1)" + strings.Repeat(", (2 + 3, 'a(b')", 20_000),
		"SELECT 1 FROM t WHERE a = 1" + strings.Repeat(" OR a = 2 AND b = 3", 5_000),
		"SELECT '" + strings.Repeat("+1(", 100_000) + "'",
		strings.Repeat("SELECT 1+1; ", 20_000),
		"SELECT 1" + strings.Repeat("+1", 1000),
		"INSERT INTO t VALUES (1" + strings.Repeat(", 1", 20_000), // the target reports the error
	} {
		q := Classify(sql)
		is.Equal(q.RefusalReason(), "")
		is.True(len(q.Statements) > 0)
	}
}

// TestRejectedText guards against session state that a text leaves on a connection for
// other callers, when a target runs a text that this parser rejects: PostgreSQL continues
// a string behind a comment and sees SET ROLE outside of the string here.
func TestRejectedText(t *testing.T) {
	is := is.New(t)
	q := Classify("SELECT E'a'\n--\n'\\'' ; SET ROLE admin --'")
	is.Equal(q.RefusalReason(), "")
	is.True(q.Taints())
	is.True(!q.ReadOnly())
}

// FuzzDepth guards against texts that the meter and PostgreSQL's scanner split at other
// places, such as a string that one of them ends earlier: the rest is then not counted.
func FuzzDepth(f *testing.F) {
	for _, s := range []string{
		`SELECT E'a\'' + 1, 'a\' + 1`, "E'a'\n'b\\'+1'+1", "E'a' \n--'\n 'b\\'+1'", `"a""b" + U&"c"`, "$a$ $b$ $a$+$$+$$", "a$b$ + $1+$2",
		"/* a /* b */ ' */ + 1 -- '\n+1", "1.5e3+.5", "'a' 'b", "e'\\", "x'1f'||b'01'||N'n'", "a[1:2]::int<=-1 OR b", "$é$+$é$", "1--2\r+3",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		if len(sql) > 200 || strings.IndexByte(sql, 0) >= 0 {
			return
		}
		r, err := pg.Scan(sql)
		if err != nil {
			return // the parser rejects the text
		}
		var d depthMeter
		d.read(sql)
		for _, tok := range r.Tokens {
			if tok.Token != pg.Token_SQL_COMMENT && tok.Token != pg.Token_C_COMMENT {
				d.total--
			}
		}
		if d.total < 0 {
			t.Fatalf("%d tokens of %q are not counted", -d.total, sql)
		}
	})
}
