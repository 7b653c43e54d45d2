package peer

import (
	"cmp"
	"context"
	"time"

	"google.golang.org/grpc/stats"
)

// statsHandler counts the bytes and the running calls of one connection. Only
// clients have one, so that each message between two VMs is counted once.
type statsHandler struct {
	cache   *Cache
	conn    *cachedConn
	address string
}

// TagRPC implements stats.Handler.
func (*statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (*statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*statsHandler) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (n *statsHandler) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.Begin:
		n.addCalls(1)
	case *stats.End:
		n.addCalls(-1)
	case *stats.OutPayload:
		n.countBytes("peer_sent_bytes", s.WireLength)
	case *stats.InPayload:
		n.countBytes("peer_received_bytes", s.WireLength)
	}
}

func (n *statsHandler) addCalls(d int) {
	n.cache.mu.Lock()
	defer n.cache.mu.Unlock()
	n.conn.activeCalls += d
	n.conn.lastUsed = time.Now()
}

func (n *statsHandler) countBytes(name string, bytes int) {
	region := "unknown"
	if n.cache.cfg.RegionOf != nil {
		region = cmp.Or(string(n.cache.cfg.RegionOf(n.address)), region)
	}
	n.cache.cfg.Scope.Tagged(map[string]string{"peer_region": region}).Counter(name).Inc(int64(bytes))
}
