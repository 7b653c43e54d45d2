package engine

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

const (
	// unplacedRetryAfter is the retry delay named in a refusal because no database may
	// serve the statement. It is the time in which a change of the primary usually ends.
	unplacedRetryAfter = time.Second
	// recheckInterval is the least time between two probes of a primary that statements
	// may not use.
	recheckInterval = time.Second
)

// Reasons of refusals because of the placement of databases.
const (
	outsideRegions = "no database in the allowed regions"
	evacuated      = "the database's availability zone is being evacuated"
)

// EvacuationRefusals returns the number of statements that were refused, or rolled back,
// because only a database in an evacuated zone could have run them.
func (e *Engine) EvacuationRefusals() uint64 { return e.evacuationRefusals.Load() }

// inAllowedRegion reports whether the session may use databases in a zone.
func (s *Session) inAllowedRegion(z ident.Zone) bool {
	if !s.auth.Regions.Limited() {
		return true
	}
	return s.e.cfg.Place.RegionOf != nil && s.auth.Regions.Allows(s.e.cfg.Place.RegionOf(z))
}

// zoneStatus returns how the databases of a zone may be used.
func (e *Engine) zoneStatus(z ident.Zone) place.Status {
	if e.cfg.ZoneStatus == nil {
		return place.InService
	}
	return e.cfg.ZoneStatus(z)
}

// placedMembers returns the usable databases of the session's group that may serve its
// reads. If there is none, why has the reason.
func (s *Session) placedMembers() (placed []roster.Member, why string) {
	members := s.e.cfg.Roster.UsableMembers(s.auth.Group)
	if !s.auth.Regions.Limited() && s.e.cfg.ZoneStatus == nil {
		return members, ""
	}
	if s.auth.Regions.Limited() {
		why = outsideRegions
	}
	for i := range members {
		switch {
		case !s.inAllowedRegion(members[i].Zone):
		case s.e.zoneStatus(members[i].Zone) != place.InService:
			why = evacuated
		default:
			placed = append(placed, members[i])
		}
	}
	return placed, why
}

// canPlaceRead reports whether any database may serve a read, and otherwise records why
// not.
func (s *Session) canPlaceRead(c *call) bool {
	placed, why := s.placedMembers()
	if len(placed) > 0 || why == "" {
		return true
	}
	c.unplaced = why
	return false
}

// primaryFor returns the primary of the session's group. ok is false if it is not known by
// the deadline, or at once if the statement may not use it; the call then has the reason.
func (s *Session) primaryFor(c *call) (m roster.Member, ok bool) {
	if placed, why := s.placedMembers(); len(placed) == 0 && why == outsideRegions {
		c.unplaced = why
		return m, false
	}
	m, ok = s.awaitPrimary(c)
	if !ok {
		c.lastCode = dbop.ReadOnly
		return m, false
	}
	switch {
	case !s.inAllowedRegion(m.Zone):
		c.unplaced = outsideRegions
	case s.e.zoneStatus(m.Zone) == place.Closed:
		c.unplaced = evacuated
	default:
		return m, true
	}
	s.e.recheckPrimary(m.Group, m.ID)
	return m, false
}

// closed reports whether no statement may be sent to a connection's database any more. It
// is asked last before a statement is sent, since what precedes may take long, as when
// the VM was frozen.
func (e *Engine) closed(conn *dbpool.Conn) bool {
	return e.cfg.ZoneStatus != nil && e.zoneStatus(conn.Zone) == place.Closed
}

// evacuatedAbort returns the answer in an open transaction whose database may not be used
// any more.
func (e *Engine) evacuatedAbort() dbop.Answer {
	e.evacuationRefusals.Add(1)
	return dbop.Answer{Code: dbop.Aborted, Text: evacuated + "; the transaction is rolled back"}
}

// recheckPrimary has a primary that a refused statement may not use probed, at most once
// in recheckInterval. Statements that are refused don't show this VM that another database
// has become the primary.
func (e *Engine) recheckPrimary(g ident.Group, id ident.Target) {
	e.mu.Lock()
	recent := time.Since(e.recheckedAt[g]) < recheckInterval
	if !recent {
		e.recheckedAt[g] = time.Now()
	}
	e.mu.Unlock()
	if !recent {
		e.cfg.Primaries.ReportUnanswered(g, id)
	}
}
