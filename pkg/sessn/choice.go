package sessn

import (
	"cmp"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
	"chervilspan.example/pkg/topo"
)

const (
	// statusMaxAge is the age up to which a target's status is relied on. A VM
	// that has stopped watching a group keeps the last status indefinitely.
	statusMaxAge = 5 * time.Second
	// positionMaxAge is the age up to which a cached position below the floor
	// keeps reads away from a replica. A longer value sends reads to the primary
	// that a replica has caught up to serve; with a shorter one targets refuse
	// more reads, each of which costs a retry.
	positionMaxAge = 10 * time.Millisecond
	// unreachablePeriod is how long a target that could not be reached is tried
	// last. Each failed probe, about one a second, renews it.
	unreachablePeriod = 3 * time.Second
)

// Location is the zone and the region in which a VM runs.
type Location struct {
	Zone   ident.Zone
	Region ident.Region
}

// Load is what a VM knows from its own traffic to a target.
type Load struct {
	// Outstanding is the number of this VM's statements that run on the target.
	Outstanding int
	// HeardAt is when the target last reported its position to this VM.
	HeardAt time.Time
	// ReturnedAt is when the target recovered from its last failure; the zero
	// time means that it has not failed.
	ReturnedAt time.Time
}

// ReadRequest describes a read for which a target is chosen.
type ReadRequest struct {
	Group    topo.Group
	Floor    ident.Position
	MaxAge   time.Duration
	Location Location
	// RegionOf returns the region of a zone.
	RegionOf func(ident.Zone) ident.Region
	LoadOf   func(ident.Target) Load
	// Random returns numbers in [0, 1).
	Random func() float64
	Now    time.Time
}

// Usable reports whether a target may get new statements: it is not leaving, not
// being rebuilt, and not known to be in a term below the group's.
func Usable(g *topo.Group, t topo.Target, now time.Time) bool {
	if t.Config.Leaving {
		return false
	}
	if t.StatusAt.IsZero() || now.Sub(t.StatusAt) > statusMaxAge {
		return true
	}
	if t.Status.Leaving || t.Status.Role == topo.RoleRebuild {
		return false
	}
	// A lower term means that the target does not follow the new primary yet,
	// unless the status dates from before this VM learned of the group's term.
	return t.Status.Term >= g.Term || t.StatusAt.Before(g.LearnedAt)
}

// Tiers of candidates, best first.
const (
	tierZone = iota
	tierRegion
	tierOtherRegion
	tierPrimary
	// tierBehind holds replicas that were behind the floor within the last
	// positionMaxAge.
	tierBehind
	tierFailed
	tierCount
)

// Candidates returns the targets that may run the read in the order in which
// they are to be tried: replicas of the same zone, of the same region and of
// other regions, the primary, replicas recently behind the floor, and targets
// that could not be reached. Within a tier the first is the less busy of two
// random ones (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001). The result is empty when no target is usable.
func Candidates(r ReadRequest) []ident.Target {
	var lists [tierCount][]topo.Target
	for _, t := range r.Group.Targets {
		if Usable(&r.Group, t, r.Now) {
			i := r.tier(t)
			lists[i] = append(lists[i], t)
		}
	}
	out := make([]ident.Target, 0, len(r.Group.Targets))
	for _, l := range lists {
		r.orderByLoad(l)
		for _, t := range l {
			out = append(out, t.ID)
		}
	}
	return out
}

func (r *ReadRequest) tier(t topo.Target) int {
	switch {
	case !t.FailedAt.IsZero() && r.Now.Sub(t.FailedAt) < unreachablePeriod:
		return tierFailed
	case t.ID == r.Group.Primary:
		return tierPrimary
	case r.behindFloor(t):
		return tierBehind
	case t.Config.Zone == r.Location.Zone:
		return tierZone
	case r.RegionOf(t.Config.Zone) == r.Location.Region:
		return tierRegion
	}
	return tierOtherRegion
}

// behindFloor reports whether the target was behind the floor within the last
// positionMaxAge.
func (r *ReadRequest) behindFloor(t topo.Target) bool {
	if !t.Applied.Less(r.Floor) {
		return false
	}
	heard := r.LoadOf(t.ID).HeardAt
	if t.StatusAt.After(heard) {
		heard = t.StatusAt
	}
	return !heard.IsZero() && r.Now.Sub(heard) < positionMaxAge
}

// orderByLoad puts the less busy of two random targets first and sorts the rest
// by load. A target that has just recovered gives up the first place with a
// probability that falls during its slow start.
func (r *ReadRequest) orderByLoad(l []topo.Target) {
	if len(l) < 2 {
		return
	}
	for i := len(l) - 1; i > 0; i-- {
		j := int(r.Random() * float64(i+1))
		l[i], l[j] = l[j], l[i]
	}
	if r.compareLoad(l[0], l[1]) > 0 {
		l[0], l[1] = l[1], l[0]
	}
	if r.Random() >= retry.SlowStart(r.LoadOf(l[0].ID).ReturnedAt, r.Now) {
		l[0], l[1] = l[1], l[0]
	}
	slices.SortStableFunc(l[1:], r.compareLoad)
}

func (r *ReadRequest) compareLoad(a, b topo.Target) int {
	return cmp.Compare(r.LoadOf(a.ID).Outstanding, r.LoadOf(b.ID).Outstanding)
}
