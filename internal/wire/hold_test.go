package wire

import (
	"errors"
	"strings"
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

// TestWriteAnswerHeld guards against an answer to a write outside a transaction
// before a majority has the write, and against a wrong outcome when the primary is
// replaced during the wait.
func TestWriteAnswerHeld(t *testing.T) {
	for _, test := range []struct {
		name   string
		settle func(fx *fixture)
		code   string
		calls  int
	}{
		{"majority", func(fx *fixture) { fx.targets["a"].SetQuorum(ident.Position{Term: 1, Index: 2}) }, "", 1},
		{"new primary has it", func(fx *fixture) {
			fx.hasCommit = true
			fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		}, "", 1},
		{"new primary lacks it", func(fx *fixture) {
			fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		}, "", 2}, // the write runs again on the new primary
		{"new primary is silent", func(fx *fixture) {
			fx.hasErr = errors.New("no answer")
			fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		}, "08007", 1},
		{"deadline", func(*fixture) {}, "08007", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
				c := fx.connect()
				fx.targets["a"].HoldQuorum()
				fx.targets["b"].SetApplied(ident.Position{Term: 2, Index: 1})
				done := make(chan error, 1)
				go func() {
					_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
					done <- err
				}()
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(len(done), 0) // held
				fx.mu.Lock()
				test.settle(fx)
				fx.mu.Unlock()
				is.Equal(code(<-done), test.code)
				is.Equal(len(fx.targets["a"].Calls())+len(fx.targets["b"].Calls()), test.calls)
			})
		})
	}
}

// TestCommitAnswerHeld guards against a COMMIT that is answered before a majority
// has it, and against one that is reported as done although the new primary lacks
// it.
func TestCommitAnswerHeld(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		fx.targets["a"].HoldQuorum()
		_, err := c.Exec(t.Context(), "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
		is.NoErr(err) // not held, as there is no commit yet
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(t.Context(), "COMMIT")
			done <- err
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(done), 0)
		fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		err = <-done
		is.Equal(code(err), "40001")
		is.Equal(c.PgConn().TxStatus(), byte('I'))
	})
}

// TestIdempotencyKey guards against a write that runs twice under one key, and
// against a key that applies to more than the next transaction.
func TestIdempotencyKey(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		insert := func(c *pgx.Conn, key string) (string, error) {
			if key != "" {
				_, err := c.Exec(t.Context(), "SET chervil.idempotency_key = '"+key+"'")
				is.NoErr(err)
			}
			tag, err := c.Exec(t.Context(), "INSERT INTO t VALUES ($1)", "order")
			return tag.String(), err
		}
		c, d := fx.connect(), fx.connect()
		for _, conn := range []*pgx.Conn{c, d, c} {
			tag, err := insert(conn, "k1")
			is.NoErr(err)
			is.Equal(tag, "INSERT 0 1")
			is.Equal(len(fx.targets["a"].Calls()), 1)
		}
		_, err := insert(c, "")
		is.NoErr(err)
		is.Equal(len(fx.targets["a"].Calls()), 2)

		// An unknown outcome is resolved by running again under the key.
		drops := 1
		fx.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply {
			drops--
			if drops >= 0 {
				return wiretest.Reply{CloseConn: true}
			}
			return wiretest.WriteReply()
		}
		_, err = insert(c, "k2")
		is.NoErr(err)
		is.Equal(len(fx.targets["a"].Calls()), 4)

		_, err = c.Exec(t.Context(), "SET chervil.idempotency_key = 'k2'")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "BEGIN")
		is.Equal(code(err), "CV006")
		is.True(strings.Contains(err.Error(), "; done"))
		is.Equal(c.PgConn().TxStatus(), byte('I'))
	})
}

// TestKeyNotRecordable guards against a write that runs without the key that its
// caller has set, because the key can't be recorded in its transaction.
func TestKeyNotRecordable(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		_, err := c.Exec(t.Context(), "SET chervil.idempotency_key = 'k1'")
		is.NoErr(err)
		_, err = c.Exec(t.Context(), "BEGIN; INSERT INTO t VALUES (1); COMMIT")
		is.Equal(code(err), "0A000")
		is.Equal(len(fx.targets["a"].Calls()), 0)
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

// TestReplayHeld guards against a repetition under a committed key that is answered
// before a majority has the commit.
func TestReplayHeld(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		fx.targets["a"].HoldQuorum()
		done := make(chan error, 2)
		insert := func() {
			c := fx.connect()
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
		is.Equal(len(fx.targets["a"].Calls()), 1)
		fx.targets["a"].SetQuorum(fx.targets["a"].Applied())
		is.NoErr(<-done)
		is.NoErr(<-done)
	})
}

// TestLargeAnswerHeld guards against the acknowledgement of a commit that is sent
// early, together with the rows before it, because they fill the buffer.
func TestLargeAnswerHeld(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		fx.targets["a"].HoldQuorum()
		fx.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply {
			// With the rows the buffer is not full yet, with the tag it is.
			return wiretest.Reply{Rows: []string{strings.Repeat("x", outboxFlushBytes-45)}, Tag: "INSERT 0 1", Write: true}
		}
		r := fx.loginRaw()
		go func() {
			r.fe.Send(&pgproto3.Query{String: "INSERT INTO t VALUES (1) RETURNING x"})
			_ = r.fe.Flush()
		}()
		seen := make(chan string, 10)
		go func() {
			kinds, _ := r.readUntilReady(t)
			seen <- kinds
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(seen), 0)
		fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		is.Equal(<-seen, "TDEZ") // rows, then the error in place of the tag
		_ = r.Close()
	})
}

// TestOnceCallQuoting guards against a key that closes its SQL string literal.
func TestOnceCallQuoting(t *testing.T) {
	is := is.New(t)
	is.Equal(onceCall("a'); DROP TABLE t; --", "f", "t"), "SELECT chervil_once('a''); DROP TABLE t; --', 'f', 't')")
}

// TestDeferredError guards against a COMMIT that the target refuses, such as for a
// deferred constraint, and that is retried, waits for a quorum, or is answered with
// another error.
func TestDeferredError(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.connect()
		fx.targets["a"].FailCommits()
		start := time.Now()
		for _, first := range []string{"BEGIN", "SET chervil.idempotency_key = 'k1'"} {
			_, err := c.Exec(t.Context(), first)
			is.NoErr(err)
			_, err = c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
			if first == "BEGIN" {
				is.NoErr(err)
				_, err = c.Exec(t.Context(), "COMMIT")
			}
			is.Equal(code(err), "23505")
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(len(fx.targets["a"].Calls()), 2)
	})
}
