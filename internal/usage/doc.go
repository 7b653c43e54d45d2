// Package usage counts the bytes that a VM sends and receives, by mechanism and by
// the border that they cross, since bytes between availability zones and regions are
// paid for.
//
// Only the side that opens a connection counts, so that each byte between two VMs is
// counted once in the fleet. Bytes are those of the connection: framing and headers
// are included, the headers of TCP and IP are not.
//
// # Usage
//
//	t := usage.New(usage.Place{Zone: "z1", Region: "r1", RegionOf: regionOf})
//	conn = t.Conn(conn, usage.Peers, func() ident.Zone { return zoneOf(address) })
//	t.Add("Relay.run", zone, 120)
//	for _, row := range t.Rows() {
//		fmt.Println(row.Mechanism, row.Border, row.Bytes)
//	}
package usage
