package wire

import (
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"chervilspan.example/internal/metr"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
)

// TestPgxClient guards against a proxy that an unmodified pgx client with its
// statement cache can't use, and against reads that do not see the session's own
// write.
func TestPgxClient(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		var s string
		is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "x").Scan(&s))
		is.Equal(s, "x")
		is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "y").Scan(&s)) // from the cache
		is.Equal(s, "y")
		is.Equal(len(fx.targets["b"].Calls()), 2) // reads ran on the replica
		tag, err := c.Exec(t.Context(), "INSERT INTO t VALUES ($1)", "z")
		is.NoErr(err)
		is.Equal(tag.RowsAffected(), int64(1))
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		is.Equal(fx.targets["a"].SQL(), []string{"INSERT INTO t VALUES ($1)", "INSERT INTO t VALUES (1)"})
		is.NoErr(c.QueryRow(t.Context(), "SHOW chervil.position").Scan(&s))
		is.Equal(s, "1/3")
		is.Equal(c.PgConn().ParameterStatus("chervil.position"), "1/3")
		is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "own").Scan(&s))
		is.Equal(len(fx.targets["a"].Calls()), 3) // the replica lacks the write
		fx.targets["b"].SetApplied(ident.Position{Term: 1, Index: 3})
		fx.table.RecordApplied("g", "b", ident.Position{Term: 1, Index: 3})
		is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "own").Scan(&s))
		is.Equal(len(fx.targets["b"].Calls()), 3)
		is.NoErr(c.Close(t.Context()))
	})
}

// TestQueryExecModes guards against wrong or missing answers to clients that use a
// query mode other than pgx's default.
func TestQueryExecModes(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
				c := fx.connect(func(cfg *pgx.ConnConfig) { cfg.DefaultQueryExecMode = mode })
				for range 3 {
					rows, err := c.Query(t.Context(), "SELECT $1::text", "x")
					is.NoErr(err)
					got, err := pgx.CollectRows(rows, pgx.RowTo[string])
					is.NoErr(err)
					is.Equal(len(got), 1)
					_, err = c.Exec(t.Context(), "INSERT INTO t VALUES ($1)", "z")
					is.NoErr(err)
				}
				_, err := c.Exec(t.Context(), "DEALLOCATE ALL")
				is.NoErr(err)
				is.NoErr(c.DeallocateAll(t.Context()))
				is.NoErr(c.Ping(t.Context()))
			})
		})
	}
}

// TestTransaction guards against a transaction whose statements run on several
// connections, and against one that writes on a replica.
func TestTransaction(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		tx, err := c.Begin(t.Context())
		is.NoErr(err)
		var s string
		is.NoErr(tx.QueryRow(t.Context(), "SELECT $1", "x").Scan(&s))
		_, err = tx.Exec(t.Context(), "INSERT INTO t VALUES ($1)", "z")
		is.NoErr(err)
		is.NoErr(tx.Commit(t.Context()))
		log := fx.targets["a"].Calls()
		is.Equal(len(log), 2)
		is.True(log[0].InTx && log[1].InTx && log[0].ConnID == log[1].ConnID)
		is.Equal(len(fx.targets["b"].Calls()), 0)

		fx.targets["b"].SetApplied(ident.Position{Term: 1, Index: 2})
		fx.table.RecordApplied("g", "b", ident.Position{Term: 1, Index: 2})
		tx, err = c.BeginTx(t.Context(), pgx.TxOptions{AccessMode: pgx.ReadOnly})
		is.NoErr(err)
		is.NoErr(tx.QueryRow(t.Context(), "SELECT $1", "x").Scan(&s))
		is.NoErr(tx.Rollback(t.Context()))
		is.Equal(len(fx.targets["b"].Calls()), 1)
	})
}

// TestFailedTransaction guards against a transaction that is committed without a
// statement in it that the proxy refused.
func TestFailedTransaction(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		exec := func(sql string, args ...any) (string, error) {
			tag, err := c.Exec(t.Context(), sql, args...)
			return tag.String(), err
		}
		_, err := exec("BEGIN")
		is.NoErr(err)
		_, err = exec("INSERT INTO t VALUES ($1)", "z")
		is.NoErr(err)
		_, err = exec("SET search_path = other")
		is.Equal(code(err), "0A000")
		is.Equal(c.PgConn().TxStatus(), byte('E'))
		_, err = exec("INSERT INTO t VALUES ($1)", "z")
		is.Equal(code(err), "25P02")
		_, err = exec("ROLLBACK TO a")
		is.NoErr(err)
		is.Equal(c.PgConn().TxStatus(), byte('T'))
		_, err = exec("LISTEN a")
		is.Equal(code(err), "0A000")
		tag, err := exec("COMMIT")
		is.NoErr(err)
		is.Equal(tag, "ROLLBACK")
		is.Equal(c.PgConn().TxStatus(), byte('I'))
		is.Equal(fx.targets["a"].Applied(), ident.Position{Term: 1, Index: 1}) // nothing was committed
		_, err = exec("INSERT INTO t VALUES ($1)", "z")
		is.NoErr(err)
	})
}

// TestBatch guards against a pipeline whose answers come out of order, and against
// a refused statement that disturbs the answers to later ones.
func TestBatch(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		var b pgx.Batch
		for _, v := range []string{"1", "2", "3"} {
			b.Queue("SELECT $1", v)
			b.Queue("INSERT INTO t VALUES ($1)", v)
		}
		res := c.SendBatch(t.Context(), &b)
		for _, v := range []string{"1", "2", "3"} {
			var s string
			is.NoErr(res.QueryRow().Scan(&s))
			is.Equal(s, v)
			_, err := res.Exec()
			is.NoErr(err)
		}
		is.NoErr(res.Close())
		_, err := c.Exec(t.Context(), "LISTEN a")
		is.Equal(code(err), "0A000")
		_, err = c.Exec(t.Context(), "SELECT $1, 'syntax error'", "x")
		is.Equal(code(err), "42601")
		_, err = c.Exec(t.Context(), "COPY t FROM STDIN")
		is.Equal(code(err), "0A000")
		var s string
		is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "after").Scan(&s))
		is.Equal(s, "after")
	})
}

// TestMetrics guards against metrics that grow with the number of workspaces,
// and against reads that are counted for the wrong role.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	m := newStatementMetrics(scope)
	for i := range 3 * metr.MaxLabelValues {
		auth := access.Authorization{Workspace: ident.Workspace("w" + strconv.Itoa(i)), Class: "std"}
		m.recordStatement(auth, retry.Done, time.Millisecond)
		m.recordRead(auth, i%2 == 0)
	}
	is.Equal(len(m.series), metr.MaxLabelValues+1)
	counters := scope.Snapshot().Counters()
	is.Equal(counters["statements+class=std,outcome=done,workspace=other"].Value(), int64(2*metr.MaxLabelValues))
	is.Equal(counters["reads+class=std,role=primary,workspace=w0"].Value(), int64(1))
	is.Equal(counters["reads+class=std,role=replica,workspace=w1"].Value(), int64(1))
}

// TestReadsByRole guards against a count of reads by role that includes writes or
// names the wrong role.
func TestReadsByRole(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		_, err := c.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "SELECT 1") // the replica lacks the write
		is.NoErr(err)
		counters := scope.Snapshot().Counters()
		for role, want := range map[string]int64{"replica": 1, "primary": 1} {
			is.Equal(counters["reads+class=std,role="+role+",workspace=taller"].Value(), want)
		}
		is.Equal(counters["statements+class=std,outcome=done,workspace=taller"].Value(), int64(3))
	}, func(cfg *Config) { cfg.Scope = scope })
}
