package elect

import (
	"math/rand/v2"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Policy selects how failures of a primary are detected. Every policy is safe;
// they differ in how long a group is without a primary and in the number of
// needless promotions.
type Policy uint8

// Policies. The zero value is PolicyEvidence.
const (
	// PolicyEvidence tries a new connection and checks whether the replicas
	// still have contact with the primary.
	PolicyEvidence Policy = iota
	// PolicyTimeout fails over when probes on one connection have failed
	// for 3 s. It is the baseline of the measurements.
	PolicyTimeout
)

// Timing of failure detection and elections.
const (
	// Resolution is the greatest interval between two ticks that the other
	// constants allow for.
	Resolution = 25 * time.Millisecond
	// ProbeTimeout bounds a probe on an existing connection.
	ProbeTimeout = 300 * time.Millisecond
	// NewProbeTimeout bounds a probe on a new connection, which takes several
	// round trips.
	NewProbeTimeout = 450 * time.Millisecond
	// CallTimeout bounds RaiseTerm, Promote and Follow.
	CallTimeout = 400 * time.Millisecond

	probePeriod = 250 * time.Millisecond
	// While the primary is healthy, a replica is probed once in replicaFactor
	// periods, and watchers other than the first probe the primary once in
	// standbyFactor periods. With 367 groups, 480 nodes and 3 watchers per
	// group, probing all databases every 250 ms takes 4.5 KB/s per node, above
	// the 2 KB/s budget of all control traffic.
	replicaFactor = 8
	standbyFactor = 2
	// healthyStatusAge is the age up to which a primary's status counts as
	// healthy: two periods with jitter and a round trip.
	healthyStatusAge    = 800 * time.Millisecond
	urgentPeriod        = 100 * time.Millisecond // probe period during a suspicion
	probeOverdue        = 150 * time.Millisecond // delay of an answer after which a new connection is tried
	silenceTimeout      = 600 * time.Millisecond
	failureTimeout      = 3 * time.Second // used by PolicyTimeout
	stallTimeout        = time.Second
	aheadTimeout        = time.Second
	contactTimeout      = 500 * time.Millisecond
	evidenceMaxAge      = 400 * time.Millisecond // above one period and a round trip
	rankDelay           = 150 * time.Millisecond
	rankJitter          = 50 * time.Millisecond
	backoffBase         = 200 * time.Millisecond
	backoffJitter       = 200 * time.Millisecond
	plannedBackoff      = 2 * time.Second // limits how often elections interrupt a working primary
	promiseGracePeriod  = 100 * time.Millisecond
	promoteTimeout      = 1500 * time.Millisecond
	followRetryInterval = time.Second
	dampingBase         = 2 * time.Second
	dampingLimit        = 30 * time.Second
	dampingWindow       = 10 * time.Minute
	// After a longer gap between ticks this process is assumed to have been
	// paused. Answers that seemed missing may then have been delayed by the
	// pause.
	maxTickGap = 500 * time.Millisecond
	// switchoverMaxLag is the number of entries that a replica may lack when a
	// planned switchover begins.
	switchoverMaxLag = 8
)

// Machine decides the failover of one group. The zero Machine has no members
// and returns no actions until it receives Configured. A Machine must not be used
// by several goroutines at once.
type Machine struct {
	Policy Policy
	// Rand is the source of jitter for probes, delays and backoff; nil means no
	// jitter.
	Rand rand.Source

	rank    int
	members []*memberState
	// formerMembers holds the members that the primary was promoted with, if
	// the catalogue has changed since.
	formerMembers []ident.Target

	term          ident.Term
	primary       ident.Target
	primaryRegion ident.Region
	// highestTerm is the highest term that any database has promised.
	highestTerm ident.Term

	learnedAt      time.Time // when term and primary became known
	promotionTimes []time.Time
	// primaryCommitted is true once a majority holds an entry of the primary's
	// own term.
	primaryCommitted bool

	absentSince  time.Time // since when no database has acted as the primary
	aheadSince   time.Time // since when a database has had a higher term than the primary
	stalledSince time.Time // since when the quorum position has not advanced

	lastTick     time.Time
	suspicion    Reason    // reason of the current suspicion
	electionDue  time.Time // earliest start by this watcher's rank; zero without evidence
	backoffUntil time.Time // earliest start after an abandoned or lost election

	election election
	actions  []Action
}

// memberState is what the machine knows of a member.
type memberState struct {
	Member
	status   topo.Status
	statusAt time.Time
	// noContactSince is since when the member has reported that it never had
	// contact with a primary.
	noContactSince time.Time
	// notFollowingSince is since when the member has not followed the known
	// primary.
	notFollowingSince time.Time
	nextFollow        time.Time

	oldConn, newConn probeState
	// silentSince is when the first unanswered probe was sent.
	silentSince   time.Time
	oldConnFailed bool
	newConnFailed bool
}

// probeState is the state of the probes on one kind of connection.
type probeState struct {
	inFlight bool
	sentAt   time.Time
	nextAt   time.Time
	// relaxedNextAt replaces nextAt while the primary is healthy.
	relaxedNextAt time.Time
}

// Step processes an event and returns the actions to carry out, in order.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.actions = nil
	switch e := e.(type) {
	case Configured:
		m.configure(e.Members)
	case Ranked:
		m.rank = e.Rank
	case ProbeAnswered:
		m.handleProbeAnswered(now, e)
	case ProbeFailed:
		m.handleProbeFailed(e)
	case TermRaised:
		m.handleTermRaised(now, e)
	case Promoted:
		m.handlePromoted(now, e)
	case Followed:
		m.handleFollowed(now, e)
	case ErrorsReported:
		m.probeAllNow(now)
	case Hinted:
		m.learnPrimary(now, e.Term, e.Primary, false)
	case Tick:
		m.tick(now)
	}
	return m.actions
}

