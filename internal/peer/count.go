package peer

import (
	"cmp"
	"context"
	"path"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/stats"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/internal/usage"
	"chervilspan.example/pkg/ident"
)

// statsHandler counts the bytes and the running calls of one connection. Only
// clients have one, so that each message between two VMs is counted once.
type statsHandler struct {
	cache   *Cache
	conn    *cachedConn
	address string
	// zone caches the zone of the address once it is known.
	zone atomic.Pointer[ident.Zone]
}

func (n *statsHandler) zoneOfPeer() ident.Zone {
	if z := n.zone.Load(); z != nil {
		return *z
	}
	z := n.cache.zoneOf(n.address)
	if z != "" {
		n.zone.Store(&z)
	}
	return z
}

// methodKey is the key of a call's method in its context.
type methodKey struct{}

// TagRPC implements stats.Handler.
func (*statsHandler) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, path.Base(info.FullMethodName))
}

// TagConn implements stats.Handler.
func (*statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*statsHandler) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (n *statsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.Begin:
		n.addCalls(1)
	case *stats.End:
		n.addCalls(-1)
		n.reportSilence(s)
	case *stats.OutPayload:
		n.countBytes(ctx, "peer_sent_bytes", s.Payload, s.WireLength)
	case *stats.InPayload:
		n.countBytes(ctx, "peer_received_bytes", s.Payload, s.WireLength)
	}
}

func (n *statsHandler) addCalls(d int) {
	n.cache.mu.Lock()
	defer n.cache.mu.Unlock()
	n.conn.activeCalls += d
	n.conn.lastUsed = time.Now()
}

func (n *statsHandler) countBytes(ctx context.Context, name string, message any, bytes int) {
	if method, ok := ctx.Value(methodKey{}).(string); ok && n.cache.cfg.Usage != nil {
		n.cache.cfg.Usage.Add(mechanismOf(method, message), n.zoneOfPeer(), bytes)
	}
	region := "unknown"
	if n.cache.cfg.RegionOf != nil {
		region = cmp.Or(string(n.cache.cfg.RegionOf(n.address)), region)
	}
	n.cache.cfg.Scope.Tagged(map[string]string{"peer_region": region}).Counter(name).Inc(int64(bytes))
}

// mechanismOf returns the name under which the bytes of a message are counted: the
// method of its call, and the step of a relayed loan.
func mechanismOf(method string, message any) usage.Mechanism {
	switch m := message.(type) {
	case *peerpb.RelayRequest:
		switch m.Step.(type) {
		case *peerpb.RelayRequest_Open:
			return "Relay.open"
		case *peerpb.RelayRequest_Run:
			return "Relay.run"
		case *peerpb.RelayRequest_Read:
			return "Relay.read"
		}
		return "Relay.return"
	case *peerpb.RelayReply:
		switch m.Step.(type) {
		case *peerpb.RelayReply_Opened:
			return "Relay.opened"
		case *peerpb.RelayReply_Ran:
			return "Relay.ran"
		case *peerpb.RelayReply_ReadDone:
			return "Relay.read_done"
		}
		return "Relay.taken"
	}
	return usage.Mechanism(method)
}
