package conns

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// withAnswers runs a test against a target that answers the queries of each connection
// with the given bytes, one after the other.
func withAnswers(t *testing.T, f func(is *is.I, fx *fixture), answers ...[]byte) {
	var open []net.Conn
	withFixture(t, func(_ *testing.T, is *is.I, fx *fixture) {
		defer func() {
			for _, c := range open {
				_ = c.Close()
			}
		}()
		f(is, fx)
	}, func(cfg *Config) {
		cfg.Dial = func(context.Context, string, string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			open = append(open, ours)
			go func() {
				defer theirs.Close()
				b := pgproto3.NewBackend(theirs, theirs)
				_, err := b.ReceiveStartupMessage()
				_, _ = theirs.Write(backendBytes(&pgproto3.AuthenticationOk{}, &pgproto3.ReadyForQuery{TxStatus: 'I'}))
				for _, a := range answers {
					if err == nil {
						_, err = b.Receive()
						_, _ = theirs.Write(a)
					}
				}
				for err == nil {
					_, err = b.Receive()
				}
			}()
			return ours, nil
		}
	})
}

func backendBytes(list ...pgproto3.BackendMessage) []byte {
	var b []byte
	for _, m := range list {
		b, _ = m.Encode(b)
	}
	return b
}

// rowBytes is the answer to a query with one value.
func rowBytes(value string) []byte {
	return backendBytes(&pgproto3.RowDescription{}, &pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// TestInputBehindAnswer guards against messages behind a complete answer that the next
// session on the connection gets as the answer to its own statement.
func TestInputBehindAnswer(t *testing.T) {
	withAnswers(t, func(is *is.I, fx *fixture) {
		c, err := fx.pools.Get(context.Background(), "g", "a", "db")
		is.NoErr(err)
		v, err := c.Exec("SELECT 1")
		is.NoErr(err)
		is.Equal(v, []string{"first"})
		fx.pools.Put(c)
		open, _ := fx.pools.Size("g", "a")
		is.Equal(open, 0)
	}, append(rowBytes("first"), rowBytes("of nobody")...), rowBytes("second"))
}

// TestHostileAnswers guards against answers that a target must not give and that reach a
// caller, leave the connection in use, or take memory or time as they please.
func TestHostileAnswers(t *testing.T) {
	for name, b := range map[string][]byte{
		"request for a password": backendBytes(&pgproto3.AuthenticationCleartextPassword{}),
		"cancel key":             backendBytes(&pgproto3.BackendKeyData{SecretKey: make([]byte, 4)}),
		"function result":        backendBytes(&pgproto3.FunctionCallResponse{}),
		"copied data":            backendBytes(&pgproto3.CopyData{Data: []byte("x")}),
		"unknown type":           {'?', 0, 0, 0, 4},
		"short length":           {'D', 0, 0, 0, 3},
		"1 GiB":                  {'D', 0x40, 0, 0, 0},
		"broken row":             {'D', 0, 0, 0, 6, 0, 9},
		"unknown state":          backendBytes(&pgproto3.ReadyForQuery{TxStatus: 'Q'}),
	} {
		t.Run(name, func(t *testing.T) {
			withAnswers(t, func(is *is.I, fx *fixture) {
				c, err := fx.pools.Get(context.Background(), "g", "a", "db")
				is.NoErr(err)
				start := time.Now()
				c.SetDeadline(start.Add(statementDeadline))
				_, err = c.Exec("SELECT 1")
				is.True(Is(err, KindConnFailed))
				is.Equal(time.Since(start), time.Duration(0)) // without a wait for more
				fx.pools.Put(c)
				open, _ := fx.pools.Size("g", "a")
				is.Equal(open, 0)
			}, append(b, rowBytes("x")...))
		})
	}
	withAnswers(t, func(is *is.I, fx *fixture) {
		c, err := fx.pools.Get(context.Background(), "g", "a", "db")
		is.NoErr(err)
		_, err = c.Exec("SELECT 1")
		is.NoErr(err)
		_, err = c.Receive() // a second end of the same answer
		is.True(Is(err, KindConnFailed))
		fx.pools.Put(c)
	}, append(rowBytes("x"), backendBytes(&pgproto3.ReadyForQuery{TxStatus: 'I'})...))
}
