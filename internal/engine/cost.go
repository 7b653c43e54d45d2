package engine

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// Estimated times that a read spends at a database, by what is known of it.
const (
	// zoneTrip and regionTrip are the extra round trips to other zones and
	// regions. That between regions includes the price of the narrow link.
	zoneTrip   = 4 * time.Millisecond
	regionTrip = 90 * time.Millisecond
	// busyCost is the time of one statement ahead at a database, as one VM of
	// several sees only a part of them.
	busyCost = 25 * time.Millisecond
	// startCost is that of a new connection.
	startCost = 25 * time.Millisecond
	// leaderCost keeps reads from the primary, which has all writes.
	leaderCost = 35 * time.Millisecond
	// behindCost applies for behindLife after a refusal for a missing entry.
	behindCost = 300 * time.Millisecond
	behindLife = 300 * time.Millisecond
	// faultCost is the time that a statement loses which a database fails.
	faultCost = 600 * time.Millisecond
	// failedCost puts databases that could not be reached last.
	failedCost = 5 * time.Second
)

// readCost estimates the time that a read takes at a database.
func readCost(m *roster.Member, at Place, l dbpool.Load, leads bool, now time.Time) time.Duration {
	var d time.Duration
	switch {
	case m.Zone == at.Zone:
	case at.RegionOf != nil && at.RegionOf(m.Zone) == at.Region:
		d += zoneTrip
	default:
		d += regionTrip
	}
	d += busyCost * time.Duration(l.Busy+2*l.Waiting)
	if !l.Idle {
		d += startCost
	}
	if l.Full {
		d += 2 * busyCost
	}
	if leads {
		d += leaderCost
	}
	if !m.LaggedAt.IsZero() && now.Sub(m.LaggedAt) < behindLife {
		d += behindCost
	}
	d += time.Duration(l.Faults * float64(faultCost))
	if !m.Reachable(now) {
		d += failedCost
	}
	return d
}

// choose returns the database to read from.
func (s *Session) choose(tried map[ident.Target]bool) (*roster.Member, bool) {
	members := s.e.cfg.Roster.UsableMembers(s.grant.Group)
	leader, _ := s.e.cfg.Roster.Primary(s.grant.Group)
	now := time.Now()
	best, score := -1, time.Duration(0)
	for i := range members {
		m := &members[i]
		if tried[m.ID] {
			continue
		}
		load := s.e.cfg.Pools.Load(m, s.grant.Workspace)
		if n := readCost(m, s.e.cfg.Place, load, m.ID == leader, now); best < 0 || n < score {
			best, score = i, n
		}
	}
	if best < 0 {
		return nil, false
	}
	return &members[best], true
}
