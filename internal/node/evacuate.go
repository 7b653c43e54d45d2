package node

import (
	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/uptime"
)

func (n *Node) knowsZone(z ident.Zone) bool {
	_, ok := n.settings.Zones[z]
	return ok
}

// zoneStatus returns the status of zones for those that send requests, nil where zones
// are not evacuated.
func (n *Node) zoneStatus() func(ident.Zone) place.Status {
	if n.settings.EvacuateWithin() <= 0 {
		return nil
	}
	return n.follower.ZoneStatus
}

// evacuated implements lead.Config.Evacuated.
func (n *Node) evacuated(z ident.Zone) bool {
	return n.follower.EvacuationView().Status(z, uptime.Now()) != place.InService
}

// reportEvacuation reports the evacuated zones, the refusals because of them, and the
// primaries that are still there. If log is set, new refusals are logged.
func (n *Node) reportEvacuation(log bool) {
	if n.settings.EvacuateWithin() <= 0 {
		return
	}
	zones, primaries := 0, 0
	for _, z := range n.follower.EvacuationView().Zones() {
		if n.knowsZone(z) {
			zones++
		}
	}
	for _, g := range n.roster.Groups() {
		id, ok := n.roster.Primary(g)
		if m, known := n.roster.Member(g, id); ok && known && n.evacuated(m.Zone) {
			primaries++
		}
	}
	refused := n.engine.EvacuationRefusals()
	n.metrics.Scope.Gauge("evacuated_zones").Update(float64(zones))
	n.metrics.Scope.Gauge("evacuated_primaries").Update(float64(primaries))
	n.metrics.Scope.Gauge("evacuation_refused").Update(float64(refused))
	if log && refused > n.refusalsLogged {
		evlog.At(n.log, evlog.EvacuationRefused).Uint64("count", refused-n.refusalsLogged).Int("primaries", primaries).Send()
		n.refusalsLogged = refused
	}
}
