package target

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
)

// withGroup runs f with an elected group of three targets.
func withGroup(t *testing.T, cfg Config, f func(is *is.I, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3, cfg)
		defer c.close()
		is.NoErr(Elect(context.Background(), 1, c.servers...))
		conn := c.connect(c.servers[0])
		c.exec(conn, "CREATE TABLE t (id int PRIMARY KEY)")
		closeConn(conn)
		f(is, c)
	})
}

// advance advances the bubble's clock by d and waits until all goroutines are
// blocked, so that replication catches up.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func countRows(conn *pgx.Conn) (n int64, err error) {
	err = conn.QueryRow(context.Background(), "SELECT count(*) FROM t").Scan(&n)
	return n, err
}

// TestFloor guards against a replica that serves a read before it has applied
// the session's last write.
func TestFloor(t *testing.T) {
	withGroup(t, Config{Lag: time.Second}, func(is *is.I, c *cluster) {
		ctx := context.Background()
		primary, replica := c.connect(c.servers[0]), c.connect(c.servers[1])
		defer closeConn(primary, replica)
		advance(2 * time.Second)
		c.exec(primary, "INSERT INTO t VALUES (1)")
		floor := primary.PgConn().ParameterStatus(positionVar)
		is.Equal(floor, "1/3")
		c.exec(replica, "SET chervil.floor = '"+floor+"'")
		_, err := countRows(replica)
		is.Equal(sqlState(err), codeBelowFloor)
		_, err = replica.Exec(ctx, "INSERT INTO t VALUES (2)")
		is.Equal(sqlState(err), codeReadOnly)
		advance(2 * time.Second)
		n, err := countRows(replica)
		is.NoErr(err)
		is.Equal(n, int64(1))
		is.Equal(replica.PgConn().ParameterStatus(positionVar), floor)
	})
}

// TestMaxAge guards against reads of data older than the caller accepts, on a
// replica and on a primary that may have been replaced because it is cut off.
func TestMaxAge(t *testing.T) {
	withGroup(t, Config{}, func(is *is.I, c *cluster) {
		primary, replica := c.connect(c.servers[0]), c.connect(c.servers[1])
		defer closeConn(primary, replica)
		advance(time.Second)
		for _, conn := range []*pgx.Conn{primary, replica} {
			c.exec(conn, "SET chervil.max_age_ms = 500")
			_, err := countRows(conn)
			is.NoErr(err)
		}
		is.NoErr(c.servers[0].SetFault(FaultCut, "*"))
		advance(time.Second)
		for _, conn := range []*pgx.Conn{primary, replica} {
			_, err := countRows(conn)
			is.Equal(sqlState(err), codeTooOld)
			c.exec(conn, "SET chervil.max_age_ms = 0")
			_, err = countRows(conn)
			is.NoErr(err)
		}
	})
}

// TestQuorumNotification guards against a quorum position that covers entries
// which no other member has, and against one that is not sent to listeners.
func TestQuorumNotification(t *testing.T) {
	withGroup(t, Config{}, func(is *is.I, c *cluster) {
		ctx := context.Background()
		conn, listener := c.connect(c.servers[0]), c.connect(c.servers[0])
		defer closeConn(conn, listener)
		advance(time.Second)
		c.exec(listener, "LISTEN chervil_quorum")
		n, err := listener.WaitForNotification(ctx)
		is.NoErr(err)
		is.Equal(n.Payload, "1/2")
		is.NoErr(c.servers[0].SetFault(FaultCut, "*"))
		c.exec(conn, "INSERT INTO t VALUES (1)")
		advance(time.Second)
		is.Equal(c.servers[0].status().Quorum, ident.Position{Term: 1, Index: 2})
		is.NoErr(c.servers[0].SetFault(FaultHeal, "a2"))
		is.NoErr(c.servers[0].SetFault(FaultHeal, "*"))
		n, err = listener.WaitForNotification(ctx)
		is.NoErr(err)
		is.Equal(n.Payload, "1/3")
	})
}

