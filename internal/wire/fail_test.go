package wire

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"chervilspan.example/internal/wiretest"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// TestNeverMixed guards against statements of two transactions on one
// connection: each transaction of eight callers must see its own connection
// from its first statement to its last, with nobody else's between them.
func TestNeverMixed(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		var wg sync.WaitGroup
		for w := range 8 {
			c := k.connect()
			wg.Go(func() {
				for n := range 5 {
					tx, err := c.Begin(t.Context())
					if err != nil {
						t.Error(err)
						return
					}
					for range 3 {
						_, err = tx.Exec(t.Context(), "INSERT INTO t VALUES ($1)", fmt.Sprintf("%d/%d", w, n))
						if err != nil {
							t.Error(err)
						}
						time.Sleep(time.Millisecond)
					}
					if err := tx.Commit(t.Context()); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		last := map[int]string{}
		left := map[int]int{}
		for _, call := range k.targets["a"].Calls() {
			if left[call.ConnID] == 0 {
				last[call.ConnID], left[call.ConnID] = call.Params[0], 3
			}
			is.Equal(call.Params[0], last[call.ConnID])
			is.True(call.InTx)
			left[call.ConnID]--
		}
		is.Equal(len(k.targets["a"].Calls()), 8*5*3)
	})
}

// TestLostWrite guards against a write that is repeated, or called not run,
// although the target may have committed it.
func TestLostWrite(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Reply{CloseConn: true} }
		_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "08007")
		is.True(strings.HasSuffix(err.Error(), "outcome unknown (SQLSTATE 08007)"))
		is.Equal(len(k.targets["a"].Calls()), 1)

		// A transaction whose connection is lost before COMMIT is rolled back.
		_, err = c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "40001")
		is.Equal(c.PgConn().TxStatus(), byte('E'))
		_, err = c.Exec(t.Context(), "ROLLBACK")
		is.NoErr(err)
		is.Equal(c.PgConn().TxStatus(), byte('I'))

		// One that is lost with its COMMIT is not known.
		k.targets["a"].Handle = echo
		_, err = c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		k.targets["a"].CloseConns()
		synctest.Wait()
		_, err = c.Exec(t.Context(), "COMMIT")
		is.True(code(err) == "08007" || code(err) == "40001")
		is.Equal(c.PgConn().TxStatus(), byte('I'))
	})
}

// TestNotRun guards against a refusal that says "not run" of a statement that a
// target was sent, and against waiting beyond the deadline.
func TestNotRun(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		k.setDown("a")
		start := time.Now()
		_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "57P03")
		is.True(strings.Contains(err.Error(), "; not run"))
		is.Equal(len(k.targets["a"].Calls()), 0)
		is.Equal(time.Since(start), 10*time.Second)
		k.mu.Lock()
		is.True(k.suspects > 0)
		k.admit = stateError{"53400", "the workspace is over its rate"}
		k.mu.Unlock()
		_, err = c.Exec(t.Context(), "SELECT 1")
		is.Equal(code(err), "53400")
		is.Equal(len(k.targets["b"].Calls()), 0)
	})
}

// TestFailover guards against a write that fails although a new primary comes
// within its deadline, and against a replaced primary that gets more work.
func TestFailover(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.ErrorReply("CV002") }
		go func() {
			time.Sleep(time.Second)
			k.targets["b"].SetApplied(ident.Position{Term: 2, Index: 1})
			k.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		}()
		_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		is.Equal(len(k.targets["b"].Calls()), 1)
		is.Equal(c.PgConn().ParameterStatus("chervil.position"), "2/2")
		// First attempts and retries stay within the budget of 10 a second.
		is.True(len(k.targets["a"].Calls()) <= 21)
	})
}

// TestClientDeath guards against a transaction that stays open after its caller
// is gone.
func TestClientDeath(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		_, err := c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		is.Equal(k.targets["a"].OpenConns(), 1)
		is.NoErr(c.PgConn().Conn().Close())
		synctest.Wait()
		is.Equal(k.targets["a"].OpenConns(), 0) // closed, which rolls back
		is.Equal(k.targets["a"].Applied(), ident.Position{Term: 1, Index: 1})
		is.Equal(k.srv.SessionCount(), 0)
	})
}

// TestCancel guards against a cancel request that hits another statement than
// the one that ran, or another session's.
func TestCancel(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		k.targets["b"].Handle = func(c *wiretest.Call) wiretest.Reply {
			if len(c.Params) > 0 && c.Params[0] == "long" {
				<-c.Cancelled
				return wiretest.ErrorReply("57014")
			}
			return echo(c)
		}
		cancelled := 0
		k.targets["b"].OnCancel = func(int) { cancelled++ }
		c, d := k.connect(), k.connect()
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(context.Background(), "SELECT $1", "long")
			done <- err
		}()
		time.Sleep(time.Second)
		is.NoErr(d.PgConn().CancelRequest(t.Context())) // runs nothing
		synctest.Wait()
		is.Equal(cancelled, 0)
		is.Equal(len(done), 0)
		wrong := c.PgConn().PID()
		is.True(!k.srv.Cancel(wrong, []byte{0, 0, 0, 0}))
		is.NoErr(c.PgConn().CancelRequest(t.Context()))
		is.Equal(code(<-done), "57014")
		is.Equal(cancelled, 1)
		synctest.Wait()
		is.Equal(k.targets["b"].OpenConns(), 0) // a late request can hit nobody
		_, err := d.Exec(t.Context(), "SELECT $1", "x")
		is.NoErr(err)
		is.Equal(wrong>>16, uint32(7)) // the VM's number
	})
}

// TestCancelElsewhere guards against a cancel request that another VM's caller
// sent here and that goes nowhere.
func TestCancelElsewhere(t *testing.T) {
	bubble(t, func(_ *testing.T, is *is.I, k *kit) {
		k.srv.handleCancel(&pgproto3.CancelRequest{ProcessID: 9<<16 | 5, SecretKey: []byte{1}})
		is.Equal(k.forward, []uint32{9<<16 | 5})
	})
}

// TestFailedParse guards against a statement that failed to parse and that the
// proxy takes for prepared.
func TestFailedParse(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		for range 3 {
			_, err := c.Exec(t.Context(), "SELECT $1, 'syntax error'", "x")
			is.Equal(code(err), "42601")
		}
		r := k.login()
		for range 2 {
			go func() {
				r.fe.Send(&pgproto3.Parse{Name: "p", Query: "SELECT 'syntax error'"})
				r.fe.Send(&pgproto3.Sync{})
				_ = r.fe.Flush()
			}()
			_, code := r.until(t)
			is.Equal(code, "42601") // not 42P05: the name is free
			synctest.Wait()
		}
	})
}

// TestSupersededInside guards against a transaction that goes on after its
// primary was replaced.
func TestSupersededInside(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		_, err := c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.ErrorReply("CV002") }
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "40001")
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (2)")
		is.Equal(code(err), "25P02")
		_, err = c.Exec(t.Context(), "ROLLBACK")
		is.NoErr(err)
		synctest.Wait()
		is.Equal(len(k.targets["a"].Calls()), 1)
		is.Equal(k.targets["a"].OpenConns(), 0)
	})
}

// TestOpaque guards against session state that a block of code leaves on a
// pooled connection.
func TestOpaque(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		_, err := c.Exec(t.Context(), "DO 'x'")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		log := k.targets["a"].Calls()
		is.True(log[0].ConnID != log[1].ConnID)
	})
}
