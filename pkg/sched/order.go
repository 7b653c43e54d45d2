package sched

import "time"

// Pop removes and returns the next statement. It skips statements that can't be
// answered before their deadline, which Expire removes.
func (q *Queue) Pop(now time.Time) (Ticket, bool) {
	if q.length == 0 {
		return 0, false
	}
	q.decay(now)
	for _, c := range q.classes {
		c.survey(now)
	}
	for _, c := range q.classes {
		q.updateStanding(c, now)
	}
	c := q.nextClass()
	if c == nil {
		return 0, false
	}
	i := c.next(now)
	e := &c.entries[i]
	work := c.expectedWork()
	t := e.Ticket
	e.flow.served += work
	q.charge(c, work)
	q.removeAt(c, i)
	return t, true
}

// unlimitedSlack is the slack of a statement without objective and deadline. It exceeds
// every deadline.
const unlimitedSlack = time.Hour

// survey sets the fields of c that describe the statements that can still be answered.
func (c *class) survey(now time.Time) {
	c.inTime, c.alive, c.slack, c.aboveHalf = 0, 0, 0, false
	for i := range c.entries {
		e := &c.entries[i]
		if !c.isAlive(e, now) {
			continue
		}
		c.alive++
		c.aboveHalf = c.aboveHalf || !e.Objective.IsZero() && now.Sub(e.pushed) > e.Objective.Sub(e.pushed)/2
		if !c.isInTime(e, now) {
			continue
		}
		end := e.Objective
		if end.IsZero() {
			end = e.Deadline
		}
		slack := unlimitedSlack
		if !end.IsZero() {
			slack = c.latestStart(end).Sub(now)
		}
		if c.inTime == 0 || slack < c.slack {
			c.slack = slack
		}
		c.inTime++
	}
}

// updateStanding updates whether the queue of c is a standing one. It becomes one only
// if the statements that arrive now would miss their objective in order of arrival:
// otherwise that order lets all of them meet it.
func (q *Queue) updateStanding(c *class, now time.Time) {
	switch {
	case !c.aboveHalf:
		c.aboveSince, c.standing = time.Time{}, false
	case c.standing:
	case q.waitInOrder(c, "", now) < c.objective-tailFactor*c.expectedWork():
		c.aboveSince = time.Time{}
	case c.aboveSince.IsZero():
		c.aboveSince = now
	default:
		c.standing = now.Sub(c.aboveSince) >= StandingPeriod
	}
}

// nextClass returns the class that is served next, nil if no statement can be
// answered.
func (q *Queue) nextClass() *class {
	var owed, dense, late *class
	for _, c := range q.classes {
		if c.alive == 0 {
			continue
		}
		if c.owed >= c.expectedWork() && (owed == nil || c.owed > owed.owed) {
			owed = c
		}
		if c.inTime > 0 && (dense == nil || c.density() > dense.density()) {
			dense = c
		}
		if late == nil || c.density() > late.density() {
			late = c
		}
	}
	switch {
	case owed != nil:
		return owed
	case dense == nil:
		return late
	}
	if c := q.urgentClass(dense); c != nil {
		return c
	}
	return dense
}

// urgentClass returns a class that has to start earlier than dense to meet its objective,
// if every more valuable statement still meets its own after it. It is served before its
// last moment, since service times vary.
func (q *Queue) urgentClass(dense *class) *class {
	for _, c := range q.classes {
		if c == dense || c.inTime == 0 || c.slack > dense.slack {
			continue
		}
		backlog, slack := c.expectedWork(), dense.slack
		for _, o := range q.classes {
			if o == c || o.inTime == 0 || o.density() < c.density() {
				continue
			}
			backlog += o.expectedWork() * time.Duration(o.inTime)
			slack = min(slack, o.slack)
		}
		if backlog/time.Duration(q.slots) < slack {
			return c
		}
	}
	return nil
}

// next returns the index of the statement of c that is served next: of those that meet
// their objective, if any, one of the workspace that has been served least.
func (c *class) next(now time.Time) int {
	best := -1
	for i := range c.entries {
		e := &c.entries[i]
		if !c.isAlive(e, now) || c.inTime > 0 && !c.isInTime(e, now) {
			continue
		}
		if best < 0 || e.flow.served < c.entries[best].flow.served ||
			c.standing && c.inTime > 0 && e.flow == c.entries[best].flow {
			best = i
		}
	}
	return best
}

// charge records that c receives slot time.
func (q *Queue) charge(c *class, work time.Duration) {
	c.used += work
	for _, o := range q.classes {
		if o != c && len(o.entries) > 0 {
			o.owed = min(o.owed+work/FloorShare, max(maxOwed, o.expectedWork()))
		}
	}
	c.owed = max(0, c.owed-work)
}

// decay reduces the slot time used lately by the time that has passed.
func (q *Queue) decay(now time.Time) {
	dt := now.Sub(q.decayedAt)
	q.decayedAt = now
	for _, c := range q.classes {
		if dt >= usagePeriod || dt < 0 {
			c.used = 0
			continue
		}
		c.used -= time.Duration(float64(c.used) * dt.Seconds() / usagePeriod.Seconds())
	}
}
