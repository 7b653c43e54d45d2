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

// TestCutOff guards against statements that run on a VM that can't check keys,
// against a transaction that the VM keeps open meanwhile, and against sessions that
// it ends although it may serve them again later.
func TestCutOff(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c, open := fx.connect(), fx.connect()
		_, err := open.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		set := func(err error) {
			fx.mu.Lock()
			fx.checkErr = err
			fx.mu.Unlock()
		}
		set(sqlStateError{"57P03", "this VM is cut off"})
		time.Sleep(5 * time.Second)
		_, err = c.Exec(t.Context(), "SELECT 1")
		is.Equal(code(err), "57P03")
		_, err = open.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "57P03")
		synctest.Wait()
		is.Equal(fx.targets["a"].OpenConns(), 0) // rolled back
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
		is.Equal(len(fx.targets["a"].Calls()), 2)
	})
}

// TestWithdrawnKey guards against sessions that outlive the withdrawal of their key,
// idle or in an open transaction. A statement that is running completes.
func TestWithdrawnKey(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		running := make(chan struct{})
		fx.targets["b"].Handle = func(c *wiretest.Call) wiretest.Reply {
			close(running)
			time.Sleep(3 * time.Second)
			return echo(c)
		}
		busy, open, idle := fx.connect(), fx.loginRaw(), fx.loginRaw()
		open.fe.Send(&pgproto3.Query{String: "BEGIN"})
		open.flush(t)
		open.readUntilReady(t)
		done := make(chan error, 1)
		go func() {
			_, err := busy.Exec(t.Context(), "SELECT $1", "x")
			done <- err
		}()
		<-running
		fx.revoke()
		start := time.Now()
		_, code := idle.readUntilReady(t)
		is.Equal(code, "28P01")
		_, code = open.readUntilReady(t)
		is.Equal(code, "28P01")
		is.True(time.Since(start) <= time.Second)
		is.NoErr(<-done) // the running statement completes
		synctest.Wait()
		is.Equal(fx.targets["a"].OpenConns(), 0) // the transaction is rolled back
		_, err := busy.Exec(t.Context(), "SELECT $1", "x")
		is.True(err != nil)
		synctest.Wait()
		is.Equal(fx.srv.SessionCount(), 0)
	})
}

// TestKeyBeforeStatement guards against a statement that starts between the
// withdrawal of its key and the sweep.
func TestKeyBeforeStatement(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		_, err := c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		fx.revoke()
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "28P01")
		is.Equal(len(fx.targets["a"].Calls()), 0)
	})
}

// TestDrain guards against a planned stop that cuts off a transaction, keeps idle
// sessions, or accepts new ones.
func TestDrain(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		idle, open := fx.loginRaw(), fx.connect()
		_, err := open.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		synctest.Wait()
		cut := make(chan int, 1)
		go func() { cut <- fx.srv.Drain(t.Context()) }()
		_, code1 := idle.readUntilReady(t)
		is.Equal(code1, "57P01")
		synctest.Wait()
		_, err = fx.tryConnect()
		is.Equal(code(err), "57P01")
		time.Sleep(time.Second)
		_, err = open.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		is.Equal(len(cut), 0)
		_, err = open.Exec(t.Context(), "COMMIT")
		is.NoErr(err)
		is.Equal(<-cut, 0)
		is.Equal(fx.targets["a"].Applied(), ident.Position{Term: 1, Index: 2})
	})
}

// TestDrainLimit guards against a stop that waits without limit for a transaction
// that its caller never ends.
func TestDrainLimit(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		open := fx.connect()
		_, err := open.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		is.Equal(fx.srv.Drain(ctx), 1)
	})
}

// TestIdleTransaction guards against an idle transaction that holds a connection to
// a target without limit.
func TestIdleTransaction(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		open, idle := fx.connect(), fx.connect()
		_, err := open.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		r := rawClient{fe: pgproto3.NewFrontend(open.PgConn().Conn(), open.PgConn().Conn())}
		_, code := r.readUntilReady(t)
		is.Equal(code, "25P03")
		synctest.Wait()
		is.Equal(fx.targets["a"].OpenConns(), 0)
		_, err = idle.Exec(t.Context(), "SELECT 1") // outside a transaction there is no time limit
		is.NoErr(err)
	})
}
