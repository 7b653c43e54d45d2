package node

import (
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/member"
)

// fleetOf returns n VMs in four zones of two regions.
func fleetOf(n int) []member.Info {
	live := vms(n, "z1", "z2", "z3", "z4")
	for i := range live {
		live[i].Address = "address-" + string(live[i].VM)
		live[i].Region = "r1"
		if live[i].Zone == "z3" || live[i].Zone == "z4" {
			live[i].Region = "r2"
		}
	}
	return live
}

// TestReadersFor guards against a number of VMs that call the store which grows with
// the fleet, against VMs that ask across regions, and against readers that nobody can
// reach or that ask each other in a circle.
func TestReadersFor(t *testing.T) {
	for _, n := range []int{17, 80, 300, 1000} {
		is := is.New(t)
		live := fleetOf(n)
		byAddress := map[string]member.Info{}
		for _, m := range live {
			byAddress[m.Address] = m
		}
		direct := 0
		for _, m := range live {
			asked := readersFor(m, live)
			if len(asked) == 0 {
				direct++
			}
			for _, address := range asked {
				reader := byAddress[address]
				is.Equal(reader.Region, m.Region)
				for _, next := range readersFor(reader, live) {
					is.Equal(len(readersFor(byAddress[next], live)), 0) // at most two steps from the store
				}
			}
		}
		is.Equal(direct, 2*readersPerRegion)
	}
}

// TestSmallFleet guards against relayed lists in a fleet that makes few calls anyway.
func TestSmallFleet(t *testing.T) {
	is := is.New(t)
	live := fleetOf(maxDirectReaders)
	is.Equal(len(readersFor(live[0], live)), 0)
	var table readerTable
	is.Equal(len(table.addressesFor(live[0], nil)), 0) // no list yet
	larger := fleetOf(2 * maxDirectReaders)
	is.Equal(len(table.addressesFor(larger[0], larger)), len(readersFor(larger[0], larger)))
}
