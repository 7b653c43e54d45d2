package strsrv

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"chervilspan.example/internal/proto/storepb"
	"chervilspan.example/internal/strpc"
	"chervilspan.example/pkg/store"
)

func serve(t *testing.T) (*Server, *strpc.Client) {
	t.Helper()
	is := is.New(t)
	s := New()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g := grpc.NewServer()
	storepb.RegisterStoreServer(g, s)
	go func() { _ = g.Serve(l) }()
	t.Cleanup(g.Stop)
	c, err := strpc.Dial(l.Addr().String(), nil, nil)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return s, c
}

func kind(err error) store.Kind {
	var e *store.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// TestSwap guards against two writers that both believe that they won, and
// against a loser that does not see who did.
func TestSwap(t *testing.T) {
	is := is.New(t)
	_, c := serve(t)
	ctx := context.Background()
	first, err := store.Swap(ctx, c, store.Write{Key: "catalogue", Value: []byte(`1`)})
	is.NoErr(err)
	is.True(first.Done)
	lost, err := store.Swap(ctx, c, store.Write{Key: "catalogue", Value: []byte(`2`)})
	is.NoErr(err)
	is.True(!lost.Done)
	is.Equal(string(lost.Current.Value), "1")
	e, err := store.Read(ctx, c, "catalogue")
	is.NoErr(err)
	is.Equal(string(e.Value), "1")
	is.Equal(e.Revision, first.Current.Revision)
}

// TestSwapLostAnswer guards against a write that took effect but is taken for
// failed because its answer was lost.
func TestSwapLostAnswer(t *testing.T) {
	is := is.New(t)
	s, c := serve(t)
	s.SetFaults(Faults{AnswerLossRate: 1})
	res, err := store.Swap(context.Background(), c, store.Write{Key: "catalogue", Value: []byte(`1`)})
	is.NoErr(err)
	is.True(res.Done)
}

// TestOutage guards against an outage that looks like a missing key.
func TestOutage(t *testing.T) {
	is := is.New(t)
	s, c := serve(t)
	s.SetFaults(Faults{Outage: true})
	_, err := c.Get(context.Background(), "k")
	is.Equal(kind(err), store.KindUnavailable)
	_, err = store.Swap(context.Background(), c, store.Write{Key: "k", Value: []byte(`1`)})
	is.Equal(kind(err), store.KindUnavailable)
	s.SetFaults(Faults{})
	e, err := c.Get(context.Background(), "k")
	is.NoErr(err)
	is.Equal(e.Revision, store.Revision(0))
	is.Equal(s.CallCounts().Reads, int64(3))
}

// TestLease guards against keys that outlive their lease, and against a write
// under a lease that has ended.
func TestLease(t *testing.T) {
	is := is.New(t)
	_, c := serve(t)
	ctx := context.Background()
	id, err := c.GrantLease(ctx, time.Hour)
	is.NoErr(err)
	res, err := c.Put(ctx, store.Write{Key: "slice/1/1", Value: []byte("x"), Lease: id})
	is.NoErr(err)
	is.True(res.Done)
	alive, err := c.RenewLease(ctx, id)
	is.NoErr(err)
	is.True(alive)
	is.NoErr(c.RevokeLease(ctx, id))
	e, err := c.Get(ctx, "slice/1/1")
	is.NoErr(err)
	is.Equal(e.Revision, store.Revision(0))
	alive, err = c.RenewLease(ctx, id)
	is.NoErr(err)
	is.True(!alive)
	_, err = c.Put(ctx, store.Write{Key: "slice/1/1", Value: []byte("x"), Lease: id})
	is.Equal(kind(err), store.KindLeaseEnded)
}

// TestWatch guards against changes that are missed between a read and the
// start of the watch, and against a watch that hangs in an outage.
func TestWatch(t *testing.T) {
	is := is.New(t)
	s, c := serve(t)
	ctx := context.Background()
	first, err := c.Put(ctx, store.Write{Key: "a/1", Value: []byte("1")})
	is.NoErr(err)
	_, err = c.Put(ctx, store.Write{Key: "a/2", Value: []byte("2")})
	is.NoErr(err)
	events := make(chan store.Event, 4)
	ended := make(chan error, 1)
	go func() {
		ended <- c.Watch(ctx, "a/", first.Current.Revision, func(ev store.Event) { events <- ev })
	}()
	is.Equal((<-events).Entry.Key, "a/2")
	_, err = c.Delete(ctx, "a/1", first.Current.Revision)
	is.NoErr(err)
	ev := <-events
	is.Equal(ev.Entry.Key, "a/1")
	is.True(ev.Deleted)
	s.SetFaults(Faults{Outage: true})
	is.Equal(kind(<-ended), store.KindUnavailable)
}

// TestStaleReads guards against a stand-in whose stale reads are not stale, so
// that tests of the catalogue's order would prove nothing.
func TestStaleReads(t *testing.T) {
	is := is.New(t)
	s, c := serve(t)
	ctx := context.Background()
	one, err := c.Put(ctx, store.Write{Key: "k", Value: []byte("1")})
	is.NoErr(err)
	_, err = c.Put(ctx, store.Write{Key: "k", Value: []byte("2"), Expected: one.Current.Revision})
	is.NoErr(err)
	s.SetFaults(Faults{StaleReads: true})
	e, err := c.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(e.Value), "1")
}
