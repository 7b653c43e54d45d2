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

// newBenchFixture starts a proxy in front of one target on loopback sockets. It
// returns the addresses of the target and of the proxy.
func newBenchFixture(b *testing.B) (direct, proxied string) {
	b.Helper()
	s, err := target.New(target.Config{ID: "a", Slots: 64, ConnLimit: 200})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Close() })
	fx := &fixture{table: &topo.Table{}, targets: []*target.Server{s}, net: &memNetwork{}}
	fx.auth = access.Authorization{Group: "g", RequestTimeout: 5 * time.Second, MaxAge: time.Minute}
	fx.table.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": {
		Targets: map[ident.Target]catal.Target{"a": {Address: s.Addr(), Zone: "z", Slots: 64, Connections: 200}},
	}}})
	if err := target.Elect(context.Background(), 1, s); err != nil {
		b.Fatal(err)
	}
	fx.table.Learn(topo.Hint{Group: "g", Term: 1, Primary: "a"})
	fx.pools = conns.New(conns.Config{User: "proxy", Groups: fx.table})
	b.Cleanup(fx.pools.Close)
	fx.srv = wire.New(wire.Config{Access: fx, Limiter: fx, Groups: fx.table, Control: fx, Pools: fx.pools, AllowPlaintext: true, Location: sessn.Location{Zone: "z"}})
	b.Cleanup(fx.srv.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() { _ = fx.srv.Serve(l) }()
	return s.Addr(), l.Addr().String()
}

// BenchmarkStatement measures a statement of a single caller, sent directly to
// the stand-in and through the proxy; the difference is the cost of the proxy.
func BenchmarkStatement(b *testing.B) {
	direct, proxied := newBenchFixture(b)
	setup, err := pgx.Connect(b.Context(), "postgres://app@"+direct+"/db?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	if _, err := setup.Exec(b.Context(), "CREATE TABLE orders (id int PRIMARY KEY)"); err != nil {
		b.Fatal(err)
	}
	id := 0
	for _, path := range []struct{ name, address string }{{"direct", direct}, {"proxied", proxied}} {
		c, err := pgx.Connect(b.Context(), "postgres://app:k@"+path.address+"/orders?sslmode=disable")
		if err != nil {
			b.Fatal(err)
		}
		b.Run(path.name+"/read", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var n int64
				if err := c.QueryRow(b.Context(), "SELECT count(*) FROM orders WHERE id = $1", 0).Scan(&n); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(path.name+"/write", func(b *testing.B) {
			for b.Loop() {
				id++
				if _, err := c.Exec(b.Context(), "INSERT INTO orders VALUES ($1)", id); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// idleSessionCount is the number of sessions that BenchmarkIdleSession opens.
const idleSessionCount = 2000

// BenchmarkIdleSession measures the memory of a session in the proxy that is idle
// after one statement. It includes the caller's end, a plain socket in the same
// process.
func BenchmarkIdleSession(b *testing.B) {
	for b.Loop() {
		_, proxied := newBenchFixture(b)
		before := memoryInUse()
		var sessions []net.Conn
		for range idleSessionCount {
			c, err := net.Dial("tcp", proxied)
			if err != nil {
				b.Fatal(err)
			}
			sessions = append(sessions, c)
			loginAndShow(b, c)
		}
		b.ReportMetric(float64(memoryInUse()-before)/idleSessionCount, "B/session")
		for _, c := range sessions {
			_ = c.Close()
		}
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// loginAndShow logs in and runs a SHOW that the proxy answers itself.
func loginAndShow(b *testing.B, c net.Conn) {
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
