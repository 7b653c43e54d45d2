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

// maxSkippedLogged is the number of skipped entries of a version that are logged.
const maxSkippedLogged = 20

// logOddities logs, once for each version, the entries that were skipped and the allowed
// regions that no zone has.
func (n *Node) logOddities(c *catal.Catalogue) {
	if c.Version == n.odditiesLogged {
		return
	}
	n.odditiesLogged = c.Version
	for _, s := range c.Skipped[:min(len(c.Skipped), maxSkippedLogged)] {
		evlog.At(n.log, evlog.ConfigEntrySkipped).Uint64("version", uint64(c.Version)).Str("list", s.List).Int("index", s.Index).
			Int("skipped", len(c.Skipped)).Err(s.Err).Send()
	}
	if unknown := place.UnknownRegions(c); len(unknown) > 0 {
		evlog.At(n.log, evlog.RegionsUnknown).Uint64("version", uint64(c.Version)).Interface("regions", unknown).Send()
	}
}
