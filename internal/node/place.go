package node

import (
	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
)

// routesAllowing implements lead.Config.RoutesAllowing.
func (n *Node) routesAllowing(g ident.Group, z ident.Zone) int {
	c := n.follower.Catalogue()
	if c == nil {
		return 0
	}
	return place.RoutesAllowing(c, g, n.regionOf(z))
}

// logUnknownRegions logs, once for each version, the allowed regions that no zone has.
func (n *Node) logUnknownRegions(c *catal.Catalogue) {
	if c.Version == n.regionsLogged {
		return
	}
	n.regionsLogged = c.Version
	if unknown := place.UnknownRegions(c); len(unknown) > 0 {
		evlog.At(n.log, evlog.RegionsUnknown).Uint64("version", uint64(c.Version)).Interface("regions", unknown).Send()
	}
}
