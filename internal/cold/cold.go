package cold

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/warm"
)

const (
	// maxTurnWait bounds the wait of a statement for its turn to take a token. It is
	// short because the statement has a connection, and may have a slot of the lender's
	// queue, meanwhile.
	maxTurnWait = 120 * time.Millisecond
	// rampPollInterval is how often a statement looks whether the growing number of
	// statements at a database that became warm allows it.
	rampPollInterval = 5 * time.Millisecond
)

// Catalogue provides the catalogue in force.
type Catalogue interface {
	// Catalogue returns nil until a catalogue is known.
	Catalogue() *catal.Catalogue
}

// Config configures a Guard.
type Config struct {
	Tolerance warm.Tolerance
	Lifetimes warm.Lifetimes
	// Admit takes a token of a database's limit, for which it waits a short time. The
	// request must be sent within Lifetimes.Permit of it.
	Admit     func(context.Context, ident.Target) error
	Catalogue Catalogue
	Roster    *roster.Table
	// Clock returns the time, including that of suspension; nil selects time.Now.
	Clock func() time.Time
	Log   zerolog.Logger
	// Scope, unless nil, gets the metrics.
	Scope tally.Scope
}

// Guard limits the requests to cold databases. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	metrics metrics

	mu         sync.Mutex
	table      warm.Table
	admissions map[ident.Target]*admissions
	// reported has what was last logged of each database.
	reported map[ident.Target]logged
	// warned is the version of the catalogue whose values were last checked.
	warned ident.Version
}

// admissions has the statements that wait for a token of a database, and counts those
// sent while its load grows.
type admissions struct {
	queue warm.Queue
	turns map[warm.Ticket]chan struct{}
	// current is the statement whose turn it is, 0 for none.
	current warm.Ticket
	// inFlight counts the statements that were sent while the load grew.
	inFlight int
}

// New returns a Guard, or nil if there is no tolerance and so no limit.
func New(cfg Config) *Guard {
	if !cfg.Tolerance.Enabled() {
		return nil
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	return &Guard{cfg: cfg, metrics: newMetrics(cfg.Scope), admissions: map[ident.Target]*admissions{}, reported: map[ident.Target]logged{}}
}

// Limits returns the limit of each database under a catalogue. It is called whenever
// the catalogue has changed and a few times each second; it also follows the reports.
func (g *Guard) Limits(c *catal.Catalogue) map[ident.Target]quota.Limit {
	if g == nil {
		return nil
	}
	g.logInvalid(c)
	var out map[ident.Target]quota.Limit
	for name, group := range c.Groups {
		if group.WarmUp.Rate <= 0 {
			continue
		}
		limit := g.cfg.Tolerance.Limit(group.WarmUp.Rate, g.cfg.Lifetimes)
		for _, m := range g.cfg.Roster.AllMembers(name) {
			g.observe(&m, ruleOf(group.WarmUp))
			if m.ColdInvalid {
				g.logReport(m.ID, m.ProcessStart)
			}
			if out == nil {
				out = map[ident.Target]quota.Limit{}
			}
			out[m.ID] = limit
		}
	}
	g.follow(out)
	return out
}

func ruleOf(w catal.WarmUp) warm.Rule { return warm.Rule{Rate: w.Rate, Duration: w.Duration} }

// rule returns the rule of a group. ok is false when the group has no limit.
func (g *Guard) rule(id ident.Group) (r warm.Rule, ok bool) {
	if g == nil {
		return r, false
	}
	c := g.cfg.Catalogue.Catalogue()
	if c == nil {
		return r, false // no caller is served yet
	}
	r = ruleOf(c.Groups[id].WarmUp)
	return r, r.Rate > 0
}

func (g *Guard) observe(m *roster.Member, r warm.Rule) {
	now, wall := g.cfg.Clock(), time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Observe(m.ID, warm.Report{Start: m.ProcessStart, Sequence: m.Sequence, Left: m.ColdLeft, Unknown: m.ColdUnknown}, r, now, wall)
}

// Ramp returns the part of its requests that this VM may send to a database: 0 if it
// is cold, 1 if it is warm, and less than 1 when it became warm a moment ago.
func (g *Guard) Ramp(m *roster.Member) float64 {
	r, ok := g.rule(m.Group)
	if !ok {
		return 1
	}
	// The member may be as another VM knows it, without the database's report.
	known, listed := g.cfg.Roster.Member(m.Group, m.ID)
	if !listed || known.ProcessStart != m.ProcessStart {
		return 0
	}
	g.observe(&known, r)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Ramp(m.ID, g.cfg.Clock())
}

// Closed records that a database has closed a connection, as it does when it is
// restarted.
func (g *Guard) Closed(m *roster.Member) {
	r, ok := g.rule(m.Group)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Doubt(m.ID, r, g.cfg.Clock())
}

// Admit waits until a statement may be sent to a database, and returns a function to
// call after its answer. ok is false when it must not be sent. Statements that are
// urgent, since they can't run at another database, go first.
func (g *Guard) Admit(deadline time.Time, m *roster.Member, urgent bool) (release func(), ok bool) {
	rampEnd := time.Now().Add(min(time.Until(deadline), maxTurnWait))
	for {
		switch ramp := g.Ramp(m); {
		case ramp >= 1:
			return func() {}, true
		case ramp <= 0:
			ok := g.takeToken(deadline, m.ID, urgent)
			g.metrics.count(ok)
			return func() {}, ok
		case g.enterRamp(m, ramp):
			return sync.OnceFunc(func() { g.leaveRamp(m.ID) }), true
		}
		if !time.Now().Add(rampPollInterval).Before(rampEnd) {
			g.metrics.count(false)
			return nil, false
		}
		time.Sleep(rampPollInterval)
	}
}

func (g *Guard) enterRamp(m *roster.Member, ramp float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.admissionsOf(m.ID)
	if a.inFlight >= warm.RampSlots(ramp, m.SlotCount()) {
		return false
	}
	a.inFlight++
	return true
}

func (g *Guard) leaveRamp(id ident.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admissionsOf(id).inFlight--
}

// takeToken takes a token of a cold database when it is the statement's turn.
func (g *Guard) takeToken(deadline time.Time, id ident.Target, urgent bool) bool {
	turn := make(chan struct{}, 1)
	g.mu.Lock()
	a := g.admissionsOf(id)
	ticket := a.queue.Enter(urgent)
	a.turns[ticket] = turn
	a.wakeFirst()
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		a.leave(ticket)
	}()
	wait := time.NewTimer(min(time.Until(deadline), maxTurnWait))
	defer wait.Stop()
	select {
	case <-wait.C:
		return false
	case <-turn:
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		return g.cfg.Admit(ctx, id) == nil
	}
}

// admissionsOf returns the admissions of a database. The caller holds g.mu.
func (g *Guard) admissionsOf(id ident.Target) *admissions {
	a := g.admissions[id]
	if a == nil {
		a = &admissions{turns: map[warm.Ticket]chan struct{}{}}
		g.admissions[id] = a
	}
	return a
}

// wakeFirst lets the first statement take its token unless another one does.
func (a *admissions) wakeFirst() {
	if a.current != 0 {
		return
	}
	if t, ok := a.queue.First(); ok {
		a.current = t
		a.turns[t] <- struct{}{}
	}
}

// leave removes a statement that has its token or waits no longer.
func (a *admissions) leave(t warm.Ticket) {
	a.queue.Leave(t)
	delete(a.turns, t)
	if a.current == t {
		a.current = 0
		a.wakeFirst()
	}
}
