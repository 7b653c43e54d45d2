package conns

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// TestFrozenListener guards against commits on a new primary that wait until the
// listener's connection attempt to the former primary, which is frozen, times
// out.
func TestFrozenListener(t *testing.T) {
	const frozen = "10.0.0.1:5432"
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		fx.table.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": {Targets: map[ident.Target]catal.Target{
			"a": {Address: frozen}, "b": {Address: "10.0.0.2:5432"},
		}}}})
		lost := make(chan error, 1)
		go func() { lost <- fx.pools.WaitForQuorum(t.Context(), "g", ident.Position{Term: 1, Index: 5}) }()
		time.Sleep(900 * time.Millisecond)
		fx.target.SetQuorum(ident.Position{Term: 2, Index: 1})
		fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		is.True(Is(<-lost, KindSuperseded))
		start := time.Now()
		is.NoErr(fx.pools.WaitForQuorum(t.Context(), "g", ident.Position{Term: 2, Index: 1}))
		is.True(time.Since(start) < 200*time.Millisecond)
	}, func(c *Config) {
		c.ConnectTimeout = 2 * time.Second
		dial := c.Dial
		c.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == frozen {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return dial(ctx, network, address)
		}
	})
}

// TestWhilePrimary guards against work for a primary that continues after the
// primary was replaced, and against a context that ends with KindSuperseded
// although it was not.
func TestWhilePrimary(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		ctx, stop := fx.pools.WhilePrimary(t.Context(), "g", "a")
		time.Sleep(time.Second)
		is.NoErr(ctx.Err())
		fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		<-ctx.Done()
		is.True(Is(context.Cause(ctx), KindSuperseded))
		stop()
		ctx, stop = fx.pools.WhilePrimary(t.Context(), "g", "b")
		stop()
		is.True(!Is(context.Cause(ctx), KindSuperseded))
		var ended atomic.Bool
		context.AfterFunc(ctx, func() { ended.Store(true) })
		time.Sleep(time.Second)
		is.True(ended.Load())
	})
}
