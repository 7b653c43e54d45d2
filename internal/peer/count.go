package peer

import (
	"cmp"
	"context"
	"time"

	"google.golang.org/grpc/stats"
)

// counter counts the bytes and the running calls of one connection. Only
// clients count, so that each message between two VMs is counted once.
type counter struct {
	cache   *Cache
	conn    *conn
	address string
}

// TagRPC implements stats.Handler.
func (*counter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (*counter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*counter) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (n *counter) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.Begin:
		n.calls(1)
	case *stats.End:
		n.calls(-1)
	case *stats.OutPayload:
		n.add("peer_sent_bytes", s.WireLength)
	case *stats.InPayload:
		n.add("peer_received_bytes", s.WireLength)
	}
}

func (n *counter) calls(d int) {
	n.cache.mu.Lock()
	defer n.cache.mu.Unlock()
	n.conn.active += d
	n.conn.used = time.Now()
}

func (n *counter) add(name string, bytes int) {
	region := "unknown"
	if n.cache.cfg.RegionOf != nil {
		region = cmp.Or(string(n.cache.cfg.RegionOf(n.address)), region)
	}
	n.cache.cfg.Scope.Tagged(map[string]string{"peer_region": region}).Counter(name).Inc(int64(bytes))
}
