package target

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
)

func sqlState(err error) string {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p.Code
	}
	return ""
}

// withSingleTarget runs f with a group of one target and a connection to it.
func withSingleTarget(t *testing.T, cfg Config, f func(is *is.I, c *cluster, conn *pgx.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, cfg)
		defer c.close()
		is.NoErr(Elect(context.Background(), 1, c.servers...))
		conn := c.connect(c.servers[0])
		defer closeConn(conn)
		f(is, c, conn)
	})
}

// TestRoundTrip guards against values that an unmodified PostgreSQL client can't
// write and read back, in the text and the binary format.
func TestRoundTrip(t *testing.T) {
	withSingleTarget(t, Config{}, func(is *is.I, c *cluster, conn *pgx.Conn) {
		ctx := context.Background()
		c.exec(conn, "CREATE TABLE v (id bigint PRIMARY KEY, n int, s text, ok boolean, x double precision, raw bytea, at timestamptz)")
		at := time.Date(2026, 3, 4, 5, 6, 7, 8000, time.UTC)
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
			c.exec(conn, "DELETE FROM v")
			tag, err := conn.Exec(ctx, "INSERT INTO v (id, n, s, ok, x, raw, at) VALUES ($1, $2, $3, $4, $5, $6, $7), ($8, NULL, NULL, NULL, NULL, NULL, NULL)",
				mode, int64(1)<<40, int32(-7), "it's", true, 2.5, []byte{0, 255}, at, int64(2))
			is.NoErr(err)
			is.Equal(tag.String(), "INSERT 0 2")
			var id int64
			var n int32
			var s string
			var ok bool
			var x float64
			var raw []byte
			var when time.Time
			row := conn.QueryRow(ctx, "SELECT * FROM v WHERE id > $1 ORDER BY id DESC", mode, int64(2))
			is.NoErr(row.Scan(&id, &n, &s, &ok, &x, &raw, &when))
			is.Equal(id, int64(1)<<40)
			is.Equal(n, int32(-7))
			is.Equal(s, "it's")
			is.Equal(ok, true)
			is.Equal(x, 2.5)
			is.Equal(raw, []byte{0, 255})
			is.True(when.Equal(at))
			var none *int32
			is.NoErr(conn.QueryRow(ctx, "SELECT n FROM v WHERE id = $1", mode, int64(2)).Scan(&none))
			is.True(none == nil)
		}
		var count int64
		is.NoErr(conn.QueryRow(ctx, "SELECT count(*) FROM v").Scan(&count))
		is.Equal(count, int64(2))
		is.NoErr(conn.QueryRow(ctx, "UPDATE v SET n = n + 1 WHERE id = $1 RETURNING id", int64(2)).Scan(&count))
		is.NoErr(conn.Ping(ctx))
		is.Equal(conn.PgConn().ParameterStatus(positionVar), "1/9")
	})
}

// TestBlock guards against a wrong transaction status, with which a client or a
// pooling proxy would reuse a connection in the middle of a transaction.
func TestBlock(t *testing.T) {
	withSingleTarget(t, Config{}, func(is *is.I, c *cluster, conn *pgx.Conn) {
		ctx := context.Background()
		other := c.connect(c.servers[0])
		defer closeConn(other)
		c.exec(conn, "CREATE TABLE t (id int PRIMARY KEY)")
		tx, err := conn.Begin(ctx)
		is.NoErr(err)
		is.Equal(conn.PgConn().TxStatus(), byte('T'))
		_, err = tx.Exec(ctx, "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		var n int64
		is.NoErr(tx.QueryRow(ctx, "SELECT count(*) FROM t").Scan(&n))
		is.Equal(n, int64(1))
		is.NoErr(other.QueryRow(ctx, "SELECT count(*) FROM t").Scan(&n))
		is.Equal(n, int64(0)) // not committed yet
		_, err = tx.Exec(ctx, "INSERT INTO t VALUES (1)")
		is.Equal(sqlState(err), "23505")
		is.Equal(conn.PgConn().TxStatus(), byte('E'))
		_, err = tx.Exec(ctx, "SELECT 1")
		is.Equal(sqlState(err), codeFailedBlock)
		is.NoErr(tx.Rollback(ctx))
		is.Equal(conn.PgConn().TxStatus(), byte('I'))
		is.NoErr(other.QueryRow(ctx, "SELECT count(*) FROM t").Scan(&n))
		is.Equal(n, int64(0))
		_, err = other.Exec(ctx, "BEGIN READ ONLY")
		is.NoErr(err)
		_, err = other.Exec(ctx, "INSERT INTO t VALUES (2)")
		is.Equal(sqlState(err), codeReadOnly)
		c.exec(other, "ROLLBACK")
	})
}

// TestBatch guards against a pipeline that commits the first statements of a
// failed implicit transaction.
func TestBatch(t *testing.T) {
	withSingleTarget(t, Config{}, func(is *is.I, c *cluster, conn *pgx.Conn) {
		ctx := context.Background()
		c.exec(conn, "CREATE TABLE t (id int PRIMARY KEY)")
		for _, test := range []struct {
			ids  []int
			code string
			rows int64
		}{{[]int{1, 1}, "23505", 0}, {[]int{1, 2}, "", 2}} {
			var b pgx.Batch
			for _, id := range test.ids {
				b.Queue("INSERT INTO t VALUES ($1)", id)
			}
			is.Equal(sqlState(conn.SendBatch(ctx, &b).Close()), test.code)
			n, err := countRows(conn)
			is.NoErr(err)
			is.Equal(n, test.rows)
		}
		stats := c.servers[0].Stats()
		is.Equal(stats.Commits, int64(2))
		is.Equal(stats.Reads, int64(2))
		is.Equal(stats.Statements, int64(7)) // one of them failed
	})
}
