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

// TestLateAnswer guards against an answer that comes after its deadline and is taken
// for that to the next statement.
func TestLateAnswer(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		for _, tg := range fx.targets {
			tg.Handle = func(c *wiretest.Call) wiretest.Reply {
				if c.Params[0] == "slow" {
					time.Sleep(11 * time.Second) // past the deadline of 10 s
				}
				return wiretest.RowsReply(c.Params[0])
			}
		}
		c := fx.connect()
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

// TestPartialAnswer guards against a part of an answer that is taken for the whole,
// and against one that is followed by another target's answer.
func TestPartialAnswer(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		many := make([]string, 3000)
		for i := range many {
			many[i] = strings.Repeat("x", 100)
		}
		rows := []string{"1", "2"}
		fx.targets["b"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Reply{Rows: rows, CloseConn: true} }
		fx.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.RowsReply("3", "4", "5") }
		c := fx.connect()
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
		is.Equal(len(fx.targets["b"].Calls()), 2)
	})
}

// TestFloorRefused guards against a stale read when the cached position of a
// replica is wrong.
func TestFloorRefused(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		fx.floor = ident.Position{Term: 1, Index: 5}
		fx.targets["a"].SetApplied(ident.Position{Term: 1, Index: 5})
		fx.table.RecordApplied("g", "b", ident.Position{Term: 1, Index: 9}) // wrong
		c := fx.connect()
		var s string
		is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "x").Scan(&s))
		is.Equal(len(fx.targets["b"].Calls()), 0)
		is.True(len(fx.targets["a"].Calls()) > 0)
	})
}

// TestAttachFloor guards against a session without a position that reads less than
// what was acknowledged to others, and against one that is served in a cut-off
// zone.
func TestAttachFloor(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		fx.floorErr = errors.New("no majority")
		c := fx.connect()
		_, err := c.Exec(t.Context(), "SELECT 1")
		is.Equal(code(err), "57P03")
		token := fx.connect(func(cfg *pgx.ConnConfig) { cfg.RuntimeParams["chervil.position"] = "1/1" })
		_, err = token.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		fx.mu.Lock()
		fx.auth.MaxAge = time.Minute
		fx.mu.Unlock()
		_, err = fx.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		_, err = fx.tryConnect(func(cfg *pgx.ConnConfig) { cfg.RuntimeParams["chervil.position"] = "x" })
		is.Equal(code(err), "22023")
	})
}

// TestHiddenWrite guards against a SELECT that fails because it turns out to write,
// and against one on a read-only route that reaches the primary.
func TestHiddenWrite(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		fx.targets["b"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.ErrorReply("25006") }
		fx.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply {
			return wiretest.Reply{Rows: []string{"1"}, Tag: "SELECT 1", Write: true}
		}
		c := fx.connect()
		_, err := c.Exec(t.Context(), "SELECT * FROM view_that_writes")
		is.NoErr(err)
		is.Equal(c.PgConn().ParameterStatus("chervil.position"), "1/2")
		fx.mu.Lock()
		fx.auth.ReadOnly = true
		fx.mu.Unlock()
		ro := fx.connect()
		_, err = ro.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "25006")
		is.Equal(len(fx.targets["b"].Calls()), 1) // refused before it was sent
		_, err = ro.Exec(t.Context(), "SELECT * FROM view_that_writes")
		is.Equal(code(err), "25006")
		is.Equal(len(fx.targets["a"].Calls()), 1)
	})
}

// TestQueueFull guards against a read that is refused although another target
// has room, and against a refused write that is sent.
func TestQueueFull(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		fx.queueFull = map[ident.Target]bool{"b": true}
		_, err := c.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		fx.mu.Lock()
		fx.queueFull["a"] = true
		fx.mu.Unlock()
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "53300")
		is.Equal(len(fx.targets["a"].Calls()), 1)
	})
}

// TestForgedPosition guards against a caller that makes the proxy flood its targets, by
// a position that no target will reach, and against a floor that stays set on the
// connections and affects other sessions.
func TestForgedPosition(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect(func(cfg *pgx.ConnConfig) { cfg.RuntimeParams["chervil.position"] = "99/1" })
		_, err := c.Exec(t.Context(), "SELECT 1")
		is.Equal(code(err), "57P03")
		// 10 s at 10 retries a second to each of two targets, and the first round.
		sent := fx.targets["a"].FloorRefusals() + fx.targets["b"].FloorRefusals()
		is.True(sent > 2 && sent <= 2*10*11+2)
		_, err = fx.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		is.Equal(len(fx.targets["b"].Calls()), 1)
	})
}
