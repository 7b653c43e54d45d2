package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"chervilspan.example/standin/target"
)

// TestValueRoundTrip guards against values that an unmodified client cannot write
// and read back through the proxy, in each of its query modes.
func TestValueRoundTrip(t *testing.T) {
	withFixture(t, target.Config{}, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		for i, mode := range []pgx.QueryExecMode{
			pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
			pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
		} {
			id := fmt.Sprint(i)
			tag, err := c.Exec(t.Context(), "INSERT INTO orders VALUES ($1, $2)", mode, id, int32(i))
			is.NoErr(err)
			is.Equal(tag.RowsAffected(), int64(1))
			var n int32
			is.NoErr(c.QueryRow(t.Context(), "SELECT metres FROM orders WHERE id = $1", mode, id).Scan(&n))
			is.Equal(n, int32(i))
		}
		_, err := c.Exec(t.Context(), "INSERT INTO orders VALUES ($1, $2)", "0", int32(1))
		is.Equal(sqlState(err), "23505") // the target's own error
		var b pgx.Batch
		for i := range 600 { // more than 32 KiB: the proxy runs the messages in parts
			b.Queue("INSERT INTO orders VALUES ($1, $2)", fmt.Sprintf("b%d-%s", i, strings.Repeat("x", 100)), int32(i))
		}
		is.NoErr(c.SendBatch(t.Context(), &b).Close())
		var n int64
		is.NoErr(c.QueryRow(t.Context(), "SELECT count(*) FROM orders").Scan(&n))
		is.Equal(n, int64(605))
		rows, err := c.Query(t.Context(), "SELECT id FROM orders ORDER BY id")
		is.NoErr(err)
		ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
		is.NoErr(err)
		is.Equal(len(ids), 605)
	})
}

// TestReadYourWrites guards against a session that does not see its own write
// while replicas lag, also after it continues on another connection with its
// position.
func TestReadYourWrites(t *testing.T) {
	withFixture(t, target.Config{Lag: 50 * time.Millisecond}, func(t *testing.T, _ *is.I, fx *fixture) {
		var wg sync.WaitGroup
		for caller := range 4 {
			wg.Go(func() {
				c := fx.connect()
				for i := range 20 {
					id := fmt.Sprintf("%d-%d", caller, i)
					fx.exec(c, "INSERT INTO orders VALUES ($1, 1)", id)
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
					if i%5 == 4 {
						token := c.PgConn().ParameterStatus("chervil.position")
						_ = c.Close(t.Context())
						c = fx.connectWithPosition(token)
					}
					var n int64
					if err := c.QueryRow(t.Context(), "SELECT count(*) FROM orders WHERE id = $1", id).Scan(&n); err != nil || n != 1 {
						t.Errorf("order %s: %d rows, %v", id, n, err)
					}
				}
			})
		}
		wg.Wait()
	})
}

func (fx *fixture) connectWithPosition(token string) *pgx.Conn {
	fx.t.Helper()
	cfg := fx.connect().Config().Copy()
	cfg.RuntimeParams["chervil.position"] = token
	c, err := pgx.ConnectConfig(fx.t.Context(), cfg)
	if err != nil {
		fx.t.Fatal(err)
	}
	return c
}

// TestLostAnswers guards against an order that is lost or duplicated when the
// answer to its commit is lost: with an idempotency key it is stored once, and
// without one the caller gets the error for an unknown outcome.
func TestLostAnswers(t *testing.T) {
	withFixture(t, target.Config{}, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		for i := range 10 {
			fx.setFault(0, target.FaultDropCommit, "1")
			fx.exec(c, fmt.Sprintf("SET chervil.idempotency_key = 'k%d'", i))
			tag, err := c.Exec(t.Context(), "INSERT INTO orders VALUES ($1, 1)", fmt.Sprint(i))
			is.NoErr(err)
			is.Equal(tag.String(), "INSERT 0 1")
		}
		fx.setFault(0, target.FaultDropCommit, "1")
		_, err := c.Exec(t.Context(), "INSERT INTO orders VALUES ($1, 1)", "without")
		is.Equal(sqlState(err), "08007")
		// The session's floor does not cover a write of unknown outcome, so the
		// rows are counted at the primary.
		tx, err := c.Begin(t.Context())
		is.NoErr(err)
		var n int64
		is.NoErr(tx.QueryRow(t.Context(), "SELECT count(*) FROM orders").Scan(&n))
		is.Equal(n, int64(11)) // ten with a key, each once, and the one of unknown outcome
	})
}

