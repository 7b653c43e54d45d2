package engine

import (
	"fmt"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
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

// outsideRegions is the reason of a refusal because of the allowed regions.
const outsideRegions = "no database in the allowed regions"

// unplacedRefusal returns the answer to a statement that no database may serve.
func (c *call) unplacedRefusal() dbop.Answer {
	return dbop.Answer{Code: dbop.Busy, Text: fmt.Sprintf("not run: %s; retry after %d ms", c.unplaced, unplacedRetryAfter.Milliseconds())}
}

// inAllowedRegion reports whether the session may use databases in a zone.
func (s *Session) inAllowedRegion(z ident.Zone) bool {
	if !s.auth.Regions.Limited() {
		return true
	}
	return s.e.cfg.Place.RegionOf != nil && s.auth.Regions.Allows(s.e.cfg.Place.RegionOf(z))
}

// placedMembers returns the usable databases of the session's group that may serve its
// reads.
func (s *Session) placedMembers() []roster.Member {
	members := s.e.cfg.Roster.UsableMembers(s.auth.Group)
	if !s.auth.Regions.Limited() {
		return members
	}
	var out []roster.Member
	for i := range members {
		if s.inAllowedRegion(members[i].Zone) {
			out = append(out, members[i])
		}
	}
	return out
}

// canPlace reports whether any database may serve the statement, and otherwise records
// why not.
func (s *Session) canPlace(c *call) bool {
	if s.auth.Regions.Limited() && len(s.placedMembers()) == 0 {
		c.unplaced = outsideRegions
		return false
	}
	return true
}

// awaitPrimary waits until the deadline for the primary to be known. ok is false if it
// is not, or at once if the statement may not use it; the call then has the reason.
func (s *Session) awaitPrimary(c *call) (m roster.Member, ok bool) {
	if !s.canPlace(c) {
		return m, false
	}
	m, ok = s.e.cfg.Primaries.Await(c.deadline, s.auth.Group)
	if !ok {
		c.lastCode = dbop.ReadOnly
		return m, false
	}
	if !s.inAllowedRegion(m.Zone) {
		c.unplaced = outsideRegions
		s.e.recheckPrimary(m.Group, m.ID)
		return m, false
	}
	return m, true
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

// getConn returns a connection to a database for the session.
func (s *Session) getConn(deadline time.Time, m *roster.Member) (*dbpool.Conn, error) {
	return s.e.cfg.Pools.GetWithin(deadline, m, s.auth.Workspace, s.owner, s.auth.Regions)
}
