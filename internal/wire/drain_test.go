package wire

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"chervilspan.example/internal/wiretest"
	"chervilspan.example/pkg/ident"
)

// TestCutOff guards against work on a VM that can't check keys, against a
// transaction that it keeps open, and against sessions that it ends although it
// may serve them again.
func TestCutOff(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c, open := k.connect(), k.connect()
		_, err := open.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		set := func(err error) {
			k.mu.Lock()
			k.check = err
			k.mu.Unlock()
		}
		set(stateError{"57P03", "this VM is cut off"})
		time.Sleep(5 * time.Second)
		_, err = c.Exec(t.Context(), "SELECT 1")
		is.Equal(code(err), "57P03")
		_, err = open.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "57P03")
		synctest.Wait()
		is.Equal(k.targets["a"].OpenConns(), 0) // rolled back
		_, err = open.Exec(t.Context(), "COMMIT")
		is.Equal(code(err), "57P03")
		_, err = open.Exec(t.Context(), "ROLLBACK")
		is.NoErr(err)
		is.Equal(open.PgConn().TxStatus(), byte('I'))
		set(nil)
		for _, conn := range []*pgx.Conn{c, open} {
			_, err = conn.Exec(t.Context(), "INSERT INTO t VALUES (1)")
			is.NoErr(err)
		}
		is.Equal(len(k.targets["a"].Calls()), 2)
	})
}

// TestWithdrawnKey guards against work under a withdrawn key: in an open
// transaction, and on connections that sit idle.
func TestWithdrawnKey(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		running := make(chan struct{})
		k.targets["b"].Handle = func(c *wiretest.Call) wiretest.Reply {
			close(running)
			time.Sleep(3 * time.Second)
			return echo(c)
		}
		busy, open, idle := k.connect(), k.login(), k.login()
		open.fe.Send(&pgproto3.Query{String: "BEGIN"})
		open.flush(t)
		open.until(t)
		done := make(chan error, 1)
		go func() {
			_, err := busy.Exec(t.Context(), "SELECT $1", "x")
			done <- err
		}()
		<-running
		k.revoke()
		start := time.Now()
		_, code := idle.until(t)
		is.Equal(code, "28P01")
		_, code = open.until(t)
		is.Equal(code, "28P01")
		is.True(time.Since(start) <= time.Second)
		is.NoErr(<-done) // what ran completes
		synctest.Wait()
		is.Equal(k.targets["a"].OpenConns(), 0) // the transaction is rolled back
		_, err := busy.Exec(t.Context(), "SELECT $1", "x")
		is.True(err != nil)
		synctest.Wait()
		is.Equal(k.srv.SessionCount(), 0)
	})
}

// TestKeyBeforeStatement guards against a statement that starts between the
// withdrawal of its key and the sweep.
func TestKeyBeforeStatement(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		_, err := c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		k.revoke()
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "28P01")
		is.Equal(len(k.targets["a"].Calls()), 0)
	})
}

// TestDrain guards against a planned stop that cuts a transaction, keeps idle
// sessions, or lets new ones in.
func TestDrain(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		idle, open := k.login(), k.connect()
		_, err := open.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		synctest.Wait()
		cut := make(chan int, 1)
		go func() { cut <- k.srv.Drain(t.Context()) }()
		_, code1 := idle.until(t)
		is.Equal(code1, "57P01")
		synctest.Wait()
		_, err = k.tryConnect()
		is.Equal(code(err), "57P01")
		time.Sleep(time.Second)
		_, err = open.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		is.Equal(len(cut), 0)
		_, err = open.Exec(t.Context(), "COMMIT")
		is.NoErr(err)
		is.Equal(<-cut, 0)
		is.Equal(k.targets["a"].Applied(), ident.Position{Term: 1, Index: 2})
	})
}

// TestDrainLimit guards against a stop that waits for ever for a transaction
// that its caller has forgotten.
func TestDrainLimit(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		open := k.connect()
		_, err := open.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		is.Equal(k.srv.Drain(ctx), 1)
	})
}

// TestIdleTransaction guards against a forgotten transaction that keeps a
// connection of a target.
func TestIdleTransaction(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		open, idle := k.connect(), k.connect()
		_, err := open.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		r := raw{fe: pgproto3.NewFrontend(open.PgConn().Conn(), open.PgConn().Conn())}
		_, code := r.until(t)
		is.Equal(code, "25P03")
		synctest.Wait()
		is.Equal(k.targets["a"].OpenConns(), 0)
		_, err = idle.Exec(t.Context(), "SELECT 1") // without a transaction there is no limit
		is.NoErr(err)
	})
}
