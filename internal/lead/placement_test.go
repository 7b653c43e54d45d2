package lead

import (
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// TestPlacement guards against a choice of the primary for its region that loses commits,
// and against one that passes over a region that more routes allow.
func TestPlacement(t *testing.T) {
	is := is.New(t)
	zoned := func(id ident.Target, z ident.Zone, index uint64) reply {
		r := answeredReply(string(id), index, false)
		r.member.Zone = z
		return r
	}
	p := placement{
		region: func(z ident.Zone) ident.Region { return ident.Region(z) }, home: "x",
		routesAllowing: func(z ident.Zone) int { return map[ident.Zone]int{"x": 1, "y": 2}[z] },
	}
	choose := func(f func([]reply, placement) (roster.Member, bool), rs ...reply) ident.Target {
		m, _ := f(rs, p)
		return m.ID
	}
	is.Equal(choose(mostAdvanced, zoned("a", "x", 9), zoned("b", "y", 8)), ident.Target("a"))
	is.Equal(choose(mostAdvanced, zoned("a", "x", 9), zoned("b", "y", 9)), ident.Target("b"))
	is.Equal(choose(bestPlaced, zoned("a", "x", 9), zoned("b", "y", 8)), ident.Target("b"))
	is.Equal(choose(bestPlaced, zoned("a", "y", 8), zoned("b", "y", 9)), ident.Target("b"))
	p.routesAllowing = nil
	is.Equal(choose(mostAdvanced, zoned("a", "y", 9), zoned("b", "x", 9)), ident.Target("b"))
}