// Primary returns the highest term whose primary is known, and that primary.
func (m *Machine) Primary() (ident.Term, ident.Target) { return m.term, m.primary }

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) member(id ident.Target) *memberState {
	i := slices.IndexFunc(m.members, func(r *memberState) bool { return r.ID == id })
	if i < 0 {
		return nil
	}
	return m.members[i]
}

func (m *Machine) memberIDs() []ident.Target {
	out := make([]ident.Target, len(m.members))
	for i, r := range m.members {
		out[i] = r.ID
	}
	return out
}

func (m *Machine) memberConfigs() []Member {
	out := make([]Member, len(m.members))
	for i, r := range m.members {
		out[i] = r.Member
	}
	return out
}

func (m *Machine) configure(members []Member) {
	before := m.memberIDs()
	next := make([]*memberState, 0, len(members))
	moved := false
	for _, c := range members {
		r := m.member(c.ID)
		if r == nil || r.Address != c.Address {
			moved = moved || r != nil
			r = &memberState{}
		}
		r.Member = c
		next = append(next, r)
	}
	slices.SortFunc(next, func(a, b *memberState) int { return compareID(a.ID, b.ID) })
	m.members = next
	changed := moved || !slices.Equal(before, m.memberIDs())
	if len(before) > 0 && changed && m.formerMembers == nil {
		m.formerMembers = before
	}
}

// learnPrimary records the primary of a higher term.
func (m *Machine) learnPrimary(now time.Time, term ident.Term, primary ident.Target, elected bool) {
	if primary == "" || term < m.term || term == m.term && m.primary != "" {
		return
	}
	if m.term != 0 {
		m.promotionTimes = append(m.promotionTimes, now)
		m.formerMembers = nil
	}
	m.term, m.primary, m.learnedAt = term, primary, now
	m.highestTerm = max(m.highestTerm, term)
	if r := m.member(primary); r != nil {
		m.primaryRegion = r.Region
	}
	m.primaryCommitted = false
	m.absentSince, m.aheadSince, m.stalledSince = time.Time{}, time.Time{}, time.Time{}
	if m.election.phase != phaseNone && m.election.term <= term {
		m.election = election{}
	}
	m.clearSuspicion()
	m.emit(PrimaryLearned{Term: term, Primary: primary, Elected: elected})
}

// clearSuspicion ends the current suspicion.
func (m *Machine) clearSuspicion() { m.suspicion, m.electionDue = ReasonNone, time.Time{} }

// hasMajority reports whether has is true for more than half of the members,
// and also for more than half of those that the primary was promoted with.
func (m *Machine) hasMajority(has func(ident.Target) bool) bool {
	return moreThanHalf(m.memberIDs(), has) && (m.formerMembers == nil || moreThanHalf(m.formerMembers, has))
}

func moreThanHalf(ids []ident.Target, has func(ident.Target) bool) bool {
	n := 0
	for _, id := range ids {
		if has(id) {
			n++
		}
	}
	return n > len(ids)/2
}

// jitter returns a random duration from 0 up to, but not including, span.
func (m *Machine) jitter(span time.Duration) time.Duration {
	if m.Rand == nil {
		return 0
	}
	return time.Duration(rand.New(m.Rand).Int64N(int64(span)))
}

func (m *Machine) backOff(now time.Time) {
	wait := backoffBase + m.jitter(backoffJitter)
	if t := now.Add(wait); t.After(m.backoffUntil) {
		m.backoffUntil = t
	}
}

func compareID(a, b ident.Target) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
