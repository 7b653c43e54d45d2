package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
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
