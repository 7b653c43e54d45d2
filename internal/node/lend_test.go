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

// TestScarce guards against loans where every VM has connections enough, and
// against a large fleet in which each statement opens a connection.
func TestScarce(t *testing.T) {
	is := is.New(t)
	is.True(!scarce(46, 9, 8))
	is.True(!scarce(32, 6, 8))
	is.True(scarce(262, 79, 82))
	is.True(scarce(82, 86, 85))
	is.True(!scarce(10, 3, 100)) // as many VMs as lenders
}

// TestLenders guards against VMs that disagree on the lenders, lenders far from
// the database, and parts that add up to more than the database accepts.
func TestLenders(t *testing.T) {
	is := is.New(t)
	live := vms(80, "z1", "z2", "z3", "z4")
	zone := map[ident.VM]ident.Zone{}
	for _, m := range live {
		zone[m.VM] = m.Zone
	}
	var a, b lending
	for i := range 30 {
		m := &roster.Member{Entry: roster.Entry{ID: ident.Target(fmt.Sprint("db-", i)), Zone: "z3"}}
		lenders := a.of(m, live)
		is.Equal(lenders, b.of(m, live))
		is.Equal(len(lenders), lenderVMs+standInVMs)
		sum := 0.0
		for _, vm := range live {
			sum += partOf(lenders, vm.VM, len(live))
		}
		is.True(sum <= 1.0001)
		for _, vm := range lenders {
			is.Equal(zone[vm], ident.Zone("z3"))
		}
	}
	far := &roster.Member{Entry: roster.Entry{ID: "db", Zone: "z9"}}
	is.Equal(len(a.of(far, live)), lenderVMs+standInVMs)
}

// TestOrderFor guards against workspaces that all use one lender, and against a
// lender that is asked twice or not at all.
func TestOrderFor(t *testing.T) {
	is := is.New(t)
	lenders := []ident.VM{"x", "y", "z"}
	first := map[ident.VM]int{}
	for i := range 100 {
		order := orderFor(ident.Workspace(fmt.Sprint("w", i)), lenders)
		is.Equal(len(order), 3)
		is.Equal(order[2], ident.VM("z"))
		is.True(order[0] != order[1])
		first[order[0]]++
	}
	is.True(first["x"] > 25)
	is.True(first["y"] > 25)
	is.Equal(orderFor("w", nil), nil)
	is.Equal(orderFor("w", lenders[:1]), lenders[:1])
}
