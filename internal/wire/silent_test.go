package wire

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"chervilspan.example/internal/wiretest"
	"chervilspan.example/pkg/ident"
)

// warm opens two connections to the primary, so that one stays idle while a
// statement runs on the other.
func (k *kit) warm(is *is.I, c, d *pgx.Conn) {
	for _, c := range []*pgx.Conn{c, d} {
		_, err := c.Exec(k.t.Context(), "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(k.t.Context(), "INSERT INTO t VALUES (0)")
		is.NoErr(err)
	}
	for _, c := range []*pgx.Conn{c, d} {
		_, err := c.Exec(k.t.Context(), "COMMIT")
		is.NoErr(err)
	}
}

// TestSilentPath guards against statements that wait for their deadline on a
// connection that the network has lost, against a keyed write or a read that
// fails for it, and against a write without key that is sent twice.
func TestSilentPath(t *testing.T) {
	for name, test := range map[string]struct {
		sql   string
		keyed bool
		code  string
		ran   int
	}{
		"write":       {"INSERT INTO t VALUES (1)", false, "08007", 0},
		"keyed write": {"INSERT INTO t VALUES (1)", true, "", 1},
		"read":        {"SELECT 1", false, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I, k *kit) {
				c, d := k.connect(), k.connect()
				k.down = map[ident.Target]bool{"b": true} // reads run on the primary too
				k.warm(is, c, d)
				if test.keyed {
					_, err := c.Exec(t.Context(), "SET chervil.idempotency_key = 'k1'")
					is.NoErr(err)
				}
				before := len(k.targets["a"].Calls())
				k.targets["a"].HangConns()
				start := time.Now()
				_, err := c.Exec(t.Context(), test.sql)
				is.Equal(code(err), test.code)
				is.True(time.Since(start) < time.Second)
				is.Equal(len(k.targets["a"].Calls())-before, test.ran)
				start = time.Now()
				_, err = d.Exec(t.Context(), "INSERT INTO t VALUES (2)")
				is.NoErr(err)
				is.True(time.Since(start) < time.Second)
			})
		})
	}
}

// TestSilentTransaction guards against an open transaction on a lost connection
// that waits for its deadline, or whose loss before COMMIT is called unknown.
func TestSilentTransaction(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c, d := k.connect(), k.connect()
		k.warm(is, c, d)
		_, err := c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		k.targets["a"].HangConns()
		start := time.Now()
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "40001")
		is.True(time.Since(start) < time.Second)
		_, err = c.Exec(t.Context(), "ROLLBACK")
		is.NoErr(err)
	})
}

// TestSilentReplica guards against a transaction on a replica that waits for its
// deadline on a lost connection.
func TestSilentReplica(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c, d := k.connect(), k.connect()
		for _, sql := range []string{"BEGIN READ ONLY", "SELECT 1"} {
			for _, c := range []*pgx.Conn{c, d} {
				_, err := c.Exec(t.Context(), sql)
				is.NoErr(err)
			}
		}
		is.Equal(k.targets["b"].OpenConns(), 2)
		_, err := d.Exec(t.Context(), "COMMIT")
		is.NoErr(err)
		k.targets["b"].HangConns()
		start := time.Now()
		_, err = c.Exec(t.Context(), "SELECT 2")
		is.Equal(code(err), "40001")
		is.True(time.Since(start) < time.Second)
	})
}

// TestSlowStatement guards against a slow write that is given up, or sent again,
// although the connections beside it answer.
func TestSlowStatement(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c, d := k.connect(), k.connect()
		k.warm(is, c, d)
		k.targets["a"].Handle = func(call *wiretest.Call) wiretest.Reply {
			time.Sleep(3 * time.Second)
			return echo(call)
		}
		start := time.Now()
		_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		is.Equal(time.Since(start), 3*time.Second)
		synctest.Wait()
		is.Equal(len(k.targets["a"].Calls()), 3)
	})
}
