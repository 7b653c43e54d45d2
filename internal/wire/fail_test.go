package wire

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
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
		for _, call := range k.targets["a"].Log() {
			if left[call.Conn] == 0 {
				last[call.Conn], left[call.Conn] = call.Params[0], 3
			}
			is.Equal(call.Params[0], last[call.Conn])
			is.True(call.InTx)
			left[call.Conn]--
		}
		is.Equal(len(k.targets["a"].Log()), 8*5*3)
	})
}

// TestLateAnswer guards against an answer that comes after its deadline and
// reaches the next statement.
func TestLateAnswer(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		for _, tg := range k.targets {
			tg.Handle = func(c *wiretest.Call) wiretest.Reply {
				if c.Params[0] == "slow" {
					time.Sleep(11 * time.Second) // past the deadline of 10 s
				}
				return wiretest.Rows(c.Params[0])
			}
		}
		c := k.connect()
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

// TestPartialAnswer guards against a part of an answer that is taken for the
// whole, and against one that is joined with another target's answer.
func TestPartialAnswer(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		many := make([]string, 3000)
		for i := range many {
			many[i] = strings.Repeat("x", 100)
		}
		rows := []string{"1", "2"}
		k.targets["b"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Reply{Rows: rows, Drop: true} }
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Rows("3", "4", "5") }
		c := k.connect()
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
		is.Equal(len(k.targets["b"].Log()), 2)
	})
}

// TestLostWrite guards against a write that is repeated, or called not run,
// although the target may have committed it.
func TestLostWrite(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Reply{Drop: true} }
		_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "08007")
		is.True(strings.HasSuffix(err.Error(), "outcome unknown (SQLSTATE 08007)"))
		is.Equal(len(k.targets["a"].Log()), 1)

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
		k.targets["a"].Cut()
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
		is.Equal(len(k.targets["a"].Log()), 0)
		is.Equal(time.Since(start), 10*time.Second)
		k.mu.Lock()
		is.True(k.suspects > 0)
		k.admit = stateError{"53400", "the workspace is over its rate"}
		k.mu.Unlock()
		_, err = c.Exec(t.Context(), "SELECT 1")
		is.Equal(code(err), "53400")
		is.Equal(len(k.targets["b"].Log()), 0)
	})
}

// TestFailover guards against a write that fails although a new primary comes
// within its deadline, and against a replaced primary that gets more work.
func TestFailover(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Refused("CV002") }
		go func() {
			time.Sleep(time.Second)
			k.targets["b"].SetApplied(ident.Position{Term: 2, Index: 1})
			k.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		}()
		_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		is.Equal(len(k.targets["b"].Log()), 1)
		is.Equal(c.PgConn().ParameterStatus("chervil.position"), "2/2")
		// First attempts and retries stay within the budget of 10 a second.
		is.True(len(k.targets["a"].Log()) <= 21)
	})
}

// TestHold guards against an answer to a commit before a majority has it, and
// against a wrong outcome after the primary was replaced meanwhile.
func TestHold(t *testing.T) {
	for _, test := range []struct {
		name   string
		settle func(k *kit)
		code   string
		log    int
	}{
		{"majority", func(k *kit) { k.targets["a"].SetQuorum(ident.Position{Term: 1, Index: 2}) }, "", 1},
		{"new primary has it", func(k *kit) {
			k.has = true
			k.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		}, "", 1},
		{"new primary lacks it", func(k *kit) {
			k.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		}, "", 2}, // runs again on the new primary
		{"new primary is silent", func(k *kit) {
			k.hasErr = errors.New("no answer")
			k.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		}, "08007", 1},
		{"deadline", func(*kit) {}, "08007", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I, k *kit) {
				c := k.connect()
				k.targets["a"].HoldQuorum()
				k.targets["b"].SetApplied(ident.Position{Term: 2, Index: 1})
				done := make(chan error, 1)
				go func() {
					_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
					done <- err
				}()
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(len(done), 0) // held
				k.mu.Lock()
				test.settle(k)
				k.mu.Unlock()
				is.Equal(code(<-done), test.code)
				is.Equal(len(k.targets["a"].Log())+len(k.targets["b"].Log()), test.log)
			})
		})
	}
}

// TestHoldCommit guards against a COMMIT that is answered before a majority has
// it, and against one that is called done although it was lost.
func TestHoldCommit(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		k.targets["a"].HoldQuorum()
		_, err := c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err) // no commit yet, so not held
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(t.Context(), "COMMIT")
			done <- err
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(done), 0)
		k.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		err = <-done
		is.Equal(code(err), "40001")
		is.Equal(c.PgConn().TxStatus(), byte('I'))
	})
}

