package dbpool

import (
	"maps"
	"slices"
	"sync"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
)

// learned is what this VM knows of the speed of all databases.
type learned struct {
	mu     sync.Mutex
	view   speed.View
	stalls speed.Stalls
}

func (s *Pools) learns(m *roster.Member) bool { return s.Learns != nil && s.Learns(m) }

// Tick is called every speed.TickInterval until StopTicks. Without it, stalls of this
// VM are not noticed.
func (s *Pools) Tick(now time.Time) {
	s.learned.mu.Lock()
	defer s.learned.mu.Unlock()
	s.learned.stalls.Tick(now)
}

// StopTicks says that Tick is no longer called.
func (s *Pools) StopTicks() {
	s.learned.mu.Lock()
	defer s.learned.mu.Unlock()
	s.learned.stalls = speed.Stalls{}
}

// RecordSpeed takes a report of the VM that holds the connections to a database.
func (s *Pools) RecordSpeed(id ident.Target, r speed.Report) {
	s.learned.mu.Lock()
	defer s.learned.mu.Unlock()
	s.learned.view.Record(id, r, time.Now())
}

// Estimate returns what a statement of a class is expected to take at a database. It
// is zero where the learned speed is not used.
func (s *Pools) Estimate(m *roster.Member, class ident.Class) speed.Estimate {
	if !s.learns(m) {
		return speed.Estimate{}
	}
	s.learned.mu.Lock()
	defer s.learned.mu.Unlock()
	return s.learned.view.Estimate(m.ID, speed.ClassOf(class), time.Now())
}

// SlotLimit returns how many reads this VM runs at a database at a time: its slots,
// or less where fewer are known to be as fast.
func (s *Pools) SlotLimit(m *roster.Member) int {
	if !s.learns(m) {
		return m.SlotCount()
	}
	p := s.poolOf(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speed.Limit(m.SlotCount(), time.Now())
}

// SpeedReport returns what is known about the speed of a database, for the class of
// the connection's last statement.
func (s *Pools) SpeedReport(m *roster.Member, c *Conn) (speed.Report, bool) {
	if c.pool == nil || !s.learns(m) {
		return speed.Report{}, false
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.pool.speed.Report(c.class, m.SlotCount(), time.Now())
}

// Speed is what this VM has learned about a database to which it holds connections.
type Speed struct {
	Target ident.Target
	// Time is the service time of a typical statement, Limit the number of reads that
	// are run at a time, of Slots. Age is the age of both.
	Time         time.Duration
	Limit, Slots int
	Age          time.Duration
	FailureRate  float64
}

// Speeds returns what has been learned from this VM's own connections where the
// learned speed is used. Of two processes of one database it has the one that answered
// last.
func (s *Pools) Speeds() []Speed {
	s.mu.Lock()
	pools := slices.Collect(maps.Values(s.pools))
	s.mu.Unlock()
	now := time.Now()
	var out []Speed
	for _, p := range pools {
		if !s.learns(&p.member) {
			continue
		}
		v := Speed{Target: p.member.ID, Slots: p.member.SlotCount()}
		p.mu.Lock()
		age, ok := p.speed.Age(now)
		v.Age, v.Limit, v.FailureRate = age, p.speed.Limit(v.Slots, now), p.speed.Failures.Rate(now)
		p.mu.Unlock()
		if !ok {
			continue
		}
		s.learned.mu.Lock()
		e := s.learned.view.Estimate(v.Target, 0, now)
		s.learned.mu.Unlock()
		v.Time = time.Duration(float64(e.Typical) * e.Factor)
		i := slices.IndexFunc(out, func(o Speed) bool { return o.Target == v.Target })
		switch {
		case i < 0:
			out = append(out, v)
		case v.Age < out[i].Age:
			out[i] = v
		}
	}
	return out
}

// exchange runs statements. inProgress is the number of statements with a class that
// this VM had sent to the database and that were not answered, including these.
func (c *Conn) exchange(deadline time.Time, sts []dbop.Statement) (answers []dbop.Answer, inProgress int, err error) {
	if c.pool == nil || classIndex(sts) < 0 {
		answers, err = c.link.Exchange(deadline, sts...)
		return answers, 0, err
	}
	inProgress = int(c.pool.running.Add(1))
	defer c.pool.running.Add(-1)
	answers, err = c.link.Exchange(deadline, sts...)
	return answers, inProgress, err
}

// classIndex returns the index of the statement that has a class, -1 if none has.
func classIndex(sts []dbop.Statement) int {
	for i := range sts {
		if sts[i].Scheduling.Class != "" {
			return i
		}
	}
	return -1
}

// recordRemoteResult counts whether a statement failed that ran on a connection of
// another VM. Its service time comes with that VM's report.
func (s *Pools) recordRemoteResult(id ident.Target, failed bool, now time.Time) {
	if s.Learns == nil {
		return
	}
	s.learned.mu.Lock()
	defer s.learned.mu.Unlock()
	s.learned.view.RecordResult(id, failed, now)
}

// recordSpeed learns from the answers to statements sent at c.sentAt.
func (c *Conn) recordSpeed(sts []dbop.Statement, answers []dbop.Answer, inProgress int, failed bool, err error) {
	now := time.Now()
	i := classIndex(sts)
	if c.pool == nil {
		if c.borrowedBy != nil && i >= 0 {
			c.borrowedBy.recordRemoteResult(c.Target, failed, now)
		}
		return
	}
	if i < 0 || c.pool.parent.Learns == nil {
		return
	}
	c.class = speed.ClassOf(sts[i].Scheduling.Class)
	a := speed.Answer{Class: c.class, Took: now.Sub(c.sentAt), InProgress: inProgress}
	switch {
	case err != nil:
		a.Outcome = speed.Lost
	case failed:
		a.Outcome = speed.Failed
	case answers[i].Code != dbop.OK:
		a.Outcome = speed.Refused
	}
	l := &c.pool.parent.learned
	l.mu.Lock()
	a.Stalled = l.stalls.Since(c.sentAt, now)
	l.mu.Unlock()
	c.pool.mu.Lock()
	c.pool.speed.Record(a, now)
	r, ok := c.pool.speed.Report(a.Class, c.pool.member.SlotCount(), now)
	c.pool.mu.Unlock()
	if ok {
		l.mu.Lock()
		l.view.Record(c.Target, r, now)
		l.mu.Unlock()
	}
}
