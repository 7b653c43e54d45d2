package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

func vms(n int, zones ...ident.Zone) []member.Info {
	var out []member.Info
	for i := range n {
		out = append(out, member.Info{VM: ident.VM(fmt.Sprintf("vm-%03d", i)), Zone: zones[i%len(zones)]})
	}
	return out
}

// TestConnsScarce guards against lending where each VM has enough connections of its
// own, and against a large fleet in which each VM has so few that every statement
// opens a new one.
func TestConnsScarce(t *testing.T) {
	is := is.New(t)
	is.True(!connsScarce(46, 9, 8))
	is.True(!connsScarce(32, 6, 8))
	is.True(connsScarce(262, 79, 82))
	is.True(connsScarce(82, 86, 85))
	is.True(!connsScarce(10, 3, 100)) // as many VMs as lenders
}

// TestLenders guards against VMs that choose different lenders, lenders outside
// the database's zone, and fractions whose sum exceeds the connections that the
// database accepts.
func TestLenders(t *testing.T) {
	is := is.New(t)
	live := vms(80, "z1", "z2", "z3", "z4")
	zone := map[ident.VM]ident.Zone{}
	for _, m := range live {
		zone[m.VM] = m.Zone
	}
	var a, b lenderTable
	for i := range 30 {
		m := &roster.Member{Entry: roster.Entry{ID: ident.Target(fmt.Sprint("db-", i)), Zone: "z3"}}
		lenders := a.lendersOf(m, live)
		is.Equal(lenders, b.lendersOf(m, live))
		is.Equal(len(lenders), lenderCount+backupCount)
		sum := 0.0
		for _, vm := range live {
			sum += connFraction(lenders, vm.VM, len(live))
		}
		is.True(sum <= 1.0001)
		for _, vm := range lenders {
			is.Equal(zone[vm], ident.Zone("z3"))
		}
	}
	far := &roster.Member{Entry: roster.Entry{ID: "db", Zone: "z9"}}
	is.Equal(len(a.lendersOf(far, live)), lenderCount+backupCount)
}

// TestLenderOrder guards against all workspaces using the same lender, and against a
// lender that is tried twice or not at all.
func TestLenderOrder(t *testing.T) {
	is := is.New(t)
	lenders := []ident.VM{"x", "y", "z"}
	first := map[ident.VM]int{}
	for i := range 100 {
		order := lenderOrder(ident.Workspace(fmt.Sprint("w", i)), lenders)
		is.Equal(len(order), 3)
		is.Equal(order[2], ident.VM("z"))
		is.True(order[0] != order[1])
		first[order[0]]++
	}
	is.True(first["x"] > 25)
	is.True(first["y"] > 25)
	is.Equal(lenderOrder("w", nil), nil)
	is.Equal(lenderOrder("w", lenders[:1]), lenders[:1])
}

// TestLendersInRegions guards against a request that is sent to a lender or backup
// outside the allowed regions, as where a database's zone has too few VMs.
func TestLendersInRegions(t *testing.T) {
	is := is.New(t)
	live := vms(80, "z1", "z2", "z3", "z4")
	live = append(live, member.Info{VM: "vm-in", Zone: "z5"})
	for i := range live {
		live[i].Address = "at " + string(live[i].VM)
		live[i].Region = map[ident.Zone]ident.Region{"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r3", "z5": "r2"}[live[i].Zone]
	}
	regionAt := map[string]ident.Region{}
	for _, m := range live {
		regionAt[m.Address] = m.Region
	}
	var table lenderTable
	all := 0
	for i := range 30 {
		m := &roster.Member{Entry: roster.Entry{ID: ident.Target(fmt.Sprint("db-", i)), Zone: "z5"}}
		lenders := lenderOrder("w", table.lendersOf(m, live))
		all += len(table.addressesOf(lenders, "vm-other", "r1", place.Regions{}))
		for _, a := range table.addressesOf(lenders, "vm-other", "r1", place.RegionsOf([]ident.Region{"r2"})) {
			is.True(regionAt[a] != "r3")
		}
	}
	is.Equal(all, 30*(lenderCount+backupCount))
}