// TestIdempotencyKey guards against a write that runs twice under one key, and
// against a key that applies to more than the next transaction.
func TestIdempotencyKey(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		insert := func(c *pgx.Conn, key string) (string, error) {
			if key != "" {
				_, err := c.Exec(t.Context(), "SET chervil.idempotency_key = '"+key+"'")
				is.NoErr(err)
			}
			tag, err := c.Exec(t.Context(), "INSERT INTO t VALUES ($1)", "order")
			return tag.String(), err
		}
		c, d := k.connect(), k.connect()
		for _, conn := range []*pgx.Conn{c, d, c} {
			tag, err := insert(conn, "k1")
			is.NoErr(err)
			is.Equal(tag, "INSERT 0 1")
			is.Equal(len(k.targets["a"].Log()), 1)
		}
		_, err := insert(c, "")
		is.NoErr(err)
		is.Equal(len(k.targets["a"].Log()), 2)

		// An unknown outcome is resolved by running again under the key.
		drops := 1
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply {
			drops--
			if drops >= 0 {
				return wiretest.Reply{Drop: true}
			}
			return wiretest.Wrote()
		}
		_, err = insert(c, "k2")
		is.NoErr(err)
		is.Equal(len(k.targets["a"].Log()), 4)

		_, err = c.Exec(t.Context(), "SET chervil.idempotency_key = 'k2'")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "BEGIN")
		is.Equal(code(err), "CV006")
		is.True(strings.Contains(err.Error(), "; done"))
		is.Equal(c.PgConn().TxStatus(), byte('I'))
	})
}

// TestKeyMisfit guards against a write that runs without the key that its caller
// has set, because the key can't be recorded in its transaction.
func TestKeyMisfit(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		_, err := c.Exec(t.Context(), "SET chervil.idempotency_key = 'k1'")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "BEGIN; INSERT INTO t VALUES (1); COMMIT")
		is.Equal(code(err), "0A000")
		is.Equal(len(k.targets["a"].Log()), 0)
		_, err = c.Exec(t.Context(), "SET chervil.idempotency_key = 'k1'")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "COMMIT")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "SET chervil.idempotency_key = 'k1'")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "BEGIN")
		is.Equal(code(err), "CV006")
	})
}

// TestFloorRefused guards against a stale read when the cached position of a
// replica is wrong.
func TestFloorRefused(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		k.floor = ident.Position{Term: 1, Index: 5}
		k.targets["a"].SetApplied(ident.Position{Term: 1, Index: 5})
		k.table.Apply("g", "b", ident.Position{Term: 1, Index: 9}) // wrong
		c := k.connect()
		var s string
		is.NoErr(c.QueryRow(t.Context(), "SELECT $1", "x").Scan(&s))
		is.Equal(len(k.targets["b"].Log()), 0)
		is.True(len(k.targets["a"].Log()) > 0)
	})
}

// TestAttach guards against a session without a token that reads below what was
// acknowledged to others, and against one that is served in a cut-off zone.
func TestAttach(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		k.floorErr = errors.New("no majority")
		c := k.connect()
		_, err := c.Exec(t.Context(), "SELECT 1")
		is.Equal(code(err), "57P03")
		token := k.connect(func(cfg *pgx.ConnConfig) { cfg.RuntimeParams["chervil.position"] = "1/1" })
		_, err = token.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		k.mu.Lock()
		k.grant.MaxAge = time.Minute
		k.mu.Unlock()
		_, err = k.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		_, err = k.tryConnect(func(cfg *pgx.ConnConfig) { cfg.RuntimeParams["chervil.position"] = "x" })
		is.Equal(code(err), "22023")
	})
}

// TestHiddenWrite guards against a read that fails because it writes after all,
// and against one on a read-only route that reaches the primary.
func TestHiddenWrite(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		k.targets["b"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Refused("25006") }
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply {
			return wiretest.Reply{Rows: []string{"1"}, Tag: "SELECT 1", Write: true}
		}
		c := k.connect()
		_, err := c.Exec(t.Context(), "SELECT * FROM view_that_writes")
		is.NoErr(err)
		is.Equal(c.PgConn().ParameterStatus("chervil.position"), "1/2")
		k.mu.Lock()
		k.grant.ReadOnly = true
		k.mu.Unlock()
		ro := k.connect()
		_, err = ro.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "25006")
		is.Equal(len(k.targets["b"].Log()), 1) // refused before it was sent
		_, err = ro.Exec(t.Context(), "SELECT * FROM view_that_writes")
		is.Equal(code(err), "25006")
		is.Equal(len(k.targets["a"].Log()), 1)
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
		is.Equal(k.targets["a"].Open(), 1)
		is.NoErr(c.PgConn().Conn().Close())
		synctest.Wait()
		is.Equal(k.targets["a"].Open(), 0) // closed, which rolls back
		is.Equal(k.targets["a"].Applied(), ident.Position{Term: 1, Index: 1})
		is.Equal(k.srv.Sessions(), 0)
	})
}

