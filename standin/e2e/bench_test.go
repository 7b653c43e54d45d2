package e2e

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/internal/conns"
	"chervilspan.example/internal/wire"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/sessn"
	"chervilspan.example/pkg/topo"
	"chervilspan.example/standin/target"
)

// benchKit is a proxy in front of one target on loopback sockets. It returns
// the address of the target and of the proxy.
func benchKit(b *testing.B) (direct, proxied string) {
	b.Helper()
	s, err := target.New(target.Config{ID: "a", Slots: 64, ConnLimit: 200})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Close() })
	k := &kit{table: &topo.Table{}, targets: []*target.Server{s}, net: &memNet{}}
	k.grant = access.Authorization{Group: "g", RequestTimeout: 5 * time.Second, MaxAge: time.Minute}
	k.table.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": {
		Targets: map[ident.Target]catal.Target{"a": {Address: s.Addr(), Zone: "z", Slots: 64, Connections: 200}},
	}}})
	if err := target.Elect(context.Background(), 1, s); err != nil {
		b.Fatal(err)
	}
	k.table.Learn(topo.Hint{Group: "g", Term: 1, Primary: "a"})
	k.pools = conns.New(conns.Config{User: "proxy", Groups: k.table})
	b.Cleanup(k.pools.Close)
	k.srv = wire.New(wire.Config{Access: k, Limiter: k, Groups: k.table, Control: k, Pools: k.pools, AllowPlaintext: true, Location: sessn.Location{Zone: "z"}})
	b.Cleanup(k.srv.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() { _ = k.srv.Serve(l) }()
	return s.Addr(), l.Addr().String()
}

// BenchmarkStatement measures one statement of one caller, straight to the
// stand-in and through the proxy; the difference is the proxy's share.
func BenchmarkStatement(b *testing.B) {
	direct, proxied := benchKit(b)
	setup, err := pgx.Connect(b.Context(), "postgres://app@"+direct+"/db?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	if _, err := setup.Exec(b.Context(), "CREATE TABLE orders (id int PRIMARY KEY)"); err != nil {
		b.Fatal(err)
	}
	next := 0
	for _, way := range []struct{ name, address string }{{"direct", direct}, {"proxied", proxied}} {
		c, err := pgx.Connect(b.Context(), "postgres://app:k@"+way.address+"/orders?sslmode=disable")
		if err != nil {
			b.Fatal(err)
		}
		b.Run(way.name+"/read", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var n int64
				if err := c.QueryRow(b.Context(), "SELECT count(*) FROM orders WHERE id = $1", 0).Scan(&n); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(way.name+"/write", func(b *testing.B) {
			for b.Loop() {
				next++
				if _, err := c.Exec(b.Context(), "INSERT INTO orders VALUES ($1)", next); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// idleSessions is the number of sessions that BenchmarkIdleSession opens.
const idleSessions = 2000

// BenchmarkIdleSession measures the memory of an idle session in the proxy,
// with one statement behind it. The caller's end, a bare socket in the same
// process, is included.
func BenchmarkIdleSession(b *testing.B) {
	for b.Loop() {
		_, proxied := benchKit(b)
		before := memory()
		var list []net.Conn
		for range idleSessions {
			c, err := net.Dial("tcp", proxied)
			if err != nil {
				b.Fatal(err)
			}
			list = append(list, c)
			exchange(b, c)
		}
		b.ReportMetric(float64(memory()-before)/idleSessions, "B/session")
		for _, c := range list {
			_ = c.Close()
		}
	}
}

// memory returns the bytes of heap and stacks in use.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// exchange logs in and runs a statement that the proxy answers itself.
func exchange(b *testing.B, c net.Conn) {
	b.Helper()
	fe := pgproto3.NewFrontend(c, c)
	fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "app", "database": "orders"}})
	fe.Send(&pgproto3.PasswordMessage{Password: "k"})
	fe.Send(&pgproto3.Query{String: "SHOW chervil.position"})
	if err := fe.Flush(); err != nil {
		b.Fatal(err)
	}
	for ready := 0; ready < 2; {
		m, err := fe.Receive()
		if err != nil {
			b.Fatal(err)
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			ready++
		}
	}
}
