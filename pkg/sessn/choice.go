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
	// statusLife is how long a status says something about a target; a VM that
	// has stopped watching a group keeps its last status for ever.
	statusLife = 5 * time.Second
	// heardLife is how long a cached position below the floor keeps reads from
	// a replica. Longer values send reads to the primary that a replica could
	// have served by then; shorter ones are refused by the target more often,
	// which costs a retry.
	heardLife = 10 * time.Millisecond
	// failedLife is how long a target that could not be reached is tried last.
	// Each probe that fails, one a second or so, renews it.
	failedLife = 3 * time.Second
)

// Location is where a VM is.
type Location struct {
	Zone   ident.Zone
	Region ident.Region
}

// Load is what a VM knows of its own traffic to a target.
type Load struct {
	// Outstanding is the number of statements that run there for this VM.
	Outstanding int
	// Heard is when the target last reported its position to this VM.
	HeardAt time.Time
	// Since is when the target returned after a failure, zero when it did not
	// fail.
	ReturnedAt time.Time
}

// ReadRequest describes a read that needs a target.
type ReadRequest struct {
	Group    topo.Group
	Floor    ident.Position
	MaxAge   time.Duration
	Location Location
	// Region returns the region of a zone.
	RegionOf func(ident.Zone) ident.Region
	LoadOf   func(ident.Target) Load
	// Random returns numbers in [0, 1).
	Random func() float64
	Now    time.Time
}

// Usable reports whether a target may get new work: it is not leaving, not being
// rebuilt, and not known to be in a term below the group's.
func Usable(g *topo.Group, t topo.Target, now time.Time) bool {
	if t.Config.Leaving {
		return false
	}
	if t.StatusAt.IsZero() || now.Sub(t.StatusAt) > statusLife {
		return true
	}
	if t.Status.Leaving || t.Status.Role == topo.RoleRebuild {
		return false
	}
	// A lower term says that the target has not followed yet, unless it was
	// reported before the group's term became known here.
	return t.Status.Term >= g.Term || t.StatusAt.Before(g.LearnedAt)
}

// tiers of candidates, best first.
const (
	tierZone = iota
	tierRegion
	tierFar
	tierPrimary
	// tierBehind has replicas that were behind the floor a moment ago.
	tierBehind
	tierFailed
	tiers
)

// Candidates returns the targets that may run the read in the order in which
// they are to be tried: replicas of the same zone, of the same region, of other
// regions, then the primary. Within a group of equals the first is the less
// busy of two random ones (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", 2001). It is empty when no target may get work.
func Candidates(r ReadRequest) []ident.Target {
	var lists [tiers][]topo.Target
	for _, t := range r.Group.Targets {
		if Usable(&r.Group, t, r.Now) {
			i := r.tier(t)
			lists[i] = append(lists[i], t)
		}
	}
	out := make([]ident.Target, 0, len(r.Group.Targets))
	for _, l := range lists {
		r.order(l)
		for _, t := range l {
			out = append(out, t.ID)
		}
	}
	return out
}

func (r *ReadRequest) tier(t topo.Target) int {
	switch {
	case !t.FailedAt.IsZero() && r.Now.Sub(t.FailedAt) < failedLife:
		return tierFailed
	case t.ID == r.Group.Primary:
		return tierPrimary
	case r.behind(t):
		return tierBehind
	case t.Config.Zone == r.Location.Zone:
		return tierZone
	case r.RegionOf(t.Config.Zone) == r.Location.Region:
		return tierRegion
	}
	return tierFar
}

// behind reports whether the target lacked the floor a moment ago.
func (r *ReadRequest) behind(t topo.Target) bool {
	if !t.Applied.Less(r.Floor) {
		return false
	}
	heard := r.LoadOf(t.ID).HeardAt
	if t.StatusAt.After(heard) {
		heard = t.StatusAt
	}
	return !heard.IsZero() && r.Now.Sub(heard) < heardLife
}

// order puts the less busy of two random targets first and the rest in the
// order of their load. A target that has just returned is passed over as the
// first with a probability that shrinks during its slow start.
func (r *ReadRequest) order(l []topo.Target) {
	if len(l) < 2 {
		return
	}
	for i := len(l) - 1; i > 0; i-- {
		j := int(r.Random() * float64(i+1))
		l[i], l[j] = l[j], l[i]
	}
	if r.busier(l[0], l[1]) > 0 {
		l[0], l[1] = l[1], l[0]
	}
	if r.Random() >= retry.SlowStart(r.LoadOf(l[0].ID).ReturnedAt, r.Now) {
		l[0], l[1] = l[1], l[0]
	}
	slices.SortStableFunc(l[1:], r.busier)
}

func (r *ReadRequest) busier(a, b topo.Target) int {
	return cmp.Compare(r.LoadOf(a.ID).Outstanding, r.LoadOf(b.ID).Outstanding)
}
