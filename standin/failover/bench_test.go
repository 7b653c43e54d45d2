package failover

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5"

	"chervilspan.example/internal/dbctl"
	"chervilspan.example/standin/target"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	received, sent *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// BenchmarkProbe measures a probe over an open loopback connection, with log
// positions of different lengths. The time includes the stand-in's.
func BenchmarkProbe(b *testing.B) {
	for _, writes := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint("writes=", writes), func(b *testing.B) {
			s, err := target.New(target.Config{ID: "group-001-a", Slots: 5, ConnLimit: 30})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			if err := target.Elect(b.Context(), 1, s); err != nil {
				b.Fatal(err)
			}
			var received, sent, dials atomic.Int64
			c := dbctl.New(dbctl.Config{Target: "group-001-a", Address: s.Addr(), User: "proxy", Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				var d net.Dialer
				dials.Add(1)
				conn, err := d.DialContext(ctx, network, address)
				return countingConn{conn, &received, &sent}, err
			}})
			defer c.Close()
			insertRows(b, s.Addr(), writes)
			if _, err := c.Status(b.Context()); err != nil {
				b.Fatal(err)
			}
			connectReceived, connectSent := received.Load(), sent.Load()
			received.Store(0)
			sent.Store(0)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Status(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sent.Load())/float64(b.N), "B-sent/probe")
			b.ReportMetric(float64(received.Load())/float64(b.N), "B-received/probe")
			b.ReportMetric(float64(connectReceived+connectSent), "B/new-connection")
			b.ReportMetric(float64(dials.Load()), "connections")
		})
	}
}

// insertRows commits the given number of writes at a target.
func insertRows(b *testing.B, address string, writes int) {
	b.Helper()
	c, err := pgx.Connect(b.Context(), "postgres://proxy@"+address+"/db?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close(b.Context()) }()
	if _, err := c.Exec(b.Context(), "CREATE TABLE orders (id int PRIMARY KEY)"); err != nil {
		b.Fatal(err)
	}
	for i := range writes {
		if _, err := c.Exec(b.Context(), "INSERT INTO orders VALUES ($1)", i); err != nil {
			b.Fatal(err)
		}
	}
}
