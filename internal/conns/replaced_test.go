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

// TestFrozenListener guards against commits at a new primary that wait until
// the listener's connect to the former one, which is frozen, has timed out.
func TestFrozenListener(t *testing.T) {
	const frozen = "10.0.0.1:5432"
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		r.table.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": {Targets: map[ident.Target]catal.Target{
			"a": {Address: frozen}, "b": {Address: "10.0.0.2:5432"},
		}}}})
		lost := make(chan error, 1)
		go func() { lost <- r.pools.WaitForQuorum(t.Context(), "g", ident.Position{Term: 1, Index: 5}) }()
		time.Sleep(900 * time.Millisecond)
		r.target.SetQuorum(ident.Position{Term: 2, Index: 1})
		r.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		is.True(Is(<-lost, KindSuperseded))
		start := time.Now()
		is.NoErr(r.pools.WaitForQuorum(t.Context(), "g", ident.Position{Term: 2, Index: 1}))
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

// TestWhilePrimary guards against work for a primary that goes on after it was
// replaced, and against work that is ended although it was not.
func TestWhilePrimary(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		ctx, stop := r.pools.WhilePrimary(t.Context(), "g", "a")
		time.Sleep(time.Second)
		is.NoErr(ctx.Err())
		r.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		<-ctx.Done()
		is.True(Is(context.Cause(ctx), KindSuperseded))
		stop()
		ctx, stop = r.pools.WhilePrimary(t.Context(), "g", "b")
		stop()
		is.True(!Is(context.Cause(ctx), KindSuperseded))
		var ended atomic.Bool
		context.AfterFunc(ctx, func() { ended.Store(true) })
		time.Sleep(time.Second)
		is.True(ended.Load())
	})
}
