package entry

import (
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// TestConnectionShare guards against shares whose sum exceeds the connections that a
// target accepts, and against a VM that may open none.
func TestConnectionShare(t *testing.T) {
	is := is.New(t)
	for _, vms := range []int{1, 3, 6, 9} {
		for _, connections := range []int{30, 50} {
			n := connectionShare(connections, 3, vms)
			is.True(n >= 1)
			is.True(vms*(n+controlConnsPerVM)+3 <= connections)
		}
	}
	is.Equal(connectionShare(30, 3, 480), 1) // more VMs than connections: one each at least
	is.Equal(connectionShare(30, 3, 0), 25)
}

// TestHighestPosition guards against a lag that is measured against a target that
// lags itself.
func TestHighestPosition(t *testing.T) {
	is := is.New(t)
	g := &topo.Group{Targets: []topo.Target{
		{ID: "a", Applied: ident.Position{Term: 1, Index: 40}},
		{ID: "b", Applied: ident.Position{Term: 2, Index: 31}},
		{ID: "c"},
	}}
	is.Equal(highestPosition(g), ident.Position{Term: 2, Index: 31})
	is.Equal(highestPosition(&topo.Group{}), ident.Position{})
}
