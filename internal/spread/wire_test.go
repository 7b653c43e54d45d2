package spread

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/peer"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/wait"
)

// TestOverTCP guards against code that works with calls inside one process but not
// over gRPC and TCP.
func TestOverTCP(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	var listeners []net.Listener
	var seeds []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, l)
		seeds = append(seeds, l.Addr().String())
	}
	ctx, cancel := context.WithCancel(t.Context())
	versions := make(chan ident.Version, 100)
	connected := make(chan *Distributor, 3)
	done := make(chan error, 6)
	var first *Distributor
	for i, l := range listeners {
		cache := peer.NewCache(peer.CacheConfig{AllowLoopbackPlaintext: true})
		defer cache.Close()
		zone := ident.Zone(testZones[i].zone)
		s := New(Config{
			Self:  member.Info{VM: ident.VM(fmt.Sprintf("vm-%d", i)), Zone: zone, Region: ident.Region(testZones[i].region), Address: seeds[i], Number: uint32(i + 1)},
			Seeds: seeds, Store: &zoneStore{w, zone}, Peers: cache,
		})
		s.OnChange(func(c *catal.Catalogue) { versions <- c.Version })
		srv := peer.NewServer(peer.ServerConfig{AllowLoopbackPlaintext: true}, peer.Handlers{Membership: s, Catalogue: s})
		go func() { done <- srv.Serve(l) }()
		defer srv.Stop(t.Context())
		go func() {
			s.Run(ctx)
			done <- nil
		}()
		go func() {
			for ctx.Err() == nil && (len(s.Live()) < 3 || !s.mayAcceptEdits()) {
				wait.For(ctx, time.Millisecond)
			}
			connected <- s
		}()
		if first == nil {
			first = s
		}
	}
	for range 3 {
		<-connected
	}
	doc, key := testDocument(t)
	out, err := first.Edit(t.Context(), Edit{Document: doc, Operator: "ana"})
	is.NoErr(err)
	is.True(out.Accepted && out.Confirmed)
	for range 3 {
		is.Equal(<-versions, ident.Version(1))
	}
	_, err = first.Authenticate("w", "keyed", key)
	is.NoErr(err)
	out, err = first.Edit(t.Context(), Edit{BaseVersion: 1, Document: modifiedDocument(t, first.Catalogue(), withdrawKey), Operator: "ana"})
	is.NoErr(err)
	is.True(out.Accepted && out.Confirmed)
	for range 3 {
		is.Equal(<-versions, ident.Version(2))
	}
	_, err = first.Authenticate("w", "keyed", key)
	is.Equal(sqlState(err), "28P01")
	cancel()
	for range 3 {
		<-done
	}
}
