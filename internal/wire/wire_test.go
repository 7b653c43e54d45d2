package wire

import (
	"errors"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"chervilspan.example/internal/wiretest"
	"chervilspan.example/pkg/ident"
)

// code returns the SQLSTATE of a target's or the proxy's error.
func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// echo answers queries by their parameter and notes writes.
func echo(c *wiretest.Call) wiretest.Reply {
	if len(c.Params) > 0 && c.SQL[:6] == "SELECT" {
		return wiretest.Rows(c.Params[0])
	}
	if c.SQL[:6] == "INSERT" {
		return wiretest.Wrote()
	}
	return wiretest.Rows("1")
}

// TestThinPath guards against a proxy that an unchanged pgx client with its
// statement cache can't use.
func TestThinPath(t *testing.T) {
	is := is.New(t)
	k := newKit(t)
	for _, tg := range k.targets {
		tg.Handle = echo
	}
	c := k.connect()
	var s string
	is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "x").Scan(&s))
	is.Equal(s, "x")
	is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "y").Scan(&s)) // from the cache
	is.Equal(s, "y")
	is.Equal(len(k.targets["b"].Log()), 2) // reads ran on the replica
	tag, err := c.Exec(t.Context(), "INSERT INTO t VALUES ($1)", "z")
	is.NoErr(err)
	is.Equal(tag.RowsAffected(), int64(1))
	_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
	is.NoErr(err)
	is.Equal(k.targets["a"].SQL(), []string{"INSERT INTO t VALUES ($1)", "INSERT INTO t VALUES (1)"})
	is.NoErr(c.QueryRow(t.Context(), "SHOW chervil.position").Scan(&s))
	is.Equal(s, "1/3")
	is.Equal(c.PgConn().ParameterStatus("chervil.position"), "1/3")
	is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "own").Scan(&s)) // the replica lacks the write
	is.Equal(s, "own")
	is.Equal(len(k.targets["a"].Log()), 3)
	k.targets["b"].SetApplied(ident.Position{Term: 1, Index: 3})
}

// TestTransaction guards against a transaction whose statements run on several
// connections.
func TestTransaction(t *testing.T) {
	is := is.New(t)
	k := newKit(t)
	k.targets["a"].Handle = echo
	c := k.connect()
	tx, err := c.Begin(t.Context())
	is.NoErr(err)
	var s string
	is.NoErr(tx.QueryRow(t.Context(), "SELECT $1", "x").Scan(&s))
	_, err = tx.Exec(t.Context(), "INSERT INTO t VALUES ($1)", "z")
	is.NoErr(err)
	is.NoErr(tx.Commit(t.Context()))
	log := k.targets["a"].Log()
	is.Equal(len(log), 2)
	is.True(log[0].InTx && log[1].InTx && log[0].Conn == log[1].Conn)
	is.Equal(len(k.targets["b"].Log()), 0)
	tx, err = c.BeginTx(t.Context(), pgx.TxOptions{AccessMode: pgx.ReadOnly})
	is.NoErr(err)
	_ = k.targets
	is.NoErr(tx.Rollback(t.Context()))
}

// TestBatch guards against a pipeline whose answers get out of order.
func TestBatch(t *testing.T) {
	is := is.New(t)
	k := newKit(t)
	for _, tg := range k.targets {
		tg.Handle = echo
	}
	c := k.connect()
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
	_, err = c.Query(t.Context(), "syntax error", "x")
	is.True(err != nil)
	var s string
	is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "after").Scan(&s))
	is.Equal(s, "after")
}
