package linktest

import (
	"context"
	"net"
	"sync"
	"testing"

	"chervilspan.example/internal/peer"
)

// ServePeer serves peer calls with h on a loopback address until stop is called or
// the test ends.
func ServePeer(t *testing.T, h peer.Handlers) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := peer.NewServer(peer.ServerConfig{AllowPlaintext: true}, h)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	stop = sync.OnceFunc(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		srv.Stop(ctx)
		<-served
	})
	t.Cleanup(stop)
	return l.Addr().String(), stop
}