// TestFailover guards against an order that is acknowledged and lost, reported as
// not run but stored, stored twice, or delayed much longer than the failover
// takes, while the primary is disconnected from its replicas or frozen during
// writes and replaced.
func TestFailover(t *testing.T) {
	for name, fault := range map[string][2]string{
		"cut":    {target.FaultCut, "*"}, // the proxy still reaches it
		"frozen": {target.FaultFreeze, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, target.Config{}, func(t *testing.T, is *is.I, fx *fixture) { testFailover(t, is, fx, fault) })
		})
	}
}

func testFailover(t *testing.T, is *is.I, fx *fixture, fault [2]string) {
	outcomes := map[string]string{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for caller := range 6 {
		c := fx.connect()
		wg.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("%d-%d", caller, i)
				start := time.Now()
				_, err := c.Exec(t.Context(), "INSERT INTO orders VALUES ($1, 1)", id)
				if d := time.Since(start); d > 2*time.Second {
					t.Errorf("order %s took %v", id, d)
				}
				mu.Lock()
				outcomes[id] = outcome(err)
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	fx.setFault(0, fault[0], fault[1])
	time.Sleep(700 * time.Millisecond)
	fx.elect(2, 1, 2)
	wg.Wait()
	counts := fx.countByID(is)
	totals := map[string]int{}
	for id, result := range outcomes {
		totals[result]++
		switch {
		case result == "done" && counts[id] != 1:
			t.Errorf("order %s was acknowledged and is stored %d times", id, counts[id])
		case result == "not run" && counts[id] != 0:
			t.Errorf("order %s was reported as not run and is stored", id)
		}
	}
	t.Log(totals)
	is.True(totals["done"] > 200)
	fx.setFault(0, target.FaultFreeze, "0")
}

// outcome returns the outcome of an order as reported to its caller.
func outcome(err error) string {
	switch {
	case err == nil:
		return "done"
	case strings.Contains(err.Error(), "; not run"):
		return "not run"
	}
	return "unknown"
}

func (fx *fixture) countByID(is *is.I) map[string]int {
	rows, err := fx.connect().Query(context.Background(), "SELECT id FROM orders")
	is.NoErr(err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	is.NoErr(err)
	counts := map[string]int{}
	for _, id := range ids {
		counts[id]++
	}
	return counts
}

// TestSilentConns guards against the reuse of connections that have become silent:
// one statement may run into its time-out, the next one must succeed.
func TestSilentConns(t *testing.T) {
	withFixture(t, target.Config{}, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		fx.exec(c, "INSERT INTO orders VALUES ('1', 1)")
		for i := range fx.targets {
			fx.setFault(i, target.FaultSilence, "1")
		}
		_, err := c.Exec(t.Context(), "INSERT INTO orders VALUES ('2', 1)")
		is.True(err != nil)
		fx.exec(c, "INSERT INTO orders VALUES ('3', 1)")
		var n int64
		is.NoErr(c.QueryRow(t.Context(), "SELECT count(*) FROM orders WHERE id = '3'").Scan(&n))
		is.Equal(n, int64(1))
	})
}

// TestManySilentConns guards against callers that run into their time-out, one
// after another, on pooled connections that became silent at the same time.
func TestManySilentConns(t *testing.T) {
	withFixture(t, target.Config{Slots: 6}, func(t *testing.T, _ *is.I, fx *fixture) {
		const callers = 6
		var callerConns []*pgx.Conn
		for range callers {
			c := fx.connect()
			fx.exec(c, "BEGIN") // each takes a connection of its own to the primary
			fx.exec(c, "SELECT count(*) FROM orders")
			callerConns = append(callerConns, c)
		}
		for _, c := range callerConns {
			fx.exec(c, "COMMIT")
		}
		fx.setFault(0, target.FaultSilence, "1")
		var wg sync.WaitGroup
		for i, c := range callerConns {
			wg.Go(func() {
				start := time.Now()
				for n := 0; ; n++ {
					_, err := c.Exec(t.Context(), "INSERT INTO orders VALUES ($1, 1)", fmt.Sprintf("%d/%d", i, n))
					if err == nil {
						break
					}
				}
				if took := time.Since(start); took > time.Second {
					t.Errorf("caller %d waited %v", i, took)
				}
			})
		}
		wg.Wait()
	})
}

// TestSmallPieces guards against answers that are parsed incorrectly when they
// arrive a few bytes at a time, and against answers that reach another caller.
func TestSmallPieces(t *testing.T) {
	withFixture(t, target.Config{Slots: 3, ServiceTime: time.Millisecond}, func(t *testing.T, is *is.I, fx *fixture) {
		for i := range fx.targets {
			fx.setFault(i, target.FaultSplit, "3")
		}
		var wg sync.WaitGroup
		for caller := range 8 {
			c := fx.connect()
			wg.Go(func() {
				for i := range 10 {
					want := fmt.Sprintf("%d/%d", caller, i)
					tx, err := c.Begin(t.Context())
					if err != nil {
						t.Error(err)
						return
					}
					_, err = tx.Exec(t.Context(), "INSERT INTO orders VALUES ($1, 1)", want)
					if err != nil {
						t.Error(err)
					}
					var got string
					err = tx.QueryRow(t.Context(), "SELECT id FROM orders WHERE id = $1", want).Scan(&got)
					if err != nil || got != want {
						t.Errorf("%q for %q, %v", got, want, err)
					}
					if err := tx.Commit(t.Context()); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		is.Equal(len(fx.countByID(is)), 80)
	})
}

// TestRowLimit guards against rows that are lost, repeated or sent all at once
// when a caller fetches a portal in parts.
func TestRowLimit(t *testing.T) {
	withFixture(t, target.Config{}, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		for i := range 5 {
			fx.exec(c, "INSERT INTO orders VALUES ($1, 1)", fmt.Sprint(i))
		}
		fx.exec(c, "BEGIN")
		fe := c.PgConn().Frontend()
		var got []string
		exchange := func(messages ...pgproto3.FrontendMessage) (last string) {
			for _, m := range messages {
				fe.Send(m)
			}
			is.NoErr(fe.Flush())
			for {
				m, err := fe.Receive()
				is.NoErr(err)
				switch m := m.(type) {
				case *pgproto3.DataRow:
					got = append(got, string(m.Values[0]))
				case *pgproto3.PortalSuspended:
					last = "suspended"
				case *pgproto3.CommandComplete:
					last = "complete"
				case *pgproto3.ErrorResponse:
					t.Fatal(m.Message)
				case *pgproto3.ReadyForQuery:
					return last
				}
			}
		}
		next := &pgproto3.Execute{Portal: "p", MaxRows: 2}
		is.Equal(exchange(&pgproto3.Parse{Query: "SELECT id FROM orders ORDER BY id"}, &pgproto3.Bind{DestinationPortal: "p"}, next, &pgproto3.Sync{}), "suspended")
		is.Equal(got, []string{"0", "1"})
		is.Equal(exchange(next, &pgproto3.Flush{}, next, &pgproto3.Sync{}), "complete")
		is.Equal(got, []string{"0", "1", "2", "3", "4"})
		fx.exec(c, "COMMIT")
	})
}

// TestFrozenReplica guards against reads that wait until their time-out for a
// target that answers nothing, not even new connections.
func TestFrozenReplica(t *testing.T) {
	withFixture(t, target.Config{}, func(t *testing.T, _ *is.I, fx *fixture) {
		fx.exec(fx.connect(), "INSERT INTO orders VALUES ('1', 1)")
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for range 6 {
			c := fx.connect()
			wg.Go(func() {
				for i := range 20 {
					start := time.Now()
					var n int64
					if err := c.QueryRow(t.Context(), "SELECT count(*) FROM orders").Scan(&n); err != nil || n != 1 {
						t.Errorf("read %d: %d rows, %v", i, n, err)
					}
					if d := time.Since(start); d > 1500*time.Millisecond {
						t.Errorf("read %d took %v", i, d)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		fx.setFault(1, target.FaultFreeze, "1")
		wg.Wait()
		fx.setFault(1, target.FaultFreeze, "0")
	})
}

// TestReplicaShare guards against too large a share of reads at the primary, and
// against refusals by lagging replicas that multiply the load. The share depends
// on random pauses, so the bound is below the objective of nine reads in ten on
// replicas; the test logs the counts.
func TestReplicaShare(t *testing.T) {
	withFixture(t, target.Config{Lag: 50 * time.Millisecond}, func(t *testing.T, is *is.I, fx *fixture) {
		var wg sync.WaitGroup
		for caller := range 8 {
			c := fx.connect()
			wg.Go(func() {
				for i := range 200 {
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
					if i%10 == caller {
						fx.exec(c, "INSERT INTO orders VALUES ($1, 1)", fmt.Sprintf("%d-%d", caller, i))
						continue
					}
					fx.exec(c, "SELECT count(*) FROM orders WHERE metres = $1", 1)
				}
			})
		}
		wg.Wait()
		reads := map[string]int64{}
		for _, counter := range fx.scope.Snapshot().Counters() {
			if counter.Name() == "reads" {
				reads[counter.Tags()["role"]] += counter.Value()
			}
		}
		requests := int64(0)
		for _, s := range fx.targets {
			requests += s.Stats().Statements
		}
		t.Log(reads, requests)
		is.True(reads["replica"] >= 6*reads["primary"])
		is.True(requests*10 <= 8*200*12) // at most 1.2 requests to targets for each statement
	})
}
