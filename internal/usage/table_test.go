package usage

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
)

func testPlace() Place {
	regions := map[ident.Zone]ident.Region{"z1": "r1", "z2": "r1", "z3": "r2"}
	return Place{Zone: "z1", Region: "r1", RegionOf: func(z ident.Zone) ident.Region { return regions[z] }}
}

// TestBorderTo guards against bytes that are counted as local although they are paid for.
func TestBorderTo(t *testing.T) {
	is := is.New(t)
	for zone, want := range map[ident.Zone]Border{"": Unknown, "z1": SameZone, "z2": Zones, "z3": Regions} {
		is.Equal(testPlace().BorderTo(zone), want)
	}
}

// TestConn guards against bytes of a connection that are counted twice or not at all, and
// against a border that stays unknown after the place of the other end is known.
func TestConn(t *testing.T) {
	is := is.New(t)
	table := New(testPlace())
	a, b := net.Pipe()
	zone := ident.Zone("")
	conn := table.Conn(a, Peers, func() ident.Zone { return zone })
	go func() { _, _ = io.Copy(b, b) }()
	for _, z := range []ident.Zone{"", "z3"} {
		zone = z
		_, err := conn.Write([]byte("12345"))
		is.NoErr(err)
		_, err = io.ReadFull(conn, make([]byte, 5))
		is.NoErr(err)
	}
	is.NoErr(conn.Close())
	is.Equal(table.Rows(), []Row{{Peers, Unknown, 10, 2}, {Peers, Regions, 10, 2}})
}

// TestNil guards against a daemon without counters that fails.
func TestNil(t *testing.T) {
	is := is.New(t)
	var table *Table
	table.Add(Store, "z1", 5)
	a, b := net.Pipe()
	is.Equal(table.Conn(a, Store, nil), a)
	is.NoErr(b.Close())
}
