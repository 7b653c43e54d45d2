package peer

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/internal/usage"
	"chervilspan.example/pkg/ident"
)

// CacheConfig has the parameters of a Cache. Zero fields take the defaults.
type CacheConfig struct {
	// Certificates for mutual TLS; nil means plaintext.
	Certificates *Certificates
	// AllowPlaintext allows plaintext to every address, for a private network.
	AllowPlaintext bool
	// AllowLoopbackPlaintext allows plaintext to loopback addresses.
	AllowLoopbackPlaintext bool
	// MaxConns limits the number of connections (default 96). A VM has connections
	// to its membership links, the store readers of its zone, gates, and holders
	// of slices.
	MaxConns int
	// IdleTimeout is the time after which an unused connection is closed (default
	// 60 s).
	IdleTimeout time.Duration
	// RegionOf returns the region of an address, for the byte counters. May be nil.
	RegionOf func(address string) ident.Region
	// Scope receives the counters peer_sent_bytes and peer_received_bytes, each with
	// the tag peer_region.
	Scope tally.Scope
	// Usage, unless nil, counts the bytes of the connections, in all and by the methods
	// of calls. ZoneOf returns the zone of an address for it, "" while it isn't known.
	Usage  *usage.Table
	ZoneOf func(address string) ident.Zone
	// Log receives the events of connections that go silent or are lost.
	Log zerolog.Logger
	// DialOptions are added to those of each connection.
	DialOptions []grpc.DialOption
}

// Cache holds gRPC connections by address. Its methods may be called from several
// goroutines.
type Cache struct {
	cfg    CacheConfig
	creds  credentials.TransportCredentials
	mu     sync.Mutex
	conns  map[string]*cachedConn
	closed bool
}

type cachedConn struct {
	cc *grpc.ClientConn
	// activeCalls is the number of running calls; lastUsed is the time at which a
	// client was last requested, or a call started or ended.
	activeCalls int
	lastUsed    time.Time
	// tracked is the last network connection that was opened.
	tracked atomic.Pointer[trackedConn]
}

// connBufferBytes is the size of each buffer of a connection. A VM of a large fleet has
// connections to hundreds of others, which carry small messages.
const connBufferBytes = 4 << 10

// windowBytes is the size of the flow control window of a stream and of a connection. A
// fixed size keeps gRPC from estimating the bandwidth, which takes a ping and its answer
// for most messages and costs more bytes than a small message has.
const windowBytes = 256 << 10

// maxMessageBytes is enough for a whole catalogue in its message.
const maxMessageBytes = 4 << 20

// NewCache returns an empty cache.
func NewCache(cfg CacheConfig) *Cache {
	cfg.MaxConns = cmp.Or(cfg.MaxConns, 96)
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, time.Minute)
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	c := &Cache{cfg: cfg, conns: map[string]*cachedConn{}, creds: insecure.NewCredentials()}
	if cfg.Certificates != nil {
		c.creds = cfg.Certificates.Credentials()
	}
	return c
}

// Client returns a client of the Peer service at an address of the form IP:port.
// The first call makes the connection. The error is an *Error.
func (c *Cache) Client(address string) (peerpb.PeerClient, error) {
	cc, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(cc), nil
}

// Admin returns a client of the Admin service, like Client.
func (c *Cache) Admin(address string) (adminpb.AdminClient, error) {
	cc, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	return adminpb.NewAdminClient(cc), nil
}

func (c *Cache) conn(address string) (*grpc.ClientConn, error) {
	if err := checkPlaintext("dial", address, c.cfg.Certificates, c.cfg.AllowLoopbackPlaintext, c.cfg.AllowPlaintext); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, &Error{Op: "dial", Kind: KindClosed, Subject: address}
	}
	now := time.Now()
	if existing := c.conns[address]; existing != nil {
		existing.lastUsed = now
		return existing.cc, nil
	}
	c.sweep(now)
	if len(c.conns) >= c.cfg.MaxConns && !c.evict() {
		return nil, &Error{Op: "dial", Kind: KindCacheFull, Subject: address}
	}
	added := &cachedConn{lastUsed: now}
	opts := append([]grpc.DialOption{
		grpc.WithTransportCredentials(c.creds),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return c.dial(ctx, address, added) }),
		grpc.WithStatsHandler(&statsHandler{cache: c, conn: added, address: address}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithReadBufferSize(connBufferBytes),
		grpc.WithWriteBufferSize(connBufferBytes),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			// The back-off is short, so that a VM that returns is reached within a
			// few pings.
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 3 * time.Second},
			MinConnectTimeout: time.Second,
		}),
	}, c.cfg.DialOptions...)
	cc, err := grpc.NewClient("passthrough:///"+address, opts...)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindInvalidAddress, Subject: address, Err: err}
	}
	added.cc = cc
	c.conns[address] = added
	return cc, nil
}

func (c *Cache) zoneOf(address string) ident.Zone {
	if c.cfg.ZoneOf == nil {
		return ""
	}
	return c.cfg.ZoneOf(address)
}

// Sweep closes connections that are idle for IdleTimeout. Callers run it
// periodically; it also runs before each new connection.
func (c *Cache) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(time.Now())
}

func (c *Cache) sweep(now time.Time) {
	for address, conn := range c.conns {
		if conn.activeCalls == 0 && now.Sub(conn.lastUsed) >= c.cfg.IdleTimeout {
			c.remove(address)
		}
	}
}

// evictionGracePeriod is the time for which an unused connection is not evicted, so
// that a caller that has just received a client can use it.
const evictionGracePeriod = time.Second

// evict closes the least recently used connection without running calls. It returns
// false when there is none outside evictionGracePeriod.
func (c *Cache) evict() bool {
	oldest := ""
	for address, conn := range c.conns {
		if conn.activeCalls > 0 || time.Since(conn.lastUsed) < evictionGracePeriod {
			continue
		}
		if oldest == "" || conn.lastUsed.Before(c.conns[oldest].lastUsed) {
			oldest = address
		}
	}
	if oldest != "" {
		c.remove(oldest)
	}
	return oldest != ""
}

func (c *Cache) remove(address string) {
	// Close returns an error only for a connection that is already closed.
	_ = c.conns[address].cc.Close()
	delete(c.conns, address)
}

// Len returns the number of connections.
func (c *Cache) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Close closes all connections.
func (c *Cache) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address := range c.conns {
		c.remove(address)
	}
}

// checkPlaintext returns an error when the address is invalid, or when there are no
// certificates and plaintext is not allowed at the address.
func checkPlaintext(op, address string, certs *Certificates, loopbackPlaintext, plaintext bool) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return &Error{Op: op, Kind: KindInvalidAddress, Subject: address, Err: err}
	}
	if certs != nil || plaintext || loopbackPlaintext && a.Addr().IsLoopback() {
		return nil
	}
	return &Error{Op: op, Kind: KindPlaintext, Subject: address, Err: eris.New("plaintext is not allowed at this address")}
}