// TestSupersededTerm guards against commits on a primary after its term was raised,
// including the commit of a transaction that was open when this happened.
func TestSupersededTerm(t *testing.T) {
	withGroup(t, Config{}, func(is *is.I, c *cluster) {
		ctx := context.Background()
		conn, other := c.connect(c.servers[0]), c.connect(c.servers[0])
		defer closeConn(conn, other)
		tx, err := conn.Begin(ctx)
		is.NoErr(err)
		_, err = tx.Exec(ctx, "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		var term int64
		var role string
		is.NoErr(other.QueryRow(ctx, "SELECT term, role FROM chervil_raise_term($1)", int64(2)).Scan(&term, &role))
		is.Equal(term, int64(2))
		is.Equal(role, "replica")
		_, err = other.Exec(ctx, "INSERT INTO t VALUES (2)")
		is.Equal(sqlState(err), codeSuperseded)
		for _, text := range []string{"SELECT chervil_raise_term(2)", "SELECT chervil_promote(1, '')", "SELECT chervil_follow(1, 'a2', '10.0.0.2:5432')"} {
			_, err = other.Exec(ctx, text)
			is.Equal(sqlState(err), codeSuperseded)
		}
		n, err := countRows(other)
		is.NoErr(err)
		is.Equal(n, int64(0))
		_, err = other.Exec(ctx, "SELECT chervil_promote(2, 'a1=10.0.0.1:5432')")
		is.NoErr(err)
		_, err = other.Exec(ctx, "SELECT chervil_promote(2, 'a1=10.0.0.1:5432')")
		is.Equal(sqlState(err), codeSuperseded)   // the term has a primary already
		c.exec(other, "INSERT INTO t VALUES (3)") // the open transaction is not in the way
		is.Equal(sqlState(tx.Commit(ctx)), codeSuperseded)
		n, err = countRows(other)
		is.NoErr(err)
		is.Equal(n, int64(1))
	})
}

// TestDivergence guards against a former primary that keeps or serves rows which
// were never on the new primary.
func TestDivergence(t *testing.T) {
	withGroup(t, Config{Lag: 300 * time.Millisecond, RebuildDelay: 100 * time.Millisecond}, func(is *is.I, c *cluster) {
		old, next := c.servers[0], c.servers[1]
		advance(time.Second)
		is.NoErr(old.SetFault(FaultCut, "*"))
		conn := c.connect(old)
		defer closeConn(conn)
		c.exec(conn, "INSERT INTO t VALUES (1)")
		lost, err := ident.ParsePosition(conn.PgConn().ParameterStatus(positionVar))
		is.NoErr(err)
		is.NoErr(next.raiseTerm(2))
		is.NoErr(c.servers[2].raiseTerm(2))
		_, err = next.promote(2, c.members())
		is.NoErr(err)
		writer := c.connect(next)
		defer closeConn(writer)
		c.exec(writer, "INSERT INTO t VALUES (2)")
		is.True(old.has(lost))
		is.NoErr(old.SetFault(FaultHeal, "*"))
		is.NoErr(old.follow(2, next.ID(), next.Addr()))
		saw := false
		for range 100 {
			advance(10 * time.Millisecond)
			if n, err := countRows(conn); sqlState(err) == codeRebuilding {
				saw = true
			} else if err != nil || saw && n != 1 {
				t.Fatalf("%d rows, %v", n, err)
			}
		}
		is.True(saw)
		is.True(!old.has(lost))
		var id int
		is.NoErr(conn.QueryRow(context.Background(), "SELECT id FROM t").Scan(&id))
		is.Equal(id, 2)
		st := old.status()
		is.Equal(st.Log, next.status().Log)
		is.Equal(st.MatchTerm, ident.Term(2))
		is.True(st.ContactAge >= 0 && st.ContactAge < time.Second)
	})
}

// TestRestart guards against a target that loses entries or its promised term
// when its process is killed.
func TestRestart(t *testing.T) {
	withGroup(t, Config{DataDir: t.TempDir()}, func(is *is.I, c *cluster) {
		conn := c.connect(c.servers[0])
		c.exec(conn, "INSERT INTO t VALUES (1)")
		closeConn(conn)
		advance(time.Second)
		is.NoErr(c.servers[2].raiseTerm(7))
		for i, s := range c.servers {
			_ = s.Close()
			c.servers[i] = c.start(i)
		}
		is.True(c.servers[2].raiseTerm(7) != nil)
		conn = c.connect(c.servers[0])
		defer closeConn(conn)
		c.exec(conn, "INSERT INTO t VALUES (2)") // the primary resumed its term
		advance(time.Second)
		is.Equal(c.servers[0].status().Quorum, ident.Position{Term: 1, Index: 4})
		replica := c.connect(c.servers[1])
		defer closeConn(replica)
		n, err := countRows(replica)
		is.NoErr(err)
		is.Equal(n, int64(2))
	})
}
