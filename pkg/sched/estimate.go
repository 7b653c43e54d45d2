package sched

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// AppendDelays appends a pair for each weight: the weight, and the time in ms until a new
// statement of a class with this weight is expected to be served. If it can't meet its
// objective, that is the time until the backlog has been served, since statements in
// time come before late ones. It appends nothing while no statement waits.
func (q *Queue) AppendDelays(to []uint32, now time.Time) []uint32 {
	if q.length == 0 {
		return to
	}
	for i, c := range q.classes {
		if slices.IndexFunc(q.classes, func(o *class) bool { return o.weight == c.weight }) < i {
			continue // another class of the weight stands for this one
		}
		d := q.wait(c, "", now)
		if c.objective > 0 && d > c.objective-tailFactor*c.expectedWork() {
			d = max(d, q.totalWait())
		}
		to = append(to, c.weight, uint32(d.Milliseconds()))
	}
	return to
}

// wait is like waitInOrder, but in a standing queue the newest statement of the class
// is served first.
func (q *Queue) wait(c *class, ws ident.Workspace, now time.Time) time.Duration {
	q.decay(now)
	d := q.waitInOrder(c, ws, now)
	if c.standing {
		d -= q.waitFor(c, float64(q.workInTime(c, now))*q.fairPart(ws))
	}
	return d
}

// waitInOrder estimates the time in the queue of a new statement of c: the work of the
// statements served before it, at the share of the slots that more valuable classes
// leave.
func (q *Queue) waitInOrder(c *class, ws ident.Workspace, now time.Time) time.Duration {
	ahead := float64(q.workInTime(c, now)) * q.fairPart(ws)
	for _, o := range q.classes {
		if o != c && o.density() >= c.density() {
			ahead += float64(q.workInTime(o, now))
		}
	}
	return q.waitFor(c, ahead)
}

// waitFor returns the time in which c and more valuable classes get the given slot
// time.
func (q *Queue) waitFor(c *class, work float64) time.Duration {
	var used, above time.Duration
	for _, o := range q.classes {
		used += o.used
		if o != c && o.density() >= c.density() {
			above += o.used
		}
	}
	share := 1.0
	if used > 0 {
		share = max(share-float64(above)/float64(used), 1.0/FloorShare)
	}
	return time.Duration(work / share / float64(max(q.slots, 1)))
}

func (q *Queue) workInTime(c *class, now time.Time) time.Duration {
	n := 0
	for i := range c.entries {
		if c.isInTime(&c.entries[i], now) {
			n++
		}
	}
	return time.Duration(n) * c.expectedWork()
}

// fairPart returns the part of a class's waiting statements that are served before a
// new one of a workspace, since workspaces take turns.
func (q *Queue) fairPart(ws ident.Workspace) float64 {
	own := 1
	if f := q.flows[ws]; f != nil {
		own += f.waiting
	}
	n, all := 0, 0
	for _, f := range q.flows {
		n += min(f.waiting, own)
		all += f.waiting
	}
	return float64(n) / float64(max(all, 1))
}

// totalWait returns the time in which the slots serve all waiting statements.
func (q *Queue) totalWait() time.Duration {
	var sum time.Duration
	for _, c := range q.classes {
		sum += time.Duration(len(c.entries)) * c.expectedWork()
	}
	return sum / time.Duration(max(q.slots, 1))
}

// isUnanswerable reports whether a statement is expected to meet neither its objective nor
// its deadline, and returns the expected wait. A late statement has to wait until those
// that are in time have been served, so that depends on the whole backlog. No statement
// is unanswerable while no service time is known.
func (q *Queue) isUnanswerable(c *class, e *entry, now time.Time) (time.Duration, bool) {
	if e.Deadline.IsZero() {
		return 0, false
	}
	if !c.isAlive(e, now) {
		return 0, true
	}
	if c.work == 0 || q.length == 0 {
		return 0, false
	}
	total := time.Duration(float64(q.totalWait()) * q.fairPart(e.Workspace))
	if now.Add(total + c.work).Before(e.Deadline) {
		return total, false
	}
	wait := q.wait(c, e.Workspace, now)
	return wait, e.Objective.IsZero() || now.Add(wait).After(c.latestStart(e.Objective))
}

// RemoveUnanswerable removes a waiting statement and reports true if it is expected to
// meet neither its objective nor its deadline. Callers ask when it has waited for a little
// less than a quarter of its objective, the last moment at which a refusal is early.
func (q *Queue) RemoveUnanswerable(t Ticket, now time.Time) bool {
	for _, c := range q.classes {
		for i := range c.entries {
			if c.entries[i].Ticket != t {
				continue
			}
			_, unanswerable := q.isUnanswerable(c, &c.entries[i], now)
			if unanswerable {
				q.removeAt(c, i)
			}
			return unanswerable
		}
	}
	return false
}
