package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

const (
	// minAbsenceWaiters is the number of statements that may wait on a VM for the
	// primary of a group in any case.
	minAbsenceWaiters = 2
	// assumedService is the time that the primary takes for a statement, as long as
	// none has run on this VM.
	assumedService = 30 * time.Millisecond
	// assumedAbsence is how long a group is expected to have no primary before this
	// VM has seen it: the time to notice the loss, and to find and promote another
	// database.
	assumedAbsence = 2 * time.Second
	// overdueRetry is the time after which to retry when the absence lasts longer than
	// expected.
	overdueRetry = 500 * time.Millisecond
	// retryWindow is the time over which the retries of the least urgent statements
	// are spread. The backlog of an absence has to be cleared within it.
	retryWindow = 2 * time.Second
	// absencePollInterval is how often a waiting statement checks whether a more urgent
	// one has taken its place.
	absencePollInterval = 50 * time.Millisecond
	// absenceGap is the longest time without a waiting statement within one absence; a
	// statement that waits later begins a new one.
	absenceGap = time.Second
	// serviceSmoothing is the inverse of the weight of a new figure in moving averages.
	serviceSmoothing = 8
)

// absences bounds the statements that wait for the primaries of groups.
type absences struct {
	mu     sync.Mutex
	groups map[ident.Group]*absence
}

// absence is the time in which a group has no usable primary, as seen by waiting
// statements.
type absence struct {
	waiters []*absenceWaiter
	// since is when the first statement waited; zero while the group has a primary.
	// leftAt is when the last one ended its wait.
	since, leftAt time.Time
	// expected is the mean length of the absences seen, 0 if there were none.
	expected time.Duration
	// service is the mean time of statements at the primary, 0 while unknown.
	service time.Duration
}

type absenceWaiter struct{ weight uint32 }

// absenceRules says which statements may wait: all during the grace period, and
// afterwards as many as capacity returns for the time that a statement takes.
type absenceRules struct {
	grace    time.Duration
	capacity func(time.Duration) int
}

// groupOf returns the absence of a group. The caller holds a.mu.
func (a *absences) groupOf(g ident.Group) *absence {
	ab := a.groups[g]
	if ab == nil {
		if a.groups == nil {
			a.groups = map[ident.Group]*absence{}
		}
		ab = &absence{}
		a.groups[g] = ab
	}
	return ab
}

// enter adds a waiting statement, or returns nil and when to retry if the rules leave no
// place for it.
func (a *absences) enter(g ident.Group, weight uint32, rules absenceRules, now time.Time) (*absenceWaiter, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ab := a.groupOf(g)
	if ab.since.IsZero() || len(ab.waiters) == 0 && now.Sub(ab.leftAt) > absenceGap {
		ab.since = now
	}
	w := &absenceWaiter{weight: weight}
	ab.waiters = append(ab.waiters, w)
	if ab.hasPlace(w, rules, now) {
		return w, 0
	}
	ab.waiters = ab.waiters[:len(ab.waiters)-1]
	return nil, ab.retryAfter(weight, now)
}

// hasPlace reports whether a waiting statement may go on waiting: during the grace
// period, or when fewer statements than the rules allow are more urgent, or as urgent and
// were there before.
func (ab *absence) hasPlace(w *absenceWaiter, rules absenceRules, now time.Time) bool {
	if now.Sub(ab.since) < rules.grace {
		return true
	}
	service := ab.service
	if service == 0 {
		service = assumedService
	}
	before, seen := 0, false
	for _, o := range ab.waiters {
		seen = seen || o == w
		if o.weight > w.weight || o.weight == w.weight && !seen {
			before++
		}
	}
	return before < max(rules.capacity(service), minAbsenceWaiters)
}

// leave ends the wait of a statement and returns when to retry it. found tells that the
// group has a primary again.
func (a *absences) leave(g ident.Group, w *absenceWaiter, found bool, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	ab := a.groupOf(g)
	ab.waiters = slices.DeleteFunc(ab.waiters, func(o *absenceWaiter) bool { return o == w })
	ab.leftAt = now
	if found && !ab.since.IsZero() {
		if d := now.Sub(ab.since); d > absencePollInterval {
			ab.expected = smooth(ab.expected, d)
		}
		ab.since = time.Time{}
	}
	return ab.retryAfter(w.weight, now)
}

// keepsPlace is hasPlace for a statement that waits.
func (a *absences) keepsPlace(g ident.Group, w *absenceWaiter, rules absenceRules, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.groupOf(g).hasPlace(w, rules, now)
}

// retryAfter returns when a refused statement should be sent again: when the primary is
// expected, and after that at a random time of a window that is shorter for more urgent
// statements.
func (ab *absence) retryAfter(weight uint32, now time.Time) time.Duration {
	expected := ab.expected
	if expected == 0 {
		expected = assumedAbsence
	}
	left := expected - now.Sub(ab.since)
	if left <= 0 {
		left = overdueRetry
	}
	return left + rand.N(retryWindow/time.Duration(max(weight, 1)))
}

// recordService updates the mean time of statements at the primary of a group.
func (a *absences) recordService(g ident.Group, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ab := a.groupOf(g)
	ab.service = smooth(ab.service, took)
}

func smooth(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + (d-mean)/serviceSmoothing
}

// awaitPrimary returns the primary of the session's group. While there is none, at
// most as many statements wait as this VM's part of the primary's capacity within the
// shortest objective, the most urgent first. The others fail at once.
func (s *Session) awaitPrimary(c *call) (roster.Member, bool) {
	g, await := s.auth.Group, s.e.cfg.Primaries.Await
	if !c.scheduling.Ranked {
		return await(c.deadline, g)
	}
	if m, ok := await(time.Now(), g); ok {
		return m, true
	}
	// An eighth of the objective is enough for a VM that has just started, or learned that
	// the primary is another database, to find the primary, and leaves time to refuse
	// within a quarter.
	const graceFraction = 8
	rules := absenceRules{grace: s.index.ShortestObjective / graceFraction, capacity: s.absenceCapacity}
	w, retry := s.e.absences.enter(g, s.auth.Weight, rules, time.Now())
	if w == nil {
		c.primaryExpected = retry
		return roster.Member{}, false
	}
	for c.canAttempt() && s.e.absences.keepsPlace(g, w, rules, time.Now()) {
		deadline := time.Now().Add(absencePollInterval)
		if c.deadline.Before(deadline) {
			deadline = c.deadline
		}
		if m, ok := await(deadline, g); ok {
			s.e.absences.leave(g, w, true, time.Now())
			return m, true
		}
	}
	c.primaryExpected = s.e.absences.leave(g, w, false, time.Now())
	return roster.Member{}, false
}

// absenceCapacity returns the number of statements of this VM that the primary can serve
// within the shortest objective, if each takes the given time.
func (s *Session) absenceCapacity(service time.Duration) int {
	slots := 1
	for _, m := range s.e.cfg.Roster.AllMembers(s.auth.Group) {
		slots = max(slots, m.SlotCount())
	}
	vms := 1
	if s.e.cfg.VMs != nil {
		vms = max(vms, s.e.cfg.VMs())
	}
	return int(s.index.ShortestObjective/service) * slots / vms
}

// noPrimaryRefusal returns the answer to a statement that has no place among those that
// wait for a new primary.
func (c *call) noPrimaryRefusal() dbop.Answer {
	return dbop.Answer{Code: dbop.Busy, Text: fmt.Sprintf("not run: the group has no primary now; retry after %d ms", c.primaryExpected.Milliseconds())}
}
