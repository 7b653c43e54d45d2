package usage

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"chervilspan.example/pkg/ident"
)

// Mechanism names what bytes are sent for. Calls between VMs are counted under the
// name of their method in addition.
type Mechanism string

// Mechanisms with connections of their own.
const (
	// Peers are the connections to other VMs, with all framing.
	Peers Mechanism = "peers"
	// Targets are the connections to databases.
	Targets Mechanism = "targets"
	// Store are the connections to the platform's store.
	Store Mechanism = "store"
)

// Border is the most distant border that bytes cross.
type Border uint8

// Borders, from near to far.
const (
	// Unknown means that the place of the other end is not known.
	Unknown Border = iota
	// SameZone means that both ends are in one availability zone.
	SameZone
	// Zones means that the ends are in two availability zones of a region.
	Zones
	// Regions means that the ends are in two regions.
	Regions
	borderCount
)

var borderNames = [borderCount]string{Unknown: "unknown", SameZone: "none", Zones: "zone", Regions: "region"}

// String returns the name of the border in metrics and logs.
func (b Border) String() string {
	if b >= borderCount {
		return borderNames[Unknown]
	}
	return borderNames[b]
}

// Place is the location of the VM that counts.
type Place struct {
	Zone   ident.Zone
	Region ident.Region
	// RegionOf returns the region of a zone.
	RegionOf func(ident.Zone) ident.Region
}

// BorderTo returns the border between the VM and a zone; "" is an unknown zone.
func (p Place) BorderTo(z ident.Zone) Border {
	switch {
	case z == "":
		return Unknown
	case z == p.Zone:
		return SameZone
	case p.RegionOf != nil && p.RegionOf(z) != p.Region:
		return Regions
	}
	return Zones
}

// key identifies a counter.
type key struct {
	mechanism Mechanism
	border    Border
}

// Row is one counter of a Table.
type Row struct {
	Mechanism Mechanism
	Border    Border
	Bytes     uint64
	// Messages is the number of messages, or of reads and writes of a connection.
	Messages uint64
}

// counter counts the bytes and messages of one key.
type counter struct{ bytes, messages atomic.Uint64 }

func (c *counter) add(n int) {
	c.bytes.Add(uint64(n))
	c.messages.Add(1)
}

// Table counts bytes. Its methods may be called from several goroutines.
type Table struct {
	place    Place
	mu       sync.Mutex
	counters map[key]*counter
}

// New returns an empty Table for a VM at the given place.
func New(p Place) *Table { return &Table{place: p, counters: map[key]*counter{}} }

// Add counts n bytes to or from a zone; "" is an unknown zone. A nil Table counts
// nothing.
func (t *Table) Add(m Mechanism, z ident.Zone, n int) {
	if t == nil || n <= 0 {
		return
	}
	t.counter(m, t.place.BorderTo(z)).add(n)
}

func (t *Table) counter(m Mechanism, b Border) *counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{m, b}
	c := t.counters[k]
	if c == nil {
		c = &counter{}
		t.counters[k] = c
	}
	return c
}

// Rows returns the counters, ordered by mechanism and border.
func (t *Table) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Row, 0, len(t.counters))
	for k, c := range t.counters {
		out = append(out, Row{k.mechanism, k.border, c.bytes.Load(), c.messages.Load()})
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Mechanism, b.Mechanism), cmp.Compare(a.Border, b.Border))
	})
	return out
}

// Conn returns a connection that counts what passes through it. zone returns the zone
// of the other end; it is asked again while it returns "". A nil Table returns conn.
func (t *Table) Conn(conn net.Conn, m Mechanism, zone func() ident.Zone) net.Conn {
	if t == nil {
		return conn
	}
	return &countedConn{Conn: conn, table: t, mechanism: m, zone: zone}
}

type countedConn struct {
	net.Conn
	table     *Table
	mechanism Mechanism
	zone      func() ident.Zone
	// known is the counter once the zone is known.
	known atomic.Pointer[counter]
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

func (c *countedConn) count(n int) {
	if n <= 0 {
		return
	}
	known := c.known.Load()
	if known == nil {
		border := c.table.place.BorderTo(c.zone())
		known = c.table.counter(c.mechanism, border)
		if border != Unknown {
			c.known.Store(known)
		}
	}
	known.add(n)
}
