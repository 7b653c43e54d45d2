package peer

import (
	"cmp"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
)

// CacheConfig has the parameters of a Cache. Zero fields take the defaults.
type CacheConfig struct {
	// Keys for mutual TLS; nil means plain text.
	Certificates *Certificates
	// Private allows plain text on every address; the network is private.
	AllowPlaintext bool
	// Plain allows plain text to loopback addresses.
	AllowLoopbackPlaintext bool
	// Max is the greatest number of connections (96): links, the readers of
	// the zone, the gates and the holders of slices that a VM talks to.
	MaxConns int
	// Idle is how long an unused connection stays open (60 s).
	IdleTimeout time.Duration
	// Region tells the region of an address, for the count of bytes.
	RegionOf func(address string) ident.Region
	// Scope takes the counters peer_sent_bytes and peer_received_bytes, each
	// with the tag peer_region.
	Scope tally.Scope
	// Options are added to each dial.
	DialOptions []grpc.DialOption
}

// Cache has gRPC connections by address. Its methods may be called from
// several goroutines.
type Cache struct {
	cfg    CacheConfig
	creds  credentials.TransportCredentials
	mu     sync.Mutex
	conns  map[string]*conn
	closed bool
}

type conn struct {
	cc *grpc.ClientConn
	// active is the number of calls that run; used is when the last one
	// started or ended.
	active int
	used   time.Time
}

// maxMessage allows a whole catalogue with its frame.
const maxMessage = 4 << 20

// NewCache returns an empty cache.
func NewCache(cfg CacheConfig) *Cache {
	cfg.MaxConns = cmp.Or(cfg.MaxConns, 96)
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, time.Minute)
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	c := &Cache{cfg: cfg, conns: map[string]*conn{}, creds: insecure.NewCredentials()}
	if cfg.Certificates != nil {
		c.creds = cfg.Certificates.Credentials()
	}
	return c
}

// Client returns a client of the Peer service at an address of the form
// IP:port. The connection is made by the first call. It returns an *Error.
func (c *Cache) Client(address string) (peerpb.PeerClient, error) {
	cc, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(cc), nil
}

// Admin returns a client of the Admin service at an address.
func (c *Cache) Admin(address string) (adminpb.AdminClient, error) {
	cc, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	return adminpb.NewAdminClient(cc), nil
}

func (c *Cache) conn(address string) (*grpc.ClientConn, error) {
	if err := allowPlain("dial", address, c.cfg.Certificates, c.cfg.AllowLoopbackPlaintext, c.cfg.AllowPlaintext); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, &Error{Op: "dial", Kind: KindClosed, Subject: address}
	}
	now := time.Now()
	if have := c.conns[address]; have != nil {
		have.used = now
		return have.cc, nil
	}
	c.sweep(now)
	if len(c.conns) >= c.cfg.MaxConns && !c.evict() {
		return nil, &Error{Op: "dial", Kind: KindCacheFull, Subject: address}
	}
	made := &conn{used: now}
	opts := append([]grpc.DialOption{
		grpc.WithTransportCredentials(c.creds),
		grpc.WithStatsHandler(&counter{cache: c, conn: made, address: address}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			// A VM that returns has to be reached within a few pings.
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 3 * time.Second},
			MinConnectTimeout: time.Second,
		}),
	}, c.cfg.DialOptions...)
	cc, err := grpc.NewClient("passthrough:///"+address, opts...)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindInvalidAddress, Subject: address, Err: err}
	}
	made.cc = cc
	c.conns[address] = made
	return cc, nil
}

// Sweep closes connections that were idle for long. Callers run it now and
// then; a new connection runs it too.
func (c *Cache) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(time.Now())
}

func (c *Cache) sweep(now time.Time) {
	for address, have := range c.conns {
		if have.active == 0 && now.Sub(have.used) >= c.cfg.IdleTimeout {
			c.drop(address)
		}
	}
}

// grace is how long a connection without calls is kept from eviction, so that
// a caller that has just got a client can use it.
const grace = time.Second

// evict closes the connection that was unused for longest, if there is one.
func (c *Cache) evict() bool {
	oldest := ""
	for address, have := range c.conns {
		if have.active > 0 || time.Since(have.used) < grace {
			continue
		}
		if oldest == "" || have.used.Before(c.conns[oldest].used) {
			oldest = address
		}
	}
	if oldest != "" {
		c.drop(oldest)
	}
	return oldest != ""
}

func (c *Cache) drop(address string) {
	// Close returns an error only for a connection that is closed already.
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
		c.drop(address)
	}
}

// allowPlain returns an error unless there are keys, or plain text is allowed
// and the address is a loopback one.
func allowPlain(op, address string, keys *Certificates, plain, private bool) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return &Error{Op: op, Kind: KindInvalidAddress, Subject: address, Err: err}
	}
	if keys != nil || private || plain && a.Addr().IsLoopback() {
		return nil
	}
	return &Error{Op: op, Kind: KindPlaintext, Subject: address, Err: eris.New("plain text is not allowed here")}
}
