package elect

import (
	"math/rand/v2"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Policy selects how a primary is judged. Every policy is safe; they differ in
// how long a group is without a primary and in needless promotions.
type Policy uint8

// Policies. The zero value is PolicyEvidence.
const (
	// PolicyEvidence tries a new connection and asks whether the replicas hear
	// the primary.
	PolicyEvidence Policy = iota
	// PolicyTimeout fails over when probes on one connection have failed for
	// 3 s. It is the baseline of the measurements.
	PolicyTimeout
)

// Times of the failure detection and the election.
const (
	// Resolution is the greatest time between two ticks that the other
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
	// While the primary is healthy, replicaFactor times the period passes
	// between probes of a replica, and reserveFactor times the period between
	// those of the primary by watchers that are not the first. With 367 groups,
	// 480 nodes and 3 watchers each, probes of all databases every 250 ms take
	// 4.5 KB/s a node, above the 2 KB/s that all control traffic may take.
	replicaFactor = 8
	reserveFactor = 2
	// relaxedStatus is the age up to which a primary's status counts as healthy:
	// two periods with jitter and a round trip.
	relaxedStatus  = 800 * time.Millisecond
	urgentPeriod   = 100 * time.Millisecond // period while a suspicion is open
	overdue        = 150 * time.Millisecond // a new connection is tried after it
	silentAfter    = 600 * time.Millisecond
	timeoutAfter   = 3 * time.Second // PolicyTimeout
	stalledAfter   = time.Second
	aheadAfter     = time.Second
	contactLost    = 500 * time.Millisecond
	freshStatus    = 400 * time.Millisecond // age up to which a status is evidence; above one period and a round trip
	rankDelay      = 150 * time.Millisecond
	rankJitter     = 50 * time.Millisecond
	backoffBase    = 200 * time.Millisecond
	backoffSpan    = 200 * time.Millisecond
	plannedBackoff = 2 * time.Second // a working primary is not disturbed more often
	raisePatience  = 100 * time.Millisecond
	promoteLimit   = 1500 * time.Millisecond
	followAgain    = time.Second
	holdBase       = 2 * time.Second
	holdLimit      = 30 * time.Second
	holdWindow     = 10 * time.Minute
	// A longer gap between ticks means that this process was paused; what it
	// took for silence of others may have been its own.
	pauseGap = 500 * time.Millisecond
	// switchoverLag is the number of entries that a replica may lack when a
	// planned switchover begins.
	switchoverLag = 8
)

// Machine decides the failover of one group. The zero Machine has no members
// and asks for nothing until it gets Configured. A Machine must not be used by
// several goroutines at once.
type Machine struct {
	Policy Policy
	// Rand spreads probes, delays and backoffs; nil means no jitter.
	Rand rand.Source

	rank int
	rows []*row
	// former has the members that the primary was promoted with when the
	// catalogue has changed since.
	former []ident.Target

	term    ident.Term
	primary ident.Target
	home    ident.Region
	// seen is the highest term that any database has promised.
	seen ident.Term

	learnedAt  time.Time
	promotions []time.Time
	working    bool

	absent  time.Time // since when no database is the primary
	ahead   time.Time // since when a database is ahead of the primary
	stalled time.Time // since when the quorum position stands still

	lastTick time.Time
	open     Reason    // the reason in view
	due      time.Time // when this watcher's rank lets it act, zero without evidence
	hold     time.Time // no election before

	vote election
	out  []Action
}

// row is what the machine knows of a member.
type row struct {
	Member
	status topo.Status
	seenAt time.Time
	// never is since when the status has had no contact to any primary.
	never time.Time
	// stray is since when the database has followed another primary.
	stray    time.Time
	followAt time.Time

	old, new flight
	// silent is when the first probe without an answer was sent.
	silent    time.Time
	oldFailed bool
	newFailed bool
}

// flight is the state of the probes on one kind of connection.
type flight struct {
	open bool
	sent time.Time
	next time.Time
	// relaxed replaces next for a replica whose primary is healthy.
	relaxed time.Time
}

// Step takes an event and returns the actions to carry out, in order.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.out = nil
	switch e := e.(type) {
	case Configured:
		m.configure(e.Members)
	case Ranked:
		m.rank = e.Rank
	case ProbeAnswered:
		m.answered(now, e)
	case ProbeFailed:
		m.probeFailed(e)
	case TermRaised:
		m.raised(now, e)
	case Promoted:
		m.promoted(now, e)
	case Followed:
		m.followed(now, e)
	case ErrorsReported:
		m.hurry(now)
	case Hinted:
		m.learn(now, e.Term, e.Primary, false)
	case Tick:
		m.tick(now)
	}
	return m.out
}

// Primary returns the highest term with a known primary.
func (m *Machine) Primary() (ident.Term, ident.Target) { return m.term, m.primary }

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

func (m *Machine) row(id ident.Target) *row {
	i := slices.IndexFunc(m.rows, func(r *row) bool { return r.ID == id })
	if i < 0 {
		return nil
	}
	return m.rows[i]
}

func (m *Machine) ids() []ident.Target {
	out := make([]ident.Target, len(m.rows))
	for i, r := range m.rows {
		out[i] = r.ID
	}
	return out
}

func (m *Machine) members() []Member {
	out := make([]Member, len(m.rows))
	for i, r := range m.rows {
		out[i] = r.Member
	}
	return out
}

func (m *Machine) configure(members []Member) {
	before := m.ids()
	rows := make([]*row, 0, len(members))
	moved := false
	for _, c := range members {
		r := m.row(c.ID)
		if r == nil || r.Address != c.Address {
			moved = moved || r != nil
			r = &row{}
		}
		r.Member = c
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b *row) int { return compareID(a.ID, b.ID) })
	m.rows = rows
	changed := moved || !slices.Equal(before, m.ids())
	if len(before) > 0 && changed && m.former == nil {
		m.former = before
	}
}

// learn takes a primary of a higher term.
func (m *Machine) learn(now time.Time, term ident.Term, primary ident.Target, elected bool) {
	if primary == "" || term < m.term || term == m.term && m.primary != "" {
		return
	}
	if m.term != 0 {
		m.promotions = append(m.promotions, now)
		m.former = nil
	}
	m.term, m.primary, m.learnedAt = term, primary, now
	m.seen = max(m.seen, term)
	if r := m.row(primary); r != nil {
		m.home = r.Region
	}
	m.working = false
	m.absent, m.ahead, m.stalled = time.Time{}, time.Time{}, time.Time{}
	if m.vote.phase != phaseNone && m.vote.term <= term {
		m.vote = election{}
	}
	m.close()
	m.emit(PrimaryLearned{Term: term, Primary: primary, Elected: elected})
}

// close forgets the reason in view.
func (m *Machine) close() { m.open, m.due = ReasonNone, time.Time{} }

// majority reports whether ids has more than half of the members, and of those
// that the primary was promoted with.
func (m *Machine) majority(has func(ident.Target) bool) bool {
	return moreThanHalf(m.ids(), has) && (m.former == nil || moreThanHalf(m.former, has))
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

// jitter returns a random duration below span.
func (m *Machine) jitter(span time.Duration) time.Duration {
	if m.Rand == nil {
		return 0
	}
	return time.Duration(rand.New(m.Rand).Int64N(int64(span)))
}

func (m *Machine) backoff(now time.Time) {
	wait := backoffBase + m.jitter(backoffSpan)
	if t := now.Add(wait); t.After(m.hold) {
		m.hold = t
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
