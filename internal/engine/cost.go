package engine

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// Terms of readCost, the estimated time that a read takes at a database.
const (
	// crossZoneCost and crossRegionCost are the additional round-trip times to
	// other zones and regions. The latter includes a penalty for the limited
	// bandwidth between regions.
	crossZoneCost   = 4 * time.Millisecond
	crossRegionCost = 90 * time.Millisecond
	// busyCost is the time for each statement already running or waiting at a
	// database. It accounts for those of other VMs, which this one does not see.
	busyCost = 25 * time.Millisecond
	// dialCost is the time to open a connection.
	dialCost = 25 * time.Millisecond
	// primaryCost steers reads away from the primary, which serves all writes.
	primaryCost = 35 * time.Millisecond
	// lagCost applies for lagPeriod after a database refused a read because its
	// log lacked the required position.
	lagCost   = 300 * time.Millisecond
	lagPeriod = 300 * time.Millisecond
	// failureCost is the time lost by a statement that fails at a database; it is
	// multiplied by the database's failure rate.
	failureCost = 600 * time.Millisecond
	// unreachableCost ranks databases that could not be reached last.
	unreachableCost = 5 * time.Second
)

// readCost estimates the time that a read takes at a database.
func readCost(m *roster.Member, at Place, l dbpool.Load, isPrimary bool, now time.Time) time.Duration {
	var d time.Duration
	switch {
	case m.Zone == at.Zone:
	case at.RegionOf != nil && at.RegionOf(m.Zone) == at.Region:
		d += crossZoneCost
	default:
		d += crossRegionCost
	}
	d += busyCost * time.Duration(l.Busy+2*l.Waiting)
	if !l.HasIdle {
		d += dialCost
	}
	if l.Full {
		d += 2 * busyCost
	}
	if isPrimary {
		d += primaryCost
	}
	if !m.LaggedAt.IsZero() && now.Sub(m.LaggedAt) < lagPeriod {
		d += lagCost
	}
	d += time.Duration(l.FailureRate * float64(failureCost))
	if !m.Reachable(now) {
		d += unreachableCost
	}
	return d
}

// chooseReadTarget returns the database with the least estimated cost among those
// not yet tried. ok is false if all were tried.
func (s *Session) chooseReadTarget(tried map[ident.Target]bool) (*roster.Member, bool) {
	members := s.e.cfg.Roster.UsableMembers(s.auth.Group)
	primary, _ := s.e.cfg.Roster.Primary(s.auth.Group)
	cold := s.e.coldMembers(members, tried)
	now := time.Now()
	best, bestCost := -1, time.Duration(0)
	for i := range members {
		m := &members[i]
		if tried[m.ID] || cold[m.ID] {
			continue
		}
		load := s.e.cfg.Pools.Load(m, s.auth.Workspace)
		if cost := readCost(m, s.e.cfg.Place, load, m.ID == primary, now); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return nil, false
	}
	return &members[best], true
}
