package target

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// TestIdempotencyKey guards against a write that runs twice under the same
// idempotency key, and against a key that stays recorded after a rollback.
func TestIdempotencyKey(t *testing.T) {
	withSingleTarget(t, Config{}, func(is *is.I, c *cluster, conn *pgx.Conn) {
		ctx := context.Background()
		other := c.connect(c.servers[0])
		defer closeConn(other)
		once := func(q interface {
			QueryRow(context.Context, string, ...any) pgx.Row
		}, fingerprint string,
		) (tag *string, err error) {
			err = q.QueryRow(ctx, "SELECT chervil_once($1, $2, $3)", "k", fingerprint, "INSERT 0 1").Scan(&tag)
			return tag, err
		}
		_, err := once(conn, "f")
		is.Equal(sqlState(err), codeNoActiveTxn)
		for _, commit := range []bool{false, true} {
			tx, err := conn.Begin(ctx)
			is.NoErr(err)
			tag, err := once(tx, "f")
			is.NoErr(err)
			is.True(tag == nil)
			if !commit {
				is.NoErr(tx.Rollback(ctx))
				continue
			}
			second := make(chan *string)
			go func() { // waits for the first transaction
				c.exec(other, "BEGIN")
				tag, _ := once(other, "f")
				c.exec(other, "ROLLBACK")
				second <- tag
			}()
			advance(time.Second)
			is.NoErr(tx.Commit(ctx))
			is.Equal(*<-second, "INSERT 0 1")
		}
		c.exec(conn, "BEGIN")
		_, err = once(conn, "another")
		is.Equal(sqlState(err), codeFingerprint)
	})
}

// TestSlotsAndCancel guards against more concurrent statements than slots, and
// against a cancel request that does not end a statement waiting for a slot.
func TestSlotsAndCancel(t *testing.T) {
	withSingleTarget(t, Config{Slots: 2}, func(is *is.I, c *cluster, conn *pgx.Conn) {
		ctx := context.Background()
		start := time.Now()
		done := make(chan time.Duration, 4)
		for range 4 {
			sleeper := c.connect(c.servers[0])
			defer closeConn(sleeper)
			go func() {
				_, _ = sleeper.Exec(ctx, "SELECT pg_sleep(1)")
				done <- time.Since(start)
			}()
		}
		advance(100 * time.Millisecond)
		cancelled := make(chan error)
		go func() {
			_, err := conn.Exec(ctx, "SELECT 1") // queues behind the sleepers
			cancelled <- err
		}()
		advance(100 * time.Millisecond)
		is.NoErr(conn.PgConn().CancelRequest(ctx))
		is.Equal(sqlState(<-cancelled), codeCancelled)
		for i := range 4 {
			is.Equal((<-done).Round(100*time.Millisecond), time.Duration(1+i/2)*time.Second)
		}
	})
}

// TestConnections guards against connections above the limit, and against
// connections accepted with wrong credentials.
func TestConnections(t *testing.T) {
	cfg := Config{ConnLimit: 2, User: "app", Password: "secret"}
	withSingleTarget(t, cfg, func(is *is.I, c *cluster, _ *pgx.Conn) {
		second := c.connect(c.servers[0])
		_, err := c.tryConnect(c.servers[0], "app")
		is.Equal(sqlState(err), codeTooManyConns)
		closeConn(c.connectAs(c.servers[0], AdminUser))
		closeConn(second)
		advance(time.Second)
		closeConn(c.connect(c.servers[0]))
		_, err = c.tryConnect(c.servers[0], "other")
		is.Equal(sqlState(err), codeBadPassword)
		c.cfg.Password = "wrong"
		_, err = c.tryConnect(c.servers[0], "app")
		is.Equal(sqlState(err), codeBadPassword)
	})
}

// TestFaults guards against faults without effect, which the daemon's tests would
// not notice.
func TestFaults(t *testing.T) {
	// try returns an error if there is no answer within one second.
	try := func(conn *pgx.Conn, text string) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := conn.Exec(ctx, text, pgx.QueryExecModeSimpleProtocol)
		return err
	}
	for _, test := range []struct {
		name, value string
		// oldConnFails means that the open connection gets no answer,
		// newConnFails that a new one gets none; rows is the number of rows
		// after an INSERT.
		oldConnFails, newConnFails bool
		rows                       int64
	}{
		{FaultFreeze, "1", true, true, 0},
		{FaultSilence, "1", true, false, 0},
		{FaultDropCommit, "1", true, false, 1},
		{FaultDisconnect, "1", true, false, 0},
		{FaultDelay, "2000", true, true, 1},
		{FaultSplit, "1", false, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			withSingleTarget(t, Config{}, func(is *is.I, c *cluster, conn *pgx.Conn) {
				c.exec(conn, "CREATE TABLE t (id int PRIMARY KEY)")
				admin := c.connectAs(c.servers[0], AdminUser)
				defer closeConn(admin)
				_, err := conn.Exec(context.Background(), "SELECT standin_fault('freeze', 1)")
				is.Equal(sqlState(err), codePermission)
				c.exec(admin, "SELECT standin_fault($1, $2)", test.name, test.value)
				err = try(conn, "INSERT INTO t VALUES (1)")
				is.Equal(err != nil, test.oldConnFails)
				is.Equal(sqlState(err), "")
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				cfg := conn.Config().Copy()
				next, err := pgx.ConnectConfig(ctx, cfg)
				is.Equal(err != nil, test.newConnFails)
				if err == nil {
					defer closeConn(next)
				} else {
					is.True(errors.Is(err, context.DeadlineExceeded))
				}
				n, err := countRows(admin)
				is.NoErr(err)
				is.Equal(n, test.rows)
				for _, name := range []string{FaultFreeze, FaultDelay, FaultSplit} {
					c.exec(admin, "SELECT standin_fault($1, '0')", name)
				}
				last := c.connect(c.servers[0])
				defer closeConn(last)
				is.NoErr(try(last, "INSERT INTO t VALUES (2)"))
			})
		})
	}
}

// TestFaultValues guards against a misspelt fault name or an invalid value that
// is accepted without an error.
func TestFaultValues(t *testing.T) {
	withSingleTarget(t, Config{}, func(is *is.I, c *cluster, _ *pgx.Conn) {
		for _, f := range [][2]string{{"freez", "1"}, {FaultLag, "x"}, {FaultSlots, "-1"}, {FaultCut, "no such"}} {
			is.True(c.servers[0].SetFault(f[0], f[1]) != nil)
		}
	})
}
