package lead

import (
	"cmp"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// placement says where the primary of a group is preferred. Its zero value prefers no
// zone.
type placement struct {
	region func(ident.Zone) ident.Region
	home   ident.Region
	// votes returns how many routes of the group allow databases in a zone; nil means
	// that all zones have equally many.
	votes func(ident.Zone) int
}

// placement returns the placement of a group's primary.
func (mon *Monitor) placement(g ident.Group) placement {
	p := placement{region: mon.cfg.RegionOf, home: mon.cfg.HomeRegion}
	if mon.cfg.Votes != nil {
		p.votes = func(z ident.Zone) int { return mon.cfg.Votes(g, z) }
	}
	return p
}

// compare returns a positive number if zone a is better for the primary than b, and a
// negative one if it is worse.
func (p placement) compare(a, b ident.Zone) int {
	if p.votes == nil {
		return 0
	}
	return cmp.Compare(p.votes(a), p.votes(b))
}

func (p placement) isHome(z ident.Zone) bool { return p.region != nil && p.region(z) == p.home }

// bestPlaced returns the best placed of databases that all have the log that the new
// primary needs, and of equals the one that mostAdvanced returns.
func bestPlaced(replies []reply, p placement) (roster.Member, bool) {
	return bestOf(replies, func(a, b *reply) bool {
		if c := p.compare(a.member.Zone, b.member.Zone); c != 0 {
			return c > 0
		}
		return preferred(a, b, p)
	})
}
