package wire

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"chervilspan.example/internal/wiretest"
	"chervilspan.example/pkg/ident"
)

// TestLateAnswer guards against an answer that comes after its deadline and
// reaches the next statement.
func TestLateAnswer(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		for _, tg := range k.targets {
			tg.Handle = func(c *wiretest.Call) wiretest.Reply {
				if c.Params[0] == "slow" {
					time.Sleep(11 * time.Second) // past the deadline of 10 s
				}
				return wiretest.RowsReply(c.Params[0])
			}
		}
		c := k.connect()
		var s string
		is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "first").Scan(&s))
		err := c.QueryRow(t.Context(), "SELECT $1", "slow").Scan(&s)
		is.Equal(code(err), "08007")
		for range 3 {
			is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "next").Scan(&s))
			is.Equal(s, "next")
			time.Sleep(time.Second)
		}
	})
}

// TestPartialAnswer guards against a part of an answer that is taken for the
// whole, and against one that is joined with another target's answer.
func TestPartialAnswer(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		many := make([]string, 3000)
		for i := range many {
			many[i] = strings.Repeat("x", 100)
		}
		rows := []string{"1", "2"}
		k.targets["b"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Reply{Rows: rows, CloseConn: true} }
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.RowsReply("3", "4", "5") }
		c := k.connect()
		query := func() ([]string, error) {
			r, err := c.Query(t.Context(), "SELECT 1", pgx.QueryExecModeSimpleProtocol)
			is.NoErr(err)
			return pgx.CollectRows(r, pgx.RowTo[string])
		}
		got, err := query()
		is.NoErr(err)
		is.Equal(got, []string{"3", "4", "5"}) // nothing had reached the caller
		rows = many
		time.Sleep(2 * time.Second) // until the replica is tried first again
		_, err = query()
		is.Equal(code(err), "08007") // a part had
		is.Equal(len(k.targets["b"].Calls()), 2)
	})
}

// TestFloorRefused guards against a stale read when the cached position of a
// replica is wrong.
func TestFloorRefused(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		k.floor = ident.Position{Term: 1, Index: 5}
		k.targets["a"].SetApplied(ident.Position{Term: 1, Index: 5})
		k.table.RecordApplied("g", "b", ident.Position{Term: 1, Index: 9}) // wrong
		c := k.connect()
		var s string
		is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "x").Scan(&s))
		is.Equal(len(k.targets["b"].Calls()), 0)
		is.True(len(k.targets["a"].Calls()) > 0)
	})
}

// TestAttach guards against a session without a token that reads below what was
// acknowledged to others, and against one that is served in a cut-off zone.
func TestAttach(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		k.floorErr = errors.New("no majority")
		c := k.connect()
		_, err := c.Exec(t.Context(), "SELECT 1")
		is.Equal(code(err), "57P03")
		token := k.connect(func(cfg *pgx.ConnConfig) { cfg.RuntimeParams["chervil.position"] = "1/1" })
		_, err = token.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		k.mu.Lock()
		k.grant.MaxAge = time.Minute
		k.mu.Unlock()
		_, err = k.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		_, err = k.tryConnect(func(cfg *pgx.ConnConfig) { cfg.RuntimeParams["chervil.position"] = "x" })
		is.Equal(code(err), "22023")
	})
}

// TestHiddenWrite guards against a read that fails because it writes after all,
// and against one on a read-only route that reaches the primary.
func TestHiddenWrite(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		k.targets["b"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.ErrorReply("25006") }
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply {
			return wiretest.Reply{Rows: []string{"1"}, Tag: "SELECT 1", Write: true}
		}
		c := k.connect()
		_, err := c.Exec(t.Context(), "SELECT * FROM view_that_writes")
		is.NoErr(err)
		is.Equal(c.PgConn().ParameterStatus("chervil.position"), "1/2")
		k.mu.Lock()
		k.grant.ReadOnly = true
		k.mu.Unlock()
		ro := k.connect()
		_, err = ro.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "25006")
		is.Equal(len(k.targets["b"].Calls()), 1) // refused before it was sent
		_, err = ro.Exec(t.Context(), "SELECT * FROM view_that_writes")
		is.Equal(code(err), "25006")
		is.Equal(len(k.targets["a"].Calls()), 1)
	})
}

// TestQueueFull guards against a read that is refused although another target
// has room, and against a refused write that is sent.
func TestQueueFull(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		k.busy = map[ident.Target]bool{"b": true}
		_, err := c.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		k.mu.Lock()
		k.busy["a"] = true
		k.mu.Unlock()
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "53300")
		is.Equal(len(k.targets["a"].Calls()), 1)
	})
}

// TestForgedToken guards against a caller that makes the proxy flood its
// targets by a token that no target will reach, and against a floor that stays
// on the connections for others.
func TestForgedToken(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect(func(cfg *pgx.ConnConfig) { cfg.RuntimeParams["chervil.position"] = "99/1" })
		_, err := c.Exec(t.Context(), "SELECT 1")
		is.Equal(code(err), "57P03")
		// 10 s at 10 retries a second to each of two targets, and the first round.
		sent := k.targets["a"].FloorRefusals() + k.targets["b"].FloorRefusals()
		is.True(sent > 2 && sent <= 2*10*11+2)
		_, err = k.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		is.Equal(len(k.targets["b"].Calls()), 1)
	})
}
