package lead

import (
	"cmp"
	"slices"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// placement says where the primary of a group is preferred. Its zero value prefers no
// zone.
type placement struct {
	region func(ident.Zone) ident.Region
	home   ident.Region
	// routesAllowing returns how many routes of the group allow databases in a zone; nil
	// means that all zones have equally many.
	routesAllowing func(ident.Zone) int
	// evacuated reports whether a zone is being evacuated; nil means that none is.
	evacuated func(ident.Zone) bool
}

// placement returns the placement of a group's primary.
func (mon *Monitor) placement(g ident.Group) placement {
	p := placement{region: mon.cfg.RegionOf, home: mon.cfg.HomeRegion, evacuated: mon.cfg.Evacuated}
	if mon.cfg.RoutesAllowing != nil {
		p.routesAllowing = func(z ident.Zone) int { return mon.cfg.RoutesAllowing(g, z) }
	}
	return p
}

// compare returns a positive number if zone a is better for the primary than b, and a
// negative one if it is worse.
func (p placement) compare(a, b ident.Zone) int {
	switch ea, eb := p.isEvacuated(a), p.isEvacuated(b); {
	case ea && !eb:
		return -1
	case eb && !ea:
		return 1
	}
	if p.routesAllowing == nil {
		return 0
	}
	return cmp.Compare(p.routesAllowing(a), p.routesAllowing(b))
}

func (p placement) isEvacuated(z ident.Zone) bool { return p.evacuated != nil && p.evacuated(z) }

// mayMoveTo reports whether the primary may be moved to a zone because its own is being
// evacuated: that zone is not, and a route of the group allows databases there.
func (p placement) mayMoveTo(z ident.Zone) bool {
	return !p.isEvacuated(z) && (p.routesAllowing == nil || p.routesAllowing(z) > 0)
}

// canEvacuate reports whether a primary is in an evacuated zone and a listed database that
// stays in service may take its place. Without one, the primary stays where it is.
func (mon *Monitor) canEvacuate(primary *roster.Member) bool {
	if mon.cfg.Evacuated == nil || !mon.cfg.Evacuated(primary.Zone) {
		return false
	}
	p := mon.placement(primary.Group)
	return slices.ContainsFunc(mon.cfg.Roster.UsableMembers(primary.Group), func(m roster.Member) bool { return p.mayMoveTo(m.Zone) })
}

// successors returns the replicas to which a working primary may be moved.
func (f *failover) successors(replies []reply) []roster.Member {
	out := stayingReplicas(replies)
	if f.why != reasonEvacuated {
		return out
	}
	p := f.mon.placement(f.st.id)
	return slices.DeleteFunc(slices.Clone(out), func(m roster.Member) bool { return !p.mayMoveTo(m.Zone) })
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
