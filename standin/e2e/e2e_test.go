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

// TestRows guards against values that an unchanged client can't write or read
// back through the proxy, in each of its modes.
func TestRows(t *testing.T) {
	bubble(t, target.Config{}, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
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
		is.Equal(code(err), "23505") // the target's own error
		var b pgx.Batch
		for i := range 600 { // more than one piece
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

// TestReadYourWrites guards against a session that misses its own write while
// replicas lag, also after it has moved to another connection with its token.
func TestReadYourWrites(t *testing.T) {
	bubble(t, target.Config{Lag: 50 * time.Millisecond}, func(t *testing.T, _ *is.I, k *kit) {
		var wg sync.WaitGroup
		for w := range 4 {
			wg.Go(func() {
				c := k.connect()
				for i := range 20 {
					id := fmt.Sprintf("%d-%d", w, i)
					k.exec(c, "INSERT INTO orders VALUES ($1, 1)", id)
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
					if i%5 == 4 {
						token := c.PgConn().ParameterStatus("chervil.position")
						_ = c.Close(t.Context())
						c = k.resume(token)
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

func (k *kit) resume(token string) *pgx.Conn {
	k.t.Helper()
	cfg := k.connect().Config().Copy()
	cfg.RuntimeParams["chervil.position"] = token
	c, err := pgx.ConnectConfig(k.t.Context(), cfg)
	if err != nil {
		k.t.Fatal(err)
	}
	return c
}

// TestLostAnswers guards against an order that is lost or doubled when the
// answer to its commit is lost: with a key each is there once, and without one
// the caller is told that the outcome is unknown.
func TestLostAnswers(t *testing.T) {
	bubble(t, target.Config{}, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		for i := range 10 {
			k.fault(0, target.FaultDropCommit, "1")
			k.exec(c, fmt.Sprintf("SET chervil.idempotency_key = 'k%d'", i))
			tag, err := c.Exec(t.Context(), "INSERT INTO orders VALUES ($1, 1)", fmt.Sprint(i))
			is.NoErr(err)
			is.Equal(tag.String(), "INSERT 0 1")
		}
		k.fault(0, target.FaultDropCommit, "1")
		_, err := c.Exec(t.Context(), "INSERT INTO orders VALUES ($1, 1)", "without")
		is.Equal(code(err), "08007")
		// The session's floor does not cover a write of unknown outcome, so the
		// rows are counted at the primary.
		tx, err := c.Begin(t.Context())
		is.NoErr(err)
		var n int64
		is.NoErr(tx.QueryRow(t.Context(), "SELECT count(*) FROM orders").Scan(&n))
		is.Equal(n, int64(11)) // ten with a key, each once, and the unknown one
	})
}

// TestFailover guards against an acknowledged order that is lost, one that is
// called not run and is there, one that is there twice, and one that waits much
// longer than the failover, while the primary is cut off or frozen in the middle
// of writes and replaced.
func TestFailover(t *testing.T) {
	for name, fault := range map[string][2]string{
		"cut":    {target.FaultCut, "*"}, // the proxy still reaches it
		"frozen": {target.FaultFreeze, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, target.Config{}, func(t *testing.T, is *is.I, k *kit) { failover(t, is, k, fault) })
		})
	}
}

func failover(t *testing.T, is *is.I, k *kit, fault [2]string) {
	fates := map[string]string{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for w := range 6 {
		c := k.connect()
		wg.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("%d-%d", w, i)
				start := time.Now()
				_, err := c.Exec(t.Context(), "INSERT INTO orders VALUES ($1, 1)", id)
				if d := time.Since(start); d > 2*time.Second {
					t.Errorf("order %s took %v", id, d)
				}
				mu.Lock()
				fates[id] = fate(err)
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	k.fault(0, fault[0], fault[1])
	time.Sleep(700 * time.Millisecond)
	k.elect(2, 1, 2)
	wg.Wait()
	there := k.orders(is)
	counts := map[string]int{}
	for id, f := range fates {
		counts[f]++
		switch {
		case f == "done" && there[id] != 1:
			t.Errorf("order %s was acknowledged and is there %d times", id, there[id])
		case f == "not run" && there[id] != 0:
			t.Errorf("order %s was called not run and is there", id)
		}
	}
	t.Log(counts)
	is.True(counts["done"] > 200)
	k.fault(0, target.FaultFreeze, "0")
}

// fate returns what a caller was told about its order.
func fate(err error) string {
	switch {
	case err == nil:
		return "done"
	case strings.Contains(err.Error(), "; not run"):
		return "not run"
	}
	return "unknown"
}

func (k *kit) orders(is *is.I) map[string]int {
	rows, err := k.connect().Query(context.Background(), "SELECT id FROM orders")
	is.NoErr(err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	is.NoErr(err)
	there := map[string]int{}
	for _, id := range ids {
		there[id]++
	}
	return there
}

// TestSilence guards against connections that went silent and are used again
// and again: one statement each may meet its deadline, the next must work.
func TestSilence(t *testing.T) {
	bubble(t, target.Config{}, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		k.exec(c, "INSERT INTO orders VALUES ('1', 1)")
		for i := range k.targets {
			k.fault(i, target.FaultSilence, "1")
		}
		_, err := c.Exec(t.Context(), "INSERT INTO orders VALUES ('2', 1)")
		is.True(err != nil)
		k.exec(c, "INSERT INTO orders VALUES ('3', 1)")
		var n int64
		is.NoErr(c.QueryRow(t.Context(), "SELECT count(*) FROM orders WHERE id = '3'").Scan(&n))
		is.Equal(n, int64(1))
	})
}

// TestSilenceOfMany guards against callers that wait for their deadline, one
// after the other, on pooled connections that went silent together.
func TestSilenceOfMany(t *testing.T) {
	bubble(t, target.Config{Slots: 6}, func(t *testing.T, _ *is.I, k *kit) {
		const callers = 6
		var list []*pgx.Conn
		for range callers {
			c := k.connect()
			k.exec(c, "BEGIN") // each takes a connection of its own to the primary
			k.exec(c, "SELECT count(*) FROM orders")
			list = append(list, c)
		}
		for _, c := range list {
			k.exec(c, "COMMIT")
		}
		k.fault(0, target.FaultSilence, "1")
		var wg sync.WaitGroup
		for i, c := range list {
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

// TestSmallPieces guards against answers that are taken apart wrongly when they
// arrive byte by byte, and against crossed answers under many callers.
func TestSmallPieces(t *testing.T) {
	bubble(t, target.Config{Slots: 3, ServiceTime: time.Millisecond}, func(t *testing.T, is *is.I, k *kit) {
		for i := range k.targets {
			k.fault(i, target.FaultSplit, "3")
		}
		var wg sync.WaitGroup
		for w := range 8 {
			c := k.connect()
			wg.Go(func() {
				for i := range 10 {
					want := fmt.Sprintf("%d/%d", w, i)
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
		is.Equal(len(k.orders(is)), 80)
	})
}

// TestRowLimit guards against rows that are lost, repeated or sent at once when
// a caller fetches a portal in parts.
func TestRowLimit(t *testing.T) {
	bubble(t, target.Config{}, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		for i := range 5 {
			k.exec(c, "INSERT INTO orders VALUES ($1, 1)", fmt.Sprint(i))
		}
		k.exec(c, "BEGIN")
		fe := c.PgConn().Frontend()
		var got []string
		answer := func(list ...pgproto3.FrontendMessage) (last string) {
			for _, m := range list {
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
		is.Equal(answer(&pgproto3.Parse{Query: "SELECT id FROM orders ORDER BY id"}, &pgproto3.Bind{DestinationPortal: "p"}, next, &pgproto3.Sync{}), "suspended")
		is.Equal(got, []string{"0", "1"})
		is.Equal(answer(next, &pgproto3.Flush{}, next, &pgproto3.Sync{}), "complete")
		is.Equal(got, []string{"0", "1", "2", "3", "4"})
		k.exec(c, "COMMIT")
	})
}

// TestFrozenReplica guards against reads that wait for their deadline at a
// target that answers nothing, not even new connections.
func TestFrozenReplica(t *testing.T) {
	bubble(t, target.Config{}, func(t *testing.T, _ *is.I, k *kit) {
		k.exec(k.connect(), "INSERT INTO orders VALUES ('1', 1)")
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for range 6 {
			c := k.connect()
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
		k.fault(1, target.FaultFreeze, "1")
		wg.Wait()
		k.fault(1, target.FaultFreeze, "0")
	})
}

// TestReplicaShare guards against reads that crowd the primary, and against
// refusals by lagging replicas that multiply the load. The share depends on
// random pauses, so the bound is below the objective of nine in ten; the log
// has the figure.
func TestReplicaShare(t *testing.T) {
	bubble(t, target.Config{Lag: 50 * time.Millisecond}, func(t *testing.T, is *is.I, k *kit) {
		var wg sync.WaitGroup
		for w := range 8 {
			c := k.connect()
			wg.Go(func() {
				for i := range 200 {
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
					if i%10 == w {
						k.exec(c, "INSERT INTO orders VALUES ($1, 1)", fmt.Sprintf("%d-%d", w, i))
						continue
					}
					k.exec(c, "SELECT count(*) FROM orders WHERE metres = $1", 1)
				}
			})
		}
		wg.Wait()
		reads := map[string]int64{}
		for _, counter := range k.scope.Snapshot().Counters() {
			if counter.Name() == "reads" {
				reads[counter.Tags()["role"]] += counter.Value()
			}
		}
		arrived := int64(0)
		for _, s := range k.targets {
			arrived += s.Stats().Statements
		}
		t.Log(reads, arrived)
		is.True(reads["replica"] >= 6*reads["primary"])
		is.True(arrived*10 <= 8*200*12) // at most 1.2 requests to targets for each statement
	})
}
