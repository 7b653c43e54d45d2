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

// TestTransactionsNeverMix guards against statements of two transactions that
// interleave on one connection. Eight callers run transactions at the same time,
// and each must keep a connection to itself from its first statement to its last.
func TestTransactionsNeverMix(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		var wg sync.WaitGroup
		for w := range 8 {
			c := fx.connect()
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
		for _, call := range fx.targets["a"].Calls() {
			if left[call.ConnID] == 0 {
				last[call.ConnID], left[call.ConnID] = call.Params[0], 3
			}
			is.Equal(call.Params[0], last[call.ConnID])
			is.True(call.InTx)
			left[call.ConnID]--
		}
		is.Equal(len(fx.targets["a"].Calls()), 8*5*3)
	})
}

// TestLostWrite guards against a write that is repeated, or reported as not run,
// although the target, whose connection was lost, may have committed it.
func TestLostWrite(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		fx.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Reply{CloseConn: true} }
		_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "08007")
		is.True(strings.HasSuffix(err.Error(), "outcome unknown (SQLSTATE 08007)"))
		is.Equal(len(fx.targets["a"].Calls()), 1)

		// A transaction whose connection is lost before COMMIT is rolled back.
		_, err = c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "40001")
		is.Equal(c.PgConn().TxStatus(), byte('E'))
		_, err = c.Exec(t.Context(), "ROLLBACK")
		is.NoErr(err)
		is.Equal(c.PgConn().TxStatus(), byte('I'))

		// The outcome of one that is lost with its COMMIT may be unknown.
		fx.targets["a"].Handle = echo
		_, err = c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		fx.targets["a"].CloseConns()
		synctest.Wait()
		_, err = c.Exec(t.Context(), "COMMIT")
		is.True(code(err) == "08007" || code(err) == "40001")
		is.Equal(c.PgConn().TxStatus(), byte('I'))
	})
}

// TestNotRun guards against a statement that is reported as not run although it was
// sent to a target, and against a wait beyond the deadline.
func TestNotRun(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		fx.setDown("a")
		start := time.Now()
		_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "57P03")
		is.True(strings.Contains(err.Error(), "; not run"))
		is.Equal(len(fx.targets["a"].Calls()), 0)
		is.Equal(time.Since(start), 10*time.Second)
		fx.mu.Lock()
		is.True(fx.suspectCount > 0)
		fx.admitErr = sqlStateError{"53400", "the workspace is over its rate"}
		fx.mu.Unlock()
		_, err = c.Exec(t.Context(), "SELECT 1")
		is.Equal(code(err), "53400")
		is.Equal(len(fx.targets["b"].Calls()), 0)
	})
}

// TestFailover guards against a write that fails although a new primary is elected
// within its deadline, and against too many retries on the replaced primary.
func TestFailover(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		fx.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.ErrorReply("CV002") }
		go func() {
			time.Sleep(time.Second)
			fx.targets["b"].SetApplied(ident.Position{Term: 2, Index: 1})
			fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		}()
		_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		is.Equal(len(fx.targets["b"].Calls()), 1)
		is.Equal(c.PgConn().ParameterStatus("chervil.position"), "2/2")
		// First attempts and retries stay within the budget of 10 a second.
		is.True(len(fx.targets["a"].Calls()) <= 21)
	})
}

// TestClientDisconnect guards against a transaction that stays open after its
// caller's connection has closed.
func TestClientDisconnect(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		_, err := c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		is.Equal(fx.targets["a"].OpenConns(), 1)
		is.NoErr(c.PgConn().Conn().Close())
		synctest.Wait()
		is.Equal(fx.targets["a"].OpenConns(), 0) // closing the connection rolls back
		is.Equal(fx.targets["a"].Applied(), ident.Position{Term: 1, Index: 1})
		is.Equal(fx.srv.SessionCount(), 0)
	})
}

// TestCancel guards against a cancel request that cancels a later statement, one of
// another session, or one of a session whose secret it lacks.
func TestCancel(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		fx.targets["b"].Handle = func(c *wiretest.Call) wiretest.Reply {
			if len(c.Params) > 0 && c.Params[0] == "long" {
				<-c.Cancelled
				return wiretest.ErrorReply("57014")
			}
			return echo(c)
		}
		cancelled := 0
		fx.targets["b"].OnCancel = func(int) { cancelled++ }
		c, d := fx.connect(), fx.connect()
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(context.Background(), "SELECT $1", "long")
			done <- err
		}()
		time.Sleep(time.Second)
		is.NoErr(d.PgConn().CancelRequest(t.Context())) // this session runs nothing
		synctest.Wait()
		is.Equal(cancelled, 0)
		is.Equal(len(done), 0)
		wrong := c.PgConn().PID()
		is.True(!fx.srv.Cancel(wrong, []byte{0, 0, 0, 0}))
		is.NoErr(c.PgConn().CancelRequest(t.Context()))
		is.Equal(code(<-done), "57014")
		is.Equal(cancelled, 1)
		synctest.Wait()
		is.Equal(fx.targets["b"].OpenConns(), 0) // a late cancel request finds no other statement
		_, err := d.Exec(t.Context(), "SELECT $1", "x")
		is.NoErr(err)
		is.Equal(wrong>>16, uint32(7)) // the VM's number
	})
}

// TestCancelForwarded guards against a cancel request for a session of another VM
// that is dropped instead of forwarded.
func TestCancelForwarded(t *testing.T) {
	withFixture(t, func(_ *testing.T, is *is.I, fx *fixture) {
		fx.srv.handleCancel(&pgproto3.CancelRequest{ProcessID: 9<<16 | 5, SecretKey: []byte{1}})
		is.Equal(fx.forwarded, []uint32{9<<16 | 5})
	})
}

// TestFailedParse guards against a statement that failed to parse and that the
// proxy still regards as prepared.
func TestFailedParse(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		for range 3 {
			_, err := c.Exec(t.Context(), "SELECT $1, 'syntax error'", "x")
			is.Equal(code(err), "42601")
		}
		r := fx.loginRaw()
		for range 2 {
			go func() {
				r.fe.Send(&pgproto3.Parse{Name: "p", Query: "SELECT 'syntax error'"})
				r.fe.Send(&pgproto3.Sync{})
				_ = r.fe.Flush()
			}()
			_, code := r.readUntilReady(t)
			is.Equal(code, "42601") // not 42P05: the name is free
			synctest.Wait()
		}
	})
}

// TestSupersededInTransaction guards against a transaction that continues after its
// primary was replaced.
func TestSupersededInTransaction(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		_, err := c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		fx.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.ErrorReply("CV002") }
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "40001")
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (2)")
		is.Equal(code(err), "25P02")
		_, err = c.Exec(t.Context(), "ROLLBACK")
		is.NoErr(err)
		synctest.Wait()
		is.Equal(len(fx.targets["a"].Calls()), 1)
		is.Equal(fx.targets["a"].OpenConns(), 0)
	})
}

// TestCodeBlock guards against session state that a DO block leaves on a pooled
// connection: the connection must not be used again.
func TestCodeBlock(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		_, err := c.Exec(t.Context(), "DO 'x'")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		log := fx.targets["a"].Calls()
		is.True(log[0].ConnID != log[1].ConnID)
	})
}
