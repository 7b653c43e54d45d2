package engine

import (
	"fmt"
	"math/rand/v2"
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
	since time.Time
	// expected is the mean length of the absences seen, 0 if there were none.
	expected time.Duration
	// service is the mean time of statements at the primary, 0 while unknown.
	service time.Duration
}

type absenceWaiter struct {
	weight uint32
	since  time.Time
	// displaced is set when a more urgent statement has taken the place.
	displaced bool
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

// enter adds a waiting statement, in place of the newest of the least urgent ones if
// there are already limit and it is more urgent. It returns nil and when to retry if
// there is no place.
func (a *absences) enter(g ident.Group, weight uint32, capacity func(time.Duration) int, now time.Time) (*absenceWaiter, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ab := a.groupOf(g)
	if ab.since.IsZero() {
		ab.since = now
	}
	service := ab.service
	if service == 0 {
		service = assumedService
	}
	w := &absenceWaiter{weight: weight, since: now}
	if len(ab.waiters) < max(capacity(service), minAbsenceWaiters) {
		ab.waiters = append(ab.waiters, w)
		return w, 0
	}
	least := -1
	for i, o := range ab.waiters {
		if o.weight < weight && (least < 0 || o.weight <= ab.waiters[least].weight) {
			least = i
		}
	}
	if least < 0 {
		return nil, ab.retryAfter(weight, now)
	}
	ab.waiters[least].displaced = true
	ab.waiters[least] = w
	return w, 0
}

// leave ends the wait of a statement. found tells that the group has a primary again.
// displaced tells that the statement has lost its place, and retry when to come back.
func (a *absences) leave(g ident.Group, w *absenceWaiter, found bool, now time.Time) (displaced bool, retry time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ab := a.groupOf(g)
	for i, o := range ab.waiters {
		if o == w {
			ab.waiters = append(ab.waiters[:i], ab.waiters[i+1:]...)
			break
		}
	}
	if found && !ab.since.IsZero() {
		if d := now.Sub(ab.since); d > absencePollInterval {
			ab.expected = smooth(ab.expected, d)
		}
		ab.since = time.Time{}
	}
	retry = ab.retryAfter(w.weight, now)
	if len(ab.waiters) == 0 && !found {
		ab.since = time.Time{} // nobody would notice the end of the absence
	}
	return w.displaced && !found, retry
}

// isDisplaced reports whether a waiting statement has lost its place.
func (a *absences) isDisplaced(w *absenceWaiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return w.displaced
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
	w, retry := s.e.absences.enter(g, s.auth.Weight, s.absenceCapacity, time.Now())
	if w == nil {
		c.primaryExpected = retry
		return roster.Member{}, false
	}
	for c.canAttempt() && !s.e.absences.isDisplaced(w) {
		deadline := time.Now().Add(absencePollInterval)
		if c.deadline.Before(deadline) {
			deadline = c.deadline
		}
		if m, ok := await(deadline, g); ok {
			s.e.absences.leave(g, w, true, time.Now())
			return m, true
		}
	}
	_, c.primaryExpected = s.e.absences.leave(g, w, false, time.Now())
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
