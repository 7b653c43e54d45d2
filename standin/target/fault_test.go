package target

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// TestOnce guards against a second run of a write under the same idempotency
// key, and against a key that stays taken after a rollback.
func TestOnce(t *testing.T) {
	single(t, Config{}, func(is *is.I, c *cluster, conn *pgx.Conn) {
		ctx := context.Background()
		other := c.connect(c.all[0])
		defer closeConn(other)
		once := func(q interface {
			QueryRow(context.Context, string, ...any) pgx.Row
		}, fingerprint string,
		) (tag *string, err error) {
			err = q.QueryRow(ctx, "SELECT chervil_once($1, $2, $3)", "k", fingerprint, "INSERT 0 1").Scan(&tag)
			return tag, err
		}
		_, err := once(conn, "f")
		is.Equal(code(err), codeNoBlock)
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
			pass(time.Second)
			is.NoErr(tx.Commit(ctx))
			is.Equal(*<-second, "INSERT 0 1")
		}
		c.exec(conn, "BEGIN")
		_, err = once(conn, "another")
		is.Equal(code(err), codeFingerprint)
	})
}

// TestSlotsAndCancel guards against more statements at once than the slots
// allow, and against a cancel request that does not end a waiting statement.
func TestSlotsAndCancel(t *testing.T) {
	single(t, Config{Slots: 2}, func(is *is.I, c *cluster, conn *pgx.Conn) {
		ctx := context.Background()
		start := time.Now()
		done := make(chan time.Duration, 4)
		for range 4 {
			sleeper := c.connect(c.all[0])
			defer closeConn(sleeper)
			go func() {
				_, _ = sleeper.Exec(ctx, "SELECT pg_sleep(1)")
				done <- time.Since(start)
			}()
		}
		pass(100 * time.Millisecond)
		cancelled := make(chan error)
		go func() {
			_, err := conn.Exec(ctx, "SELECT 1") // queues behind the sleepers
			cancelled <- err
		}()
		pass(100 * time.Millisecond)
		is.NoErr(conn.PgConn().CancelRequest(ctx))
		is.Equal(code(<-cancelled), codeCancelled)
		for i := range 4 {
			is.Equal((<-done).Round(100*time.Millisecond), time.Duration(1+i/2)*time.Second)
		}
	})
}

// TestConnections guards against more connections than the target offers, and
// against wrong credentials that are let in.
func TestConnections(t *testing.T) {
	cfg := Config{ConnLimit: 2, User: "app", Password: "secret"}
	single(t, cfg, func(is *is.I, c *cluster, _ *pgx.Conn) {
		second := c.connect(c.all[0])
		_, err := c.tryConnect(c.all[0], "app")
		is.Equal(code(err), codeConnections)
		closeConn(c.connectAs(c.all[0], AdminUser))
		closeConn(second)
		pass(time.Second)
		closeConn(c.connect(c.all[0]))
		_, err = c.tryConnect(c.all[0], "other")
		is.Equal(code(err), codePassword)
		c.cfg.Password = "wrong"
		_, err = c.tryConnect(c.all[0], "app")
		is.Equal(code(err), codePassword)
	})
}

// TestFaults guards against faults that do not take effect, which would make
// the daemon's tests pass without them.
func TestFaults(t *testing.T) {
	// gone is the error of a client that got no answer in time.
	try := func(conn *pgx.Conn, text string) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := conn.Exec(ctx, text, pgx.QueryExecModeSimpleProtocol)
		return err
	}
	for _, test := range []struct {
		name, value string
		// broken says that the open connection gets no answer, fresh that a
		// new one gets none; rows are those after an INSERT.
		broken, fresh bool
		rows          int64
	}{
		{FaultFreeze, "1", true, true, 0},
		{FaultSilence, "1", true, false, 0},
		{FaultDropCommit, "1", true, false, 1},
		{FaultDisconnect, "1", true, false, 0},
		{FaultDelay, "2000", true, true, 1},
		{FaultSplit, "1", false, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			single(t, Config{}, func(is *is.I, c *cluster, conn *pgx.Conn) {
				c.exec(conn, "CREATE TABLE t (id int PRIMARY KEY)")
				admin := c.connectAs(c.all[0], AdminUser)
				defer closeConn(admin)
				_, err := conn.Exec(context.Background(), "SELECT standin_fault('freeze', 1)")
				is.Equal(code(err), codePermission)
				c.exec(admin, "SELECT standin_fault($1, $2)", test.name, test.value)
				err = try(conn, "INSERT INTO t VALUES (1)")
				is.Equal(err != nil, test.broken)
				is.Equal(code(err), "")
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				cfg := conn.Config().Copy()
				next, err := pgx.ConnectConfig(ctx, cfg)
				is.Equal(err != nil, test.fresh)
				if err == nil {
					defer closeConn(next)
				} else {
					is.True(errors.Is(err, context.DeadlineExceeded))
				}
				n, err := count(admin)
				is.NoErr(err)
				is.Equal(n, test.rows)
				for _, name := range []string{FaultFreeze, FaultDelay, FaultSplit} {
					c.exec(admin, "SELECT standin_fault($1, '0')", name)
				}
				last := c.connect(c.all[0])
				defer closeConn(last)
				is.NoErr(try(last, "INSERT INTO t VALUES (2)"))
			})
		})
	}
}

// TestFaultValues guards against a misspelt fault that is taken silently.
func TestFaultValues(t *testing.T) {
	single(t, Config{}, func(is *is.I, c *cluster, _ *pgx.Conn) {
		for _, f := range [][2]string{{"freez", "1"}, {FaultLag, "x"}, {FaultSlots, "-1"}, {FaultCut, "no such"}} {
			is.True(c.all[0].SetFault(f[0], f[1]) != nil)
		}
	})
}