// TestCancel guards against a cancel request that hits another statement than
// the one that ran, or another session's.
func TestCancel(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		k.targets["b"].Handle = func(c *wiretest.Call) wiretest.Reply {
			if len(c.Params) > 0 && c.Params[0] == "long" {
				<-c.Cancelled
				return wiretest.Refused("57014")
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
		is.Equal(k.targets["b"].Open(), 0) // a late request can hit nobody
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

// TestReplayHeld guards against a repetition under a key that is answered as
// done before a majority has the commit.
func TestReplayHeld(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		k.targets["a"].HoldQuorum()
		done := make(chan error, 2)
		insert := func() {
			c := k.connect()
			_, err := c.Exec(t.Context(), "SET chervil.idempotency_key = 'k1'")
			is.NoErr(err)
			_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
			done <- err
		}
		go insert()
		time.Sleep(time.Second)
		go insert()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(done), 0)
		is.Equal(len(k.targets["a"].Log()), 1)
		k.targets["a"].SetQuorum(k.targets["a"].Applied())
		is.NoErr(<-done)
		is.NoErr(<-done)
	})
}

// TestLargeAnswerHeld guards against the acknowledgement of a commit that goes
// out with the rows before it, because they fill the buffer.
func TestLargeAnswerHeld(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		k.targets["a"].HoldQuorum()
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply {
			// With the rows the buffer is not full yet, with the tag it is.
			return wiretest.Reply{Rows: []string{strings.Repeat("x", outboxFlush-45)}, Tag: "INSERT 0 1", Write: true}
		}
		r := k.login()
		go func() {
			r.fe.Send(&pgproto3.Query{String: "INSERT INTO t VALUES (1) RETURNING x"})
			_ = r.fe.Flush()
		}()
		seen := make(chan string, 10)
		go func() {
			kinds, _ := r.until(t)
			seen <- kinds
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(seen), 0)
		k.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		is.Equal(<-seen, "TDEZ") // rows, then the error in place of the tag
		_ = r.Close()
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
		k.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Refused("CV002") }
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "40001")
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (2)")
		is.Equal(code(err), "25P02")
		_, err = c.Exec(t.Context(), "ROLLBACK")
		is.NoErr(err)
		synctest.Wait()
		is.Equal(len(k.targets["a"].Log()), 1)
		is.Equal(k.targets["a"].Open(), 0)
	})
}

// TestQueueFull guards against a read that is refused although another target
// has room, and against a refused write that is sent.
func TestQueueFull(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect()
		k.busy = map[ident.Target]bool{"b": true}
		_, err := c.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		k.mu.Lock()
		k.busy["a"] = true
		k.mu.Unlock()
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.Equal(code(err), "53300")
		is.Equal(len(k.targets["a"].Log()), 1)
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
		log := k.targets["a"].Log()
		is.True(log[0].Conn != log[1].Conn)
	})
}

// TestOnceCall guards against a key that ends its string literal.
func TestOnceCall(t *testing.T) {
	is := is.New(t)
	is.Equal(onceCall("a'); DROP TABLE t; --", "f", "t"), "SELECT chervil_once('a''); DROP TABLE t; --', 'f', 't')")
}

// TestForgedToken guards against a caller that makes the proxy flood its
// targets by a token that no target will reach, and against a floor that stays
// on the connections for others.
func TestForgedToken(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		c := k.connect(func(cfg *pgx.ConnConfig) { cfg.RuntimeParams["chervil.position"] = "99/1" })
		_, err := c.Exec(t.Context(), "SELECT 1")
		is.Equal(code(err), "57P03")
		// 10 s at 10 retries a second to each of two targets, and the first round.
		sent := k.targets["a"].Refused() + k.targets["b"].Refused()
		is.True(sent > 2 && sent <= 2*10*11+2)
		_, err = k.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		is.Equal(len(k.targets["b"].Log()), 1)
	})
}
