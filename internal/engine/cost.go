package engine

import (
	"math/rand/v2"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
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

// loadHalfLife is the age at which a reported load counts half: some of the statements
// have ended since, and a database nearby should not be passed over for them.
const loadHalfLife = 200 * time.Millisecond

// staleLoadAge is the age from which a reported load says nothing about which of
// two databases is less loaded now. It exceeds the time of most statements.
const staleLoadAge = 50 * time.Millisecond

// readCost estimates the time that a read takes at a database. load is the part of
// it that depends on the work of others. Where the speed of the database has been
// learned, it replaces the constants.
func readCost(m *roster.Member, at Place, l dbpool.Load, e speed.Estimate, isPrimary bool, now time.Time) (total, load time.Duration) {
	var d time.Duration
	switch {
	case m.Zone == at.Zone:
	case at.RegionOf != nil && at.RegionOf(m.Zone) == at.Region:
		d += crossZoneCost
	default:
		d += crossRegionCost
	}
	load = busyCost * time.Duration(l.Busy+2*l.Waiting)
	if l.Full {
		load += 2 * busyCost
	}
	if e.Factor > 0 {
		// A statement in progress counts as busyCost at most at a database of average
		// speed: others are not seen, so that the figure is no exact time.
		typical := busyCost
		if e.Typical > 0 {
			typical = min(max(e.Typical, busyCost/2), busyCost)
		}
		aged := 1 / (1 + float64(l.Age)/float64(loadHalfLife))
		n := max(float64(l.Busy)*aged, float64(l.Own)) + 2*float64(l.Waiting)*aged
		if l.Full {
			n += 2
		}
		load = time.Duration(n * float64(typical) * e.Factor / e.Limit)
		if e.Time > 0 {
			d += e.Time
		} else {
			d += time.Duration(float64(typical) * e.Factor)
		}
	}
	d += load
	if !l.HasIdle {
		d += dialCost
	}
	if isPrimary {
		d += primaryCost
	}
	if !m.LaggedAt.IsZero() && now.Sub(m.LaggedAt) < lagPeriod {
		d += lagCost
	}
	d += time.Duration(max(l.FailureRate, e.FailureRate) * float64(failureCost))
	if !m.Reachable(now) {
		d += unreachableCost
	}
	return d, load
}

// readChoice is a database with its estimated cost.
type readChoice struct {
	member      *roster.Member
	total, load time.Duration
	age         time.Duration
}

// twoBest keeps the two databases with the least cost.
type twoBest struct{ first, second readChoice }

func (t *twoBest) add(c readChoice) {
	switch {
	case t.first.member == nil || c.total < t.first.total:
		t.first, t.second = c, t.first
	case t.second.member == nil || c.total < t.second.total:
		t.second = c
	}
}

// choose returns the best database, or the second with a probability that grows with
// the age of the loads and with how close the two are relative to their load: VMs
// that see the same old figure must not all switch together. r is random, from 0 to
// 1. Loads without an age are exact, and the best one is chosen.
func (t *twoBest) choose(r float64) *roster.Member {
	loads := t.first.load + t.second.load
	age := max(t.first.age, t.second.age)
	if t.second.member == nil || loads <= 0 || age <= 0 {
		return t.first.member
	}
	closeness := 1 - float64(t.second.total-t.first.total)/float64(loads)
	if r < closeness/2*min(1, float64(age)/float64(staleLoadAge)) {
		return t.second.member
	}
	return t.first.member
}

// chooseReadTarget returns the database with the least estimated cost among those
// not yet tried, or one that is nearly as good. ok is false if all were tried.
func (s *Session) chooseReadTarget(tried map[ident.Target]bool) (*roster.Member, bool) {
	members, _ := s.placedMembers()
	primary, _ := s.e.cfg.Roster.Primary(s.auth.Group)
	cold := s.e.coldMembers(members, tried)
	now := time.Now()
	var best twoBest
	for i := range members {
		m := &members[i]
		if tried[m.ID] || cold[m.ID] {
			continue
		}
		load := s.e.cfg.Pools.Load(m, s.connWorkspace(), s.auth.Regions)
		e := s.e.cfg.Pools.Estimate(m, s.auth.Class)
		c := readChoice{member: m}
		c.total, c.load = readCost(m, s.e.cfg.Place, load, e, m.ID == primary, now)
		c.total += s.queueDelay(m, now)
		if e.Factor > 0 {
			c.age = load.Age
		}
		best.add(c)
	}
	if best.first.member == nil {
		return nil, false
	}
	return best.choose(rand.Float64()), true
}
